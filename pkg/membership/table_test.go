package membership

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The property tests use a fixed seed unless the command line gives another.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

// fleet runs tables on a network that loses, duplicates and delays heartbeats.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	tables   map[string]*Table
	seeds    map[string]string
	killed   map[string]MemberEntry
	paused   map[string]int // ticks left
	loss     float64
	cut      bool // regions apart
	inFlight []Message
	next     uint64
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*Table{},
		seeds: map[string]string{}, killed: map[string]MemberEntry{}, paused: map[string]int{}}
	for i := range n {
		id := fmt.Sprintf("vm-%02d", i)
		f.seeds[id] = id
	}
	for _, id := range f.ids() {
		f.start(id)
	}
	return f
}

// ids returns the ids of all VMs in order; map order would make a seed give different runs.
func (f *fleet) ids() []string { return slices.Sorted(maps.Keys(f.seeds)) }

func region(id string) string {
	return map[bool]string{true: "east", false: "west"}[id[len(id)-1]%2 == 0]
}

func (f *fleet) start(id string) {
	f.next++
	t := NewTable(Member{ID: id, Incarnation: f.next, Start: f.now, Region: region(id), Peer: id}, f.now)
	t.SetSeeds(f.seeds)
	f.tables[id] = t
	delete(f.killed, id)
}

func (f *fleet) kill(id string) {
	if t := f.tables[id]; t != nil {
		f.killed[id] = t.self
		delete(f.tables, id)
		delete(f.paused, id)
	}
}

func (f *fleet) tick() {
	f.now = f.now.Add(Interval)
	ids := f.ids()
	f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if f.paused[id] > 0 {
			f.paused[id]--
			continue
		}
		t := f.tables[id]
		if t == nil {
			continue
		}
		messages, _ := t.Tick(f.now, f.rng)
		for _, m := range messages {
			f.post(t, id, m)
		}
	}
	f.deliver()
}

func (f *fleet) post(t *Table, from string, m Message) {
	if f.tables[m.ID] == nil || f.cut && region(from) != region(m.ID) {
		t.SendFailed(f.now, m.ID)
		return
	}
	if m.Sync && f.paused[m.ID] == 0 && f.rng.Float64() >= f.loss {
		t.Merge(f.now, f.tables[m.ID].Difference(t.Summary()))
	}
	for f.rng.Float64() >= f.loss {
		f.inFlight = append(f.inFlight, m)
		if f.rng.Float64() >= f.loss { // a lossy network also duplicates
			return
		}
	}
}

func (f *fleet) deliver() {
	f.rng.Shuffle(len(f.inFlight), func(i, j int) { f.inFlight[i], f.inFlight[j] = f.inFlight[j], f.inFlight[i] })
	var late []Message
	for _, m := range f.inFlight {
		if f.loss > 0 && f.rng.Float64() < f.loss {
			late = append(late, m)
		} else if t := f.tables[m.ID]; t != nil && f.paused[m.ID] == 0 {
			t.Receive(f.now, &m.Heartbeat)
		}
	}
	f.inFlight = late
}

// disagreement returns the first difference between the tables and the truth.
func (f *fleet) disagreement() string {
	for id, t := range f.tables {
		for other := range f.seeds {
			r := t.records[other]
			switch live := f.tables[other]; {
			case other == id:
			case live != nil && (r == nil || State(r.State) != Alive || r.Incarnation != live.self.Incarnation):
				return fmt.Sprintf("%s holds live %s as %+v", id, other, r)
			case live == nil && r != nil && State(r.State) != Dead:
				return fmt.Sprintf("%s holds killed %s as %+v", id, other, r)
			}
		}
	}
	return ""
}

// settle runs on a good network until the tables agree and returns the ticks used.
func (f *fleet) settle(limit int) int {
	f.loss, f.cut = 0, false
	clear(f.paused)
	f.tick() // delivers what the network still holds
	for i := range limit {
		if f.disagreement() == "" {
			return i
		}
		f.tick()
	}
	return limit
}

