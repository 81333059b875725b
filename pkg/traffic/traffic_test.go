package traffic_test

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
)

func TestTraffic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "traffic")
}

// Guards against byte counts that leave out headers, acknowledgements or closed connections.
var _ = It("counts payload and headers in both directions, including those of closed connections", func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}
	}()
	m := traffic.MeterFor("test")
	Expect(traffic.MeterFor("test")).To(BeIdenticalTo(m))
	c, err := m.Dial(context.Background(), l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	_, err = c.Write(make([]byte, 1000))
	Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(c, make([]byte, 1000))
	Expect(err).NotTo(HaveOccurred())
	// The handshake, the data and its acknowledgement take at least two segments in each direction.
	minimum := BeNumerically(">=", 1000+2*traffic.SegmentHeader)
	sent, received := m.Bytes()
	Expect([]uint64{sent, received}).To(HaveEach(minimum))
	Expect([]uint64{sent, received}).To(HaveEach(BeNumerically("<", 2000)))
	Expect(c.Close()).To(Succeed())
	sent, received = m.Bytes()
	Expect([]uint64{sent, received}).To(HaveEach(minimum))
})
