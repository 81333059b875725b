// Package membership knows which entry VMs are alive. VMs send heartbeats with changed member entries to few others, so
// the cost per VM stays flat; it needs neither the log service nor the VM list once a seed has answered.
package membership

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrUnknownState reports a state name that does not exist.
var ErrUnknownState = errors.New("unknown member state")

// State is the state of a member. Of two claims about the same sequence the higher state holds.
type State uint8

// The states of a member.
const (
	// Alive members take part in everything.
	Alive State = iota
	// Leaving members have announced their stop and get no new duties.
	Leaving
	// Suspect members have been silent; they are dead unless they refute.
	Suspect
	// Dead members did not refute in time.
	Dead
)

var stateNames = [...]string{"alive", "leaving", "suspect", "dead"}

// String returns the name used in logs and the administration API.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for i, n := range stateNames {
		if n == string(text) {
			*s = State(i)
			return nil
		}
	}
	return errors.Wrapf(ErrUnknownState, "%q", text)
}

// Member is an entry VM as this VM sees it.
type Member struct {
	ID string `json:"id"`
	// Incarnation is a random number drawn at each process start.
	Incarnation uint64 `json:"incarnation"`
	// Start orders the incarnations of one id.
	Start      time.Time `json:"start"`
	Region     string    `json:"region"`
	DataCentre string    `json:"dataCentre"`
	Forward    string    `json:"forward"`
	Peer       string    `json:"peer"`
	Admin      string    `json:"admin"`
	State      State     `json:"state"`
	// PresetVersion is the configuration version that the member reported last.
	PresetVersion int64 `json:"presetVersion"`
}

// Vitals are what other packages put into heartbeats.
type Vitals struct {
	// PresetVersion is the version of the configuration in force.
	PresetVersion int64
	// LogOffset is the next offset of the configuration stream to read.
	LogOffset int64
	// LogAge is the time since the last contact with the log service.
	LogAge time.Duration
}

// MemberEntry is a member entry as sent. Addresses are left out of suspect and dead entries. Short keys keep heartbeats small.
type MemberEntry struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	StartMs     int64  `json:"t"`
	Sequence    uint64 `json:"s"`
	State       uint8  `json:"x,omitempty"`
	Version     int64  `json:"v,omitempty"`
	Region      string `json:"r,omitempty"`
	DataCentre  string `json:"d,omitempty"`
	Forward     string `json:"f,omitempty"`
	Peer        string `json:"p,omitempty"`
	Admin       string `json:"a,omitempty"`
}

// Heartbeat is the parameter of membership.heartbeat.
type Heartbeat struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
	Sequence    uint64 `json:"s"`
	Leaving     bool   `json:"l,omitempty"`
	Version     int64  `json:"v,omitempty"`
	LogOffset   int64  `json:"o,omitempty"`
	LogAgeMs    int64  `json:"a,omitempty"`
	// Digest summarises the sender's table; a difference makes both sides send entries until it is gone.
	Digest uint32 `json:"g,omitempty"`
	// Changes are at most maxChanges entries.
	Changes []MemberEntry `json:"c,omitempty"`
}

func (h *Heartbeat) vitals() Vitals {
	return Vitals{h.Version, h.LogOffset, time.Duration(h.LogAgeMs) * time.Millisecond}
}

// compareIncarnations orders two entries of one id by process start.
func compareIncarnations(a, b *MemberEntry) int {
	return cmp.Or(cmp.Compare(a.StartMs, b.StartMs), cmp.Compare(a.Incarnation, b.Incarnation))
}

// compare orders two entries of one id by how recent they are. Tables keep the maximum, so the result of merging does
// not depend on loss, duplication or order.
func compare(a, b *MemberEntry) int {
	return cmp.Or(compareIncarnations(a, b), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State),
		cmp.Compare(a.Version, b.Version))
}

func (e *MemberEntry) member() Member {
	return Member{ID: e.ID, Incarnation: e.Incarnation, Start: time.UnixMilli(e.StartMs), Region: e.Region,
		DataCentre: e.DataCentre, Forward: e.Forward, Peer: e.Peer, Admin: e.Admin, State: State(e.State),
		PresetVersion: e.Version}
}

// wire returns the entry as sent.
func (e *MemberEntry) wire() MemberEntry {
	w := *e
	if State(w.State) >= Suspect {
		w.Region, w.DataCentre, w.Forward, w.Peer, w.Admin = "", "", "", "", ""
	}
	return w
}

// keepPlace copies the addresses of another entry of the same incarnation if e has none.
func (e *MemberEntry) keepPlace(o *MemberEntry) {
	if e.Peer == "" && e.Incarnation == o.Incarnation {
		e.Region, e.DataCentre, e.Forward, e.Peer, e.Admin = o.Region, o.DataCentre, o.Forward, o.Peer, o.Admin
	}
}

// hash covers what must become equal in all tables. Sequences differ all the time and are left out.
func (e *MemberEntry) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, e.ID...)
	b = binary.LittleEndian.AppendUint64(b, e.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Version))
	return xxhash.Sum64(append(b, e.State))
}
