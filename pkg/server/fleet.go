package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// RPC methods between entry VMs that this package registers.
const (
	methodConfirm          = "preset.confirm"
	methodFetch            = "preset.fetch"
	methodHandover         = "operation.handover"
	methodRequestExtension = "operation.keep"
)

// maxListAge is the age up to which the VM list may determine the voters of a lease extension.
const maxListAge = 10 * time.Second

// ErrUnknownVM reports a VM whose peer address is neither among the members nor in the VM list.
var ErrUnknownVM = errors.New("peer address of the VM is not known")

// fleet gives packages preset and operation access to the entry VMs: their identities, states and RPC methods.
type fleet struct {
	members *membership.Service
	pool    *peer.Pool
	clock   clock.Clock
}

var (
	_ preset.Fleet = (*fleet)(nil)
	_ preset.Peers = (*fleet)(nil)

	_ operation.Peers = (*fleet)(nil)
)

// Self implements preset.Fleet.
func (f *fleet) Self() string { return f.members.Self().ID }

// Listed implements preset.Fleet.
func (f *fleet) Listed() (ids []string, known bool) {
	listed := f.members.ListedEntryVMs()
	return lo.Map(listed, func(v vmlist.VM, _ int) string { return v.ID }), len(listed) > 0
}

// Alive implements preset.Fleet.
func (f *fleet) Alive() []string {
	return lo.FilterMap(f.members.Members(), func(m membership.Member, _ int) (string, bool) {
		return m.ID, m.State == membership.Alive || m.State == membership.Leaving
	})
}

// leaseCandidates returns the entry VMs that may own key ranges: those that are alive and not leaving.
func (f *fleet) leaseCandidates() []operation.Candidate {
	return lo.FilterMap(f.members.Members(), func(m membership.Member, _ int) (operation.Candidate, bool) {
		return operation.Candidate{VM: m.ID, Region: m.Region}, m.State == membership.Alive
	})
}

// regionOf returns the region of a VM from the members or else from the VM list; empty for an unknown VM.
func (f *fleet) regionOf(id string) string {
	for _, m := range f.members.Members() {
		if m.ID == id {
			return m.Region
		}
	}
	for _, v := range f.members.ListedEntryVMs() {
		if v.ID == id {
			return v.Region
		}
	}
	return ""
}

// address returns the peer address of a VM from the members or else from the VM list. Error: ErrUnknownVM.
func (f *fleet) address(vm string) (string, error) {
	for _, m := range f.members.Members() {
		if m.ID == vm && m.Peer != "" {
			return m.Peer, nil
		}
	}
	for _, v := range f.members.ListedEntryVMs() {
		if v.ID == vm && v.Peer != "" {
			return v.Peer, nil
		}
	}
	return "", errors.Wrapf(ErrUnknownVM, "%s", vm)
}

// Confirm implements preset.Peers.
func (f *fleet) Confirm(ctx context.Context, vm string, r preset.ConfirmRequest) (preset.ConfirmResponse, error) {
	return callVM[preset.ConfirmResponse](ctx, f, vm, methodConfirm, r)
}

// Fetch implements preset.Peers.
func (f *fleet) Fetch(ctx context.Context, vm string) (preset.Snapshot, error) {
	return callVM[preset.Snapshot](ctx, f, vm, methodFetch, struct{}{})
}

// Handover implements operation.Peers.
func (f *fleet) Handover(ctx context.Context, vm string, chunk operation.Chunk) error {
	_, err := callVM[struct{}](ctx, f, vm, methodHandover, chunk)
	return err
}

// RequestExtension implements operation.Peers.
func (f *fleet) RequestExtension(ctx context.Context, vm string, r operation.ExtensionRequest) error {
	_, err := callVM[struct{}](ctx, f, vm, methodRequestExtension, r)
	return err
}

// leaseVoters returns the VMs that must all agree before a lease is extended without the log: all listed VMs and all members
// that are not dead. known is false without a VM list that is at most maxListAge old.
func (f *fleet) leaseVoters() (vms []string, known bool) {
	// The time is read before the list. If a newer list arrives in between, its age is overestimated.
	readAt := f.members.ListReadAt()
	vms, known = f.Listed()
	if !known || readAt.IsZero() || f.clock.Now().Sub(readAt) > maxListAge {
		return nil, false
	}
	for _, m := range f.members.Members() {
		if m.State != membership.Dead {
			vms = append(vms, m.ID)
		}
	}
	return vms, true
}

func callVM[Resp any](ctx context.Context, f *fleet, vm, method string, params any) (Resp, error) {
	address, err := f.address(vm)
	if err != nil {
		var zero Resp
		return zero, err
	}
	return peer.Call[Resp](ctx, f.pool, address, method, params)
}

// registerOperations registers the RPC methods that receive operation memory from other entry VMs in a handover, and their
// requests to extend a lease.
func registerOperations(server *peer.Server, ranges *operation.RangeManager) {
	peer.Handle(server, methodHandover, func(_ context.Context, chunk operation.Chunk) (struct{}, error) {
		return struct{}{}, ranges.ReceiveChunk(chunk)
	})
	peer.Handle(server, methodRequestExtension, func(_ context.Context, r operation.ExtensionRequest) (struct{}, error) {
		return struct{}{}, ranges.GrantExtension(r)
	})
}
