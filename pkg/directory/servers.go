package directory

import (
	"time"

	"k8s.io/klog/v2"
)

// applyServers applies records of the topic Servers. complete means that they are all that the store holds. A complete batch of a later era
// begins it; changes of a later era are not applied, because they continue a list that this VM does not have.
func (s *State) applyServers(b Batch, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.statedEraLocked(b.Era)
	beginsEra := complete && era > s.digest.Era
	if beginsEra {
		s.beginEraLocked(era, "store", 0)
	} else if !s.continuesStateLocked(b, complete) {
		klog.InfoS("did not apply a read of the servers", "era", era, "since", b.sinceEra, "known", s.digest.Era, "next", b.Next,
			"reason", "of another era")
		return
	}
	now := s.clock.Now()
	changed := false
	if complete {
		changed = s.replaceServersLocked(b, now, beginsEra)
	} else {
		changed = s.updateServersLocked(b.Records, now)
	}
	s.digest.ServersNext = max(s.digest.ServersNext, b.Next)
	if s.endTemporaryStatesLocked(now) || changed {
		s.publishViewLocked()
	}
}

// updateServersLocked applies consecutive records and reports whether they changed the state. The state holds the effect of all
// records before its revision: a snapshot of another VM may have brought them after the read began.
func (s *State) updateServersLocked(records []Record, now time.Time) (changed bool) {
	known := 0
	for _, record := range records {
		if record.Offset < s.digest.ServersRevision {
			known++
			continue
		}
		if s.applyServerLocked(record, now, false) {
			changed = true
			s.digest.ServersRevision = record.revision()
			s.history.record(record.Key, s.servers[record.Key] == nil, record.revision())
		}
	}
	if known > 0 {
		klog.InfoS("skipped server records", "records", known, "revision", s.digest.ServersRevision,
			"reason", "read before a snapshot that contains them was applied")
	}
	return changed
}

// replaceServersLocked applies the newest record of each server, and reports whether they changed the state. They may include
// later records than b.Next, because the store returns them in pages. Those do not count for the revision, because earlier
// records are still to be read: all records from b.Next on are read again. beginsEra means that the records may be from a copy.
func (s *State) replaceServersLocked(b Batch, now time.Time, beginsEra bool) (changed bool) {
	if b.Next < s.digest.ServersRevision {
		klog.InfoS("ignored a read of all servers", "next", b.Next, "revision", s.digest.ServersRevision,
			"reason", "older than a snapshot that was applied meanwhile")
		return false
	}
	present := map[string]bool{}
	for _, record := range b.Records {
		present[record.Key] = true
		if s.applyServerLocked(record, now, beginsEra) {
			changed = true
		}
	}
	for id, server := range s.servers {
		end := Position{Era: s.digest.Era, Offset: b.Next}
		if !present[id] && !end.Before(server.Position()) && s.removeServerLocked(id, end, now) {
			changed = true
		}
	}
	s.digest.ServersRevision = b.Next
	s.history = newHistory(b.Next)
	return changed
}

// applyServerLocked applies the record of one server and reports whether it changed the state. It also returns true if a read of
// all servers may have applied the record already, as one from its Next on: the revision and the history do not include it yet. copied
// means that the record may be from the copy from which the store came back.
func (s *State) applyServerLocked(record Record, now time.Time, copied bool) bool {
	old, exists := s.servers[record.Key]
	position := Position{Era: s.digest.Era, Offset: record.revision()}
	if exists && (position.Before(old.Position()) || position == old.Position() && s.isUnsharedLocked(record.Key)) {
		logIgnored(record, "a later record is known")
		return false
	}
	if len(record.Value) == 0 {
		alreadyRemoved := !exists && record.Key != ""
		return alreadyRemoved || s.removeServerLocked(record.Key, position, now)
	}
	server, ok := s.decodeServer(record, old, copied)
	if !ok {
		return false
	}
	wasMarked := s.clearMarksLocked(&server, old, copied)
	if _, isHidden := s.hidden[server.ID]; copied && (isHidden || s.ended.covers(&server, true)) {
		s.hideLocked(&server, now.Add(recordExpiry))
	}
	server.WarmUntil = now.Add(time.Duration(server.WarmUpMillis) * time.Millisecond)
	if exists && server.equivalentTo(old) {
		alreadyApplied := server.Position() == old.Position()
		old.Sequence, old.Revision, old.Era = server.Sequence, server.Revision, server.Era
		return wasMarked || alreadyApplied
	}
	if exists && server.Incarnation != old.Incarnation {
		s.ended.add(old, endedStart{position: server.Position(), byCopy: copied})
	}
	s.servers[record.Key] = &server
	logUpdated(&server, old)
	return true
}

// clearMarksLocked ends what is assumed of a server whose record arrives: that it lapsed, that it is not used, and that other VMs know an
// earlier record. It reports whether anything of it was. A record that this VM knew already, or one of a copy, does not prove that a
// hidden server lives.
func (s *State) clearMarksLocked(server, old *Server, copied bool) (marked bool) {
	_, wasLapsed := s.lapsed[server.ID]
	_, wasUnshared := s.unshared[server.ID]
	_, wasHidden := s.hidden[server.ID]
	delete(s.lapsed, server.ID)
	delete(s.unshared, server.ID)
	isNew := old == nil || old.Position().Before(server.Position())
	if copied || !isNew {
		return wasLapsed || wasUnshared
	}
	delete(s.hidden, server.ID)
	s.ended.forget(server)
	return wasLapsed || wasUnshared || wasHidden
}

