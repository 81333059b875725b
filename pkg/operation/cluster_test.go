package operation_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// fakeLog is an in-memory log service for a cluster.
type fakeLog struct {
	clock   *clock.Manual
	first   int64
	records []platformlog.Record
	// delayed are records whose append has not taken effect yet.
	delayed []json.RawMessage
}

// logView is the log as accessed by one VM, with injected faults.
type logView struct {
	log *fakeLog
	// down makes all calls fail; loseResponses is the number of appends that take effect but whose response is lost.
	down          bool
	loseResponses int
	// delayAppends is the number of appends that take effect only at the next applyDelayed.
	delayAppends int
	// hang, if set, blocks reads: a read receives one value when it starts and returns after a second value.
	hang chan struct{}
}

func (v *logView) Append(_ context.Context, _ string, data any) (int64, error) {
	if v.down {
		return 0, platformlog.ErrUnavailable
	}
	text, err := json.Marshal(data)
	if err != nil {
		return 0, err
	}
	if v.delayAppends > 0 {
		v.delayAppends--
		v.log.delayed = append(v.log.delayed, text)
		return 0, platformlog.ErrUnknownAppend
	}
	offset := v.log.first + int64(len(v.log.records))
	v.log.records = append(v.log.records, platformlog.Record{Offset: offset, Data: text})
	if v.loseResponses > 0 {
		v.loseResponses--
		return 0, platformlog.ErrUnknownAppend
	}
	return offset, nil
}

func (v *logView) Read(_ context.Context, _ string, from int64, _ time.Duration) (platformlog.Batch, error) {
	if v.hang != nil {
		<-v.hang
		<-v.hang
	}
	if v.down {
		return platformlog.Batch{}, platformlog.ErrUnavailable
	}
	l := v.log
	b := platformlog.Batch{First: l.first, Next: l.first + int64(len(l.records)), RetentionMillis: 120_000}
	b.Records = l.records[min(max(0, from-l.first), int64(len(l.records))):]
	return b, nil
}

// applyDelayed appends the delayed records.
func (l *fakeLog) applyDelayed() {
	for _, text := range l.delayed {
		l.records = append(l.records, platformlog.Record{Offset: l.first + int64(len(l.records)), Data: text})
	}
	l.delayed = nil
}

// expire removes the oldest n records.
func (l *fakeLog) expire(n int) {
	n = min(n, len(l.records))
	l.first, l.records = l.first+int64(n), l.records[n:]
}

// vm is one entry VM of a cluster.
type vm struct {
	*operation.Coordinator
	ranges *operation.RangeManager
	log    *logView
	self   operation.Self
	// A paused or draining VM is not returned by cluster.alive.
	paused, draining bool
	// pendingSends are the transfers that have not run yet.
	pendingSends []func()
}

// cluster is a set of VMs with a common clock, log and peer network. It runs in one goroutine.
type cluster struct {
	clock *clock.Manual
	log   *fakeLog
	vms   map[string]*vm
	ids   []string
	next  uint64
	// loseHandover is the number of chunks whose confirmation is lost.
	loseHandover int
	// unconfirmedChunks are the chunks whose confirmation was lost.
	unconfirmedChunks []operation.Chunk
	// listReadable reports whether the VM list can be read. unlisted are the running VMs that it does not contain yet;
	// endedListed are the ended VMs that it still contains.
	listReadable          bool
	unlisted, endedListed map[string]bool
	// partitioned are the pairs of VMs that cannot reach each other.
	partitioned map[[2]string]bool
}

func newCluster(ids ...string) *cluster {
	c := &cluster{clock: clock.NewManual(testStart), vms: map[string]*vm{}, ids: ids,
		unlisted: map[string]bool{}, endedListed: map[string]bool{}, partitioned: map[[2]string]bool{}}
	c.log = &fakeLog{clock: c.clock}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

// start replaces the VM id by a new process without any state.
func (c *cluster) start(id string) {
	c.next++
	self := operation.Self{VM: id, Incarnation: c.next,
		Forward: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[len(id)-1]}), 8001)}
	v := &vm{log: &logView{log: c.log}, self: self}
	ledger := operation.NewLedger(c.clock.Now())
	v.ranges = operation.NewRangeManager(operation.RangeOptions{
		Clock: c.clock, Log: v.log, Peers: network{c, id}, Ledger: ledger, Self: self, Alive: c.alive,
		Voters: func() ([]string, bool) { return c.voters(id), c.listReadable },
		Go:     func(f func()) { v.pendingSends = append(v.pendingSends, f) },
	})
	v.Coordinator = operation.NewCoordinator(operation.Options{
		Clock: c.clock, Codec: operation.NewCodec(testSecret), Self: self, Ledger: ledger, Ranges: v.ranges,
	})
	c.vms[id] = v
}

