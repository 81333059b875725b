package soak

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

// fault is one disturbance. It plays to its end and returns; others may overlap.
type fault struct {
	name string
	play func(ctx context.Context, w *world, pick int)
}

// kinds divides the number that picks a victim, so that the kind of a fault does not depend on the victim.
const kinds = 256

// faults lists what the soak plays. pick is a random number that chooses the victim.
var faults = []fault{
	{"vm.kill", func(ctx context.Context, w *world, pick int) {
		v := w.vms[pick%len(w.vms)]
		if end, ok := w.claim(v); ok {
			defer end()
			v.current().Kill()
			pause(ctx, 200*time.Millisecond)
			w.restart(v)
		}
	}},
	{"vm.kill.half", func(ctx context.Context, w *world, pick int) {
		for i, v := range w.vms {
			if i%2 != pick%2 {
				continue
			}
			if end, ok := w.claim(v); ok {
				v.current().Kill()
				defer end()
				defer w.restart(v)
			}
		}
		pause(ctx, time.Second)
	}},
	{"vm.pause", func(ctx context.Context, w *world, pick int) {
		v := w.vms[pick%len(w.vms)]
		if end, ok := w.claim(v); ok {
			defer end()
			_ = v.current().Pause()
			pause(ctx, 2500*time.Millisecond)
			_ = v.current().Resume()
			v.release()
		}
	}},
	{"vm.stop", func(ctx context.Context, w *world, pick int) { w.stop(ctx, w.vms[pick%len(w.vms)], nil) }},
	{"vm.stop.reload", func(ctx context.Context, w *world, pick int) {
		w.stop(ctx, w.vms[pick%len(w.vms)], func(p *cluster.Process) { _, _ = p.Reload(), p.Terminate() })
	}},
	{"vm.stop.row", func(ctx context.Context, w *world, pick int) {
		for i := range 3 {
			w.stop(ctx, w.vms[(pick+i)%len(w.vms)], nil)
		}
	}},
	{"vm.stop.kill", func(ctx context.Context, w *world, pick int) {
		v := w.vms[pick%len(w.vms)]
		if end, ok := w.claim(v); ok {
			defer end()
			// The process may have ended by itself when it is killed.
			_ = v.current().Terminate()
			pause(ctx, time.Duration(pick/kinds%4)*time.Second)
			v.current().Kill()
			w.restart(v)
		}
	}},
	{"vm.pause.stop", func(ctx context.Context, w *world, pick int) {
		v := w.vms[pick%len(w.vms)]
		if end, ok := w.claim(v); ok {
			defer end()
			p := v.current()
			_, _ = p.Pause(), p.Terminate()
			pause(ctx, time.Second)
			_ = p.Resume()
			limit, cancel := context.WithTimeout(ctx, stopSeconds*time.Second)
			defer cancel()
			if err := p.Wait(limit); err != nil && ctx.Err() == nil {
				w.judge.fail("STOP: %s after a pause: %v", v.name, err)
				p.Kill()
			}
			w.restart(v)
		}
	}},
	{"vm.reload", func(_ context.Context, w *world, pick int) {
		v := w.vms[pick%len(w.vms)]
		if err := w.writeSettings(v, pick/kinds); err != nil {
			w.judge.fail("settings of %s: %v", v.name, err)
		}
		if v.claim() {
			// A reload disturbs nothing, so the VM stays bound by every promise.
			_ = v.current().Reload()
			v.release()
		}
	}},
	{"vm.cut", func(ctx context.Context, w *world, pick int) {
		v := w.vms[pick%len(w.vms)]
		defer w.judge.disturb(v.name)()
		p := v.store
		p.set([]mode{silence, oneWay, refuse, delay, busy}[pick/kinds%5])
		pause(ctx, 3*time.Second)
		p.set(pass)
		p.reset()
	}},
	{"store.down", func(ctx context.Context, w *world, _ int) {
		w.storeFault(ctx, logservice.Faults{Down: true}, 3500*time.Millisecond)
	}},
	{"store.silent", func(ctx context.Context, w *world, _ int) {
		w.storeFault(ctx, logservice.Faults{Unreachable: true}, 3*time.Second)
	}},
	{"store.slow", func(ctx context.Context, w *world, _ int) {
		w.storeFault(ctx, logservice.Faults{DelayMillis: 250}, 3*time.Second)
	}},
	{"store.lost", func(ctx context.Context, w *world, _ int) {
		w.storeFault(ctx, logservice.Faults{LostAnswerProbability: 0.5, DelayMillis: 20}, 3*time.Second)
	}},
	{"store.compact", func(_ context.Context, w *world, _ int) {
		w.judge.disturb(everyVM)()
		w.store.Compact(topicServers)
		w.store.Compact(topicConfig)
	}},
	{"server.crash", func(_ context.Context, w *world, pick int) {
		if s := w.pickServer(pick); s != nil {
			w.endServer(s, false)
		}
	}},
	{"server.misbehave", func(ctx context.Context, w *world, pick int) {
		s := w.pickServer(pick)
		if s == nil {
			return
		}
		s.SetFaults([]platformserver.Faults{{Slowness: 5}, {Lost: 0.3}, {Cut: 0.3}, {Twice: 0.3}, {Unsigned: 0.3}, {Failed: 0.5}, {Early: 0.5}, {Hang: true}}[pick/kinds%8])
		pause(ctx, 3*time.Second)
		s.SetFaults(platformserver.Faults{})
	}},
	{"server.link", func(ctx context.Context, w *world, pick int) {
		s := w.pickServer(pick)
		if s == nil {
			return
		}
		s.proxy.set([]mode{silence, oneWay, delay, pass}[pick/kinds%4])
		pause(ctx, 2*time.Second)
		s.proxy.set(pass)
		s.proxy.reset()
	}},
	{"server.forget", func(ctx context.Context, w *world, pick int) {
		// Idle connections go without notice, several times.
		for i := range 4 {
			if s := w.pickServer(pick + i); s != nil {
				s.proxy.reset()
			}
			pause(ctx, 300*time.Millisecond)
		}
	}},
	{"server.flap", func(ctx context.Context, w *world, pick int) {
		s := w.pickServer(pick)
		if s == nil {
			return
		}
		for range 3 {
			s.proxy.set(refuse)
			s.proxy.reset()
			pause(ctx, 500*time.Millisecond)
			s.proxy.set(pass)
			pause(ctx, 500*time.Millisecond)
		}
	}},
	{"server.reuse", func(ctx context.Context, w *world, pick int) { w.reuseAddress(ctx, pick) }},
	{"server.drain", func(ctx context.Context, w *world, pick int) { w.drain(ctx, pick) }},
	{"config.change", func(_ context.Context, w *world, pick int) {
		w.mu.Lock()
		i := pick % len(routes)
		w.routed[i] = 1 - w.routed[i]
		w.mu.Unlock()
		w.publishConfig()
	}},
	{"config.storm", func(ctx context.Context, w *world, pick int) {
		for i := range 5 {
			w.mu.Lock()
			route := (pick + i) % len(routes)
			w.routed[route] = 1 - w.routed[route]
			w.mu.Unlock()
			w.publishConfig()
			pause(ctx, 200*time.Millisecond)
		}
	}},
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// claim takes a running VM for a fault that disturbs it until end is called.
func (w *world) claim(v *vm) (end func(), ok bool) {
	if !v.claim() {
		return nil, false
	}
	return w.judge.disturb(v.name), true
}

// claim takes a running VM for one fault.
func (v *vm) claim() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.claimed || v.process == nil || !v.process.Running() {
		return false
	}
	v.claimed = true
	return true
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.claimed, v.stopping = false, false
}

