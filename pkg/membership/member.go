// Package membership implements failure detection and a gossip protocol for the entry VMs. Each VM sends heartbeats with
// changed member entries to a few others, so that its cost does not grow with the number of VMs. Once a seed has answered,
// the package needs neither the log service nor the VM list.
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

// State is the state of a member. Of two entries with the same sequence the one with the higher state takes precedence.
type State uint8

// The states of a member.
const (
	// Alive members are fully in service.
	Alive State = iota
	// Leaving members have announced that they are stopping and are assigned no new work.
	Leaving
	// Suspect members have sent no heartbeat in time; they become dead unless they refute the suspicion.
	Suspect
	// Dead members did not refute the suspicion in time.
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

// Member is an entry VM with its state in the table of this VM.
type Member struct {
	ID string `json:"id"`
	// Incarnation is a random number drawn at each process start.
	Incarnation uint64 `json:"incarnation"`
	// Start is the start time of the process; it orders the incarnations of one id.
	Start      time.Time `json:"start"`
	Region     string    `json:"region"`
	DataCentre string    `json:"dataCentre"`
	Forward    string    `json:"forward"`
	Peer       string    `json:"peer"`
	Admin      string    `json:"admin"`
	State      State     `json:"state"`
	// PresetVersion is the configuration version last reported by the member.
	PresetVersion int64 `json:"presetVersion"`
}

// HeartbeatStatus holds the values that other packages add to heartbeats.
type HeartbeatStatus struct {
	// PresetVersion is the version of the configuration in force.
	PresetVersion int64
	// LogOffset is the next offset to read from the configuration stream.
	LogOffset int64
	// LogAge is the time since the last contact with the log service.
	LogAge time.Duration
}

// MemberEntry is a member entry as sent on the wire. Suspect and dead entries are sent without addresses. Short keys keep
// heartbeats small.
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
	// Digest is a hash over the sender's table. While digests differ, both sides exchange entries.
	Digest uint32 `json:"g,omitempty"`
	// Changes holds at most maxChanges entries.
	Changes []MemberEntry `json:"c,omitempty"`
}

// status returns the values that the sender's other packages added.
func (h *Heartbeat) status() HeartbeatStatus {
	return HeartbeatStatus{h.Version, h.LogOffset, time.Duration(h.LogAgeMs) * time.Millisecond}
}

// compareIncarnations orders two entries of one id by process start.
func compareIncarnations(a, b *MemberEntry) int {
	return cmp.Or(cmp.Compare(a.StartMs, b.StartMs), cmp.Compare(a.Incarnation, b.Incarnation))
}

// compare orders two entries of one id by how recent they are. Tables keep the maximum, so the result of merging does not
// depend on the loss, duplication or order of messages.
func compare(a, b *MemberEntry) int {
	return cmp.Or(compareIncarnations(a, b), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State),
		cmp.Compare(a.Version, b.Version))
}

// member returns the entry as a Member.
func (e *MemberEntry) member() Member {
	return Member{ID: e.ID, Incarnation: e.Incarnation, Start: time.UnixMilli(e.StartMs), Region: e.Region,
		DataCentre: e.DataCentre, Forward: e.Forward, Peer: e.Peer, Admin: e.Admin, State: State(e.State),
		PresetVersion: e.Version}
}

// wireForm returns the entry as it is sent: suspect and dead entries have no region, data centre and addresses.
func (e *MemberEntry) wireForm() MemberEntry {
	w := *e
	if State(w.State) >= Suspect {
		w.Region, w.DataCentre, w.Forward, w.Peer, w.Admin = "", "", "", "", ""
	}
	return w
}

// copyMissingAddresses copies region, data centre and addresses from another entry of the same incarnation if e has no
// peer address.
func (e *MemberEntry) copyMissingAddresses(from *MemberEntry) {
	if e.Peer == "" && e.Incarnation == from.Incarnation {
		e.Region, e.DataCentre, e.Forward, e.Peer, e.Admin = from.Region, from.DataCentre, from.Forward, from.Peer, from.Admin
	}
}

// hash covers the fields that must converge in all tables. Sequences are left out because they always differ.
func (e *MemberEntry) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, e.ID...)
	b = binary.LittleEndian.AppendUint64(b, e.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Version))
	return xxhash.Sum64(append(b, e.State))
}
