package gateway_test

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// respondLeaving writes a valid response in which the server states that it is leaving.
func respondLeaving(r *receivedRequest, c net.Conn) bool {
	return writeResponse(c, r, 200, "answer to "+r.Header.Get("Id"), "Proof: p", "Leaving: 1")
}

var _ = Describe("Gateway with a server that states that it is leaving", func() {
	const requests = 10

	// Guards against work that is cut off when a server exits, whose record in the store is late or cannot be read.
	DescribeTable("sends it nothing more, whatever its record says", func(path string) {
		first, second := startBackend(respondLeaving), startBackend(respondCorrectly)
		f := startGateway(first, second)
		Expect(f.roundTrip("GET", path, "first").StatusCode).To(Equal(200))
		Expect(first.count()).To(Equal(1))
		for i := range requests {
			Expect(f.roundTrip("GET", path, fmt.Sprint("later-", i)).StatusCode).To(Equal(200))
		}
		Expect(first.count()).To(Equal(1))
		Expect(second.count()).To(Equal(requests))
	},
		Entry("idempotent requests", "/safe/"),
		Entry("requests that may run once", "/once/"),
	)
})
