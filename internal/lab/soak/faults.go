package soak

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

// fault is one kind of fault. inject returns when the fault has ended; faults may overlap.
type fault struct {
	name   string
	inject func(ctx context.Context, h *harness, draw int)
}

// victimRange separates the two uses of a draw: the draw modulo the number of candidates selects the victim, and the draw divided
// by victimRange selects the variant of the fault, so that the variant does not depend on the victim.
const victimRange = 256

// faults lists the faults that the soak test injects. draw is a random number that selects the victim and the variant.
var faults = []fault{
	{"vm.kill", func(ctx context.Context, h *harness, draw int) {
		v := h.vms[draw%len(h.vms)]
		if end, ok := h.acquireVM(v); ok {
			defer end()
			v.currentProcess().Kill()
			pause.Sleep(ctx, 200*time.Millisecond)
			h.restartVM(v)
		}
	}},
	{"vm.kill.half", func(ctx context.Context, h *harness, draw int) {
		for i, v := range h.vms {
			if i%2 != draw%2 {
				continue
			}
			if end, ok := h.acquireVM(v); ok {
				v.currentProcess().Kill()
				defer end()
				defer h.restartVM(v)
			}
		}
		pause.Sleep(ctx, time.Second)
	}},
	{"vm.pause", func(ctx context.Context, h *harness, draw int) {
		v := h.vms[draw%len(h.vms)]
		if end, ok := h.acquireVM(v); ok {
			defer end()
			_ = v.currentProcess().Pause()
			pause.Sleep(ctx, 2500*time.Millisecond)
			_ = v.currentProcess().Resume()
			v.release()
		}
	}},
	{"vm.stop", func(ctx context.Context, h *harness, draw int) { h.stopVM(ctx, h.vms[draw%len(h.vms)], nil) }},
	{"vm.stop.reload", func(ctx context.Context, h *harness, draw int) {
		h.stopVM(ctx, h.vms[draw%len(h.vms)], func(p *cluster.Process) { _, _ = p.Reload(), p.Terminate() })
	}},
	{"vm.stop.row", func(ctx context.Context, h *harness, draw int) {
		for i := range 3 {
			h.stopVM(ctx, h.vms[(draw+i)%len(h.vms)], nil)
		}
	}},
	{"vm.stop.kill", func(ctx context.Context, h *harness, draw int) {
		v := h.vms[draw%len(h.vms)]
		if end, ok := h.acquireVM(v); ok {
			defer end()
			// The process may already have exited when it is killed.
			_ = v.currentProcess().Terminate()
			pause.Sleep(ctx, time.Duration(draw/victimRange%4)*time.Second)
			v.currentProcess().Kill()
			h.restartVM(v)
		}
	}},
	{"vm.pause.stop", func(ctx context.Context, h *harness, draw int) {
		v := h.vms[draw%len(h.vms)]
		if end, ok := h.acquireVM(v); ok {
			defer end()
			p := v.currentProcess()
			_, _ = p.Pause(), p.Terminate()
			pause.Sleep(ctx, time.Second)
			_ = p.Resume()
			exitCtx, cancel := context.WithTimeout(ctx, stopSeconds*time.Second)
			defer cancel()
			if err := p.Wait(exitCtx); err != nil && ctx.Err() == nil {
				h.checker.addViolation("STOP: %s did not exit in time after a pause: %v; threads: %s", v.name, err, p.Dump())
				p.Kill()
			}
			h.restartVM(v)
		}
	}},
	{"vm.reload", func(_ context.Context, h *harness, draw int) {
		v := h.vms[draw%len(h.vms)]
		if err := h.writeSettings(v, draw/victimRange); err != nil {
			h.checker.addViolation("failed to write the settings of %s: %v", v.name, err)
		}
		if v.tryAcquire() {
			// A reload does not disturb the VM, so all guarantees still hold for it.
			_ = v.currentProcess().Reload()
			v.release()
		}
	}},
	{"vm.cut", func(ctx context.Context, h *harness, draw int) {
		v := h.vms[draw%len(h.vms)]
		h.cutFromStore(ctx, []*vm{v}, []mode{dropAll, dropResponses, refuse, delay, busy}[draw/victimRange%5], 3*time.Second)
	}},
	{"store.down", func(ctx context.Context, h *harness, _ int) {
		h.injectStoreFault(ctx, logservice.Faults{Down: true}, 3500*time.Millisecond)
	}},
	{"store.silent", func(ctx context.Context, h *harness, _ int) {
		h.injectStoreFault(ctx, logservice.Faults{Unreachable: true}, 3*time.Second)
	}},
	{"store.slow", func(ctx context.Context, h *harness, _ int) {
		h.injectStoreFault(ctx, logservice.Faults{DelayMillis: 250}, 3*time.Second)
	}},
	{"store.lost", func(ctx context.Context, h *harness, _ int) {
		h.injectStoreFault(ctx, logservice.Faults{LostAnswerProbability: 0.5, DelayMillis: 20}, 3*time.Second)
	}},
	{"store.drill", func(ctx context.Context, h *harness, draw int) { h.drill(ctx, draw) }},
	{"store.drill.burst", func(ctx context.Context, h *harness, draw int) { h.drillInBurst(ctx, draw) }},
	{"store.part", func(ctx context.Context, h *harness, draw int) { h.refuseTopic(ctx, draw) }},
	{"store.compact", func(_ context.Context, h *harness, _ int) {
		h.checker.beginDisturbance(allVMs)()
		h.store.Compact(topicServers)
		h.store.Compact(topicConfig)
	}},
	{"server.crash", func(_ context.Context, h *harness, draw int) {
		if s := h.reserveServer(draw); s != nil {
			h.replaceServer(s)
		}
	}},
	{"server.misbehave", func(ctx context.Context, h *harness, draw int) {
		s := h.pickServer(draw)
		if s == nil {
			return
		}
		s.SetFaults([]platformserver.Faults{{Slowdown: 5}, {DropResponse: 0.3}, {TruncateResponse: 0.3}, {DuplicateResponse: 0.3},
			{Unsigned: 0.3}, {Failed: 0.5}, {RefuseBeforeBody: 0.5}, {Hang: true}, {Refuse: 0.3, DuplicateRefusal: 0.5},
			{TruncateHead: 0.3, MalformedHead: 0.3}}[draw/victimRange%10])
		pause.Sleep(ctx, 3*time.Second)
		s.SetFaults(platformserver.Faults{})
	}},
	{"server.link", func(ctx context.Context, h *harness, draw int) {
		s := h.pickServer(draw)
		if s == nil {
			return
		}
		defer h.checker.beginDisturbance(s.ID)()
		s.proxy.setMode([]mode{dropAll, dropResponses, delay, forward}[draw/victimRange%4])
		pause.Sleep(ctx, 2*time.Second)
		s.proxy.setMode(forward)
		s.proxy.reset()
	}},
	{"server.forget", func(ctx context.Context, h *harness, draw int) {
		// Drops idle connections without notice, several times.
		for i := range 4 {
			if s := h.pickServer(draw + i); s != nil {
				s.proxy.reset()
				h.checker.beginDisturbance(s.ID)()
			}
			pause.Sleep(ctx, 300*time.Millisecond)
		}
	}},
	{"server.flap", func(ctx context.Context, h *harness, draw int) {
		s := h.pickServer(draw)
		if s == nil {
			return
		}
		defer h.checker.beginDisturbance(s.ID)()
		for range 3 {
			s.proxy.setMode(refuse)
			s.proxy.reset()
			pause.Sleep(ctx, 500*time.Millisecond)
			s.proxy.setMode(forward)
			pause.Sleep(ctx, 500*time.Millisecond)
		}
	}},
	{"server.reuse", func(ctx context.Context, h *harness, draw int) { h.reuseAddress(ctx, draw) }},
	{"server.drain", func(ctx context.Context, h *harness, draw int) { h.drainServer(ctx, draw) }},
	{"server.leave", func(ctx context.Context, h *harness, draw int) { h.leaveServer(ctx, draw) }},
	{"server.holdoff", func(ctx context.Context, h *harness, draw int) { h.holdOffServers(ctx, draw) }},
	{"server.restart", func(ctx context.Context, h *harness, draw int) { h.restartServer(ctx, draw) }},
	{"config.change", func(_ context.Context, h *harness, draw int) {
		if release, ok := h.operator.reserve(); ok {
			defer release()
			h.operator.change(draw)
		}
	}},
	{"config.storm", func(ctx context.Context, h *harness, draw int) {
		if release, ok := h.operator.reserve(); ok {
			defer release()
			h.changeInBurst(ctx, draw, 5)
		}
	}},
	{"config.single", func(ctx context.Context, h *harness, draw int) {
		if release, ok := h.operator.reserve(); ok {
			defer release()
			h.operator.change(draw)
			pause.Sleep(ctx, changeInterval)
		}
	}},
	{"config.invalid", func(_ context.Context, h *harness, draw int) { h.operator.writeInvalid(draw) }},
}

