package preset

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Errors of the proposer. ErrUnavailable of package platformlog reports an append that had no effect.
var (
	// ErrNotReady reports that this VM has not read a configuration yet.
	ErrNotReady = errors.New("this VM does not know the configuration")
	// ErrUndecided reports an append whose effect is not known yet. The record has the returned id; Watcher.Watch reports
	// its progress.
	ErrUndecided = errors.New("effect of the append is not known yet")
	// ErrNoProposal reports a proposal that is neither pending nor among the recent decisions.
	ErrNoProposal = errors.New("no such proposal")
)

// ConflictError reports a change that was rejected because of another one. InForce is the version on which to base a new
// proposal.
type ConflictError struct {
	Object, Reason string
	InForce        int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: %s (version in force %d)", e.Object, e.Reason, e.InForce)
}

// AlreadyDecidedError reports a veto or withdrawal of a proposal that already has a different decision, Kind.
type AlreadyDecidedError struct {
	Proposal string
	Kind     EventKind
}

// Error implements error.
func (e *AlreadyDecidedError) Error() string {
	return fmt.Sprintf("proposal %s is already %s", e.Proposal, e.Kind)
}

// outcomeTimeout limits the wait until the effect of an append is visible in the applied records.
const outcomeTimeout = 10 * time.Second

// Change is a configuration change proposed by an operator.
type Change struct {
	// Object is ObjectActive or ObjectName(name).
	Object string
	// Base is the version of the object on which the change is based; NoVersion for a new preset.
	Base int64
	// Content is the preset in JSON with comments, or the name of a preset as a JSON string for ObjectActive.
	Content json.RawMessage
	Author  string
}

// Proposer writes proposals, vetoes and withdrawals of operators and the customer to the log. It is safe for concurrent use.
type Proposer struct {
	log      platformlog.Log
	clock    clock.Clock
	follower *Follower
}

// NewProposer returns a proposer that obtains the outcome of its records from the follower.
func NewProposer(l platformlog.Log, c clock.Clock, f *Follower) *Proposer {
	return &Proposer{log: l, clock: c, follower: f}
}

// Bootstrap writes the first presets. Error: *ConflictError if a configuration exists already.
func (p *Proposer) Bootstrap(ctx context.Context, f *File, author string) error {
	e := &Entry{Kind: KindBootstrap, ID: uuid.NewString(), Author: author, Active: f.Active}
	if err := f.validate(); err != nil {
		return err
	}
	for _, c := range f.Presets {
		text, err := json.Marshal(c)
		if err != nil {
			return errors.Wrap(err, "encode preset")
		}
		e.Presets = append(e.Presets, text)
	}
	return p.appendAndWait(ctx, e, Bootstrapped)
}

// Propose writes a proposal and returns its id. Errors: *ConflictError, ErrInvalidContent, ErrUndecided (the id is returned
// with it), ErrNotReady, platformlog.ErrUnavailable.
func (p *Proposer) Propose(ctx context.Context, c Change) (string, error) {
	content, err := canonicalContent(c)
	if err != nil {
		return "", err
	}
	s, _ := p.follower.View()
	if s.Version == NoVersion {
		return "", ErrNotReady
	}
	// A version below the one in force cannot become current again. A higher one may not have reached this VM yet, so it is
	// checked when the record is applied.
	if inForce := s.VersionOf(c.Object); c.Base < inForce {
		return "", &ConflictError{Object: c.Object, Reason: "another change of the object was accepted", InForce: inForce}
	}
	e := &Entry{Kind: KindPropose, ID: uuid.NewString(), Author: c.Author, Object: c.Object, Base: &c.Base,
		Seen: s.Position, Content: content}
	return e.ID, p.appendAndWait(ctx, e, Proposed)
}

// canonicalContent validates the content and returns it as JSON without comments.
func canonicalContent(c Change) (json.RawMessage, error) {
	if c.Object == ObjectActive {
		var name string
		if err := json.Unmarshal(c.Content, &name); err != nil {
			return nil, invalid(ObjectActive, "content is not the name of a preset")
		}
		return c.Content, nil
	}
	parsed, err := ParseContent(c.Content)
	if err != nil {
		return nil, err
	}
	if c.Object != ObjectName(parsed.Name) {
		return nil, invalid("name", "%q does not belong to the object %q", parsed.Name, c.Object)
	}
	return json.Marshal(parsed)
}

