// Package control measures the control overhead of entry VMs, idle or with a given rate of lookups: bytes by part of the
// control traffic, processor time and memory.
package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Control budget of one VM: bytes per second, sent plus received, processor cores and bytes of resident memory.
const (
	budgetBytes  = 2000.0
	budgetCores  = 0.034
	budgetMemory = 64e6
)

// maxProcesses bounds the child processes of one measured cluster.
const maxProcesses = 100

// Options configures a measurement.
type Options struct {
	// Cluster configures the measured cluster; its number of entry VMs is overridden by Sizes. It should have only one backend
	// server of each service per data centre, because probes have a separate budget.
	Cluster cluster.Options
	// Sizes lists the numbers of entry VMs to measure.
	Sizes []int
	// Settle is the time between the start of the cluster and the measured time. Duration is the measured time.
	Settle, Duration time.Duration
	// Rate is the number of lookups per second over all VMs during the measured time; 0: the VMs are idle.
	Rate float64
	Out  io.Writer
}

// Sample is the result for one size. Values without Max in their name are means over the VMs unless stated otherwise.
type Sample struct {
	VMs int
	// Parts holds the bytes per second, sent plus received, by part of the control traffic.
	Parts map[string]float64
	// Bytes and MaxBytes are the sum over the parts: the mean and the highest value of a VM.
	Bytes, MaxBytes float64
	// Cores is the processor time in seconds per second; Memory is the resident memory in bytes.
	Cores, MaxCores, Memory, MaxMemory float64
	// Appends is the number of appends per second to all streams of the log service.
	Appends float64
	// PerCall is the processor time in microseconds that all VMs together use per answered call, including control traffic.
	PerCall float64
}

// Run measures each size and writes a table with the slope of each value per VM.
func Run(ctx context.Context, o Options) error {
	var samples []Sample
	for _, entryVMs := range o.Sizes {
		s, err := measure(ctx, o, entryVMs)
		if err != nil {
			return errors.Wrapf(err, "measure with %d entry VMs", entryVMs)
		}
		samples = append(samples, s)
	}
	return writeTable(o.Out, samples)
}

func measure(ctx context.Context, o Options, entryVMs int) (Sample, error) {
	o.Cluster.Topology.EntryVMs = entryVMs
	if count := o.Cluster.Topology.Processes(); count > maxProcesses {
		return Sample{}, errors.Wrapf(cluster.ErrTopology, "%d processes, at most %d are allowed", count, maxProcesses)
	}
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return Sample{}, err
	}
	defer c.Close()
	if !pause.Sleep(ctx, o.Settle) {
		return Sample{}, ctx.Err()
	}
	before, err := scrapeVMs(c)
	if err != nil {
		return Sample{}, err
	}
	appendsBefore, err := c.Appended()
	if err != nil {
		return Sample{}, err
	}
	answered, err := runLoad(ctx, o, c.CallerAddresses())
	if err != nil {
		return Sample{}, err
	}
	after, err := scrapeVMs(c)
	if err != nil {
		return Sample{}, err
	}
	appendsAfter, err := c.Appended()
	if err != nil {
		return Sample{}, err
	}
	s := aggregate(before, after)
	if answered > 0 {
		s.PerCall = 1e6 * s.Cores * float64(entryVMs) * o.Duration.Seconds() / float64(answered)
	}
	s.Appends = float64(appendsAfter-appendsBefore) / o.Duration.Seconds()
	return s, c.CheckMemory()
}

// runLoad waits for the measured time, with a load if o.Rate is positive, and returns the number of answered calls.
func runLoad(ctx context.Context, o Options, addresses []string) (answered int64, err error) {
	if o.Rate <= 0 {
		if !pause.Sleep(ctx, o.Duration) {
			return 0, ctx.Err()
		}
		return 0, nil
	}
	report, err := load.Run(ctx, load.Options{
		Targets: lo.Map(addresses, func(address string, _ int) load.Target { return load.Target{Address: address} }),
		Streams: []load.Stream{{Name: "lookups", Class: priority.Interactive, Method: http.MethodGet, Path: "/catalogue/",
			Rate: o.Rate, Deadline: 2 * time.Second}},
		Duration: o.Duration,
	})
	if err != nil {
		return 0, err
	}
	return int64(report.Streams[0].Completed * float64(report.Streams[0].Requests)), ctx.Err()
}

// scrape holds the metrics of one VM at one time.
type scrape struct {
	at                      time.Time
	parts                   map[string]float64
	cpuSeconds, memoryBytes float64
}

func scrapeVMs(c *cluster.Cluster) (map[string]scrape, error) {
	scrapes := map[string]scrape{}
	for _, vm := range c.VMs() {
		text, err := vm.Metrics()
		if err != nil {
			return nil, err
		}
		scrapes[vm.ID] = parseMetrics(string(text), time.Now())
	}
	return scrapes, nil
}

