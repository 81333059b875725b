package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
)

// WaitReady waits until every running entry VM is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, vm := range c.VMs() {
		if vm.Running() {
			group.Go(func() error { return vm.WaitReady(ctx) })
		}
	}
	return group.Wait()
}

// WaitMembers waits until every running entry VM reports every running entry VM as alive.
func (c *Cluster) WaitMembers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := lo.Filter(c.VMs(), func(vm *VM, _ int) bool { return vm.Running() })
	for _, vm := range running {
		group.Go(func() error {
			return Poll(ctx, func() error {
				members, err := vm.Operator().VMs()
				if err != nil {
					return err
				}
				for _, peer := range running {
					if !slices.ContainsFunc(members, func(m admin.VM) bool { return m.ID == peer.ID && m.State == "alive" }) {
						return errors.Newf("%s does not report %s as alive", vm.ID, peer.ID)
					}
				}
				return nil
			})
		})
	}
	return group.Wait()
}

// WaitForVersion waits until every running entry VM has the given or a later version of the configuration in force, and
// returns the time at which this was observed on the last VM.
func (c *Cluster) WaitForVersion(ctx context.Context, version int64) (time.Time, error) {
	group, ctx := errgroup.WithContext(ctx)
	for _, vm := range c.VMs() {
		if !vm.Running() {
			continue
		}
		group.Go(func() error {
			return Poll(ctx, func() error {
				status, err := vm.Operator().Status()
				if err == nil && status.Version < version {
					err = errors.Newf("%s still has configuration version %d", vm.ID, status.Version)
				}
				return err
			})
		})
	}
	err := group.Wait()
	return time.Now(), err
}

// waitFor waits until a GET request to url succeeds. It returns an error if the process or ctx ends first.
func waitFor(ctx context.Context, p *Process, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-p.Done():
			cancel(errors.Wrapf(ErrProcess, "%s has ended", p.Name))
		case <-ctx.Done():
		}
	}()
	err := Poll(ctx, func() error {
		_, err := sendRequest("GET", url, nil)
		return err
	})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return errors.Wrapf(cause, "%s: %v", p.Name, err)
	}
	return err
}
