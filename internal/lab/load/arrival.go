package load

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// arrivals gives the distances between the requests of a stream. The same seed gives the same distances.
type arrivals struct {
	rate   float64
	fixed  bool
	random *rand.Rand
}

func newArrivals(s *Stream, seed, index uint64) *arrivals {
	return &arrivals{rate: s.Rate, fixed: s.Fixed, random: rand.New(rand.NewPCG(seed, index))}
}

// next returns the time from one arrival to the next.
func (a *arrivals) next() time.Duration {
	mean := float64(time.Second) / a.rate
	if a.fixed {
		return time.Duration(mean)
	}
	return time.Duration(a.random.ExpFloat64() * mean)
}

// longestSleep bounds one sleep of the pacer, so that it sees the end of its context.
const longestSleep = 50 * time.Millisecond

// pace calls send at each arrival from start until end or the end of ctx. It keeps an operating system thread: timers of
// the Go runtime are late by up to a millisecond in an idle process, which the latency from the intended time would show.
func pace(ctx context.Context, a *arrivals, start, end time.Time, send func(intended time.Time)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	// The default timer slack of a thread is 50 microseconds. Without it the sleep is only less exact.
	_ = unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)
	if a.rate <= 0 {
		return
	}
	for at := start.Add(a.next()); at.Before(end); at = at.Add(a.next()) {
		for left := time.Until(at); left > 0; left = time.Until(at) {
			if ctx.Err() != nil {
				return
			}
			ts := unix.NsecToTimespec(int64(min(left, longestSleep)))
			_ = unix.Nanosleep(&ts, nil)
		}
		if ctx.Err() != nil {
			return
		}
		send(at)
	}
}
