// Package link keeps bytes sent to the other region within the capacity of the link, by class. Each VM has an equal part
// of the capacity by settings. It keeps a fifth for itself and pledges the rest, for a few seconds at a time, to the
// region's coordinator, which hands it out in blocks to the VMs that have something to send. A part is pledged to at
// most one coordinator at a time, so the sum never exceeds the capacity, whatever the VMs know about each other.
package link

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// ErrSettings reports a capacity or number of VMs that cannot be used.
var ErrSettings = errors.New("invalid region link settings")

const (
	// localPart is the part of the capacity that needs no coordinator.
	localPart = 0.2
	// pledgeTime is how long a VM's part is pledged. A coordinator that dies costs the pledged parts for up to this
	// time; a shorter time costs more messages (one of about 250 B per VM and pledge).
	pledgeTime = 10 * time.Second
	// MinBlock and MaxBlock bound a block in bytes.
	MinBlock = 256 << 10
	MaxBlock = 1 << 20
	// blockLifetime is the time in which a block must be used. Unused bytes are lost, not saved up.
	blockLifetime = time.Second
	// chunk is the largest number of bytes taken at once.
	chunk = 16 << 10
	// localBurst is the depth in bytes of a VM's own bucket.
	localBurst = 4 * chunk
)

// Settings describe the link. All VMs of a region must have the same.
type Settings struct {
	// Capacity is the capacity in each direction in bytes per second.
	Capacity float64
	// VMs is the largest number of entry VMs that run in the region at the same time.
	VMs int
	// Shares are the minimum shares of the classes.
	Shares priority.Shares
}

func (s Settings) check() error {
	if s.Capacity <= 0 || s.VMs <= 0 {
		return errors.Wrapf(ErrSettings, "capacity %v B/s, %d VMs", s.Capacity, s.VMs)
	}
	return nil
}

// ownRate is the rate in bytes per second that a VM uses without coordinator.
func (s Settings) ownRate() float64 { return s.Capacity * localPart / float64(s.VMs) }

// pledgedRate is the rate in bytes per second that a VM pledges.
func (s Settings) pledgedRate() float64 { return s.Capacity * (1 - localPart) / float64(s.VMs) }

// Pledge hands a VM's part of the capacity to a coordinator for a time.
type Pledge struct {
	VM string `json:"vm"`
	// Rate is in bytes per second.
	Rate float64 `json:"rate"`
	// ForMs is the time in milliseconds.
	ForMs int64 `json:"forMs"`
}

type block struct {
	left    int
	expires time.Time
}

// account is the budget of one VM. It is pure: time is passed in.
type account struct {
	settings Settings
	id       string
	own      *rate.Limiter
	blocks   [priority.NumClasses]block
	sizes    [priority.NumClasses]int // size of the next block to ask for
	pledged  time.Time                // end of the last pledge
}

// newAccount starts with an empty bucket, so that mass replacement sends no more. The first pledge waits for a pledge
// time, because an earlier process of this VM may have made one.
func newAccount(s Settings, id string, now time.Time) *account {
	a := &account{settings: s, id: id, own: rate.NewLimiter(rate.Limit(s.ownRate()), localBurst), pledged: now.Add(pledgeTime)}
	a.own.AllowN(now, localBurst)
	for i := range a.sizes {
		a.sizes[i] = MinBlock
	}
	return a
}

// takeBlock takes n bytes from the class's block.
func (a *account) takeBlock(now time.Time, c priority.Class, n int) bool {
	b := &a.blocks[c]
	if b.left < n || now.After(b.expires) {
		return false
	}
	b.left -= n
	return true
}

// takeOwn takes n bytes from the VM's own part.
func (a *account) takeOwn(now time.Time, n int) bool { return a.own.AllowN(now, n) }

// ownDelay is the time until n bytes of the own part are available.
func (a *account) ownDelay(now time.Time, n int) time.Duration {
	missing := float64(n) - a.own.TokensAt(now)
	return max(time.Millisecond, time.Duration(missing/a.settings.ownRate()*float64(time.Second)))
}

// addBlock adds a granted block. Blocks grow while they are used up and shrink when they expire unused, so that large
// transfers need few messages and small ones waste little.
func (a *account) addBlock(now time.Time, c priority.Class, n int) {
	b := &a.blocks[c]
	switch {
	case b.left < chunk:
		a.sizes[c] = min(MaxBlock, 2*a.sizes[c])
	case now.After(b.expires):
		a.sizes[c] = max(MinBlock, a.sizes[c]/2)
	}
	if now.After(b.expires) {
		b.left = 0
	}
	b.left += n
	b.expires = now.Add(blockLifetime)
}

// pledge returns the next pledge when the last one has ended.
func (a *account) pledge(now time.Time) (Pledge, bool) {
	if now.Before(a.pledged) {
		return Pledge{}, false
	}
	a.pledged = now.Add(pledgeTime)
	return Pledge{VM: a.id, Rate: a.settings.pledgedRate(), ForMs: pledgeTime.Milliseconds()}, true
}
