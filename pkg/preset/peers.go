package preset

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// ErrPeerUnavailable reports a peer that did not respond or whose response cannot be used.
var ErrPeerUnavailable = errors.New("peer did not respond")

// ConfirmRequest asks a VM to confirm that a proposal is pending there in the given round.
type ConfirmRequest struct {
	Proposal string `json:"proposal"`
	// Offset is the log offset of the proposal.
	Offset int64 `json:"offset"`
	// Round is the confirm round. An abort record in the log voids the confirmations of a round.
	Round int64 `json:"round"`
	// Probe makes the request a query that does not bind the VM.
	Probe bool `json:"probe,omitempty"`
}

// ConfirmResponse is the response to a ConfirmRequest.
type ConfirmResponse struct {
	// Confirmed is true if the proposal is pending on the VM in this round. Unless the request was a probe, the VM is then
	// bound by its confirmation.
	Confirmed bool `json:"confirmed"`
	// Undecided is true if the VM has read neither a decision on the proposal nor the end of the round.
	Undecided bool `json:"undecided"`
	// Reason is the reason why the proposal is not confirmed.
	Reason string `json:"reason,omitempty"`
	// Position is the offset of the last record that the VM has applied.
	Position int64 `json:"position"`
}

// Snapshot is the configuration state of a VM as sent to another VM.
type Snapshot struct {
	// State is a marshalled State.
	State json.RawMessage `json:"state"`
	// Usable is true if the sending VM may use the state for admission.
	Usable bool `json:"sound"`
	// LogAge is the time since the VM last read to the end of the log; absent if it never has.
	LogAge *unit.Duration `json:"logAge,omitempty"`
	// PendingAges maps the id of each pending proposal to the time since the VM, or a VM from which it fetched the state,
	// first saw the proposal.
	PendingAges map[string]unit.Duration `json:"ages,omitempty"`
}

// Peers sends control messages to other entry VMs.
type Peers interface {
	// Confirm sends a confirm request to a VM.
	Confirm(ctx context.Context, vm string, r ConfirmRequest) (ConfirmResponse, error)
	// Fetch returns the state of a VM.
	Fetch(ctx context.Context, vm string) (Snapshot, error)
}

// Fleet provides the ids of the entry VMs.
type Fleet interface {
	// Self returns the id of this VM.
	Self() string
	// Listed returns the ids of the entry VMs that are live or leaving in the platform's VM list. known is false until the
	// list has been read; no proposal is accepted before.
	Listed() (ids []string, known bool)
	// Alive returns the ids of the entry VMs whose heartbeats arrive, including this VM.
	Alive() []string
}

// PeerStatus is the configuration version and log position in a heartbeat of a peer.
type PeerStatus struct {
	VM                string
	Version, Position int64
}
