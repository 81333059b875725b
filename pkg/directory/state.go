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
	// outageThreshold is the age of the last confirmation from which on the store counts as having been unreachable.
	outageThreshold = 2500 * time.Millisecond
	// lapsedGracePeriod is the time after the recovery of the store in which servers whose records lapsed publish them again.
	lapsedGracePeriod = 2200 * time.Millisecond
)

// View is an immutable snapshot of the known servers.
type View struct {
	// Servers maps ids to servers, including those that are leaving.
	Servers map[string]*Server
	// ByService lists the servers of each service that may get requests, ordered by id.
	ByService map[string][]*Server
}

// State holds the configuration and the servers known to this VM. Its methods are safe for concurrent use.
type State struct {
	clock clock.Clock
	codec Codec
	// onChange is called with each new view; calls do not overlap.
	onChange func(*View)

	table atomic.Pointer[routing.Table]
	view  atomic.Pointer[View]

	mu           sync.Mutex
	configKey    string
	configRecord []byte
	servers      map[string]*Server
	lapsed       map[string]time.Time // end of the time for which a server without a record is still used, by id
	hidden       map[string]time.Time // end of the time for which a listed server is not used, by id
	ended        endedStarts
	// unshared holds the ids of servers whose known records are later than those of the list that began the era, which other VMs with the
	// same position may have: the next record of such a server counts as a change, so that it is passed on.
	unshared       map[string]struct{}
	eraBeganAt     time.Time // when this VM, or the one from which it has the era, learnt of the era
	history        history
	compressed     compressedServers
	digest         Digest
	confirmedAt    time.Time       // last time at which the store is known to have held this state; zero: never
	serversAt      time.Time       // last time at which this VM read the servers
	implausibleEra int64           // last implausible era that was logged
	graceUntil     time.Time       // end of the time in which servers may publish lapsed records again
	runningAt      time.Time       // last time at which this VM noted that it runs; zero: never
	backlogUntil   time.Time       // end of the time in which digests may have waited while this VM stood still
	readerID       int64           // identifies this start of the VM as a reader of the store
	lastReadings   map[int64]int64 // last reading received, by reader
}

// NewState returns an empty state.
func NewState(c clock.Clock, codec Codec, onChange func(*View)) *State {
	// The id of a reader must differ from those of all other starts of VMs; 0 stands for no reader.
	readerID := 1 + rand.Int64N(math.MaxInt64-1)
	s := &State{clock: c, codec: codec, onChange: onChange, servers: map[string]*Server{}, lapsed: map[string]time.Time{},
		hidden: map[string]time.Time{}, ended: newEndedStarts(), unshared: map[string]struct{}{}, history: newHistory(0),
		readerID: readerID, lastReadings: map[int64]int64{}}
	s.view.Store(&View{})
	return s
}

// Table returns the routing table in force, or nil if there is none.
func (s *State) Table() *routing.Table { return s.table.Load() }

// View returns the current view of the servers.
func (s *State) View() *View { return s.view.Load() }

// Ready reports whether a routing table is in force and the store has confirmed this state since the start.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && !s.confirmedAt.IsZero()
}

// Age returns the time since the store last confirmed this state. ok is false if it never has.
func (s *State) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.confirmedAt), !s.confirmedAt.IsZero()
}

// Digest returns the versions of this state and their age, for the heartbeats to other VMs.
func (s *State) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digestLocked()
}

func (s *State) digestLocked() Digest {
	d := s.digest
	d.AgeMillis = -1
	if !s.confirmedAt.IsZero() {
		d.AgeMillis = s.clock.Now().Sub(s.confirmedAt).Milliseconds()
	}
	return d
}

// applyConfiguration applies records of the topic Configuration. complete means that they are all that the store holds. Versions order
// configurations in all eras; the offset counts only in the present one.
func (s *State) applyConfiguration(b Batch, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range b.Records {
		if len(record.Value) > 0 {
			s.activateConfigurationLocked(record.Key, record.Value, "store", b.Era, record.Offset)
		}
	}
	switch {
	case !s.continuesStateLocked(b, complete):
	case complete:
		s.digest.ConfigNext = b.Next // also if it is lower: the store no longer has what was read beyond
	default:
		s.digest.ConfigNext = max(s.digest.ConfigNext, b.Next)
	}
}