// decodeServer decodes a record of a server. ok is false if the record does not replace the known one; old is nil if there is none.
func (s *State) decodeServer(record Record, old *Server, copied bool) (server Server, ok bool) {
	server, err := s.codec.DecodeServer(record.Key, record.Value)
	if err != nil {
		klog.InfoS("ignored an invalid server record", "server", record.Key, "offset", record.Offset, "err", err)
		return Server{}, false
	}
	server.Revision, server.Era = record.revision(), s.digest.Era
	if old == nil {
		return server, true
	}
	reason := server.reasonToIgnore(old)
	if copied {
		reason = s.reasonToIgnoreCopyLocked(&server, old)
	}
	if reason != "" {
		logIgnored(record, reason)
		return Server{}, false
	}
	return server, true
}

// reasonToIgnoreCopyLocked returns why a record that may be from a copy of the store does not replace old, and an empty string if it does.
// If it does not, old counts as the record of that position: later records are compared with it, and the next one is passed on.
func (s *State) reasonToIgnoreCopyLocked(server, old *Server) (reason string) {
	switch {
	case server.Incarnation == old.Incarnation && server.Sequence < old.Sequence:
		reason = "lower sequence number of the same start, in a copy of the store"
	case server.Incarnation != old.Incarnation && s.ended.coversForSure(server):
		reason = "an earlier start, in a copy of the store"
	default:
		return ""
	}
	old.Era, old.Revision = server.Era, server.Revision
	s.unshared[server.ID] = struct{}{}
	return reason
}

func logIgnored(record Record, reason string) {
	klog.InfoS("ignored an outdated server record", "server", record.Key, "offset", record.Offset, "reason", reason)
}

// logUpdated logs the new record of a server; old is the previous one, nil if there was none.
func logUpdated(server, old *Server) {
	reason := "record changed"
	switch {
	case old == nil:
		reason = "new server"
	case server.Incarnation < old.Incarnation:
		reason = "started again; its clock was ahead before"
	case server.Incarnation > old.Incarnation:
		reason = "started again"
	}
	klog.InfoS("added or updated a server", "server", server.ID, "service", server.Service, "address", server.Address,
		"leaving", server.Leaving, "incarnation", server.Incarnation, "offset", server.Revision-1, "reason", reason)
}

// removeServerLocked removes a server that the store no longer lists at a position, and reports whether that changed the state. During the
// grace period after an outage of the store the record may merely have lapsed, so that the server is kept until the end of that period.
func (s *State) removeServerLocked(id string, at Position, now time.Time) bool {
	server, exists := s.servers[id]
	if !exists {
		return false
	}
	if _, isLapsed := s.lapsed[id]; isLapsed {
		return false
	}
	_, isHidden := s.hidden[id]
	if now.Before(s.graceUntil) && !server.Leaving && !isHidden {
		s.lapsed[id] = s.graceUntil
		klog.InfoS("server record lapsed during the store's outage; keeping the server for the grace period", "server", id,
			"keptFor", s.graceUntil.Sub(now))
		return true
	}
	s.forgetServerLocked(server, at)
	klog.InfoS("removed a server", "server", id, "service", server.Service, "reason", "record removed")
	return true
}

// forgetServerLocked removes a server and what is assumed of it, and remembers that its start had ended at a position.
func (s *State) forgetServerLocked(server *Server, at Position) {
	delete(s.servers, server.ID)
	delete(s.hidden, server.ID)
	delete(s.unshared, server.ID)
	s.ended.add(server, endedStart{position: at})
}

// removeLapsedLocked removes the servers whose lapsed records were not published again within the grace period. No record of the
// store states the removal, and the revision does not change: all VMs with the present revision know that the record lapsed. Those
// with an earlier one get the removal with the changes, because the history holds it at the present revision.
func (s *State) removeLapsedLocked(now time.Time) bool {
	removed := false
	for id, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		delete(s.lapsed, id)
		if server := s.servers[id]; server != nil {
			s.forgetServerLocked(server, s.digest.serversPosition())
		}
		s.history.record(id, true, s.digest.ServersRevision)
		s.compressed = compressedServers{}
		removed = true
		klog.InfoS("removed a server", "server", id, "reason", "record was not published again after the store's outage")
	}
	return removed
}

// endTemporaryStatesLocked removes lapsed servers at the end of their grace period and uses hidden ones whose records have not expired. It
// reports whether that changed the view.
func (s *State) endTemporaryStatesLocked(now time.Time) bool {
	removed := s.removeLapsedLocked(now)
	return s.revealLocked(now) || removed
}

// endTemporaryStates publishes what endTemporaryStatesLocked changes.
func (s *State) endTemporaryStates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lapsed)+len(s.hidden) > 0 && s.endTemporaryStatesLocked(s.clock.Now()) {
		s.publishViewLocked()
	}
}
