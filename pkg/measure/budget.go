// Package measure probes backend servers within a budget. What a server's answers say counts first: only servers
// without a recent answer are probed, and a probe result never overrules an answer. Planner is pure; Runner does the
// sending through a Prober.
package measure

import (
	"time"

	"golang.org/x/time/rate"
)

// The budget of design section 5.2, per second. A bucket holds what one second brings and starts empty, so that a
// replacement of all VMs at once spends no more than running ones.
const (
	// serverTimeRate is the backend time that probes of one server may use, in microseconds.
	serverTimeRate = 5_000
	// serverByteRate is the number of probe bytes of one server.
	serverByteRate = 512
	// vmByteRate is the number of probe bytes of this VM.
	vmByteRate = 1024
)

// Cost is what a probe uses.
type Cost struct {
	// Time is the backend time.
	Time time.Duration
	// Bytes is the number of bytes sent and received, with TCP/IP headers.
	Bytes int
}

// bucket is a token bucket that may be overdrawn when a probe costs more than was expected.
type bucket struct {
	limiter *rate.Limiter
	debt    int
}

// newBucket returns an empty bucket.
func newBucket(now time.Time, perSecond int) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
	b.limiter.AllowN(now, perSecond)
	return b
}

// has tells whether n tokens are there after all debt is paid. For more than the bucket holds, a full bucket is enough.
func (b *bucket) has(now time.Time, n int) bool {
	b.pay(now)
	return b.debt == 0 && b.limiter.TokensAt(now) >= float64(min(n, b.limiter.Burst()))
}

// spend takes n tokens; what is missing becomes debt.
func (b *bucket) spend(now time.Time, n int) {
	b.debt += n
	b.pay(now)
}

func (b *bucket) pay(now time.Time) {
	if available := min(int(b.limiter.TokensAt(now)), b.debt); available > 0 && b.limiter.AllowN(now, available) {
		b.debt -= available
	}
}
