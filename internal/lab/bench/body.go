package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// bodyTimeout is the timeout for the transfer of one body.
const bodyTimeout = 50 * time.Second

// MeasureBodies transfers bodies of size bytes through one entry VM, with each number of concurrent transfers in turn. It returns
// the peak resident memory of every entry VM and checks the content of the bodies.
func MeasureBodies(ctx context.Context, o Options, size int64, concurrent []int) ([]Body, error) {
	o.Cluster.Topology = cluster.Small()
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var results []Body
	for _, n := range concurrent {
		b, err := fetchBodies(c, size, n)
		if err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		for _, vm := range b.VMs {
			o.Progress("body: %d times %d bytes in %.1f s: %s had %.1f MiB, peak %.1f MiB\n",
				n, size, b.Seconds, vm.ID, float64(vm.Before)/(1<<20), float64(vm.Peak)/(1<<20))
		}
		results = append(results, b)
	}
	return results, nil
}

func fetchBodies(c *cluster.Cluster, size int64, n int) (Body, error) {
	b := Body{Bytes: size, Concurrent: n}
	vms := c.VMs()
	for _, vm := range vms {
		if err := vm.Process().ResetPeak(); err != nil {
			return b, err
		}
		resident, _, err := vm.Process().Memory()
		if err != nil {
			return b, err
		}
		b.VMs = append(b.VMs, VM{ID: vm.ID, Before: resident})
	}
	start := time.Now()
	if err := fetchConcurrently(vms[0].Entry.Address, size, n); err != nil {
		return b, err
	}
	b.Seconds = time.Since(start).Seconds()
	for i, vm := range vms {
		_, peak, err := vm.Process().Memory()
		if err != nil {
			return b, err
		}
		b.VMs[i].Peak = peak
	}
	return b, nil
}

func fetchConcurrently(address string, size int64, n int) error {
	stream := load.Stream{Name: "body", Class: priority.Bulk, Method: http.MethodGet, Path: fmt.Sprintf("/library/bytes/%d", size),
		Timeout: bodyTimeout}
	var group sync.WaitGroup
	failures := make([]error, n)
	for i := range n {
		group.Go(func() {
			if outcome, _, detail := load.Fetch(address, stream); outcome != load.Answered {
				failures[i] = errors.Wrapf(ErrBench, "transfer of a body ended with outcome %s: %s", outcome, detail)
			}
		})
	}
	group.Wait()
	return errors.Join(failures...)
}
