package directory

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/jsonlist"
)

const (
	// maxRecordedRemovals bounds the removed servers that are recorded for VMs with an older revision.
	maxRecordedRemovals = 512
	// maxConfigBytes and maxServersBytes bound the decompressed size of a configuration and of the servers.
	maxConfigBytes  = 2 << 20
	maxServersBytes = 16 << 20
)

// history records the revision at which each server changed, so that a VM that is a few revisions behind is sent only the
// changes.
type history struct {
	// firstRevision is the revision from which on all changes are recorded.
	firstRevision    int64
	changed, removed map[string]int64
}

func newHistory(firstRevision int64) history {
	return history{firstRevision: firstRevision, changed: map[string]int64{}, removed: map[string]int64{}}
}

func (h *history) record(id string, removed bool, revision int64) {
	delete(h.changed, id)
	delete(h.removed, id)
	if !removed {
		h.changed[id] = revision
		return
	}
	if len(h.removed) >= maxRecordedRemovals {
		*h = newHistory(revision)
	}
	h.removed[id] = revision
}

// Snapshot returns the parts of this state that are newer than the given versions.
func (s *State) Snapshot(versions Versions) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	snap := Snapshot{Digest: s.digestLocked()}
	if versions.ConfigVersion < snap.ConfigVersion {
		snap.ConfigKey, snap.ConfigRecord = s.configKey, compress(s.configRecord)
	}
	known := Position{Era: versions.Era, Offset: versions.ServersRevision}
	if !known.Before(snap.serversPosition()) {
		return snap
	}
	snap.EraAgeMillis = now.Sub(s.eraBeganAt).Milliseconds()
	snap.Lapsed, snap.Hidden = remainingMillis(s.lapsed, now), remainingMillis(s.hidden, now)
	if versions.Era != snap.Era || versions.ServersRevision == 0 || versions.ServersRevision < s.history.firstRevision {
		snap.CompressedServers = s.compressServers(now)
		return snap
	}
	snap.Since = versions.ServersRevision
	for id, revision := range s.history.removed {
		if revision > snap.Since {
			snap.Removed = append(snap.Removed, id)
		}
	}
	for id, server := range s.servers {
		if s.history.changed[id] > snap.Since {
			snap.Servers = append(snap.Servers, server.withRemainingWarmUp(now))
		}
	}
	return snap
}

// remainingMillis returns the milliseconds from now until each of some times; nil if there are none.
func remainingMillis(times map[string]time.Time, now time.Time) map[string]int64 {
	if len(times) == 0 {
		return nil
	}
	return lo.MapValues(times, func(until time.Time, _ string) int64 { return max(0, until.Sub(now).Milliseconds()) })
}

// withRemainingWarmUp returns a copy of the server with the warm-up time that remains at now.
func (s *Server) withRemainingWarmUp(now time.Time) Server {
	copied := *s
	copied.WarmUpMillis = max(0, s.WarmUntil.Sub(now).Milliseconds())
	return copied
}

// compressedServersTTL is how long the compressed list of all servers is reused. The remaining warm-up times in it may be
// outdated by as much.
const compressedServersTTL = 300 * time.Millisecond

// compressedServers is a cache of all servers of a revision as compressed JSON, because many VMs request them after a power loss.
type compressedServers struct {
	data     []byte
	revision int64
	at       time.Time
}

func (s *State) compressServers(now time.Time) []byte {
	cached := &s.compressed
	if cached.data != nil && cached.revision == s.digest.ServersRevision && now.Sub(cached.at) < compressedServersTTL {
		return cached.data
	}
	servers := make([]Server, 0, len(s.servers))
	for _, server := range s.servers {
		servers = append(servers, server.withRemainingWarmUp(now))
	}
	data, err := json.Marshal(servers)
	if err != nil {
		klog.ErrorS(err, "failed to encode the servers for a snapshot")
		return nil
	}
	*cached = compressedServers{data: compress(data), revision: s.digest.ServersRevision, at: now}
	return cached.data
}

