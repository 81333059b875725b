package server

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// unreliableList is a VM list that can be made unavailable.
type unreliableList struct{ down atomic.Bool }

func (l *unreliableList) Get(context.Context) ([]vmlist.VM, bool, error) {
	if l.down.Load() {
		return nil, false, vmlist.ErrUnavailable
	}
	return []vmlist.VM{{ID: "b", Role: vmlist.RoleEntry, State: vmlist.StateLeaving}}, true, nil
}

// Guards against a lease that is extended with the votes of too few VMs: a leaving VM is left out, or the VM list
// is stale.
var _ = It("requires the votes of all listed VMs and members to extend a lease, and a recent list", func() {
	manual, list := clock.NewManual(time.Unix(5000, 0)), &unreliableList{}
	members := membership.NewService(membership.Options{Self: membership.Member{ID: "a", Incarnation: 1}, Clock: manual, List: list})
	f := &fleet{members: members, clock: manual}
	_, known := f.leaseVoters()
	Expect(known).To(BeFalse())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); members.Run(ctx) }()
	DeferCleanup(func() { cancel(); <-stopped })
	voters := func() []string { vms, _ := f.leaseVoters(); return vms }
	Eventually(voters, "5s").Should(ConsistOf("a", "b"))
	list.down.Store(true)
	manual.Advance(maxListAge + time.Second)
	_, known = f.leaseVoters()
	Expect(known).To(BeFalse())
})
