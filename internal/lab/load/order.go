package load

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

const (
	ticketsPath = "/.well-known/hornbeamway/tickets?count=64"
	// retryBase is the wait before the first retry; it doubles with each one, up to retryMax.
	retryBase = 100 * time.Millisecond
	retryMax  = 2 * time.Second
)

// Order is one operation with an Idempotency-Key.
type Order struct {
	Key    string `json:"key"`
	Stream string `json:"stream"`
	// Outcome is that of the last attempt.
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
	Attempts int     `json:"attempts"`
}

// orderBook collects orders. It is safe for concurrent use.
type orderBook struct {
	mu     sync.Mutex
	orders []Order
}

func (b *orderBook) add(o Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, o)
}

// ticketPool holds tickets that were not used yet. It is safe for concurrent use.
type ticketPool struct {
	mu      sync.Mutex
	tickets []string
}

// take returns a ticket; empty when no entry VM gave any.
func (p *ticketPool) take(b *balancer) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tickets) == 0 {
		p.tickets = fetchTickets(b)
	}
	if len(p.tickets) == 0 {
		return ""
	}
	ticket := p.tickets[0]
	p.tickets = p.tickets[1:]
	return ticket
}

// fetchTickets asks one entry VM after the other.
func fetchTickets(b *balancer) []string {
	var tried []*target
	for t := b.pick("", tried); t != nil; t = b.pick("", tried) {
		tried = append(tried, t)
		if tickets := t.tickets(); len(tickets) > 0 {
			return tickets
		}
	}
	return nil
}

func (t *target) tickets() []string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + t.address + ticketsPath)
	req.SetTimeout(checkTimeout)
	if err := t.client.Do(req, resp); err != nil {
		return nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	body, err := readAll(resp)
	if err != nil || resp.StatusCode() != fasthttp.StatusOK || json.Unmarshal(body, &answer) != nil {
		return nil
	}
	return answer.Tickets
}

// sendOrder sends an order until it is answered or its attempts are used up, always with the same key.
func (g *generator) sendOrder(m *message) (res result, attempts int) {
	if m.key = m.id; m.stream.Keys == Tickets {
		if m.key = g.tickets.take(&g.balancer); m.key == "" {
			return result{outcome: NotSent, reason: "no_ticket"}, 1
		}
	}
	wait := retryBase
	for attempts = 1; ; attempts++ {
		res = g.send(m)
		if res.outcome == Answered || res.outcome == Wrong || res.outcome == Failed || attempts > m.stream.Retries || !g.pause(max(wait, res.retryAfter)) {
			break
		}
		wait = min(2*wait, retryMax)
	}
	g.orders.add(Order{Key: m.key, Stream: m.stream.Name, Outcome: res.outcome, Reason: res.reason, Attempts: attempts})
	return res, attempts
}

// repeat sends an answered order once more. Any 2xx answer must be the first one.
func (g *generator) repeat(m *message, first result) result {
	again := g.send(m)
	if again.outcome == Answered && again.answer != first.answer {
		again = result{outcome: Wrong, reason: "repeat_differs", detail: fmt.Sprintf("%s: %s, first %s", m.id, again.answer, first.answer)}
	}
	return again
}

// pause waits before a retry. It reports false at the end of the load.
func (g *generator) pause(d time.Duration) bool {
	timer := time.NewTimer(min(d, retryMax))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// Violations are broken promises of orders, by Idempotency-Key.
type Violations struct {
	// Duplicates ran more than once.
	Duplicates []string `json:"duplicates"`
	// RanButNotRun ran although their caller was told that they were not run.
	RanButNotRun []string `json:"ranButNotRun"`
	// AnsweredButMissing were answered although no server ran them.
	AnsweredButMissing []string `json:"answeredButMissing"`
}

// Count returns the number of violations.
func (v Violations) Count() int {
	return len(v.Duplicates) + len(v.RanButNotRun) + len(v.AnsweredButMissing)
}

// Verify compares what the callers were told with the runs in the journals of all backend servers.
func Verify(orders []Order, runs *cluster.Runs) Violations {
	v := Violations{Duplicates: []string{}, RanButNotRun: []string{}, AnsweredButMissing: []string{}}
	for key, list := range runs.Duplicates() {
		v.Duplicates = append(v.Duplicates, fmt.Sprintf("%s: %+v", key, list))
	}
	for _, o := range orders {
		ran := len(runs.ByKey[o.Key]) > 0
		switch {
		case ran && o.Outcome == Outcome(problem.NotRun):
			v.RanButNotRun = append(v.RanButNotRun, fmt.Sprintf("%+v: %+v", o, runs.ByKey[o.Key]))
		case !ran && o.Outcome == Answered && runs.Dropped == 0:
			v.AnsweredButMissing = append(v.AnsweredButMissing, fmt.Sprintf("%+v", o))
		}
	}
	return v
}
