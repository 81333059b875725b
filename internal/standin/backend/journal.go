package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxExecutions is the maximum number of journal entries. Later executions are only counted as dropped.
const maxExecutions = 1 << 20

// Execution records one run of a request whose method is neither GET nor HEAD. It is added when the run starts.
type Execution struct {
	IdempotencyKey string `json:"idempotencyKey"`
	RequestID      string `json:"requestId"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	StartedAtMs    int64  `json:"startedAtMs"`
	// FinishedAtMs is 0 while the request is running.
	FinishedAtMs int64 `json:"finishedAtMs"`
	// Completed is false while the request is running and if it was cancelled.
	Completed bool `json:"completed"`
}

// Journal is the response to GET /journal.
type Journal struct {
	Executions []Execution `json:"executions"`
	// Dropped counts the executions that exceeded the journal's capacity.
	Dropped int64 `json:"dropped"`
}

// journal records executions. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	entries []Execution
	dropped int64
}

// start adds an execution and returns its index, or -1 if the journal is full.
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

// finish records the end of the execution at index. A negative index is ignored.
func (j *journal) finish(index int, now time.Time, completed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index >= 0 {
		j.entries[index].FinishedAtMs, j.entries[index].Completed = now.UnixMilli(), completed
	}
}

// list returns the executions with an idempotency key, or all executions if the key is empty.
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

// Stats is the response to GET /stats. Counts are cumulative since the start of the server.
type Stats struct {
	ServerID string `json:"serverId"`
	// Requests counts work requests, regardless of their outcome.
	Requests  int64 `json:"requests"`
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	// Cancelled counts requests whose connection was closed while they were queued, stalled or running.
	Cancelled int64 `json:"cancelled"`
	Shed      int64 `json:"shed"`
	Expired   int64 `json:"expired"`
	Failed    int64 `json:"failed"`
	Stalled   int64 `json:"stalled"`
	Busy      int   `json:"busy"`
	Queued    int   `json:"queued"`
	// Connections is the number of open connections. ConnectionsHighest is its maximum, which includes a connection that
	// was then refused because of the limit.
	Connections        int64 `json:"connections"`
	ConnectionsHighest int64 `json:"connectionsHighest"`
	ConnectionsTotal   int64 `json:"connectionsTotal"`
	ConnectionsRefused int64 `json:"connectionsRefused"`
	Probes             int64 `json:"probes"`
	ProbeMillis        int64 `json:"probeMs"`
	// ProbeBytes counts the HTTP bytes of probes and their responses, without TCP/IP headers.
	ProbeBytes int64 `json:"probeBytes"`
}

// counters are the counters behind Stats.
type counters struct {
	requests, started, completed, cancelled, shed, expired, failed, stalled atomic.Int64

	connections, connectionsHighest, connectionsTotal, connectionsRefused atomic.Int64
	probes, probeBytes                                                    atomic.Int64
}

// connectionOpened counts a new connection and returns the number of open connections including it.
func (c *counters) connectionOpened() int64 {
	open := c.connections.Add(1)
	c.connectionsTotal.Add(1)
	for {
		highest := c.connectionsHighest.Load()
		if open <= highest || c.connectionsHighest.CompareAndSwap(highest, open) {
			return open
		}
	}
}