// Guards against tables that stay different after faults, killed VMs that stay or come back, and live ones that end dead.
func TestTableConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(t, "vms"), rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
		for range rapid.IntRange(5, 60).Draw(t, "ticks") {
			id := fmt.Sprintf("vm-%02d", rapid.IntRange(0, len(f.seeds)-1).Draw(t, "vm"))
			switch rapid.IntRange(0, 12).Draw(t, "fault") {
			case 0:
				f.kill(id)
			case 1:
				f.kill(id)
				f.start(id)
			case 2:
				f.paused[id] = rapid.IntRange(1, 15).Draw(t, "pause")
			case 3:
				f.cut = !f.cut
			}
			f.tick()
		}
		const limit = 200
		if used := f.settle(limit); used == limit {
			t.Fatalf("not converged: %s", f.disagreement())
		}
		// The first agreement may come while silence from the time of the faults still counts towards a suspicion.
		for range 2 * int((suspectAfter+deadAfter)/Interval) {
			f.tick()
		}
		if used := f.settle(limit); used == limit {
			t.Fatalf("not converged after all timeouts: %s", f.disagreement())
		}
		for range 60 { // from here on agreement must last
			f.tick()
			if d := f.disagreement(); d != "" {
				t.Fatalf("diverged again: %s", d)
			}
		}
	})
}

// Guards against merging that depends on the order or number of deliveries.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) MemberEntry {
			n := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			return MemberEntry{ID: "b", Incarnation: n, StartMs: int64(n), Sequence: rapid.Uint64Range(1, 5).Draw(t, "sequence"),
				State: rapid.Uint8Range(0, 3).Draw(t, "state"), Peer: fmt.Sprint(n)}
		}), 1, 12).Draw(t, "entries")
		order := rapid.Permutation(entries).Draw(t, "order")
		now := time.Unix(0, 0)
		x, y := NewTable(Member{ID: "a"}, now), NewTable(Member{ID: "a"}, now)
		for _, e := range entries {
			x.merge(now, e)
		}
		for _, e := range append(order, order...) {
			y.merge(now, e)
		}
		if x.records["b"].MemberEntry != y.records["b"].MemberEntry {
			t.Fatalf("%+v differs from %+v", x.records["b"].MemberEntry, y.records["b"].MemberEntry)
		}
	})
}

var _ = Describe("failure detection", func() {
	// Guards against late detection: ring successor 3 s, suspect 3 s, spread, at the two-year fleet and beyond.
	DescribeTable("a killed VM is dead everywhere in time", func(n, kill int) {
		f := newFleet(n, 7)
		Expect(f.settle(60)).To(BeNumerically("<", 60), f.disagreement())
		for i := range kill {
			f.kill(fmt.Sprintf("vm-%02d", 2*i)) // neighbours in one region's ring
		}
		used := f.settle(60)
		Expect(used).To(BeNumerically("<=", 20), f.disagreement())
		GinkgoWriter.Printf("seed=7 vms=%d killed=%d dead everywhere after %d s\n", n, kill, used)
	}, Entry("one of 16", 16, 1), Entry("a data centre of 4 of 16", 16, 4), Entry("a region of 8 of 16", 16, 8), Entry("one of 64", 64, 1))

	// Guards against a resumed process that declares its neighbours dead because it heard nothing while paused.
	It("does not suspect others after its own pause", func() {
		f := newFleet(4, 3)
		f.settle(60)
		f.now = f.now.Add(20 * time.Second)
		t := f.tables["vm-00"]
		_, paused := t.Tick(f.now, f.rng)
		Expect(paused).To(BeTrue())
		Expect(f.disagreement()).To(BeEmpty())
	})

	// Guards against an old process that goes on serving under an id that has been given to a new one.
	It("notices a later process with its id", func() {
		now := time.Unix(1000, 0)
		old := NewTable(Member{ID: "a", Incarnation: 9, Start: now}, now)
		old.merge(now.Add(time.Hour), MemberEntry{ID: "a", Incarnation: 2, StartMs: now.Add(time.Minute).UnixMilli()})
		Expect(old.Superseded()).To(BeTrue())
		restarted := NewTable(Member{ID: "a", Incarnation: 9, Start: now}, now)
		restarted.merge(now, MemberEntry{ID: "a", Incarnation: 2, StartMs: now.Add(time.Minute).UnixMilli()})
		Expect(restarted.Superseded()).To(BeFalse())
		Expect(restarted.self.StartMs).To(BeNumerically(">", now.Add(time.Minute).UnixMilli()))
	})
})
