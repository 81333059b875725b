package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

const (
	// statementTTL is how long a statement applies at least to whichever start has made it.
	statementTTL = 30 * time.Second
	// maxClockError is the largest difference between the clocks of a server and of the VM in the model, maxStep the longest time
	// between two of its steps, and maxLateness that after the exit of a server in which its last responses may arrive.
	maxClockError = 900 * time.Millisecond
	maxStep       = time.Second
	maxLateness   = time.Second
	modelSteps    = 600
	modelSeeds    = 1000
)

// modelStart is one start of the server in restartModel.
type modelStart struct {
	record   directory.Server
	leaving  bool
	exited   bool
	exitedAt time.Time
	// statedAt is the time at which the VM has first heard from this start that it is leaving; zero: never.
	statedAt time.Time
	// identified is true if the VM knew the record of this start when it sent the request. The statement then applies for good.
	identified bool
}

// modelRequest is a request that the start received, and the record with which the VM has sent it.
type modelRequest struct {
	start *modelStart
	sent  directory.Server
}

// restartModel is a server that starts again and again under one id, and a VM whose record of it is late.
type restartModel struct {
	random   *rand.Rand
	balancer *balance.Balancer
	now      time.Time
	// start is the present or the last start. written holds the records in the store, of which the VM has applied those before read.
	start    *modelStart
	written  []directory.Server
	read     int
	inFlight []modelRequest
	// quietSince is the last time at which any statement was recorded.
	quietSince time.Time
	sent       int
}

func newRestartModel(seed uint64) *restartModel {
	m := &restartModel{random: rand.New(rand.NewPCG(seed, seed)), balancer: newBalancer(), now: start}
	m.begin()
	return m
}

// begin starts the server.
func (m *restartModel) begin() {
	clockError := time.Duration(m.random.Int64N(int64(2*maxClockError))) - maxClockError
	record := *server("x", "a1", "a")
	record.Incarnation = m.now.Add(clockError).UnixMilli()
	m.start = &modelStart{record: record}
	m.write()
}

// write writes the record of the server to the store.
func (m *restartModel) write() {
	m.start.record.Revision = int64(len(m.written)) + 1
	m.written = append(m.written, m.start.record)
}

func (m *restartModel) listed() *directory.Server { return &m.written[m.read-1] }

// readStore applies some of the records that the VM has not read yet.
func (m *restartModel) readStore() {
	m.read += m.random.IntN(len(m.written) - m.read + 1)
	if m.read > 0 {
		listed := *m.listed()
		m.balancer.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {&listed}}})
	}
}

// send sends a request to the server if the balancer allows it, and returns an error if the server must not get it.
func (m *restartModel) send() error {
	choice, ok := m.balancer.Pick(lookup, m.now)
	if !ok || m.start.exited {
		return nil
	}
	m.sent++
	if stated := m.start.statedAt; !stated.IsZero() && (m.start.identified || m.now.Sub(stated) < statementTTL) {
		return fmt.Errorf("a request reaches the server %v after it has stated that it is leaving", m.now.Sub(stated))
	}
	m.inFlight = append(m.inFlight, modelRequest{start: m.start, sent: *choice.Server})
	return nil
}

// respond delivers the response to one request. Those of a start that has exited arrive soon or never.
func (m *restartModel) respond() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.random.IntN(len(m.inFlight))
	r := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	if r.start.exited && m.now.Sub(r.start.exitedAt) > maxLateness {
		return
	}
	s := balance.Statement{Leaving: r.start.leaving}
	if m.random.IntN(4) == 0 {
		s.RetryAfter = "1.5"
	}
	m.balancer.RecordStatement(&r.sent, s, m.now)
	if s.Leaving {
		if r.start.statedAt.IsZero() {
			r.start.statedAt = m.now
		}
		r.start.identified = r.start.identified || r.sent.Incarnation == r.start.record.Incarnation
	}
	m.quietSince = m.now
}

// peerReport is the report of a peer VM, with the same record, that the server is leaving.
func (m *restartModel) peerReport() {
	if m.read > 0 && m.start.leaving && !m.start.exited && m.listed().Incarnation == m.start.record.Incarnation {
		m.balancer.RecordPeerLeaving(balance.ServerKeyOf(m.listed()), m.now)
		m.quietSince = m.now
	}
}

// checkNewStart returns an error if a server that is not leaving gets no requests although all statements are old.
func (m *restartModel) checkNewStart() error {
	running := !m.start.exited && !m.start.leaving && m.read > 0 && m.listed().Incarnation == m.start.record.Incarnation
	if !running || m.now.Sub(m.quietSince) < statementTTL {
		return nil
	}
	if _, ok := m.balancer.Pick(lookup, m.now); !ok {
		return fmt.Errorf("a server gets no requests %v after the last statement", m.now.Sub(m.quietSince))
	}
	return nil
}

func (m *restartModel) step() error {
	m.now = m.now.Add(time.Duration(m.random.Int64N(int64(maxStep))))
	switch m.random.IntN(12) {
	case 0:
		m.readStore()
	case 1:
		if !m.start.exited {
			m.write()
		}
	case 2:
		m.start.leaving = m.start.leaving || m.random.IntN(3) == 0
	case 3:
		switch {
		case m.start.exited:
			m.begin()
		case m.start.leaving && m.random.IntN(5) == 0:
			m.start.exited, m.start.exitedAt = true, m.now
		}
	case 4:
		m.peerReport()
	case 5, 6:
		m.respond()
	case 7:
		// Time passes.
		m.now = m.now.Add(time.Duration(m.random.IntN(3)) * 10 * time.Second)
	default:
		return m.send()
	}
	return m.checkNewStart()
}

// TestStatementsOfRestartedServers guards against requests to a server that has stated that it is leaving, in any order of restarts,
// late records, late responses and reports of peer VMs, and against servers that are avoided for good because an earlier start of
// them has left.
func TestStatementsOfRestartedServers(t *testing.T) {
	sent := 0
	for seed := range uint64(modelSeeds) {
		m := newRestartModel(seed)
		for i := range modelSteps {
			if err := m.step(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, i, err)
			}
		}
		sent += m.sent
	}
	t.Logf("%d requests", sent)
}
