package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Target is the callers' address of an entry VM.
type Target struct {
	Address string
	// Group names targets that loads shift between, such as a region.
	Group string
}

// Options configure a load.
type Options struct {
	Targets []Target
	Streams []Stream
	// Duration is the measured time. Default: 10s.
	Duration time.Duration
	// WarmUp comes before it; its requests are sent and checked, and not counted.
	WarmUp time.Duration
	// Seed of arrivals and of the choice of repeated orders. Default: 1.
	Seed uint64
	// MaxInFlight bounds the requests in flight. Further ones are counted as not sent. Default: 8000.
	MaxInFlight int64
	// Shift sends all requests to one group for this time, then to the next one. Zero: to all.
	Shift time.Duration
	// NoChecks leaves out the health checks, for targets that are not entry VMs.
	NoChecks bool
}

const defaultMaxInFlight = 8000

func (o *Options) setDefaults() error {
	if o.Duration == 0 {
		o.Duration = 10 * time.Second
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if len(o.Targets) == 0 || len(o.Streams) == 0 {
		return errors.Wrap(ErrOptions, "no targets or no streams")
	}
	for i := range o.Streams {
		if err := o.Streams[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// Report is the result of a load.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"durationNs"`
	Streams  []Summary     `json:"streams"`
	Classes  []Summary     `json:"classes"`
	// Orders are all orders, those of the warm-up included.
	Orders []Order `json:"-"`
	// Wrong counts wrong answers, those of the warm-up and of repeated orders included.
	Wrong int64 `json:"wrong"`
	// WrongExamples are details of some of them.
	WrongExamples []string `json:"wrongExamples,omitempty"`
}

// Class returns the summary of a class; an empty one if the load had none.
func (r *Report) Class(c priority.Class) Summary {
	for _, s := range r.Classes {
		if s.Class == c.String() {
			return s
		}
	}
	return Summary{Name: c.String(), Class: c.String()}
}

// Running is a load that is being generated.
type Running struct {
	g    *generator
	done chan struct{}
	stop context.CancelFunc
}

// generator is the state of one load.
type generator struct {
	options  Options
	ctx      context.Context
	balancer balancer
	tickets  ticketPool
	orders   orderBook
	inFlight atomic.Int64
	calls    sync.WaitGroup
	records  []*recorder
	wrong    *recorder
	groups   []string
	prefix   string
	start    time.Time
}

// Start begins a load. It ends after the warm-up and the duration, or earlier with ctx, and then waits for the requests in
// flight. Error: ErrOptions.
func Start(ctx context.Context, o Options) (*Running, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	g := &generator{options: o, ctx: ctx, wrong: newRecorder(), prefix: uuid.NewString()[:8], start: time.Now()}
	g.balancer.set(o.Targets)
	for _, t := range o.Targets {
		if t.Group != "" && !slices.Contains(g.groups, t.Group) {
			g.groups = append(g.groups, t.Group)
		}
	}
	r := &Running{g: g, done: make(chan struct{}), stop: stop}
	if !o.NoChecks {
		go g.balancer.watch(ctx)
	}
	var pacers sync.WaitGroup
	for i := range o.Streams {
		g.records = append(g.records, newRecorder())
		pacers.Go(func() { g.run(i) })
	}
	go func() {
		defer close(r.done)
		defer stop()
		pacers.Wait()
		g.calls.Wait()
		g.balancer.close()
	}()
	return r, nil
}

// SetTargets replaces the entry VMs.
func (r *Running) SetTargets(targets []Target) { r.g.balancer.set(targets) }

// Done is closed when all requests have ended.
func (r *Running) Done() <-chan struct{} { return r.done }

// Stop ends the load early.
func (r *Running) Stop() { r.stop() }

// Wait waits for the end of the load and returns its result.
func (r *Running) Wait() *Report {
	<-r.done
	g := r.g
	report := &Report{Seed: g.options.Seed, Duration: g.options.Duration, Orders: g.orders.orders}
	for i, s := range g.options.Streams {
		report.Streams = append(report.Streams, g.records[i].summary(s.Name, s.Class, s.Rate))
	}
	for c := range priority.NumClasses {
		class, merged, offered, found := priority.Class(c), newRecorder(), 0.0, false
		for i, s := range g.options.Streams {
			if s.Class == class {
				merged.merge(g.records[i])
				offered, found = offered+s.Rate, true
			}
		}
		if found {
			report.Classes = append(report.Classes, merged.summary(class.String(), class, offered))
		}
	}
	wrong := g.wrong.summary("wrong", 0, 0)
	report.Wrong, report.WrongExamples = wrong.Outcomes[Wrong], wrong.Examples
	return report
}

// Run generates a load and returns its result.
func Run(ctx context.Context, o Options) (*Report, error) {
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	return r.Wait(), nil
}

// run sends the requests of one stream.
func (g *generator) run(index int) {
	s := &g.options.Streams[index]
	end := g.start.Add(g.options.WarmUp + g.options.Duration)
	repeats := rand.New(rand.NewPCG(g.options.Seed, uint64(index)+1<<32))
	n := 0
	pace(g.ctx, newArrivals(s, g.options.Seed, uint64(index)), g.start, end, func(intended time.Time) {
		n++
		m := g.newMessage(s, n, intended)
		repeat := s.Repeat > 0 && repeats.Float64() < s.Repeat
		g.launch(m, g.records[index], intended, repeat)
	})
}

// launch sends one request in a goroutine of its own.
func (g *generator) launch(m *message, r *recorder, intended time.Time, repeat bool) {
	measured := intended.Sub(g.start) >= g.options.WarmUp
	if g.inFlight.Add(1) > g.options.MaxInFlight {
		g.inFlight.Add(-1)
		if measured {
			r.record(result{outcome: NotSent, reason: "generator_limit"}, 0, 1)
		}
		return
	}
	g.calls.Go(func() {
		defer g.inFlight.Add(-1)
		if measured {
			r.sent(time.Since(intended))
		}
		res, attempts := g.deliver(m)
		if measured {
			r.record(res, time.Since(intended), attempts)
		}
		g.countWrong(res)
		if repeat && res.outcome == Answered {
			g.countWrong(g.repeat(m, res))
		}
	})
}

func (g *generator) countWrong(res result) {
	if res.outcome == Wrong {
		g.wrong.record(res, 0, 1)
	}
}

// deliver sends a request with its retries.
func (g *generator) deliver(m *message) (result, int) {
	if m.stream.Keys != NoKeys {
		return g.sendOrder(m)
	}
	return g.send(m), 1
}

func (g *generator) newMessage(s *Stream, n int, intended time.Time) *message {
	id := fmt.Sprintf("%s-%s-%d", g.prefix, s.Name, n)
	m := &message{stream: s, id: id, nonce: "nonce-" + id, path: s.Path}
	if !s.bytes() {
		m.path += strconv.Itoa(n)
	}
	if s.BodyBytes > 0 {
		m.body = []byte(strings.Repeat(id+" ", s.BodyBytes/(len(id)+1)+1)[:s.BodyBytes])
	}
	if g.options.Shift > 0 && len(g.groups) > 0 {
		m.group = g.groups[int(intended.Sub(g.start)/g.options.Shift)%len(g.groups)]
	}
	return m
}
