package measure

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

const (
	// planningInterval is the time between two planning rounds. At 512 B per probe the VM's budget allows two probes per second.
	planningInterval = 100 * time.Millisecond
	// probeTimeout limits the duration of one probe.
	probeTimeout = time.Second
	// maxInFlight limits the number of probes in flight; in normal operation the VM's budget keeps it lower.
	maxInFlight = 8
)

// Prober sends one probe and returns the load that the server reports and the cost of the probe. It returns the cost also with
// an error.
type Prober interface {
	Probe(ctx context.Context, t Target) (Result, error)
}

// Runner probes servers until its context is cancelled.
type Runner struct {
	// Clock is the source of time.
	Clock clock.Clock
	// Prober sends the probes.
	Prober Prober
	// Targets returns the servers of the pools that this VM dispatches, with the times of their last responses.
	Targets func() []Target
	// Report is called with each usable result, on the goroutine of Run.
	Report func(Report)
}

type finishedProbe struct {
	id     string
	sent   time.Time
	result Result
	err    error
}

// Run sends probes until ctx is cancelled and then waits for the probes in flight.
func (r *Runner) Run(ctx context.Context) {
	planner := NewPlanner(r.Clock.Now())
	results := make(chan finishedProbe, maxInFlight)
	inFlight := 0
	tick := r.Clock.After(planningInterval)
	for {
		select {
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-results
			}
			return
		case probe := <-results:
			inFlight--
			now := r.Clock.Now()
			planner.Update(now, r.Targets())
			if report, ok := planner.Done(now, probe.sent, probe.id, probe.result, probe.err != nil); ok {
				r.Report(report)
			}
		case <-tick:
			tick = r.Clock.After(planningInterval)
			now := r.Clock.Now()
			planner.Update(now, r.Targets())
			for inFlight < maxInFlight {
				target, ok := planner.Next(now)
				if !ok {
					break
				}
				inFlight++
				go r.probe(ctx, target, now, results)
			}
		}
	}
}

func (r *Runner) probe(ctx context.Context, t Target, sent time.Time, results chan<- finishedProbe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result, err := r.Prober.Probe(ctx, t)
	results <- finishedProbe{id: t.ID, sent: sent, result: result, err: err}
}
