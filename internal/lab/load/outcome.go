package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Outcome classifies the result of a request as its caller observes it.
type Outcome string

// Outcomes of a request.
const (
	// Answered: a 2xx response that passed all checks.
	Answered Outcome = "answered"
	// NotRun and Unknown: a problem response with this outcome.
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	// Failed: a response of the backend server with a status other than 2xx.
	Failed Outcome = "failed"
	// Lost: the connection broke or the caller's timeout expired before the response was complete.
	Lost Outcome = "lost"
	// Wrong: a response that belongs to another request or is corrupted.
	Wrong Outcome = "wrong"
	// NotSent: no entry VM accepted a connection or issued a ticket, or too many requests of the generator were in flight.
	NotSent Outcome = "not_sent"
)

// Range of the histograms in microseconds, from one microsecond to ten minutes, with three significant digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxExamples bounds the number of responses with the outcome Wrong whose details are retained.
const maxExamples = 10

// recorder collects the results of one stream. It is safe for concurrent use.
type recorder struct {
	mu            sync.Mutex
	latency       *hdrhistogram.Histogram
	sendLag       *hdrhistogram.Histogram
	outcomes      map[Outcome]int64
	reasons       map[string]int64
	retries       int64
	wrongExamples []string
}

func newRecorder() *recorder {
	return &recorder{
		latency:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		sendLag:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		outcomes: map[Outcome]int64{}, reasons: map[string]int64{},
	}
}

// record counts one request. The latency is recorded only if the request was answered.
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
	if res.outcome == Wrong && len(r.wrongExamples) < maxExamples {
		r.wrongExamples = append(r.wrongExamples, res.detail)
	}
}

// recordSendLag records the delay between the intended and the actual send time of a request.
func (r *recorder) recordSendLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.sendLag.RecordValue(min(max(lag.Microseconds(), lowestMicros), highestMicros))
}

// Latency summarizes a latency distribution; its values other than Count are in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
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
	// Requests is the number of requests in the measured time.
	Requests int64 `json:"requests"`
	// Completed is the share of the requests that were answered, between 0 and 1.
	Completed float64           `json:"completedShare"`
	Outcomes  map[Outcome]int64 `json:"outcomes"`
	// Reasons counts the reasons of the last attempts that were not successful.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Retries is the number of further attempts of operations.
	Retries int64 `json:"retries"`
	// Latency is the latency of answered requests, measured from the intended send time.
	Latency Latency `json:"latency"`
	// SendLagP99 is the 99th percentile of the delay from the intended to the actual send time, in milliseconds.
	SendLagP99 float64  `json:"sendLagP99Ms"`
	Examples   []string `json:"wrongAnswers,omitempty"`
}

// merge adds the results of another recorder.
func (r *recorder) merge(o *recorder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.latency.Merge(o.latency)
	r.sendLag.Merge(o.sendLag)
	for k, n := range o.outcomes {
		r.outcomes[k] += n
	}
	for k, n := range o.reasons {
		r.reasons[k] += n
	}
	r.retries += o.retries
	r.wrongExamples = append(r.wrongExamples, o.wrongExamples...)
}

func (r *recorder) summary(name string, class priority.Class, offered float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Name: name, Class: class.String(), Offered: offered, Outcomes: r.outcomes, Reasons: r.reasons, Retries: r.retries,
		Latency: summarizeLatency(r.latency), SendLagP99: float64(r.sendLag.ValueAtPercentile(99)) / 1000,
		Examples: r.wrongExamples,
	}
	for _, n := range r.outcomes {
		s.Requests += n
	}
	if s.Requests > 0 {
		s.Completed = float64(r.outcomes[Answered]) / float64(s.Requests)
	}
	return s
}
