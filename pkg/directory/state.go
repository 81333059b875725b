package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

const (
	// storeAway is the age of the last confirmation above which the store counts as having been away.
	storeAway = 2500 * time.Millisecond
	// lapseGrace is the time after the return of the store in which servers whose entries lapsed write them again.
	lapseGrace = 2200 * time.Millisecond
)

// View is the servers known at one moment. It never changes.
type View struct {
	// Servers are all servers by id, leaving ones included.
	Servers map[string]*Server
	// ByService are the servers that may get requests, in the order of their ids.
	ByService map[string][]*Server
}

// State is what this VM knows. The methods are safe for concurrent use.
type State struct {
	clock clock.Clock
	codec Codec
	// onChange is called with each new view, one call at a time.
	onChange func(*View)

	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[View]

	mu           sync.Mutex
	configKey    string
	configRecord []byte
	servers      map[string]*Server
	lapsed       map[string]time.Time // until when a server without an entry is still used
	history      history
	packed       packedServers
	digest       Digest
	confirmed    time.Time       // when the store held what is known here; zero: never
	graceUntil   time.Time       // lapsed entries come back until then
	self         int64           // names this VM as a reader
	readings     map[int64]int64 // the last reading heard of, by reader
}

// NewState returns a state that knows nothing.
func NewState(c clock.Clock, codec Codec, onChange func(*View)) *State {
	// A reader needs a name that no other start of a VM has; 0 stands for none.
	self := 1 + rand.Int64N(math.MaxInt64-1)
	s := &State{clock: c, codec: codec, onChange: onChange, servers: map[string]*Server{}, lapsed: map[string]time.Time{},
		history: newHistory(0), self: self, readings: map[int64]int64{}}
	s.view.Store(&View{})
	return s
}

// Table returns the routes in force, or nil.
func (s *State) Table() *routing.Table { return s.table.Load() }

// View returns the servers.
func (s *State) View() *View { return s.view.Load() }

// Known reports whether routes and servers have been read since the start.
func (s *State) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && !s.confirmed.IsZero()
}

// Age returns the time since the store confirmed what is known; ok is false if it never has.
func (s *State) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.confirmed), !s.confirmed.IsZero()
}

// Digest returns what this VM tells the others.
func (s *State) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digestLocked()
}

func (s *State) digestLocked() Digest {
	d := s.digest
	d.AgeMillis = -1
	if !s.confirmed.IsZero() {
		d.AgeMillis = s.clock.Now().Sub(s.confirmed).Milliseconds()
	}
	return d
}

// applyConfiguration takes records of Configuration.
func (s *State) applyConfiguration(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range b.Records {
		if len(r.Value) > 0 {
			s.adoptTable(r.Key, r.Value, "store", r.Offset)
		}
	}
	s.digest.ConfigNext = max(s.digest.ConfigNext, b.Next)
}

// adoptTable puts a configuration in force if it is later than the one in force.
func (s *State) adoptTable(key string, value []byte, source string, offset int64) {
	table, ok, err := s.codec.DecodeConfiguration(key, value)
	switch {
	case err != nil:
		klog.InfoS("configuration ignored", "source", source, "offset", offset, "err", err)
		return
	case !ok || table.Version <= s.digest.ConfigVersion:
		return
	}
	klog.InfoS("configuration in force", "version", table.Version, "previous", s.digest.ConfigVersion, "routes", len(table.Routes()),
		"source", source, "offset", offset)
	s.digest.ConfigVersion = table.Version
	s.configKey, s.configRecord = key, value
	s.table.Store(table)
}

// applyServers takes records of Servers. whole says that they are all that the store holds.
func (s *State) applyServers(b Batch, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	changed := false
	listed := map[string]bool{}
	for _, r := range b.Records {
		listed[r.Key] = true
		if s.applyServer(r, now) {
			changed = true
			s.digest.ServersRevision = max(s.digest.ServersRevision, r.Offset+1)
			s.history.note(r.Key, s.servers[r.Key] == nil, r.Offset+1)
		}
	}
	if whole {
		for id := range s.servers {
			if !listed[id] && s.remove(id, now) {
				changed = true
			}
		}
		s.digest.ServersRevision = max(s.digest.ServersRevision, b.Next)
		s.history = newHistory(s.digest.ServersRevision)
	}
	s.digest.ServersNext = max(s.digest.ServersNext, b.Next)
	if s.dropLapsed(now) || changed {
		s.publish()
	}
}

