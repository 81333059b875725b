package server_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/server"
)

// Guards against exceeding the connection limit of a backend server while every entry VM is being replaced, and against a
// dispatcher that may open fewer connections than the server has slots.
var _ = DescribeTable("the connection caps",
	func(limit, entryVMs, dataCentres, slots int) {
		local := server.ConnectionCap(limit, entryVMs, dataCentres, true)
		remote := server.ConnectionCap(limit, entryVMs, dataCentres, false)
		localVMs := (entryVMs + dataCentres - 1) / dataCentres
		Expect(server.ReplacementFactor * (localVMs*local + (entryVMs-localVMs)*remote)).To(BeNumerically("<=", limit))
		Expect(local).To(BeNumerically(">=", slots))
	},
	Entry("Balisage", 240, 16, 4, 3),
	Entry("Imbuto", 220, 14, 4, 3),
	Entry("a hundred entry VMs, expected in two years", 240, 100, 4, 3),
	Entry("one data centre", 240, 4, 1, 3),
)
