package operation_test

import (
	"flag"
	"fmt"
	"io"
	"testing"
	"time"

	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

func init() {
	testsupport.FixRapid("20261204", "25")
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// call is one attempt of a caller for which Begin returned Run.
type call struct {
	key      string
	vm       *vm
	entry    *operation.Entry
	deadline time.Time
	// written reports whether CheckBeforeWrite has passed, so that the backend server may run the operation at any time up
	// to the deadline; ran reports whether it has run it.
	written, ran bool
}

// model runs requests on a cluster and records the runs on the backend servers and the outcomes that callers received.
type model struct {
	*rapid.T
	*cluster
	calls []*call
	keys  []string
	ranAt map[string]time.Time
	stats map[string]int
}

func (m *model) now() time.Time { return m.clock.Now() }

// checkOutcome checks invariant 3 of docs/design.md for an outcome that a caller receives: not_run only if the key did not
// run within its memory window.
func (m *model) checkOutcome(key string, o problem.Outcome) {
	m.stats[string(o)]++
	if at, ok := m.ranAt[key]; ok && o == problem.NotRun && m.now().Sub(at) < operation.MemoryWindow {
		m.Fatalf("key %s: outcome not_run, but it ran %s ago", key, m.now().Sub(at))
	}
}

// request sends key through an entry VM to the owner that this VM locates.
func (m *model) request(key string, entryVM *vm) {
	owner, err := entryVM.Locate(key)
	if err != nil {
		m.checkOutcome(key, err.(*problem.Problem).Outcome)
		return
	}
	target := m.vms[owner.VM]
	if target == nil || target.paused || target.self.Incarnation != owner.Incarnation {
		m.checkOutcome(key, problem.Unknown)
		return
	}
	e, v := target.Begin(m.now(), key, 1, time.Time{})
	m.stats[fmt.Sprint("verdict ", v)]++
	if v == operation.Run {
		m.calls = append(m.calls, &call{key: key, vm: target, entry: e, deadline: e.Deadline()})
	} else if p := v.Problem(); p != nil {
		m.checkOutcome(key, p.Outcome)
	}
}

// advance executes the next step of a call and reports whether the call has ended.
func (m *model) advance(c *call) (ended bool) {
	alive := m.vms[c.vm.self.VM] == c.vm && !c.vm.paused
	switch {
	case !c.written && !alive:
		return m.vms[c.vm.self.VM] != c.vm
	case !c.written:
		if rapid.IntRange(0, 9).Draw(m.T, "refused") == 0 || c.vm.CheckBeforeWrite(c.entry) != nil {
			m.checkOutcome(c.key, c.vm.MarkNotRun(c.entry))
			return true
		}
		c.written = true
	case !c.ran && m.now().Before(c.deadline):
		if at, ok := m.ranAt[c.key]; ok && m.now().Sub(at) < operation.MemoryWindow {
			m.Fatalf("key %s runs on VM %s, but it already ran %s ago", c.key, c.vm.self.VM, m.now().Sub(at))
		}
		m.ranAt[c.key], c.ran = m.now(), true
		m.stats["run"]++
	case !alive:
		return m.vms[c.vm.self.VM] != c.vm
	case c.ran && rapid.Bool().Draw(m.T, "answered"):
		c.vm.Finish(c.entry, operation.Response{Status: 200})
		return true
	default:
		c.vm.MarkUnknown(c.entry)
		return true
	}
	return false
}

// drawVM draws a VM; the second result is nil if the VM has ended.
func (m *model) drawVM() (string, *vm) {
	id := rapid.SampledFrom(m.ids).Draw(m.T, "vm")
	return id, m.vms[id]
}

// runToCompletion sends a key through v and, if it may run, advances its call until the call has ended.
func (m *model) runToCompletion(v *vm) {
	if v == nil || v.paused {
		return
	}
	before := len(m.calls)
	m.request(rapid.SampledFrom(m.keys).Draw(m.T, "key"), v)
	for len(m.calls) > before && !m.advance(m.calls[before]) {
		continue
	}
	m.calls = m.calls[:before]
}

// actInHandover performs one random action related to planned moves. It has no long waits, because most handovers would
// complete during them without a concurrent action.
func (m *model) actInHandover() {
	id, v := m.drawVM()
	switch n := rapid.IntRange(0, 19).Draw(m.T, "action"); {
	case n < 8:
		m.runToCompletion(v)
	case n < 12:
		m.step(id)
	case n < 15:
		m.runSends(id)
	case n < 17:
		m.clock.Advance(time.Second)
	case n == 17:
		m.loseHandover = 1
	case n == 18 && v != nil:
		startDrain(v)
	case n == 19 && v != nil && rapid.Bool().Draw(m.T, "replace"):
		m.start(id)
	}
}

// act performs one random action. Requests and the progress of calls are the most frequent.
func (m *model) act() {
	id, v := m.drawVM()
	switch n := rapid.IntRange(0, 29).Draw(m.T, "action"); {
	case n < 4:
		if v != nil && !v.paused {
			m.request(rapid.SampledFrom(m.keys).Draw(m.T, "key"), v)
		}
	case n < 8:
		m.runToCompletion(v)
	case n < 16 && len(m.calls) > 0:
		i := rapid.IntRange(0, len(m.calls)-1).Draw(m.T, "call")
		if m.advance(m.calls[i]) {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
		}
	case n < 19:
		m.run(time.Duration(rapid.IntRange(1, 5).Draw(m.T, "seconds")) * time.Second)
	case n == 19:
		m.run(time.Duration(rapid.IntRange(5, 400).Draw(m.T, "seconds")) * time.Second)
	case n == 20:
		m.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(m.T, "seconds")) * time.Second)
	case n == 21:
		m.step(id)
	case n == 22:
		m.runSends(id)
	case n == 23 && v != nil:
		v.paused = !v.paused
	case n == 24:
		m.start(id)
	case n == 25 && v != nil:
		v.log.down = !v.log.down
	case n == 26 && v != nil:
		v.log.loseResponses = 3
	case n == 27:
		m.loseHandover = 2
	case n == 28 && v != nil && !v.paused:
		startDrain(v)
	case n == 29:
		m.log.expire(rapid.IntRange(1, 100).Draw(m.T, "records"))
	}
}

