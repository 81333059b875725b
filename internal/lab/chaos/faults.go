package chaos

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// maxVMsOut is the number of entry VMs that may be killed, paused or being replaced at the same time.
const maxVMsOut = 3

// plannedStop is a graceful stop of an entry VM.
type plannedStop struct {
	vm         string
	from, till time.Time
}

// faults plays the schedule and waits until all faults have ended.
func (r *run) faults(ctx context.Context, schedule []fault) {
	began := time.Now()
	var group sync.WaitGroup
	for _, f := range schedule {
		pause(ctx, time.Until(began.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { r.play(ctx, f) })
	}
	group.Wait()
}

// play makes one fault and ends it.
func (r *run) play(ctx context.Context, f fault) {
	ctx, cancel := context.WithTimeout(ctx, f.For+actionLimit)
	defer cancel()
	var err error
	family, name, _ := strings.Cut(f.Name, ".")
	switch family {
	case "vm":
		err = r.vmFault(ctx, f, name)
	case "log":
		err = r.logFault(ctx, f, name)
	case "list":
		err = r.listFault(ctx, f, name)
	case "server":
		err = r.serverFault(ctx, f, name)
	}
	if err != nil {
		r.note("%s: %v", f.Name, err)
	}
}

// claim chooses a running VM that has no fault; nil when enough VMs are out.
func (r *run) claim(f fault) *cluster.VM {
	vms := r.cluster.VMs()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.out) >= maxVMsOut {
		return nil
	}
	for i := range vms {
		vm := vms[(int(f.Target)+i)%len(vms)]
		if !r.out[vm.ID] && vm.Running() {
			r.out[vm.ID] = true
			return vm
		}
	}
	return nil
}

func (r *run) free(vm *cluster.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.out, vm.ID)
}

func (r *run) vmFault(ctx context.Context, f fault, name string) error {
	vm := r.claim(f)
	if vm == nil {
		return nil
	}
	defer r.free(vm)
	r.note("%s %s for %v", f.Name, vm.ID, f.For.Round(time.Millisecond))
	switch name {
	case "kill":
		vm.Kill()
		pause(ctx, f.For)
		return vm.Restart(ctx)
	case "pause":
		if err := vm.Process().Pause(); err != nil {
			return err
		}
		pause(ctx, f.For)
		err := vm.Process().Resume()
		r.note("%s resumed", vm.ID)
		return err
	case "replace":
		return r.replace(ctx, vm)
	default:
		fresh, err := r.cluster.Replace(ctx, vm.ID, false)
		if fresh != nil {
			r.note("%s replaced by %s", vm.ID, fresh.ID)
		}
		return err
	}
}

// replace stops a VM as planned and starts another one.
func (r *run) replace(ctx context.Context, vm *cluster.VM) error {
	process, stop := vm.Process(), plannedStop{vm: vm.ID, from: time.Now()}
	fresh, err := r.cluster.Replace(ctx, vm.ID, true)
	stop.till = time.Now()
	r.mu.Lock()
	r.stops = append(r.stops, stop)
	r.mu.Unlock()
	if process.Running() {
		r.breach(kindStop, "%s was asked to stop at %s and had not ended at %s", vm.ID, r.stamp(stop.from), r.stamp(stop.till))
	} else if exit := process.Wait(ctx); exit != nil && ctx.Err() == nil {
		r.breach(kindStop, "%s was asked to stop at %s and did not end with exit code 0: %v", vm.ID, r.stamp(stop.from), exit)
	}
	if fresh != nil {
		r.note("%s replaced by %s", vm.ID, fresh.ID)
	}
	return err
}

// switched sets faults of a stand-in, waits and sets them back.
func (r *run) switched(ctx context.Context, f fault, what string, s *cluster.Standin, on, off map[string]any) error {
	r.note("%s %s for %v", f.Name, what, f.For.Round(time.Millisecond))
	if err := s.SetFaults(on); err != nil {
		return err
	}
	if off == nil {
		return nil
	}
	pause(ctx, f.For)
	r.note("%s %s ends", f.Name, what)
	return s.SetFaults(off)
}

func (r *run) logFault(ctx context.Context, f fault, name string) error {
	switch name {
	case "down":
		return r.switched(ctx, f, "", r.cluster.Log, set("down", true), set("down", false))
	case "unreachable":
		return r.switched(ctx, f, "", r.cluster.Log, set("unreachable", true), set("unreachable", false))
	case "slow":
		return r.switched(ctx, f, "", r.cluster.Log, set("delayMs", 100+f.Target*2), set("delayMs", 0))
	case "lost":
		return r.switched(ctx, f, "", r.cluster.Log, set("lostAnswerProbability", 0.4), set("lostAnswerProbability", 0))
	default:
		return r.expire(ctx, f)
	}
}

