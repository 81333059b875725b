// Package burn measures how fast services use up the errors that their objectives allow. A burn rate of 1 uses them up
// exactly within the objective's window.
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

// Key names what an objective applies to.
type Key struct {
	Service string
	Class   priority.Class
}

// Objective says which share of calls must be answered without error within a latency.
type Objective struct {
	// Latency is the longest time of a good call.
	Latency time.Duration
	// Target is the share of good calls, above 0 and below 1, such as 0.999.
	Target float64
	// Window is the time over which Target holds; at least 6 h, the longest time that is measured.
	Window time.Duration
}

func (o Objective) check() error {
	if o.Latency <= 0 || !(o.Target > 0 && o.Target < 1) || o.Window < windows[len(windows)-1] {
		return errors.Wrapf(ErrObjective, "latency %v, target %v, window %v", o.Latency, o.Target, o.Window)
	}
	return nil
}

// burn is the burn rate: the bad share over the share that the objective allows.
func (o Objective) burn(c Count) float64 { return c.badShare() / (1 - o.Target) }

type classes [priority.NumClasses]*series

// Tracker counts calls against objectives. It is safe for concurrent use.
type Tracker struct {
	clock   clock.Clock
	start   time.Time
	set     *metrics.Set
	mu      sync.Mutex // held by SetObjectives
	current atomic.Pointer[map[string]*classes]
}

// NewTracker returns a tracker without objectives. Metrics go to set, or to the default set if it is nil.
func NewTracker(c clock.Clock, set *metrics.Set) *Tracker {
	if set == nil {
		set = metrics.GetDefaultSet()
	}
	t := &Tracker{clock: c, start: c.Now(), set: set}
	t.current.Store(&map[string]*classes{})
	return t
}

// SetObjectives replaces all objectives. Counters of unchanged objectives are kept; a changed objective starts anew,
// because earlier calls were judged by the old one. Error: ErrObjective, nothing is changed then.
func (t *Tracker) SetObjectives(objectives map[Key]Objective) error {
	for k, o := range objectives {
		if err := o.check(); err != nil {
			return errors.Wrapf(err, "service %q, class %s", k.Service, k.Class)
		}
		if k.Class >= priority.NumClasses {
			return errors.Wrapf(ErrObjective, "service %q: class %d", k.Service, k.Class)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.current.Load()
	next := map[string]*classes{}
	for k, o := range objectives {
		if next[k.Service] == nil {
			next[k.Service] = &classes{}
		}
		next[k.Service][k.Class] = t.keepOrNew(old, k, o)
	}
	t.current.Store(&next)
	t.unregister(old, next)
	return nil
}

func (t *Tracker) keepOrNew(old map[string]*classes, k Key, o Objective) *series {
	if c := old[k.Service]; c != nil && c[k.Class] != nil && c[k.Class].objective == o {
		return c[k.Class]
	}
	s := &series{objective: o, current: t.bucket(),
		calls:    t.set.GetOrCreateCounter(metricName("hornbeamway_objective_calls_total", k, "")),
		badCalls: t.set.GetOrCreateCounter(metricName("hornbeamway_objective_bad_calls_total", k, ""))}
	for i, w := range windowNames {
		name := metricName("hornbeamway_burn_rate", k, w)
		t.set.UnregisterMetric(name)
		t.set.NewGauge(name, func() float64 { return s.burnRate(t.bucket(), i) })
	}
	return s
}

// unregister removes the gauges of objectives that are gone.
func (t *Tracker) unregister(old, next map[string]*classes) {
	for service, cs := range old {
		for i, s := range cs {
			if s == nil || next[service] != nil && next[service][i] != nil {
				continue
			}
			for _, w := range windowNames {
				t.set.UnregisterMetric(metricName("hornbeamway_burn_rate", Key{service, priority.Class(i)}, w))
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

func (t *Tracker) bucket() int64 { return int64(t.clock.Now().Sub(t.start) / bucketLength) }

// Observe counts one call. ok is false for an error answer. Calls without an objective are ignored. It allocates nothing.
func (t *Tracker) Observe(service string, class priority.Class, latency time.Duration, ok bool) {
	cs := (*t.current.Load())[service]
	if cs == nil || class >= priority.NumClasses || cs[class] == nil {
		return
	}
	s := cs[class]
	s.observe(t.bucket(), !ok || latency > s.objective.Latency)
}

// Report returns the burn rates of all objectives, sorted by service and class.
func (t *Tracker) Report() Report {
	current, number := *t.current.Load(), t.bucket()
	r := Report{At: t.clock.Now(), Rows: []Row{}}
	for _, service := range slices.SortedFunc(maps.Keys(current), strings.Compare) {
		for i, s := range current[service] {
			if s != nil {
				r.Rows = append(r.Rows, s.row(service, priority.Class(i), number))
			}
		}
	}
	return r
}
