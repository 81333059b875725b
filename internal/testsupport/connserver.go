package testsupport

import (
	"net"
	"testing"
)

// ServeConns accepts connections until the end of the test and calls handle for each on a goroutine of its own. It returns the address.
func ServeConns(tb testing.TB, handle func(c net.Conn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}
