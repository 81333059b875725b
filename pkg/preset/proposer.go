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

// Errors of the proposer. ErrUnavailable of package platformlog reports an append that has not taken effect.
var (
	// ErrNotReady reports that this VM does not know the configuration.
	ErrNotReady = errors.New("this VM does not know the configuration")
	// ErrUndecided reports an append whose effect is not known yet. The record has the returned id; Watch tells more.
	ErrUndecided = errors.New("effect of the append is not known yet")
	// ErrNoProposal reports a proposal that is neither pending nor decided lately.
	ErrNoProposal = errors.New("no such proposal")
)

// ConflictError reports a change that lost against another one. InForce is the version to build on.
type ConflictError struct {
	Object, Reason string
	InForce        int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: %s (version in force %d)", e.Object, e.Reason, e.InForce)
}

// DecidedError reports a veto or withdrawal of a proposal that was decided otherwise before.
type DecidedError struct {
	Proposal string
	Kind     EventKind
}

// Error implements error.
func (e *DecidedError) Error() string {
	return fmt.Sprintf("proposal %s is already %s", e.Proposal, e.Kind)
}

// outcomeTimeout bounds the wait for the fold to show what an append did.
const outcomeTimeout = 10 * time.Second

// Change is a change that an operator proposes.
type Change struct {
	// Object is ObjectActive or ObjectOf(name).
	Object string
	// Base is the version of the object that the change builds on; NoVersion for a new preset.
	Base int64
	// Content is the preset in JSON with comments, or the name of a preset as a JSON string for ObjectActive.
	Content json.RawMessage
	Author  string
}

// Proposer writes the changes of operators and customer to the log. It is safe for concurrent use.
type Proposer struct {
	log      platformlog.Log
	clock    clock.Clock
	follower *Follower
}

// NewProposer returns a proposer that learns the outcome of its records from the follower.
func NewProposer(l platformlog.Log, c clock.Clock, f *Follower) *Proposer {
	return &Proposer{log: l, clock: c, follower: f}
}

// Bootstrap writes the first presets. Error: *ConflictError when there is a configuration already.
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
	return p.write(ctx, e, Bootstrapped)
}

// Propose writes a proposal and returns its id. Errors: *ConflictError, ErrInvalidContent, ErrUndecided (with an id),
// ErrNotReady, platformlog.ErrUnavailable.
func (p *Proposer) Propose(ctx context.Context, c Change) (string, error) {
	content, err := canonical(c)
	if err != nil {
		return "", err
	}
	s, _ := p.follower.View()
	if s.Version == NoVersion {
		return "", ErrNotReady
	}
	// A lower base cannot become current again. A higher one may be ahead of this VM, so the log decides.
	if inForce := s.VersionOf(c.Object); c.Base < inForce {
		return "", &ConflictError{Object: c.Object, Reason: "another change of the object was accepted", InForce: inForce}
	}
	e := &Entry{Kind: KindPropose, ID: uuid.NewString(), Author: c.Author, Object: c.Object, Base: &c.Base,
		Seen: s.Position, Content: content}
	return e.ID, p.write(ctx, e, Proposed)
}

// canonical checks the content and returns it without comments.
func canonical(c Change) (json.RawMessage, error) {
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
	if c.Object != ObjectOf(parsed.Name) {
		return nil, invalid("name", "%q does not belong to the object %q", parsed.Name, c.Object)
	}
	return json.Marshal(parsed)
}

// Veto is the customer's refusal of a proposal. Errors: *DecidedError, ErrNoProposal and those of the log.
func (p *Proposer) Veto(ctx context.Context, proposal, author string) error {
	return p.refuse(ctx, KindVeto, proposal, author, Vetoed)
}

// Withdraw is the operator's refusal of a proposal. Errors as for Veto.
func (p *Proposer) Withdraw(ctx context.Context, proposal, author string) error {
	return p.refuse(ctx, KindWithdraw, proposal, author, Withdrawn)
}

func (p *Proposer) refuse(ctx context.Context, kind Kind, proposal, author string, want EventKind) error {
	s, _ := p.follower.View()
	if d, ok := s.Decision(proposal); ok {
		return decided(d, want)
	}
	// A proposal that this VM has not read yet can be in the log, so the log decides.
	return p.write(ctx, &Entry{Kind: kind, ID: uuid.NewString(), Author: author, Proposal: proposal}, want)
}

func decided(d Decision, want EventKind) error {
	if d.Kind == want {
		return nil
	}
	return &DecidedError{Proposal: d.ID, Kind: d.Kind}
}

// write appends the record once and waits until the fold shows what it did.
func (p *Proposer) write(ctx context.Context, e *Entry, want EventKind) error {
	offset, err := p.log.Append(ctx, Stream, e)
	if err != nil && !errors.Is(err, platformlog.ErrUnknownAppend) {
		return err
	}
	if err != nil {
		offset = NoVersion
	}
	timeout := p.clock.After(outcomeTimeout)
	for {
		ev, known, changed := p.follower.outcome(e, offset)
		if known {
			return eventError(ev, want)
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

// eventError turns what a record did into the error that its writer gets.
func eventError(ev Event, want EventKind) error {
	switch ev.Kind {
	case want:
		return nil
	case Invalid:
		return errors.Wrap(ErrInvalidContent, ev.Reason)
	case Ignored:
		return errors.Wrap(ErrNoProposal, ev.Reason)
	case Accepted, Vetoed, Withdrawn:
		if want == Proposed {
			return nil // the proposal was written and is decided already
		}
		return decided(Decision{ID: ev.Proposal, Kind: ev.Kind}, want)
	}
	return &ConflictError{Object: ev.Object, Reason: ev.Reason, InForce: ev.InForce}
}

// outcome returns what the record e did. offset is NoVersion when the append's answer was lost. A state taken from a
// peer holds no events; what it does hold decides then.
func (f *Follower) outcome(e *Entry, offset int64) (ev Event, known bool, changed <-chan struct{}) {
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
	ev.Kind, ev.Reason = Conflict, "the record does not count"
	return ev, true, f.changed
}
