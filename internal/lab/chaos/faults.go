package chaos

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// maxFaultyVMs is the maximum number of entry VMs that are killed, paused or being replaced at the same time.
const maxFaultyVMs = 3

// plannedStop is a graceful stop of an entry VM with the times of its start and end.
type plannedStop struct {
	vm         string
	start, end time.Time
}

// injectFaults injects the faults of the schedule and waits until all of them have ended.
func (h *harness) injectFaults(ctx context.Context, schedule []fault) {
	start := time.Now()
	var group sync.WaitGroup
	for _, f := range schedule {
		pause.Sleep(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { h.inject(ctx, f) })
	}
	group.Wait()
}

// inject injects one fault and ends it after its duration.
func (h *harness) inject(ctx context.Context, f fault) {
	ctx, cancel := context.WithTimeout(ctx, f.Duration+actionTimeout)
	defer cancel()
	var err error
	family, name, _ := strings.Cut(f.Name, ".")
	switch family {
	case "vm":
		err = h.vmFault(ctx, f, name)
	case "log":
		err = h.logFault(ctx, f, name)
	case "list":
		err = h.listFault(ctx, f, name)
	case "server":
		err = h.serverFault(ctx, f, name)
	}
	if err != nil {
		h.addEvent("%s failed: %v", f.Name, err)
	}
}

// acquireVM selects a running VM without an active fault and marks it as faulty. It returns nil if there is none or if
// maxFaultyVMs VMs have an active fault.
func (h *harness) acquireVM(f fault) *cluster.VM {
	vms := h.cluster.VMs()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.faultyVMs) >= maxFaultyVMs {
		return nil
	}
	for i := range vms {
		vm := vms[(int(f.Target)+i)%len(vms)]
		if !h.faultyVMs[vm.ID] && vm.Running() {
			h.faultyVMs[vm.ID] = true
			return vm
		}
	}
	return nil
}

func (h *harness) releaseVM(vm *cluster.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.faultyVMs, vm.ID)
}

func (h *harness) vmFault(ctx context.Context, f fault, name string) error {
	vm := h.acquireVM(f)
	if vm == nil {
		return nil
	}
	defer h.releaseVM(vm)
	h.addEvent("%s %s for %v", f.Name, vm.ID, f.Duration.Round(time.Millisecond))
	switch name {
	case "kill":
		vm.Kill()
		pause.Sleep(ctx, f.Duration)
		return vm.Restart(ctx)
	case "pause":
		if err := vm.Process().Pause(); err != nil {
			return err
		}
		pause.Sleep(ctx, f.Duration)
		err := vm.Process().Resume()
		h.addEvent("%s was resumed", vm.ID)
		return err
	case "replace":
		return h.replaceVM(ctx, vm)
	default:
		replacement, err := h.cluster.Replace(ctx, vm.ID, false)
		if replacement != nil {
			h.addEvent("%s was replaced by %s", vm.ID, replacement.ID)
		}
		return err
	}
}

// replaceVM stops a VM gracefully, starts another one and checks that the first exited with code 0.
func (h *harness) replaceVM(ctx context.Context, vm *cluster.VM) error {
	process, stop := vm.Process(), plannedStop{vm: vm.ID, start: time.Now()}
	replacement, err := h.cluster.Replace(ctx, vm.ID, true)
	stop.end = time.Now()
	h.mu.Lock()
	h.stops = append(h.stops, stop)
	h.mu.Unlock()
	if process.Running() {
		h.addViolation(violationStopFailed, "%s received the stop signal at %s and had not exited at %s",
			vm.ID, h.elapsed(stop.start), h.elapsed(stop.end))
	} else if exit := process.Wait(ctx); exit != nil && ctx.Err() == nil {
		h.addViolation(violationStopFailed, "%s received the stop signal at %s and did not exit with code 0: %v",
			vm.ID, h.elapsed(stop.start), exit)
	}
	if replacement != nil {
		h.addEvent("%s was replaced by %s", vm.ID, replacement.ID)
	}
	return err
}

// applyFor applies the fault settings on to a stand-in, and the settings off after the duration of the fault. If off is nil, it
// returns after applying on.
func (h *harness) applyFor(ctx context.Context, f fault, target string, s *cluster.Standin, on, off map[string]any) error {
	h.addEvent("%s %s for %v", f.Name, target, f.Duration.Round(time.Millisecond))
	if err := s.SetFaults(on); err != nil {
		return err
	}
	if off == nil {
		return nil
	}
	pause.Sleep(ctx, f.Duration)
	h.addEvent("%s %s ends", f.Name, target)
	return s.SetFaults(off)
}

