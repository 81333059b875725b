package directory

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
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
	if versions.ServersRevision >= snap.ServersRevision {
		return snap
	}
	for id, until := range s.lapsed {
		if snap.Lapsed == nil {
			snap.Lapsed = map[string]int64{}
		}
		snap.Lapsed[id] = max(0, until.Sub(now).Milliseconds())
	}
	if versions.ServersRevision == 0 || versions.ServersRevision < s.history.firstRevision {
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
			s.activateConfigurationLocked(snap.ConfigKey, record, from, snap.ConfigNext)
		}
	}
	// Changes since a revision that this VM has not reached would leave a gap, and are not applied.
	if snap.ServersRevision > s.digest.ServersRevision && snap.Since <= s.digest.ServersRevision {
		s.applySnapshotServersLocked(snap, now, from)
	}
	if s.digest.ConfigVersion == snap.ConfigVersion && s.digest.ServersRevision == snap.ServersRevision {
		s.mergeConfirmationLocked(snap.Digest, now)
	}
}

func (s *State) applySnapshotServersLocked(snap Snapshot, now time.Time, from string) {
	previous := s.servers
	if snap.Since == 0 {
		if len(snap.CompressedServers) > 0 {
			servers, err := decompressServers(snap.CompressedServers)
			if err != nil {
				klog.InfoS("ignored the servers from another VM", "vm", from, "err", err)
				return
			}
			snap.Servers = servers
		}
		s.servers = make(map[string]*Server, len(snap.Servers))
		s.history = newHistory(snap.ServersRevision)
	}
	for _, server := range snap.Servers {
		server.WarmUntil = now.Add(time.Duration(server.WarmUpMillis) * time.Millisecond)
		s.servers[server.ID] = later(&server, previous[server.ID])
		s.history.record(server.ID, false, snap.ServersRevision)
	}
	for _, id := range snap.Removed {
		delete(s.servers, id)
		s.history.record(id, true, snap.ServersRevision)
	}
	s.applyLapsedLocked(snap, now)
	klog.InfoS("applied servers from another VM", "vm", from, "changed", len(snap.Servers), "removed", len(snap.Removed),
		"since", snap.Since, "revision", snap.ServersRevision, "previous", s.digest.ServersRevision, "age", snap.AgeMillis)
	s.digest.ServersRevision = snap.ServersRevision
	s.publishViewLocked()
}

// later returns the one of two records of a server that is later in the store: received, if a VM of an earlier version sent it
// without a revision, or known is nil.
func later(received, known *Server) *Server {
	if known == nil || received.Revision == 0 || received.Revision >= known.Revision {
		return received
	}
	return known
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