func (w *world) restart(v *vm) {
	defer w.judge.disturb(v.name)()
	v.release()
	if err := v.start(w.bin); err != nil {
		w.judge.fail("start %s again: %v", v.name, err)
	}
}

// stop asks a VM to stop, and checks that it does in time. also, if any, follows the signal.
func (w *world) stop(ctx context.Context, v *vm, also func(*cluster.Process)) {
	if !v.claim() {
		return
	}
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	p := v.current()
	if err := p.Terminate(); err != nil {
		w.judge.fail("stop %s: %v", v.name, err)
	}
	if also != nil {
		also(p)
	}
	limit, cancel := context.WithTimeout(ctx, stopSeconds*time.Second)
	defer cancel()
	if err := p.Wait(limit); err != nil && ctx.Err() == nil {
		w.judge.fail("STOP: %s: %v", v.name, err)
		p.Kill()
	}
	w.restart(v)
}

func (w *world) storeFault(ctx context.Context, f logservice.Faults, d time.Duration) {
	defer w.judge.disturb(everyVM)()
	if w.store.SetFaults(f) == nil {
		pause(ctx, d)
		// The zero value is valid.
		_ = w.store.SetFaults(logservice.Faults{})
	}
}

// pickServer returns a ready server of a service that has three or more.
func (w *world) pickServer(pick int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, s := range w.servers {
		if s.state == "ready" && !s.silent {
			count[s.Service]++
		}
	}
	for i := range w.nextID {
		s := w.servers[serverID(1+(pick+i)%w.nextID)]
		if s != nil && s.state == "ready" && !s.silent && count[s.Service] > 2 {
			return s
		}
	}
	return nil
}

// endServer ends a server: at once, or removing its entry too. A new one takes its place.
func (w *world) endServer(s *server, removed bool) {
	s.Close()
	w.mu.Lock()
	s.silent = true
	if removed {
		w.store.Put(topicServers, s.ID, nil)
	}
	w.mu.Unlock()
	if err := w.addServer(s.Service, "127.0.0.1:0"); err != nil {
		w.judge.fail("replace %s: %v", s.ID, err)
	}
}

// reuseAddress ends a server and gives its address to one of another service.
func (w *world) reuseAddress(ctx context.Context, pick int) {
	s := w.pickServer(pick)
	if s == nil {
		return
	}
	w.endServer(s, false)
	address := s.proxy.address()
	s.proxy.close()
	pause(ctx, 2*time.Second)
	other := services[(pick+1)%len(services)]
	if err := w.addServer(other, address); err != nil {
		w.judge.fail("reuse %s: %v", address, err)
	}
}

// drain announces that a server leaves, lets it serve on, and ends it.
func (w *world) drain(ctx context.Context, pick int) {
	s := w.pickServer(pick)
	if s == nil || w.store.Faults() != (logservice.Faults{}) {
		return
	}
	if err := w.addServer(s.Service, "127.0.0.1:0"); err != nil {
		w.judge.fail("add a server: %v", err)
	}
	w.mu.Lock()
	s.state = "draining"
	w.say(s)
	w.mu.Unlock()
	w.judge.leaves(s.ID)
	s.Leave()
	pause(ctx, drainBound+2*time.Second)
	w.mu.Lock()
	s.silent = true
	w.store.Put(topicServers, s.ID, nil)
	w.mu.Unlock()
	s.Close()
}

// expire removes the entries of servers that have been silent for too long.
func (w *world) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.store.Faults().Down {
		return
	}
	for id, s := range w.servers {
		if s.silent && time.Since(s.lastSay) > lapse {
			w.store.Put(topicServers, id, nil)
			s.proxy.close()
			delete(w.servers, id)
		}
	}
}