// ApplySnapshot applies the parts of a snapshot from another VM that are newer than this state.
func (s *State) ApplySnapshot(snap Snapshot, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if snap.ConfigVersion > s.digest.ConfigVersion && snap.ConfigKey != "" {
		if record, err := decompressConfig(snap.ConfigRecord); err != nil {
			klog.InfoS("ignored the configuration from another VM", "vm", from, "err", err)
		} else {
			s.activateConfigurationLocked(snap.ConfigKey, record, from, snap.Era, snap.ConfigNext)
		}
	}
	if s.continuesLocked(snap) {
		s.applySnapshotServersLocked(snap, now, from)
	}
	if snap.sameVersions(s.digest) {
		s.mergeConfirmationLocked(snap.Digest, now)
	}
}

// continuesLocked reports whether the servers of a snapshot are newer than the state and can be applied to it. Changes since a revision
// that this VM has not reached would leave a gap.
func (s *State) continuesLocked(snap Snapshot) bool {
	if !plausibleEra(s.digest.Era, snap.Era) || !s.digest.serversPosition().Before(snap.serversPosition()) {
		return false
	}
	return snap.Since == 0 || snap.Era == s.digest.Era && snap.Since <= s.digest.ServersRevision
}

func (s *State) applySnapshotServersLocked(snap Snapshot, now time.Time, from string) {
	previous, previousHidden := s.servers, s.hidden
	revision, beginsEra := s.digest.ServersRevision, snap.Era != s.digest.Era
	if snap.Since == 0 {
		if len(snap.CompressedServers) > 0 {
			servers, err := decompressServers(snap.CompressedServers)
			if err != nil {
				klog.InfoS("ignored the servers from another VM", "vm", from, "err", err)
				return
			}
			snap.Servers = servers
		}
		if beginsEra {
			s.beginEraLocked(snap.Era, from, time.Duration(snap.EraAgeMillis)*time.Millisecond)
		}
		s.servers = make(map[string]*Server, len(snap.Servers))
		s.history = newHistory(snap.ServersRevision)
	}
	for _, server := range snap.Servers {
		server.WarmUntil = now.Add(time.Duration(server.WarmUpMillis) * time.Millisecond)
		known := previous[server.ID]
		if !beginsEra && known != nil && known.Position().Before(server.Position()) {
			delete(previousHidden, server.ID) // It has written in this era, so that it is alive.
			s.ended.forget(&server)
		}
		s.servers[server.ID] = s.laterLocked(&server, known, beginsEra)
		s.history.record(server.ID, false, snap.ServersRevision)
	}
	for _, id := range snap.Removed {
		if server := s.servers[id]; server != nil {
			s.forgetServerLocked(server, snap.serversPosition())
		}
		s.history.record(id, true, snap.ServersRevision)
	}
	s.applyLapsedLocked(snap, now)
	s.applyHiddenLocked(snap, previousHidden, now, beginsEra)
	s.removeUnusedLapsedLocked(snap)
	if snap.Since == 0 {
		mayReturn := func(id string) bool {
			_, wasHidden := previousHidden[id]
			return beginsEra && !wasHidden
		}
		s.removeUnlistedLocked(previous, mayReturn, snap.serversPosition(), now)
	}
	klog.InfoS("applied servers from another VM", "vm", from, "changed", len(snap.Servers), "removed", len(snap.Removed),
		"since", snap.Since, "era", snap.Era, "revision", snap.ServersRevision, "previous", revision, "age", snap.AgeMillis)
	s.digest.ServersRevision = snap.ServersRevision
	s.publishViewLocked()
}

// laterLocked returns the one of two records of a server that is later: received, if a VM of an earlier version sent it without a
// revision, or known is nil. copied means that the received one may be from the copy from which the store came back.
func (s *State) laterLocked(received, known *Server, copied bool) *Server {
	switch {
	case known == nil || received.Revision == 0:
		return received
	case received.Position().Before(known.Position()):
		return known
	case received.Position() == known.Position() && (s.isUnsharedLocked(known.ID) || received.reasonToIgnore(known) != ""):
		return known // The sender knows the record of a copy at this position.
	case copied && s.reasonToIgnoreCopyLocked(received, known) != "":
		return known
	case received.Incarnation != known.Incarnation:
		s.ended.add(known, endedStart{position: received.Position(), byCopy: copied})
	}
	return received
}

