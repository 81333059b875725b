package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Outcome is what a caller knows of its request.
type Outcome string

// The outcomes.
const (
	// Answered: a 2xx answer that passed all checks.
	Answered Outcome = "answered"
	// NotRun and Unknown: a problem answer with this outcome.
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	// Failed: another status, from the backend server.
	Failed Outcome = "failed"
	// Lost: the connection broke or the caller's timeout passed without an answer.
	Lost Outcome = "lost"
	// Wrong: an answer that does not belong to the request or is damaged.
	Wrong Outcome = "wrong"
	// NotSent: no entry VM accepted a connection, or too many requests were in flight in the generator.
	NotSent Outcome = "not_sent"
)

// Histogram bounds in microseconds: one microsecond to ten minutes with three digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// maxExamples bounds the details kept of wrong answers.
const maxExamples = 10

// recorder collects the results of one stream. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram
	outcomes map[Outcome]int64
	reasons  map[string]int64
	retries  int64
	examples []string
}

func newRecorder() *recorder {
	return &recorder{
		latency:  hdrhistogram.New(lowestMicros, highestMicros, digits),
		lag:      hdrhistogram.New(lowestMicros, highestMicros, digits),
		outcomes: map[Outcome]int64{}, reasons: map[string]int64{},
	}
}

// record counts one request. latency counts only for an answered one.
func (r *recorder) record(res result, latency time.Duration, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[res.outcome]++
	r.retries += int64(attempts - 1)
	if res.reason != "" {
		r.reasons[res.reason]++
	}
	if res.outcome == Answered {
		_ = r.latency.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
	}
	if res.outcome == Wrong && len(r.examples) < maxExamples {
		r.examples = append(r.examples, res.detail)
	}
}

// sent records how late a request was sent.
func (r *recorder) sent(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lag.RecordValue(min(max(lag.Microseconds(), lowestMicros), highestMicros))
}

// Latency are latencies in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

func summarize(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(h.ValueAtPercentile(50)), P90: ms(h.ValueAtPercentile(90)),
		P99: ms(h.ValueAtPercentile(99)), P999: ms(h.ValueAtPercentile(99.9)), Max: ms(h.Max()),
	}
}

// Summary is the result of one stream or class.
type Summary struct {
	Name  string `json:"name"`
	Class string `json:"class"`
	// Offered is the offered rate in requests per second.
	Offered float64 `json:"offeredPerSecond"`
	// Requests counts the requests of the measured time.
	Requests int64 `json:"requests"`
	// Completed is the answered share of the requests.
	Completed float64           `json:"completedShare"`
	Outcomes  map[Outcome]int64 `json:"outcomes"`
	// Reasons counts the reasons of the last answers that were not successful.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Retries counts further attempts of orders.
	Retries int64 `json:"retries"`
	// Latency is that of answered requests, from the intended time.
	Latency Latency `json:"latency"`
	// SendLagP99 is how late requests were sent, in milliseconds.
	SendLagP99 float64  `json:"sendLagP99Ms"`
	Examples   []string `json:"wrongAnswers,omitempty"`
}

// merge adds the counts of another recorder.
func (r *recorder) merge(o *recorder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.latency.Merge(o.latency)
	r.lag.Merge(o.lag)
	for k, n := range o.outcomes {
		r.outcomes[k] += n
	}
	for k, n := range o.reasons {
		r.reasons[k] += n
	}
	r.retries += o.retries
	r.examples = append(r.examples, o.examples...)
}

func (r *recorder) summary(name string, class priority.Class, offered float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Name: name, Class: class.String(), Offered: offered, Outcomes: r.outcomes, Reasons: r.reasons, Retries: r.retries,
		Latency: summarize(r.latency), SendLagP99: float64(r.lag.ValueAtPercentile(99)) / 1000, Examples: r.examples,
	}
	for _, n := range r.outcomes {
		s.Requests += n
	}
	if s.Requests > 0 {
		s.Completed = float64(r.outcomes[Answered]) / float64(s.Requests)
	}
	return s
}
