package ingress_test

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a planned stop that cuts off a request which a caller has sent on a connection that was accepted and not yet read.
func TestStopLeavesNewConnections(t *testing.T) {
	g := NewWithT(t)
	caller, c := accepted(t, time.Minute)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	c.ListenerForTest().Stop()
	n, err := c.Read(make([]byte, 64))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeNumerically(">", 0))
}
