package balance

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

const (
	// maxHold bounds the time for which a server can keep requests away with one response, in case the value is corrupt.
	maxHold = 5 * time.Minute
	// unreadableHold is the time for which a server gets no requests if its Retry-After cannot be read.
	unreadableHold = time.Second
	// rampUpTime is the time after a hold in which a server gets a growing share of its usual requests. If it got all of them at
	// once, it would have to refuse them again.
	rampUpTime = time.Second
	// peerLeavingTTL is how long a server is not used after it stated to a peer VM that it is leaving. It covers the time in which a
	// leaving server usually exits.
	peerLeavingTTL = 30 * time.Second
	// otherStartTTL is how long a statement also applies to a start of the server other than the one that was listed when this VM
	// received the statement, if that start is not later than the statement. It covers the time in which a leaving server usually exits.
	otherStartTTL = 30 * time.Second
	// clockMargin is the assumed limit of the difference between the clocks of a server and of this VM. A leaving server serves
	// for seconds before it exits, so that its next start is later by more than that.
	clockMargin = 2 * time.Second
	// maxAvailabilities bounds the number of servers whose statements are kept. The oldest statements are dropped first.
	maxAvailabilities = 4096
)

// ErrRetryAfter reports a Retry-After that is not a number of seconds from 0 to maxHold. A bounded hold is applied in its place.
var ErrRetryAfter = errors.New("unexpected Retry-After")

// Statement is what a response says about the availability of the server that sent it.
type Statement struct {
	// Leaving is true if the server is about to exit.
	Leaving bool
	// RetryAfter is the Retry-After header of a response with status 503; empty if there is none.
	RetryAfter string
}

// Availability is whether a server may get requests, apart from its load.
type Availability uint8

// The availabilities.
const (
	// Available servers may get requests.
	Available Availability = iota
	// Leaving servers are about to exit.
	Leaving
	// HeldOff servers have asked for no requests for some time.
	HeldOff
)

var availabilityNames = [...]string{"available", "leaving", "held off"}

// String returns the name for logs.
func (a Availability) String() string { return availabilityNames[a] }

// availability is what is known of a server from its own responses. It is kept by the id of the server, whether or not the server is
// listed: a list that is older than the response may contain the server, or an earlier start of it, or miss it for a while.
type availability struct {
	// incarnation identifies the start of the server that this VM knew when it received the statement. position is that of the directory
	// record of that start; a later start has a later one. receivedAt is when this VM first received a statement that the
	// server is leaving, or that it wants no requests: responses repeat it until the server exits.
	incarnation int64
	position    directory.Position
	receivedAt  time.Time
	leaving     bool
	// leavingUntil is the end of the time for which the server counts as leaving because of a statement that an earlier start may have
	// made: one that a peer VM has received, or one in the response to a request that was sent before the record of this start arrived.
	leavingUntil time.Time
	heldUntil    time.Time
}

// supersedes reports whether the statement belongs to a later start than a directory record of the server. A record without a
// revision, from a VM of an earlier version, counts as the latest.
func (a *availability) supersedes(server *directory.Server) bool {
	return server.Incarnation != a.incarnation && server.Revision != 0 && server.Position().Before(a.position)
}

// appliesTo reports whether the statement applies to a listed start of the server. A statement does not say which start it comes from,
// and the server may have started again without this VM knowing:
//   - the start that this VM knew when it received the statement: yes;
//   - another start, from before the statement: yes for otherStartTTL, or until the end of a hold, as it may be the one that made the
//     statement;
//   - a start in the future, or a record without a start time: the same;
//   - a start from after the statement: no.
func (a *availability) appliesTo(incarnation int64, now time.Time) bool {
	if incarnation == a.incarnation && incarnation != 0 {
		return true
	}
	return !a.precedes(incarnation, now) && (now.Sub(a.receivedAt) < otherStartTTL || now.Before(a.heldUntil))
}

// precedes reports whether the statement is older than a start of the server. A start in the future does not count as a later one: the
// clock of this VM has been set back, or that of the server is ahead.
func (a *availability) precedes(incarnation int64, now time.Time) bool {
	startedAfter := time.UnixMilli(incarnation).Sub(a.receivedAt)
	return startedAfter > clockMargin && startedAfter <= now.Sub(a.receivedAt)+clockMargin
}

// at returns the availability at a time.
func (a *availability) at(now time.Time) Availability {
	switch {
	case a == nil:
		return Available
	case a.leaving, now.Before(a.leavingUntil):
		return Leaving
	case now.Before(a.heldUntil):
		return HeldOff
	}
	return Available
}

// holdLeft returns the time until the end of the hold, 0 if there is none.
func (a *availability) holdLeft(now time.Time) time.Duration {
	if a == nil || a.heldUntil.IsZero() {
		return 0
	}
	return max(0, a.heldUntil.Sub(now))
}

// rampUpShare returns the share of its usual requests that a server gets at a time. It grows from 0 to 1 within rampUpTime after a
// hold.
func (a *availability) rampUpShare(now time.Time) float64 {
	if a == nil || a.heldUntil.IsZero() {
		return 1
	}
	return min(1, float64(now.Sub(a.heldUntil))/float64(rampUpTime))
}

// expired reports whether the availability no longer differs from that of a server without statements.
func (a *availability) expired(now time.Time) bool {
	return a.at(now) == Available && a.rampUpShare(now) >= 1
}

