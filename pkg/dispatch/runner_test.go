package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

func init() { testsupport.FixRapid("20261204", "") }

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var (
	start  = time.Unix(1_000_000, 0)
	shares = priority.Shares{0.5, 0.3, 0.1}
)

func fleet(n, slots int) []dispatch.Server {
	servers := make([]dispatch.Server, n)
	for i := range servers {
		servers[i] = dispatch.Server{ID: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Service: "orders", Region: "r", DataCentre: "d1", State: dispatch.StateLive, Slots: slots}
	}
	return servers
}

func reasonOf(err error) problem.Reason {
	var p *problem.Problem
	if !errors.As(err, &p) || p.Outcome != problem.NotRun || p.RetryAfter <= 0 {
		return "not a refusal with Retry-After"
	}
	return p.Reason
}

var _ = Describe("Registry", func() {
	var (
		manual   *clock.Manual
		registry *dispatch.Registry
		request  = dispatch.Request{Service: "orders"}
	)
	BeforeEach(func() {
		manual = clock.NewManual(start)
		registry = dispatch.NewRegistry(manual, "d1")
		registry.Update(fleet(1, 1), shares)
		DeferCleanup(func() { registry.Stop() })
	})
	acquire := func(ctx context.Context, r dispatch.Request) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := registry.Acquire(ctx, r)
			done <- err
		}()
		return done
	}
	waitUntilQueued := func(n int) {
		Eventually(manual.PendingTimers).Should(BeNumerically(">=", n))
	}

	// Guards against a refusal that the proxy cannot distinguish from a call that was run.
	It("refuses an unknown service as not run", func() {
		_, err := registry.Acquire(context.Background(), dispatch.Request{Service: "none"})
		Expect(reasonOf(err)).To(Equal(problem.ReasonNoServer))
	})

	// Guards against a waiting request that gets no slot when one becomes free, and a slot that is released twice.
	It("grants a released slot to the next waiting request once", func() {
		slot, err := registry.Acquire(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		second, third := acquire(context.Background(), request), acquire(context.Background(), request)
		slot.Release(dispatch.Result{Latency: time.Millisecond})
		slot.Release(dispatch.Result{Latency: time.Millisecond})
		Eventually(func() int { return len(second) + len(third) }).Should(Equal(1))
		Consistently(func() int { return len(second) + len(third) }, 50*time.Millisecond).Should(Equal(1))
	})

	// Guards against a slot granted to a request whose caller has disconnected.
	It("leaves the queue when the context ends", func() {
		slot, _ := registry.Acquire(context.Background(), request)
		ctx, cancel := context.WithCancel(context.Background())
		waiting := acquire(ctx, request)
		waitUntilQueued(1)
		cancel()
		Expect(reasonOf(<-waiting)).To(Equal(problem.ReasonCancelled))
		slot.Release(dispatch.Result{Latency: time.Millisecond})
		next, err := registry.Acquire(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Server().ID).To(Equal("s0"))
	})

	// Guards against a request that waits beyond its deadline when no slot becomes free.
	It("refuses a waiting request at its deadline", func() {
		_, _ = registry.Acquire(context.Background(), request)
		waiting := acquire(context.Background(), dispatch.Request{Service: "orders", Deadline: start.Add(10 * time.Millisecond)})
		waitUntilQueued(1)
		manual.Advance(20 * time.Millisecond)
		Expect(reasonOf(<-waiting)).To(Equal(problem.ReasonDeadline))
	})

	// Guards against slots and replies that are lost or delivered twice when callers cancel while they are granted a slot.
	It("loses no slot when callers cancel at any time", func() {
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 300 {
					ctx, cancel := context.WithCancel(context.Background())
					go cancel()
					if slot, err := registry.Acquire(ctx, request); err == nil {
						slot.Release(dispatch.Result{Latency: time.Millisecond})
					}
				}
			})
		}
		callers.Wait()
		for _, runner := range registry.Runners() {
			Expect(runner.ServerStates()).To(HaveEach(HaveField("Busy()", 0)))
		}
		slot, err := registry.Acquire(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(dispatch.Result{})
	})

	// Guards against callers that block forever at a planned stop.
	It("refuses waiting requests when it stops", func() {
		_, _ = registry.Acquire(context.Background(), request)
		waiting := acquire(context.Background(), request)
		waitUntilQueued(1)
		registry.Stop()
		Expect(reasonOf(<-waiting)).To(Equal(problem.ReasonDraining))
	})
})

// BenchmarkAcquireRelease measures Acquire and Release through the goroutine of the pool, with one caller per processor.
func BenchmarkAcquireRelease(b *testing.B) {
	registry := dispatch.NewRegistry(clock.System{}, "d1")
	registry.Update(fleet(20, 1000), shares)
	defer registry.Stop()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := registry.Acquire(context.Background(), dispatch.Request{Service: "orders"})
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(dispatch.Result{Latency: time.Millisecond})
		}
	})
}
