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

// fakeLog is the log service of a cluster.
type fakeLog struct {
	clock   *clock.Manual
	first   int64
	records []platformlog.Record
	// delayed are appended records that have not taken effect yet.
	delayed []json.RawMessage
}

// logView is one VM's way to the log, with its faults.
type logView struct {
	log *fakeLog
	// down refuses everything; lose is the number of appends whose answer is lost after they took effect.
	down bool
	lose int
	// late is the number of appends that take effect only when they land.
	late int
	// hang, if set, takes a value when a read starts; the read ends with the next one.
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
	if v.late > 0 {
		v.late--
		v.log.delayed = append(v.log.delayed, text)
		return 0, platformlog.ErrUnknownAppend
	}
	offset := v.log.first + int64(len(v.log.records))
	v.log.records = append(v.log.records, platformlog.Record{Offset: offset, Data: text})
	if v.lose > 0 {
		v.lose--
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

// land lets the delayed records take effect.
func (l *fakeLog) land() {
	for _, text := range l.delayed {
		l.records = append(l.records, platformlog.Record{Offset: l.first + int64(len(l.records)), Data: text})
	}
	l.delayed = nil
}

// expire drops the oldest n records.
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
	// A draining VM is no longer among the VMs that are alive.
	paused, draining bool
	// sends are the transfers that wait for their goroutine to be scheduled.
	sends []func()
}

// cluster is a set of VMs on one clock, one log and one peer network. It runs in one goroutine.
type cluster struct {
	clock *clock.Manual
	log   *fakeLog
	vms   map[string]*vm
	ids   []string
	next  uint64
	// loseHandover is the number of chunks whose confirmation is lost.
	loseHandover int
	// lost are the chunks whose confirmation was lost.
	lost []operation.Chunk
	// listRead says that the VM list can be read; hidden are the running VMs that it does not show yet, and gone are the
	// ended VMs that it still shows.
	listRead     bool
	hidden, gone map[string]bool
	// cuts are the pairs of VMs that do not reach each other.
	cuts map[[2]string]bool
}

func newCluster(ids ...string) *cluster {
	c := &cluster{clock: clock.NewManual(testStart), vms: map[string]*vm{}, ids: ids,
		hidden: map[string]bool{}, gone: map[string]bool{}, cuts: map[[2]string]bool{}}
	c.log = &fakeLog{clock: c.clock}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

// start replaces the VM id by a new process with nothing kept.
func (c *cluster) start(id string) {
	c.next++
	self := operation.Self{VM: id, Incarnation: c.next,
		Forward: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[len(id)-1]}), 8001)}
	v := &vm{log: &logView{log: c.log}, self: self}
	ledger := operation.NewLedger(c.clock.Now())
	v.ranges = operation.NewRangeManager(operation.RangeOptions{
		Clock: c.clock, Log: v.log, Peers: network{c, id}, Ledger: ledger, Self: self, Alive: c.alive,
		Voters: func() ([]string, bool) { return c.voters(id), c.listRead },
		Go:     func(f func()) { v.sends = append(v.sends, f) },
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

// network is the peer network as one VM reaches it.
type network struct {
	*cluster
	self string
}

// Handover implements operation.Peers.
func (n network) Handover(ctx context.Context, id string, chunk operation.Chunk) error {
	if n.cuts[pair(id, n.self)] {
		return errors.New("unreachable")
	}
	return n.cluster.Handover(ctx, id, chunk)
}

// Handover delivers a chunk.
func (c *cluster) Handover(_ context.Context, id string, chunk operation.Chunk) error {
	text, _ := json.Marshal(chunk)
	var arrived operation.Chunk
	if err := json.Unmarshal(text, &arrived); err != nil {
		return err
	}
	v := c.vms[id]
	if v == nil || v.paused {
		return errors.New("unreachable")
	}
	err := v.ranges.Receive(arrived)
	if err == nil && c.loseHandover > 0 {
		c.loseHandover--
		c.lost = append(c.lost, arrived)
		return errors.New("confirmation lost")
	}
	return err
}

// Keep implements operation.Peers. It is called from goroutines of the asking VM.
func (c *cluster) Keep(_ context.Context, id string, r operation.KeepRequest) error {
	v := c.vms[id]
	if v == nil || v.paused || c.cuts[pair(id, r.VM)] {
		return errors.New("unreachable")
	}
	return v.ranges.Promise(r)
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// voters returns what the list and the heartbeats show to one VM.
func (c *cluster) voters(self string) (ids []string) {
	for id, v := range c.vms {
		if !c.hidden[id] || !v.paused && !c.cuts[pair(id, self)] {
			ids = append(ids, id)
		}
	}
	for id := range c.gone {
		ids = append(ids, id)
	}
	return ids
}

// keep lets one VM extend its leases without the log.
func (c *cluster) keep(id string) {
	if v := c.vms[id]; v != nil && !v.paused {
		v.ranges.Keep(context.Background())
	}
}

// step lets one VM read and act once.
func (c *cluster) step(id string) {
	if v := c.vms[id]; v != nil && !v.paused {
		_, _ = v.ranges.Step(context.Background())
	}
}

// send lets the transfers of one VM run.
func (c *cluster) send(id string) {
	if v := c.vms[id]; v != nil && !v.paused {
		sends := v.sends
		v.sends = nil
		for _, f := range sends {
			f()
		}
	}
}

// run lets time pass in steps of one second, or two in a long time, in which every VM that runs steps twice.
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
				c.send(id)
				c.keep(id)
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
