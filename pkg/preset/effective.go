package preset

import (
	"sync/atomic"
	"time"
)

// Reason says why no preset may be used for admission.
type Reason string

// The reasons.
const (
	// ReasonNotStarted: no configuration was read yet.
	ReasonNotStarted Reason = "not_started"
	// ReasonNoConfiguration: the log was read and holds no bootstrap.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonInDoubt: this VM has confirmed a proposal and hears neither the log nor a peer that knows more.
	ReasonInDoubt Reason = "in_doubt"
	// ReasonStale: this VM was paused and has not checked its state since.
	ReasonStale Reason = "stale"
	// ReasonGap: records expired before this VM read them, and no snapshot or peer has closed the gap.
	ReasonGap Reason = "gap"
)

// Effective is the preset in force at one position of the log. It is immutable.
type Effective struct {
	// Version is the version of the configuration; it never goes down.
	Version int64
	// ActiveVersion and ContentVersion are the versions of the choice of preset and of its content.
	ActiveVersion, ContentVersion int64
	// Since is this VM's time when it put Version in force.
	Since   time.Time
	Content *Content
}

// Current tells which preset is in force on this VM.
type Current interface {
	// InForce returns the preset in force, or nil when this VM must admit nothing. It runs for each call and costs two
	// atomic reads and one reading of the clock.
	InForce() *Effective
	// Reason says why InForce returns nil. It is empty when a preset is in force.
	Reason() Reason
}

// BootClock returns the time since the start of the machine, including the time in which it was suspended.
type BootClock func() time.Duration

// gate publishes the preset in force and the time until which it may be used without a check.
type gate struct {
	boot      BootClock
	effective atomic.Pointer[Effective]
	// until is the boot time in nanoseconds up to which the published preset may be used.
	until atomic.Int64
}

// inForce implements Current.InForce.
func (g *gate) inForce() *Effective {
	e := g.effective.Load()
	if e == nil || int64(g.boot()) > g.until.Load() {
		return nil
	}
	return e
}
