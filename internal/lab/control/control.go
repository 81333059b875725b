// Package control measures what idle entry VMs spend for control: bytes by part, processor time and memory.
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
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// The budget of one VM for control.
const (
	budgetBytes  = 2000.0
	budgetCores  = 0.034
	budgetMemory = 64e6
)

// maxProcesses bounds the child processes of one system.
const maxProcesses = 100

// Options configure a measurement.
type Options struct {
	// Cluster is the system; its number of entry VMs is replaced. Its backend servers are left out except one of each
	// service per data centre, because probes have a budget of their own.
	Cluster cluster.Options
	// Sizes are the numbers of entry VMs.
	Sizes []int
	// Settle is the time before the measured Duration.
	Settle, Duration time.Duration
	// Rate is the number of lookups per second over all VMs during the measured time; 0: the VMs are idle.
	Rate float64
	Out  io.Writer
}

// Sample is the mean over the VMs of one size.
type Sample struct {
	VMs int
	// Parts are bytes per second, sent plus received, by part.
	Parts map[string]float64
	// Bytes and MaxBytes are the sum of the parts: the mean VM and the one that spends most.
	Bytes, MaxBytes float64
	// Cores is processor seconds per second; Memory is the resident memory in bytes.
	Cores, MaxCores, Memory, MaxMemory float64
	// Appends is the log's appends per second in all streams.
	Appends float64
	// PerCall is the processor time in microseconds that all VMs together spend per answered call, control included.
	PerCall float64
}

// Run measures each size and prints the table with the slope per VM.
func Run(ctx context.Context, o Options) error {
	var samples []Sample
	for _, n := range o.Sizes {
		s, err := measure(ctx, o, n)
		if err != nil {
			return errors.Wrapf(err, "%d entry VMs", n)
		}
		samples = append(samples, s)
	}
	return write(o.Out, samples)
}

func measure(ctx context.Context, o Options, n int) (Sample, error) {
	o.Cluster.Topology.EntryVMs = n
	if p := o.Cluster.Topology.Processes(); p > maxProcesses {
		return Sample{}, errors.Wrapf(cluster.ErrTopology, "%d processes, at most %d are allowed", p, maxProcesses)
	}
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return Sample{}, err
	}
	defer c.Close()
	if err := wait(ctx, o.Settle); err != nil {
		return Sample{}, err
	}
	before, err := scrapeAll(c)
	if err != nil {
		return Sample{}, err
	}
	appended, err := c.Appended()
	if err != nil {
		return Sample{}, err
	}
	calls, err := pass(ctx, o, c.CallerAddresses())
	if err != nil {
		return Sample{}, err
	}
	after, err := scrapeAll(c)
	if err != nil {
		return Sample{}, err
	}
	appendedAfter, err := c.Appended()
	if err != nil {
		return Sample{}, err
	}
	s := reduce(before, after)
	if calls > 0 {
		s.PerCall = 1e6 * s.Cores * float64(n) * o.Duration.Seconds() / float64(calls)
	}
	s.Appends = float64(appendedAfter-appended) / o.Duration.Seconds()
	return s, c.CheckMemory()
}

// pass lets the measured time pass and returns the number of calls that were answered in it.
func pass(ctx context.Context, o Options, callers []string) (calls int64, err error) {
	if o.Rate <= 0 {
		return 0, wait(ctx, o.Duration)
	}
	report, err := load.Run(ctx, load.Options{
		Targets: lo.Map(callers, func(address string, _ int) load.Target { return load.Target{Address: address} }),
		Streams: []load.Stream{{Name: "lookups", Class: priority.Interactive, Method: http.MethodGet, Path: "/catalogue/",
			Rate: o.Rate, Deadline: 2 * time.Second}},
		Duration: o.Duration,
	})
	if err != nil {
		return 0, err
	}
	return int64(report.Streams[0].Completed * float64(report.Streams[0].Requests)), ctx.Err()
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// scrape is what one VM's metrics said at one time.
type scrape struct {
	at            time.Time
	parts         map[string]float64
	cores, memory float64
}

func scrapeAll(c *cluster.Cluster) (map[string]scrape, error) {
	all := map[string]scrape{}
	for _, vm := range c.VMs() {
		text, err := vm.Metrics()
		if err != nil {
			return nil, err
		}
		all[vm.ID] = parse(string(text), time.Now())
	}
	return all, nil
}

// parse reads the metrics in the text format of Prometheus.
func parse(text string, at time.Time) scrape {
	s := scrape{at: at, parts: map[string]float64{}}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		number, err := strconv.ParseFloat(value, 64)
		switch {
		case !ok || err != nil:
		case name == "process_cpu_seconds_total":
			s.cores = number
		case name == "process_resident_memory_bytes":
			s.memory = number
		case strings.HasPrefix(name, "hornbeamway_control_bytes_total{"):
			_, rest, _ := strings.Cut(name, `part="`)
			part, _, _ := strings.Cut(rest, `"`)
			s.parts[part] += number
		}
	}
	return s
}

// reduce takes the mean and the highest rate over the VMs.
func reduce(before, after map[string]scrape) Sample {
	s := Sample{VMs: len(after), Parts: map[string]float64{}}
	n := float64(len(after))
	for id, a := range after {
		b := before[id]
		seconds := a.at.Sub(b.at).Seconds()
		sum := 0.0
		for part, value := range a.parts {
			rate := (value - b.parts[part]) / seconds
			s.Parts[part] += rate / n
			sum += rate
		}
		cores := (a.cores - b.cores) / seconds
		s.Bytes, s.MaxBytes = s.Bytes+sum/n, max(s.MaxBytes, sum)
		s.Cores, s.MaxCores = s.Cores+cores/n, max(s.MaxCores, cores)
		s.Memory, s.MaxMemory = s.Memory+a.memory/n, max(s.MaxMemory, a.memory)
	}
	return s
}

// row is one line of the table.
type row struct {
	name   string
	value  func(Sample) float64
	format string
	budget float64
}

func rows(samples []Sample) []row {
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

func write(out io.Writer, samples []Sample) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "entry VMs\t"
	for _, s := range samples {
		header += strconv.Itoa(s.VMs) + "\t"
	}
	_, _ = fmt.Fprintln(w, header+"slope per VM\tbudget\t")
	sizes := lo.Map(samples, func(s Sample, _ int) float64 { return float64(s.VMs) })
	for _, r := range rows(samples) {
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

// leastSquares returns the slope of the line with the least squared distances.
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
