package preset

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// ErrInvalidState reports a marshalled state that cannot be used.
var ErrInvalidState = errors.New("invalid configuration state")

// Marshal encodes the state deterministically: equal states have equal encodings.
func (s *State) Marshal() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// UnmarshalState decodes and validates a state. Error: ErrInvalidState.
func UnmarshalState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Mark(err, ErrInvalidState)
	}
	if reason := s.invalidReason(); reason != "" {
		return nil, errors.Wrap(ErrInvalidState, reason)
	}
	if s.Recent == nil {
		s.Recent = []Decision{}
	}
	return s, nil
}

// invalidReason returns the first inconsistency in a decoded state, or an empty string.
func (s *State) invalidReason() string {
	if s.Presets == nil || s.Pending == nil || s.Refused == nil {
		return "presets, pending or refused is missing"
	}
	if s.Version < NoVersion || s.Version > s.Position || s.ActiveVersion > s.Version {
		return "versions and position are inconsistent"
	}
	for name, v := range s.Presets {
		if v.Content == nil || v.Content.Name != name || v.Version > s.Version {
			return "preset " + name + " is incomplete"
		}
	}
	if s.Version != NoVersion && s.ActiveContent() == nil {
		return "the active preset is missing"
	}
	if s.Version == NoVersion && len(s.Presets)+len(s.Pending) > 0 {
		return "there are presets or proposals before the bootstrap"
	}
	for id, p := range s.Pending {
		if p == nil || p.ID != id || p.Offset > s.Position || !s.hasRequiredContent(p) {
			return "proposal " + id + " is incomplete"
		}
	}
	return ""
}

// hasRequiredContent reports whether the proposal has the content that its object requires.
func (s *State) hasRequiredContent(p *Proposal) bool {
	if p.Object == ObjectActive {
		return p.Content == nil && s.Presets[p.Active].Content != nil
	}
	return p.Content != nil && p.Object == ObjectName(p.Content.Name)
}

// clone returns a copy that can be modified without affecting s. Presets and proposals are immutable and shared.
func (s *State) clone() *State {
	c := *s
	c.Presets, c.Pending, c.Refused = maps.Clone(s.Presets), maps.Clone(s.Pending), maps.Clone(s.Refused)
	c.Recent = slices.Clone(s.Recent)
	return &c
}

// snapshotEntry returns a snapshot record with the state.
func (s *State) snapshotEntry(id, author string) (*Entry, error) {
	data, err := s.Marshal()
	if err != nil {
		return nil, err
	}
	return &Entry{Kind: KindSnapshot, ID: id, Author: author, Covers: s.Position, State: data}, nil
}

// startableSnapshot returns the state in a snapshot record if a reader can start from it, given the first offset of the log.
func startableSnapshot(r platformlog.Record, first int64) (*State, bool) {
	if !bytes.Contains(r.Data, []byte(KindSnapshot)) {
		return nil, false
	}
	e, err := DecodeEntry(r.Data)
	if err != nil || e.Kind != KindSnapshot || e.Covers >= r.Offset || e.Covers+1 < first {
		return nil, false
	}
	s, err := UnmarshalState(e.State)
	if err != nil || s.Position != e.Covers {
		return nil, false
	}
	return s, true
}
