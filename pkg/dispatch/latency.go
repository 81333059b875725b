package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of the histograms. With one significant digit a histogram uses about 2.5 kB, so that
	// hundreds of pools fit into the memory budget of a VM.
	latencyUnit              = 10 * time.Microsecond
	maxLatencyUnits          = int64(time.Minute / latencyUnit)
	latencySignificantDigits = 1
	// latencyWindow is the interval at which the histograms are rotated. They cover one to two windows together.
	latencyWindow = 10 * time.Second
	// percentileMaxAge is the time for which a computed percentile is cached.
	percentileMaxAge = 100 * time.Millisecond
	// meanWeight is the EWMA weight of a new sample in the mean service time of a class.
	meanWeight = 0.02
)

// latencyStats holds the service time statistics of one class in a pool.
type latencyStats struct {
	mean      float64 // seconds, EWMA over servers that are neither stragglers nor ejected; 0 if unknown
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt time.Time
	p95       time.Duration
	p95At     time.Time
}

func (l *latencyStats) record(now time.Time, d time.Duration) {
	if l.current == nil {
		l.current = hdrhistogram.New(1, maxLatencyUnits, latencySignificantDigits)
		l.previous = hdrhistogram.New(1, maxLatencyUnits, latencySignificantDigits)
		l.rotatedAt = now
	}
	if now.Sub(l.rotatedAt) >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.rotatedAt = now
	}
	_ = l.current.RecordValue(min(int64(d/latencyUnit), maxLatencyUnits)) // never fails: the value is within the range
}

func (l *latencyStats) recordMean(d time.Duration) {
	if l.mean == 0 {
		l.mean = d.Seconds()
		return
	}
	l.mean += meanWeight * (d.Seconds() - l.mean)
}

// percentile95 returns the 95th percentile of the histogram with more samples, or 0 if nothing was recorded.
func (l *latencyStats) percentile95(now time.Time) time.Duration {
	if l.current == nil || !l.p95At.IsZero() && now.Sub(l.p95At) < percentileMaxAge {
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

// relativeServiceTime returns the service time in multiples of the mean of the class, so that a server that happens to get
// the calls of a slow class is not taken for a straggler. It returns 1 while the mean is unknown.
func (l *latencyStats) relativeServiceTime(d time.Duration) float64 {
	if l.mean == 0 {
		return 1
	}
	return d.Seconds() / l.mean
}