// parseMetrics parses metrics in the Prometheus text format.
func parseMetrics(text string, at time.Time) scrape {
	s := scrape{at: at, parts: map[string]float64{}}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		parsed, err := strconv.ParseFloat(value, 64)
		switch {
		case !ok || err != nil:
		case name == "process_cpu_seconds_total":
			s.cpuSeconds = parsed
		case name == "process_resident_memory_bytes":
			s.memoryBytes = parsed
		case strings.HasPrefix(name, "hornbeamway_control_bytes_total{"):
			_, fromPart, _ := strings.Cut(name, `part="`)
			part, _, _ := strings.Cut(fromPart, `"`)
			s.parts[part] += parsed
		}
	}
	return s
}

// aggregate computes the mean and the highest values over the VMs from the scrapes before and after the measured time.
func aggregate(before, after map[string]scrape) Sample {
	s := Sample{VMs: len(after), Parts: map[string]float64{}}
	n := float64(len(after))
	for id, last := range after {
		first := before[id]
		elapsed := last.at.Sub(first.at).Seconds()
		total := 0.0
		for part, value := range last.parts {
			rate := (value - first.parts[part]) / elapsed
			s.Parts[part] += rate / n
			total += rate
		}
		cores := (last.cpuSeconds - first.cpuSeconds) / elapsed
		s.Bytes, s.MaxBytes = s.Bytes+total/n, max(s.MaxBytes, total)
		s.Cores, s.MaxCores = s.Cores+cores/n, max(s.MaxCores, cores)
		s.Memory, s.MaxMemory = s.Memory+last.memoryBytes/n, max(s.MaxMemory, last.memoryBytes)
	}
	return s
}

// row is one row of the table. A budget of 0 means none.
type row struct {
	name   string
	value  func(Sample) float64
	format string
	budget float64
}

func tableRows(samples []Sample) []row {
	parts := lo.Uniq(lo.FlatMap(samples, func(s Sample, _ int) []string { return lo.Keys(s.Parts) }))
	slices.Sort(parts)
	table := lo.Map(parts, func(part string, _ int) row {
		return row{part + " B/s", func(s Sample) float64 { return s.Parts[part] }, "%.1f", 0}
	})
	return append(table,
		row{"sum B/s", func(s Sample) float64 { return s.Bytes }, "%.0f", budgetBytes},
		row{"sum of the highest VM B/s", func(s Sample) float64 { return s.MaxBytes }, "%.0f", budgetBytes},
		row{"% of a core", func(s Sample) float64 { return 100 * s.Cores }, "%.2f", 100 * budgetCores},
		row{"% of a core, highest VM", func(s Sample) float64 { return 100 * s.MaxCores }, "%.2f", 100 * budgetCores},
		row{"resident MB", func(s Sample) float64 { return s.Memory / 1e6 }, "%.1f", budgetMemory / 1e6},
		row{"resident MB, highest VM", func(s Sample) float64 { return s.MaxMemory / 1e6 }, "%.1f", budgetMemory / 1e6},
		row{"processor us per call", func(s Sample) float64 { return s.PerCall }, "%.0f", 0},
		row{"log appends/s, all VMs", func(s Sample) float64 { return s.Appends }, "%.2f", 0})
}

func writeTable(out io.Writer, samples []Sample) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "entry VMs\t"
	for _, s := range samples {
		header += strconv.Itoa(s.VMs) + "\t"
	}
	_, _ = fmt.Fprintln(w, header+"slope per VM\tbudget\t")
	sizes := lo.Map(samples, func(s Sample, _ int) float64 { return float64(s.VMs) })
	for _, r := range tableRows(samples) {
		values := lo.Map(samples, func(s Sample, _ int) float64 { return r.value(s) })
		line := r.name + "\t"
		for _, v := range values {
			line += fmt.Sprintf(r.format, v) + "\t"
		}
		slope, budget := "-", "-"
		if len(samples) > 1 {
			slope = fmt.Sprintf("%+.3f", leastSquares(sizes, values))
		}
		if r.budget > 0 {
			budget = fmt.Sprintf(r.format, r.budget)
		}
		_, _ = fmt.Fprintln(w, line+slope+"\t"+budget+"\t")
	}
	return errors.Wrap(w.Flush(), "write table")
}

// leastSquares returns the slope of the linear least-squares fit of y over x.
func leastSquares(x, y []float64) float64 {
	n := float64(len(x))
	meanX, meanY := lo.Sum(x)/n, lo.Sum(y)/n
	var xy, xx float64
	for i := range x {
		xy += (x[i] - meanX) * (y[i] - meanY)
		xx += (x[i] - meanX) * (x[i] - meanX)
	}
	return xy / xx
}
