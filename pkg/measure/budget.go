// Package measure probes the load of backend servers within a budget. Responses to calls have precedence: only servers without
// a recent response are probed, and a probe result never overrides a response. Planner does no I/O; Runner sends the
// probes through a Prober.
package measure

import (
	"time"

	"golang.org/x/time/rate"
)

// The probe budget per second (docs/design.md, section 5.2). A token bucket has the capacity of one second and starts empty, so that
// replacing all VMs at once spends no more than VMs that keep running.
const (
	// serverTimePerSecond is the backend time that probes of one server may use, in microseconds.
	serverTimePerSecond = 5_000
	// serverBytesPerSecond is the number of bytes that probes of one server may use.
	serverBytesPerSecond = 512
	// vmBytesPerSecond is the number of bytes that all probes of this VM may use.
	vmBytesPerSecond = 1024
)

// Cost is the amount of each resource that a probe uses.
type Cost struct {
	// Time is the processing time on the backend server.
	Time time.Duration
	// Bytes is the number of bytes sent and received, with TCP/IP headers.
	Bytes int
}

// bucket is a token bucket that may be overdrawn, because a probe can cost more than expected.
type bucket struct {
	limiter *rate.Limiter
	debt    int
}

// newBucket returns an empty bucket that is refilled with perSecond tokens per second and holds at most as many.
func newBucket(now time.Time, perSecond int) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
	b.limiter.AllowN(now, perSecond)
	return b
}

// canSpend reports whether n tokens are available after all debt is repaid. If n exceeds the capacity of the bucket, a full
// bucket is enough.
func (b *bucket) canSpend(now time.Time, n int) bool {
	b.repayDebt(now)
	return b.debt == 0 && b.limiter.TokensAt(now) >= float64(min(n, b.limiter.Burst()))
}

// spend removes n tokens; tokens that are not available become debt.
func (b *bucket) spend(now time.Time, n int) {
	b.debt += n
	b.repayDebt(now)
}

func (b *bucket) repayDebt(now time.Time) {
	if available := min(int(b.limiter.TokensAt(now)), b.debt); available > 0 && b.limiter.AllowN(now, available) {
		b.debt -= available
	}
}
