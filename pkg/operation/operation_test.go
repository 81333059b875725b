package operation_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

func TestOperation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operation")
}

const testSecret = "0123456789abcdef"

var (
	testStart = time.Unix(1_800_000_000, 0)
	testSelf  = operation.Self{VM: "e1", Incarnation: 7, Forward: netip.MustParseAddrPort("10.0.0.1:8001")}
)

func newSingle(c *clock.Manual) *operation.Coordinator {
	return operation.NewCoordinator(operation.Options{Clock: c, Codec: operation.NewCodec(testSecret), Self: testSelf,
		Ledger: operation.NewLedger(c.Now()), Ranges: operation.SingleVM{Self: testSelf}})
}

var _ = Describe("tickets", func() {
	codec := operation.NewCodec(testSecret)
	ticket := operation.Ticket{VM: "e1", Incarnation: 1<<63 + 5, Forward: netip.MustParseAddrPort("[::1]:8001"), Index: 9, Expiry: 300000}

	// Guards against a ticket that is forwarded to a VM other than its issuer.
	It("preserves every field", func() {
		text, err := codec.Encode(ticket)
		Expect(err).NotTo(HaveOccurred())
		Expect(operation.ValidKey(text)).To(BeTrue())
		Expect(codec.Parse(text)).To(Equal(ticket))
	})

	// Guards against a VM that runs a ticket which another party created or modified.
	It("rejects every changed character, every truncation and another secret", func() {
		text, _ := codec.Encode(ticket)
		for i := range text {
			changed := []byte(text)
			changed[i] ^= 1
			_, err := codec.Parse(string(changed))
			Expect(err).To(Or(MatchError(operation.ErrTicketSignatureInvalid), MatchError(operation.ErrTicketMalformed)),
				"character %d", i)
			_, err = codec.Parse(text[:i])
			Expect(err).To(Or(MatchError(operation.ErrTicketSignatureInvalid), MatchError(operation.ErrTicketMalformed)),
				"length %d", i)
		}
		_, err := operation.NewCodec(testSecret + "x").Parse(text)
		Expect(err).To(MatchError(operation.ErrTicketSignatureInvalid))
	})

	// Guards against a ticket that is run after its entry may have expired, or by a restarted issuer.
	It("is run only by its issuer and only within its lifetime", func() {
		c := clock.NewManual(testStart)
		issuer := operation.NewIssuer(codec, c, testSelf)
		text, _ := issuer.Issue()
		t, _ := codec.Parse(text)
		Expect(issuer.Check(t, c.Now().Add(operation.TicketLifetime-time.Millisecond))).To(Succeed())
		Expect(issuer.Check(t, c.Now().Add(operation.TicketLifetime))).To(MatchError(operation.ErrTicketExpired))
		other := testSelf
		other.Incarnation++
		Expect(operation.NewIssuer(codec, c, other).Check(t, c.Now())).To(MatchError(operation.ErrTicketOtherIssuer))
	})
})

