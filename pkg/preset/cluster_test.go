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

// clusterSeed is the seed of all jitter in the fault tests.
const clusterSeed = 7

// clockStep is the amount by which the clocks advance at a time. It is below the follower's tickInterval, so that no step
// counts as a pause.
const clockStep = 100 * time.Millisecond

// maxVersionSkew is the maximum time for which two versions may be in force at once (invariant 7 of docs/design.md).
const maxVersionSkew = 7 * time.Second

var startTime = time.Unix(1_700_000_000, 0)

// cluster runs the components of package preset for several VMs on manual clocks and simulates partitions and pauses.
type cluster struct {
	ctx   context.Context
	clock *clock.Manual // the log's clock
	log   *platformlog.Memory

	mu             sync.Mutex
	vms            map[string]*testVM
	listed         []string
	onConfirm      func(from, to string, r preset.ConfirmRequest) // called after a confirm request was handled
	onAppend       func(vm *testVM, e *preset.Entry)              // called before an append is sent
	firstInForce   map[int64]time.Time                            // time at which each version was first in force
	highestVersion int64
}

// testVM is one VM. It implements platformlog.Log, preset.Peers and preset.Fleet for its own components.
type testVM struct {
	id, region  string
	cluster     *cluster
	clock       *clock.Manual
	follower    *preset.Follower
	proposer    *preset.Proposer
	watcher     *preset.Watcher
	partitioned bool          // cut off from the log and from other regions
	resumed     chan struct{} // closed at the end of a pause; nil while the VM runs
	lastVersion int64
}

// runInBubble runs a scenario in a synctest bubble, so that synctest.Wait can detect when all its goroutines are blocked.
func runInBubble(scenario func(ctx context.Context)) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		scenario(ctx)
	})
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{ctx: ctx, clock: clock.NewManual(startTime), vms: map[string]*testVM{},
		firstInForce: map[int64]time.Time{}, highestVersion: -1}
	c.log = platformlog.NewMemory(c.clock)
	return c
}

func (c *cluster) start(id, region string) *testVM {
	vm := &testVM{id: id, region: region, cluster: c, clock: clock.NewManual(c.clock.Now()), lastVersion: preset.NoVersion}
	o := preset.Options{Log: vm, Clock: vm.clock, Peers: vm, Fleet: vm, Rand: rand.New(rand.NewPCG(clusterSeed, uint64(len(id))))}
	o.Boot = func() time.Duration { return c.clock.Now().Sub(startTime) + time.Hour }
	vm.follower = preset.NewFollower(o)
	vm.proposer = preset.NewProposer(vm, vm.clock, vm.follower)
	vm.watcher = preset.NewWatcher(o, vm.follower)
	o.Rand = rand.New(rand.NewPCG(clusterSeed, 2))
	acceptor := preset.NewAcceptor(o, vm.follower)
	o.Rand = rand.New(rand.NewPCG(clusterSeed, 3))
	snapshotter := preset.NewSnapshotter(o, vm.follower)
	c.mu.Lock()
	c.vms[id] = vm
	c.listed = append(c.listed, id)
	c.mu.Unlock()
	go vm.follower.Run(c.ctx)
	go acceptor.Run(c.ctx)
	go snapshotter.Run(c.ctx)
	return vm
}

// newBootstrappedCluster returns a cluster of three VMs in two regions with the ordinary preset in force. The log is in
// region west.
func newBootstrappedCluster(ctx context.Context) (c *cluster, a, b, e *testVM) {
	c = newCluster(ctx)
	a, b, e = c.start("a", "west"), c.start("b", "west"), c.start("e", "east")
	_, err := c.log.Append(c.ctx, preset.Stream, bootstrapEntry())
	Expect(err).NotTo(HaveOccurred())
	c.advanceUntil("bootstrap", c.allServing)
	c.advance(12 * time.Second) // longer than the settling period; other specs test a start close to a change
	return c, a, b, e
}

// advanceUntil advances the clocks until the condition holds, for at most 2 minutes.
func (c *cluster) advanceUntil(what string, condition func() bool) {
	GinkgoHelper()
	for range 1200 {
		if condition() {
			return
		}
		c.step()
	}
	Fail("not reached within 2 minutes: " + what)
}

// advance advances the clocks by d.
func (c *cluster) advance(d time.Duration) {
	GinkgoHelper()
	for ; d > 0; d -= clockStep {
		c.step()
	}
}

func (c *cluster) step() {
	GinkgoHelper()
	c.clock.Advance(clockStep)
	for _, vm := range c.running() {
		vm.clock.Advance(clockStep)
	}
	synctest.Wait()
	if c.clock.Now().Sub(startTime)%time.Second == 0 {
		c.heartbeats()
		synctest.Wait()
	}
	c.checkInvariants()
}

func (c *cluster) running() []*testVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*testVM
	for _, vm := range c.vms {
		if vm.resumed == nil {
			running = append(running, vm)
		}
	}
	return running
}

func (c *cluster) heartbeats() {
	for _, from := range c.running() {
		s := from.follower.Status()
		for _, to := range c.running() {
			if from != to && c.reachable(from.id, to.id) {
				to.follower.HandlePeerStatus(preset.PeerStatus{VM: from.id, Version: s.Version, Position: s.Position})
			}
		}
	}
}

