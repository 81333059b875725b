package operation

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/valyala/fasthttp"
)

// retryDelay is the Retry-After of refusals that end with a lease, a handover or a running operation.
const retryDelay = time.Second

// Owner is the VM that may run a key.
type Owner struct {
	// VM, Incarnation and Forward name the process and its forward address.
	VM          string
	Incarnation uint64
	Forward     string
	// Region is the owner's region, empty if it is not known.
	Region string
	// Local says that it is this process.
	Local bool
}

// Holding is what this VM knows of the ownership of one key range.
type Holding struct {
	// Owner is the owner by the log as far as it was read. Known is false while there is none or the log was not read.
	Owner Owner
	Known bool
	// LeaseEnd is the end of this VM's confirmed lease; it runs nothing from then on. Only for a local owner.
	LeaseEnd time.Time
	// CleanFrom is the end of the window in which unfamiliar keys may have run on a previous owner.
	CleanFrom time.Time
}

// Ranges tells who owns the key ranges. Implementations: RangeManager, SingleVM.
type Ranges interface {
	Holding(keyRange int) Holding
	// Drain hands all ranges of this VM over and returns when that is done, or ctx has ended.
	Drain(ctx context.Context) error
}

// endless is a lease end that no clock reaches.
var endless = time.Unix(1<<40, 0)

// SingleVM owns every range without a lease. It serves trials and tests with one VM.
type SingleVM struct{ Self Self }

// Holding implements Ranges.
func (s SingleVM) Holding(int) Holding {
	return Holding{Owner: s.Self.owner(true), Known: true, LeaseEnd: endless}
}

// Drain implements Ranges.
func (SingleVM) Drain(context.Context) error { return nil }

func (s Self) owner(local bool) Owner {
	return Owner{VM: s.VM, Incarnation: s.Incarnation, Forward: s.Forward.String(), Local: local}
}

// Coordinator decides for the proxy where an operation runs and whether it may run. It is safe for concurrent use.
type Coordinator struct {
	clock    clock.Clock
	codec    *Codec
	issuer   *Issuer
	ledger   *Ledger
	ranges   Ranges
	regionOf func(vm string) string
}

// Options are the parts of a Coordinator.
type Options struct {
	Clock  clock.Clock
	Codec  *Codec
	Self   Self
	Ledger *Ledger
	Ranges Ranges
	// RegionOf returns the region of an entry VM, empty if it is not known. Neither tickets nor claims carry the region,
	// because the members are known anyway. Default: no region is known.
	RegionOf func(vm string) string
}

// NewCoordinator returns a coordinator for one process.
func NewCoordinator(o Options) *Coordinator {
	if o.RegionOf == nil {
		o.RegionOf = func(string) string { return "" }
	}
	return &Coordinator{
		clock:    o.Clock,
		codec:    o.Codec,
		issuer:   NewIssuer(o.Codec, o.Clock, o.Self),
		ledger:   o.Ledger,
		ranges:   o.Ranges,
		regionOf: o.RegionOf,
	}
}

// Issue returns a new ticket of this process.
func (c *Coordinator) Issue() (string, error) { return c.issuer.Issue() }

// Locate returns the owner of key. The error is a *problem.Problem: the key is invalid, or nobody may run it now.
func (c *Coordinator) Locate(key string) (Owner, error) {
	if !ValidKey(key) {
		return Owner{}, problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest,
			"Idempotency-Key must be 1 to 128 visible ASCII characters or a ticket")
	}
	if IsTicket(key) {
		return c.locateTicket(key)
	}
	h := c.ranges.Holding(RangeOf(key))
	if !h.Known {
		return Owner{}, refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"no VM owns the range of this key; use a ticket").WithRetryAfter(retryDelay)
	}
	return c.withRegion(h.Owner), nil
}

func (c *Coordinator) withRegion(o Owner) Owner {
	o.Region = c.regionOf(o.VM)
	return o
}

func (c *Coordinator) locateTicket(key string) (Owner, error) {
	t, err := c.codec.Parse(key)
	switch {
	case errors.Is(err, ErrTicketMalformed):
		return Owner{}, problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, err.Error())
	case err != nil:
		// The signature also fails when the peer secret was changed after an earlier attempt.
		return Owner{}, refusal(fasthttp.StatusBadRequest, problem.ReasonBadRequest, err.Error())
	}
	owner := Owner{VM: t.VM, Incarnation: t.Incarnation, Forward: t.Forward.String(), Local: c.issuer.issued(t)}
	if !owner.Local && (t.VM == c.issuer.self.VM || t.Forward == c.issuer.self.Forward) {
		return Owner{}, refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"the process that issued the ticket has ended; take a new ticket")
	}
	return c.withRegion(owner), nil
}

