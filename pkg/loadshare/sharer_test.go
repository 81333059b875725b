package loadshare_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
)

var testServer = &directory.Server{ID: "s", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Region: "r", Slots: 3}

type testVM struct {
	*loadshare.Sharer
	balancer *balance.Balancer
	stop     func()
	digests  chan directory.Digest
}

func startVM(name, region string) *testVM { return startVMIn(name, region, "d", 10) }

func startVMIn(name, region, dataCentre string, capacity int) *testVM {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	vm := &testVM{balancer: balance.New(balance.Location{DataCentre: dataCentre, Region: region}, 1),
		digests: make(chan directory.Digest, 1024)}
	vm.balancer.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {testServer}}})
	vm.Sharer = loadshare.New(loadshare.Options{Clock: clock.System{}, VM: name, DataCentre: dataCentre, Region: region, Conn: conn,
		Regions: map[string]string{"d": "r", "e": "r", "f": "other", "g": "other"}, Capacity: capacity,
		Balancer: vm.balancer, Digest: func() directory.Digest { return directory.Digest{ConfigVersion: 4} },
		ReadsStore: func() bool { return false },
		ObserveDigest: func(_ string, d directory.Digest) {
			select {
			case vm.digests <- d:
			default:
			}
		}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = vm.Run(ctx) }()
	vm.stop = func() { cancel(); <-done; _ = conn.Close() }
	DeferCleanup(vm.stop)
	return vm
}

