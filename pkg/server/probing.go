package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/measure"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// newProbeRunner returns a runner that probes the backend servers of the pools that this VM dispatches.
func newProbeRunner(c clock.Clock, registry *dispatch.Registry, selector *dispatch.PoolSelector,
	inForce func() *preset.Effective,
) *measure.Runner {
	return &measure.Runner{
		Clock:   c,
		Prober:  newLoadProber(),
		Targets: func() []measure.Target { return probeTargets(registry, selector, inForce()) },
		Report:  func(r measure.Report) { recordLoadReport(registry, r) },
	}
}

// probeIdleTimeout keeps the connection open between two probes of a server, because a new connection costs the server 1 ms.
const probeIdleTimeout = 30 * time.Second

// probeHeaderSize is the assumed size in bytes of the headers of a probe and its response, which the client does not report.
const probeHeaderSize = 250

func probeTargets(registry *dispatch.Registry, selector *dispatch.PoolSelector, effective *preset.Effective) []measure.Target {
	var targets []measure.Target
	for key, runner := range registry.Runners() {
		if !selector.Dispatches(key) {
			continue
		}
		cost := probeCost(effective, key.Service)
		for _, s := range runner.ServerStates() {
			server := s.Server()
			targets = append(targets, measure.Target{ID: server.ID, Address: server.Address, LastResponse: s.LastResponse(), StatedTime: cost})
		}
	}
	return targets
}

// probeCost returns the processing time of a probe on the backend server according to the preset in force; 0 if it is not set.
func probeCost(effective *preset.Effective, service string) time.Duration {
	if effective == nil {
		return 0
	}
	if config, ok := effective.Content.Service(service); ok {
		return config.ProbeCost.Std()
	}
	return 0
}

// recordLoadReport passes the load report of a server to all pools.
func recordLoadReport(registry *dispatch.Registry, r measure.Report) {
	report := dispatch.LoadReport{Busy: r.Busy, Queued: r.Queued, Draining: r.Draining, At: r.At}
	for _, runner := range registry.Runners() {
		runner.Report(r.ID, report)
	}
}

// loadProber reads the load report of a backend server over HTTP.
type loadProber struct{ client *upstream.Client }

func newLoadProber() measure.Prober {
	transport := upstream.NewTransport(upstream.Options{IdleTimeout: probeIdleTimeout, MaxConns: func(string) int { return 1 }})
	return &loadProber{client: upstream.NewClient(transport, maxLoadReport)}
}

// maxLoadReport is the largest load report in bytes.
const maxLoadReport = 64 << 10

// loadResponse is the body of the response to GET /load.
type loadResponse struct {
	Slots    int   `json:"slots"`
	Busy     int   `json:"busy"`
	Queued   int   `json:"queued"`
	Draining bool  `json:"draining"`
	AtMillis int64 `json:"atMs"`
}

var errProbe = errors.New("probe failed")

// Probe implements measure.Prober.
func (p *loadProber) Probe(ctx context.Context, t measure.Target) (measure.Result, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + "/load")
	started := time.Now()
	deadline, _ := ctx.Deadline()
	body, err := p.client.Do(ctx, upstream.Attempt{Address: t.Address, Idempotent: true, Deadline: deadline}, req, resp)
	cost := measure.Cost{Time: time.Since(started), Bytes: probeHeaderSize + len(body)}
	if err != nil {
		return measure.Result{Cost: cost}, errors.Mark(err, errProbe)
	}
	var load loadResponse
	if resp.StatusCode() != fasthttp.StatusOK {
		return measure.Result{Cost: cost}, errors.Wrapf(errProbe, "status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(body, &load); err != nil {
		return measure.Result{Cost: cost}, errors.Mark(err, errProbe)
	}
	return measure.Result{
		Slots: load.Slots, Busy: load.Busy, Queued: load.Queued, Draining: load.Draining,
		Age: max(0, time.Since(time.UnixMilli(load.AtMillis))), Cost: cost,
	}, nil
}
