package eventlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/eventlog"
)

func TestEventlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventlog")
}

// output records the log. Writes to it block while a test holds mu.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

var _ = Describe("Writer", func() {
	// Guards against requests that block on a slow reader of the log, and against dropped lines that are not reported.
	It("never blocks, limits the rate of lines and reports the number of dropped ones", func() {
		out := &output{}
		out.mu.Lock()
		w := eventlog.NewWriter(out)
		done, stopped := make(chan struct{}), make(chan struct{})
		go func() { defer close(stopped); w.Run(done) }()
		started := time.Now()
		for range 5000 {
			n, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(5))
		}
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		out.mu.Unlock()
		close(done)
		<-stopped
		lines := out.lines()
		Expect(len(lines)).To(BeNumerically("<", 1500))
		Expect(lines[len(lines)-1]).To(HavePrefix("log lines dropped count="))
	})

	// Guards against losing the last lines of a process that stops.
	It("writes the queued lines before it stops", func() {
		out := &output{}
		w := eventlog.NewWriter(out)
		_, _ = w.Write([]byte("last\n"))
		done := make(chan struct{})
		close(done)
		w.Run(done)
		Expect(out.lines()).To(Equal([]string{"last"}))
	})
})
