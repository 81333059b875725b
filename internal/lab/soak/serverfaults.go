package soak

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

// duplicateRefusals makes a server refuse requests at random, late, and often twice. The copy arrives while a later request is on the
// connection.
var duplicateRefusals = platformserver.Faults{Refuse: 0.5, DuplicateRefusal: 0.8, RefusalDelay: 300 * time.Millisecond}

// reuseAddress replaces a server and starts one, usually of another service, on the address that it had. For some seconds the new
// server duplicates refusals, also of requests for the earlier server.
func (h *harness) reuseAddress(ctx context.Context, draw int) {
	s := h.reserveServer(draw)
	if s == nil {
		return
	}
	h.replaceServer(s)
	address := s.proxy.address()
	s.proxy.close()
	pause.Sleep(ctx, 2*time.Second)
	service := services[(draw+1)%len(services)]
	next, err := h.addServer(service, address)
	if err != nil {
		h.checker.addViolation("failed to reuse address %s: %v", address, err)
		return
	}
	next.SetFaults(duplicateRefusals)
	pause.Sleep(ctx, 3*time.Second)
	next.SetFaults(platformserver.Faults{})
}

// drainServer starts a replacement, publishes the state draining for the server, lets it serve requests until drainBound and 2 s
// more have passed, and terminates it. By draw, the server's responses also state that it is leaving.
func (h *harness) drainServer(ctx context.Context, draw int) {
	if h.store.Faults() != (logservice.Faults{}) {
		return
	}
	s := h.reserveServer(draw)
	if s == nil {
		return
	}
	h.startReplacement(s)
	h.mu.Lock()
	s.state = "draining"
	h.writeServerRecord(s)
	h.mu.Unlock()
	h.checker.drainAnnounced(s.ID)
	s.FailHealthChecks()
	if draw/victimRange%2 == 0 {
		s.Leave()
	}
	pause.Sleep(ctx, drainBound+2*time.Second)
	h.mu.Lock()
	s.stopped = true
	h.removeServerRecord(s.ID)
	h.mu.Unlock()
	s.Close()
}

// leaveServer starts a replacement and makes the responses of a server state that it is leaving, while its store record remains
// ready. The server serves requests until drainBound and 3 s more have passed, and exits. By draw, its health checks fail, and
// the store is down or cut off from all VMs meanwhile.
func (h *harness) leaveServer(ctx context.Context, draw int) {
	s := h.reserveServer(draw)
	if s == nil {
		return
	}
	h.startReplacement(s)
	pause.Sleep(ctx, time.Second)
	variant := draw / victimRange
	if variant%2 == 0 {
		s.FailHealthChecks()
	}
	s.Leave()
	const remaining = drainBound + 3*time.Second
	switch variant / 2 % 3 {
	case 0:
		pause.Sleep(ctx, remaining)
	case 1:
		h.injectStoreFault(ctx, logservice.Faults{Down: true}, remaining)
	case 2:
		h.cutFromStore(ctx, h.vms, dropAll, remaining)
	}
	h.stopServer(s)
}

// holdOffServers makes one to three servers refuse everything for 2 to 5 s and ask for no requests in that time.
func (h *harness) holdOffServers(ctx context.Context, draw int) {
	variant := draw / victimRange
	duration := time.Duration(2+variant%4) * time.Second
	until := time.Now().Add(duration)
	for i := range 1 + variant/4%3 {
		if s := h.pickServer(draw + i); s != nil {
			s.HoldOff(until)
		}
	}
	pause.Sleep(ctx, duration)
}

// restartServer terminates a server and starts it again within a second under its id and address, with a later or, by draw, an
// earlier start time. Before and after that, the servers of its service duplicate refusals.
func (h *harness) restartServer(ctx context.Context, draw int) {
	s := h.reserveServer(draw)
	if s == nil {
		return
	}
	h.setServiceFaults(s.Service, duplicateRefusals)
	defer h.setServiceFaults(s.Service, platformserver.Faults{})
	pause.Sleep(ctx, time.Second)
	h.mu.Lock()
	s.restarting = true
	h.mu.Unlock()
	h.stopServer(s)
	variant := draw / victimRange
	pause.Sleep(ctx, time.Duration(variant%4)*300*time.Millisecond)
	born := time.Now().Add(2 * time.Second)
	if variant/4%3 == 0 {
		born = time.UnixMilli(s.born).Add(-time.Second)
	}
	if err := h.startAgain(s, born); err != nil {
		h.checker.addViolation("failed to start %s again: %v", s.ID, err)
		return
	}
	h.setServiceFaults(s.Service, duplicateRefusals)
	pause.Sleep(ctx, 2*time.Second)
}
