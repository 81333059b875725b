package chaos

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// minMark is the lowest mark. A mark is a veto period that only one proposal uses: minMark plus a number of microseconds.
const minMark = 1500 * time.Millisecond

// maxProposalInterval is the maximum time between two steps of runOperators.
const maxProposalInterval = 5 * time.Second

// proposal is one proposal and whether it was vetoed. Its mark, the veto period of its content, is unique and thereby identifies
// the content on every VM on which it is in force.
type proposal struct {
	id     string
	object string
	base   int64
	mark   time.Duration
	vetoed bool
}

// proposalSet holds all proposals by mark. It is safe for concurrent use.
type proposalSet struct {
	mu     sync.Mutex
	byMark map[time.Duration]*proposal
}

// runOperators proposes changes until ctx ends: a single proposal, two proposals at the same time, or a proposal and its veto.
func (h *harness) runOperators(ctx context.Context) {
	random := h.newRandom(7)
	number := 0
	for ctx.Err() == nil {
		pause.Sleep(ctx, time.Duration(random.Int64N(int64(maxProposalInterval))))
		if ctx.Err() != nil {
			return
		}
		a, b := h.anyVM(random), h.anyVM(random)
		number++
		switch random.IntN(4) {
		case 0:
			h.proposeConcurrently(a, b, number)
		case 1:
			h.propose(a, number)
		default:
			if prop := h.propose(a, number); prop != nil {
				pause.Sleep(ctx, time.Duration(random.Int64N(int64(3*time.Second))))
				h.veto(h.anyVM(random), prop)
			}
		}
	}
}

func (h *harness) anyVM(random *rand.Rand) *cluster.VM {
	vms := h.cluster.VMs()
	return vms[random.IntN(len(vms))]
}

// proposeConcurrently lets two operators propose on the same base through two VMs.
func (h *harness) proposeConcurrently(a, b *cluster.VM, n int) {
	var group sync.WaitGroup
	group.Go(func() { h.propose(a, 2*n+100000) })
	group.Go(func() { h.propose(b, 2*n+100001) })
	group.Wait()
}

// propose proposes to change the veto period of the ordinary preset to one that is used only once. It returns nil if the API did
// not confirm the proposal.
func (h *harness) propose(vm *cluster.VM, n int) *proposal {
	prop := &proposal{object: preset.ObjectName("ordinary"), mark: minMark + time.Duration(n)*time.Microsecond}
	operator := vm.Operator()
	p, err := operator.Preset("ordinary")
	if err != nil || p.Content == nil {
		return nil
	}
	prop.base = p.Version
	p.Content.VetoPeriod = unit.Duration(prop.mark)
	content, err := json.Marshal(p.Content)
	if err != nil {
		h.addEvent("failed to encode a proposal: %v", err)
		return nil
	}
	h.proposals.mu.Lock()
	h.proposals.byMark[prop.mark] = prop
	h.proposals.mu.Unlock()
	response, err := operator.Propose(admin.ProposeRequest{Object: prop.object, Base: prop.base, Content: content})
	if err != nil {
		h.addEvent("proposal %d through %s on base %d failed: %v", n, vm.ID, prop.base, err)
		return nil
	}
	h.proposals.mu.Lock()
	prop.id = response.ID
	h.proposals.mu.Unlock()
	h.addEvent("proposal %d through %s on base %d: %s undecided %v", n, vm.ID, prop.base, response.ID, response.Undecided)
	return prop
}

// veto vetoes a proposal. The proposal counts as vetoed only if the API confirmed the veto.
func (h *harness) veto(vm *cluster.VM, prop *proposal) {
	err := vm.Customer().Veto(prop.id)
	h.addEvent("veto of %s through %s: %v", prop.id, vm.ID, err)
	if err != nil {
		return
	}
	h.proposals.mu.Lock()
	defer h.proposals.mu.Unlock()
	prop.vetoed = true
}
