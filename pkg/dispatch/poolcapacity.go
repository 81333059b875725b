package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// maxBulkShare is the maximum share of the slots that bulk may hold, even when no other class waits: slots are not
// preempted, and an urgent call may arrive at any time.
const maxBulkShare = 0.5

// hasAvailableServer reports whether at least one server can run calls, now or when a slot becomes free.
func (p *Pool) hasAvailableServer() bool {
	for _, s := range p.servers {
		if s.eligible() && !s.refused {
			return true
		}
	}
	return false
}

// slotsInRotation returns the number of slots, free or busy, of the servers in rotation.
func (p *Pool) slotsInRotation() int {
	slots := 0
	for _, s := range p.servers {
		if s.inRotation() {
			slots += s.Limit()
		}
	}
	return slots
}

// availability is the result of one pass over the servers.
type availability struct {
	slots      int  // number of slots in rotation
	anyFree    bool // some server has a free slot for any class
	bulkFree   bool // some server has a free slot for bulk, at least for a trial call
	useEjected bool // no server is in rotation, so ejected servers are used
}

// checkAvailability determines which slots are free at now.
func (p *Pool) checkAvailability(now time.Time) availability {
	a := availability{useEjected: true}
	ejectedFree := false
	for _, s := range p.servers {
		switch {
		case s.inRotation():
			a.useEjected = false
			a.slots += s.Limit()
			a.anyFree = a.anyFree || s.hasFreeSlot()
		case s.eligible() && !s.refused && s.hasFreeSlot():
			ejectedFree = true
		}
		if s.busy == 0 {
			a.anyFree = a.anyFree || s.trialDue(now, false)
			a.bulkFree = a.bulkFree || s.trialDue(now, true)
		}
	}
	a.anyFree = a.anyFree || a.useEjected && ejectedFree
	a.bulkFree = a.bulkFree || a.anyFree
	return a
}

// allowedClasses returns the classes that may get a slot now.
func (p *Pool) allowedClasses(a availability) priority.ClassSet {
	var set priority.ClassSet
	for _, c := range priority.Classes() {
		if (a.anyFree || a.bulkFree && c == priority.Bulk) && p.heldSlots[c] < p.classLimit(c, a.slots) {
			set = set.With(c)
		}
	}
	return set
}

// classLimit returns the maximum number of slots that class c may hold: all slots minus the minimum shares of the other
// classes with waiting requests, and for bulk at most maxBulkShare. The limits are rounded so that together they leave no
// slot unused; each class may hold at least one slot.
func (p *Pool) classLimit(c priority.Class, slots int) int {
	share := 1.0
	for _, other := range priority.Classes() {
		if other != c && p.queue.Len(other) > 0 {
			share -= p.shares[other]
		}
	}
	const rounding = 1e-9 // 1 minus the shares is inexact in binary floating point
	if c == priority.Bulk {
		return max(1, int(min(share, maxBulkShare)*float64(slots)+rounding))
	}
	return max(1, int(math.Ceil(share*float64(slots)-rounding)))
}

// selectServer returns the server for r, or nil if r may not use any server with a free slot.
func (p *Pool) selectServer(now time.Time, r *Request, useEjected bool) *ServerState {
	preferred := r.Class == priority.Bulk || r.Hedged
	p.candidates = p.candidates[:0]
	for _, s := range p.servers {
		if slices.Contains(r.Exclude, s.server.ID) {
			continue
		}
		if s.trialDue(now, preferred) {
			return s
		}
		if (s.inRotation() || useEjected && s.eligible() && !s.refused) && s.hasFreeSlot() {
			p.candidates = append(p.candidates, s)
		}
	}
	if len(p.candidates) > 0 {
		return p.selection.Select(now, p.candidates, r)
	}
	if len(r.Exclude) == 0 || r.Hedged {
		return nil
	}
	withoutExclude := *r
	withoutExclude.Exclude = nil
	return p.selectServer(now, &withoutExclude, useEjected)
}

// maxExpectedWait is the expected wait of a class to which no slots are guaranteed.
const maxExpectedWait = time.Hour

// expectedWait returns the expected wait of a new request of class c. It is the smaller of two estimates: the time to serve
// the queues of its own and the more urgent classes with the available share of the slots, and the time to serve the queue
// of its own class with its minimum share.
func (p *Pool) expectedWait(c priority.Class) time.Duration {
	slots := float64(max(p.slotsInRotation(), 1))
	if p.Queued() == 0 {
		return p.emptyQueueWait(slots, c)
	}
	ownWork := float64(p.queue.Len(c)) * p.queue.MeanCost(c)
	workAhead := ownWork
	for other := priority.Interactive; other < c; other++ {
		workAhead += float64(p.queue.Len(other)) * p.queue.MeanCost(other)
	}
	wait := maxExpectedWait.Seconds()
	if available := p.availableShare(c, slots); available > 0 {
		wait = min(wait, workAhead/(slots*available))
	}
	if share := p.shares[c]; share > 0 {
		wait = min(wait, ownWork/(slots*share))
	}
	return time.Duration(wait * float64(time.Second))
}

// availableShare returns the share of the slots available to class c: all slots minus the recent use of the more urgent
// classes and the minimum shares of the less urgent classes with waiting requests. Queue lengths alone do not account for
// the urgent calls that continue to arrive; with them alone, the bulk backlog after a flood grew longer than the bulk
// deadline allows.
func (p *Pool) availableShare(c priority.Class, slots float64) float64 {
	share := 1.0
	for _, other := range priority.Classes() {
		switch {
		case other < c:
			share -= p.queue.UsageRate(other) / slots
		case other > c && p.queue.Len(other) > 0:
			share -= p.shares[other]
		}
	}
	if c == priority.Bulk {
		share = min(share, maxBulkShare)
	}
	return share
}

// emptyQueueWait returns the expected wait when nothing is queued: 0 if a slot is free, otherwise the expected time until the
// first of the running calls ends.
func (p *Pool) emptyQueueWait(slots float64, c priority.Class) time.Duration {
	busy := 0
	for _, n := range p.heldSlots {
		busy += n
	}
	if float64(busy) < slots {
		return 0
	}
	return time.Duration(p.queue.MeanCost(c) / slots * float64(time.Second))
}

// Load returns the load summary of the pool at now.
func (p *Pool) Load(now time.Time) PoolLoad {
	l := PoolLoad{Healthy: p.hasAvailableServer(), Slots: p.slotsInRotation(), Queued: p.Queued(), At: now}
	for _, c := range priority.Classes() {
		l.Busy += p.heldSlots[c]
		l.ExpectedWait[c] = p.expectedWait(c)
		l.P95[c] = p.latencies[c].percentile95(now)
	}
	return l
}
