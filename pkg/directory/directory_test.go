package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

// plainCodec reads versions as numbers and servers as JSON.
type plainCodec struct{}

func (plainCodec) DecodeConfiguration(key string, value []byte) (*routing.Table, bool, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return nil, false, err
	}
	table, err := routing.NewTable(version, nil, nil, routing.Limits{})
	return table, key == "config", err
}

func (plainCodec) DecodeServer(id string, value []byte) (s Server, err error) {
	err = json.Unmarshal(value, &s)
	s.ID = id
	return s, err
}

// fakeStore is a store in memory with an outage that can be switched.
type fakeStore struct {
	mu       sync.Mutex
	down     bool
	expired  int64
	records  map[Topic][]Record
	reads    int
	newest   int
	lastFrom map[Topic]int64
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[Topic][]Record{}, lastFrom: map[Topic]int64{}}
}

func (f *fakeStore) put(topic Topic, key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records[topic] = append(f.records[topic], Record{Key: key, Value: value, Offset: int64(len(f.records[topic]))})
}

func (f *fakeStore) putServer(s Server) {
	data, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	f.put(Servers, s.ID, data)
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) Newest(_ context.Context, topic Topic) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest++
	if f.down {
		return Batch{}, ErrUnavailable
	}
	latest := map[string]Record{}
	for _, r := range f.records[topic] {
		latest[r.Key] = r
	}
	b := Batch{Next: int64(len(f.records[topic]))}
	for _, r := range latest {
		if len(r.Value) > 0 {
			b.Records = append(b.Records, r)
		}
	}
	return b, nil
}

func (f *fakeStore) Read(_ context.Context, topic Topic, from int64) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.lastFrom[topic] = from
	switch {
	case f.down:
		return Batch{}, ErrUnavailable
	case from < f.expired:
		return Batch{}, ErrExpired
	}
	return Batch{Records: append([]Record(nil), f.records[topic][from:]...), Next: int64(len(f.records[topic]))}, nil
}

func (f *fakeStore) Publish(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return ErrUnavailable
	}
	f.records[VMs] = append(f.records[VMs], Record{Key: key, Value: value, Offset: int64(len(f.records[VMs]))})
	return nil
}

// fakePeers is the other VMs: a rank and snapshots by address.
type fakePeers struct {
	rank      int
	seeds     []string
	snapshots map[string]Snapshot
	// follows says that others of the data centre fetch what is new, near are the VMs of the data centre.
	follows  bool
	near     []string
	hastened int
}

func (p *fakePeers) Rank() int       { return p.rank }
func (p *fakePeers) Alone() bool     { return len(p.seeds) == 0 }
func (p *fakePeers) Seeds() []string { return p.seeds }
func (p *fakePeers) Relays() bool    { return !p.follows }
func (p *fakePeers) Hasten()         { p.hastened++ }
func (p *fakePeers) Near(address string) bool {
	return slices.Contains(p.near, address)
}
func (p *fakePeers) Snapshot(_ context.Context, address string, _ Known) (Snapshot, error) {
	snap, ok := p.snapshots[address]
	if !ok {
		return Snapshot{}, errors.New("no such VM")
	}
	return snap, nil
}

