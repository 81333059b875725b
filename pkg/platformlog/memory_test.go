package platformlog_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

func TestPlatformLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformlog")
}

// Guards against differences between the faults of Memory and those of the service, which would invalidate the tests that
// use Memory.
var _ = Describe("Memory", func() {
	var (
		manualClock *clock.Manual
		log         *platformlog.Memory
		ctx         = context.Background()
	)
	BeforeEach(func() {
		manualClock = clock.NewManual(time.Unix(1000, 0))
		log = platformlog.NewMemory(manualClock)
	})
	read := func(from int64) platformlog.Batch {
		b, err := log.Read(ctx, "s", from, 0)
		Expect(err).NotTo(HaveOccurred())
		return b
	}

	It("separates streams and counts offsets from 0", func() {
		Expect(log.Append(ctx, "s", 1)).To(BeEquivalentTo(0))
		Expect(log.Append(ctx, "s", 2)).To(BeEquivalentTo(1))
		Expect(log.Append(ctx, "t", 3)).To(BeEquivalentTo(0))
		Expect(read(1).Records).To(HaveLen(1))
		Expect(read(0).Next).To(BeEquivalentTo(2))
		Expect(read(7).Records).To(BeEmpty())
	})
	It("refuses all requests in an outage, and a refused append has no effect", func() {
		log.SetDown(true)
		_, err := log.Append(ctx, "s", 1)
		Expect(errors.Is(err, platformlog.ErrUnavailable)).To(BeTrue())
		_, err = log.Read(ctx, "s", 0, 0)
		Expect(errors.Is(err, platformlog.ErrUnavailable)).To(BeTrue())
		log.SetDown(false)
		Expect(read(0).Records).To(BeEmpty())
	})
	It("loses the response to an append that took effect", func() {
		log.LoseResponses(1)
		_, err := log.Append(ctx, "s", 1)
		Expect(errors.Is(err, platformlog.ErrUnknownAppend)).To(BeTrue())
		Expect(read(0).Records).To(HaveLen(1))
	})
	It("applies an append whose context ended during a delay", func() {
		log.SetDelay(time.Second)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err := log.Append(cancelled, "s", 1)
		Expect(errors.Is(err, platformlog.ErrUnknownAppend)).To(BeTrue())
		log.SetDelay(0)
		Expect(read(0).Records).To(HaveLen(1))
	})
	It("removes records by retention and on demand without changing the offsets", func() {
		log.SetRetention(time.Minute)
		for i := range 3 {
			Expect(log.Append(ctx, "s", i)).To(BeEquivalentTo(i))
		}
		log.Expire("s", 1)
		Expect(read(0).First).To(BeEquivalentTo(1))
		Expect(read(0).Records[0].Offset).To(BeEquivalentTo(1))
		manualClock.Advance(2 * time.Minute)
		Expect(read(0).First).To(BeEquivalentTo(3))
		Expect(read(0).Next).To(BeEquivalentTo(3))
	})
	It("answers a long poll after an append, at its timeout and in an outage", func() {
		results := make(chan error, 1)
		var batch platformlog.Batch
		poll := func() {
			go func() {
				var err error
				batch, err = log.Read(ctx, "s", batch.Next, 2*time.Second)
				results <- err
			}()
			Eventually(manualClock.PendingTimers).Should(BeNumerically(">", 0))
		}
		poll()
		Expect(log.Append(ctx, "s", 1)).To(BeEquivalentTo(0))
		Eventually(results).Should(Receive(BeNil()))
		Expect(batch.Records).To(HaveLen(1))
		manualClock.Advance(3 * time.Second)
		poll()
		manualClock.Advance(2 * time.Second)
		Eventually(results).Should(Receive(BeNil()))
		Expect(batch.Records).To(BeEmpty())
		poll()
		log.SetDown(true)
		Eventually(results).Should(Receive(MatchError(platformlog.ErrUnavailable)))
	})
})
