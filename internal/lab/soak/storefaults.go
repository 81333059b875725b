package soak

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
)

func (h *harness) injectStoreFault(ctx context.Context, f logservice.Faults, d time.Duration) {
	defer h.checker.beginDisturbance(allVMs)()
	h.setStoreFaults(ctx, f, d)
}

// setStoreFaults applies faults of the store for the time d.
func (h *harness) setStoreFaults(ctx context.Context, f logservice.Faults, d time.Duration) {
	if h.store.SetFaults(f) == nil {
		pause.Sleep(ctx, d)
		// The zero value is valid.
		_ = h.store.SetFaults(logservice.Faults{})
	}
}

// refuseTopic makes the store refuse the calls for one topic for 3 to 8 s: by draw that of the configuration or that of the servers. A
// configuration must be in force in time although the servers cannot be read.
func (h *harness) refuseTopic(ctx context.Context, draw int) {
	variant := draw / victimRange
	d := 3*time.Second + time.Duration(variant/4%6)*time.Second
	if variant%4 == 0 {
		h.injectStoreFault(ctx, logservice.Faults{Down: true, Topic: topicConfig}, d)
		return
	}
	defer h.checker.beginDisturbance(serversTopic)()
	h.setStoreFaults(ctx, logservice.Faults{Down: true, Topic: topicServers}, d)
}