// applyServer reports whether the record changed what is known.
func (s *State) applyServer(r Record, now time.Time) bool {
	if len(r.Value) == 0 {
		return s.remove(r.Key, now)
	}
	server, err := s.codec.DecodeServer(r.Key, r.Value)
	if err != nil {
		klog.InfoS("server entry ignored", "server", r.Key, "offset", r.Offset, "err", err)
		return false
	}
	old, known := s.servers[r.Key]
	if known && !server.supersedes(old) {
		klog.InfoS("server entry ignored", "server", r.Key, "offset", r.Offset, "reason", "older than the one known")
		return false
	}
	_, lapsed := s.lapsed[r.Key]
	delete(s.lapsed, r.Key)
	server.WarmUntil = now.Add(time.Duration(server.WarmUpMillis) * time.Millisecond)
	if known && server.sameAs(old) {
		old.Sequence = server.Sequence
		return lapsed
	}
	s.servers[r.Key] = &server
	klog.InfoS("server known", "server", server.ID, "service", server.Service, "address", server.Address,
		"leaving", server.Leaving, "incarnation", server.Incarnation, "offset", r.Offset)
	return true
}

// remove forgets a server. While the store returns from an outage the entry may only have lapsed, and is kept for a while.
func (s *State) remove(id string, now time.Time) bool {
	server, known := s.servers[id]
	if !known {
		return false
	}
	if _, lapsed := s.lapsed[id]; lapsed {
		return false
	}
	if now.Before(s.graceUntil) && !server.Leaving {
		s.lapsed[id] = s.graceUntil
		klog.InfoS("server entry lapsed while the store was away", "server", id, "keptFor", s.graceUntil.Sub(now))
		return true
	}
	delete(s.servers, id)
	klog.InfoS("server gone", "server", id, "service", server.Service, "reason", "entry removed")
	return true
}

// dropLapsed forgets the servers whose entries did not come back.
func (s *State) dropLapsed(now time.Time) bool {
	dropped := false
	for id, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		delete(s.lapsed, id)
		delete(s.servers, id)
		dropped = true
		klog.InfoS("server gone", "server", id, "reason", "entry did not come back after the store's outage")
	}
	return dropped
}

// tick drops what has lapsed.
func (s *State) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lapsed) > 0 && s.dropLapsed(s.clock.Now()) {
		s.publish()
	}
}

// confirm notes that the store held what is known here at a time. It must follow the records that the read returned.
func (s *State) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readings[s.self]++
	if at.After(s.confirmed) {
		s.confirmed = at
		s.digest.Reader, s.digest.Reading = s.self, s.readings[s.self]
	}
}

// beginReturn opens the grace for lapsed entries if the store was away until now. It precedes the records that were read.
func (s *State) beginReturn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.confirmed.IsZero() || now.Sub(s.confirmed) < storeAway {
		return
	}
	s.graceUntil = now.Add(lapseGrace)
	klog.InfoS("store is back", "away", now.Sub(s.confirmed))
}

// maxReaders bounds the readers that are remembered. Those forgotten count again, once.
const maxReaders = 256

// agree notes that another VM knows the same, and takes over its confirmation if that is a reading not heard of before.
func (s *State) agree(d Digest, now time.Time) {
	s.digest.ConfigNext = max(s.digest.ConfigNext, d.ConfigNext)
	s.digest.ServersNext = max(s.digest.ServersNext, d.ServersNext)
	if d.AgeMillis < 0 || d.Reader == s.self || d.Reading <= s.readings[d.Reader] {
		return
	}
	if len(s.readings) >= maxReaders {
		s.readings = map[int64]int64{s.self: s.readings[s.self]}
	}
	s.readings[d.Reader] = d.Reading
	if at := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond); at.After(s.confirmed) {
		s.confirmed = at
		s.digest.Reader, s.digest.Reading = d.Reader, d.Reading
	}
}

// Observe takes the digest of another VM. It reports whether that VM knows something later.
func (s *State) Observe(d Digest) (later bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.later(s.digest) {
		return true
	}
	if d.ConfigVersion == s.digest.ConfigVersion && d.ServersRevision == s.digest.ServersRevision {
		s.agree(d, s.clock.Now())
	}
	return false
}

// publish builds the view of the servers.
func (s *State) publish() {
	v := &View{Servers: make(map[string]*Server, len(s.servers)), ByService: map[string][]*Server{}}
	for id, server := range s.servers {
		copied := *server
		v.Servers[id] = &copied
		if !copied.Leaving {
			v.ByService[copied.Service] = append(v.ByService[copied.Service], &copied)
		}
	}
	for _, servers := range v.ByService {
		slices.SortFunc(servers, func(a, b *Server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	s.view.Store(v)
	s.onChange(v)
}
