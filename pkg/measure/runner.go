package measure

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

const (
	// planInterval is the time between two decisions. With 512 B a probe the VM's budget allows two probes a second.
	planInterval = 100 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxInFlight bounds the probes under way; the budget of the VM keeps the number lower in ordinary use.
	maxInFlight = 8
)

// Prober sends one probe and returns the server's statement and what the probe used, also on an error.
type Prober interface {
	Probe(ctx context.Context, t Target) (Result, error)
}

// Runner probes servers until its context ends.
type Runner struct {
	// Clock is the source of time.
	Clock clock.Clock
	// Prober does the sending.
	Prober Prober
	// Targets returns the servers of the pools that this VM dispatches, with the times of their last answers.
	Targets func() []Target
	// Report takes the usable results. It is called from the goroutine of Run.
	Report func(Report)
}

type finished struct {
	id     string
	sent   time.Time
	result Result
	err    error
}

// Run probes until ctx ends and then waits for the probes under way.
func (r *Runner) Run(ctx context.Context) {
	planner := NewPlanner(r.Clock.Now())
	done := make(chan finished, maxInFlight)
	inFlight := 0
	tick := r.Clock.After(planInterval)
	for {
		select {
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-done
			}
			return
		case f := <-done:
			inFlight--
			now := r.Clock.Now()
			planner.Update(now, r.Targets())
			if report, ok := planner.Done(now, f.sent, f.id, f.result, f.err != nil); ok {
				r.Report(report)
			}
		case <-tick:
			tick = r.Clock.After(planInterval)
			now := r.Clock.Now()
			planner.Update(now, r.Targets())
			for inFlight < maxInFlight {
				target, ok := planner.Next(now)
				if !ok {
					break
				}
				inFlight++
				go r.probe(ctx, target, now, done)
			}
		}
	}
}

func (r *Runner) probe(ctx context.Context, t Target, sent time.Time, done chan<- finished) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result, err := r.Prober.Probe(ctx, t)
	done <- finished{id: t.ID, sent: sent, result: result, err: err}
}
