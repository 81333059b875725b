// Package eventlog sends the lines of klog to standard output without ever blocking the code that writes them: lines wait
// in a bounded ring, their rate is limited, and those that do not fit are counted and told.
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
	// ringLines bounds the lines that wait to be written.
	ringLines = 1024
	// linesPerSecond and burstLines bound the volume. Lines above it are dropped.
	linesPerSecond = 400
	burstLines     = 800
	// reportInterval is how often the number of dropped lines is told.
	reportInterval = time.Second
)

var dropped = metrics.NewCounter(`hornbeamway_log_lines_dropped_total`)

// Writer is an io.Writer that never blocks.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	out     io.Writer

	mu      sync.Mutex
	missing uint64
}

// NewWriter returns a writer to out. Run writes the lines.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, ringLines), limiter: rate.NewLimiter(linesPerSecond, burstLines), out: out}
}

// Write takes one line. It always reports success, because a line that is dropped is counted here.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	dropped.Inc()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missing++
}

// Run writes lines until done is closed, then those that still wait.
func (w *Writer) Run(done <-chan struct{}) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-report.C:
			w.tellDropped()
		case <-done:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			w.tellDropped()
			return
		}
	}
}

// emit drops the error of the output: there is no other place to tell it.
func (w *Writer) emit(line []byte) { _, _ = w.out.Write(line) }

func (w *Writer) tellDropped() {
	w.mu.Lock()
	missing := w.missing
	w.missing = 0
	w.mu.Unlock()
	if missing > 0 {
		w.emit(fmt.Appendf(nil, "log lines dropped count=%d\n", missing))
	}
}

// Start sends klog's lines to standard output and returns a function that writes what waits and ends.
func Start() (stop func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "one_output": "true",
		"stderrthreshold": "FATAL"} {
		// The names and values are klog's own, so Set cannot fail.
		_ = flags.Set(name, value)
	}
	w := NewWriter(os.Stdout)
	klog.SetOutput(w)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(done)
	}()
	return func() {
		klog.Flush()
		close(done)
		<-ended
	}
}