var _ = Describe("Sharer", func() {
	inFlight := func(vm *testVM) int {
		choice, _ := vm.balancer.Pick(balance.Request{Service: "s", Work: time.Millisecond, Objective: time.Second}, time.Now())
		return choice.InFlight
	}

	// Guards against VMs that balance without the in-flight requests of peer VMs and the load reports that these received.
	It("sends begin, end and load reports to the VMs of the region within milliseconds", func() {
		a, b, far := startVM("a", "r"), startVM("b", "r"), startVM("far", "other")
		a.AddPeers([]string{b.Address(), far.Address()})
		Eventually(b.LiveInRegion).Should(ConsistOf(a.Address()))
		Eventually(a.LiveInRegion).Should(ConsistOf(b.Address()))
		Eventually(far.VMCount, "25s").Should(Equal(3), "VMs discover each other through the contacts of others")
		key := balance.ServerKeyOf(testServer)
		a.Publish(loadshare.Event{Key: key, Count: a.balancer.Begin(key)})
		Eventually(func() int { return inFlight(b) }, "100ms", "1ms").Should(Equal(1))
		a.Publish(loadshare.Event{Key: key, Count: a.balancer.End(key, balance.Success, time.Now()),
			LoadReport: &balance.LoadReport{Slowdown: 5}, ReportedAt: time.Now()})
		Eventually(func() int { return inFlight(b) }, "100ms", "1ms").Should(BeZero())
		Expect(b.balancer.Slowdown(key, time.Now())).To(BeNumerically(">", 3))
		Expect(inFlight(far)).To(BeZero())
		Eventually(b.digests).Should(Receive(HaveField("ConfigVersion", int64(4))))
	})

	// Guards against VMs that each send a request to a leaving server before they know, although one of them has been told.
	It("tells the VMs of the region that a server is leaving", func() {
		a, b := startVM("a", "r"), startVM("b", "r")
		a.AddPeers([]string{b.Address()})
		Eventually(a.LiveInRegion).Should(ConsistOf(b.Address()))
		key := balance.ServerKeyOf(testServer)
		a.Publish(loadshare.Event{Key: key, Leaving: true})
		Eventually(func() balance.Availability { return b.balancer.Availability(testServer, time.Now()) }).Should(Equal(balance.Leaving))
	})

	// Guards against in-flight requests of a killed VM that other VMs count forever, so that its servers seem busy.
	It("removes the requests of an unreachable VM", func() {
		a, b := startVM("a", "r"), startVM("b", "r")
		a.AddPeers([]string{b.Address()})
		key := balance.ServerKeyOf(testServer)
		a.Publish(loadshare.Event{Key: key, Count: a.balancer.Begin(key)})
		Eventually(func() int { return inFlight(b) }).Should(Equal(1))
		a.stop()
		Eventually(func() int { return inFlight(b) }, "3s").Should(BeZero())
		Expect(b.LiveInRegion()).To(BeEmpty())
	})

	// Guards against a flood of datagrams when all VMs start at once and each sends its many first heartbeats to every other VM of
	// both regions: on grown deployments that saturated the link between the regions and the links of small VMs.
	It("discovers the VMs of a large region with a few datagrams per VM", func() {
		const vmsPerDataCentre, observationTime = 12, 3 * time.Second
		sent := metrics.GetOrCreateCounter(`hornbeamway_loadshare_datagrams_total{direction="sent"}`)
		before := sent.Get()
		var vms []*testVM
		for i := range vmsPerDataCentre {
			for _, location := range [][2]string{{"r", "d"}, {"r", "e"}, {"other", "f"}, {"other", "g"}} {
				vms = append(vms, startVMIn(fmt.Sprintf("%s%d", location[1], i), location[0], location[1], 10))
			}
		}
		started := time.Now()
		seeds := []string{vms[0].Address(), vms[1].Address(), vms[2].Address()}
		for _, vm := range vms {
			vm.AddPeers(seeds)
		}
		for _, vm := range vms {
			Eventually(vm.LiveInRegion, "3s", "20ms").Should(HaveLen(2*vmsPerDataCentre-1), vm.VM)
		}
		time.Sleep(observationTime - min(observationTime, time.Since(started)))
		rounds := float64(time.Since(started)/(200*time.Millisecond)) + 2
		// The group is the other VMs of the data centre. Each VM sends a first heartbeat and a reply to every other
		// one once, and twice where first heartbeats cross. The rest is for the seeds and for two VMs of each other location.
		maxPerVM := rounds*(vmsPerDataCentre-1) + 4*(2*vmsPerDataCentre-1) + 20
		Expect(float64(sent.Get()-before) / float64(len(vms))).To(BeNumerically("<=", maxPerVM))
	})

	// Guards against VMs that keep the counts of others forever after their region has grown, when updates no longer arrive.
	It("removes the counts of VMs that leave the group", func() {
		local, remote := startVM("here", "r"), startVMIn("there", "r", "e", 10)
		local.AddPeers([]string{remote.Address()})
		key := balance.ServerKeyOf(testServer)
		Eventually(local.LiveInRegion).Should(HaveLen(1))
		remote.Publish(loadshare.Event{Key: key, Count: remote.balancer.Begin(key)})
		Eventually(func() int { return inFlight(local) }).Should(Equal(1))
		var others []string
		for i := range 20 {
			others = append(others, startVM(fmt.Sprintf("d%d", i), "r").Address())
		}
		local.AddPeers(others)
		Eventually(func() int { return inFlight(local) }, "3s").Should(BeZero())
	})

	// Guards against ignoring all counts of a VM whose clock was set back before its restart.
	It("applies the counts of a VM that restarts with an earlier clock", func() {
		a := startVM("a", "r")
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		target, err := net.ResolveUDPAddr("udp", a.Address())
		Expect(err).NotTo(HaveOccurred())
		key := balance.ServerKeyOf(testServer)
		sendHeartbeat := func(start int64, count int) {
			_, err := conn.WriteToUDP(loadshare.EncodeHeartbeat("b", "d", "r", start, map[balance.ServerKey]int{key: count}), target)
			Expect(err).NotTo(HaveOccurred())
		}
		sendHeartbeat(9_000, 1)
		Eventually(func() int { return inFlight(a) }).Should(Equal(1))
		time.Sleep(400 * time.Millisecond)
		sendHeartbeat(2_000, 3)
		Eventually(func() int { return inFlight(a) }, "300ms").Should(Equal(3))
	})

	// Guards against duties that are assigned to VMs with a small link or little processor time while larger VMs are live.
	It("assigns duties to VMs with a large capacity, and each server to one VM", func() {
		large, small := startVMIn("large", "r", "d", 100), startVM("small", "r")
		large.AddPeers([]string{small.Address()})
		Eventually(small.ReadRank, "2s").Should(Equal(1))
		Expect(large.ReadRank()).To(BeZero())
		for i := range 20 {
			Expect(large.ProbeDuty().Covers(strconv.Itoa(i), "d")).To(BeTrue())
			Expect(small.ProbeDuty().Covers(strconv.Itoa(i), "d")).To(BeFalse())
		}
		Expect(small.ProbeDuty().Covers("s", "e")).To(BeFalse(), "e has no VM, so VMs with a large capacity in the region probe its servers")
		Expect(large.ProbeDuty().Covers("s", "e")).To(BeTrue())
	})

	// startLargeRegion starts VMs of two data centres, enough for aggregators. The first three of "d" have a large capacity.
	startLargeRegion := func() (vms []*testVM) {
		for i := range 16 {
			capacity := 10
			if i < 3 {
				capacity = 100
			}
			vms = append(vms, startVMIn(fmt.Sprintf("d%d", i), "r", "d", capacity))
		}
		for i := range 8 {
			vms = append(vms, startVMIn(fmt.Sprintf("e%d", i), "r", "e", 10))
		}
		for _, vm := range vms {
			vm.AddPeers([]string{vms[0].Address(), vms[20].Address()})
		}
		for _, vm := range vms {
			Eventually(vm.LiveInRegion, "5s", "20ms").Should(HaveLen(len(vms)-1), vm.VM)
		}
		return vms
	}
	// expectCounted publishes a request of a VM and waits until all VMs count the given number of requests.
	expectCounted := func(vms []*testVM, from, count int) {
		key := balance.ServerKeyOf(testServer)
		vms[from].Publish(loadshare.Event{Key: key, Count: vms[from].balancer.Begin(key)})
		for _, vm := range vms {
			Eventually(func() int { return inFlight(vm) }, "3s", "5ms").Should(Equal(count), vm.VM)
		}
	}

	// Guards against VMs of a large region that miss the requests of others or count them twice, among them an aggregator's own
	// requests and those that an aggregator reports to another one.
	It("counts each request of a data centre once on each of its VMs", func() {
		vms := startLargeRegion()[:16]
		expectCounted(vms, 15, 1)
		expectCounted(vms, 0, 2)
		key := balance.ServerKeyOf(testServer)
		vms[15].Publish(loadshare.Event{Key: key, Count: vms[15].balancer.End(key, balance.Success, time.Now()),
			LoadReport: &balance.LoadReport{Slowdown: 5}, ReportedAt: time.Now()})
		for _, vm := range vms[:15] {
			Eventually(func() int { return inFlight(vm) }, "500ms", "5ms").Should(Equal(1), vm.VM)
			Expect(vm.balancer.Slowdown(key, time.Now())).To(BeNumerically(">", 1.5), vm.VM)
		}
		Consistently(func() int { return inFlight(vms[7]) }, "1500ms", "50ms").Should(Equal(1))
	})

	// Guards against VMs that balance on old counts because the aggregators of their data centre have failed together, such as
	// at a loss of power.
	It("counts requests again within seconds after all aggregators have failed", func() {
		vms := startLargeRegion()[:16]
		expectCounted(vms, 15, 1)
		for _, vm := range vms[:3] {
			vm.stop()
		}
		expectCounted(vms[3:], 12, 2)
	})
})
