package entryvm_test

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/entryvm"
)

var _ = Describe("Settings", func() {
	valid := func() *entryvm.Settings {
		return &entryvm.Settings{VM: "v", DataCentre: "d", Region: "r", Callers: "127.0.0.1:1", Health: "127.0.0.1:2",
			Peer: "127.0.0.1:3", Store: "127.0.0.1:4"}
	}

	// Guards against a missing setting that is left at zero: without a shutdown timeout a stopping VM would exit at once.
	It("get default values", func() {
		s := valid()
		Expect(s.Check()).To(Succeed())
		Expect(s.ShutdownTimeout).To(Equal(6 * time.Second))
	})

	// Guards against an entry VM that starts with settings with which it cannot serve.
	DescribeTable("are rejected", func(invalidate func(*entryvm.Settings)) {
		s := valid()
		invalidate(s)
		Expect(s.Check()).To(MatchError(entryvm.ErrInvalid))
	},
		Entry("without a name", func(s *entryvm.Settings) { s.VM = "" }),
		Entry("without a region", func(s *entryvm.Settings) { s.Region = "" }),
		Entry("with an address without an IP", func(s *entryvm.Settings) { s.Callers = "shop.example:80" }),
		Entry("with a negative shutdown timeout", func(s *entryvm.Settings) { s.ShutdownTimeout = -1 }),
		Entry("with a negative memory limit", func(s *entryvm.Settings) { s.MemoryLimit = -1 }),
		Entry("with a negative retry budget", func(s *entryvm.Settings) { s.RetryBudgetSlack = -1 }),
	)
})

var _ = Describe("listening", func() {
	// Guards against a VM that runs without one of its sockets, or a failed start that leaves the others open.
	It("fails on an address in use and closes the other sockets", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		free := freeAddresses(3)
		s := &entryvm.Settings{VM: "vm", DataCentre: "d", Region: "r", Callers: free[0], Health: free[1],
			Peer: l.Addr().String(), Store: free[2]}
		Expect(errors.Is(entryvm.Run(context.Background(), s, entryvm.Platform{}), entryvm.ErrListen)).To(BeTrue())
		callers, err := net.Listen("tcp", s.Callers)
		Expect(err).NotTo(HaveOccurred())
		Expect(callers.Close()).To(Succeed())
	})
})
