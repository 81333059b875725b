package preset

import (
	"sync/atomic"
	"time"
)

// Reason is the reason why no preset may be used for admission.
type Reason string

// Reasons why no preset may be used for admission.
const (
	// ReasonNotStarted: this VM has not read the configuration completely since its start.
	ReasonNotStarted Reason = "not_started"
	// ReasonNoConfiguration: the log was read and contains no bootstrap record.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonInDoubt: this VM has confirmed a proposal, and neither the log nor a peer with a later state is reachable.
	ReasonInDoubt Reason = "in_doubt"
	// ReasonStale: this VM was paused and has not verified its state since.
	ReasonStale Reason = "stale"
	// ReasonGap: records expired before this VM read them, and neither a snapshot nor a peer has closed the gap.
	ReasonGap Reason = "gap"
)

// Effective is the preset in force at a position of the log. It is immutable.
type Effective struct {
	// Version is the version of the configuration. It never decreases.
	Version int64
	// ActiveVersion is the version of the object that selects the preset; ContentVersion is that of the preset's content.
	ActiveVersion, ContentVersion int64
	// Since is the local time at which this VM put Version in force.
	Since   time.Time
	Content *Content
}

// Current provides the preset in force on this VM.
type Current interface {
	// InForce returns the preset in force, or nil if this VM must not admit any call. It runs once for each call and
	// costs two atomic loads and one clock reading.
	InForce() *Effective
	// Reason returns the reason why InForce returns nil. It is empty if a preset is in force.
	Reason() Reason
}

// BootClock returns the time since the machine was booted, including the time during which it was suspended.
type BootClock func() time.Duration

// gate publishes the preset in force and the time until which it may be used without verification.
type gate struct {
	bootTime  BootClock
	effective atomic.Pointer[Effective]
	// usableUntil is the boot time in nanoseconds until which the published preset may be used.
	usableUntil atomic.Int64
}

// inForce implements Current.InForce.
func (g *gate) inForce() *Effective {
	e := g.effective.Load()
	if e == nil || int64(g.bootTime()) > g.usableUntil.Load() {
		return nil
	}
	return e
}
