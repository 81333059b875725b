// Package eventlog writes klog's output to standard output without blocking the code that logs. Lines are kept in a bounded
// queue and their rate is limited. Lines above these limits are dropped, counted and reported in the log.
package eventlog

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines bounds the number of lines in the queue.
	maxQueuedLines = 1024
	// maxLinesPerSecond and maxLineBurst limit the rate of lines. Lines above it are dropped.
	maxLinesPerSecond = 400
	maxLineBurst      = 800
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

var droppedLines = metrics.NewCounter(`hornbeamway_log_lines_dropped_total`)

// Writer is an io.Writer that queues lines and never blocks. It is safe for concurrent use.
type Writer struct {
	queue   chan []byte
	limiter *rate.Limiter
	out     io.Writer

	mu sync.Mutex
	// unreported counts the lines dropped since the last report.
	unreported uint64
}

// NewWriter returns a Writer for out. Run must be called to write the lines.
func NewWriter(out io.Writer) *Writer {
	return &Writer{queue: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst), out: out}
}

// Write queues one line. It always returns success, because dropped lines are counted here.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

func (w *Writer) countDropped() {
	droppedLines.Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreported++
}

// Run writes lines until done is closed, and then the lines that are still queued.
func (w *Writer) Run(done <-chan struct{}) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-report.C:
			w.reportDropped()
		case <-done:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// writeLine ignores the error of the output, because there is nowhere else to report it.
func (w *Writer) writeLine(line []byte) { _, _ = w.out.Write(line) }

func (w *Writer) reportDropped() {
	w.mu.Lock()
	count := w.unreported
	w.unreported = 0
	w.mu.Unlock()
	if count > 0 {
		w.writeLine(fmt.Appendf(nil, "log lines dropped count=%d\n", count))
	}
}

// Start redirects klog to a Writer for standard output. The function that it returns writes the queued lines and stops the
// Writer.
func Start() (stop func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "one_output": "true",
		"stderrthreshold": "FATAL"} {
		// These are flags and values that klog defines, so Set cannot fail.
		_ = flags.Set(name, value)
	}
	w := NewWriter(os.Stdout)
	klog.SetOutput(w)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		w.Run(done)
	}()
	return func() {
		klog.Flush()
		close(done)
		<-stopped
	}
}
