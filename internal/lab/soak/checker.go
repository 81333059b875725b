package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

const (
	// applyBound is the time after the store acknowledged a configuration from which no request may be routed by an older one.
	applyBound = 2500 * time.Millisecond
	// drainBound is the time after the store acknowledged that a server is draining until the last request may reach it.
	drainBound = 2500 * time.Millisecond
	// quietPeriod is the time without disturbances that must have passed for the two bounds to apply.
	quietPeriod = 4 * time.Second
	// timeoutSlack is the time after the route's timeout by which a response must have arrived.
	timeoutSlack = 500 * time.Millisecond
	routeTimeout = time.Second
)

// request records the course of one request.
type request struct {
	id, vm      string
	route       int // index in checker.routes
	sent        time.Time
	undisturbed bool // whether its VM was undisturbed when it was sent
	// configUndisturbed is the same, but for disturbances of only the servers' topic of the store.
	configUndisturbed bool
	runs              []string // ids of the servers that ran it
	status            int      // 0: no response
	// leavingServers lists the servers that responded to it and stated that they were leaving.
	leavingServers []*platformserver.Server
}

// response is what a caller received.
type response struct {
	status          int
	requestID       string // as the response states it
	body, signature string
	leaving         bool // whether it states that its server is leaving
	elapsed         time.Duration
}

// checker collects the observations of callers and servers, and the violations of guarantees.
type checker struct {
	mu         sync.Mutex
	now        func() time.Time
	requests   map[string]*request
	violations []violation
	// routes lists the routes of all configurations so far.
	routes         []route
	configurations configurations
	// drainAnnouncedAt holds, by server id, the time at which the server's state draining was in the store.
	drainAnnouncedAt map[string]time.Time
	// disturbances holds the disturbances of each VM's process (by VM), of its link to the store (storeLink), of each server's
	// link (by server id), and those of the store under allVMs.
	disturbances map[string]*disturbance
	statements   statements
	servedCount  int
	// withoutRouteCount is the number of responses that there is no route to requests for which the newest configuration has none.
	withoutRouteCount int
	statusCounts      map[int]int
}

// allVMs is the key for disturbances of the store, which affect all VMs, and serversTopic the one for those of the servers' topic only.
const (
	allVMs       = ""
	serversTopic = "/" + topicServers
)

// storeLink is the key for disturbances of the link between a VM and the store.
func storeLink(vm string) string { return vm + "/store" }

// violation is one violation of a guarantee.
type violation struct {
	at time.Time
	// text begins with the name of the guarantee and a colon.
	text string
}

// guarantee returns the name of the violated guarantee.
func (v violation) guarantee() string {
	name, _, _ := strings.Cut(v.text, ":")
	return name
}

// disturbance holds the number of active disturbances and the time at which the last one ended.
type disturbance struct {
	active  int
	lastEnd time.Time
}

func newChecker() *checker {
	return &checker{now: time.Now, statements: newStatements(), requests: map[string]*request{},
		routes: routes, configurations: newConfigurations(), drainAnnouncedAt: map[string]time.Time{},
		disturbances: map[string]*disturbance{}, statusCounts: map[int]int{}}
}

func (c *checker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, violation{c.now(), fmt.Sprintf(format, args...)})
}

// beginDisturbance records the start of a disturbance under a key of disturbances and returns a function that records its end.
func (c *checker) beginDisturbance(key string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.disturbances[key]
	if d == nil {
		d = &disturbance{}
		c.disturbances[key] = d
	}
	d.active++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.active--
		d.lastEnd = c.now()
	}
}

// undisturbed reports whether neither the VM nor the store was disturbed within quietPeriod. Faults of backend servers do not
// count as disturbances of a VM. mu must be held.
func (c *checker) undisturbed(vm string, now time.Time) bool {
	return c.configUndisturbed(vm, now) && !c.disturbedSince(now.Add(-quietPeriod), serversTopic)
}

// configUndisturbed is like undisturbed, but permits disturbances of only the servers' topic of the store. mu must be held.
func (c *checker) configUndisturbed(vm string, now time.Time) bool {
	return !c.disturbedSince(now.Add(-quietPeriod), vm, storeLink(vm), allVMs)
}

