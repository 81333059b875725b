package entryvm

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// retryUse is the share of the allowed second sends that this VM uses, because the VMs do not count them together.
	retryUse = 0.75
	// maintainInterval is how often shares that depend on the number of VMs are worked out again.
	maintainInterval = time.Second
	// stopMargin is the time before the end of the stop time at which the process ends, whatever is in flight.
	stopMargin = 400 * time.Millisecond
	// refuseMargin is the time before the end of the stop time from which no further requests are taken, so that those taken
	// before can end.
	refuseMargin = 2800 * time.Millisecond
	// noticeTime is the time in which the platform notices that health checks fail.
	noticeTime = 3 * time.Second
	// stopCheck is how often the end of the requests in flight is looked for.
	stopCheck = 20 * time.Millisecond
	// healthReadTimeout bounds the arrival of a health check.
	healthReadTimeout = 5 * time.Second
)

// Transport settings.
const (
	serverDialTimeout = 400 * time.Millisecond
	// serverIdleTimeout is shorter than the time after which backend servers close idle connections.
	serverIdleTimeout = 8 * time.Second
	// serverFreshTimeout is the age up to which a connection carries a request that must not be repeated.
	serverFreshTimeout = 7 * time.Second
	// serverUserTimeout ends connections that have gone silent.
	serverUserTimeout = 900 * time.Millisecond
	storeDialTimeout  = 300 * time.Millisecond
	// connectionUse is the share of the connections of a backend server that the VMs divide between them.
	connectionUse   = 0.8
	leastConnection = 4
	// defaultConnections is the number that a server takes if its service does not say.
	defaultConnections = 100
)

func storeTransport() upstream.Options {
	return upstream.Options{DialTimeout: storeDialTimeout, UserTimeout: serverUserTimeout, IdleTimeout: serverIdleTimeout}
}

func (v *vm) serverTransport() upstream.Options {
	return upstream.Options{DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout, FreshTimeout: serverFreshTimeout,
		UserTimeout: serverUserTimeout, MaxConns: v.maxConnections}
}

// maxConnections is this VM's share of the connections of a backend server.
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
		limit = defaultConnections
	}
	return max(leastConnection, int(connectionUse*float64(limit))/v.sharer.VMs())
}

// maintain works out this VM's shares and objectives and follows changes of the settings.
func (v *vm) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		v.followObjectives()
		v.retries.SetBurst(max(1, retryUse*v.settings.RetrySlack/float64(v.sharer.VMs())))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-v.hup:
			v.reload()
		}
	}
}

// reload takes over the seeds, the only setting that a running VM can change.
func (v *vm) reload() {
	next, err := v.platform.Reload()
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the earlier ones stay")
		return
	}
	changed := !slices.Equal(next.Seeds, v.settings.Seeds)
	klog.InfoS("settings reloaded", "seedsChanged", changed)
	if changed {
		v.sharer.Join(next.Seeds)
	}
}

// stop drains and waits until the requests in flight have ended.
func (v *vm) stop() {
	began := time.Now()
	klog.InfoS("stop signal; health checks fail from now on", "inFlight", v.gateway.InFlight(), "connections", v.gateway.Connections())
	v.gateway.Drain()
	for refused := false; ; time.Sleep(stopCheck) {
		passed := time.Since(began)
		if !refused && passed >= v.settings.StopTime-refuseMargin {
			refused = true
			v.gateway.Refuse()
			klog.InfoS("no further requests are taken", "inFlight", v.gateway.InFlight(), "connections", v.gateway.Connections())
		}
		idle := v.gateway.InFlight() == 0
		if passed >= v.settings.StopTime-stopMargin || idle && refused || idle && passed >= noticeTime && v.gateway.Connections() == 0 {
			return
		}
	}
}

// serveHealth answers health checks, metrics and the report on burn.
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
			return c.JSON(v.burn.Report())
		}
		return v.burn.Report().WriteText(c.Response().BodyWriter())
	})
	app.Get("/metrics", func(c fiber.Ctx) error {
		metrics.WritePrometheus(c.Response().BodyWriter(), true)
		return nil
	})
	go func() {
		<-ctx.Done()
		// The listener ends the server; its error says no more than that.
		_ = v.sockets.health.Close()
	}()
	err := app.Listener(v.sockets.health, fiber.ListenConfig{DisableStartupMessage: true})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve health checks")
}
