package entryvm

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// exitMargin is the time before the end of the shutdown timeout at which the process exits, even with requests in flight.
	exitMargin = 400 * time.Millisecond
	// refusalMargin is the time before the end of the shutdown timeout from which new requests are refused, so that those
	// accepted before can finish.
	refusalMargin = 2800 * time.Millisecond
	// responseMargin is the time between the latest deadline of an accepted request and the exit, in which its response is written.
	responseMargin = 100 * time.Millisecond
	// healthCheckDetectionTime is the time within which the platform detects failing health checks.
	healthCheckDetectionTime = 3 * time.Second
	// deadlineLimitDelay is the time after the stop signal from which requests are refused whose deadline is not before the exit. It
	// is a little shorter than healthCheckDetectionTime, so that a request sent after that time is always checked.
	deadlineLimitDelay = healthCheckDetectionTime - 100*time.Millisecond
	// quietPeriod is the time without a new connection after which the process may exit: connections that wait in the queue of the
	// listener would be reset.
	quietPeriod = 150 * time.Millisecond
	// drainPollInterval is how often a draining VM checks whether all in-flight requests have finished.
	drainPollInterval = 20 * time.Millisecond
)

// drainable is the part of a gateway that a planned stop uses.
type drainable interface {
	Drain()
	Refuse()
	RefuseDeadlinesAfter(time.Time)
	InFlight() int64
	Connections() int
	QuietFor() time.Duration
}

// drain fails the health checks and waits until no request is in flight. After deadlineLimitDelay, when only open connections bring
// further requests, those whose deadline is not before the exit are refused: they could be cut off while a server runs them. All new
// requests are refused from refusalMargin before the end of the shutdown timeout, or after healthCheckDetectionTime once no connection
// is open and the gateway is idle. drain returns once new requests are refused and the gateway is idle, at the latest exitMargin
// before the end of the timeout.
func drain(g drainable, shutdownTimeout time.Duration) {
	started := time.Now()
	klog.InfoS("received stop signal; health checks now fail",
		"inFlight", g.InFlight(), "connections", g.Connections())
	g.Drain()
	exitAfter := shutdownTimeout - exitMargin
	for limited, refused := false, false; ; time.Sleep(drainPollInterval) {
		elapsed := time.Since(started)
		if !limited && elapsed >= deadlineLimitDelay {
			limited = true
			g.RefuseDeadlinesAfter(started.Add(exitAfter - responseMargin))
			klog.InfoS("refusing requests whose deadline is after the exit", "inFlight", g.InFlight(),
				"connections", g.Connections(), "exitIn", exitAfter-elapsed)
		}
		callersGone := elapsed >= healthCheckDetectionTime && g.Connections() == 0 && idle(g)
		if !refused && (callersGone || elapsed >= shutdownTimeout-refusalMargin) {
			refused = true
			g.Refuse()
			klog.InfoS("refusing new requests", "inFlight", g.InFlight(), "connections", g.Connections())
		}
		// The gateway is checked again after Refuse: a request that arrived before it is counted as in flight.
		if elapsed >= exitAfter || refused && idle(g) {
			return
		}
	}
}

// idle reports whether no request is in flight and no connection was accepted within quietPeriod.
func idle(g drainable) bool { return g.InFlight() == 0 && g.QuietFor() >= quietPeriod }
