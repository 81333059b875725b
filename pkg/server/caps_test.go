package server_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/server"
)

// Guards against a backend server whose connection limit is exceeded while every entry VM is being replaced, and against
// a dispatcher that may open fewer connections than the server has slots.
var _ = DescribeTable("the connection caps",
	func(limit, entryVMs, dataCentres, slots int) {
		near := server.ConnectionCap(limit, entryVMs, dataCentres, true)
		far := server.ConnectionCap(limit, entryVMs, dataCentres, false)
		nearVMs := (entryVMs + dataCentres - 1) / dataCentres
		Expect(server.ReplacementFactor * (nearVMs*near + (entryVMs-nearVMs)*far)).To(BeNumerically("<=", limit))
		Expect(near).To(BeNumerically(">=", slots))
	},
	Entry("Balisage", 240, 16, 4, 3),
	Entry("Imbuto", 220, 14, 4, 3),
	Entry("two years ahead", 240, 100, 4, 3),
	Entry("one data centre", 240, 4, 1, 3),
)