// activateConfigurationLocked puts a configuration in force if its version is higher than that of the one in force.
func (s *State) activateConfigurationLocked(key string, value []byte, source string, era, offset int64) {
	table, ok, err := s.codec.DecodeConfiguration(key, value)
	switch {
	case err != nil:
		klog.InfoS("ignored an invalid configuration", "source", source, "era", era, "offset", offset, "err", err)
		return
	case !ok || table.Version <= s.digest.ConfigVersion:
		return
	}
	klog.InfoS("put a new configuration in force", "version", table.Version, "previous", s.digest.ConfigVersion, "routes",
		len(table.Routes()), "source", source, "era", era, "offset", offset)
	s.digest.ConfigVersion = table.Version
	s.configKey, s.configRecord = key, value
	s.table.Store(table)
}

// confirmRead records that the store held this state at the given time, unless another VM has begun a later era than that of the reading
// meanwhile. The records that the read returned must be applied before the call.
func (s *State) confirmRead(at time.Time, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.digest.Era {
		return
	}
	s.lastReadings[s.readerID]++
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
		s.digest.Reader, s.digest.Reading = s.readerID, s.lastReadings[s.readerID]
	}
}

// startGracePeriod starts the grace period for lapsed records if the servers can be read again after an outage. The records that the
// read returned must be applied after the call.
func (s *State) startGracePeriod() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, last := s.clock.Now(), s.serversAt
	if s.confirmedAt.After(last) {
		last = s.confirmedAt
	}
	s.serversAt = now
	if last.IsZero() || now.Sub(last) < outageThreshold {
		return
	}
	s.graceUntil = now.Add(lapsedGracePeriod)
	klog.InfoS("store recovered from an outage", "duration", now.Sub(last))
}

const (
	// runningInterval is how often a VM notes that it runs, maxUnnoticedPause the time without a note from which on it has stood still, and
	// backlogTime the time after that in which it receives the datagrams that have waited meanwhile.
	runningInterval   = 500 * time.Millisecond
	maxUnnoticedPause = 1500 * time.Millisecond
	backlogTime       = 200 * time.Millisecond
)

// noteRunning records that this VM runs.
func (s *State) noteRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.stoodStillLocked(now) {
		klog.InfoS("this VM has stood still; digests do not confirm its state for a moment", "pause", now.Sub(s.runningAt))
		s.backlogUntil = now.Add(backlogTime)
	}
	s.runningAt = now
}

// stoodStillLocked reports whether this VM has stood still since it last noted that it runs.
func (s *State) stoodStillLocked(now time.Time) bool {
	return !s.runningAt.IsZero() && now.Sub(s.runningAt) > maxUnnoticedPause
}

// maxReaders bounds the readers in State.lastReadings. A reading of a dropped reader may be applied once more.
const maxReaders = 256

// mergeConfirmationLocked merges the digest of a VM that has the same versions. It applies the time of the confirmation only
// if the reading was not received before.
func (s *State) mergeConfirmationLocked(digest Digest, now time.Time) {
	s.digest.ConfigNext = max(s.digest.ConfigNext, digest.ConfigNext)
	s.digest.ServersNext = max(s.digest.ServersNext, digest.ServersNext)
	if digest.AgeMillis < 0 || digest.Reader == s.readerID || digest.Reading <= s.lastReadings[digest.Reader] {
		return
	}
	if len(s.lastReadings) >= maxReaders {
		s.lastReadings = map[int64]int64{s.readerID: s.lastReadings[s.readerID]}
	}
	s.lastReadings[digest.Reader] = digest.Reading
	if s.stoodStillLocked(now) || now.Before(s.backlogUntil) {
		return // The digest may have waited meanwhile: its age is that of when it was sent.
	}
	if at := now.Add(-time.Duration(digest.AgeMillis) * time.Millisecond); at.After(s.confirmedAt) {
		s.confirmedAt = at
		s.digest.Reader, s.digest.Reading = digest.Reader, digest.Reading
	}
}

// ObserveDigest processes the digest of another VM and reports whether that VM has newer versions.
func (s *State) ObserveDigest(digest Digest) (newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !plausibleEra(s.digest.Era, digest.Era) {
		return digest.ConfigVersion > s.digest.ConfigVersion
	}
	if digest.newerThan(s.digest) {
		return true
	}
	if digest.sameVersions(s.digest) {
		s.mergeConfirmationLocked(digest, s.clock.Now())
	}
	return false
}

// publishViewLocked builds a new view of the servers and passes it to onChange.
func (s *State) publishViewLocked() {
	v := &View{Servers: make(map[string]*Server, len(s.servers)), ByService: map[string][]*Server{}}
	for id, server := range s.servers {
		copied := *server
		v.Servers[id] = &copied
		if _, hidden := s.hidden[id]; !hidden && !copied.Leaving {
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
