package gateway_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// refusingOnce is a server that refuses the first request on its first connection, and writes a copy of that refusal when the next
// request on the same connection has arrived. It runs each request but the first.
type refusingOnce struct {
	mu      sync.Mutex
	refused net.Conn
	ran     atomic.Int64
	// refuse writes the refusal, and beforeRefusal runs before the first one.
	refuse        func(*receivedRequest, net.Conn) bool
	beforeRefusal func()
}

func (s *refusingOnce) respond(r *receivedRequest, c net.Conn) bool {
	s.mu.Lock()
	first := s.refused == nil
	if first {
		s.refused = c
	}
	s.mu.Unlock()
	switch {
	case first:
		s.beforeRefusal()
		return s.refuse(r, c)
	case s.refused == c:
		s.refuse(r, c)
	}
	s.ran.Add(1)
	return respondCorrectly(r, c)
}

// applyServer replaces the servers of the fixture by one.
func (f *fixture) applyServer(revision int64, server directory.Server) {
	server.Service, server.DataCentre, server.Region, server.Slots = "s", "d", "r", 3
	f.state.ApplySnapshot(directory.Snapshot{Digest: directory.Digest{ConfigVersion: 1, ServersRevision: revision},
		Servers: []directory.Server{server}}, "test")
}

var _ = Describe("Gateway with a server that repeats a refusal", func() {
	var (
		f      *fixture
		server *refusingOnce
		b      *backend
	)
	BeforeEach(func() {
		server = &refusingOnce{beforeRefusal: func() {}}
		server.refuse = func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 503, "", "Not-Run: 1") }
		b = startBackend(server.respond)
		f = startGateway(b)
	})

	// Guards against a request that runs although its caller was told that it had not: the copy of a refusal names the request that
	// was refused, so that its id does not tell it from the response to a second attempt on the same connection.
	DescribeTable("does not take the copy for the response to a second attempt", func(status int, next directory.Server) {
		server.refuse = func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, status, "", "Not-Run: 1") }
		server.beforeRefusal = func() {
			next.Address = b.address
			f.applyServer(2, next)
		}
		Expect(f.roundTrip("POST", "/once/", "order").StatusCode).To(Equal(200))
		Expect(server.ran.Load()).To(BeEquivalentTo(1))
	},
		Entry("to a new start of the server", 503, directory.Server{ID: "s0", Incarnation: 1}),
		Entry("to the server that has taken over the address", 421, directory.Server{ID: "successor"}),
	)

	// Guards against a request that runs although its caller was told that it had not, when the caller has sent it again under its id.
	It("does not take the copy for the response to a request that the caller sends again", func() {
		Expect(f.roundTrip("POST", "/once/", "order").StatusCode).To(Equal(503))
		Expect(f.roundTrip("POST", "/once/", "order").StatusCode).To(Equal(200))
		Expect(server.ran.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a caller that is told that its request did not run because of a response which names no request, such as the
	// copy of a health check's refusal, if the request has no id either.
	It("does not take a refusal that names no request for that of a request without an id", func() {
		b := startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n")
			return respondCorrectly(r, c)
		})
		f := startGateway(b)
		Expect(f.roundTrip("POST", "/once/", "").StatusCode).NotTo(Equal(503))
	})
})
