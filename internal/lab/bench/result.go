// Package bench measures whole systems on the loopback interface: added latency, scenarios with faults and floods, and the memory
// that the transfer of a large body needs.
package bench

import (
	"encoding/json"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

// ErrBench reports that a measurement failed.
var ErrBench = errors.New("measurement failed")

// Note is part of every result, because other programs run on the machine during the measurement.
const Note = "measured on a shared machine; generator, stand-ins and entry VMs share its cores"

// Result is the content of a result file. Sections that were not measured are empty.
type Result struct {
	Note         string     `json:"note"`
	At           time.Time  `json:"at"`
	Cores        int        `json:"cores"`
	Seed         uint64     `json:"seed"`
	AddedLatency []Added    `json:"added,omitempty"`
	Scenarios    []Scenario `json:"scenarios,omitempty"`
	Bodies       []Body     `json:"bodies,omitempty"`
}

// NewResult returns an empty result.
func NewResult(seed uint64) *Result {
	return &Result{Note: Note, At: time.Now(), Cores: runtime.NumCPU(), Seed: seed}
}

// Write writes the result to a file as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the result")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o644), "write the result file")
}

// Read reads a result file.
func Read(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the result file")
	}
	r := &Result{}
	return r, errors.Wrap(json.Unmarshal(data, r), "decode the result file")
}

// Added is the added latency at one offered rate.
type Added struct {
	// RatePerCore and Rate are the offered rate in calls per second, per core of the machine and in total.
	RatePerCore float64 `json:"ratePerCore"`
	Rate        float64 `json:"rate"`
	Arms        []Arm   `json:"arms"`
}

// Arm is the result of one arm of the measurement: direct calls to the backend servers, or calls through one entry VM.
type Arm struct {
	Name string `json:"name"`
	// Runs holds the latency of each of the interleaved runs.
	Runs []load.Latency `json:"runs"`
	// P50 and P99 are the medians over the runs; AddedP50 and AddedP99 are their differences to the direct arm.
	P50      float64 `json:"p50Ms"`
	P99      float64 `json:"p99Ms"`
	AddedP50 float64 `json:"addedP50Ms"`
	AddedP99 float64 `json:"addedP99Ms"`
	// Completed is the lowest share of answered calls of the runs.
	Completed float64 `json:"completedShare"`
	// CPUMicros is the processor time per call in microseconds of the entry VM that receives the calls, and OtherCPUMicros that
	// of all other entry VMs, which use it when calls are forwarded to a dispatcher.
	CPUMicros      float64 `json:"cpuMicrosPerCall"`
	OtherCPUMicros float64 `json:"otherCpuMicrosPerCall"`
}

// Scenario is the result of one scenario.
type Scenario struct {
	Name        string         `json:"name"`
	Description string         `json:"description"`
	Seconds     float64        `json:"seconds"`
	Streams     []load.Summary `json:"streams"`
	Classes     []load.Summary `json:"classes"`
	// WrongAnswers counts responses that belong to another request or are corrupted.
	WrongAnswers  int64    `json:"wrongAnswers"`
	WrongExamples []string `json:"wrongExamples,omitempty"`
	// Violations are the violated guarantees of operations, and Orders is the number of operations.
	Violations load.Violations `json:"violations"`
	Orders     int             `json:"orders"`
	Probes     Probes          `json:"probes"`
	// Connections describes the server that used the highest share of its connection limit.
	Connections Connections `json:"connections"`
	// Retries, RetriesRefused and Hedges count additional attempts by the entry VMs; Refusals counts their problem responses by
	// reason.
	Retries        float64            `json:"retries"`
	RetriesRefused float64            `json:"retriesRefused"`
	Hedges         float64            `json:"hedges"`
	Refusals       map[string]float64 `json:"refusals"`
}

// Probes is the cost of probes per backend server and second: the mean over all servers and the maximum of one server.
type Probes struct {
	MeanBytes  float64 `json:"meanBytesPerSecond"`
	MaxBytes   float64 `json:"maxBytesPerSecond"`
	MeanMillis float64 `json:"meanMsPerSecond"`
	MaxMillis  float64 `json:"maxMsPerSecond"`
}

// Connections is the highest number of open connections of a server, compared with its limit.
type Connections struct {
	Server  string `json:"server"`
	Highest int64  `json:"highest"`
	Limit   int    `json:"limit"`
	// Refused counts the connections refused because of the limits, summed over all servers.
	Refused int64 `json:"refused"`
}

// Body is the result of Concurrent simultaneous transfers of a large body.
type Body struct {
	Bytes      int64   `json:"bytes"`
	Concurrent int     `json:"concurrent"`
	Seconds    float64 `json:"seconds"`
	VMs        []VM    `json:"vms"`
}

// VM is the resident memory of an entry VM process in bytes, before the transfers and at its peak during them.
type VM struct {
	ID     string `json:"id"`
	Before int64  `json:"beforeBytes"`
	Peak   int64  `json:"peakBytes"`
}

// Options holds the common options of all measurements.
type Options struct {
	Cluster cluster.Options
	Seed    uint64
	// Duration and WarmUp are the measured time and the warm-up time of one run.
	Duration, WarmUp time.Duration
	// KeepLogs is a directory that receives the settings and logs of each scenario. Empty: none.
	KeepLogs string
	// Progress is called with a line of text for each finished run.
	Progress func(format string, args ...any)
}
