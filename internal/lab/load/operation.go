package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

const (
	// ticketBatch is the number of tickets in one request to an entry VM.
	ticketBatch = 32
	// initialRetryDelay is the delay before the first retry; it doubles with each retry, up to maxRetryDelay.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Operation is the record of one operation, a non-idempotent request with an idempotency key.
type Operation struct {
	Key    string `json:"key"`
	Stream string `json:"stream"`
	// Outcome is the outcome of the last attempt.
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
	Attempts int     `json:"attempts"`
}

// operationRecorder collects operations. It is safe for concurrent use.
type operationRecorder struct {
	mu         sync.Mutex
	operations []Operation
}

func (r *operationRecorder) add(o Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, o)
}

// ticketPool holds unused tickets. It is safe for concurrent use.
type ticketPool struct {
	mu      sync.Mutex
	tickets []string
}

// take returns an unused ticket and fetches new ones if the pool is empty. It returns "" if no entry VM issued any.
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

// fetchTickets requests tickets from all healthy entry VMs and interleaves them. A ticket identifies the VM that issued it,
// so consecutive tickets of one VM would direct a burst of operations to it, which does not happen behind the platform's load
// balancer.
func fetchTickets(b *balancer) []string {
	targets := lo.Filter(b.all(), func(t *target, _ int) bool { return !t.unhealthy.Load() })
	batches := make([][]string, len(targets))
	var requests sync.WaitGroup
	for i, t := range targets {
		requests.Go(func() { batches[i] = t.client.Tickets(ticketBatch, controlRequestTimeout) })
	}
	requests.Wait()
	return lo.Interleave(batches...)
}

// sendOperation sends an operation, always with the same key, until its outcome is Answered, Wrong or Failed, its attempts
// are exhausted or the load ends.
func (g *generator) sendOperation(c *call) (res result, attempts int) {
	if c.key = c.id; c.stream.Keys == Tickets {
		if c.key = g.tickets.take(&g.balancer); c.key == "" {
			return result{outcome: NotSent, reason: "no_ticket"}, 1
		}
	}
	delay := initialRetryDelay
	for attempts = 1; ; attempts++ {
		res = g.send(c)
		if res.outcome == Answered || res.outcome == Wrong || res.outcome == Failed || attempts > c.stream.Retries ||
			!g.waitBeforeRetry(max(delay, res.retryAfter)) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	g.operations.add(Operation{Key: c.key, Stream: c.stream.Name, Outcome: res.outcome, Reason: res.reason, Attempts: attempts})
	return res, attempts
}

// resend sends an answered operation once more. A 2xx response must equal the first one.
func (g *generator) resend(c *call, first result) result {
	second := g.send(c)
	if second.outcome == Answered && second.fingerprint != first.fingerprint {
		second = result{outcome: Wrong, reason: "repeat_differs",
			detail: fmt.Sprintf("%s: %s, first %s", c.id, second.fingerprint, first.fingerprint)}
	}
	return second
}

// waitBeforeRetry waits for d, at most maxRetryDelay. It returns false if the load ends first.
func (g *generator) waitBeforeRetry(d time.Duration) bool {
	timer := time.NewTimer(min(d, maxRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// Violations lists violated guarantees of operations, by idempotency key.
type Violations struct {
	// Duplicates lists operations that were executed more than once.
	Duplicates []string `json:"duplicates"`
	// RanButNotRun lists operations that were executed although their caller received the outcome NotRun.
	RanButNotRun []string `json:"ranButNotRun"`
	// AnsweredButMissing lists operations that were answered although no server executed them.
	AnsweredButMissing []string `json:"answeredButMissing"`
}

// Count returns the number of violations.
func (v Violations) Count() int {
	return len(v.Duplicates) + len(v.RanButNotRun) + len(v.AnsweredButMissing)
}

// Verify compares the outcomes that the callers received with the executions in the journals of all backend servers.
func Verify(operations []Operation, executions *cluster.Executions) Violations {
	v := Violations{Duplicates: []string{}, RanButNotRun: []string{}, AnsweredButMissing: []string{}}
	for key, repeated := range executions.Duplicates() {
		v.Duplicates = append(v.Duplicates, fmt.Sprintf("%s: %+v", key, repeated))
	}
	for _, o := range operations {
		executed := len(executions.ByKey[o.Key]) > 0
		switch {
		case executed && o.Outcome == Outcome(problem.NotRun):
			v.RanButNotRun = append(v.RanButNotRun, fmt.Sprintf("%+v: %+v", o, executions.ByKey[o.Key]))
		case !executed && o.Outcome == Answered && executions.Dropped == 0:
			v.AnsweredButMissing = append(v.AnsweredButMissing, fmt.Sprintf("%+v", o))
		}
	}
	return v
}
