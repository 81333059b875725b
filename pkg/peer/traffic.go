package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// segmentHeader is the size in bytes of the IPv4 and TCP headers with the timestamp option.
const segmentHeader = 20 + 20 + 12

// Traffic holds counts of control traffic. The kernel reports the segments; they include acknowledgements.
type Traffic struct {
	// BytesSent and BytesReceived count payload.
	BytesSent, BytesReceived uint64
	// SegmentsSent and SegmentsReceived count TCP segments.
	SegmentsSent, SegmentsReceived uint64
}

// WireBytes returns the bytes sent and received including IP and TCP headers.
func (t Traffic) WireBytes() uint64 {
	return t.BytesSent + t.BytesReceived + segmentHeader*(t.SegmentsSent+t.SegmentsReceived)
}

func (t Traffic) add(o Traffic) Traffic {
	return Traffic{t.BytesSent + o.BytesSent, t.BytesReceived + o.BytesReceived,
		t.SegmentsSent + o.SegmentsSent, t.SegmentsReceived + o.SegmentsReceived}
}

// meter counts the traffic of the connections of one server or pool.
type meter struct {
	sent, received *metrics.Counter
	mu             sync.Mutex
	openConns      map[*conn]struct{}
	closedTraffic  Traffic
}

func newMeter(set *metrics.Set, role string) *meter {
	return &meter{
		sent:      set.GetOrCreateCounter(`hornbeamway_peer_sent_bytes_total{role="` + role + `"}`),
		received:  set.GetOrCreateCounter(`hornbeamway_peer_received_bytes_total{role="` + role + `"}`),
		openConns: map[*conn]struct{}{},
	}
}

// traffic returns the sum over open and closed connections.
func (m *meter) traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.closedTraffic
	for c := range m.openConns {
		sum = sum.add(c.traffic())
	}
	return sum
}

// conn is a TCP connection with byte counters, a timeout for each write and an idle timeout for reads.
type conn struct {
	*net.TCPConn
	meter           *meter
	writeTimeout    time.Duration
	readIdleTimeout time.Duration // 0: no limit
	lastUse         atomic.Int64  // Unix nanoseconds of the last read or write
	sent, received  atomic.Uint64
	closeOnce       sync.Once
}

// wrap returns a counted connection on top of raw, which must be a TCP connection.
func (m *meter) wrap(raw net.Conn, writeTimeout, readIdleTimeout time.Duration) *conn {
	c := &conn{TCPConn: raw.(*net.TCPConn), meter: m, writeTimeout: writeTimeout, readIdleTimeout: readIdleTimeout}
	c.lastUse.Store(time.Now().UnixNano())
	c.setUserTimeout(writeTimeout)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openConns[c] = struct{}{}
	return c
}

// setUserTimeout makes the kernel close the connection when sent bytes remain unacknowledged for d. Thus notifications,
// which have no response, also detect an unresponsive peer.
func (c *conn) setUserTimeout(d time.Duration) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.readIdleTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readIdleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(p)
	c.lastUse.Store(time.Now().UnixNano())
	c.received.Add(uint64(n))
	c.meter.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Write(p)
	c.lastUse.Store(now.UnixNano())
	c.sent.Add(uint64(n))
	c.meter.sent.Add(n)
	return n, err
}

// Close implements net.Conn. It adds the counters to the meter's sum of closed connections.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.meter.mu.Lock()
		c.meter.closedTraffic = c.meter.closedTraffic.add(c.traffic())
		delete(c.meter.openConns, c)
		c.meter.mu.Unlock()
		err = c.TCPConn.Close()
	})
	return err
}

// idleTime returns the time since the last read or write.
func (c *conn) idleTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.lastUse.Load())
}

// traffic returns the counts of this connection. The segments are zero if the kernel does not report them.
func (c *conn) traffic() Traffic {
	t := Traffic{BytesSent: c.sent.Load(), BytesReceived: c.received.Load()}
	raw, err := c.SyscallConn()
	if err != nil {
		return t
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			t.SegmentsSent, t.SegmentsReceived = uint64(info.Segs_out), uint64(info.Segs_in)
		}
	})
	return t
}

// Listen opens a listener at an IP and port for Server.Serve. TCP keep-alive is disabled: with 16 VMs its probes on idle
// connections would cost about 200 B/s per VM, and timeouts detect unresponsive connections.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, newError(err, ErrUnreachable, address)
	}
	return l, nil
}