// isUnsharedLocked reports whether this VM knows a later record of a server than other VMs with the same position.
func (s *State) isUnsharedLocked(id string) bool {
	_, unshared := s.unshared[id]
	return unshared
}

// removeUnlistedLocked removes the servers that a list of all servers from another VM lacks at a position. Those that may return, and were
// not leaving, are kept for the grace period if there is one: the copy of the store may be older than their records.
func (s *State) removeUnlistedLocked(previous map[string]*Server, mayReturn func(id string) bool, at Position, now time.Time) {
	for id, server := range previous {
		if s.servers[id] != nil {
			continue
		}
		if !mayReturn(id) {
			s.forgetServerLocked(server, at)
			continue
		}
		s.servers[id] = server
		s.removeServerLocked(id, at, now)
	}
}

// applyLapsedLocked applies which records have lapsed. A record that lapsed on this VM and that changes of the sender do not
// mention is still lapsed: the sender has removed the server, with or without a grace period.
func (s *State) applyLapsedLocked(snap Snapshot, now time.Time) {
	if snap.Since == 0 {
		s.lapsed = map[string]time.Time{}
	}
	for _, server := range snap.Servers {
		delete(s.lapsed, server.ID)
	}
	for _, id := range snap.Removed {
		delete(s.lapsed, id)
	}
	for id, millis := range snap.Lapsed {
		s.lapsed[id] = now.Add(time.Duration(millis) * time.Millisecond)
	}
}

// applyHiddenLocked applies which servers are not used: those that the sender does not use, and those that this VM knows to have left after
// the record that the sender knows. A server of which this VM knows another start than the sender is used.
func (s *State) applyHiddenLocked(snap Snapshot, previous map[string]time.Time, now time.Time, beginsEra bool) {
	if snap.Since == 0 {
		s.hidden = map[string]time.Time{}
	}
	for i := range snap.Servers {
		received := &snap.Servers[i]
		until, wasHidden := previous[received.ID]
		switch server := s.servers[received.ID]; {
		case server.Incarnation != received.Incarnation:
			delete(snap.Hidden, received.ID)
		case wasHidden && !beginsEra:
			s.hidden[received.ID] = until
		case wasHidden || s.ended.covers(server, beginsEra):
			s.hideLocked(server, now.Add(recordExpiry))
		}
	}
	for id, millis := range snap.Hidden {
		until := now.Add(time.Duration(millis) * time.Millisecond)
		if s.servers[id] != nil && s.hidden[id].Before(until) {
			s.hidden[id] = until
		}
	}
}

// removeUnusedLapsedLocked removes servers that this VM does not use and whose records the sender no longer finds, which it still uses for its
// grace period.
func (s *State) removeUnusedLapsedLocked(snap Snapshot) {
	for id := range snap.Lapsed {
		server := s.servers[id]
		_, isHidden := s.hidden[id]
		if server == nil || !server.Leaving && !isHidden {
			continue
		}
		delete(s.lapsed, id)
		s.forgetServerLocked(server, snap.serversPosition())
		s.history.record(id, true, snap.ServersRevision)
	}
}

// decompressServers decodes the servers while it decompresses them, so that their text is not held in memory.
func decompressServers(compressed []byte) ([]Server, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the servers")
	}
	servers, err := jsonlist.Decode[Server](io.LimitReader(r, maxServersBytes), maxServers)
	return servers, errors.Wrap(err, "decompress and decode the servers")
}

// compress returns data compressed with gzip. Writing to a buffer cannot fail.
func compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// decompressConfig returns the record of a configuration.
func decompressConfig(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err == nil && len(record) > maxConfigBytes {
		return nil, errors.Newf("configuration is larger than %d bytes", maxConfigBytes)
	}
	return record, err
}