// disturbedSince reports whether a disturbance under one of the keys is active or has ended since a time. mu must be held.
func (c *checker) disturbedSince(since time.Time, keys ...string) bool {
	for _, key := range keys {
		if d := c.disturbances[key]; d != nil && (d.active > 0 || !d.lastEnd.Before(since)) {
			return true
		}
	}
	return false
}

// drainAnnounced records that a server's state draining is in the store.
func (c *checker) drainAnnounced(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainAnnouncedAt[id] = c.now()
}

func (c *checker) requestSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.undisturbed = c.undisturbed(r.vm, r.sent)
	r.configUndisturbed = c.configUndisturbed(r.vm, r.sent)
	c.requests[r.id] = r
}

// RequestRan records that a server begins to run a request, and checks that this violates no guarantee.
func (c *checker) RequestRan(s *platformserver.Server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, known := c.requests[id]
	if !known {
		c.addViolationLocked("UNASKED: %s ran %q, which no caller had sent", s.ID, id)
		return
	}
	r.runs = append(r.runs, s.ID)
	route := c.routes[r.route]
	if route.kind == "unsafe" && len(r.runs) > 1 {
		c.addViolationLocked("TWICE: %s ran on %v", id, r.runs)
	}
	if isRefusal(r.status) && route.kind == "unsafe" {
		c.addViolationLocked("REFUSED: %s got status %d and ran later on %s", id, r.status, s.ID)
	}
	if !slices.Contains(route.allowed, s.Service) {
		c.addViolationLocked("ROUTE: %s of %s ran at %s", id, route.name, s.Service)
	}
	c.checkConfiguration(r, s.Service)
	c.recordSighting(r, s.Service)
	if at, leaving := c.drainAnnouncedAt[s.ID]; leaving && r.undisturbed && c.undisturbed(r.vm, now) &&
		now.Sub(at) > drainBound && r.sent.Sub(at) > drainBound {
		c.addViolationLocked("DRAIN: %s reached %s %v after its draining state was in the store", id, s.ID,
			now.Sub(at).Round(time.Millisecond))
	}
}

// isRefusal reports whether the status guarantees that the request was not run.
func isRefusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// responseReceived records the response to a request and checks it.
func (c *checker) responseReceived(r *request, resp response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status = resp.status
	c.statusCounts[resp.status]++
	c.recordLeavingPassedOn(r, resp)
	c.checkDenied(r, resp.status)
	if resp.status == http.StatusNotFound {
		if !c.configurations.allowedSince(r.route, len(c.configurations.all)-1) {
			c.withoutRouteCount++
		}
		c.checkConfiguration(r, noService)
	}
	if resp.status == 200 {
		c.servedCount++
		bodyMatches := false
		for _, service := range c.routes[r.route].allowed {
			bodyMatches = bodyMatches || resp.body == platformserver.ResponseBody(service, r.id)
		}
		if !bodyMatches || resp.signature == "" || resp.requestID != r.id {
			c.addViolationLocked("MIXED: %s got a response to %q, signature %q, %d bytes", r.id, resp.requestID, resp.signature,
				len(resp.body))
		}
	}
	if isRefusal(resp.status) && c.routes[r.route].kind == "unsafe" && len(r.runs) > 0 {
		c.addViolationLocked("REFUSED: %s got status %d and ran on %v", r.id, resp.status, r.runs)
	}
	if resp.elapsed > routeTimeout+timeoutSlack && r.undisturbed && c.undisturbed(r.vm, c.now()) {
		c.addViolationLocked("TIMEOUT: %s took %v", r.id, resp.elapsed.Round(time.Millisecond))
	}
}

// connectionLost records that a connection ended without a complete response after its request was sent completely.
func (c *checker) connectionLost(r *request, planned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statusCounts[0]++
	if elapsed := c.now().Sub(r.sent); elapsed > routeTimeout+timeoutSlack {
		if r.undisturbed && c.undisturbed(r.vm, c.now()) {
			c.addViolationLocked("TIMEOUT: %s got no response from %s in %v", r.id, r.vm, elapsed.Round(time.Millisecond))
		}
		return
	}
	if (planned || r.undisturbed && c.undisturbed(r.vm, c.now())) && len(r.runs) > 0 {
		c.addViolationLocked("LOST: %s ran on %v and its connection to %s ended without a response (planned stop %t)",
			r.id, r.runs, r.vm, planned)
	}
}
