package server_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/measure"
	"github.com/hornbeamway/hornbeamway/pkg/server"
)

var _ = Describe("load probes", func() {
	const report = `{"slots":3,"busy":2,"draining":true}`
	probe := func(p measure.Prober, address string) (measure.Result, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return p.Probe(ctx, measure.Target{ID: "s", Address: address})
	}

	// Guards against a load report that is taken from a response which is not HTTP.
	DescribeTable("do not use a malformed response", func(head string) {
		s := testsupport.StartRawServer(GinkgoTB(), fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(report), report))
		_, err := probe(server.NewLoadProber(), s.Address)
		Expect(err).To(HaveOccurred())
	},
		Entry("status 000", "HTTP/1.1 000 OK\r\n"),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n"),
	)

	// Guards against a server that is charged for a new connection with each probe.
	It("use one connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		connections := atomic.Int64{}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, report) }),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}}
		go func() { _ = s.Serve(l) }()
		DeferCleanup(s.Close)
		prober := server.NewLoadProber()
		for range 3 {
			result, err := probe(prober, l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Slots).To(Equal(3))
			Expect(result.Busy).To(Equal(2))
			Expect(result.Draining).To(BeTrue())
		}
		Expect(connections.Load()).To(BeEquivalentTo(1))
	})
})
