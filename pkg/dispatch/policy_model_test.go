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

// Parameters of the discrete-event model of one pool that compares selection policies. Arrivals form an open loop with a fixed
// seed; latency is measured from the intended arrival. Network delays are not modelled.
const (
	modelSeed       = 20261204
	modelServers    = 20
	modelSlots      = 3
	modelVMs        = 16
	modelWarmup     = 2 * time.Second
	modelFaultStart = 3 * time.Second  // start of the fault or flood
	modelFloodEnd   = 8 * time.Second  // end of a flood
	modelEnd        = 13 * time.Second // end of the arrivals
	reportInterval  = time.Second
)

var (
	modelStart   = time.Unix(1_000_000, 0)
	modelShares  = priority.Shares{0.5, 0.3, 0.1}
	normalLoad   = [priority.NumClasses]float64{0.48, 0.28, 0.09} // fractions of the capacity; 85% in total
	meanService  = [priority.NumClasses]time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond}
	callDeadline = [priority.NumClasses]time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second}
)

// scenario is a fault from modelFaultStart to the end, or a flood from modelFaultStart to modelFloodEnd.
type scenario struct {
	name     string
	slowdown float64 // factor of the service time of server 0
	failFast bool    // server 0 returns errors after 1 ms and reports no load
	flood    [priority.NumClasses]float64
}

var scenarios = []scenario{
	{name: "calm"},
	{name: "straggler", slowdown: 20},
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
	class       priority.Class
	arrival     time.Duration
	sentAt      time.Duration
	serviceTime time.Duration
	vm          int
	server      *modelServer
	running     bool
	ended       bool
	lease       *Lease
	state       *ServerState
	deadline    time.Duration
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
	send     func(*call)         // submits a call to the policy
	finish   func(*call, Result) // reports the end of a sent call to the policy
	results  modelResults
}

// modelResults are the measured results of a run.
type modelResults struct {
	offered, completed [priority.NumClasses]int                     // of calls that arrived from modelFaultStart to modelFloodEnd
	latency            [priority.NumClasses]*hdrhistogram.Histogram // of calls that arrived after the warm-up
	afterFlood         [priority.NumClasses]*hdrhistogram.Histogram // of calls that arrived from 2 s after the end of a flood
	sentDuringFault    int                                          // calls sent from 1 s after the start of the fault
	sentToFaulty       int                                          // of these, calls to server 0
}

func newModel(s scenario) *model {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(modelSeed, 0))}
	for i := range modelServers {
		m.servers = append(m.servers, &modelServer{index: i})
	}
	for c := range priority.NumClasses {
		m.results.latency[c] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		m.results.afterFlood[c] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	return m
}

func (m *model) schedule(t time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{t, m.seq, run})
}

func (m *model) clock() time.Time { return modelStart.Add(m.now) }

func (m *model) run() *modelResults {
	for _, c := range priority.Classes() {
		m.scheduleArrival(c)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	return &m.results
}

// scheduleArrival schedules the next arrival of a class, at the current rate.
func (m *model) scheduleArrival(c priority.Class) {
	load := normalLoad[c]
	if m.faultStarted() && m.now < modelFloodEnd && m.scenario.flood[c] > 0 {
		load = m.scenario.flood[c]
	}
	mean := meanService[c].Seconds() / (load * modelServers * modelSlots)
	next := m.now + time.Duration(m.random.ExpFloat64()*mean*float64(time.Second))
	if m.now < modelFaultStart && next > modelFaultStart {
		next = modelFaultStart // the rate changes here; exponential waits are memoryless, so a new one is drawn
	}
	if next > modelEnd {
		return
	}
	arrival := &call{class: c, arrival: next, vm: m.random.IntN(modelVMs), deadline: next + callDeadline[c]}
	arrival.serviceTime = time.Duration(m.random.ExpFloat64() * float64(meanService[c]))
	m.schedule(next, func() {
		m.scheduleArrival(c)
		if m.faultStarted() && m.now < modelFloodEnd {
			m.results.offered[c]++
		}
		m.send(arrival)
	})
}

func (m *model) faultStarted() bool { return m.now >= modelFaultStart }

// startCall sends a call to a server, which runs it when one of its slots is free.
func (m *model) startCall(c *call, index int) {
	c.server, c.sentAt = m.servers[index], m.now
	if m.now >= modelFaultStart+time.Second {
		m.results.sentDuringFault++
		if index == 0 {
			m.results.sentToFaulty++
		}
	}
	m.schedule(max(c.deadline, m.now), func() { m.endCall(c, TimedOut) })
	c.server.queue = append(c.server.queue, c)
	m.runQueued(c.server)
}

func (m *model) runQueued(s *modelServer) {
	for s.busy < modelSlots && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if c.ended {
			continue
		}
		s.busy++
		c.running = true
		serviceTime, result := c.serviceTime, Success
		if s.index == 0 && m.faultStarted() && m.scenario.slowdown > 0 {
			serviceTime = time.Duration(float64(serviceTime) * m.scenario.slowdown)
		}
		if s.index == 0 && m.faultStarted() && m.scenario.failFast {
			serviceTime, result = time.Millisecond, Failed
		}
		m.schedule(m.now+serviceTime, func() { m.endCall(c, result) })
	}
}

