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

// output is a reader of the log that can stop reading.
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
	// Guards against requests that wait for whoever reads the log, and against a flood of lines that says nothing of its gaps.
	It("never blocks, bounds the volume and tells how many lines were dropped", func() {
		out := &output{}
		out.mu.Lock()
		w := eventlog.NewWriter(out)
		done, ended := make(chan struct{}), make(chan struct{})
		go func() { defer close(ended); w.Run(done) }()
		began := time.Now()
		for range 5000 {
			n, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(5))
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		out.mu.Unlock()
		close(done)
		<-ended
		lines := out.lines()
		Expect(len(lines)).To(BeNumerically("<", 1500))
		Expect(lines[len(lines)-1]).To(HavePrefix("log lines dropped count="))
	})

	It("writes what waits before it ends", func() {
		out := &output{}
		w := eventlog.NewWriter(out)
		_, _ = w.Write([]byte("last\n"))
		done := make(chan struct{})
		close(done)
		w.Run(done)
		Expect(out.lines()).To(Equal([]string{"last"}))
	})
})
