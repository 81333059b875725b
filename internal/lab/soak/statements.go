package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

const (
	// holdOffSlack is the time after a response with Retry-After from which the server counts further requests of the VM.
	holdOffSlack = 500 * time.Millisecond
	// holdOffLimit is the number of requests of a VM that may reach a server in the time that Retry-After states.
	holdOffLimit = 2
)

// link identifies a VM and one start of a server.
type link struct {
	vm     string
	server *platformserver.Server
}

// statements holds what servers have stated to VMs about their availability.
type statements struct {
	// leavingSince holds the time at which a VM passed on a response whose server stated that it was leaving.
	leavingSince map[link]time.Time
	holdOffs     map[link][]*holdOff
}

// holdOff is the time for which a server has asked a VM for no requests.
type holdOff struct {
	respondedAt, until time.Time
	arrivals           int // requests and attributable health checks later than holdOffSlack after respondedAt
}

func newStatements() statements {
	return statements{leavingSince: map[link]time.Time{}, holdOffs: map[link][]*holdOff{}}
}

// recordLeavingPassedOn records that a VM passed on a response whose server stated that it was leaving. A signed response is that
// of the server whose id the signature begins with; a response without a signature must state it to the caller. mu must be held.
func (c *checker) recordLeavingPassedOn(r *request, resp response) {
	for _, s := range r.leavingServers {
		if resp.signature == "" && !resp.leaving || resp.signature != "" && !strings.HasPrefix(resp.signature, s.ID+".") {
			continue
		}
		l := link{r.vm, s}
		if since, known := c.statements.leavingSince[l]; !known || c.disturbedSince(since, r.vm) {
			c.statements.leavingSince[l] = c.now()
		}
	}
}

// ResponseSent records what a response states about the availability of its server. It implements platformserver.Observer.
func (c *checker) ResponseSent(s *platformserver.Server, e platformserver.Exchange, resp platformserver.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[e.RequestID]; r != nil && resp.Leaving {
		r.leavingServers = append(r.leavingServers, s)
	}
	// Health checks state no id; those on a connection that has carried no request cannot be attributed to a VM.
	r := c.requests[e.ConnRequestID]
	if r == nil || resp.RetryAt.IsZero() {
		return
	}
	l := link{r.vm, s}
	active := slices.DeleteFunc(c.statements.holdOffs[l], func(h *holdOff) bool { return !c.now().Before(h.until) })
	c.statements.holdOffs[l] = append(active, &holdOff{respondedAt: c.now(), until: resp.RetryAt})
}

// RequestArrived checks that a server's statements permit a request or a health check that has reached it. Requests that are
// addressed to another server do not count. It implements platformserver.Observer.
func (c *checker) RequestArrived(s *platformserver.Server, e platformserver.Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[e.ConnRequestID]
	if r == nil || e.Misdirected {
		return
	}
	if !e.HealthCheck {
		c.checkLeaving(r, s)
	}
	c.checkHoldOff(r.vm, s)
}

// checkLeaving checks that a request was not sent later than drainBound after its VM had passed on that the server is leaving.
// Only a disturbance of the VM's process since then excuses it. mu must be held.
func (c *checker) checkLeaving(r *request, s *platformserver.Server) {
	since, leaving := c.statements.leavingSince[link{r.vm, s}]
	if leaving && r.sent.Sub(since) > drainBound && !c.disturbedSince(since, r.vm) {
		c.addViolationLocked("DRAIN: %s reached %s from %s, sent %v after %s had passed on that the server is leaving", r.id, s.ID, r.vm,
			r.sent.Sub(since).Round(time.Millisecond), r.vm)
	}
}

// checkHoldOff counts an arrival in each hold-off of the server for the VM. It reports more than holdOffLimit arrivals, and then
// starts to count anew. Only a disturbance of the VM or of the server's link since the response excuses an arrival. mu must be held.
func (c *checker) checkHoldOff(vm string, s *platformserver.Server) {
	now := c.now()
	l := link{vm, s}
	for _, h := range c.statements.holdOffs[l] {
		if now.Sub(h.respondedAt) <= holdOffSlack || !now.Before(h.until) || c.disturbedSince(h.respondedAt, vm, storeLink(vm), s.ID) {
			continue
		}
		h.arrivals++
		if h.arrivals > holdOffLimit {
			c.addViolationLocked("BUDGET: %d requests reached %s from %s, the last one %v after a response with Retry-After of %v",
				h.arrivals, s.ID, vm, now.Sub(h.respondedAt).Round(time.Millisecond), h.until.Sub(h.respondedAt).Round(time.Millisecond))
			delete(c.statements.holdOffs, l)
			return
		}
	}
}