// endCall ends a call once, at its response or at its deadline. A failed call is recorded with its full deadline as latency.
func (m *model) endCall(c *call, result ResultClass) {
	if c.ended {
		return
	}
	c.ended = true
	if c.running {
		c.server.busy--
	}
	latency := m.now - c.arrival
	if result != Success {
		latency = callDeadline[c.class]
	}
	m.record(c, latency, result == Success)
	m.finish(c, Result{Class: result, Latency: m.now - c.sentAt})
	m.runQueued(c.server)
}

func (m *model) record(c *call, latency time.Duration, completed bool) {
	if completed && c.arrival >= modelFaultStart && c.arrival < modelFloodEnd {
		m.results.completed[c.class]++
	}
	if c.arrival < modelWarmup {
		return
	}
	_ = m.results.latency[c.class].RecordValue(latency.Microseconds()) // within range: bounded by the deadline
	if c.arrival >= modelFloodEnd+2*time.Second {
		_ = m.results.afterFlood[c.class].RecordValue(latency.Microseconds())
	}
}

// refuse records a call that was not sent. After a flood it is recorded with its full deadline as latency, so that a policy
// does not appear to have recovered because it refuses calls.
func (m *model) refuse(c *call) {
	if c.arrival >= modelFloodEnd+2*time.Second {
		_ = m.results.afterFlood[c.class].RecordValue(callDeadline[c.class].Microseconds()) // within range
	}
}

func modelServerList() []Server {
	servers := make([]Server, modelServers)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint(i), State: StateLive, Slots: modelSlots}
	}
	return servers
}

// withDispatcher uses one pool to select the servers for all VMs.
func withDispatcher(m *model) {
	pool := NewPool(PoolOptions{Shares: modelShares})
	pool.Update(modelStart, modelServerList(), modelShares)
	index := map[string]int{}
	for i, s := range modelServerList() {
		index[s.ID] = i
	}
	calls := map[*Waiter]*call{}
	answer := func(w *Waiter, l *Lease, _ *problem.Problem) {
		c := calls[w]
		delete(calls, w)
		if l != nil {
			c.lease = l
			m.startCall(c, index[l.server.ID])
			return
		}
		m.refuse(c)
	}
	m.send = func(c *call) {
		w := &Waiter{Request: Request{Class: c.class, Deadline: modelStart.Add(c.deadline)}}
		if pool.Enqueue(m.clock(), w) == nil {
			calls[w] = c
			pool.Dispatch(m.clock(), answer)
			return
		}
		m.refuse(c)
	}
	m.finish = func(c *call, r Result) {
		pool.Finish(m.clock(), c.lease, r)
		pool.Dispatch(m.clock(), answer)
	}
	for t := sweepInterval; t <= modelEnd; t += sweepInterval {
		m.schedule(t, func() { pool.Sweep(m.clock(), answer); pool.Dispatch(m.clock(), answer) })
	}
}

// withBaseline makes each VM select servers on its own, from its own counts and load reports that are up to 1 s old.
func withBaseline(policy func(vm int) Selection) func(*model) {
	return func(m *model) {
		var states [modelVMs][]*ServerState
		var policies [modelVMs]Selection
		var stats [modelVMs][priority.NumClasses]latencyStats
		for vm := range modelVMs {
			policies[vm] = policy(vm)
			for _, s := range modelServerList() {
				states[vm] = append(states[vm], newServerState(modelStart, s))
			}
		}
		m.send = func(c *call) {
			c.state = policies[c.vm].Select(m.clock(), states[c.vm], &Request{Class: c.class})
			c.state.busy++
			for i, s := range states[c.vm] {
				if s == c.state {
					m.startCall(c, i)
				}
			}
		}
		m.finish = func(c *call, r Result) {
			c.state.busy--
			l := &stats[c.vm][c.class]
			c.state.observe(l.relativeServiceTime(r.Latency), r.Class != Success)
			l.recordMean(r.Latency)
		}
		for t := reportInterval; t <= modelEnd; t += reportInterval {
			m.schedule(t, func() {
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
