package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// The event-driven model of one pool for the comparison of policies. Arrivals are an open loop with a fixed seed; the
// latency counts from the intended arrival. Network delays are left out.
const (
	modelSeed    = 20261204
	modelServers = 20
	modelSlots   = 3
	modelVMs     = 16
	modelWarmup  = 2 * time.Second
	modelFault   = 3 * time.Second  // start of the fault or flood
	modelCalm    = 8 * time.Second  // end of a flood
	modelEnd     = 13 * time.Second // end of the arrivals
	reportEvery  = time.Second
)

var (
	modelStart   = time.Unix(1_000_000, 0)
	modelShares  = priority.Shares{0.5, 0.3, 0.1}
	calmLoad     = [priority.NumClasses]float64{0.48, 0.28, 0.09} // of the capacity; 85% in total
	meanService  = [priority.NumClasses]time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond}
	callDeadline = [priority.NumClasses]time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second}
)

// scenario is a fault between modelFault and the end, or a flood between modelFault and modelCalm.
type scenario struct {
	name     string
	slow     float64 // factor of the service time of server 0
	failFast bool    // server 0 answers with errors after 1 ms and reports that it is idle
	flood    [priority.NumClasses]float64
}

var scenarios = []scenario{
	{name: "calm"},
	{name: "straggler", slow: 20},
	{name: "fail fast", failFast: true},
	{name: "flood bulk", flood: [priority.NumClasses]float64{priority.Bulk: 5}},
	{name: "flood interactive", flood: [priority.NumClasses]float64{priority.Interactive: 5}},
}

type modelEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type call struct {
	class    priority.Class
	at       time.Duration
	sent     time.Duration
	service  time.Duration
	vm       int
	server   *modelServer
	running  bool
	ended    bool
	lease    *Lease
	state    *ServerState
	deadline time.Duration
}

type modelServer struct {
	index, busy int
	queue       []*call
}

// model runs one scenario with one policy.
type model struct {
	scenario scenario
	events   eventHeap
	seq      int
	now      time.Duration
	random   *rand.Rand
	servers  []*modelServer
	send     func(*call)         // entry of the policy
	finish   func(*call, Result) // end of a call that was sent
	outcome  outcomes
}

// outcomes are the measured results.
type outcomes struct {
	offered, completed [priority.NumClasses]int                     // while the fault or flood lasts
	latency            [priority.NumClasses]*hdrhistogram.Histogram // whole run after the warm-up
	after              [priority.NumClasses]*hdrhistogram.Histogram // from 2 s after the end of a flood
	sentAfterSecond    int                                          // calls sent from 1 s after the start of the fault
	toFaulty           int                                          // of these, to server 0
}

func newModel(s scenario) *model {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(modelSeed, 0))}
	for i := range modelServers {
		m.servers = append(m.servers, &modelServer{index: i})
	}
	for c := range priority.NumClasses {
		m.outcome.latency[c] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		m.outcome.after[c] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	return m
}

func (m *model) at(t time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{t, m.seq, run})
}

func (m *model) clock() time.Time { return modelStart.Add(m.now) }

func (m *model) run() *outcomes {
	for _, c := range priority.Classes() {
		m.arrive(c)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	return &m.outcome
}

// arrive schedules the next arrival of a class, at the rate that holds now.
func (m *model) arrive(c priority.Class) {
	load := calmLoad[c]
	if m.faulty() && m.now < modelCalm && m.scenario.flood[c] > 0 {
		load = m.scenario.flood[c]
	}
	mean := meanService[c].Seconds() / (load * modelServers * modelSlots)
	next := m.now + time.Duration(m.random.ExpFloat64()*mean*float64(time.Second))
	if m.now < modelFault && next > modelFault {
		next = modelFault // the rate changes here; an exponential wait may be drawn anew
	}
	if next > modelEnd {
		return
	}
	arrival := &call{class: c, at: next, vm: m.random.IntN(modelVMs), deadline: next + callDeadline[c]}
	arrival.service = time.Duration(m.random.ExpFloat64() * float64(meanService[c]))
	m.at(next, func() {
		m.arrive(c)
		if m.faulty() && m.now < modelCalm {
			m.outcome.offered[c]++
		}
		m.send(arrival)
	})
}

func (m *model) faulty() bool { return m.now >= modelFault }

// start hands a call to a server, which runs it when one of its slots is free.
func (m *model) start(c *call, index int) {
	c.server, c.sent = m.servers[index], m.now
	if m.now >= modelFault+time.Second {
		m.outcome.sentAfterSecond++
		if index == 0 {
			m.outcome.toFaulty++
		}
	}
	m.at(max(c.deadline, m.now), func() { m.end(c, TimedOut) })
	c.server.queue = append(c.server.queue, c)
	m.serve(c.server)
}

func (m *model) serve(s *modelServer) {
	for s.busy < modelSlots && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if c.ended {
			continue
		}
		s.busy++
		c.running = true
		service, result := c.service, Success
		if s.index == 0 && m.faulty() && m.scenario.slow > 0 {
			service = time.Duration(float64(service) * m.scenario.slow)
		}
		if s.index == 0 && m.faulty() && m.scenario.failFast {
			service, result = time.Millisecond, Failed
		}
		m.at(m.now+service, func() { m.end(c, result) })
	}
}

