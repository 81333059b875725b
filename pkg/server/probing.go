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
)

// newProbing returns the runner that probes the backend servers of the pools that this VM dispatches.
func newProbing(c clock.Clock, registry *dispatch.Registry, choice *dispatch.PoolChoice, inForce func() *preset.Effective) *measure.Runner {
	return &measure.Runner{
		Clock:   c,
		Prober:  &loadProber{client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1, MaxIdleConnDuration: probeIdle}},
		Targets: func() []measure.Target { return probeTargets(registry, choice, inForce()) },
		Report:  func(r measure.Report) { reportTo(registry, r) },
	}
}

// probeIdle keeps a probe's connection open between two probes of the same server, because a new one costs it 1 ms.
const probeIdle = 30 * time.Second

// probeOverhead is the size in bytes of the heads of a probe and of its answer, which the client does not tell.
const probeOverhead = 250

func probeTargets(registry *dispatch.Registry, choice *dispatch.PoolChoice, effective *preset.Effective) []measure.Target {
	var targets []measure.Target
	for key, runner := range registry.Runners() {
		if !choice.Dispatches(key) {
			continue
		}
		cost := probeCost(effective, key.Service)
		for _, s := range runner.Inspect() {
			server := s.Server()
			targets = append(targets, measure.Target{ID: server.ID, Address: server.Address, LastAnswer: s.LastAnswer(), Cost: cost})
		}
	}
	return targets
}

// probeCost returns the backend time of a probe as the preset in force states it; 0 if it states none.
func probeCost(effective *preset.Effective, service string) time.Duration {
	if effective == nil {
		return 0
	}
	if described, ok := effective.Content.Service(service); ok {
		return described.ProbeCost.Std()
	}
	return 0
}

func reportTo(registry *dispatch.Registry, r measure.Report) {
	report := dispatch.LoadReport{Busy: r.Busy, Queued: r.Queued, Draining: r.Draining, At: r.At}
	for _, runner := range registry.Runners() {
		runner.Report(r.ID, report)
	}
}

// loadProber reads the load report of a backend server over HTTP.
type loadProber struct{ client *fasthttp.Client }

// loadAnswer is the body of GET /load.
type loadAnswer struct {
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
	sent := time.Now()
	deadline, _ := ctx.Deadline()
	err := p.client.DoDeadline(req, resp, deadline)
	cost := measure.Cost{Time: time.Since(sent), Bytes: probeOverhead + len(resp.Body())}
	if err != nil {
		return measure.Result{Cost: cost}, errors.Mark(err, errProbe)
	}
	var answer loadAnswer
	if resp.StatusCode() != fasthttp.StatusOK {
		return measure.Result{Cost: cost}, errors.Wrapf(errProbe, "status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return measure.Result{Cost: cost}, errors.Mark(err, errProbe)
	}
	return measure.Result{
		Slots: answer.Slots, Busy: answer.Busy, Queued: answer.Queued, Draining: answer.Draining,
		Age: max(0, time.Since(time.UnixMilli(answer.AtMillis))), Cost: cost,
	}, nil
}
