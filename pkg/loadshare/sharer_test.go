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

var shared = &directory.Server{ID: "s", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Region: "r", Slots: 3}

type node struct {
	*loadshare.Sharer
	balancer *balance.Balancer
	stop     func()
	digests  chan directory.Digest
}

func startNode(name, region string) *node { return startNodeIn(name, region, "d", 10) }

func startNodeIn(name, region, dataCentre string, capacity int) *node {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	n := &node{balancer: balance.New(balance.Place{DataCentre: dataCentre, Region: region}, 1), digests: make(chan directory.Digest, 1024)}
	n.balancer.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {shared}}})
	n.Sharer = loadshare.New(loadshare.Options{Clock: clock.System{}, VM: name, DataCentre: dataCentre, Region: region, Conn: conn,
		Regions: map[string]string{"d": "r", "e": "r", "f": "other", "g": "other"}, Capacity: capacity,
		Balancer: n.balancer, Digest: func() directory.Digest { return directory.Digest{ConfigVersion: 4} },
		Reads: func() bool { return false },
		Observe: func(_ string, d directory.Digest) {
			select {
			case n.digests <- d:
			default:
			}
		}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	n.stop = func() { cancel(); <-done; _ = conn.Close() }
	DeferCleanup(n.stop)
	return n
}

var _ = Describe("Sharer", func() {
	busy := func(n *node) int {
		c, _ := n.balancer.Pick(balance.Request{Service: "s", Work: time.Millisecond, Objective: time.Second}, time.Now())
		return c.Busy
	}

	// Guards against VMs that choose without knowing of each other's requests, and of figures that others have read.
	It("tells begin, end and figures to the VMs of the region within milliseconds", func() {
		a, b, far := startNode("a", "r"), startNode("b", "r"), startNode("far", "other")
		a.Join([]string{b.Address(), far.Address()})
		Eventually(b.LiveInRegion).Should(ConsistOf(a.Address()))
		Eventually(a.LiveInRegion).Should(ConsistOf(b.Address()))
		Eventually(far.VMs, "25s").Should(Equal(3), "VMs learn of each other's acquaintances")
		key := balance.KeyOf(shared)
		a.Tell(loadshare.Event{Key: key, Count: a.balancer.Begin(key)})
		Eventually(func() int { return busy(b) }, "100ms", "1ms").Should(Equal(1))
		a.Tell(loadshare.Event{Key: key, Count: a.balancer.End(key, balance.Answered, time.Now()), Figure: &balance.Figure{Slowness: 5},
			FigureAt: time.Now()})
		Eventually(func() int { return busy(b) }, "100ms", "1ms").Should(BeZero())
		Expect(b.balancer.Slowness(key, time.Now())).To(BeNumerically(">", 3))
		Expect(busy(far)).To(BeZero())
		Eventually(b.digests).Should(Receive(HaveField("ConfigVersion", int64(4))))
	})

	// Guards against the requests of a VM that was killed: they kept its servers busy for all others.
	It("forgets the requests of a silent VM, and counts them again when it is back", func() {
		a, b := startNode("a", "r"), startNode("b", "r")
		a.Join([]string{b.Address()})
		key := balance.KeyOf(shared)
		a.Tell(loadshare.Event{Key: key, Count: a.balancer.Begin(key)})
		Eventually(func() int { return busy(b) }).Should(Equal(1))
		a.stop()
		Eventually(func() int { return busy(b) }, "3s").Should(BeZero())
		Expect(b.LiveInRegion()).To(BeEmpty())
	})

	// Guards against a start of all VMs at once in which each greets every other of both regions with each of its many first
	// heartbeats: on the grown deployments that filled the link between the regions and the links of small VMs.
	It("finds the VMs of a large region with a few datagrams a VM", func() {
		const each, watched = 12, 3 * time.Second
		sent := metrics.GetOrCreateCounter(`hornbeamway_loadshare_datagrams_total{direction="sent"}`)
		before := sent.Get()
		var nodes []*node
		for i := range each {
			for _, place := range [][2]string{{"r", "d"}, {"r", "e"}, {"other", "f"}, {"other", "g"}} {
				nodes = append(nodes, startNodeIn(fmt.Sprintf("%s%d", place[1], i), place[0], place[1], 10))
			}
		}
		started := time.Now()
		seeds := []string{nodes[0].Address(), nodes[1].Address(), nodes[2].Address()}
		for _, n := range nodes {
			n.Join(seeds)
		}
		for _, n := range nodes {
			Eventually(n.LiveInRegion, "3s", "20ms").Should(HaveLen(2*each-1), n.VM)
		}
		time.Sleep(watched - min(watched, time.Since(started)))
		rounds := float64(time.Since(started)/(200*time.Millisecond)) + 2
		// The group is the other VMs of the data centre. Each greets and answers each once, a second time where greetings cross;
		// beside that there are the seeds and two VMs of each other place.
		perVM := rounds*(each-1) + 4*(2*each-1) + 20
		Expect(float64(sent.Get()-before) / float64(len(nodes))).To(BeNumerically("<=", perVM))
	})

	// Guards against VMs that hold the counts of others for good after their region has grown and they no longer hear of them.
	It("forgets the counts of VMs that leave the group", func() {
		here, there := startNode("here", "r"), startNodeIn("there", "r", "e", 10)
		here.Join([]string{there.Address()})
		key := balance.KeyOf(shared)
		Eventually(here.LiveInRegion).Should(HaveLen(1))
		there.Tell(loadshare.Event{Key: key, Count: there.balancer.Begin(key)})
		Eventually(func() int { return busy(here) }).Should(Equal(1))
		var others []string
		for i := range 20 {
			others = append(others, startNode(fmt.Sprintf("d%d", i), "r").Address())
		}
		here.Join(others)
		Eventually(func() int { return busy(here) }, "3s").Should(BeZero())
	})

	// Guards against a VM whose clock was set back before it started again: its counts were never taken.
	It("takes the counts of a VM that starts again with an earlier clock", func() {
		a := startNode("a", "r")
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		to, err := net.ResolveUDPAddr("udp", a.Address())
		Expect(err).NotTo(HaveOccurred())
		key := balance.KeyOf(shared)
		say := func(start int64, count int) {
			_, err := conn.WriteToUDP(loadshare.EncodeHeartbeat("b", "d", "r", start, map[balance.Key]int{key: count}), to)
			Expect(err).NotTo(HaveOccurred())
		}
		say(9_000, 1)
		Eventually(func() int { return busy(a) }).Should(Equal(1))
		time.Sleep(400 * time.Millisecond)
		say(2_000, 3)
		Eventually(func() int { return busy(a) }, "300ms").Should(Equal(3))
	})

	// Guards against duties that fall to VMs with a small link or little processor time while larger ones are there.
	It("gives duties to VMs with much capacity, and each server to one VM", func() {
		large, small := startNodeIn("large", "r", "d", 100), startNode("small", "r")
		large.Join([]string{small.Address()})
		Eventually(small.ReadRank, "2s").Should(Equal(1))
		Expect(large.ReadRank()).To(BeZero())
		for i := range 20 {
			Expect(large.Probes(strconv.Itoa(i), "d")).To(BeTrue())
			Expect(small.Probes(strconv.Itoa(i), "d")).To(BeFalse())
		}
		Expect(small.Probes("s", "e")).To(BeFalse(), "e has no VM, so the region's strong ones ask its servers")
		Expect(large.Probes("s", "e")).To(BeTrue())
	})
})