// end finishes a call once, by its answer or by its deadline. A call that fails counts with its deadline as latency.
func (m *model) end(c *call, result ResultClass) {
	if c.ended {
		return
	}
	c.ended = true
	if c.running {
		c.server.busy--
	}
	latency := m.now - c.at
	if result != Success {
		latency = callDeadline[c.class]
	}
	m.record(c, latency, result == Success)
	m.finish(c, Result{Class: result, Latency: m.now - c.sent})
	m.serve(c.server)
}

func (m *model) record(c *call, latency time.Duration, completed bool) {
	if completed && c.at >= modelFault && c.at < modelCalm {
		m.outcome.completed[c.class]++
	}
	if c.at < modelWarmup {
		return
	}
	_ = m.outcome.latency[c.class].RecordValue(latency.Microseconds()) // within range: bounded by the deadline
	if c.at >= modelCalm+2*time.Second {
		_ = m.outcome.after[c.class].RecordValue(latency.Microseconds())
	}
}

// refuse counts a call that was not sent. After a flood it counts with its deadline as latency, so that a policy does
// not look recovered because it refuses.
func (m *model) refuse(c *call) {
	if c.at >= modelCalm+2*time.Second {
		_ = m.outcome.after[c.class].RecordValue(callDeadline[c.class].Microseconds()) // within range
	}
}

func modelFleet() []Server {
	servers := make([]Server, modelServers)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint(i), State: StateLive, Slots: modelSlots}
	}
	return servers
}

// withDispatcher lets one pool decide for all VMs.
func withDispatcher(m *model) {
	pool := NewPool(PoolOptions{Shares: modelShares})
	pool.Update(modelStart, modelFleet(), modelShares)
	index := map[string]int{}
	for i, s := range modelFleet() {
		index[s.ID] = i
	}
	calls := map[*Waiter]*call{}
	grant := func(w *Waiter, l *Lease, _ *problem.Problem) {
		c := calls[w]
		delete(calls, w)
		if l != nil {
			c.lease = l
			m.start(c, index[l.server.ID])
			return
		}
		m.refuse(c)
	}
	m.send = func(c *call) {
		w := &Waiter{Request: Request{Class: c.class, Deadline: modelStart.Add(c.deadline)}}
		if pool.Enqueue(m.clock(), w) == nil {
			calls[w] = c
			pool.Dispatch(m.clock(), grant)
			return
		}
		m.refuse(c)
	}
	m.finish = func(c *call, r Result) {
		pool.Finish(m.clock(), c.lease, r)
		pool.Dispatch(m.clock(), grant)
	}
	for t := sweepInterval; t <= modelEnd; t += sweepInterval {
		m.at(t, func() { pool.Sweep(m.clock(), grant); pool.Dispatch(m.clock(), grant) })
	}
}

// withBaseline lets each VM decide alone, from its own counts and from load reports that are up to a second old.
func withBaseline(policy func(vm int) Selection) func(*model) {
	return func(m *model) {
		var states [modelVMs][]*ServerState
		var policies [modelVMs]Selection
		var own [modelVMs][priority.NumClasses]latencies
		for vm := range modelVMs {
			policies[vm] = policy(vm)
			for _, s := range modelFleet() {
				states[vm] = append(states[vm], newServerState(modelStart, s))
			}
		}
		m.send = func(c *call) {
			c.state = policies[c.vm].Select(m.clock(), states[c.vm], &Request{Class: c.class})
			c.state.busy++
			for i, s := range states[c.vm] {
				if s == c.state {
					m.start(c, i)
				}
			}
		}
		m.finish = func(c *call, r Result) {
			c.state.busy--
			l := &own[c.vm][c.class]
			c.state.observe(l.slowness(r.Latency), r.Class != Success)
			l.recordMean(r.Latency)
		}
		for t := reportEvery; t <= modelEnd; t += reportEvery {
			m.at(t, func() {
				for vm := range modelVMs {
					for i, s := range m.servers {
						states[vm][i].report = LoadReport{Busy: s.busy, Queued: len(s.queue), At: m.clock()}
						if i == 0 && m.scenario.failFast {
							states[vm][i].report = LoadReport{At: m.clock()}
						}
					}
				}
			})
		}
	}
}
