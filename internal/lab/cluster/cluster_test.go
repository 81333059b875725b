package cluster_test

import (
	"context"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

var _ = Describe("Cluster", func() {
	// Guards against a start that reports success before the system serves, and against processes and files left behind.
	It("starts ready, stops with exit code 0 and leaves nothing", func(ctx SpecContext) {
		c := start(ctx)
		status, err := c.Operator().Status()
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Active).To(Equal("ordinary"))
		stats, err := c.Servers("orders")[0].Stats()
		Expect(err).NotTo(HaveOccurred())
		Expect(stats.ServerID).To(Equal("orders-01"))
		vms, server := c.VMs(), c.Servers("")[0]
		Expect(c.CheckMemory()).To(Succeed())
		Expect(c.Stop(ctx)).To(Succeed())
		Expect(vms[0].Running() || vms[1].Running() || server.Running()).To(BeFalse())
		Expect(c.Dir()).NotTo(BeADirectory())
	}, SpecTimeout(time.Minute))

	// Guards against loops that ask for the state until it changes: each client kept a connection of its own, and the
	// administration API refused the 257th with "Server.Concurrency limit exceeded".
	It("serves more requests than the administration API has connections", func(ctx SpecContext) {
		c := start(ctx)
		for range 300 {
			_, err := c.Operator().Status()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.Stop(ctx)).To(Succeed())
	}, SpecTimeout(time.Minute))

	// Guards against a tool that is interrupted and leaves its children running.
	It("kills everything when the context ends", func(ctx SpecContext) {
		inner, cancel := context.WithCancel(ctx)
		c := start(inner)
		cancel()
		for _, p := range []*cluster.Process{c.Log.Process, c.List.Process, c.VMs()[0].Process(), c.Servers("")[0].Process} {
			Eventually(p.Done()).WithContext(ctx).Should(BeClosed())
		}
	}, SpecTimeout(time.Minute))

	// Guards against controls that act on the wrong process or keep the address of a replaced VM.
	It("pauses, kills, restarts and replaces a VM", func(ctx SpecContext) {
		c := start(ctx)
		vm := c.VMs()[1]
		Expect(vm.Process().Pause()).To(Succeed())
		// The kernel delivers the signal after the call that sends it has returned.
		Eventually(os.ReadFile).WithArguments("/proc/" + pid(vm) + "/stat").Should(ContainSubstring(") T "))
		Expect(vm.Process().Resume()).To(Succeed())
		before := pid(vm)
		vm.Kill()
		Expect(vm.Running()).To(BeFalse())
		Expect(vm.Restart(ctx)).To(Succeed())
		Expect(pid(vm)).NotTo(Equal(before))
		next, err := c.Replace(ctx, vm.ID, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.ID).To(Equal("vm03"))
		Expect(c.Callers()).To(ConsistOf(c.VMs()[0].Entry.Address, next.Entry.Address))
		Expect(vm.Running()).To(BeFalse())
	}, SpecTimeout(time.Minute))

	// Guards against a fault switch that resets other faults.
	It("switches single faults", func(ctx SpecContext) {
		c := start(ctx)
		s := c.Servers("library")[0]
		Expect(s.SetFaults(map[string]any{"slow": 2})).To(Succeed())
		Expect(s.Drain(0)).To(Succeed())
		Expect(s.SetFaults(map[string]any{"nonsense": 1})).To(MatchError(cluster.ErrHTTP))
		Expect(c.Log.SetFaults(map[string]any{"delayMs": 1})).To(Succeed())
		Expect(s.Undrain()).To(Succeed())
	}, SpecTimeout(time.Minute))
})

var _ = Describe("Topology", func() {
	// Guards against a size that overloads the machine.
	It("refuses more than 200 processes", func(ctx SpecContext) {
		t := cluster.Balisage()
		Expect(t.Processes()).To(Equal(58))
		Expect(cluster.Imbuto(14).Processes()).To(Equal(51))
		t.EntryVMs = 159
		_, err := cluster.Start(ctx, cluster.Options{Topology: t})
		Expect(err).To(MatchError(cluster.ErrTopology))
		_, err = cluster.ByName("large")
		Expect(err).To(MatchError(cluster.ErrTopology))
	})
})

var _ = Describe("Runs", func() {
	// Guards against a duplicate that is missed because its runs are on two servers or one of them was cancelled.
	It("finds keys that ran more than once", func() {
		r := &cluster.Runs{}
		r.Add("a", backend.Journal{Executions: []backend.Execution{{IdempotencyKey: "k1", Completed: true}, {IdempotencyKey: "k2"}, {}}})
		r.Add("b", backend.Journal{Executions: []backend.Execution{{IdempotencyKey: "k2", Completed: true}}, Dropped: 3})
		Expect(r.Duplicates()).To(HaveLen(1))
		Expect(r.Duplicates()).To(HaveKey("k2"))
		Expect(r.WithoutKey).To(Equal(1))
		Expect(r.Dropped).To(Equal(int64(3)))
	})
})