// refusal is a problem whose attempt was not run while earlier attempts may have been.
func refusal(status int, reason problem.Reason, detail string) *problem.Problem {
	p := problem.New(status, problem.Unknown, reason, detail)
	p.Attempt = problem.NotRun
	return p
}

// Begin starts key on this VM if that is allowed. The deadline is cut to now + MaxDeadline; zero means that. The entry is
// nil unless the key is familiar or the verdict is Run.
func (c *Coordinator) Begin(now time.Time, key string, fingerprint uint64, deadline time.Time) (*Entry, Verdict) {
	if latest := now.Add(MaxDeadline); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	if IsTicket(key) {
		return c.beginTicket(now, key, fingerprint, deadline)
	}
	r := RangeOf(key)
	return c.ledger.begin(now, r, key, fingerprint, deadline, func() Verdict { return c.admit(r) })
}

// admit reads the clock itself: the time that the caller took may be older than a pause of the process.
func (c *Coordinator) admit(keyRange int) Verdict {
	h, now := c.ranges.Holding(keyRange), c.clock.Now()
	switch {
	case !h.held(now):
		return Unavailable
	case now.Before(h.CleanFrom):
		return Unknown
	}
	return Run
}

func (h Holding) held(now time.Time) bool {
	return h.Known && h.Owner.Local && now.Before(h.LeaseEnd)
}

func (c *Coordinator) beginTicket(now time.Time, key string, fingerprint uint64, deadline time.Time) (*Entry, Verdict) {
	t, err := c.codec.Parse(key)
	if err != nil || !c.issuer.issued(t) {
		return nil, Unavailable
	}
	// The index alone identifies a ticket of this incarnation and is a tenth of its text.
	index := strconv.FormatUint(t.Index, 36)
	return c.ledger.begin(now, ticketRange, index, fingerprint, deadline, func() Verdict {
		// An expired ticket may have run and been forgotten.
		if c.issuer.Check(t, c.clock.Now()) != nil {
			return Unknown
		}
		return Run
	})
}

// CheckBeforeWrite is called right before the first byte of the operation is written to a backend server. The error is a
// *problem.Problem: nothing may be written, and the caller ends the entry with NotRun.
func (c *Coordinator) CheckBeforeWrite(e *Entry) error {
	now := c.clock.Now()
	if e.keyRange != ticketRange && !c.ranges.Holding(int(e.keyRange)).held(now) {
		return refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"the lease of the key's range ended before the operation was sent").WithRetryAfter(retryDelay)
	}
	if !now.Before(e.Deadline()) {
		return problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the operation was sent")
	}
	return nil
}

// Finish records the answer of the operation.
func (c *Coordinator) Finish(e *Entry, a Answer) { c.ledger.finish(c.clock.Now(), e, a) }

// Unknown records that the operation may have run.
func (c *Coordinator) Unknown(e *Entry) { c.ledger.markUnknown(c.clock.Now(), e) }

// NotRun removes an entry that is proved not to have run, so that a retry may run. It returns the outcome to tell:
// unknown once the lease has ended or the range was handed over, because another VM may run the key meanwhile.
func (c *Coordinator) NotRun(e *Entry) problem.Outcome {
	removed := c.ledger.notRun(e)
	if e.keyRange != ticketRange && (!removed || !c.ranges.Holding(int(e.keyRange)).held(c.clock.Now())) {
		return problem.Unknown
	}
	return problem.NotRun
}

// Drain hands the key ranges of this VM over to other VMs before a planned stop.
func (c *Coordinator) Drain(ctx context.Context) error { return c.ranges.Drain(ctx) }

// Problem returns the error answer for a verdict, nil for Run and Replay.
func (v Verdict) Problem() *problem.Problem {
	switch v {
	case InProgress:
		return refusal(fasthttp.StatusConflict, problem.ReasonKeyInProgress,
			"an earlier attempt with this key is in progress").WithRetryAfter(retryDelay)
	case Conflict:
		return refusal(fasthttp.StatusUnprocessableEntity, problem.ReasonKeyConflict,
			"the key was used with another method, path or body")
	case Unknown:
		return refusal(fasthttp.StatusConflict, problem.ReasonKeyUnknown,
			"an earlier attempt with this key may have been run; new work takes a ticket")
	case AnswerNotKept:
		return refusal(fasthttp.StatusConflict, problem.ReasonKeyUnknown,
			"an earlier attempt with this key has completed; its answer was not kept")
	case Unavailable:
		return refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"this VM may not run the key now; use a ticket").WithRetryAfter(retryDelay)
	case Full:
		return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonKeyMemoryFull,
			"the operation memory is full").WithRetryAfter(retryDelay)
	}
	return nil
}
