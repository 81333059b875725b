// Package traffic counts the bytes of a VM's control traffic, including TCP and IP headers. Each part of the control traffic
// uses its own connections, so that the kernel's segment counts can be attributed to it.
package traffic

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

const (
	// SegmentHeader is the size in bytes of the IPv4 and TCP headers with the timestamp option.
	SegmentHeader = 20 + 20 + 12
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
)

// RegisterGauge registers a gauge of the metric hornbeamway_control_bytes_total for a part of the control traffic. Direction
// is "sent" or "received". A second registration of the same part and direction has no effect.
func RegisterGauge(part, direction string, value func() uint64) {
	metrics.GetOrCreateGauge(metricName(part, direction), func() float64 { return float64(value()) })
}

// Counter returns the counter of the bytes of a part in one direction, "sent" or "received".
func Counter(part, direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(metricName(part, direction))
}

func metricName(part, direction string) string {
	return `hornbeamway_control_bytes_total{part="` + part + `",direction="` + direction + `"}`
}

// Meter counts the bytes of the connections of one part. It is safe for concurrent use.
type Meter struct {
	mu             sync.Mutex
	open           map[*conn]struct{}
	sent, received uint64 // totals of closed connections
}

// meters maps parts to their meters. Several clients of one part share its meter.
var meters sync.Map

// MeterFor returns the meter of a part. The first call creates it and registers its metrics.
func MeterFor(part string) *Meter {
	value, loaded := meters.LoadOrStore(part, &Meter{open: map[*conn]struct{}{}})
	m := value.(*Meter)
	if !loaded {
		RegisterGauge(part, "sent", func() uint64 { sent, _ := m.Bytes(); return sent })
		RegisterGauge(part, "received", func() uint64 { _, received := m.Bytes(); return received })
	}
	return m
}

// Bytes returns the numbers of bytes sent and received so far, including headers.
func (m *Meter) Bytes() (sent, received uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent, received = m.sent, m.received
	for c := range m.open {
		s, r := c.bytes()
		sent, received = sent+s, received+r
	}
	return sent, received
}

// Dial connects to an address (IP and port) and counts the bytes of the connection. TCP keep-alive is off, because request
// timeouts detect dead connections.
func (m *Meter) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: raw.(*net.TCPConn), meter: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[c] = struct{}{}
	return c, nil
}

// conn is a connection with byte counters.
type conn struct {
	*net.TCPConn
	meter          *Meter
	sent, received atomic.Uint64
	closeOnce      sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// Close implements net.Conn. It adds the byte counts to the totals of the meter. A second call returns net.ErrClosed.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.meter.mu.Lock()
		sent, received := c.bytes()
		c.meter.sent += sent
		c.meter.received += received
		delete(c.meter.open, c)
		c.meter.mu.Unlock()
		err = c.TCPConn.Close()
	})
	return err
}

// bytes returns the payload bytes plus the headers of all segments that the kernel counted, including acknowledgements.
func (c *conn) bytes() (sent, received uint64) {
	sent, received = c.sent.Load(), c.received.Load()
	raw, err := c.SyscallConn()
	if err != nil {
		return sent, received
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			sent += SegmentHeader * uint64(info.Segs_out)
			received += SegmentHeader * uint64(info.Segs_in)
		}
	})
	return sent, received
}
