package preset

import (
	"bytes"
	"slices"
	"strings"
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

// lastRefusal returns the recorded position of the latest veto or withdrawal for the object, or NoVersion.
func (s *State) lastRefusal(object string) int64 {
	if at, ok := s.Refused[object]; ok {
		return at
	}
	return NoVersion
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
