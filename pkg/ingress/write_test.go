package ingress_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
)

// accepted returns both sides of a connection with small kernel buffers.
func accepted(t *testing.T, bodyIdleTimeout time.Duration) (caller net.Conn, c *ingress.Conn) {
	const kernelBuffer = 16 << 10
	g := NewWithT(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := ingress.NewListener(plain, ingress.Options{Connections: 1, ConnectionsPerCaller: 1, BodyIdleTimeout: bodyIdleTimeout})
	t.Cleanup(func() { _ = l.Close() })
	caller, err = net.Dial("tcp", plain.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	g.Expect(caller.(*net.TCPConn).SetReadBuffer(kernelBuffer)).To(Succeed())
	server, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = server.Close() })
	return caller, server.(*ingress.Conn)
}

// Guards against a caller that holds the memory of a response, and its connection, for as long as it reads a little.
func TestWriteEnds(t *testing.T) {
	const (
		timeout = 300 * time.Millisecond
		margin  = 500 * time.Millisecond
		size    = 8 << 20
	)
	for _, test := range []struct {
		name             string
		reads            bool
		idle, responseIn time.Duration
	}{
		{"at the idle timeout, for a caller that does not read", false, timeout, 0},
		{"at the idle timeout, for a caller that reads slowly", true, timeout, 0},
		{"at the response deadline, for a caller that does not read", false, time.Minute, timeout},
		{"at the response deadline, for a caller that reads slowly", true, time.Minute, timeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			caller, c := accepted(t, test.idle)
			if test.reads {
				go func() {
					for piece := make([]byte, 1<<10); ; time.Sleep(10 * time.Millisecond) {
						if _, err := caller.Read(piece); err != nil {
							return
						}
					}
				}()
			}
			started := time.Now()
			if test.responseIn > 0 {
				c.SetResponseDeadline(started.Add(test.responseIn))
			}
			_, err := c.Write(make([]byte, size))
			g.Expect(ingress.IsTimeout(err)).To(BeTrue())
			g.Expect(time.Since(started)).To(And(BeNumerically(">=", timeout), BeNumerically("<", timeout+margin)))
		})
	}
}

// Guards against a connection whose next request is answered too late for the deadline of the one before.
func TestResponseDeadlineEndsWithTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	caller, c := accepted(t, time.Second)
	c.SetResponseDeadline(time.Now().Add(-time.Second))
	_, err := c.Write([]byte("late"))
	g.Expect(ingress.IsTimeout(err)).To(BeTrue())
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Write([]byte("in time"))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a caller that holds the memory of a body, or a server that receives it, for as long as it sends a little now and then;
// and against a deadline that ends the next request on the connection.
func TestBodyEndsAtItsDeadline(t *testing.T) {
	const (
		timeout = 300 * time.Millisecond
		pause   = 20 * time.Millisecond
		margin  = 500 * time.Millisecond
	)
	g := NewWithT(t)
	caller, c := accepted(t, time.Minute)
	_, err := caller.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	piece := make([]byte, 100)
	_, err = c.Read(piece)
	g.Expect(err).NotTo(HaveOccurred())
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		for range timeout / pause {
			_, _ = caller.Write([]byte("x"))
			time.Sleep(pause)
		}
	}()
	started := time.Now()
	c.SetBodyDeadline(started.Add(timeout))
	for err == nil {
		_, err = c.Read(piece)
	}
	g.Expect(ingress.IsTimeout(err)).To(BeTrue())
	g.Expect(time.Since(started)).To(And(BeNumerically(">=", timeout), BeNumerically("<", timeout+margin)))
	<-sending
	c.ResetRequest()
	g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed()) // as the HTTP library does
	for _, part := range []string{"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", "x"} {
		_, err = caller.Write([]byte(part))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(piece)
		g.Expect(err).NotTo(HaveOccurred())
	}
}
