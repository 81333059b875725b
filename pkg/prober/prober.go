// Package prober asks backend servers for their load when no answer has told it lately. The servers of a region are divided
// between its entry VMs, and what one VM learns is shared with the others.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// staleAfter is the age of a figure from which a server is asked again.
	staleAfter = 80 * time.Millisecond
	// checkInterval is how often the ages are looked at.
	checkInterval = 20 * time.Millisecond
	// assignInterval is how often the servers are divided between the VMs again.
	assignInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// failurePause is the time for which a server that did not answer a probe is not asked.
	failurePause = time.Second
	// maxProbes bounds the probes in flight of this VM.
	maxProbes = 64
)

var (
	probes        = metrics.NewCounter(`hornbeamway_probes_total`)
	probeFailures = metrics.NewCounter(`hornbeamway_probe_failures_total`)
)

// Figures reads what a server's answer says of its load.
type Figures interface {
	// Probed returns the id of the server that answered and its figure; nil if it told none.
	Probed(h *fasthttp.ResponseHeader) (serverID string, figure *balance.Figure)
}

// Options are the parts of a Prober.
type Options struct {
	Clock    clock.Clock
	Figures  Figures
	State    *directory.State
	Balancer *balance.Balancer
	Servers  *upstream.Transport
	// Assigned reports whether this VM is the one that asks a server.
	Assigned func(s *directory.Server) bool
	// Tell shares a figure.
	Tell func(loadshare.Event)
}

// Prober asks servers for their load.
type Prober struct {
	Options
	slots chan struct{}

	// mine are the servers that this VM asks, worked out at mineAt.
	mine   []*directory.Server
	mineAt time.Time

	mu sync.Mutex
	// notBefore holds the servers that are being asked or that failed to answer.
	notBefore map[balance.Key]time.Time
}

// New returns a prober.
func New(o Options) *Prober {
	return &Prober{Options: o, slots: make(chan struct{}, maxProbes), notBefore: map[balance.Key]time.Time{}}
}

// Run asks servers until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.round(ctx)
		select {
		case <-ctx.Done():
		case <-p.Clock.After(checkInterval):
		}
	}
}

func (p *Prober) round(ctx context.Context) {
	table := p.State.Table()
	if table == nil {
		return
	}
	now := p.Clock.Now()
	p.forget(now)
	if now.Sub(p.mineAt) >= assignInterval {
		p.assign(now)
	}
	for _, s := range p.mine {
		service, ok := table.Services[s.Service]
		if ok && service.HealthPath != "" && p.Balancer.Urgent(s.Service, now) && p.due(s, now) {
			p.start(ctx, s, service.HealthPath)
		}
	}
}

// assign works out the servers that this VM asks.
func (p *Prober) assign(now time.Time) {
	p.mine, p.mineAt = p.mine[:0], now
	for _, servers := range p.State.View().ByService {
		for _, s := range servers {
			if p.Assigned(s) {
				p.mine = append(p.mine, s)
			}
		}
	}
}

func (p *Prober) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, until := range p.notBefore {
		if now.After(until) {
			delete(p.notBefore, key)
		}
	}
}

func (p *Prober) due(s *directory.Server, now time.Time) bool {
	key := balance.KeyOf(s)
	p.mu.Lock()
	_, paused := p.notBefore[key]
	p.mu.Unlock()
	if paused {
		return false
	}
	age, told := p.Balancer.FigureAge(key, now)
	return !told || age >= staleAfter
}

func (p *Prober) start(ctx context.Context, s *directory.Server, path string) {
	select {
	case p.slots <- struct{}{}:
	default:
		return // The next round asks.
	}
	key := balance.KeyOf(s)
	p.mu.Lock()
	p.notBefore[key] = p.Clock.Now().Add(probeTimeout)
	p.mu.Unlock()
	go func() {
		defer func() { <-p.slots }()
		p.probe(ctx, s, key, path)
	}()
}

func (p *Prober) probe(ctx context.Context, s *directory.Server, key balance.Key, path string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(s.Address)
	req.Header.SetRequestURI(path)
	probes.Inc()
	err := p.Servers.RoundTrip(ctx, upstream.Attempt{Address: s.Address, Idempotent: true,
		Deadline: p.Clock.Now().Add(probeTimeout)}, req, resp)
	now := p.Clock.Now()
	if err != nil {
		probeFailures.Inc()
		klog.InfoS("server did not answer a probe", "server", s.ID, "address", s.Address, "err", err)
		p.pause(key, now.Add(failurePause))
		return
	}
	id, figure := p.Figures.Probed(&resp.Header)
	if id != s.ID || figure == nil {
		probeFailures.Inc()
		klog.InfoS("probe was answered without a figure", "server", s.ID, "answeredBy", id, "status", resp.StatusCode())
		p.pause(key, now.Add(failurePause))
		return
	}
	p.Balancer.Learn(key, *figure, now)
	p.Tell(loadshare.Event{Key: key, Count: p.Balancer.OwnAt(key), Figure: figure, FigureAt: now})
	p.pause(key, now.Add(staleAfter/2))
}

func (p *Prober) pause(key balance.Key, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notBefore[key] = until
}