// acquireVM reserves a running VM for one fault and records it as disturbed until end is called.
func (h *harness) acquireVM(v *vm) (end func(), ok bool) {
	if !v.tryAcquire() {
		return nil, false
	}
	return h.checker.beginDisturbance(v.name), true
}

// tryAcquire reserves the VM for one fault. It fails if the VM is reserved already or its process is not running.
func (v *vm) tryAcquire() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.acquired || v.process == nil || !v.process.Running() {
		return false
	}
	v.acquired = true
	return true
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acquired, v.stopping = false, false
}

func (h *harness) restartVM(v *vm) {
	defer h.checker.beginDisturbance(v.name)()
	v.release()
	h.checker.vmStarted(v.name)
	if err := v.start(h.binDir); err != nil {
		h.checker.addViolation("failed to restart %s: %v", v.name, err)
	}
}

// stopVM sends SIGTERM to a VM and checks that it exits within stopSeconds. afterSignal, if not nil, runs after the signal.
func (h *harness) stopVM(ctx context.Context, v *vm, afterSignal func(*cluster.Process)) {
	if !v.tryAcquire() {
		return
	}
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	p := v.currentProcess()
	if err := p.Terminate(); err != nil {
		h.checker.addViolation("failed to signal %s to stop: %v", v.name, err)
	}
	if afterSignal != nil {
		afterSignal(p)
	}
	exitCtx, cancel := context.WithTimeout(ctx, stopSeconds*time.Second)
	defer cancel()
	if err := p.Wait(exitCtx); err != nil && ctx.Err() == nil {
		h.checker.addViolation("STOP: %s did not exit in time: %v; threads: %s", v.name, err, p.Dump())
		p.Kill()
	}
	h.restartVM(v)
}

// cutFromStore disturbs the links between some VMs and the store for the time d.
func (h *harness) cutFromStore(ctx context.Context, vms []*vm, m mode, d time.Duration) {
	for _, v := range vms {
		defer h.checker.beginDisturbance(storeLink(v.name))()
		v.store.setMode(m)
	}
	pause.Sleep(ctx, d)
	for _, v := range vms {
		v.store.setMode(forward)
		v.store.reset()
	}
}