func (c *cluster) alive() []operation.Candidate {
	var all []operation.Candidate
	for i, id := range c.ids {
		if v := c.vms[id]; v != nil && !v.paused && !v.draining {
			all = append(all, operation.Candidate{VM: id, Region: []string{"north", "south"}[i%2]})
		}
	}
	return all
}

// network is the peer network as accessed by one VM.
type network struct {
	*cluster
	self string
}

// Handover implements operation.Peers.
func (n network) Handover(ctx context.Context, id string, chunk operation.Chunk) error {
	if n.partitioned[pair(id, n.self)] {
		return errors.New("unreachable")
	}
	return n.cluster.Handover(ctx, id, chunk)
}

// Handover delivers a chunk.
func (c *cluster) Handover(_ context.Context, id string, chunk operation.Chunk) error {
	text, _ := json.Marshal(chunk)
	var received operation.Chunk
	if err := json.Unmarshal(text, &received); err != nil {
		return err
	}
	v := c.vms[id]
	if v == nil || v.paused {
		return errors.New("unreachable")
	}
	err := v.ranges.ReceiveChunk(received)
	if err == nil && c.loseHandover > 0 {
		c.loseHandover--
		c.unconfirmedChunks = append(c.unconfirmedChunks, received)
		return errors.New("confirmation lost")
	}
	return err
}

// RequestExtension implements operation.Peers. It is called from goroutines of the requesting VM.
func (c *cluster) RequestExtension(_ context.Context, id string, r operation.ExtensionRequest) error {
	v := c.vms[id]
	if v == nil || v.paused || c.partitioned[pair(id, r.VM)] {
		return errors.New("unreachable")
	}
	return v.ranges.GrantExtension(r)
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// voters returns the VMs that are in the list or whose heartbeats one VM receives.
func (c *cluster) voters(self string) (ids []string) {
	for id, v := range c.vms {
		if !c.unlisted[id] || !v.paused && !c.partitioned[pair(id, self)] {
			ids = append(ids, id)
		}
	}
	for id := range c.endedListed {
		ids = append(ids, id)
	}
	return ids
}

// extendLeases makes one VM extend its leases without the log.
func (c *cluster) extendLeases(id string) {
	if v := c.vms[id]; v != nil && !v.paused {
		v.ranges.ExtendLeases(context.Background())
	}
}

// step runs Step once on one VM.
func (c *cluster) step(id string) {
	if v := c.vms[id]; v != nil && !v.paused {
		_, _ = v.ranges.Step(context.Background())
	}
}

// runSends runs the pending transfers of one VM.
func (c *cluster) runSends(id string) {
	if v := c.vms[id]; v != nil && !v.paused {
		sends := v.pendingSends
		v.pendingSends = nil
		for _, f := range sends {
			f()
		}
	}
}

// run advances the clock by d in steps of one second, or two seconds if d is over a minute. In each step, every running VM
// calls Step twice.
func (c *cluster) run(d time.Duration) {
	step := time.Second
	if d > time.Minute {
		step = 2 * time.Second
	}
	for ; d > 0; d -= step {
		c.clock.Advance(step)
		for range 2 {
			for _, id := range c.ids {
				c.step(id)
				c.runSends(id)
				c.extendLeases(id)
			}
		}
	}
}

// owned returns the number of ranges on which each VM holds a lease.
func (c *cluster) owned() map[string]int {
	owned := map[string]int{}
	for id, v := range c.vms {
		for r := range operation.RangeCount {
			if h := v.ranges.Holding(r); h.Owner.Local && c.clock.Now().Before(h.LeaseEnd) {
				owned[id]++
			}
		}
	}
	return owned
}

// owner returns the VM that holds the lease of key.
func (c *cluster) owner(key string) *vm {
	for _, v := range c.vms {
		if h := v.ranges.Holding(operation.RangeOf(key)); h.Owner.Local && c.clock.Now().Before(h.LeaseEnd) {
			return v
		}
	}
	return nil
}