// checkInvariants checks on every VM that the version in force does not decrease, and that an old version is not in force
// for longer than maxVersionSkew after a newer one came into force on any VM.
func (c *cluster) checkInvariants() {
	GinkgoHelper()
	now := c.clock.Now()
	for _, vm := range c.running() {
		e := vm.follower.InForce()
		if e == nil {
			continue
		}
		Expect(e.Version).To(BeNumerically(">=", vm.lastVersion), "version decreased on "+vm.id)
		vm.lastVersion = e.Version
		if _, ok := c.firstInForce[e.Version]; !ok {
			c.firstInForce[e.Version] = now
		}
		c.highestVersion = max(c.highestVersion, e.Version)
		if e.Version < c.highestVersion {
			Expect(now.Sub(c.firstInForce[c.highestVersion])).To(BeNumerically("<=", maxVersionSkew),
				"old version still in force on "+vm.id)
		}
	}
}

// allServing reports whether every running VM has a preset in force.
func (c *cluster) allServing() bool {
	for _, vm := range c.running() {
		if vm.follower.InForce() == nil {
			return false
		}
	}
	return true
}

// allInForce returns a condition that holds if the content with the marker is in force on every running VM.
func (c *cluster) allInForce(marker int) func() bool {
	return func() bool {
		for _, vm := range c.running() {
			if e := vm.follower.InForce(); e == nil || e.Content.EntryVMs != marker {
				return false
			}
		}
		return true
	}
}

// setHook sets the function that is called after each confirm request.
func (c *cluster) setHook(hook func(from, to string, r preset.ConfirmRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onConfirm = hook
}

// runWhileAdvancing runs an operation that waits for the log and advances the clocks until it returns.
func (c *cluster) runWhileAdvancing(operation func() error) error {
	GinkgoHelper()
	done := make(chan error, 1)
	go func() { done <- operation() }()
	var err error
	c.advanceUntil("end of the operation", func() bool {
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	return err
}

// propose proposes content with the marker for the ordinary preset.
func (c *cluster) propose(vm *testVM, marker int) (id string, err error) {
	GinkgoHelper()
	s, _ := vm.follower.View()
	change := preset.Change{Object: "preset/ordinary", Base: s.VersionOf("preset/ordinary"), Content: contentOf("ordinary", marker)}
	err = c.runWhileAdvancing(func() (err error) { id, err = vm.proposer.Propose(c.ctx, change); return err })
	return id, err
}

// countRecords returns the number of records of a kind in the log.
func (c *cluster) countRecords(kind preset.Kind) (count int) {
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

func (c *cluster) setListed(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Copied because the caller keeps modifying its array.
	c.listed = append([]string(nil), ids...)
}

func (c *cluster) setPartitioned(vm *testVM, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	vm.partitioned = partitioned
}

func (c *cluster) pause(vm *testVM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	vm.resumed = make(chan struct{})
}

func (c *cluster) unpause(vm *testVM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	vm.clock.Advance(c.clock.Now().Sub(vm.clock.Now()))
	close(vm.resumed)
	vm.resumed = nil
}

func (c *cluster) reachable(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, b := c.vms[from], c.vms[to]
	if a == nil || b == nil || a.resumed != nil || b.resumed != nil {
		return false
	}
	return a.region == b.region || !(a.partitioned || b.partitioned)
}

// faults reports whether the VM is cut off, and returns the channel that is closed at the end of its pause.
func (v *testVM) faults() (partitioned bool, resumed chan struct{}) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.partitioned, v.resumed
}

// Append implements platformlog.Log. The append of a paused VM is sent at the end of the pause.
func (v *testVM) Append(ctx context.Context, stream string, data any) (int64, error) {
	v.cluster.mu.Lock()
	hook := v.cluster.onAppend
	v.cluster.mu.Unlock()
	if e, ok := data.(*preset.Entry); ok && hook != nil {
		hook(v, e)
	}
	if _, resumed := v.faults(); resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	if partitioned, _ := v.faults(); partitioned {
		return 0, platformlog.ErrUnavailable
	}
	return v.cluster.log.Append(ctx, stream, data)
}

// Read implements platformlog.Log. A read fails if the VM is cut off when the log responds, and returns after the end of the
// pause if the VM is paused then.
func (v *testVM) Read(ctx context.Context, stream string, from int64, wait time.Duration) (platformlog.Batch, error) {
	b, err := v.cluster.log.Read(ctx, stream, from, wait)
	partitioned, resumed := v.faults()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	if partitioned {
		return platformlog.Batch{}, platformlog.ErrUnavailable
	}
	return b, err
}

func (v *testVM) Confirm(_ context.Context, vm string, r preset.ConfirmRequest) (preset.ConfirmResponse, error) {
	if !v.cluster.reachable(v.id, vm) {
		return preset.ConfirmResponse{}, preset.ErrPeerUnavailable
	}
	v.cluster.mu.Lock()
	to, hook := v.cluster.vms[vm], v.cluster.onConfirm
	v.cluster.mu.Unlock()
	answer := to.follower.HandleConfirm(r)
	if hook != nil {
		hook(v.id, vm, r)
	}
	if !v.cluster.reachable(v.id, vm) {
		return preset.ConfirmResponse{}, preset.ErrPeerUnavailable // the connection was cut before the response arrived
	}
	return answer, nil
}

func (v *testVM) Fetch(_ context.Context, vm string) (preset.Snapshot, error) {
	if !v.cluster.reachable(v.id, vm) {
		return preset.Snapshot{}, preset.ErrPeerUnavailable
	}
	v.cluster.mu.Lock()
	to := v.cluster.vms[vm]
	v.cluster.mu.Unlock()
	return to.follower.Snapshot()
}

func (v *testVM) Self() string { return v.id }

func (v *testVM) Listed() ([]string, bool) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return append([]string(nil), v.cluster.listed...), true
}

func (v *testVM) Alive() []string {
	alive := []string{v.id}
	for _, other := range v.cluster.running() {
		if other != v && v.cluster.reachable(v.id, other.id) {
			alive = append(alive, other.id)
		}
	}
	return alive
}
