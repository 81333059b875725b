package load

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// arrivals generates the intervals between the requests of a stream. The same seed yields the same intervals.
type arrivals struct {
	rate   float64
	fixed  bool
	random *rand.Rand
}

func newArrivals(s *Stream, seed, index uint64) *arrivals {
	return &arrivals{rate: s.Rate, fixed: s.Fixed, random: rand.New(rand.NewPCG(seed, index))}
}

// nextInterval returns the interval between an arrival and the next one.
func (a *arrivals) nextInterval() time.Duration {
	mean := float64(time.Second) / a.rate
	if a.fixed {
		return time.Duration(mean)
	}
	return time.Duration(a.random.ExpFloat64() * mean)
}

// maxSleep bounds a single sleep of pace, so that it notices the cancellation of its context.
const maxSleep = 50 * time.Millisecond

// pace calls send at each arrival from start until end or until ctx is cancelled. It locks its operating system thread and
// sleeps with nanosleep: timers of the Go runtime fire up to a millisecond late in an idle process, which would show in the
// latency, because latency is measured from the intended send time.
func pace(ctx context.Context, a *arrivals, start, end time.Time, send func(intended time.Time)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	// The default timer slack of a thread is 50 microseconds. If the call fails, the sleeps are only less precise.
	_ = unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)
	if a.rate <= 0 {
		return
	}
	for arrival := start.Add(a.nextInterval()); arrival.Before(end); arrival = arrival.Add(a.nextInterval()) {
		for remaining := time.Until(arrival); remaining > 0; remaining = time.Until(arrival) {
			if ctx.Err() != nil {
				return
			}
			timespec := unix.NsecToTimespec(int64(min(remaining, maxSleep)))
			_ = unix.Nanosleep(&timespec, nil)
		}
		if ctx.Err() != nil {
			return
		}
		send(arrival)
	}
}
