package preset

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Stream is the name of the configuration log.
const Stream = "config"

// NoVersion is the version of an object or state that does not exist, and also the position before the first record.
const NoVersion int64 = -1

// Kind is the type of a record in the configuration log.
type Kind string

// The types of records.
const (
	KindBootstrap Kind = "bootstrap"
	KindPropose   Kind = "propose"
	KindVeto      Kind = "veto"
	KindWithdraw  Kind = "withdraw"
	KindAbort     Kind = "abort"
	KindAccept    Kind = "accept"
	KindSnapshot  Kind = "snapshot"
)

// Entry is the content of one record in the configuration log. The kind determines which fields are used.
type Entry struct {
	Kind Kind `json:"kind"`
	// ID identifies the record, so that its effect can be found if the response to the append is lost. The ID of a
	// proposal record is also the id of the proposal.
	ID string `json:"id"`
	// Author identifies the operator, customer or VM that wrote the record.
	Author string `json:"author,omitempty"`

	// Active and Presets are the content of a bootstrap.
	Active  string            `json:"active,omitempty"`
	Presets []json.RawMessage `json:"presets,omitempty"`

	// Object is the object that a proposal changes: "active" or "preset/NAME".
	Object string `json:"object,omitempty"`
	// Base is the version of the object on which a proposal is based; NoVersion for a new preset.
	Base *int64 `json:"base,omitempty"`
	// Seen is the log position up to which the proposer had read. A proposal whose proposer had not read the latest veto
	// or withdrawal for its object is rejected, so that a repeated record cannot reintroduce a vetoed change.
	Seen int64 `json:"seen,omitempty"`
	// Content is the proposed preset or, for the object "active", the name of a preset.
	Content json.RawMessage `json:"content,omitempty"`

	// Proposal is the id that a veto, withdrawal, abort or acceptance refers to.
	Proposal string `json:"proposal,omitempty"`
	// Round is the confirm round that an abort ends or an acceptance completes. An acceptance of an aborted round is
	// ignored, so that a VM can determine when its confirmation has become void.
	Round int64 `json:"round,omitempty"`

	// Covers is the position of the last record applied to State, the marshalled state in a snapshot record.
	Covers int64           `json:"covers,omitempty"`
	State  json.RawMessage `json:"state,omitempty"`
}

// ErrMalformedRecord reports a record that cannot be decoded as an Entry of a known kind.
var ErrMalformedRecord = errors.New("malformed configuration record")

// DecodeEntry decodes the data of a record. It ignores unknown keys, so that later releases can add fields.
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
