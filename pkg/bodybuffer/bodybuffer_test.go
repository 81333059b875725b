package bodybuffer_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/bodybuffer"
)

const (
	budgetLimit = 100_000
	bufferLimit = 60_000
)

// Guards against a body that is taken as whole although it is not, or that is larger than its limit.
func TestFill(t *testing.T) {
	for _, test := range []struct {
		name         string
		sent, length int
		read         int
		complete     bool
		err          error
	}{
		{"an empty body", 0, 0, 0, true, nil},
		{"a body of known length", 50_000, 50_000, 50_000, true, nil},
		{"the known length only", 50_000, 40_000, 40_000, true, nil},
		{"a body of unknown length", 50_000, -1, 50_000, true, nil},
		{"an empty body of unknown length", 0, -1, 0, true, nil},
		{"the beginning of a body that is too large", 80_000, 80_000, bufferLimit, false, nil},
		{"the beginning of a body of unknown length that is too large", 80_000, -1, bufferLimit, false, nil},
		{"a body that breaks off", 30_000, 50_000, 30_000, false, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			budget := bodybuffer.NewBudget(budgetLimit, &metrics.Counter{})
			b := budget.NewBuffer()
			complete, err := b.Fill(iotest.HalfReader(strings.NewReader(strings.Repeat("x", test.sent))), test.length, bufferLimit)
			if test.err == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(test.err))
			}
			g.Expect(complete).To(Equal(test.complete))
			g.Expect(b.Bytes()).To(HaveLen(test.read))
			b.Release()
			g.Expect(budget.UsedForTest()).To(BeZero())
		})
	}
}

// Guards against memory beyond the budget, and against a sender that takes memory for bytes which it only announces.
func TestBudget(t *testing.T) {
	g := NewWithT(t)
	exhausted := &metrics.Counter{}
	budget := bodybuffer.NewBudget(budgetLimit, exhausted)
	var announced []*bodybuffer.Buffer
	for range 3 {
		b := budget.NewBuffer()
		_, err := b.Fill(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrNoProgress)), bufferLimit, bufferLimit)
		g.Expect(err).To(MatchError(io.ErrNoProgress))
		announced = append(announced, b)
	}
	g.Expect(exhausted.Get()).To(BeZero())
	b := budget.NewBuffer()
	complete, err := b.Fill(bytes.NewReader(make([]byte, bufferLimit)), bufferLimit, bufferLimit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeFalse())
	g.Expect(exhausted.Get()).To(BeEquivalentTo(1))
	g.Expect(budget.UsedForTest()).To(BeNumerically("<=", budgetLimit))
	b.Release()
	for _, b := range announced {
		b.Release()
	}
	g.Expect(budget.UsedForTest()).To(BeZero())
}

// Guards against memory that is given back while one of its holders still uses it, or more than once.
func TestReleaseByTheLastHolder(t *testing.T) {
	g := NewWithT(t)
	budget := bodybuffer.NewBudget(budgetLimit, &metrics.Counter{})
	b := budget.NewBuffer()
	g.Expect(b.Grow(bufferLimit)).To(BeTrue())
	var holders sync.WaitGroup
	for range 8 {
		b.Retain()
		holders.Go(b.Release)
	}
	holders.Wait()
	g.Expect(budget.UsedForTest()).To(BeEquivalentTo(bufferLimit))
	r := b.Reader()
	g.Expect(r.Close()).To(Succeed())
	g.Expect(r.Close()).To(Succeed())
	g.Expect(budget.UsedForTest()).To(BeZero())
}
