// Package burn measures how fast services spend the error budgets of their service-level objectives. A burn rate of 1
// spends the budget exactly within the objective's window.
package burn

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// ErrObjective reports an objective that cannot be measured.
var ErrObjective = errors.New("invalid objective")

// Key identifies the service and class to which an objective applies.
type Key struct {
	Service string
	Class   priority.Class
}

// Objective defines the fraction of calls that must be answered without error within a latency.
type Objective struct {
	// Latency is the maximum latency of a good call.
	Latency time.Duration
	// Target is the required fraction of good calls, above 0 and below 1, such as 0.999.
	Target float64
	// Window is the period over which Target applies. It is at least 6 h, the longest period that is measured.
	Window time.Duration
}

func (o Objective) validate() error {
	if o.Latency <= 0 || !(o.Target > 0 && o.Target < 1) || o.Window < windows[len(windows)-1] {
		return errors.Wrapf(ErrObjective, "latency %v, target %v, window %v", o.Latency, o.Target, o.Window)
	}
	return nil
}

// burnRate returns the burn rate: the fraction of bad calls divided by the fraction that the objective allows.
func (o Objective) burnRate(c Count) float64 { return c.badFraction() / (1 - o.Target) }

type seriesByClass [priority.NumClasses]*series

// Tracker counts calls and bad calls per objective. It is safe for concurrent use.
type Tracker struct {
	clock           clock.Clock
	start           time.Time
	metricSet       *metrics.Set
	mu              sync.Mutex // held by SetObjectives
	seriesByService atomic.Pointer[map[string]*seriesByClass]
}

// NewTracker returns a tracker without objectives. It registers its metrics in set, or in the default set if set is nil.
func NewTracker(c clock.Clock, set *metrics.Set) *Tracker {
	if set == nil {
		set = metrics.GetDefaultSet()
	}
	t := &Tracker{clock: c, start: c.Now(), metricSet: set}
	t.seriesByService.Store(&map[string]*seriesByClass{})
	return t
}

// SetObjectives replaces all objectives. The counts of unchanged objectives are kept; those of a changed objective start at
// zero, because earlier calls were classified by the old one. Error: ErrObjective; then nothing is changed.
func (t *Tracker) SetObjectives(objectives map[Key]Objective) error {
	for k, o := range objectives {
		if err := o.validate(); err != nil {
			return errors.Wrapf(err, "service %q, class %s", k.Service, k.Class)
		}
		if k.Class >= priority.NumClasses {
			return errors.Wrapf(ErrObjective, "service %q: class %d", k.Service, k.Class)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.seriesByService.Load()
	next := map[string]*seriesByClass{}
	for k, o := range objectives {
		if next[k.Service] == nil {
			next[k.Service] = &seriesByClass{}
		}
		next[k.Service][k.Class] = t.reuseOrCreate(old, k, o)
	}
	t.seriesByService.Store(&next)
	t.unregisterRemoved(old, next)
	return nil
}

// reuseOrCreate returns the existing series of k if its objective is o, or else a new series with its metrics.
func (t *Tracker) reuseOrCreate(old map[string]*seriesByClass, k Key, o Objective) *series {
	if c := old[k.Service]; c != nil && c[k.Class] != nil && c[k.Class].objective == o {
		return c[k.Class]
	}
	s := &series{objective: o, newestBucket: t.bucketNumber(),
		calls:    t.metricSet.GetOrCreateCounter(metricName("hornbeamway_objective_calls_total", k, "")),
		badCalls: t.metricSet.GetOrCreateCounter(metricName("hornbeamway_objective_bad_calls_total", k, ""))}
	for i, w := range windowNames {
		name := metricName("hornbeamway_burn_rate", k, w)
		t.metricSet.UnregisterMetric(name)
		t.metricSet.NewGauge(name, func() float64 { return s.burnRate(t.bucketNumber(), i) })
	}
	return s
}

// unregisterRemoved unregisters the burn-rate gauges of objectives that are in old but not in next.
func (t *Tracker) unregisterRemoved(old, next map[string]*seriesByClass) {
	for service, byClass := range old {
		for i, s := range byClass {
			if s == nil || next[service] != nil && next[service][i] != nil {
				continue
			}
			for _, w := range windowNames {
				t.metricSet.UnregisterMetric(metricName("hornbeamway_burn_rate", Key{service, priority.Class(i)}, w))
			}
		}
	}
}

func metricName(name string, k Key, window string) string {
	if window == "" {
		return fmt.Sprintf("%s{service=%q,class=%q}", name, k.Service, k.Class.String())
	}
	return fmt.Sprintf("%s{service=%q,class=%q,window=%q}", name, k.Service, k.Class.String(), window)
}

// bucketNumber returns the number of the current bucket, counted from the tracker's start.
func (t *Tracker) bucketNumber() int64 { return int64(t.clock.Now().Sub(t.start) / bucketLength) }

// Observe counts one call. ok is false for an error response. Calls without an objective are ignored. Observe does not
// allocate.
func (t *Tracker) Observe(service string, class priority.Class, latency time.Duration, ok bool) {
	byClass := (*t.seriesByService.Load())[service]
	if byClass == nil || class >= priority.NumClasses || byClass[class] == nil {
		return
	}
	s := byClass[class]
	s.observeAt(t.bucketNumber(), !ok || latency > s.objective.Latency)
}

// Report returns the burn rates of all objectives, sorted by service and class.
func (t *Tracker) Report() Report {
	current, bucket := *t.seriesByService.Load(), t.bucketNumber()
	r := Report{At: t.clock.Now(), Rows: []Row{}}
	for _, service := range slices.SortedFunc(maps.Keys(current), strings.Compare) {
		for i, s := range current[service] {
			if s != nil {
				r.Rows = append(r.Rows, s.row(service, priority.Class(i), bucket))
			}
		}
	}
	return r
}
