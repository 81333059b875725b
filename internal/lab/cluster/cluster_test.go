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
	// Guards against a start that succeeds before the system is ready, and against processes and files that remain after the
	// stop.
	It("is ready after the start, stops with exit code 0 and removes its processes and files", func(ctx SpecContext) {
		c := startCluster(ctx)
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

	// Guards against polling loops that exhaust the connections of the administration API: each client keeps its own
	// connection open, and the API refused the 257th with "Server.Concurrency limit exceeded".
	It("serves more requests than the connection limit of the administration API", func(ctx SpecContext) {
		c := startCluster(ctx)
		for range 300 {
			_, err := c.Operator().Status()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.Stop(ctx)).To(Succeed())
	}, SpecTimeout(time.Minute))

	// Guards against child processes that keep running after the tool is interrupted.
	It("kills all processes when the context is cancelled", func(ctx SpecContext) {
		clusterCtx, cancel := context.WithCancel(ctx)
		c := startCluster(clusterCtx)
		cancel()
		for _, p := range []*cluster.Process{c.LogService.Process, c.VMList.Process, c.VMs()[0].Process(), c.Servers("")[0].Process} {
			Eventually(p.Done()).WithContext(ctx).Should(BeClosed())
		}
	}, SpecTimeout(time.Minute))

	// Guards against control operations that act on the wrong process or retain the address of a replaced VM.
	It("pauses, kills, restarts and replaces a VM", func(ctx SpecContext) {
		c := startCluster(ctx)
		vm := c.VMs()[1]
		Expect(vm.Process().Pause()).To(Succeed())
		// The signal may be delivered after the system call that sends it has returned.
		Eventually(os.ReadFile).WithArguments("/proc/" + processID(vm) + "/stat").Should(ContainSubstring(") T "))
		Expect(vm.Process().Resume()).To(Succeed())
		oldPID := processID(vm)
		vm.Kill()
		Expect(vm.Running()).To(BeFalse())
		Expect(vm.Restart(ctx)).To(Succeed())
		Expect(processID(vm)).NotTo(Equal(oldPID))
		replacement, err := c.Replace(ctx, vm.ID, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(replacement.ID).To(Equal("vm03"))
		Expect(c.CallerAddresses()).To(ConsistOf(c.VMs()[0].Entry.Address, replacement.Entry.Address))
		Expect(vm.Running()).To(BeFalse())
	}, SpecTimeout(time.Minute))

	// Guards against a change of one fault that resets other faults.
	It("sets single faults", func(ctx SpecContext) {
		c := startCluster(ctx)
		server := c.Servers("library")[0]
		Expect(server.SetFaults(map[string]any{"slow": 2})).To(Succeed())
		Expect(server.Drain(0)).To(Succeed())
		Expect(server.SetFaults(map[string]any{"nonsense": 1})).To(MatchError(cluster.ErrHTTP))
		Expect(c.LogService.SetFaults(map[string]any{"delayMs": 1})).To(Succeed())
		Expect(server.Undrain()).To(Succeed())
	}, SpecTimeout(time.Minute))
})

var _ = Describe("Topology", func() {
	// Guards against a topology that overloads the machine.
	It("rejects more than 200 processes", func(ctx SpecContext) {
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
	// Guards against a duplicate that is missed because its executions are on two servers or one of them was cancelled.
	It("finds keys that were executed more than once", func() {
		r := &cluster.Executions{}
		r.Add("a", backend.Journal{Executions: []backend.Execution{
			{IdempotencyKey: "k1", Completed: true}, {IdempotencyKey: "k2"}, {},
		}})
		r.Add("b", backend.Journal{Executions: []backend.Execution{{IdempotencyKey: "k2", Completed: true}}, Dropped: 3})
		Expect(r.Duplicates()).To(HaveLen(1))
		Expect(r.Duplicates()).To(HaveKey("k2"))
		Expect(r.WithoutKey).To(Equal(1))
		Expect(r.Dropped).To(Equal(int64(3)))
	})
})
