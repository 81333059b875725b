package directory

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// keptRemovals is the number of removed servers that are remembered for VMs that are behind.
	keptRemovals = 512
	// maxUnpacked bounds an uncompressed configuration, or the servers, in bytes.
	maxUnpacked = 16 << 20
)

// history knows at which revision each server changed, so that a VM that is a little behind is sent the changes only.
type history struct {
	// floor is the revision from which on changes are known.
	floor            int64
	changed, removed map[string]int64
}

func newHistory(floor int64) history {
	return history{floor: floor, changed: map[string]int64{}, removed: map[string]int64{}}
}

func (h *history) note(id string, removed bool, revision int64) {
	delete(h.changed, id)
	delete(h.removed, id)
	if !removed {
		h.changed[id] = revision
		return
	}
	if len(h.removed) >= keptRemovals {
		*h = newHistory(revision)
	}
	h.removed[id] = revision
}

// Snapshot returns what another VM does not know yet.
func (s *State) Snapshot(known Known) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	snap := Snapshot{Digest: s.digestLocked()}
	if known.ConfigVersion < snap.ConfigVersion {
		snap.ConfigKey, snap.ConfigRecord = s.configKey, compress(s.configRecord)
	}
	if known.ServersRevision >= snap.ServersRevision {
		return snap
	}
	for id, until := range s.lapsed {
		if snap.Lapsed == nil {
			snap.Lapsed = map[string]int64{}
		}
		snap.Lapsed[id] = max(0, until.Sub(now).Milliseconds())
	}
	if known.ServersRevision == 0 || known.ServersRevision < s.history.floor {
		snap.All = s.packAll(now)
		return snap
	}
	snap.Since = known.ServersRevision
	for id, revision := range s.history.removed {
		if revision > snap.Since {
			snap.Removed = append(snap.Removed, id)
		}
	}
	for id, server := range s.servers {
		if s.history.changed[id] > snap.Since {
			snap.Servers = append(snap.Servers, server.told(now))
		}
	}
	return snap
}

// told returns the server with the time for which it stays slow from now on.
func (s *Server) told(now time.Time) Server {
	copied := *s
	copied.WarmUpMillis = max(0, s.WarmUntil.Sub(now).Milliseconds())
	return copied
}

// packedLife is the time for which all servers are packed once. The time for which servers stay slow is late by as much.
const packedLife = 300 * time.Millisecond

// packedServers are all servers of a revision as JSON, compressed, because many VMs ask for them after a power loss.
type packedServers struct {
	data     []byte
	revision int64
	at       time.Time
}

func (s *State) packAll(now time.Time) []byte {
	p := &s.packed
	if p.data != nil && p.revision == s.digest.ServersRevision && now.Sub(p.at) < packedLife {
		return p.data
	}
	all := make([]Server, 0, len(s.servers))
	for _, server := range s.servers {
		all = append(all, server.told(now))
	}
	data, err := json.Marshal(all)
	if err != nil {
		klog.ErrorS(err, "servers not encoded for another VM")
		return nil
	}
	*p = packedServers{data: compress(data), revision: s.digest.ServersRevision, at: now}
	return p.data
}

// Adopt takes over what another VM knows, where that is later.
func (s *State) Adopt(snap Snapshot, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if snap.ConfigVersion > s.digest.ConfigVersion && snap.ConfigKey != "" {
		if record, err := decompress(snap.ConfigRecord); err != nil {
			klog.InfoS("configuration of another VM ignored", "vm", from, "err", err)
		} else {
			s.adoptTable(snap.ConfigKey, record, from, snap.ConfigNext)
		}
	}
	// Changes since a revision that this VM has not reached would leave a gap.
	if snap.ServersRevision > s.digest.ServersRevision && snap.Since <= s.digest.ServersRevision {
		s.adoptServers(snap, now, from)
	}
	if s.digest.ConfigVersion == snap.ConfigVersion && s.digest.ServersRevision == snap.ServersRevision {
		s.agree(snap.Digest, now)
	}
}

func (s *State) adoptServers(snap Snapshot, now time.Time, from string) {
	if snap.Since == 0 {
		if len(snap.All) > 0 {
			all, err := unpackAll(snap.All)
			if err != nil {
				klog.InfoS("servers of another VM ignored", "vm", from, "err", err)
				return
			}
			snap.Servers = all
		}
		s.servers = make(map[string]*Server, len(snap.Servers))
		s.history = newHistory(snap.ServersRevision)
	}
	for _, server := range snap.Servers {
		server.WarmUntil = now.Add(time.Duration(server.WarmUpMillis) * time.Millisecond)
		s.servers[server.ID] = &server
		s.history.note(server.ID, false, snap.ServersRevision)
	}
	for _, id := range snap.Removed {
		delete(s.servers, id)
		s.history.note(id, true, snap.ServersRevision)
	}
	s.lapsed = map[string]time.Time{}
	for id, left := range snap.Lapsed {
		s.lapsed[id] = now.Add(time.Duration(left) * time.Millisecond)
	}
	klog.InfoS("servers taken over from another VM", "vm", from, "changed", len(snap.Servers), "removed", len(snap.Removed),
		"since", snap.Since, "revision", snap.ServersRevision, "previous", s.digest.ServersRevision, "age", snap.AgeMillis)
	s.digest.ServersRevision = snap.ServersRevision
	s.publish()
}

func unpackAll(packed []byte) (all []Server, err error) {
	data, err := decompress(packed)
	if err == nil {
		err = json.Unmarshal(data, &all)
	}
	return all, errors.Wrap(err, "unpack servers")
}

// compress returns data in gzip. Writing to a buffer cannot fail.
func compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpacked))
}