func (h *harness) logFault(ctx context.Context, f fault, name string) error {
	switch name {
	case "down":
		return h.applyFor(ctx, f, "", h.cluster.LogService, faultSetting("down", true), faultSetting("down", false))
	case "unreachable":
		return h.applyFor(ctx, f, "", h.cluster.LogService, faultSetting("unreachable", true), faultSetting("unreachable", false))
	case "slow":
		return h.applyFor(ctx, f, "", h.cluster.LogService, faultSetting("delayMs", 100+f.Target*2), faultSetting("delayMs", 0))
	case "lost":
		return h.applyFor(ctx, f, "", h.cluster.LogService, faultSetting("lostAnswerProbability", 0.4),
			faultSetting("lostAnswerProbability", 0))
	default:
		return h.expireRecords(ctx, f)
	}
}

func faultSetting(name string, value any) map[string]any { return map[string]any{name: value} }

// expiryStep is the unit of the number of records that an expiry keeps: 0 to 4 times expiryStep. Four times expiryStep
// correspond to the lease renewals of about 30 s, so that most expiries drop only records that the VMs have already read, as the
// log service does.
const expiryStep = 30

// expireRecords drops the older records of a stream, and in some cases all of them.
func (h *harness) expireRecords(ctx context.Context, f fault) error {
	stream := "operations"
	if f.Target%2 == 0 {
		stream = "config"
	}
	next, err := h.cluster.NextOffset(stream)
	if err != nil {
		return err
	}
	before := next - int64(f.Target%5)*expiryStep
	return h.applyFor(ctx, f, stream, h.cluster.LogService,
		faultSetting("expire", map[string]any{"stream": stream, "before": before}), nil)
}

func (h *harness) listFault(ctx context.Context, f fault, name string) error {
	switch name {
	case "lag":
		return h.applyFor(ctx, f, "", h.cluster.VMList, faultSetting("lagMs", 2000+5*f.Target), faultSetting("lagMs", 0))
	case "frozen":
		return h.applyFor(ctx, f, "", h.cluster.VMList, faultSetting("frozen", true), faultSetting("frozen", false))
	case "down":
		return h.applyFor(ctx, f, "", h.cluster.VMList, faultSetting("down", true), faultSetting("down", false))
	default:
		vms := h.cluster.VMs()
		hidden := []string{vms[int(f.Target)%len(vms)].ID}
		return h.applyFor(ctx, f, hidden[0], h.cluster.VMList, faultSetting("hidden", hidden), faultSetting("hidden", []string{}))
	}
}

func (h *harness) serverFault(ctx context.Context, f fault, name string) error {
	servers := h.cluster.Servers("")
	s := servers[int(f.Target)%len(servers)]
	switch name {
	case "slow":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("slow", 20), faultSetting("slow", 0))
	case "fail":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("failProbability", 0.7), faultSetting("failProbability", 0))
	case "refuse":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("refuseForMs", f.Duration.Milliseconds()), nil)
	case "stall":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("stall", true), faultSetting("stall", false))
	case "close":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("closeKeepAlive", true), faultSetting("closeKeepAlive", false))
	case "silence":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("silenceConnections", true), nil)
	case "drop":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("dropAnswers", 1+f.Target%10), nil)
	case "truncate":
		return h.applyFor(ctx, f, s.ID, &s.Standin, map[string]any{"truncate": true, "truncateBytes": f.Target * 40},
			faultSetting("truncate", false))
	case "shed":
		return h.applyFor(ctx, f, s.ID, &s.Standin, faultSetting("shed", true), faultSetting("shed", false))
	case "report":
		healthy := map[string]any{"slots": 3, "busy": 0, "queued": 0, "draining": false}
		return h.applyFor(ctx, f, s.ID, &s.Standin, map[string]any{"loadFixed": healthy, "slow": 10},
			map[string]any{"loadFixed": nil, "slow": 0})
	default:
		return h.drainServer(ctx, f, s)
	}
}

func (h *harness) drainServer(ctx context.Context, f fault, s *cluster.Server) error {
	h.addEvent("%s %s for %v", f.Name, s.ID, f.Duration.Round(time.Millisecond))
	if err := s.Drain(int64(f.Target)); err != nil {
		return err
	}
	pause.Sleep(ctx, f.Duration)
	return s.Undrain()
}

// clearFaults ends all faults of stand-ins that may still be active.
func (h *harness) clearFaults() {
	logError := func(err error) {
		if err != nil {
			h.addEvent("failed to end a fault: %v", err)
		}
	}
	logError(h.cluster.LogService.SetFaults(map[string]any{"down": false, "unreachable": false, "delayMs": 0,
		"lostAnswers": 0, "lostAnswerProbability": 0}))
	logError(h.cluster.VMList.SetFaults(map[string]any{"down": false, "frozen": false, "lagMs": 0,
		"wrong": []vmlist.VM{}, "hidden": []string{}}))
	for _, s := range h.cluster.Servers("") {
		logError(s.SetFaults(map[string]any{"slow": 0, "failProbability": 0, "stall": false, "dropAnswers": 0, "truncate": false,
			"closeKeepAlive": false, "shed": false, "drain": false, "loadFixed": nil, "refuseForMs": 0}))
	}
}
