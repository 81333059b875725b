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

// switchedList is a VM list that can fail.
type switchedList struct{ down atomic.Bool }

func (l *switchedList) Get(context.Context) ([]vmlist.VM, bool, error) {
	if l.down.Load() {
		return nil, false, vmlist.ErrUnavailable
	}
	return []vmlist.VM{{ID: "b", Role: vmlist.RoleEntry, State: vmlist.StateLeaving}}, true, nil
}

// Guards against a lease that is extended by too few VMs: a leaving one left out, or a list that is no longer read.
var _ = It("asks every listed VM and member to keep a lease, and none without a recent list", func() {
	manual, list := clock.NewManual(time.Unix(5000, 0)), &switchedList{}
	members := membership.NewService(membership.Options{Self: membership.Member{ID: "a", Incarnation: 1}, Clock: manual, List: list})
	f := &fleet{members: members, clock: manual}
	_, known := f.voters()
	Expect(known).To(BeFalse())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); members.Run(ctx) }()
	DeferCleanup(func() { cancel(); <-ended })
	voters := func() []string { vms, _ := f.voters(); return vms }
	Eventually(voters, "5s").Should(ConsistOf("a", "b"))
	list.down.Store(true)
	manual.Advance(maxListAge + time.Second)
	_, known = f.voters()
	Expect(known).To(BeFalse())
})