// TestAtMostOnce guards against violations of invariants 3 and 4 of docs/design.md under arbitrary interleavings of pause, kill,
// log outage, lost append responses, expired records, takeover and handover: a key runs at most once within its memory window, and no caller
// receives the outcome not_run for a key that ran.
func TestAtMostOnce(t *testing.T) {
	checkInterleavings(t, []string{"e1", "e2", "e3", "e4"}, 150, (*model).act)
}

// TestAtMostOnceInHandover guards against violations of the same invariants during planned moves: a key that starts between the
// export of its range and the release would be missing on the successor.
func TestAtMostOnceInHandover(t *testing.T) {
	// These runs have no long waits and take a tenth of the time of the others, so ten times as many are made.
	checks := flag.Lookup("rapid.checks")
	normal := checks.Value.String()
	defer func() { _ = checks.Value.Set(normal) }()
	_ = checks.Value.Set(normal + "0")
	checkInterleavings(t, []string{"e1", "e2"}, 200, (*model).actInHandover)
}

// checkInterleavings runs random sequences of up to the given number of actions, at least 20, on a cluster of the VMs ids.
func checkInterleavings(t *testing.T, ids []string, actions int, act func(*model)) {
	stats := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{T: rt, cluster: newCluster(ids...), ranAt: map[string]time.Time{}, stats: stats}
		m.run(time.Duration(rapid.IntRange(1, 20).Draw(rt, "start")) * time.Second)
		for i := range 8 {
			m.keys = append(m.keys, fmt.Sprint("key", i))
		}
		for _, id := range m.ids[:2] {
			ticket, _ := m.vms[id].Issue()
			m.keys = append(m.keys, ticket)
		}
		for range rapid.IntRange(20, actions).Draw(rt, "actions") {
			act(m)
		}
	})
	t.Log("seen:", stats)
}
