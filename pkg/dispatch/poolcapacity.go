package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// bulkShare is the largest part of the slots that bulk holds even when nothing else waits: slots are not preempted, and
// an urgent call may arrive at any moment.
const bulkShare = 0.5

// usable tells whether any server can take calls, now or when a slot is free.
func (p *Pool) usable() bool {
	for _, s := range p.servers {
		if s.open() && !s.refused {
			return true
		}
	}
	return false
}

// rotation returns the slots that may be used now.
func (p *Pool) rotation() int {
	slots := 0
	for _, s := range p.servers {
		if s.inRotation() {
			slots += s.Limit()
		}
	}
	return slots
}

// survey is what one pass over the servers finds.
type survey struct {
	slots      int  // in rotation
	anyFree    bool // any class finds a server
	bulkFree   bool // bulk finds a server, at least for a trial
	lastResort bool // no server is in rotation, so that ejected ones must be used
}

func (p *Pool) survey(now time.Time) survey {
	v := survey{lastResort: true}
	ejectedFree := false
	for _, s := range p.servers {
		switch {
		case s.inRotation():
			v.lastResort = false
			v.slots += s.Limit()
			v.anyFree = v.anyFree || s.free()
		case s.open() && !s.refused && s.free():
			ejectedFree = true
		}
		if s.busy == 0 {
			v.anyFree = v.anyFree || s.trialDue(now, false)
			v.bulkFree = v.bulkFree || s.trialDue(now, true)
		}
	}
	v.anyFree = v.anyFree || v.lastResort && ejectedFree
	v.bulkFree = v.bulkFree || v.anyFree
	return v
}

// allowed returns the classes that may get a slot now.
func (p *Pool) allowed(v survey) priority.ClassSet {
	var set priority.ClassSet
	for _, c := range priority.Classes() {
		if (v.anyFree || v.bulkFree && c == priority.Bulk) && p.held[c] < p.classLimit(c, v.slots) {
			set = set.With(c)
		}
	}
	return set
}

// classLimit returns the number of slots that class c may hold: 1 minus the shares of the other classes that wait.
// The limits are rounded so that together they never leave a slot unused; each class may hold at least one slot.
func (p *Pool) classLimit(c priority.Class, slots int) int {
	part := 1.0
	for _, other := range priority.Classes() {
		if other != c && p.queue.Len(other) > 0 {
			part -= p.shares[other]
		}
	}
	const rounding = 1e-9 // 1 minus the shares is not exact in binary
	if c == priority.Bulk {
		return max(1, int(min(part, bulkShare)*float64(slots)+rounding))
	}
	return max(1, int(math.Ceil(part*float64(slots)-rounding)))
}

// choose returns the server for r, or nil when r may not use any of the free ones.
func (p *Pool) choose(now time.Time, r *Request, lastResort bool) *ServerState {
	preferred := r.Class == priority.Bulk || r.Hedged
	p.candidates = p.candidates[:0]
	for _, s := range p.servers {
		if slices.Contains(r.Exclude, s.server.ID) {
			continue
		}
		if s.trialDue(now, preferred) {
			return s
		}
		if (s.inRotation() || lastResort && s.open() && !s.refused) && s.free() {
			p.candidates = append(p.candidates, s)
		}
	}
	if len(p.candidates) > 0 {
		return p.selection.Select(now, p.candidates, r)
	}
	if len(r.Exclude) == 0 || r.Hedged {
		return nil
	}
	again := *r
	again.Exclude = nil
	return p.choose(now, &again, lastResort)
}

// longestWait is returned for a class that cannot count on any slot.
const longestWait = time.Hour

// expectedWait returns the expected wait of a new request of class c: behind its own class and the more urgent ones on
// what they leave; or behind its own class on its minimum share, if that is shorter.
func (p *Pool) expectedWait(c priority.Class) time.Duration {
	slots := float64(max(p.rotation(), 1))
	if p.Queued() == 0 {
		return p.waitOfFirst(slots, c)
	}
	own := float64(p.queue.Len(c)) * p.queue.MeanCost(c)
	ahead := own
	for other := priority.Interactive; other < c; other++ {
		ahead += float64(p.queue.Len(other)) * p.queue.MeanCost(other)
	}
	wait := longestWait.Seconds()
	if part := p.leftFor(c, slots); part > 0 {
		wait = min(wait, ahead/(slots*part))
	}
	if share := p.shares[c]; share > 0 {
		wait = min(wait, own/(slots*share))
	}
	return time.Duration(wait * float64(time.Second))
}

// leftFor returns the part of the slots that the more urgent classes have not used lately and that the less urgent ones
// that wait may not claim. The queue lengths alone leave out the urgent calls that keep arriving, so that the backlog
// of bulk that a flood leaves is longer than its deadline allows.
func (p *Pool) leftFor(c priority.Class, slots float64) float64 {
	part := 1.0
	for _, other := range priority.Classes() {
		switch {
		case other < c:
			part -= p.queue.Rate(other) / slots
		case other > c && p.queue.Len(other) > 0:
			part -= p.shares[other]
		}
	}
	if c == priority.Bulk {
		part = min(part, bulkShare)
	}
	return part
}

// waitOfFirst returns the expected wait when nothing is queued: none with a free slot, else the time until the first of
// the running calls ends.
func (p *Pool) waitOfFirst(slots float64, c priority.Class) time.Duration {
	busy := 0
	for _, n := range p.held {
		busy += n
	}
	if float64(busy) < slots {
		return 0
	}
	return time.Duration(p.queue.MeanCost(c) / slots * float64(time.Second))
}

// Load returns what the pool tells about itself on answers.
func (p *Pool) Load(now time.Time) Load {
	l := Load{Healthy: p.usable(), Slots: p.rotation(), Queued: p.Queued(), At: now}
	for _, c := range priority.Classes() {
		l.Busy += p.held[c]
		l.ExpectedWait[c] = p.expectedWait(c)
		l.P95[c] = p.latency[c].percentile95(now)
	}
	return l
}
