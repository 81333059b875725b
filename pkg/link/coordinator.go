package link

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// requestLimit is the maximum number of queued block requests per class.
const requestLimit = 256

// Elect selects the coordinator of a region from its alive VMs by rendezvous hashing. ok is false if there are none.
func Elect(region string, alive []membership.Member) (coordinator membership.Member, ok bool) {
	var best uint64
	for _, m := range alive {
		if weight := xxhash.Sum64String(region + "\x00" + m.ID); !ok || weight > best {
			coordinator, best, ok = m, weight, true
		}
	}
	return coordinator, ok
}

// activePledge is a share of the capacity that a VM has pledged for the period between two times.
type activePledge struct {
	rate     float64
	from, to time.Time
}

// blockRequest is a queued request for a block.
type blockRequest struct {
	bytes    int
	deadline time.Time
	granted  chan int // buffered; receives the size of the block
}

// coordinator grants blocks of the pledged capacity. It has no clock; callers pass the time in. Every VM has one, but only
// the coordinator of the elected VM receives pledges.
type coordinator struct {
	pledges     map[string]activePledge
	tokens      float64
	lastAccrual time.Time
	requests    *priority.Scheduler[*blockRequest]
}

func newCoordinator(shares priority.Shares, now time.Time) *coordinator {
	return &coordinator{pledges: map[string]activePledge{}, lastAccrual: now,
		requests: priority.NewScheduler[*blockRequest](shares, requestLimit)}
}

// addPledge adds a VM's pledge. If an earlier pledge of the same VM is still in force, the new one begins when that ends.
func (c *coordinator) addPledge(now time.Time, p Pledge) {
	c.accrue(now)
	duration := time.Duration(p.ForMs) * time.Millisecond
	if old, ok := c.pledges[p.VM]; ok && old.to.After(now) {
		old.to = old.to.Add(duration)
		c.pledges[p.VM] = old
		return
	}
	c.pledges[p.VM] = activePledge{rate: p.Rate, from: now, to: now.Add(duration)}
}

// accrue adds the bytes that the pledges have yielded since the last call. At most MaxBlock bytes accumulate.
func (c *coordinator) accrue(now time.Time) {
	for vm, p := range c.pledges {
		from, to := p.from, p.to
		if from.Before(c.lastAccrual) {
			from = c.lastAccrual
		}
		if to.After(now) {
			to = now
		} else {
			delete(c.pledges, vm)
		}
		if to.After(from) {
			c.tokens += p.rate * to.Sub(from).Seconds()
		}
	}
	c.tokens = min(c.tokens, MaxBlock)
	c.lastAccrual = now
}

// enqueue queues a request for a block. It returns false when the queue of the class is full.
func (c *coordinator) enqueue(class priority.Class, r *blockRequest) bool {
	r.bytes = min(MaxBlock, max(MinBlock, r.bytes))
	return c.requests.Push(class, r)
}

// grant grants blocks to queued requests as far as the accrued bytes allow.
func (c *coordinator) grant(now time.Time) {
	c.accrue(now)
	for c.tokens >= c.grantThreshold() {
		r, class, ok := c.requests.Pop(now)
		if !ok {
			return
		}
		if now.After(r.deadline) { // the requesting VM has timed out
			c.requests.Charge(class, 0)
			continue
		}
		n := min(r.bytes, int(c.tokens))
		c.tokens -= float64(n)
		c.requests.Charge(class, float64(n))
		r.granted <- n
	}
}

// grantThreshold returns the number of bytes to accrue before the next block is granted. It is large while only bulk
// requests are queued, for few messages, and small otherwise, for a short wait.
func (c *coordinator) grantThreshold() float64 {
	if c.requests.Len(priority.Interactive)+c.requests.Len(priority.Transactional) > 0 {
		return MinBlock
	}
	return MaxBlock / 2
}