func set(name string, value any) map[string]any { return map[string]any{name: value} }

// recordsKept is the number of records that an expiry leaves, times 0 to 4. Four times as many are the renewals of about
// 30 s, so that most expiries drop only what the VMs have read, as the log service does.
const recordsKept = 30

// expire drops the older records of a stream; sometimes all of them.
func (r *run) expire(ctx context.Context, f fault) error {
	stream := "operations"
	if f.Target%2 == 0 {
		stream = "config"
	}
	next, err := r.cluster.NextOffset(stream)
	if err != nil {
		return err
	}
	before := next - int64(f.Target%5)*recordsKept
	return r.switched(ctx, f, stream, r.cluster.Log, set("expire", map[string]any{"stream": stream, "before": before}), nil)
}

func (r *run) listFault(ctx context.Context, f fault, name string) error {
	switch name {
	case "lag":
		return r.switched(ctx, f, "", r.cluster.List, set("lagMs", 2000+5*f.Target), set("lagMs", 0))
	case "frozen":
		return r.switched(ctx, f, "", r.cluster.List, set("frozen", true), set("frozen", false))
	case "down":
		return r.switched(ctx, f, "", r.cluster.List, set("down", true), set("down", false))
	default:
		vms := r.cluster.VMs()
		hidden := []string{vms[int(f.Target)%len(vms)].ID}
		return r.switched(ctx, f, hidden[0], r.cluster.List, set("hidden", hidden), set("hidden", []string{}))
	}
}

func (r *run) serverFault(ctx context.Context, f fault, name string) error {
	servers := r.cluster.Servers("")
	s := servers[int(f.Target)%len(servers)]
	switch name {
	case "slow":
		return r.switched(ctx, f, s.ID, &s.Standin, set("slow", 20), set("slow", 0))
	case "fail":
		return r.switched(ctx, f, s.ID, &s.Standin, set("failProbability", 0.7), set("failProbability", 0))
	case "refuse":
		return r.switched(ctx, f, s.ID, &s.Standin, set("refuseForMs", f.For.Milliseconds()), nil)
	case "stall":
		return r.switched(ctx, f, s.ID, &s.Standin, set("stall", true), set("stall", false))
	case "close":
		return r.switched(ctx, f, s.ID, &s.Standin, set("closeKeepAlive", true), set("closeKeepAlive", false))
	case "silence":
		return r.switched(ctx, f, s.ID, &s.Standin, set("silenceConnections", true), nil)
	case "drop":
		return r.switched(ctx, f, s.ID, &s.Standin, set("dropAnswers", 1+f.Target%10), nil)
	case "truncate":
		return r.switched(ctx, f, s.ID, &s.Standin, map[string]any{"truncate": true, "truncateBytes": f.Target * 40}, set("truncate", false))
	case "shed":
		return r.switched(ctx, f, s.ID, &s.Standin, set("shed", true), set("shed", false))
	case "report":
		healthy := map[string]any{"slots": 3, "busy": 0, "queued": 0, "draining": false}
		return r.switched(ctx, f, s.ID, &s.Standin, map[string]any{"loadFixed": healthy, "slow": 10}, map[string]any{"loadFixed": nil, "slow": 0})
	default:
		return r.drain(ctx, f, s)
	}
}

func (r *run) drain(ctx context.Context, f fault, s *cluster.Server) error {
	r.note("%s %s for %v", f.Name, s.ID, f.For.Round(time.Millisecond))
	if err := s.Drain(int64(f.Target)); err != nil {
		return err
	}
	pause(ctx, f.For)
	return s.Undrain()
}

// calm ends all faults that may have been left on.
func (r *run) calm() {
	noted := func(err error) {
		if err != nil {
			r.note("end of faults: %v", err)
		}
	}
	noted(r.cluster.Log.SetFaults(map[string]any{"down": false, "unreachable": false, "delayMs": 0, "lostAnswers": 0, "lostAnswerProbability": 0}))
	noted(r.cluster.List.SetFaults(map[string]any{"down": false, "frozen": false, "lagMs": 0, "wrong": []vmlist.VM{}, "hidden": []string{}}))
	for _, s := range r.cluster.Servers("") {
		noted(s.SetFaults(map[string]any{"slow": 0, "failProbability": 0, "stall": false, "dropAnswers": 0, "truncate": false,
			"closeKeepAlive": false, "shed": false, "drain": false, "loadFixed": nil, "refuseForMs": 0}))
	}
}
