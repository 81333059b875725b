package ingress

// HeadEndForTest returns the offset of the end of a head that arrives in parts of size bytes.
func HeadEndForTest(data []byte, size int) int {
	var s headScanner
	end := 0
	for len(data) > 0 {
		n := min(size, len(data))
		end += s.scan(data[:n])
		data = data[n:]
	}
	return end
}

// ListenerForTest returns the listener that has accepted the connection.
func (c *Conn) ListenerForTest() *Listener { return c.listener }
