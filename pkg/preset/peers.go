package preset

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// ErrPeer reports a peer that did not answer or answered something that cannot be used.
var ErrPeer = errors.New("peer did not answer")

// ConfirmRequest asks a VM to confirm that it holds a proposal.
type ConfirmRequest struct {
	Proposal string `json:"proposal"`
	// Offset is the offset of the proposal in the log.
	Offset int64 `json:"offset"`
	// Round is the confirm round; an abort in the log makes the confirmations of a round void.
	Round int64 `json:"round"`
	// Probe asks only whether the VM would confirm. It binds the VM to nothing.
	Probe bool `json:"probe,omitempty"`
}

// ConfirmAnswer is the answer to a ConfirmRequest.
type ConfirmAnswer struct {
	// Confirmed says that the VM holds the proposal in this round and is bound by it.
	Confirmed bool `json:"confirmed"`
	// Undecided says that the VM has read neither a decision on the proposal nor the end of the round.
	Undecided bool `json:"undecided"`
	// Reason says why it is not confirmed.
	Reason string `json:"reason,omitempty"`
	// Position is the position of the VM in the log.
	Position int64 `json:"position"`
}

// Snapshot is the state of a VM as another VM fetches it.
type Snapshot struct {
	// State is a marshalled State.
	State json.RawMessage `json:"state"`
	// Sound says that the VM itself may use the state for admission.
	Sound bool `json:"sound"`
	// LogAge is the time since the VM knew that it had read the whole log; absent when it never did.
	LogAge *unit.Duration `json:"logAge,omitempty"`
	// Ages are the times for which the VM, or one that it asked, has held each pending proposal.
	Ages map[string]unit.Duration `json:"ages,omitempty"`
}

// Peers sends control messages to other entry VMs.
type Peers interface {
	// Confirm asks a VM to confirm a proposal.
	Confirm(ctx context.Context, vm string, r ConfirmRequest) (ConfirmAnswer, error)
	// Fetch returns the state of a VM.
	Fetch(ctx context.Context, vm string) (Snapshot, error)
}

// Fleet tells which entry VMs there are.
type Fleet interface {
	// Self is the id of this VM.
	Self() string
	// Listed returns the ids of the entry VMs that the platform's list shows as live or leaving. known is false until
	// the list has been read; nothing is accepted before.
	Listed() (ids []string, known bool)
	// Alive returns the ids of the entry VMs whose heartbeats arrive, this VM included.
	Alive() []string
}

// PeerNote is what a heartbeat of a peer says about its configuration.
type PeerNote struct {
	VM                string
	Version, Position int64
}
