package directory

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxEndedStarts bounds the ended starts that are remembered. The oldest ones are dropped first.
	maxEndedStarts = 2048
	// recordExpiry is the time after which the store has removed the record of a server that no longer writes. A record that is still
	// listed after it belongs to a live server.
	recordExpiry = 6 * time.Second
)

// serverStart identifies one start of a server.
type serverStart struct {
	id          string
	incarnation int64
}

func startOf(s *Server) serverStart { return serverStart{s.ID, s.Incarnation} }

// endedStart is the position up to which the store was known when a start had ended. byCopy means that the only evidence is a record of
// another start in a copy of the store, which may be the earlier one of the two.
type endedStart struct {
	position Position
	byCopy   bool
}

// endedStarts holds the starts of servers that have ended: the record was removed, or another start has written since. A copy of the store,
// or another VM that is behind, may hold an earlier record of them.
type endedStarts struct {
	starts map[serverStart]endedStart
	order  []serverStart
}

func newEndedStarts() endedStarts { return endedStarts{starts: map[serverStart]endedStart{}} }

// add remembers the end of the start that wrote a record.
func (e *endedStarts) add(s *Server, end endedStart) {
	start := startOf(s)
	if _, known := e.starts[start]; !known {
		if len(e.order) >= maxEndedStarts {
			delete(e.starts, e.order[0])
			e.order = e.order[1:]
		}
		e.order = append(e.order, start)
	}
	e.starts[start] = end
}

// forget removes a start that has proved to be alive.
func (e *endedStarts) forget(s *Server) { delete(e.starts, startOf(s)) }

// covers reports whether a record was written before the known end of its start. A record of a copy has a position of the new era although
// it was written in an earlier one. Nothing is known of a record without a revision, which a VM of an earlier version has sent.
func (e *endedStarts) covers(s *Server, copied bool) bool {
	end, known := e.starts[startOf(s)]
	if !known || s.Revision == 0 {
		return false
	}
	return !end.position.Before(s.Position()) || copied && end.position.Era < s.Era
}

// coversForSure is like covers for a record of a copy, but only if more than a copy shows that the start has ended.
func (e *endedStarts) coversForSure(s *Server) bool {
	return !e.starts[startOf(s)].byCopy && e.covers(s, true)
}

// hideLocked keeps a listed server from getting requests until its record has expired or is written again.
func (s *State) hideLocked(server *Server, until time.Time) {
	s.hidden[server.ID] = until
	klog.InfoS("listed a server without using it", "server", server.ID, "era", server.Era, "offset", server.Revision-1, "for",
		until.Sub(s.clock.Now()), "reason", "it had left; its record is from before that")
}

// revealLocked uses the hidden servers whose records the store still held after the time of their expiry, and reports whether there are any.
func (s *State) revealLocked(now time.Time) (revealed bool) {
	for id, until := range s.hidden {
		if now.Before(until) || s.confirmedAt.Before(until) {
			continue
		}
		delete(s.hidden, id)
		if server, listed := s.servers[id]; listed {
			s.ended.forget(server)
			klog.InfoS("using a listed server again", "server", id, "reason", "the store still holds its record")
			revealed = true
		}
	}
	return revealed
}