// Veto rejects a proposal on behalf of the customer. Errors: *AlreadyDecidedError, ErrNoProposal, ErrUndecided and those of
// the log.
func (p *Proposer) Veto(ctx context.Context, proposal, author string) error {
	return p.refuse(ctx, KindVeto, proposal, author, Vetoed)
}

// Withdraw rejects a proposal on behalf of the operator. Errors as for Veto.
func (p *Proposer) Withdraw(ctx context.Context, proposal, author string) error {
	return p.refuse(ctx, KindWithdraw, proposal, author, Withdrawn)
}

// refuse writes a veto or a withdrawal unless the proposal is already decided.
func (p *Proposer) refuse(ctx context.Context, kind Kind, proposal, author string, want EventKind) error {
	s, _ := p.follower.View()
	if d, ok := s.Decision(proposal); ok {
		return decisionError(d, want)
	}
	// The log may contain a proposal that this VM has not read yet, so the record is written even if the proposal is
	// unknown here.
	return p.appendAndWait(ctx, &Entry{Kind: kind, ID: uuid.NewString(), Author: author, Proposal: proposal}, want)
}

// decisionError returns nil if the proposal was decided as wanted, otherwise an *AlreadyDecidedError.
func decisionError(d Decision, want EventKind) error {
	if d.Kind == want {
		return nil
	}
	return &AlreadyDecidedError{Proposal: d.ID, Kind: d.Kind}
}

// appendAndWait appends the record once and waits until its effect is known, at most outcomeTimeout.
func (p *Proposer) appendAndWait(ctx context.Context, e *Entry, want EventKind) error {
	offset, err := p.log.Append(ctx, Stream, e)
	if err != nil && !errors.Is(err, platformlog.ErrUnknownAppend) {
		return err
	}
	if err != nil {
		offset = NoVersion
	}
	timeout := p.clock.After(outcomeTimeout)
	for {
		ev, decided, changed := p.follower.recordOutcome(e, offset)
		if decided {
			return outcomeError(ev, want)
		}
		select {
		case <-changed:
		case <-timeout:
			return errors.Wrapf(ErrUndecided, "record %s", e.ID)
		case <-ctx.Done():
			return errors.Wrapf(ErrUndecided, "record %s: %v", e.ID, ctx.Err())
		}
	}
}

// outcomeError converts the event of a record into the error returned to its author.
func outcomeError(ev Event, want EventKind) error {
	switch ev.Kind {
	case want:
		return nil
	case Invalid:
		return errors.Wrap(ErrInvalidContent, ev.Reason)
	case Ignored:
		return errors.Wrap(ErrNoProposal, ev.Reason)
	case Accepted, Vetoed, Withdrawn:
		if want == Proposed {
			return nil // the proposal was written and has already been decided
		}
		return decisionError(Decision{ID: ev.Proposal, Kind: ev.Kind}, want)
	}
	return &ConflictError{Object: ev.Object, Reason: ev.Reason, InForce: ev.InForce}
}

// recordOutcome returns the effect of the record e. decided is false while it is not known; changed is closed at the next
// change of the state. offset is NoVersion if the response to the append was lost. A state adopted from a peer comes without
// events; the effect is then derived from the state.
func (f *Follower) recordOutcome(e *Entry, offset int64) (ev Event, decided bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.reader.state
	if ev, ok := f.events.find(e.ID); ok {
		if d, ok := s.Decision(ev.Proposal); ok && ev.Kind == Repeated {
			ev.Kind = d.Kind
		}
		return ev, true, f.changed
	}
	target := e.Proposal
	if e.Kind == KindPropose {
		target = e.ID
	}
	ev = Event{Proposal: target, Object: e.Object, InForce: s.VersionOf(e.Object)}
	if d, ok := s.Decision(target); ok {
		ev.Kind = d.Kind
		return ev, true, f.changed
	}
	if _, ok := s.Pending[target]; ok && e.Kind == KindPropose {
		ev.Kind = Proposed
		return ev, true, f.changed
	}
	if offset == NoVersion || s.Position < offset {
		return ev, false, f.changed
	}
	if e.Kind == KindBootstrap && s.VersionOf(ObjectActive) >= offset {
		ev.Kind = Bootstrapped
		return ev, true, f.changed
	}
	ev.Kind, ev.Reason = Conflict, "the record had no effect"
	return ev, true, f.changed
}
