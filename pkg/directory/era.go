package directory

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

var (
	eraGauge   = metrics.NewGauge(`hornbeamway_store_era`, nil)
	eraChanges = metrics.NewCounter(`hornbeamway_store_era_changes_total`)
)

// continuedBy returns the present era and whether both topics of a reading, which are applied, belong to it.
func (s *State) continuedBy(r *reading) (era int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = s.continuesStateLocked(r.config, r.configComplete) && s.continuesStateLocked(r.servers, r.serversComplete)
	return s.digest.Era, ok
}

// latestEra returns the latest era that a reading states of the topics that were read, 0 if none was.
func (s *State) latestEra(r *reading) (era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.configRead {
		era = s.statedEraLocked(r.config.Era)
	}
	if r.serversRead {
		era = max(era, s.statedEraLocked(r.servers.Era))
	}
	return era
}

// statedEraLocked returns the era to assume of a message that states one. Without a usable one it belongs to the present era.
func (s *State) statedEraLocked(era int64) int64 {
	if era == 0 {
		return s.digest.Era
	}
	if !plausibleEra(s.digest.Era, era) {
		if s.implausibleEra != era {
			klog.InfoS("ignored an implausible era of the store", "era", era, "known", s.digest.Era)
		}
		s.implausibleEra = era
		return s.digest.Era
	}
	return era
}

// continuesStateLocked reports whether a batch belongs to the present era. A batch of an earlier one was read before a snapshot of another
// VM began the present one. Changes since an offset of an earlier era are not all that this VM lacks.
func (s *State) continuesStateLocked(b Batch, complete bool) bool {
	return s.statedEraLocked(b.Era) == s.digest.Era && (complete || b.sinceEra == s.digest.Era)
}

// beginEraLocked prepares the state for the complete list of servers of a later era, which began for the sender of the list the given time
// ago. Servers that the list lacks are kept for the rest of the grace period, because they have yet to write their records again.
func (s *State) beginEraLocked(era int64, source string, age time.Duration) {
	old := s.digest
	s.digest.Era = era
	s.digest.ConfigNext, s.digest.ServersNext, s.digest.ServersRevision = 0, 0, 0
	s.history, s.compressed = newHistory(0), compressedServers{}
	s.eraBeganAt = s.clock.Now().Add(-age)
	eraGauge.Set(float64(era))
	if old.Era == 0 && old.ServersRevision == 0 {
		klog.InfoS("learnt the era of the store", "era", era, "source", source)
		return
	}
	s.graceUntil = s.eraBeganAt.Add(lapsedGracePeriod)
	eraChanges.Inc()
	klog.InfoS("the store came back from an older copy; reading all its records", "era", era, "previous", old.Era, "source", source,
		"age", age, "configNext", old.ConfigNext, "serversNext", old.ServersNext, "revision", old.ServersRevision, "configVersion",
		old.ConfigVersion)
}
