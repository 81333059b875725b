package load_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

var _ = Describe("Run", func() {
	// Guards against a generator that loses requests or counts checks that it did not make.
	It("counts every request once and checks the answers", func(ctx SpecContext) {
		s, target := server(time.Millisecond)
		bytes := load.Stream{Name: "bytes", Class: priority.Bulk, Method: "GET", Path: "/b/bytes/100000", Rate: 50, Fixed: true}
		r, err := load.Run(ctx, options(target, views(200), orders(100), bytes))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Wrong).To(BeZero())
		total := int64(0)
		for _, stream := range r.Streams {
			Expect(stream.Outcomes).To(Equal(map[load.Outcome]int64{load.Answered: stream.Requests}), stream.Name)
			Expect(stream.Latency.Count).To(Equal(stream.Requests))
			total += stream.Requests
		}
		Expect(total).To(Equal(s.Stats().Completed))
		Expect(total).To(Equal(int64(59 + 29 + 14)))
		Expect(r.Orders).To(HaveLen(29))
		Expect(r.Class(priority.Bulk).Requests).To(Equal(int64(14)))
	}, SpecTimeout(10*time.Second))

	// Guards against latencies that leave out the time in which a slow system kept the generator from sending.
	It("counts latency from the intended time, whatever is in flight", func(ctx SpecContext) {
		s, target := server(time.Millisecond)
		Expect(s.SetFaults(backend.Faults{Slow: 150})).To(Succeed())
		r, err := load.Run(ctx, options(target, views(100)))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams[0].Requests).To(Equal(int64(29)))
		Expect(r.Streams[0].Latency.P50).To(BeNumerically(">=", 149))
	}, SpecTimeout(10*time.Second))

	// Guards against arrivals that differ between two runs with the same seed.
	It("sends as many Poisson arrivals for the same seed", func(ctx SpecContext) {
		_, target := server(time.Millisecond)
		counts := func(seed uint64) int64 {
			stream := views(400)
			stream.Fixed = false
			o := options(target, stream)
			o.Seed = seed
			r, err := load.Run(ctx, o)
			Expect(err).NotTo(HaveOccurred())
			return r.Streams[0].Requests
		}
		Expect(counts(3)).To(Equal(counts(3)))
		Expect(counts(3)).NotTo(Equal(counts(4)))
	}, SpecTimeout(10*time.Second))

	// Guards against a balancer that gives up, or loses the request, at an entry VM that is gone.
	It("moves on after a refused connection", func(ctx SpecContext) {
		_, target := server(time.Millisecond)
		o := options(target, views(100))
		o.Targets = append(o.Targets, load.Target{Address: closedAddress()})
		r, err := load.Run(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams[0].Completed).To(Equal(1.0))
		o.Targets = o.Targets[1:]
		r, err = load.Run(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams[0].Outcomes).To(Equal(map[load.Outcome]int64{load.NotSent: 29}))
	}, SpecTimeout(10*time.Second))

	// Guards against retries with another key, and against a lost answer that is counted as answered.
	It("retries an order whose answer was lost with the same key", func(ctx SpecContext) {
		s, target := server(time.Millisecond)
		Expect(s.SetFaults(backend.Faults{DropAnswers: 1})).To(Succeed())
		r, err := load.Run(ctx, options(target, orders(20)))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams[0].Retries).To(Equal(int64(1)))
		runs := &cluster.Runs{}
		runs.Add("s1", s.Journal(""))
		// The backend server itself does not know keys, so the retry is a duplicate that Verify must find.
		Expect(load.Verify(r.Orders, runs).Duplicates).To(HaveLen(1))
	}, SpecTimeout(10*time.Second))

	// Guards against damaged bodies that count as answered.
	It("does not count a body that is cut short", func(ctx SpecContext) {
		s, target := server(time.Millisecond)
		Expect(s.SetFaults(backend.Faults{Truncate: true, TruncateBytes: 5000})).To(Succeed())
		r, err := load.Run(ctx, options(target, load.Stream{Name: "bytes", Method: "GET", Path: "/b/bytes/100000", Rate: 10, Fixed: true}))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams[0].Outcomes).To(Equal(map[load.Outcome]int64{load.Lost: 2}))
	}, SpecTimeout(10*time.Second))

	DescribeTable("refuses options that cannot be used", func(ctx SpecContext, change func(*load.Options)) {
		o := options(load.Target{Address: "127.0.0.1:1"}, views(1))
		change(&o)
		_, err := load.Run(ctx, o)
		Expect(err).To(MatchError(load.ErrOptions))
	},
		Entry("no targets", func(o *load.Options) { o.Targets = nil }),
		Entry("no streams", func(o *load.Options) { o.Streams = nil }),
		Entry("negative rate", func(o *load.Options) { o.Streams[0].Rate = -1 }),
		Entry("relative path", func(o *load.Options) { o.Streams[0].Path = "x" }),
		Entry("unknown keys", func(o *load.Options) { o.Streams[0].Keys = "other" }),
	)
})

