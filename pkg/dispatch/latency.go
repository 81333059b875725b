package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of the histograms; with one significant digit a histogram takes about 2.5 kB, so
	// that hundreds of pools fit into the memory budget of a VM.
	latencyUnit    = 10 * time.Microsecond
	latencyLongest = int64(time.Minute / latencyUnit)
	latencyDigits  = 1
	// latencyWindow is the time after which old samples are dropped: between one and two windows are in use.
	latencyWindow = 10 * time.Second
	// quantileAge is the time for which a computed percentile is reused.
	quantileAge = 100 * time.Millisecond
	// meanWeight is the weight of a new answer in the mean service time of a class.
	meanWeight = 0.02
)

// latencies is the service time of one class over a pool.
type latencies struct {
	mean     float64 // seconds, EWMA over servers that are not stragglers; 0: not known
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
	p95      time.Duration
	p95At    time.Time
}

func (l *latencies) record(now time.Time, d time.Duration) {
	if l.current == nil {
		l.current = hdrhistogram.New(1, latencyLongest, latencyDigits)
		l.previous = hdrhistogram.New(1, latencyLongest, latencyDigits)
		l.rotated = now
	}
	if now.Sub(l.rotated) >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.rotated = now
	}
	_ = l.current.RecordValue(min(int64(d/latencyUnit), latencyLongest)) // the value is within range
}

func (l *latencies) recordMean(d time.Duration) {
	if l.mean == 0 {
		l.mean = d.Seconds()
		return
	}
	l.mean += meanWeight * (d.Seconds() - l.mean)
}

// percentile95 returns the 95th percentile of the fuller histogram, or 0 when nothing was recorded.
func (l *latencies) percentile95(now time.Time) time.Duration {
	if l.current == nil || !l.p95At.IsZero() && now.Sub(l.p95At) < quantileAge {
		return l.p95
	}
	h := l.current
	if l.previous.TotalCount() > h.TotalCount() {
		h = l.previous
	}
	l.p95 = time.Duration(h.ValueAtQuantile(95)) * latencyUnit
	l.p95At = now
	return l.p95
}

// slowness returns the service time in multiples of the mean, so that a server that happens to get the long calls of
// one class is not taken for a straggler.
func (l *latencies) slowness(d time.Duration) float64 {
	if l.mean == 0 {
		return 1
	}
	return d.Seconds() / l.mean
}
