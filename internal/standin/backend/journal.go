package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxExecutions bounds the journal. Later executions are counted as dropped.
const maxExecutions = 1 << 20

// Execution is one run of a request other than GET and HEAD. An entry exists as soon as the run has started.
type Execution struct {
	IdempotencyKey string `json:"idempotencyKey"`
	RequestID      string `json:"requestId"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	StartedAtMs    int64  `json:"startedAtMs"`
	// FinishedAtMs is 0 while the request runs.
	FinishedAtMs int64 `json:"finishedAtMs"`
	// Completed is false for a run that was cancelled.
	Completed bool `json:"completed"`
}

// Journal is the answer to GET /journal.
type Journal struct {
	Executions []Execution `json:"executions"`
	// Dropped counts executions beyond the journal's bound.
	Dropped int64 `json:"dropped"`
}

type journal struct {
	mu      sync.Mutex
	entries []Execution
	dropped int64
}

// start adds an execution and returns its index; -1 when the journal is full.
func (j *journal) start(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) >= maxExecutions {
		j.dropped++
		return -1
	}
	j.entries = append(j.entries, e)
	return len(j.entries) - 1
}

func (j *journal) finish(index int, now time.Time, completed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index >= 0 {
		j.entries[index].FinishedAtMs, j.entries[index].Completed = now.UnixMilli(), completed
	}
}

// list returns the executions with the key; all for an empty key.
func (j *journal) list(key string) Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	result := Journal{Executions: []Execution{}, Dropped: j.dropped}
	for _, e := range j.entries {
		if key == "" || e.IdempotencyKey == key {
			result.Executions = append(result.Executions, e)
		}
	}
	return result
}

// Stats is the answer to GET /stats. All counts are since the start.
type Stats struct {
	ServerID string `json:"serverId"`
	// Requests counts work requests, whatever became of them.
	Requests  int64 `json:"requests"`
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	// Cancelled counts requests whose connection closed while they were queued, stalled or running.
	Cancelled int64 `json:"cancelled"`
	Shed      int64 `json:"shed"`
	Expired   int64 `json:"expired"`
	Failed    int64 `json:"failed"`
	Stalled   int64 `json:"stalled"`
	Busy      int   `json:"busy"`
	Queued    int   `json:"queued"`
	// Connections are open now; ConnectionsHighest includes a connection that was then refused by the limit.
	Connections        int64 `json:"connections"`
	ConnectionsHighest int64 `json:"connectionsHighest"`
	ConnectionsTotal   int64 `json:"connectionsTotal"`
	ConnectionsRefused int64 `json:"connectionsRefused"`
	Probes             int64 `json:"probes"`
	ProbeMillis        int64 `json:"probeMs"`
	// ProbeBytes are the HTTP bytes of probes and their answers, without TCP/IP headers.
	ProbeBytes int64 `json:"probeBytes"`
}

type counters struct {
	requests, started, completed, cancelled, shed, expired, failed, stalled atomic.Int64

	connections, connectionsHighest, connectionsTotal, connectionsRefused atomic.Int64
	probes, probeBytes                                                    atomic.Int64
}

// connected counts a new connection and returns the number that is open with it.
func (c *counters) connected() int64 {
	open := c.connections.Add(1)
	c.connectionsTotal.Add(1)
	for {
		highest := c.connectionsHighest.Load()
		if open <= highest || c.connectionsHighest.CompareAndSwap(highest, open) {
			return open
		}
	}
}
