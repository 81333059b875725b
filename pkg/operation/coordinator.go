package operation

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// retryDelay is the Retry-After of refusals whose cause ends with a lease, a handover or a running operation.
const retryDelay = time.Second

// Owner identifies the process that may run a key.
type Owner struct {
	// VM and Incarnation identify the process; Forward is its forward address.
	VM          string
	Incarnation uint64
	Forward     string
	// Region is the owner's region, empty if it is not known.
	Region string
	// Local reports whether the owner is this process.
	Local bool
}

// Holding is the ownership of one key range as known to this VM.
type Holding struct {
	// Owner is the owner according to the log records read so far. Known is false while there is no owner or the log has
	// not been read.
	Owner Owner
	Known bool
	// LeaseEnd is the end of this VM's confirmed lease, from which on it runs no operations. Set only for a local owner.
	LeaseEnd time.Time
	// AdmitFrom is the time from which new keys may run. Until then, a key without an entry may have run on a previous
	// owner.
	AdmitFrom time.Time
}

// Ranges provides the ownership of the key ranges. Implementations: RangeManager, SingleVM.
type Ranges interface {
	// Holding returns the ownership of a key range.
	Holding(keyRange int) Holding
	// Drain hands over all ranges of this VM. It returns when all are handed over or ctx ends.
	Drain(ctx context.Context) error
}

// noLeaseEnd is a lease end in the far future, for a lease that never ends.
var noLeaseEnd = time.Unix(1<<40, 0)

// SingleVM implements Ranges for trials and tests with one VM, which owns every range without a lease.
type SingleVM struct{ Self Self }

// Holding implements Ranges.
func (s SingleVM) Holding(int) Holding {
	return Holding{Owner: s.Self.owner(true), Known: true, LeaseEnd: noLeaseEnd}
}

// Drain implements Ranges.
func (SingleVM) Drain(context.Context) error { return nil }

func (s Self) owner(local bool) Owner {
	return Owner{VM: s.VM, Incarnation: s.Incarnation, Forward: s.Forward.String(), Local: local}
}

// Coordinator determines for the proxy which VM runs an operation and whether it may run. It is safe for concurrent use.
type Coordinator struct {
	clock    clock.Clock
	codec    *Codec
	issuer   *Issuer
	ledger   *Ledger
	ranges   Ranges
	regionOf func(vm string) string
}

// Options are the dependencies of a Coordinator.
type Options struct {
	Clock  clock.Clock
	Codec  *Codec
	Self   Self
	Ledger *Ledger
	Ranges Ranges
	// RegionOf returns the region of an entry VM, empty if it is not known. Neither tickets nor claims contain the region,
	// because it is known from the membership. Default: no region is known.
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

// Locate returns the owner of key. The error is a *problem.Problem: the key is invalid, or no VM may run it now.
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
		// The signature check also fails if the peer secret was changed after an earlier attempt, which may have been run.
		return Owner{}, refusal(fasthttp.StatusBadRequest, problem.ReasonBadRequest, err.Error())
	}
	owner := Owner{VM: t.VM, Incarnation: t.Incarnation, Forward: t.Forward.String(), Local: c.issuer.issued(t)}
	if !owner.Local && (t.VM == c.issuer.self.VM || t.Forward == c.issuer.self.Forward) {
		return Owner{}, refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"the process that issued the ticket has ended; take a new ticket")
	}
	return c.withRegion(owner), nil
}

// refusal returns a problem whose attempt was not run although earlier attempts may have been.
func refusal(status int, reason problem.Reason, detail string) *problem.Problem {
	p := problem.New(status, problem.Unknown, reason, detail)
	p.Attempt = problem.NotRun
	return p
}

// Begin starts key on this VM if that is allowed. The deadline is limited to now + MaxDeadline, which is also used for a zero
// deadline. The entry is nil unless the key already has one or the verdict is Run.
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

// admit returns the verdict for a new key of a range. It reads the clock itself, because the process may have been paused
// since the caller of Begin read it.
func (c *Coordinator) admit(keyRange int) Verdict {
	h, now := c.ranges.Holding(keyRange), c.clock.Now()
	switch {
	case !h.leaseValid(now):
		return Unavailable
	case now.Before(h.AdmitFrom):
		return Unknown
	}
	return Run
}

// leaseValid reports whether this process owns the range and its lease has not ended at now.
func (h Holding) leaseValid(now time.Time) bool {
	return h.Known && h.Owner.Local && now.Before(h.LeaseEnd)
}

func (c *Coordinator) beginTicket(now time.Time, key string, fingerprint uint64, deadline time.Time) (*Entry, Verdict) {
	t, err := c.codec.Parse(key)
	if err != nil || !c.issuer.issued(t) {
		return nil, Unavailable
	}
	// The index alone identifies a ticket of this incarnation and is a tenth as long as the ticket's text.
	index := strconv.FormatUint(t.Index, 36)
	return c.ledger.begin(now, ticketRange, index, fingerprint, deadline, func() Verdict {
		// An expired ticket may have run and its entry may have expired.
		if c.issuer.Check(t, c.clock.Now()) != nil {
			return Unknown
		}
		return Run
	})
}

// CheckBeforeWrite checks the lease and the deadline of an entry. It must be called right before the first byte of the
// operation is written to a backend server. The error is a *problem.Problem: nothing may be written, and the caller must end
// the entry with MarkNotRun.
func (c *Coordinator) CheckBeforeWrite(e *Entry) error {
	now := c.clock.Now()
	if e.keyRange != ticketRange && !c.ranges.Holding(int(e.keyRange)).leaseValid(now) {
		return refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"the lease of the key's range ended before the operation was sent").WithRetryAfter(retryDelay)
	}
	if !now.Before(e.Deadline()) {
		return problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the operation was sent")
	}
	return nil
}

// Finish records the response to the operation.
func (c *Coordinator) Finish(e *Entry, r Response) { c.ledger.finish(c.clock.Now(), e, r) }

// MarkUnknown records that the operation may have run.
func (c *Coordinator) MarkUnknown(e *Entry) { c.ledger.markUnknown(c.clock.Now(), e) }

// MarkNotRun removes an entry that is proved not to have run, so that a retry may run. It returns the outcome for the
// caller: unknown if the lease has ended or the range was handed over, because another VM may run the key meanwhile.
func (c *Coordinator) MarkNotRun(e *Entry) problem.Outcome {
	removed := c.ledger.notRun(e)
	if e.keyRange != ticketRange && (!removed || !c.ranges.Holding(int(e.keyRange)).leaseValid(c.clock.Now())) {
		return problem.Unknown
	}
	return problem.NotRun
}

// Drain hands over the key ranges of this VM to other VMs before a planned stop.
func (c *Coordinator) Drain(ctx context.Context) error { return c.ranges.Drain(ctx) }

// Problem returns the error response for a verdict, nil for Run and Replay.
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
	case ResponseNotStored:
		return refusal(fasthttp.StatusConflict, problem.ReasonKeyUnknown,
			"an earlier attempt with this key has completed; its response was not kept")
	case Unavailable:
		return refusal(fasthttp.StatusServiceUnavailable, problem.ReasonOwnerUnreachable,
			"this VM may not run the key now; use a ticket").WithRetryAfter(retryDelay)
	case Full:
		return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonKeyMemoryFull,
			"the operation memory is full").WithRetryAfter(retryDelay)
	}
	return nil
}