var _ = Describe("Coordinator on one VM", func() {
	var (
		c *clock.Manual
		o *operation.Coordinator
	)
	BeforeEach(func() {
		c = clock.NewManual(testStart)
		o = newSingle(c)
	})
	begin := func(key string, fingerprint uint64) (*operation.Entry, operation.Verdict) {
		return o.Begin(c.Now(), key, fingerprint, time.Time{})
	}

	// Guards against a second run of a key in each state of its first run.
	DescribeTable("returns the verdict for a repeated key", func(end func(e *operation.Entry), fingerprint uint64, want operation.Verdict) {
		ticket, _ := o.Issue()
		for _, key := range []string{"own-key", ticket} {
			e, v := begin(key, 1)
			Expect(v).To(Equal(operation.Run))
			end(e)
			_, v = begin(key, fingerprint)
			Expect(v).To(Equal(want))
		}
	},
		Entry("running", func(*operation.Entry) {}, uint64(1), operation.InProgress),
		Entry("done", func(e *operation.Entry) { o.Finish(e, operation.Response{Status: 200, Body: []byte("x")}) }, uint64(1), operation.Replay),
		Entry("done, large", func(e *operation.Entry) {
			o.Finish(e, operation.Response{Body: make([]byte, 64<<10+1)})
		}, uint64(1), operation.ResponseNotStored),
		Entry("unknown", func(e *operation.Entry) { o.MarkUnknown(e) }, uint64(1), operation.Unknown),
		Entry("unknown, then proved not run", func(e *operation.Entry) { o.MarkUnknown(e); o.MarkNotRun(e) }, uint64(1), operation.Unknown),
		Entry("proved not run", func(e *operation.Entry) { o.MarkNotRun(e) }, uint64(1), operation.Run),
		Entry("other request", func(e *operation.Entry) { o.Finish(e, operation.Response{Status: 200}) }, uint64(2), operation.Conflict),
	)

	// Guards against an entry that is removed before its window ends, also after a long time without calls.
	It("retains an entry for its whole window and not much longer", func() {
		c.Advance(1000 * time.Second)
		e, _ := begin("k", 1)
		c.Advance(operation.MemoryWindow * 2)
		_, v := begin("k", 1)
		Expect(v).To(Equal(operation.InProgress), "a running entry does not expire")
		c.Advance(1000 * time.Second)
		o.Finish(e, operation.Response{Status: 200})
		c.Advance(operation.MemoryWindow)
		_, v = begin("k", 1)
		Expect(v).To(Equal(operation.Replay))
		c.Advance(time.Second)
		_, v = begin("k", 1)
		Expect(v).To(Equal(operation.Run))
	})

	// Guards against memory that grows without bound, and against the removal of a key to make room for another.
	It("refuses new keys when full and evicts the oldest answers first", func() {
		o.SetBounds(3, 25)
		for i := range 3 {
			e, _ := begin(fmt.Sprint(i), 1)
			o.Finish(e, operation.Response{Body: make([]byte, 10)})
		}
		_, v := begin("3", 1)
		Expect(v).To(Equal(operation.Full))
		Expect(v.Problem().Outcome).To(Equal(problem.NotRun))
		for i, want := range []operation.Verdict{operation.ResponseNotStored, operation.Replay, operation.Replay} {
			_, v = begin(fmt.Sprint(i), 1)
			Expect(v).To(Equal(want))
		}
	})

	// Guards against a write after the deadline. A later owner assumes that there is none.
	It("refuses the write after the deadline", func() {
		e, _ := o.Begin(c.Now(), "k", 1, c.Now().Add(time.Hour))
		Expect(o.CheckBeforeWrite(e)).To(Succeed())
		c.Advance(operation.MaxDeadline)
		Expect(o.CheckBeforeWrite(e)).To(HaveOccurred())
	})

	// Guards against the outcome not_run for a ticket that its issuer may have run.
	It("refuses an expired ticket and one of an ended process as unknown", func() {
		ticket, _ := o.Issue()
		c.Advance(operation.TicketLifetime)
		_, v := begin(ticket, 1)
		Expect(v).To(Equal(operation.Unknown))
		old := testSelf
		old.Incarnation++
		stale, _ := operation.NewIssuer(operation.NewCodec(testSecret), c, old).Issue()
		_, err := o.Locate(stale)
		Expect(err).To(HaveField("Outcome", problem.Unknown))
		Expect(err).To(HaveField("Attempt", problem.NotRun))
	})
})

// FuzzTicketParse guards against input that makes the parser panic, or that is accepted although Encode never produces it.
func FuzzTicketParse(f *testing.F) {
	codec := operation.NewCodec(testSecret)
	text, _ := codec.Encode(operation.Ticket{VM: "e1", Forward: testSelf.Forward, Index: 1})
	f.Add(text, []byte("e1"))
	f.Fuzz(func(t *testing.T, text string, payload []byte) {
		if ticket, err := codec.Parse(text); err == nil {
			if again, _ := codec.Encode(ticket); again != text {
				t.Fatalf("%q parses but encodes to %q", text, again)
			}
		}
		_, _ = operation.DecodeTicketForTest(payload)
	})
}

// BenchmarkLedger measures the cost of the single mutex under concurrent use.
func BenchmarkLedger(b *testing.B) {
	l := operation.NewLedger(testStart)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			e, _ := l.BeginForTest(testStart, fmt.Sprintf("order-%p-%d", pb, i))
			l.NotRunForTest(e)
		}
	})
}
