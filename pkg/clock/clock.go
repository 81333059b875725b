// Package clock abstracts time so that decisions can be tested on an injected clock.
package clock

import "time"

// Clock tells the time and fires timers.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
