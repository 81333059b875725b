// Package prober probes backend servers whose load report is stale because no recent response carried one. The servers of a
// region are divided among its entry VMs, and each VM shares the load reports that it receives with the others.
package prober

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/availability"
	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// staleAfter is the age at which a load report is stale and its server is probed again.
	staleAfter = 80 * time.Millisecond
	// checkInterval is how often the ages of the load reports are checked.
	checkInterval = 20 * time.Millisecond
	// assignInterval is how often the servers assigned to this VM are recomputed.
	assignInterval = 500 * time.Millisecond
	// probeTimeout limits the duration of one probe.
	probeTimeout = 250 * time.Millisecond
	// failurePause is how long a server is not probed after a failed probe.
	failurePause = time.Second
	// maxProbes limits the number of probes that this VM has in flight.
	maxProbes = 64
	// maxProbeBody is the size in bytes up to which the body of a response is read.
	maxProbeBody = 16 << 10
)

var (
	probes        = metrics.NewCounter(`hornbeamway_probes_total`)
	probeFailures = metrics.NewCounter(`hornbeamway_probe_failures_total`)
)

// ResponseReader reads the head of the response to a probe.
type ResponseReader interface {
	ReadProbe(h *fasthttp.ResponseHeader) ResponseHead
}

// ResponseHead holds the values of the head of the response to a probe.
type ResponseHead struct {
	// RequestID is the id of the request to which the server responds; empty in a response to a probe, which has no id.
	RequestID string
	// ServerID is the id of the server that sent the response; empty if it is not stated.
	ServerID string
	// LoadReport is the server's load report; nil if there is none.
	LoadReport *balance.LoadReport
	// Statement is what the server says about its availability.
	Statement balance.Statement
}

// Options are the dependencies of a Prober.
type Options struct {
	Clock     clock.Clock
	Responses ResponseReader
	State     *directory.State
	Balancer  *balance.Balancer
	Transport *upstream.Transport
	// Assignment returns the rule by which this VM is the one that probes a server, as of now.
	Assignment func() func(s *directory.Server) bool
	// Publish sends a load report, or that a server is leaving, to the other entry VMs.
	Publish func(loadshare.Event)
}

// Prober probes backend servers for their load reports.
type Prober struct {
	Options
	// availability records what servers state about their availability.
	availability availability.Recorder
	inFlight     chan struct{}

	// assigned are the servers that this VM probes, as computed at assignedAt.
	assigned   []*directory.Server
	assignedAt time.Time

	mu sync.Mutex
	// notBefore maps each server that is paused to the end of its pause. A server is paused during a probe and for some time
	// after it.
	notBefore map[balance.ServerKey]time.Time
}

// New returns a Prober with the given dependencies.
func New(o Options) *Prober {
	return &Prober{Options: o,
		availability: availability.Recorder{Clock: o.Clock, Balancer: o.Balancer, Servers: o.Transport, Publish: o.Publish},
		inFlight:     make(chan struct{}, maxProbes), notBefore: map[balance.ServerKey]time.Time{}}
}

// Run probes servers until ctx is cancelled.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.probeStaleServers(ctx)
		select {
		case <-ctx.Done():
		case <-p.Clock.After(p.untilNextCheck()):
		}
	}
}

// untilNextCheck returns the time until the load reports are checked again. Most VMs of a large region have no servers to probe.
func (p *Prober) untilNextCheck() time.Duration {
	if len(p.assigned) == 0 {
		return assignInterval
	}
	return checkInterval
}

func (p *Prober) probeStaleServers(ctx context.Context) {
	table := p.State.Table()
	if table == nil {
		return
	}
	now := p.Clock.Now()
	p.dropExpiredPauses(now)
	if now.Sub(p.assignedAt) >= assignInterval {
		p.updateAssigned(now)
	}
	for _, s := range p.assigned {
		service, ok := table.Services[s.Service]
		if ok && service.HealthPath != "" && p.Balancer.Urgent(s.Service, now) && p.needsProbe(s, now) {
			p.startProbe(ctx, s, service.HealthPath)
		}
	}
}

