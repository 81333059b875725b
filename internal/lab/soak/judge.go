package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

const (
	// applyBound is the time from the store's answer to the moment from which no request is handled by an older configuration.
	applyBound = 2500 * time.Millisecond
	// drainBound is the time from the store's answer to the last request at a server that is leaving.
	drainBound = 2500 * time.Millisecond
	// calmBefore is how long nothing may have been disturbed for the two bounds to hold.
	calmBefore = 4 * time.Second
	// timeoutSlack is the time after the route's timeout by which an answer must have come.
	timeoutSlack = 500 * time.Millisecond
	routeTimeout = time.Second
)

// request is what is known of one request.
type request struct {
	id, vm string
	route  int
	sent   time.Time
	calm   bool // its VM was calm when it was sent
	runs   []string
	status int // 0: no answer
}

// judge collects what callers and servers see, and the promises that were broken.
type judge struct {
	mu       sync.Mutex
	requests map[string]*request
	broken   []string
	// changes are the times at which each route came to each service.
	changes [][]change
	// leaving are the times at which the store knew that a server leaves.
	leaving map[string]time.Time
	// disturbed holds what was last done to each VM, and to all under everyVM.
	disturbed map[string]*disturbance
	answered  int
	outcomes  map[int]int
}

// everyVM stands for disturbances of the store.
const everyVM = ""

// disturbance is the number of those going on and the end of the last one.
type disturbance struct {
	count int
	end   time.Time
}

type change struct {
	at      time.Time
	service string
}

func newJudge() *judge {
	return &judge{requests: map[string]*request{}, changes: make([][]change, len(routes)), leaving: map[string]time.Time{},
		disturbed: map[string]*disturbance{}, outcomes: map[int]int{}}
}

func (j *judge) breaks(format string, args ...any) {
	j.broken = append(j.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// disturb notes the begin of a disturbance of a VM, or of everyVM, and returns its end.
func (j *judge) disturb(vm string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.disturbed[vm]
	if d == nil {
		d = &disturbance{}
		j.disturbed[vm] = d
	}
	d.count++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.count--
		d.end = time.Now()
	}
}

// calm reports whether neither the VM nor the store was disturbed lately. What servers do disturbs no VM.
func (j *judge) calm(vm string, now time.Time) bool {
	for _, name := range []string{vm, everyVM} {
		if d := j.disturbed[name]; d != nil && (d.count > 0 || now.Sub(d.end) <= calmBefore) {
			return false
		}
	}
	return true
}

// configured notes the services of the routes from now on.
func (j *judge) configured(routed []int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, index := range routed {
		j.changes[i] = append(j.changes[i], change{time.Now(), routes[i].allowed[index]})
	}
}

// leaves notes that the store knows of a server's leaving.
func (j *judge) leaves(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[id] = time.Now()
}

func (j *judge) begin(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.calm = j.calm(r.vm, r.sent)
	j.requests[r.id] = r
}

// ran is called by a server when it begins to run a request.
func (j *judge) ran(s *platformserver.Server, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	r, known := j.requests[id]
	if !known {
		j.breaks("UNASKED: %s ran %q, which no caller sent", s.ID, id)
		return
	}
	r.runs = append(r.runs, s.ID)
	if routes[r.route].kind == "unsafe" && len(r.runs) > 1 {
		j.breaks("TWICE: %s ran on %v", id, r.runs)
	}
	if refusal(r.status) && routes[r.route].kind == "unsafe" {
		j.breaks("REFUSED: %s was answered %d and ran later on %s", id, r.status, s.ID)
	}
	if !slices.Contains(routes[r.route].allowed, s.Service) {
		j.breaks("ROUTE: %s of %s ran at %s", id, routes[r.route].name, s.Service)
	}
	j.checkConfig(r, s)
	if at, leaving := j.leaving[s.ID]; leaving && r.calm && j.calm(r.vm, now) && now.Sub(at) > drainBound && r.sent.Sub(at) > drainBound {
		j.breaks("DRAIN: %s reached %s %v after it was known to leave", id, s.ID, now.Sub(at).Round(time.Millisecond))
	}
}

// checkConfig compares the service that ran a request with those in force when it was sent.
func (j *judge) checkConfig(r *request, s *platformserver.Server) {
	changes := j.changes[r.route]
	for i, c := range changes {
		over := i+1 < len(changes) && r.sent.Sub(changes[i+1].at) > applyBound
		if c.service == s.Service && !over {
			return
		}
	}
	if r.calm {
		j.breaks("CONFIG: %s was sent by %s to %s, which it had left", r.id, r.vm, s.Service)
	}
}

// refusal reports statuses that promise that a request was not run.
func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// end takes the answer to a request, or its absence.
func (j *judge) end(r *request, status int, answerID, body string, signed bool, took time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.status = status
	j.outcomes[status]++
	if status == 200 {
		j.answered++
		whole := false
		for _, service := range routes[r.route].allowed {
			whole = whole || body == platformserver.Body(service, r.id)
		}
		if !whole || !signed || answerID != r.id {
			j.breaks("MIXED: %s got an answer to %q, signed %t, %d bytes", r.id, answerID, signed, len(body))
		}
	}
	if refusal(status) && routes[r.route].kind == "unsafe" && len(r.runs) > 0 {
		j.breaks("REFUSED: %s was answered %d and ran on %v", r.id, status, r.runs)
	}
	if took > routeTimeout+timeoutSlack && r.calm && j.calm(r.vm, time.Now()) {
		j.breaks("TIMEOUT: %s took %v", r.id, took.Round(time.Millisecond))
	}
}

// cut takes a connection that ended without an answer after its request was sent whole.
func (j *judge) cut(r *request, planned bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[0]++
	if took := time.Since(r.sent); took > routeTimeout+timeoutSlack {
		if r.calm && j.calm(r.vm, time.Now()) {
			j.breaks("TIMEOUT: %s got no answer from %s in %v", r.id, r.vm, took.Round(time.Millisecond))
		}
		return
	}
	if (planned || r.calm && j.calm(r.vm, time.Now())) && len(r.runs) > 0 {
		j.breaks("LOST: %s ran on %v and its connection to %s ended without an answer (planned stop %t)", r.id, r.runs, r.vm, planned)
	}
}
