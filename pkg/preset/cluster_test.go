package preset_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// clusterSeed is the seed of all jitter in the fault table.
const clusterSeed = 7

// step is how far the clocks move at once. It is below the follower's own period, so that no step looks like a pause.
const step = 100 * time.Millisecond

// spreadLimit is the longest time for which two versions may be in force (invariant 7).
const spreadLimit = 7 * time.Second

var start = time.Unix(1_700_000_000, 0)

// cluster runs the parts of package preset for several VMs on manual clocks, with cuts and pauses between them.
type cluster struct {
	ctx   context.Context
	clock *clock.Manual // the log's clock
	log   *platformlog.Memory

	mu        sync.Mutex
	nodes     map[string]*node
	listed    []string
	onConfirm func(from, to string, r preset.ConfirmRequest) // runs after a confirm request was handled
	onAppend  func(n *node, e *preset.Entry)                 // runs before an append is sent
	seen      map[int64]time.Time                            // version to the time when it was first in force
	highest   int64
}

// node is one VM. It is its own Log, Peers and Fleet.
type node struct {
	id, region string
	cluster    *cluster
	clock      *clock.Manual
	follower   *preset.Follower
	proposer   *preset.Proposer
	watcher    *preset.Watcher
	cutOff     bool // from the log and from other regions
	resume     chan struct{}
	version    int64
}

// bubble runs a scenario so that synctest can tell when all its goroutines wait.
func bubble(scenario func(ctx context.Context)) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		scenario(ctx)
	})
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{ctx: ctx, clock: clock.NewManual(start), nodes: map[string]*node{}, seen: map[int64]time.Time{}, highest: -1}
	c.log = platformlog.NewMemory(c.clock)
	return c
}

func (c *cluster) start(id, region string) *node {
	n := &node{id: id, region: region, cluster: c, clock: clock.NewManual(c.clock.Now()), version: preset.NoVersion}
	o := preset.Options{Log: n, Clock: n.clock, Peers: n, Fleet: n, Rand: rand.New(rand.NewPCG(clusterSeed, uint64(len(id))))}
	o.Boot = func() time.Duration { return c.clock.Now().Sub(start) + time.Hour }
	n.follower = preset.NewFollower(o)
	n.proposer = preset.NewProposer(n, n.clock, n.follower)
	n.watcher = preset.NewWatcher(o, n.follower)
	o.Rand = rand.New(rand.NewPCG(clusterSeed, 2))
	acceptor := preset.NewAcceptor(o, n.follower)
	o.Rand = rand.New(rand.NewPCG(clusterSeed, 3))
	snapshotter := preset.NewSnapshotter(o, n.follower)
	c.mu.Lock()
	c.nodes[id] = n
	c.listed = append(c.listed, id)
	c.mu.Unlock()
	go n.follower.Run(c.ctx)
	go acceptor.Run(c.ctx)
	go snapshotter.Run(c.ctx)
	return n
}

// bootstrapped returns a cluster of three VMs in two regions with the ordinary preset in force. The log is in west.
func bootstrapped(ctx context.Context) (c *cluster, a, b, e *node) {
	c = newCluster(ctx)
	a, b, e = c.start("a", "west"), c.start("b", "west"), c.start("e", "east")
	_, err := c.log.Append(c.ctx, preset.Stream, bootstrapEntry())
	Expect(err).NotTo(HaveOccurred())
	c.until("bootstrap", c.serving)
	c.pass(12 * time.Second) // the VMs have settled; a start close to a change has entries of its own
	return c, a, b, e
}

// until moves the clocks until the condition holds.
func (c *cluster) until(what string, condition func() bool) {
	GinkgoHelper()
	for range 1200 {
		if condition() {
			return
		}
		c.step()
	}
	Fail("not within 2 minutes: " + what)
}

// pass moves the clocks by d.
func (c *cluster) pass(d time.Duration) {
	GinkgoHelper()
	for ; d > 0; d -= step {
		c.step()
	}
}

func (c *cluster) step() {
	GinkgoHelper()
	c.clock.Advance(step)
	for _, n := range c.running() {
		n.clock.Advance(step)
	}
	synctest.Wait()
	if c.clock.Now().Sub(start)%time.Second == 0 {
		c.heartbeats()
		synctest.Wait()
	}
	c.checkInvariants()
}

func (c *cluster) running() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*node
	for _, n := range c.nodes {
		if n.resume == nil {
			running = append(running, n)
		}
	}
	return running
}

func (c *cluster) heartbeats() {
	for _, from := range c.running() {
		s := from.follower.Status()
		for _, to := range c.running() {
			if from != to && c.reachable(from.id, to.id) {
				to.follower.NotePeer(preset.PeerNote{VM: from.id, Version: s.Version, Position: s.Position})
			}
		}
	}
}

// checkInvariants checks on every VM that the version in force does not go down, and that an old version is not in
// force longer than spreadLimit after a newer one came into force anywhere.
func (c *cluster) checkInvariants() {
	GinkgoHelper()
	now := c.clock.Now()
	for _, n := range c.running() {
		e := n.follower.InForce()
		if e == nil {
			continue
		}
		Expect(e.Version).To(BeNumerically(">=", n.version), "version went down on "+n.id)
		n.version = e.Version
		if _, ok := c.seen[e.Version]; !ok {
			c.seen[e.Version] = now
		}
		c.highest = max(c.highest, e.Version)
		if e.Version < c.highest {
			Expect(now.Sub(c.seen[c.highest])).To(BeNumerically("<=", spreadLimit), "old version in force on "+n.id)
		}
	}
}

