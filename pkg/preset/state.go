package preset

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// ObjectActive is the object whose value is the name of the preset in force.
const ObjectActive = "active"

// objectPrefix is the prefix of the names of objects that are presets.
const objectPrefix = "preset/"

// ObjectName returns the object name of a preset.
func ObjectName(name string) string { return objectPrefix + name }

// Limits that keep a state and its snapshots small regardless of the content of the log.
const (
	maxPresets  = 64
	maxPending  = 64
	maxRefused  = 128
	maxRecent   = 64
	maxIDLength = 128
)

// State is the configuration after the records of a prefix of the log. Only Apply modifies it. It is not safe for concurrent
// use.
type State struct {
	// Version is the offset of the last acceptance or bootstrap; NoVersion before the bootstrap.
	Version int64 `json:"version"`
	// Position is the offset of the last applied record.
	Position int64 `json:"position"`
	// Active is the name of the preset in force. ActiveVersion is the version of the object ObjectActive.
	Active        string `json:"active"`
	ActiveVersion int64  `json:"activeVersion"`
	// Presets holds all presets by name.
	Presets map[string]Versioned `json:"presets"`
	// Pending holds the undecided proposals by id, at most one for each object.
	Pending map[string]*Proposal `json:"pending"`
	// Refused maps an object to the position of its latest veto or withdrawal. RefusedFloor is the highest position among
	// the entries that were evicted.
	Refused      map[string]int64 `json:"refused"`
	RefusedFloor int64            `json:"refusedFloor"`
	// Recent holds the latest decisions, oldest first, for later queries about a proposal.
	Recent []Decision `json:"recent"`
}

// Versioned is a preset with the offset of its last accepted change.
type Versioned struct {
	Version int64    `json:"version"`
	Content *Content `json:"content"`
}

// Proposal is an undecided change. It is immutable: an abort replaces it by a copy with the next Round.
type Proposal struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Base   int64  `json:"base"`
	Offset int64  `json:"offset"`
	Author string `json:"author"`
	// Active is the proposed preset name for ObjectActive; Content is set for a preset.
	Active  string   `json:"active,omitempty"`
	Content *Content `json:"content,omitempty"`
	// Round is the number of the current confirm round. Each abort increments it.
	Round int64 `json:"round"`
}

// Decision is the outcome of a proposal.
type Decision struct {
	ID     string    `json:"id"`
	Object string    `json:"object"`
	Kind   EventKind `json:"kind"`
	Offset int64     `json:"offset"`
}

// EventKind is the effect of a record on the state.
type EventKind string

// The kinds of events.
const (
	// Ignored: the record is malformed or has no effect; Reason gives the cause.
	Ignored EventKind = "ignored"
	// Repeated: the record repeats an earlier one and changes nothing.
	Repeated EventKind = "repeated"
	// Bootstrapped: the first presets are in force.
	Bootstrapped EventKind = "bootstrapped"
	// Proposed: the proposal is pending.
	Proposed EventKind = "proposed"
	// Conflict: the record is rejected because of an earlier change or a limit; InForce is the version on which to base a
	// new proposal.
	Conflict EventKind = "conflict"
	// Invalid: the proposal or bootstrap is rejected because its content is not valid.
	Invalid EventKind = "invalid"
	// Vetoed and Withdrawn: the proposal is permanently rejected.
	Vetoed    EventKind = "vetoed"
	Withdrawn EventKind = "withdrawn"
	// Aborted: a confirm round ended without acceptance; the proposal remains pending.
	Aborted EventKind = "aborted"
	// Accepted: the change is in force.
	Accepted EventKind = "accepted"
	// Snapshotted: the record is a snapshot, which does not change the state.
	Snapshotted EventKind = "snapshotted"
)

// Event describes the effect of one record.
type Event struct {
	Kind     EventKind
	Offset   int64
	RecordID string
	// Proposal and Object are set when the record concerns a proposal.
	Proposal, Object string
	// InForce is the version of Object in force after the record.
	InForce int64
	Reason  string
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Version: NoVersion, Position: NoVersion, ActiveVersion: NoVersion, RefusedFloor: NoVersion,
		Presets: map[string]Versioned{}, Pending: map[string]*Proposal{}, Refused: map[string]int64{},
		Recent: []Decision{},
	}
}

// VersionOf returns the version of an object, or NoVersion if there is none.
func (s *State) VersionOf(object string) int64 {
	if object == ObjectActive {
		return s.ActiveVersion
	}
	if v, ok := s.Presets[strings.TrimPrefix(object, objectPrefix)]; ok && strings.HasPrefix(object, objectPrefix) {
		return v.Version
	}
	return NoVersion
}

// ActiveContent returns the preset in force, or nil before the bootstrap.
func (s *State) ActiveContent() *Content { return s.Presets[s.Active].Content }

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

// hasProposal reports whether a proposal with this id is pending or among the recent decisions.
func (s *State) hasProposal(id string) bool {
	if _, pending := s.Pending[id]; pending {
		return true
	}
	_, decided := s.Decision(id)
	return decided
}

// Decision returns the decision on a proposal if it is among the recent ones.
func (s *State) Decision(id string) (Decision, bool) {
	for _, d := range s.Recent {
		if d.ID == id {
			return d, true
		}
	}
	return Decision{}, false
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

// lastRefusal returns the recorded position of the latest veto or withdrawal for the object, or NoVersion.
func (s *State) lastRefusal(object string) int64 {
	if at, ok := s.Refused[object]; ok {
		return at
	}
	return NoVersion
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

// evictOldestRefusal removes the oldest entry of Refused if there are more than maxRefused, and raises RefusedFloor to its
// position.
func (s *State) evictOldestRefusal() {
	if len(s.Refused) <= maxRefused {
		return
	}
	oldest := ""
	for object, at := range s.Refused {
		if oldest == "" || at < s.Refused[oldest] {
			oldest = object
		}
	}
	s.RefusedFloor = max(s.RefusedFloor, s.Refused[oldest])
	delete(s.Refused, oldest)
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

// recordDecision moves a proposal from Pending to Recent and keeps the latest maxRecent decisions.
func (s *State) recordDecision(p *Proposal, kind EventKind, offset int64) {
	delete(s.Pending, p.ID)
	s.Recent = append(s.Recent, Decision{ID: p.ID, Object: p.Object, Kind: kind, Offset: offset})
	if len(s.Recent) > maxRecent {
		s.Recent = slices.Clone(s.Recent[len(s.Recent)-maxRecent:])
	}
}

// Equal reports whether both states have the same content.
func (s *State) Equal(other *State) bool {
	a, errA := s.Marshal()
	b, errB := other.Marshal()
	return errA == nil && errB == nil && bytes.Equal(a, b)
}
