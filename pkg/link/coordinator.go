package link

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// requestLimit bounds the waiting requests of a class.
const requestLimit = 256

// Elect returns the coordinator of a region among its alive VMs by rendezvous hashing.
func Elect(region string, alive []membership.Member) (coordinator membership.Member, ok bool) {
	var best uint64
	for _, m := range alive {
		if weight := xxhash.Sum64String(region + "\x00" + m.ID); !ok || weight > best {
			coordinator, best, ok = m, weight, true
		}
	}
	return coordinator, ok
}

// pledged is a part of the capacity that a VM has handed over from one time to another.
type pledged struct {
	rate     float64
	from, to time.Time
}

// request waits for a block.
type request struct {
	bytes    int
	deadline time.Time
	granted  chan int // buffered; receives the size of the block
}

// coordinator hands out the pledged parts. It is pure: time is passed in. Every VM has one, but only the elected one
// receives pledges.
type coordinator struct {
	pledges map[string]pledged
	tokens  float64
	last    time.Time
	waiting *priority.Scheduler[*request]
}

func newCoordinator(shares priority.Shares, now time.Time) *coordinator {
	return &coordinator{pledges: map[string]pledged{}, last: now,
		waiting: priority.NewScheduler[*request](shares, requestLimit)}
}

// pledge takes over a VM's part. It begins after the end of an earlier pledge of the same VM.
func (c *coordinator) pledge(now time.Time, p Pledge) {
	c.accrue(now)
	end := time.Duration(p.ForMs) * time.Millisecond
	if old, ok := c.pledges[p.VM]; ok && old.to.After(now) {
		old.to = old.to.Add(end)
		c.pledges[p.VM] = old
		return
	}
	c.pledges[p.VM] = pledged{rate: p.Rate, from: now, to: now.Add(end)}
}

// accrue adds the bytes earned since the last call. No more than a block is saved up.
func (c *coordinator) accrue(now time.Time) {
	for vm, p := range c.pledges {
		from, to := p.from, p.to
		if from.Before(c.last) {
			from = c.last
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
	c.last = now
}

// ask queues a request for a block. It reports false when too many wait.
func (c *coordinator) ask(class priority.Class, r *request) bool {
	r.bytes = min(MaxBlock, max(MinBlock, r.bytes))
	return c.waiting.Push(class, r)
}

// grant answers waiting requests as far as the pledged parts allow.
func (c *coordinator) grant(now time.Time) {
	c.accrue(now)
	for c.tokens >= c.threshold() {
		r, class, ok := c.waiting.Pop(now)
		if !ok {
			return
		}
		if now.After(r.deadline) { // the asking VM has given up
			c.waiting.Charge(class, 0)
			continue
		}
		n := min(r.bytes, int(c.tokens))
		c.tokens -= float64(n)
		c.waiting.Charge(class, float64(n))
		r.granted <- n
	}
}

// threshold is the bytes saved up before the next block: few messages while only bulk waits, a short wait otherwise.
func (c *coordinator) threshold() float64 {
	if c.waiting.Len(priority.Interactive)+c.waiting.Len(priority.Transactional) > 0 {
		return MinBlock
	}
	return MaxBlock / 2
}
