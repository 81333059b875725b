package chaos

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
)

const (
	// monitorInterval is the time between two reads of the configuration of a VM.
	monitorInterval = 200 * time.Millisecond
	// inForceTimeout is the time after the first report of a version within which it must be in force on every VM that admits
	// calls.
	inForceTimeout = 7 * time.Second
)

// configReports collects the reports of the VMs on their configuration. It is safe for concurrent use.
type configReports struct {
	mu sync.Mutex
	// firstReported holds, by version, the time of its first report.
	firstReported map[int64]time.Time
	// contents holds the reported content of each version and of each version of a preset.
	contents map[string]string
	// markReports holds, by mark, when and by which VM the content of a proposal was first reported.
	markReports map[time.Duration]string
	// highest is the highest version reported so far.
	highest int64
}

func newConfigReports() *configReports {
	return &configReports{firstReported: map[int64]time.Time{}, contents: map[string]string{},
		markReports: map[time.Duration]string{}, highest: -1}
}

// monitor reads the configuration of every VM at intervals of monitorInterval until ctx ends.
func (h *harness) monitor(ctx context.Context) {
	var group sync.WaitGroup
	monitored := map[*cluster.VM]bool{}
	for ctx.Err() == nil {
		for _, vm := range h.cluster.VMs() {
			if !monitored[vm] {
				monitored[vm] = true
				group.Go(func() { h.monitorVM(ctx, vm) })
			}
		}
		pause.Sleep(ctx, monitorInterval)
	}
	group.Wait()
}

// monitorVM reads the configuration of one VM until the VM is replaced or ctx ends.
func (h *harness) monitorVM(ctx context.Context, vm *cluster.VM) {
	client := vm.Operator()
	var process *cluster.Process
	highest := int64(-1)
	for ctx.Err() == nil && h.cluster.VM(vm.ID) == vm {
		pause.Sleep(ctx, monitorInterval)
		if p := vm.Process(); p != process {
			process, highest = p, -1
		}
		readAt := time.Now()
		status, err := client.Status()
		if err != nil || vm.Process() != process {
			continue
		}
		if status.Version < highest {
			h.addViolation(violationVersionReverted, "%s changed back from version %d to %d", vm.ID, highest, status.Version)
		}
		highest = max(highest, status.Version)
		h.checkVersion(vm.ID, readAt, status)
		if p, err := client.Preset("ordinary"); err == nil && p.Content != nil {
			h.recordPreset(vm.ID, p)
		}
	}
}

// checkVersion checks one report: a version has the same content on every VM, and a VM that admits calls does not use an older
// version for longer than inForceTimeout.
func (h *harness) checkVersion(vm string, readAt time.Time, s admin.Status) {
	if s.Active == "" {
		return
	}
	reports := h.configReports
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if _, ok := reports.firstReported[s.Version]; !ok {
		reports.firstReported[s.Version] = time.Now()
	}
	if s.Version < reports.highest && s.Reason == "" && readAt.After(reports.firstReported[reports.highest].Add(inForceTimeout)) {
		h.addViolation(violationStaleVersion, "%s admits calls with version %d at %s; version %d was in force at %s",
			vm, s.Version, h.elapsed(readAt), reports.highest, h.elapsed(reports.firstReported[reports.highest]))
	}
	reports.highest = max(reports.highest, s.Version)
	h.checkContent(vm, fmt.Sprintf("version %d", s.Version), fmt.Sprintf("%s@%d", s.Active, s.ActiveVersion))
}

// recordPreset records the content of the ordinary preset that a VM has in force.
func (h *harness) recordPreset(vm string, p admin.Preset) {
	reports := h.configReports
	reports.mu.Lock()
	defer reports.mu.Unlock()
	mark := time.Duration(p.Content.VetoPeriod)
	if _, ok := reports.markReports[mark]; !ok {
		reports.markReports[mark] = fmt.Sprintf("%s on %s as version %d", h.elapsed(time.Now()), vm, p.Version)
	}
	h.checkContent(vm, fmt.Sprintf("ordinary version %d", p.Version), mark.String())
}

// checkContent checks that a version has the same content on every VM. mu must be held.
func (h *harness) checkContent(vm, version, content string) {
	if previous, ok := h.configReports.contents[version]; ok && previous != content {
		h.addViolation(violationVersionConflict, "%s: %s is %s, elsewhere %s", vm, version, content, previous)
	}
	h.configReports.contents[version] = content
}
