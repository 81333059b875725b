package server

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

// Guards against a backend server whose connection limit is exceeded while every entry VM is being replaced, and against
// a dispatcher that may open fewer connections than the server has slots.
var _ = DescribeTable("the connection caps",
	func(limit, entryVMs, dataCentres, slots int) {
		near := connectionCap(limit, entryVMs, dataCentres, true)
		far := connectionCap(limit, entryVMs, dataCentres, false)
		nearVMs := (entryVMs + dataCentres - 1) / dataCentres
		Expect(replacementFactor * (nearVMs*near + (entryVMs-nearVMs)*far)).To(BeNumerically("<=", limit))
		Expect(near).To(BeNumerically(">=", slots))
	},
	Entry("Balisage", 240, 16, 4, 3),
	Entry("Imbuto", 220, 14, 4, 3),
	Entry("two years ahead", 240, 100, 4, 3),
	Entry("one data centre", 240, 4, 1, 3),
)
