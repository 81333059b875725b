package preset

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Apply applies one record to the state. It never fails: a record without effect changes only the position, and the event
// gives the reason. A record at or before Position is a repetition and changes nothing.
func (s *State) Apply(r platformlog.Record) Event {
	if r.Offset <= s.Position {
		return Event{Kind: Repeated, Offset: r.Offset, InForce: NoVersion, Reason: "offset already applied"}
	}
	s.Position = r.Offset
	e, err := DecodeEntry(r.Data)
	if err != nil {
		return Event{Kind: Ignored, Offset: r.Offset, InForce: NoVersion, Reason: err.Error()}
	}
	ev := s.apply(e, r.Offset)
	ev.Offset, ev.RecordID, ev.InForce = r.Offset, e.ID, s.VersionOf(ev.Object)
	return ev
}

func (s *State) apply(e *Entry, offset int64) Event {
	switch e.Kind {
	case KindBootstrap:
		return s.bootstrap(e, offset)
	case KindPropose:
		return s.propose(e, offset)
	case KindVeto:
		return s.refuse(e, offset, Vetoed)
	case KindWithdraw:
		return s.refuse(e, offset, Withdrawn)
	case KindAbort:
		return s.abort(e)
	case KindAccept:
		return s.accept(e, offset)
	}
	return Event{Kind: Snapshotted}
}

func (s *State) bootstrap(e *Entry, offset int64) Event {
	if s.Version != NoVersion {
		return Event{Kind: Conflict, Object: ObjectActive, Reason: "the configuration already exists"}
	}
	f := &File{Active: e.Active}
	for _, text := range e.Presets {
		c, err := ParseContent(text)
		if err != nil {
			return Event{Kind: Invalid, Object: ObjectActive, Reason: err.Error()}
		}
		f.Presets = append(f.Presets, c)
	}
	if err := f.validate(); err != nil {
		return Event{Kind: Invalid, Object: ObjectActive, Reason: err.Error()}
	}
	for _, c := range f.Presets {
		s.Presets[c.Name] = Versioned{Version: offset, Content: c}
	}
	s.Active, s.ActiveVersion, s.Version = f.Active, offset, offset
	return Event{Kind: Bootstrapped, Object: ObjectActive}
}

func (s *State) propose(e *Entry, offset int64) Event {
	ev := Event{Kind: Proposed, Proposal: e.ID, Object: e.Object}
	if s.hasProposal(e.ID) {
		ev.Kind, ev.Reason = Repeated, "a proposal with this id exists"
		return ev
	}
	p, err := s.decodeProposal(e)
	if err != nil {
		ev.Kind, ev.Reason = Invalid, err.Error()
		return ev
	}
	if reason := s.conflictReason(e); reason != "" {
		ev.Kind, ev.Reason = Conflict, reason
		return ev
	}
	p.Offset = offset
	s.Pending[p.ID] = p
	return ev
}

// errProposal reports a proposal whose fields other than the preset content are not valid.
var errProposal = errors.New("invalid proposal")

func (s *State) decodeProposal(e *Entry) (*Proposal, error) {
	if e.ID == "" || len(e.ID) > maxIDLength || e.Base == nil {
		return nil, errors.Wrap(errProposal, "id or base is missing or too long")
	}
	p := &Proposal{ID: e.ID, Object: e.Object, Base: *e.Base, Author: e.Author}
	if e.Object == ObjectActive {
		if err := json.Unmarshal(e.Content, &p.Active); err != nil {
			return nil, errors.Wrap(errProposal, "content is not the name of a preset")
		}
		if _, ok := s.Presets[p.Active]; !ok {
			return nil, errors.Wrapf(errProposal, "no preset is named %q", p.Active)
		}
		return p, nil
	}
	c, err := ParseContent(e.Content)
	if err != nil {
		return nil, err
	}
	if e.Object != ObjectName(c.Name) {
		return nil, errors.Wrapf(errProposal, "object %q does not name the preset %q", e.Object, c.Name)
	}
	p.Content = c
	return p, nil
}

// conflictReason returns the reason why a proposal conflicts with the state, or an empty string.
func (s *State) conflictReason(e *Entry) string {
	if s.Version == NoVersion {
		return "there is no configuration yet"
	}
	if *e.Base != s.VersionOf(e.Object) {
		return "another change of the object was accepted"
	}
	newPresets := 0
	for _, p := range s.Pending {
		if p.Object == e.Object {
			return "another proposal for the object is pending: " + p.ID
		}
		if s.VersionOf(p.Object) == NoVersion {
			newPresets++
		}
	}
	if e.Seen < max(s.RefusedFloor, s.lastRefusal(e.Object)) {
		return "a proposal for the object was refused since the proposer read the log"
	}
	if len(s.Pending) >= maxPending || (*e.Base == NoVersion && len(s.Presets)+newPresets >= maxPresets) {
		return "too many presets or pending proposals"
	}
	return ""
}

func (s *State) refuse(e *Entry, offset int64, kind EventKind) Event {
	p, ev := s.findPending(e, kind)
	if p == nil {
		return ev
	}
	s.Refused[p.Object] = offset
	s.evictOldestRefusal()
	s.recordDecision(p, kind, offset)
	return ev
}

func (s *State) abort(e *Entry) Event {
	p, ev := s.findPending(e, Aborted)
	if p == nil {
		return ev
	}
	if e.Round != p.Round {
		ev.Kind, ev.Reason = Ignored, "not the current confirm round"
		return ev
	}
	next := *p
	next.Round++
	s.Pending[p.ID] = &next
	return ev
}

func (s *State) accept(e *Entry, offset int64) Event {
	p, ev := s.findPending(e, Accepted)
	if p == nil {
		return ev
	}
	if e.Round != p.Round {
		ev.Kind, ev.Reason = Ignored, "the confirm round was aborted"
		return ev
	}
	if p.Base != s.VersionOf(p.Object) {
		ev.Kind, ev.Reason = Conflict, "another change of the object was accepted"
		return ev
	}
	if p.Object == ObjectActive {
		s.Active, s.ActiveVersion = p.Active, offset
	} else {
		s.Presets[p.Content.Name] = Versioned{Version: offset, Content: p.Content}
	}
	s.Version = offset
	s.recordDecision(p, Accepted, offset)
	return ev
}

// findPending returns the pending proposal to which e refers, with an event of the given kind. If there is none, the event is
// Repeated for a recently decided proposal and Ignored otherwise.
func (s *State) findPending(e *Entry, kind EventKind) (*Proposal, Event) {
	if p, ok := s.Pending[e.Proposal]; ok {
		return p, Event{Kind: kind, Proposal: p.ID, Object: p.Object}
	}
	if d, ok := s.Decision(e.Proposal); ok {
		return nil, Event{Kind: Repeated, Proposal: d.ID, Object: d.Object, Reason: "already " + string(d.Kind)}
	}
	return nil, Event{Kind: Ignored, Proposal: e.Proposal, Reason: "no such pending proposal"}
}