// answering serves every request with the same handler.
func answering(handler fasthttp.RequestHandler) load.Target {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &fasthttp.Server{Handler: handler}
	go func() { _ = s.Serve(ln) }()
	DeferCleanup(s.Shutdown)
	return load.Target{Address: ln.Addr().String()}
}

var _ = Describe("checks", func() {
	echo := func(change func(*fasthttp.RequestCtx)) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			for _, name := range []string{backend.HeaderNonce, backend.HeaderRequestID} {
				ctx.Response.Header.SetBytesV(name, ctx.Request.Header.Peek(name))
			}
			ctx.SetBodyString(`{"requestId":"other"}`)
			change(ctx)
		}
	}
	// Guards against answers of another request, or damaged ones, that pass as answered (invariant 2).
	DescribeTable("classify", func(ctx SpecContext, path string, change func(*fasthttp.RequestCtx), want load.Outcome) {
		stream := views(10)
		stream.Path = path
		r, err := load.Run(ctx, options(answering(echo(change)), stream))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams[0].Outcomes).To(Equal(map[load.Outcome]int64{want: 2}))
		if want == load.Wrong {
			Expect(r.Wrong).To(Equal(int64(2)))
			Expect(r.WrongExamples).To(HaveLen(2))
		}
	},
		Entry("another request's body", "/x/", func(*fasthttp.RequestCtx) {}, load.Wrong),
		Entry("another nonce", "/b/bytes/0", func(c *fasthttp.RequestCtx) { c.Response.Header.Set(backend.HeaderNonce, "x") }, load.Wrong),
		Entry("no bytes wanted, some given", "/b/bytes/0", func(*fasthttp.RequestCtx) {}, load.Wrong),
		Entry("other content", "/b/bytes/3", func(c *fasthttp.RequestCtx) { c.SetBodyString("abc") }, load.Wrong),
		Entry("too short", "/b/bytes/3", func(c *fasthttp.RequestCtx) { c.SetBody([]byte{0, 1}) }, load.Wrong),
		Entry("right content", "/b/bytes/3", func(c *fasthttp.RequestCtx) { c.SetBody([]byte{0, 1, 2}) }, load.Answered),
		Entry("server error", "/x/", func(c *fasthttp.RequestCtx) { c.SetStatusCode(500) }, load.Failed),
		Entry("problem not run", "/x/", func(c *fasthttp.RequestCtx) {
			problem.Write(&c.Response, problem.New(503, problem.NotRun, problem.ReasonQueueFull, ""))
		}, load.NotRun),
		Entry("problem unknown", "/x/", func(c *fasthttp.RequestCtx) {
			problem.Write(&c.Response, problem.New(504, problem.Unknown, problem.ReasonDeadline, ""))
		}, load.Unknown),
		Entry("problem without outcome", "/x/", func(c *fasthttp.RequestCtx) {
			problem.Write(&c.Response, &problem.Problem{Status: 503})
		}, load.Wrong),
		Entry("no answer", "/x/", func(c *fasthttp.RequestCtx) { _ = c.Conn().Close() }, load.Lost),
	)
})

var _ = Describe("Verify", func() {
	// Guards against broken promises that the demo would report as kept.
	It("finds orders that ran although their caller was told otherwise, and answers without a run", func() {
		runs := &cluster.Runs{}
		runs.Add("s", backend.Journal{Executions: []backend.Execution{{IdempotencyKey: "a"}, {IdempotencyKey: "b"}, {IdempotencyKey: "c"}}})
		v := load.Verify([]load.Order{
			{Key: "a", Outcome: load.NotRun}, {Key: "b", Outcome: load.Unknown}, {Key: "c", Outcome: load.Answered},
			{Key: "d", Outcome: load.Answered}, {Key: "e", Outcome: load.NotRun}, {Key: "f", Outcome: load.Lost},
		}, runs)
		Expect(v.Duplicates).To(BeEmpty())
		Expect(v.RanButNotRun).To(HaveLen(1))
		Expect(v.AnsweredButMissing).To(HaveLen(1))
		Expect(v.Count()).To(Equal(2))
	})
})
