package chaos

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
)

const (
	// monitorEvery is the time between two looks at the configuration of a VM.
	monitorEvery = 200 * time.Millisecond
	// inForceLimit is the time within which an accepted version is in force on every VM that admits calls.
	inForceLimit = 7 * time.Second
)

// sightings is what the VMs reported about the configuration. It is safe for concurrent use.
type sightings struct {
	mu sync.Mutex
	// first is when a version was first reported.
	first map[int64]time.Time
	// meaning is what a version, or a version of a preset, was reported to be.
	meaning map[string]string
	// marks is where and when the content of a change was reported.
	marks map[time.Duration]string
	// versions is the number of versions seen, highest the latest one.
	highest int64
}

func newSightings() *sightings {
	return &sightings{first: map[int64]time.Time{}, meaning: map[string]string{}, marks: map[time.Duration]string{}, highest: -1}
}

// monitor looks at the configuration of every VM until ctx ends.
func (r *run) monitor(ctx context.Context) {
	var group sync.WaitGroup
	watched := map[*cluster.VM]bool{}
	for ctx.Err() == nil {
		for _, vm := range r.cluster.VMs() {
			if !watched[vm] {
				watched[vm] = true
				group.Go(func() { r.monitorVM(ctx, vm) })
			}
		}
		pause(ctx, monitorEvery)
	}
	group.Wait()
}

// monitorVM looks at one VM until it was replaced.
func (r *run) monitorVM(ctx context.Context, vm *cluster.VM) {
	client := vm.Operator()
	var process *cluster.Process
	highest := int64(-1)
	for ctx.Err() == nil && r.cluster.VM(vm.ID) == vm {
		pause(ctx, monitorEvery)
		if p := vm.Process(); p != process {
			process, highest = p, -1
		}
		asked := time.Now()
		status, err := client.Status()
		if err != nil || vm.Process() != process {
			continue
		}
		if status.Version < highest {
			r.breach(kindRevert, "%s went from version %d to %d", vm.ID, highest, status.Version)
		}
		highest = max(highest, status.Version)
		r.sightVersion(vm.ID, asked, status)
		if p, err := client.Preset("ordinary"); err == nil && p.Content != nil {
			r.sightPreset(vm.ID, p)
		}
	}
}

// sightVersion checks one report: a version means the same everywhere, and a VM that admits calls is not behind.
func (r *run) sightVersion(vm string, asked time.Time, s admin.Status) {
	if s.Active == "" {
		return
	}
	seen := r.sightings
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if _, ok := seen.first[s.Version]; !ok {
		seen.first[s.Version] = time.Now()
	}
	if s.Version < seen.highest && s.Reason == "" && asked.After(seen.first[seen.highest].Add(inForceLimit)) {
		r.breach(kindStale, "%s admits calls with version %d at %s; version %d was in force at %s", vm, s.Version, r.stamp(asked), seen.highest, r.stamp(seen.first[seen.highest]))
	}
	seen.highest = max(seen.highest, s.Version)
	r.sightMeaning(vm, fmt.Sprintf("version %d", s.Version), fmt.Sprintf("%s@%d", s.Active, s.ActiveVersion))
}

// sightPreset notes which content a VM has in force.
func (r *run) sightPreset(vm string, p admin.Preset) {
	seen := r.sightings
	seen.mu.Lock()
	defer seen.mu.Unlock()
	mark := time.Duration(p.Content.VetoPeriod)
	if _, ok := seen.marks[mark]; !ok {
		seen.marks[mark] = fmt.Sprintf("%s on %s as version %d", r.stamp(time.Now()), vm, p.Version)
	}
	r.sightMeaning(vm, fmt.Sprintf("ordinary version %d", p.Version), mark.String())
}

// sightMeaning checks that a version means the same on every VM. mu is held.
func (r *run) sightMeaning(vm, what, means string) {
	if before, ok := r.sightings.meaning[what]; ok && before != means {
		r.breach(kindTwoPresets, "%s: %s is %s, elsewhere %s", vm, what, means, before)
	}
	r.sightings.meaning[what] = means
}
