package entryvm

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// retryBudgetFraction is the part of the allowed retries that this VM uses, because the VMs do not share a count of
	// their retries.
	retryBudgetFraction = 0.75
	// maintenanceInterval is how often the limits that depend on the number of VMs are recalculated.
	maintenanceInterval = time.Second
	// healthReadTimeout bounds the time to receive a health check request.
	healthReadTimeout = 5 * time.Second
)

// Transport settings.
const (
	serverDialTimeout = 400 * time.Millisecond
	// serverIdleTimeout is shorter than the idle timeout of the backend servers.
	serverIdleTimeout = 8 * time.Second
	// serverNonIdempotentIdleTimeout is the maximum age of the last response at which a connection may still carry a
	// non-idempotent request.
	serverNonIdempotentIdleTimeout = 7 * time.Second
	// serverUserTimeout closes connections whose peer no longer acknowledges data (TCP_USER_TIMEOUT).
	serverUserTimeout = 900 * time.Millisecond
	storeDialTimeout  = 300 * time.Millisecond
	// sharedConnectionFraction is the part of a backend server's connection limit that is divided among the VMs.
	sharedConnectionFraction = 0.8
	minConnections           = 4
	// defaultMaxConnections is the connection limit of a backend server if no service sets one.
	defaultMaxConnections = 100
)

var (
	leavingServers = metrics.NewGauge(`hornbeamway_servers_unavailable{reason="leaving"}`, nil)
	heldOffServers = metrics.NewGauge(`hornbeamway_servers_unavailable{reason="held_off"}`, nil)
)

func storeTransportOptions() upstream.Options {
	return upstream.Options{DialTimeout: storeDialTimeout, UserTimeout: serverUserTimeout, IdleTimeout: serverIdleTimeout}
}

func (v *vm) serverTransportOptions() upstream.Options {
	return upstream.Options{DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout,
		NonIdempotentIdleTimeout: serverNonIdempotentIdleTimeout, UserTimeout: serverUserTimeout, MaxConns: v.maxConnections}
}

// maxConnections returns this VM's share of the connection limit of a backend server. The lowest limit of all services
// applies to every server.
func (v *vm) maxConnections(string) int {
	limit := 0
	if table := v.state.Table(); table != nil {
		for _, service := range table.Services {
			if service.MaxConnections > 0 && (limit == 0 || service.MaxConnections < limit) {
				limit = service.MaxConnections
			}
		}
	}
	if limit == 0 {
		limit = defaultMaxConnections
	}
	return max(minConnections, int(sharedConnectionFraction*float64(limit))/v.sharer.VMCount())
}

// runMaintenance updates this VM's retry budget and the latency objectives, and reloads the settings on SIGHUP, until ctx ends.
func (v *vm) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		v.updateObjectives()
		v.countUnavailableServers()
		v.state.UpdateMetrics()
		v.retryBudgets.SetBurst(max(1, retryBudgetFraction*v.settings.RetryBudgetSlack/float64(v.sharer.VMCount())))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-v.hup:
			v.reload()
		}
	}
}

// countUnavailableServers updates the gauges of the servers that get no requests by a statement of theirs.
func (v *vm) countUnavailableServers() {
	leaving, heldOff := v.balancer.CountUnavailable(time.Now())
	leavingServers.Set(float64(leaving))
	heldOffServers.Set(float64(heldOff))
}

// reload reads the settings and applies the seeds, the only setting that can change while the VM runs.
func (v *vm) reload() {
	next, err := v.platform.Reload()
	if err != nil {
		klog.ErrorS(err, "failed to reload the settings; keeping the previous ones")
		return
	}
	changed := !slices.Equal(next.Seeds, v.settings.Seeds)
	klog.InfoS("settings reloaded", "seedsChanged", changed)
	if changed {
		v.sharer.AddPeers(next.Seeds)
	}
}

// serveHealth serves health checks, metrics and the burn report until ctx ends.
func (v *vm) serveHealth(ctx context.Context) error {
	app := fiber.New(fiber.Config{ReadTimeout: healthReadTimeout})
	app.Get("/readyz", func(c fiber.Ctx) error {
		if ok, reason := v.gateway.Ready(); !ok {
			return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
		}
		return c.SendString("ok\n")
	})
	app.Get("/burn", func(c fiber.Ctx) error {
		if c.Accepts("text/plain", "application/json") == "application/json" {
			return c.JSON(v.burnTracker.Report())
		}
		return v.burnTracker.Report().WriteText(c.Response().BodyWriter())
	})
	app.Get("/metrics", func(c fiber.Ctx) error {
		metrics.WritePrometheus(c.Response().BodyWriter(), true)
		return nil
	})
	go func() {
		<-ctx.Done()
		// Closing the listener stops the server. The error of Close needs no handling, because the server stops anyway.
		_ = v.sockets.health.Close()
	}()
	err := app.Listener(ingress.RetryAccept(v.sockets.health), fiber.ListenConfig{DisableStartupMessage: true})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve health checks")
}
