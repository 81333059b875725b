package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

const (
	// waitInterval is the mean interval at which a waiting request looks for a server again.
	waitInterval = 20 * time.Millisecond
	// maxWaiting bounds the requests of this VM that wait for a server. Further ones are refused at once.
	maxWaiting = 200
	// spareSlots is the number of free slots that a server must have for a request that yields to urgent ones: the slot that it
	// takes and one for the next urgent request.
	spareSlots = 2
	// yieldShare is the share of its objective for which such a request leaves the last free slot to urgent requests, and lastShare
	// the one after which it is refused.
	yieldShare = 0.35
	lastShare  = 0.5
)

// waitLimits says how long a request yields to the urgent requests of its service. A request with a long objective for its work,
// such as a download, still meets it after a wait, while an urgent one that finds no slot is refused or late.
type waitLimits struct {
	yields bool
	// yield is the time from its arrival for which the request needs spareSlots, and last that until which it waits.
	yield, last time.Duration
}

// newWaitLimits returns the limits of a request whose objective ends after the given time.
func newWaitLimits(yields bool, objective time.Duration) waitLimits {
	return waitLimits{yields: yields, yield: time.Duration(yieldShare * float64(objective)),
		last: time.Duration(lastShare * float64(objective))}
}

// freeSlots returns the number of free slots that a server must have for the request, the given time after its arrival.
func (w waitLimits) freeSlots(elapsed time.Duration) int {
	switch {
	case !w.yields:
		return 0
	case elapsed < w.yield:
		return spareSlots
	}
	return 1
}

// ownRegion reports whether the request, the given time after its arrival, waits rather than use the link between regions, whose
// bandwidth is small and whose traffic is billed by volume.
func (w waitLimits) ownRegion(elapsed time.Duration) bool { return w.yields && elapsed < w.yield }

// awaitServer returns the server for the first attempt. A request that yields to urgent ones waits here for a server with spare
// slots; any other is refused at once if no server can answer it in time.
func (g *Gateway) awaitServer(ctx context.Context, c *call) (balance.Choice, *problem.Problem) {
	for waiting := false; ; waiting = true {
		choice, refusal := g.chooseServer(c)
		if refusal == nil || refusal.Reason != problem.ReasonQueueFull || !g.mayWait(c, g.Clock.Now()) || g.refusing.Load() {
			return choice, refusal
		}
		if !waiting {
			if g.waiting.Add(1) > maxWaiting {
				g.waiting.Add(-1)
				return choice, refusal
			}
			defer g.waiting.Add(-1)
			c.trace.WriteString("waits ")
		}
		select {
		case <-ctx.Done():
			return choice, refusal
		case <-g.Clock.After(waitInterval/2 + time.Duration(rand.Int64N(int64(waitInterval)))):
		}
	}
}

// mayWait reports whether a request may wait for a server.
func (g *Gateway) mayWait(c *call, now time.Time) bool {
	wait := g.waitLimits(c)
	return wait.yields && now.Sub(c.arrivedAt) < wait.last
}
