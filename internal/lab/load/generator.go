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
	// Group is a group of targets, such as a region, for Options.GroupInterval.
	Group string
}

// Options configures a load.
type Options struct {
	Targets []Target
	Streams []Stream
	// Duration is the measured time. Default: 10s.
	Duration time.Duration
	// WarmUp precedes the measured time. Its requests are sent and their responses are verified, but they are not counted.
	WarmUp time.Duration
	// Seed is the seed of the arrivals and of the selection of repeated operations. Default: 1.
	Seed uint64
	// MaxInFlight bounds the in-flight requests of each stream. Requests above it are counted as not sent. Default: 8000.
	MaxInFlight int64
	// GroupInterval is the time for which all requests are sent to one group before the next group receives them. Zero: requests
	// are spread over all targets.
	GroupInterval time.Duration
	// Direct is set if the targets are backend servers: they have no health check and return no request id in the response
	// header.
	Direct bool
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
		return errors.Wrap(ErrOptions, "at least one target and one stream are required")
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
	// Operations lists all operations, including those of the warm-up.
	Operations []Operation `json:"-"`
	// Wrong counts responses with the outcome Wrong, including those of the warm-up and of repeated operations.
	Wrong int64 `json:"wrong"`
	// WrongExamples holds the details of the first of them.
	WrongExamples []string `json:"wrongExamples,omitempty"`
}

// Class returns the summary of a class; an empty one if the load had no stream of this class.
func (r *Report) Class(c priority.Class) Summary {
	for _, s := range r.Classes {
		if s.Class == c.String() {
			return s
		}
	}
	return Summary{Name: c.String(), Class: c.String()}
}

// Running is a load in progress.
type Running struct {
	generator *generator
	done      chan struct{}
	cancel    context.CancelFunc
}

// generator is the state of one load.
type generator struct {
	options    Options
	ctx        context.Context
	balancer   balancer
	tickets    ticketPool
	operations operationRecorder
	inFlight   []atomic.Int64
	calls      sync.WaitGroup
	recorders  []*recorder
	wrong      *recorder
	groups     []string
	idPrefix   string
	start      time.Time
}

// Start starts a load. The load ends after the warm-up and the duration, or earlier if ctx is cancelled, and then waits for
// the in-flight requests. Error: ErrOptions.
func Start(ctx context.Context, o Options) (*Running, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	g := &generator{options: o, ctx: ctx, wrong: newRecorder(), idPrefix: uuid.NewString()[:8], start: time.Now()}
	g.balancer.setTargets(o.Targets)
	for _, t := range o.Targets {
		if t.Group != "" && !slices.Contains(g.groups, t.Group) {
			g.groups = append(g.groups, t.Group)
		}
	}
	running := &Running{generator: g, done: make(chan struct{}), cancel: cancel}
	if !o.Direct {
		go g.balancer.runHealthChecks(ctx)
	}
	g.inFlight = make([]atomic.Int64, len(o.Streams))
	var pacers sync.WaitGroup
	for range o.Streams {
		g.recorders = append(g.recorders, newRecorder())
	}
	for i := range o.Streams {
		pacers.Go(func() { g.runStream(i) })
	}
	go func() {
		defer close(running.done)
		defer cancel()
		pacers.Wait()
		g.calls.Wait()
		g.balancer.close()
	}()
	return running, nil
}

// SetTargets replaces the targets, which changes the entry VMs that receive the requests.
func (r *Running) SetTargets(targets []Target) { r.generator.balancer.setTargets(targets) }

// Done returns a channel that is closed when all requests have completed.
func (r *Running) Done() <-chan struct{} { return r.done }

// Stop ends the load before its duration has elapsed.
func (r *Running) Stop() { r.cancel() }

// Wait waits until the load has ended and returns its report.
func (r *Running) Wait() *Report {
	<-r.done
	g := r.generator
	report := &Report{Seed: g.options.Seed, Duration: g.options.Duration, Operations: g.operations.operations}
	for i, s := range g.options.Streams {
		report.Streams = append(report.Streams, g.recorders[i].summary(s.Name, s.Class, s.Rate))
	}
	for c := range priority.NumClasses {
		class, merged, offered, present := priority.Class(c), newRecorder(), 0.0, false
		for i, s := range g.options.Streams {
			if s.Class == class {
				merged.merge(g.recorders[i])
				offered, present = offered+s.Rate, true
			}
		}
		if present {
			report.Classes = append(report.Classes, merged.summary(class.String(), class, offered))
		}
	}
	wrong := g.wrong.summary("wrong", 0, 0)
	report.Wrong, report.WrongExamples = wrong.Outcomes[Wrong], wrong.Examples
	return report
}

// Run generates a load until its end and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	return r.Wait(), nil
}

// runStream sends the requests of one stream at their arrival times.
func (g *generator) runStream(index int) {
	s := &g.options.Streams[index]
	end := g.start.Add(g.options.WarmUp + g.options.Duration)
	repeatRandom := rand.New(rand.NewPCG(g.options.Seed, uint64(index)+1<<32))
	n := 0
	pace(g.ctx, newArrivals(s, g.options.Seed, uint64(index)), g.start, end, func(intended time.Time) {
		n++
		c := g.newCall(s, n, intended)
		repeat := s.Repeat > 0 && repeatRandom.Float64() < s.Repeat
		g.launch(c, index, intended, repeat)
	})
}

// launch sends one request in a new goroutine and records its result.
func (g *generator) launch(c *call, index int, intended time.Time, repeat bool) {
	r, inFlight := g.recorders[index], &g.inFlight[index]
	measured := intended.Sub(g.start) >= g.options.WarmUp
	if inFlight.Add(1) > g.options.MaxInFlight {
		inFlight.Add(-1)
		if measured {
			r.record(result{outcome: NotSent, reason: "generator_limit"}, 0, 1)
		}
		return
	}
	g.calls.Go(func() {
		defer inFlight.Add(-1)
		if measured {
			r.recordSendLag(time.Since(intended))
		}
		res, attempts := g.sendWithRetries(c)
		if measured {
			r.record(res, time.Since(intended), attempts)
		}
		g.recordIfWrong(res)
		if repeat && res.outcome == Answered {
			g.recordIfWrong(g.resend(c, res))
		}
	})
}

func (g *generator) recordIfWrong(res result) {
	if res.outcome == Wrong {
		g.wrong.record(res, 0, 1)
	}
}

// sendWithRetries sends a request, with retries if it is an operation, and returns the last result and the number of
// attempts.
func (g *generator) sendWithRetries(c *call) (result, int) {
	if c.stream.Keys != NoKeys {
		return g.sendOperation(c)
	}
	return g.send(c), 1
}

func (g *generator) newCall(s *Stream, n int, intended time.Time) *call {
	id := fmt.Sprintf("%s-%s-%d", g.idPrefix, s.Name, n)
	c := &call{stream: s, id: id, nonce: "nonce-" + id, path: s.Path, direct: g.options.Direct}
	if !s.hasPatternBody() {
		c.path += strconv.Itoa(n)
	}
	if s.BodyBytes > 0 {
		c.body = []byte(strings.Repeat(id+" ", s.BodyBytes/(len(id)+1)+1)[:s.BodyBytes])
	}
	if g.options.GroupInterval > 0 && len(g.groups) > 0 {
		c.group = g.groups[int(intended.Sub(g.start)/g.options.GroupInterval)%len(g.groups)]
	}
	return c
}