var _ = Describe("Follower", func() {
	var (
		now      *clock.Manual
		store    *fakeStore
		peers    *fakePeers
		state    *State
		follower *Follower
		joined   []Batch
	)
	a, b := Server{ID: "a", Service: "s", Address: "1", Slots: 3, Incarnation: 1, Sequence: 1}, Server{ID: "b", Service: "s", Address: "2", Slots: 3, Incarnation: 1, Sequence: 1}
	BeforeEach(func() {
		now = clock.NewManual(time.Unix(1_800_000_000, 0))
		store, peers = newFakeStore(), &fakePeers{}
		state = NewState(now, plainCodec{}, func(*View) {})
		joined = nil
		follower = NewFollower(now, state, store, peers, true, func(b Batch) { joined = append(joined, b) })
		follower.self, follower.started = "self", now.Now()
		store.put(Configuration, "config", []byte("3"))
		store.putServer(a)
		store.putServer(b)
	})
	read := func() {
		if follower.due() {
			follower.read(context.Background())
		}
		state.tick()
	}
	used := func() []string {
		var ids []string
		for _, s := range state.View().ByService["s"] {
			ids = append(ids, s.ID)
		}
		return ids
	}
	pass := func(d time.Duration) { now.Advance(d); read() }

	It("knows configuration and servers after the first read, and follows changes within the interval", func() {
		read()
		Expect(state.Known()).To(BeTrue())
		Expect(used()).To(Equal([]string{"a", "b"}))
		store.put(Configuration, "config", []byte("5"))
		leaving := b
		leaving.Leaving, leaving.Sequence = true, 2
		store.putServer(leaving)
		pass(500 * time.Millisecond)
		Expect(state.Table().Version).To(Equal(int64(3)))
		pass(600 * time.Millisecond)
		Expect(state.Table().Version).To(Equal(int64(5)))
		Expect(used()).To(Equal([]string{"a"}))
	})

	// Guards against a configuration that comes back after a later one, from the store or from another VM.
	It("never goes back to an earlier configuration", func() {
		store.put(Configuration, "config", []byte("5"))
		read()
		store.put(Configuration, "config", []byte("4"))
		pass(1100 * time.Millisecond)
		Expect(state.Table().Version).To(Equal(int64(5)))
		state.Adopt(Snapshot{Digest: Digest{ConfigVersion: 4}, ConfigKey: "config", ConfigRecord: compress([]byte("4"))}, "vm")
		Expect(state.Table().Version).To(Equal(int64(5)))
	})

	// Guards against a heartbeat of an earlier start that arrives late and brings a server back to what it was.
	It("ignores what a server said before", func() {
		reborn := a
		reborn.Incarnation, reborn.Sequence, reborn.Address = 9, 1, "7"
		store.putServer(reborn)
		read()
		old := a
		old.Sequence = 50
		store.putServer(old)
		store.put(Servers, "b", []byte("{"))
		pass(1100 * time.Millisecond)
		Expect(state.View().Servers["a"].Address).To(Equal("7"))
		Expect(used()).To(Equal([]string{"a", "b"}), "an unreadable entry changes nothing")
	})

	// Guards against an outage of the store that takes the servers away whose entries lapsed meanwhile.
	It("keeps servers whose entries lapsed in an outage until they are back, and drops those that are not", func() {
		read()
		store.setDown(true)
		for range 8 {
			pass(500 * time.Millisecond)
		}
		Expect(used()).To(Equal([]string{"a", "b"}), "an outage changes nothing")
		store.put(Servers, "a", nil)
		store.put(Servers, "b", nil)
		store.setDown(false)
		pass(time.Second)
		Expect(used()).To(Equal([]string{"a", "b"}))
		back := a
		back.Sequence = 9
		store.putServer(back)
		pass(1100 * time.Millisecond)
		Expect(used()).To(Equal([]string{"a", "b"}))
		pass(1300 * time.Millisecond)
		Expect(used()).To(Equal([]string{"a"}))
	})

	// Guards against requests to a server that left in calm times.
	It("drops a server whose entry is removed while the store is well", func() {
		read()
		store.put(Servers, "b", nil)
		pass(1100 * time.Millisecond)
		Expect(used()).To(Equal([]string{"a"}))
	})

	// Guards against a reader that stays behind when the history is dropped.
	It("reads everything again when records have expired", func() {
		read()
		store.put(Servers, "b", nil)
		store.expired = 3
		pass(1100 * time.Millisecond)
		Expect(used()).To(Equal([]string{"a"}))
	})

	// Guards against all VMs reading the store: calls to it are paid for and their rate is limited.
	It("reads only when the VMs before it have not", func() {
		read()
		reads := store.reads
		peers.rank = 2
		for i := range 20 {
			pass(200 * time.Millisecond)
			follower.Observe("reader", Digest{ConfigVersion: 3, ServersRevision: 2, ConfigNext: 1, ServersNext: 2, AgeMillis: 50,
				Reader: 7, Reading: int64(i + 1)})
		}
		Expect(store.reads).To(Equal(reads))
		for range 7 {
			pass(200 * time.Millisecond)
		}
		Expect(store.reads).To(BeNumerically(">", reads), "the reader is silent")
	})

	// Guards against an outage that costs a call a second for each VM, or two.
	It("asks a store that is away once for each try, and less often from the back of the order", func() {
		read()
		store.setDown(true)
		count := func(rank int) int {
			peers.rank = rank
			before := store.reads
			for range 100 {
				pass(100 * time.Millisecond)
			}
			return store.reads - before
		}
		Expect(count(0)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 13)))
		Expect(count(9)).To(BeNumerically("<=", 4))
	})

	// Guards against a VM that cannot reach the store at its start and serves nothing although others know everything.
	It("takes over what another VM knows when the store does not answer", func() {
		other := NewState(now, plainCodec{}, func(*View) {})
		source := NewFollower(now, other, store, &fakePeers{}, true, func(Batch) {})
		source.read(context.Background())
		store.setDown(true)
		peers.seeds, peers.snapshots = []string{"dead", "vm"}, map[string]Snapshot{"vm": other.Snapshot(Known{})}
		read()
		Expect(state.Known()).To(BeFalse(), "the seeds may tell by themselves")
		pass(800 * time.Millisecond)
		Expect(state.Known()).To(BeTrue())
		Expect(state.Table().Version).To(Equal(int64(3)))
		Expect(used()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a start of all VMs at once that costs several calls to the store for each of them.
	It("reads at once as a seed, and lists itself in the store only among the first of the region", func() {
		peers.seeds = []string{"self", "other"}
		read()
		Expect(state.Known()).To(BeTrue())
		pass(1600 * time.Millisecond)
		peers.rank = 3
		follower.announce(context.Background())
		Expect(store.records[VMs]).To(BeEmpty())
		peers.rank = 2
		follower.announce(context.Background())
		follower.announce(context.Background())
		Expect(store.records[VMs]).To(HaveLen(1))
		Expect(joined).To(BeEmpty())
	})

	// Guards against a VM that hears no other, because its seeds are gone, and chooses on its own counts for good.
	It("asks the store for the other VMs while it hears none", func() {
		store.put(VMs, "10.0.0.9:1", []byte("{}"))
		read()
		pass(1600 * time.Millisecond)
		follower.announce(context.Background())
		Expect(joined).To(HaveLen(1))
		Expect(joined[0].Records).To(ContainElement(HaveField("Key", "10.0.0.9:1")))
		follower.announce(context.Background())
		Expect(joined).To(HaveLen(1))
	})

	// Guards against a list of VMs that grows with each replaced VM and leads new ones to addresses that are gone.
	It("writes its record again in time, and removes those that nobody has written for long", func() {
		store.put(VMs, "gone", []byte(`{"writtenAt":1}`))
		store.put(VMs, "unreadable", []byte("{"))
		read()
		listed := func() (keys []string) {
			found, err := store.Newest(context.Background(), VMs)
			Expect(err).NotTo(HaveOccurred())
			for _, r := range found.Records {
				keys = append(keys, r.Key)
			}
			return keys
		}
		pass(1600 * time.Millisecond)
		follower.announce(context.Background())
		store.put(VMs, "young", fmt.Appendf(nil, `{"writtenAt":%d}`, now.Now().Unix()))
		Expect(listed()).To(ConsistOf("gone", "unreadable", "self", "young"))
		pass(announceInterval)
		follower.announce(context.Background())
		Expect(listed()).To(ConsistOf("self", "young"))
		written := len(store.records[VMs])
		follower.announce(context.Background())
		Expect(store.records[VMs]).To(HaveLen(written))
	})

	// Guards against callers that are refused after a power loss of all VMs because each waits for the others.
	It("waits less for what the seeds know when callers are there already", func() {
		follower = NewFollower(now, state, store, peers, false, func(Batch) {})
		follower.self, follower.started = "self", now.Now()
		peers.seeds = []string{"other"}
		read()
		Expect(state.Known()).To(BeFalse())
		pass(50 * time.Millisecond)
		Expect(state.Known()).To(BeTrue())
	})

	// Guards against snapshots of a large configuration with each change of a server: on a grown deployment they took longer
	// than the bound of a change of configuration.
	It("hands on only what the other VM does not know", func() {
		read()
		other := NewState(now, plainCodec{}, func(*View) {})
		whole := state.Snapshot(Known{})
		Expect(whole.Since).To(BeZero())
		other.Adopt(whole, "vm")
		store.put(Servers, "b", nil)
		store.putServer(Server{ID: "c", Service: "s", Address: "3", Slots: 3, Incarnation: 1, Sequence: 1})
		pass(1100 * time.Millisecond)
		d := other.Digest()
		changes := state.Snapshot(Known{ConfigVersion: d.ConfigVersion, ServersRevision: d.ServersRevision})
		Expect(changes.ConfigRecord).To(BeEmpty())
		Expect(changes.Servers).To(HaveLen(1))
		Expect(changes.Removed).To(Equal([]string{"b"}))
		other.Adopt(changes, "vm")
		Expect(other.View().ByService["s"]).To(HaveLen(2))
		Expect(other.Digest().ServersRevision).To(Equal(state.Digest().ServersRevision))
		behind := NewState(now, plainCodec{}, func(*View) {})
		behind.Adopt(changes, "vm")
		Expect(behind.View().ByService["s"]).To(BeEmpty(), "changes to what is not known leave a gap")
		Expect(state.Snapshot(Known{ConfigVersion: 3, ServersRevision: 1}).Since).To(BeZero(), "older than what the history covers")
	})

	// Guards against VMs that tell each other the age of one reading over and over: what a datagram takes on its way was lost
	// each time, and a region with slow VMs took old knowledge for fresh for longer than the bound of a change.
	It("does not grow younger by hearing of the same reading again", func() {
		read()
		peers.rank = 1
		first := state.Digest()
		other := NewState(now, plainCodec{}, func(*View) {})
		other.Adopt(state.Snapshot(Known{}), "vm")
		for range 8 {
			// Each told digest is 150 ms on its way.
			told := other.Digest()
			now.Advance(150 * time.Millisecond)
			follower.Observe("other", told)
			back := state.Digest()
			now.Advance(150 * time.Millisecond)
			other.Observe(back)
		}
		age, _ := state.Age()
		Expect(age).To(BeNumerically(">=", 2300*time.Millisecond), "first %+v", first)
	})

	// Guards against a VM that asks for the same snapshot with each heartbeat.
	It("asks only VMs that know something later", func() {
		read()
		follower.Observe("same", state.Digest())
		follower.Observe("behind", Digest{ConfigVersion: 2})
		Expect(follower.later).To(BeEmpty())
		follower.Observe("ahead", Digest{ConfigVersion: 4})
		Expect(follower.later).To(HaveLen(1))
	})

	// Guards against a power loss of a large region after which every VM reads the whole store over the link between regions.
	It("leaves the first reading after a start to the VMs before it", func() {
		follower = NewFollower(now, state, store, peers, false, func(Batch) {})
		follower.self, follower.started = "self", now.Now()
		peers.seeds, peers.rank = []string{"other"}, 3
		read()
		pass(300 * time.Millisecond)
		Expect(state.Known()).To(BeFalse())
		pass(500 * time.Millisecond)
		Expect(state.Known()).To(BeTrue(), "the VMs before it do not tell")
	})

	// Guards against changes that wait for the next heartbeat of the VM that has read them.
	It("tells at once what it has read, and nothing if that is nothing new", func() {
		read()
		Expect(peers.hastened).To(Equal(1))
		pass(1100 * time.Millisecond)
		Expect(peers.hastened).To(Equal(1))
		store.put(Configuration, "config", []byte("5"))
		pass(1100 * time.Millisecond)
		Expect(peers.hastened).To(Equal(2))
	})

	// Guards against all VMs of a data centre that fetch a change from the reader in another one.
	It("asks a VM of its data centre if others fetch for it, and the reader if none of them tells in time", func() {
		peers.follows, peers.near = true, []string{"near"}
		follower.later <- "reader2"
		follower.later <- "near"
		Expect(follower.awaitNear(context.Background(), "reader")).To(Equal("near"))
		follower.later <- "reader"
		follower.later <- "near"
		Expect(follower.pickLater("reader")).To(Equal("near"))
		done := make(chan string)
		go func() { done <- follower.awaitNear(context.Background(), "reader") }()
		Eventually(func() bool {
			now.Advance(relayWait)
			select {
			case picked := <-done:
				return picked == "reader"
			default:
				return false
			}
		}).Should(BeTrue())
	})
})
