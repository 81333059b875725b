package preset

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Stream is the name of the configuration log.
const Stream = "config"

// NoVersion is the version of an object or state that does not exist, and the position before the first record.
const NoVersion int64 = -1

// Kind is the kind of a record in the configuration log.
type Kind string

// The kinds of records.
const (
	KindBootstrap Kind = "bootstrap"
	KindPropose   Kind = "propose"
	KindVeto      Kind = "veto"
	KindWithdraw  Kind = "withdraw"
	KindAbort     Kind = "abort"
	KindAccept    Kind = "accept"
	KindSnapshot  Kind = "snapshot"
)

// Entry is the content of one record in the configuration log. Which fields count depends on the kind.
type Entry struct {
	Kind Kind `json:"kind"`
	// ID identifies the record, so that an append with a lost answer can be found. For a proposal it is its id.
	ID string `json:"id"`
	// Author is the operator, the customer or the VM that wrote the record.
	Author string `json:"author,omitempty"`

	// Active and Presets are the content of a bootstrap.
	Active  string            `json:"active,omitempty"`
	Presets []json.RawMessage `json:"presets,omitempty"`

	// Object is the object that a proposal changes: "active" or "preset/NAME".
	Object string `json:"object,omitempty"`
	// Base is the version of the object that a proposal builds on; NoVersion for a new preset.
	Base *int64 `json:"base,omitempty"`
	// Seen is the log position up to which the proposer had read. A proposal that had not seen the latest veto or
	// withdrawal of its object does not count, so that a repeated record cannot bring a vetoed change back.
	Seen int64 `json:"seen,omitempty"`
	// Content is the proposed preset, or the name of a preset for the object "active".
	Content json.RawMessage `json:"content,omitempty"`

	// Proposal is the id that a veto, withdrawal, abort or acceptance refers to.
	Proposal string `json:"proposal,omitempty"`
	// Round is the confirm round that an abort ends or an acceptance completes. An acceptance of an aborted round does
	// not count, so that a VM knows when its confirmation is void.
	Round int64 `json:"round,omitempty"`

	// Covers is the position of the last record in State, the state of a snapshot.
	Covers int64           `json:"covers,omitempty"`
	State  json.RawMessage `json:"state,omitempty"`
}

// ErrMalformedRecord reports a record that is not an Entry of a known kind.
var ErrMalformedRecord = errors.New("malformed configuration record")

// DecodeEntry decodes the data of a record. Unknown keys are ignored, so that later releases can add fields.
// Error: ErrMalformedRecord.
func DecodeEntry(data []byte) (*Entry, error) {
	e := &Entry{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, errors.Mark(err, ErrMalformedRecord)
	}
	switch e.Kind {
	case KindBootstrap, KindPropose, KindVeto, KindWithdraw, KindAbort, KindAccept, KindSnapshot:
		return e, nil
	}
	return nil, errors.Wrapf(ErrMalformedRecord, "unknown kind %q", e.Kind)
}
