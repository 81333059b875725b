package logservice_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

func TestLogService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logservice")
}

const stream = "config"

var _ = Describe("the log service", func() {
	var (
		now     *clock.Manual
		service *logservice.Service
		client  *platformlog.Client
		address string
		ctx     context.Context
	)

	BeforeEach(func() {
		now = clock.NewManual(time.Unix(1_000_000, 0))
		service = logservice.New(logservice.Options{Clock: now, Seed: 1, Retention: time.Minute, MaxRecords: 5})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = ln.Addr().String()
		go func() { _ = service.Serve(ln) }()
		DeferCleanup(service.Close)
		client = platformlog.NewClient(address)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
	})

	post := func(body string) (int, string) {
		resp, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(text)
	}
	appendRecords := func(n int) {
		for range n {
			_, err := client.Append(ctx, stream, "x")
			Expect(err).NotTo(HaveOccurred())
		}
	}
	next := func() int64 { return service.Streams()[stream].Next }
	readInBackground := func(from int64, wait time.Duration) <-chan platformlog.Batch {
		result := make(chan platformlog.Batch, 1)
		go func() {
			defer GinkgoRecover()
			batch, err := client.Read(ctx, stream, from, wait)
			Expect(err).NotTo(HaveOccurred())
			result <- batch
		}()
		return result
	}

	// Guards against records that outlive their retention, and against a first offset that hides the gap.
	It("expires by count, by age and on demand", func() {
		appendRecords(7)
		batch, err := client.Read(ctx, stream, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(And(HaveField("First", int64(2)), HaveField("Next", int64(7)), HaveField("RetentionMillis", int64(60_000))))
		Expect(batch.Records).To(HaveLen(5))
		Expect(batch.Records[0].Offset).To(BeEquivalentTo(2))

		code, _ := post(`{"expire": {"stream": "config", "before": 4}}`)
		Expect(code).To(Equal(http.StatusOK))
		Expect(service.Streams()[stream].First).To(BeEquivalentTo(4))

		now.Advance(time.Minute + time.Millisecond)
		batch, err = client.Read(ctx, stream, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(And(HaveField("First", int64(7)), HaveField("Next", int64(7)), HaveField("Records", BeEmpty())))
	})

	// Guards against a long poll that misses an append or never ends.
	It("wakes a long poll by an append and ends it by its wait", func() {
		result := readInBackground(0, 2*time.Second)
		Eventually(now.Waiters).Should(Equal(1))
		Consistently(result, "50ms").ShouldNot(Receive())
		appendRecords(1)
		Eventually(result).Should(Receive(HaveField("Records", HaveLen(1))))

		result = readInBackground(1, 2*time.Second)
		Eventually(now.Waiters).Should(Equal(2))
		now.Advance(2 * time.Second)
		Eventually(result).Should(Receive(And(HaveField("Records", BeEmpty()), HaveField("Next", int64(1)))))
	})

	// Guards against faults that take effect on the wrong side: an append that is refused must not be kept, and one
	// whose answer is lost must be.
	It("plays the faults of appends", func() {
		_, _ = post(`{"down": true}`)
		_, err := client.Append(ctx, stream, "x")
		Expect(err).To(MatchError(platformlog.ErrUnavailable))
		Expect(next()).To(BeZero())

		_, text := post(`{"down": false, "lostAnswers": 2}`)
		Expect(text).To(ContainSubstring(`"lostAnswers":2`))
		for i := range int64(2) {
			_, err = client.Append(ctx, stream, "x")
			Expect(err).To(MatchError(platformlog.ErrUnknownAppend))
			Expect(next()).To(Equal(i + 1))
		}
		appendRecords(1)
		Expect(service.Faults().LostAnswers).To(BeZero())

		_, _ = post(`{"lostAnswerProbability": 1}`)
		_, err = client.Append(ctx, stream, "x")
		Expect(err).To(MatchError(platformlog.ErrUnknownAppend))
		Expect(next()).To(BeEquivalentTo(4))
	})

	// Guards against an outage that still answers, and against held requests that take effect afterwards.
	It("never answers while unreachable", func() {
		_, _ = post(`{"unreachable": true}`)
		result := make(chan error, 1)
		go func() {
			_, err := client.Append(ctx, stream, "x")
			result <- err
		}()
		Consistently(result, "100ms").ShouldNot(Receive())
		_, _ = post(`{"unreachable": false}`)
		Eventually(result).Should(Receive(MatchError(platformlog.ErrUnknownAppend)))
		Expect(next()).To(BeZero())
	})

	// Guards against a slow fault that delays only one kind of request.
	It("delays reads and appends", func() {
		_, _ = post(`{"delayMs": 500}`)
		result := readInBackground(0, 0)
		go func() { _, _ = client.Append(ctx, "other", "x") }()
		Eventually(now.Waiters).Should(Equal(2))
		Expect(result).NotTo(Receive())
		now.Advance(500 * time.Millisecond)
		Eventually(result).Should(Receive())
		Eventually(func() int64 { return service.Streams()["other"].Next }).Should(BeEquivalentTo(1))
	})

	// Guards against a rate that counts the running second, or appends of long ago.
	It("shows appends per second", func() {
		appendRecords(20)
		Expect(service.Streams()[stream].AppendedPerSecond).To(BeZero())
		now.Advance(time.Second)
		Expect(service.Streams()[stream].AppendedPerSecond).To(Equal(2.0))
		now.Advance(10 * time.Second)
		Expect(service.Streams()[stream].AppendedPerSecond).To(BeZero())
	})

	// Guards against a misspelt fault that is silently not switched.
	DescribeTable("refuses faulty switches", func(body string) {
		code, _ := post(body)
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(service.Faults()).To(Equal(logservice.Faults{}))
	},
		Entry("unknown field", `{"dwon": true}`),
		Entry("negative delay", `{"delayMs": -1}`),
		Entry("probability above 1", `{"lostAnswerProbability": 1.5}`),
	)

	// Guards against a Close that waits for a long poll or a held request.
	It("ends held requests on Close", func(SpecContext) {
		go func() { _, _ = client.Read(ctx, stream, 0, time.Minute) }()
		Eventually(now.Waiters).Should(Equal(1))
		Expect(service.Close()).To(Succeed())
	}, NodeTimeout(5*time.Second))
})
