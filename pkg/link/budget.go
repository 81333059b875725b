// Package link limits the bytes sent to the other region to the capacity of the link between the regions and divides that
// capacity among the priority classes. The settings assign each VM an equal share of the capacity. A VM reserves a fifth
// of its share for itself and pledges the rest, for a few seconds at a time, to the region's coordinator, which grants it
// in blocks to the VMs that have data to send. A share is pledged to at most one coordinator at a time, so the total never
// exceeds the capacity, whichever members each VM considers alive.
package link

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// ErrSettings reports a capacity or number of VMs that is not positive.
var ErrSettings = errors.New("invalid region link settings")

const (
	// localFraction is the fraction of the capacity that VMs use without a grant from the coordinator.
	localFraction = 0.2
	// pledgeDuration is the time for which a VM pledges its share. When a coordinator dies, the shares pledged to it
	// are lost for up to this time; a shorter duration needs more messages (one of about 250 B per VM and pledge).
	pledgeDuration = 10 * time.Second
	// MinBlock and MaxBlock are the minimum and maximum size of a block in bytes.
	MinBlock = 256 << 10
	MaxBlock = 1 << 20
	// blockLifetime is the time after which a block expires. Its unused bytes are discarded, not accumulated.
	blockLifetime = time.Second
	// maxChunk is the largest number of bytes consumed from a budget at once.
	maxChunk = 16 << 10
	// localBurst is the burst size in bytes of the token bucket for a VM's local rate.
	localBurst = 4 * maxChunk
)

// Settings describes the region link. All VMs of a region must have the same settings.
type Settings struct {
	// Capacity is the capacity in each direction in bytes per second.
	Capacity float64
	// VMs is the maximum number of entry VMs that run in the region at the same time.
	VMs int
	// Shares are the minimum shares of the classes.
	Shares priority.Shares
}

func (s Settings) validate() error {
	if s.Capacity <= 0 || s.VMs <= 0 {
		return errors.Wrapf(ErrSettings, "capacity %v B/s, %d VMs", s.Capacity, s.VMs)
	}
	return nil
}

// localRate is the rate in bytes per second that a VM uses without a grant from the coordinator.
func (s Settings) localRate() float64 { return s.Capacity * localFraction / float64(s.VMs) }

// pledgedRate is the rate in bytes per second that a VM pledges.
func (s Settings) pledgedRate() float64 { return s.Capacity * (1 - localFraction) / float64(s.VMs) }

// Pledge transfers a VM's share of the capacity to a coordinator for a limited time.
type Pledge struct {
	VM string `json:"vm"`
	// Rate is in bytes per second.
	Rate float64 `json:"rate"`
	// ForMs is the duration of the pledge in milliseconds.
	ForMs int64 `json:"forMs"`
}

type block struct {
	remaining int
	expires   time.Time
}

// budget holds the bytes that one VM may send. It has no clock; callers pass the time in.
type budget struct {
	settings     Settings
	id           string
	localLimiter *rate.Limiter
	blocks       [priority.NumClasses]block
	nextSizes    [priority.NumClasses]int // size of the next block to request
	pledgedUntil time.Time                // end of the last pledge
}

// newBudget returns a budget with an empty token bucket, so that replacing many VMs at once does not send additional
// bytes. The first pledge is due after pledgeDuration, because an earlier process of this VM may have a pledge in force.
func newBudget(s Settings, id string, now time.Time) *budget {
	b := &budget{
		settings: s, id: id, localLimiter: rate.NewLimiter(rate.Limit(s.localRate()), localBurst),
		pledgedUntil: now.Add(pledgeDuration),
	}
	b.localLimiter.AllowN(now, localBurst)
	for i := range b.nextSizes {
		b.nextSizes[i] = MinBlock
	}
	return b
}

// consumeBlock consumes n bytes of the class's block. It returns false when the block has too few bytes or has expired.
func (b *budget) consumeBlock(now time.Time, c priority.Class, n int) bool {
	classBlock := &b.blocks[c]
	if classBlock.remaining < n || now.After(classBlock.expires) {
		return false
	}
	classBlock.remaining -= n
	return true
}

// consumeLocal consumes n bytes of the VM's local rate. It returns false when too few bytes are available.
func (b *budget) consumeLocal(now time.Time, n int) bool { return b.localLimiter.AllowN(now, n) }

// localDelay returns the time until n bytes of the local rate are available.
func (b *budget) localDelay(now time.Time, n int) time.Duration {
	missing := float64(n) - b.localLimiter.TokensAt(now)
	return max(time.Millisecond, time.Duration(missing/b.settings.localRate()*float64(time.Second)))
}

// addBlock adds a granted block. The size of the next block doubles when the current block is used up and is halved when
// it has expired unused, so that large transfers need few messages and small ones waste little capacity.
func (b *budget) addBlock(now time.Time, c priority.Class, n int) {
	classBlock := &b.blocks[c]
	switch {
	case classBlock.remaining < maxChunk:
		b.nextSizes[c] = min(MaxBlock, 2*b.nextSizes[c])
	case now.After(classBlock.expires):
		b.nextSizes[c] = max(MinBlock, b.nextSizes[c]/2)
	}
	if now.After(classBlock.expires) {
		classBlock.remaining = 0
	}
	classBlock.remaining += n
	classBlock.expires = now.Add(blockLifetime)
}

// nextPledge returns the next pledge if the last one has ended.
func (b *budget) nextPledge(now time.Time) (Pledge, bool) {
	if now.Before(b.pledgedUntil) {
		return Pledge{}, false
	}
	b.pledgedUntil = now.Add(pledgeDuration)
	return Pledge{VM: b.id, Rate: b.settings.pledgedRate(), ForMs: pledgeDuration.Milliseconds()}, true
}