// serving reports whether every running VM has a preset in force.
func (c *cluster) serving() bool {
	for _, n := range c.running() {
		if n.follower.InForce() == nil {
			return false
		}
	}
	return true
}

// allHave reports whether the content with the mark is in force on every running VM.
func (c *cluster) allHave(mark int) func() bool {
	return func() bool {
		for _, n := range c.running() {
			if e := n.follower.InForce(); e == nil || e.Content.EntryVMs != mark {
				return false
			}
		}
		return true
	}
}

// setHook sets the function that runs after each confirm request.
func (c *cluster) setHook(hook func(from, to string, r preset.ConfirmRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onConfirm = hook
}

// call runs an operation that waits for the log while the clocks move.
func (c *cluster) call(operation func() error) error {
	GinkgoHelper()
	done := make(chan error, 1)
	go func() { done <- operation() }()
	var err error
	c.until("end of the operation", func() bool {
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	return err
}

// propose proposes content with the mark for the ordinary preset.
func (c *cluster) propose(n *node, mark int) (id string, err error) {
	GinkgoHelper()
	s, _ := n.follower.View()
	change := preset.Change{Object: "preset/ordinary", Base: s.VersionOf("preset/ordinary"), Content: contentOf("ordinary", mark)}
	err = c.call(func() (err error) { id, err = n.proposer.Propose(c.ctx, change); return err })
	return id, err
}

// count returns the number of records of a kind in the log.
func (c *cluster) count(kind preset.Kind) (count int) {
	GinkgoHelper()
	batch, err := c.log.Read(c.ctx, preset.Stream, 0, 0)
	Expect(err).NotTo(HaveOccurred())
	for _, r := range batch.Records {
		var e preset.Entry
		Expect(json.Unmarshal(r.Data, &e)).To(Succeed())
		if e.Kind == kind {
			count++
		}
	}
	return count
}

func (c *cluster) list(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The caller goes on using its array.
	c.listed = append([]string(nil), ids...)
}

func (c *cluster) cut(n *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.cutOff = cut
}

func (c *cluster) pause(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.resume = make(chan struct{})
}

func (c *cluster) unpause(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.clock.Advance(c.clock.Now().Sub(n.clock.Now()))
	close(n.resume)
	n.resume = nil
}

func (c *cluster) reachable(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, b := c.nodes[from], c.nodes[to]
	if a == nil || b == nil || a.resume != nil || b.resume != nil {
		return false
	}
	return a.region == b.region || !(a.cutOff || b.cutOff)
}

// state returns whether the VM is cut off, and the channel that ends its pause.
func (n *node) state() (cut bool, resume chan struct{}) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cutOff, n.resume
}

// Append implements platformlog.Log. An append of a paused VM is sent when the pause ends.
func (n *node) Append(ctx context.Context, stream string, data any) (int64, error) {
	n.cluster.mu.Lock()
	hook := n.cluster.onAppend
	n.cluster.mu.Unlock()
	if e, ok := data.(*preset.Entry); ok && hook != nil {
		hook(n, e)
	}
	if _, resume := n.state(); resume != nil {
		select {
		case <-resume:
		case <-ctx.Done():
		}
	}
	if cut, _ := n.state(); cut {
		return 0, platformlog.ErrUnavailable
	}
	return n.cluster.log.Append(ctx, stream, data)
}

// Read implements platformlog.Log. A read during which the VM was cut off or paused fails or waits.
func (n *node) Read(ctx context.Context, stream string, from int64, wait time.Duration) (platformlog.Batch, error) {
	b, err := n.cluster.log.Read(ctx, stream, from, wait)
	cut, resume := n.state()
	if resume != nil {
		select {
		case <-resume:
		case <-ctx.Done():
		}
	}
	if cut {
		return platformlog.Batch{}, platformlog.ErrUnavailable
	}
	return b, err
}

func (n *node) Confirm(_ context.Context, vm string, r preset.ConfirmRequest) (preset.ConfirmAnswer, error) {
	if !n.cluster.reachable(n.id, vm) {
		return preset.ConfirmAnswer{}, preset.ErrPeer
	}
	n.cluster.mu.Lock()
	to, hook := n.cluster.nodes[vm], n.cluster.onConfirm
	n.cluster.mu.Unlock()
	answer := to.follower.HandleConfirm(r)
	if hook != nil {
		hook(n.id, vm, r)
	}
	if !n.cluster.reachable(n.id, vm) {
		return preset.ConfirmAnswer{}, preset.ErrPeer // the answer was lost
	}
	return answer, nil
}

func (n *node) Fetch(_ context.Context, vm string) (preset.Snapshot, error) {
	if !n.cluster.reachable(n.id, vm) {
		return preset.Snapshot{}, preset.ErrPeer
	}
	n.cluster.mu.Lock()
	to := n.cluster.nodes[vm]
	n.cluster.mu.Unlock()
	return to.follower.Snapshot()
}

func (n *node) Self() string { return n.id }

func (n *node) Listed() ([]string, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return append([]string(nil), n.cluster.listed...), true
}

func (n *node) Alive() []string {
	alive := []string{n.id}
	for _, other := range n.cluster.running() {
		if other != n && n.cluster.reachable(n.id, other.id) {
			alive = append(alive, other.id)
		}
	}
	return alive
}