// StatementChange is what a statement has changed.
type StatementChange struct {
	// Leaving is true if the server had not stated to this VM that it is leaving. HeldOff is true if it was not held off.
	Leaving, HeldOff bool
	// Hold is the time for which the statement asks for no requests.
	Hold time.Duration
	// Err is ErrRetryAfter, with the value, if the Retry-After is not a number of seconds within bounds.
	Err error
}

// RecordStatement applies what a response of a server says about its availability, whatever the store or peer VMs say. That it is
// leaving remains in force until it starts again; a hold ends with its time, or when the server starts again. A hold in the response to a
// request from before the listed start also applies, because that start may have sent it.
func (b *Balancer) RecordStatement(server *directory.Server, s Statement, now time.Time) (change StatementChange) {
	if s == (Statement{}) {
		return change
	}
	change.Hold, change.Err = parseHold(s.RetryAfter, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.availabilityForChange(server, now)
	if s.Leaving {
		change.Leaving = a.setLeaving(server, now)
	}
	if until := now.Add(change.Hold); change.Hold > 0 && until.After(a.heldUntil) {
		change.HeldOff = !now.Before(a.heldUntil)
		a.heldUntil = until
	}
	if change.Leaving || change.HeldOff {
		a.receivedAt = now
	}
	return change
}

// setLeaving applies that a server, or an earlier start of it, has stated that it is leaving. It reports whether that was not known.
func (a *availability) setLeaving(server *directory.Server, now time.Time) (changed bool) {
	switch {
	case a.leaving:
		return false
	case a.supersedes(server):
		changed = !now.Before(a.leavingUntil)
		a.leavingUntil = now.Add(otherStartTTL)
		return changed
	}
	a.leaving = true
	return true
}

// RecordPeerLeaving applies that a listed server has stated to a peer VM that it is leaving. It returns the server if that was not known,
// and nil otherwise.
func (b *Balancer) RecordPeerLeaving(key ServerKey, now time.Time) *directory.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, listed := b.servers[key]
	if !listed {
		return nil
	}
	known := b.availabilityOf(s.info, now).at(now) == Leaving
	b.availabilityForChange(s.info, now).leavingUntil = now.Add(peerLeavingTTL)
	if known {
		return nil
	}
	return s.info
}

// Availability returns whether a server may get requests.
func (b *Balancer) Availability(server *directory.Server, now time.Time) Availability {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.availabilityOf(server, now).at(now)
}

// CountUnavailable returns the number of listed servers that are leaving by a statement of theirs, and of those that are held off.
func (b *Balancer) CountUnavailable(now time.Time) (leaving, heldOff int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		switch b.availabilityOf(s.info, now).at(now) {
		case Leaving:
			leaving++
		case HeldOff:
			heldOff++
		}
	}
	return leaving, heldOff
}

// availabilityOf returns what is known of a start of a server, nil if nothing is. The caller holds the lock.
func (b *Balancer) availabilityOf(server *directory.Server, now time.Time) *availability {
	a, ok := b.availabilities[server.ID]
	if !ok || !a.appliesTo(server.Incarnation, now) {
		return nil
	}
	return a
}

// availabilityForChange returns what is known of a start of a server, or of a later one, for a change. The caller holds the lock.
func (b *Balancer) availabilityForChange(server *directory.Server, now time.Time) *availability {
	if a, ok := b.availabilities[server.ID]; ok && a.supersedes(server) {
		return a
	}
	a := b.availabilityOf(server, now)
	if a == nil {
		if len(b.availabilities) >= maxAvailabilities {
			b.dropAvailabilities(now)
		}
		a = &availability{receivedAt: now}
		b.availabilities[server.ID] = a
	}
	a.incarnation, a.position = server.Incarnation, server.Position()
	return a
}

// dropAvailabilities makes room for further records: it drops the expired ones, or the one with the oldest statement if there
// are none.
func (b *Balancer) dropAvailabilities(now time.Time) {
	maps.DeleteFunc(b.availabilities, func(_ string, a *availability) bool { return a.expired(now) })
	if len(b.availabilities) < maxAvailabilities {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(b.availabilities)), func(x, y string) int {
		return b.availabilities[x].receivedAt.Compare(b.availabilities[y].receivedAt)
	})
	delete(b.availabilities, oldest)
}

// parseHold returns the time for which a server with a Retry-After gets no requests. The value should be a number of seconds, which
// may have a fraction. For any other, also a date, it returns a bounded hold together with ErrRetryAfter.
func parseHold(retryAfter string, now time.Time) (time.Duration, error) {
	retryAfter = strings.TrimSpace(retryAfter)
	if retryAfter == "" {
		return 0, nil
	}
	if at, err := http.ParseTime(retryAfter); err == nil {
		return min(max(0, at.Sub(now)), maxHold), errors.Wrapf(ErrRetryAfter, "%q is a date", retryAfter)
	}
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	switch {
	case math.IsNaN(seconds), err != nil && !errors.Is(err, strconv.ErrRange):
		return unreadableHold, errors.Wrapf(ErrRetryAfter, "%q is not a number", retryAfter)
	case seconds < 0:
		return 0, errors.Wrapf(ErrRetryAfter, "%q is negative", retryAfter)
	case seconds > maxHold.Seconds():
		return maxHold, errors.Wrapf(ErrRetryAfter, "%q is more than %v", retryAfter, maxHold)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
