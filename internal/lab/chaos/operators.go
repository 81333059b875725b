package chaos

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// markBase is the veto period of a marked preset, of which the microseconds are the mark.
const markBase = 1500 * time.Millisecond

// changeGap is the longest wait between two changes.
const changeGap = 5 * time.Second

// change is one proposal and what became known of it. The veto period of its content is unique, so that the content can be
// found wherever it is in force.
type change struct {
	id     string
	object string
	base   int64
	mark   time.Duration
	vetoed bool
}

// changes are all proposals, by mark. It is safe for concurrent use.
type changes struct {
	mu  sync.Mutex
	all map[time.Duration]*change
}

// operators makes changes until ctx ends: alone, in a race of two, vetoed and withdrawn.
func (r *run) operators(ctx context.Context) {
	random := r.random(7)
	next := 0
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int64N(int64(changeGap))))
		if ctx.Err() != nil {
			return
		}
		a, b := r.anyVM(random), r.anyVM(random)
		next++
		switch random.IntN(4) {
		case 0:
			r.race(a, b, next)
		case 1:
			r.propose(a, next)
		default:
			if c := r.propose(a, next); c != nil {
				pause(ctx, time.Duration(random.Int64N(int64(3*time.Second))))
				r.veto(r.anyVM(random), c)
			}
		}
	}
}

func (r *run) anyVM(random *rand.Rand) *cluster.VM {
	vms := r.cluster.VMs()
	return vms[random.IntN(len(vms))]
}

// race lets two operators propose on the same base through two VMs.
func (r *run) race(a, b *cluster.VM, n int) {
	var group sync.WaitGroup
	group.Go(func() { r.propose(a, 2*n+100000) })
	group.Go(func() { r.propose(b, 2*n+100001) })
	group.Wait()
}

// propose changes the veto period of the ordinary preset to one that is used once. It returns nil when nothing is known of
// an effect.
func (r *run) propose(vm *cluster.VM, n int) *change {
	c := &change{object: preset.ObjectOf("ordinary"), mark: markBase + time.Duration(n)*time.Microsecond}
	operator := vm.Operator()
	p, err := operator.Preset("ordinary")
	if err != nil || p.Content == nil {
		return nil
	}
	c.base = p.Version
	p.Content.VetoPeriod = unit.Duration(c.mark)
	content, err := json.Marshal(p.Content)
	if err != nil {
		r.note("propose: %v", err)
		return nil
	}
	r.changes.mu.Lock()
	r.changes.all[c.mark] = c
	r.changes.mu.Unlock()
	answer, err := operator.Propose(admin.ProposeRequest{Object: c.object, Base: c.base, Content: content})
	if err != nil {
		r.note("proposal %d over %s on base %d: %v", n, vm.ID, c.base, err)
		return nil
	}
	r.changes.mu.Lock()
	c.id = answer.ID
	r.changes.mu.Unlock()
	r.note("proposal %d over %s on base %d: %s undecided %v", n, vm.ID, c.base, answer.ID, answer.Undecided)
	return c
}

// veto refuses a proposal. Only a veto that the API confirmed counts.
func (r *run) veto(vm *cluster.VM, c *change) {
	err := vm.Customer().Veto(c.id)
	r.note("veto of %s over %s: %v", c.id, vm.ID, err)
	if err != nil {
		return
	}
	r.changes.mu.Lock()
	defer r.changes.mu.Unlock()
	c.vetoed = true
}