// updateAssigned recomputes the servers that this VM probes.
func (p *Prober) updateAssigned(now time.Time) {
	p.assigned, p.assignedAt = p.assigned[:0], now
	assigned := p.Assignment()
	for _, servers := range p.State.View().ByService {
		for _, s := range servers {
			if assigned(s) {
				p.assigned = append(p.assigned, s)
			}
		}
	}
}

func (p *Prober) dropExpiredPauses(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, until := range p.notBefore {
		if now.After(until) {
			delete(p.notBefore, key)
		}
	}
}

func (p *Prober) needsProbe(s *directory.Server, now time.Time) bool {
	key := balance.ServerKeyOf(s)
	p.mu.Lock()
	_, paused := p.notBefore[key]
	p.mu.Unlock()
	if paused || p.Balancer.Availability(s, now) != balance.Available {
		return false
	}
	age, hasReport := p.Balancer.LoadReportAge(key, now)
	return !hasReport || age >= staleAfter
}

func (p *Prober) startProbe(ctx context.Context, s *directory.Server, path string) {
	select {
	case p.inFlight <- struct{}{}:
	default:
		return // maxProbes are in flight; the next check tries again.
	}
	key := balance.ServerKeyOf(s)
	p.mu.Lock()
	p.notBefore[key] = p.Clock.Now().Add(probeTimeout)
	p.mu.Unlock()
	go func() {
		defer func() { <-p.inFlight }()
		p.probe(ctx, s, key, path)
	}()
}

func (p *Prober) probe(ctx context.Context, s *directory.Server, key balance.ServerKey, path string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(s.Address)
	req.Header.SetRequestURI(path)
	probes.Inc()
	deadline := p.Clock.Now().Add(probeTimeout)
	err := p.Transport.RoundTrip(ctx, upstream.Attempt{Address: s.Address, Idempotent: true, Classify: p.classify, Deadline: deadline},
		req, resp)
	if err == nil {
		err = finishBody(resp, deadline)
	}
	now := p.Clock.Now()
	if err != nil {
		probeFailures.Inc()
		klog.InfoS("probe failed", "server", s.ID, "address", s.Address, "err", err)
		p.pauseUntil(key, now.Add(failurePause))
		return
	}
	head := p.Responses.ReadProbe(&resp.Header)
	if head.ServerID == s.ID || head.ServerID == "" {
		p.availability.Record(s, head.Statement, "probe")
	}
	if head.ServerID != s.ID || head.LoadReport == nil {
		probeFailures.Inc()
		klog.InfoS("probe response has no load report of the probed server", "server", s.ID, "respondedBy", head.ServerID,
			"status", resp.StatusCode())
		p.pauseUntil(key, now.Add(failurePause))
		return
	}
	p.Balancer.RecordLoadReport(key, *head.LoadReport, now)
	p.Publish(loadshare.Event{Key: key, Count: p.Balancer.OwnInFlightAt(key), LoadReport: head.LoadReport, ReportedAt: now})
	p.pauseUntil(key, now.Add(staleAfter/2))
}

// classify returns how a response relates to a probe. One that names a request is a late copy of the response to that request, which
// went over the same connection: its load report and Retry-After are out of date.
func (p *Prober) classify(h *fasthttp.ResponseHeader) upstream.Verdict {
	if p.Responses.ReadProbe(h).RequestID != "" {
		return upstream.Foreign
	}
	return upstream.Accepted
}

// finishBody reads a streamed body of up to maxProbeBody bytes to its end, so that its connection can be used again. The
// connection of a longer one is closed.
func finishBody(resp *fasthttp.Response, deadline time.Time) error {
	body, streamed := resp.BodyStream().(*upstream.Body)
	if !streamed {
		return nil
	}
	body.SetDeadline(deadline)
	_, err := io.CopyN(io.Discard, body, maxProbeBody)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return errors.CombineErrors(err, resp.CloseBodyStream())
}

func (p *Prober) pauseUntil(key balance.ServerKey, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notBefore[key] = until
}
