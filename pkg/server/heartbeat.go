package server

import (
	"context"

	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// heartbeatAdapter connects the heartbeats with the configuration follower. They depend on each other, so the follower is set
// once both are built. Heartbeats start after that.
type heartbeatAdapter struct {
	follower *preset.Follower
}

// localStatus returns the configuration version and log position of this VM, which its heartbeats carry.
func (a *heartbeatAdapter) localStatus() membership.HeartbeatStatus {
	status := a.follower.Status()
	return membership.HeartbeatStatus{PresetVersion: status.Version, LogOffset: status.Position + 1, LogAge: status.LogAge}
}

// onHeartbeat passes the configuration version and log position of a peer VM to the follower, which fetches newer state from it.
func (a *heartbeatAdapter) onHeartbeat(from membership.Member, status membership.HeartbeatStatus) {
	a.follower.HandlePeerStatus(preset.PeerStatus{VM: from.ID, Version: status.PresetVersion, Position: status.LogOffset - 1})
}

// registerPreset registers the RPC methods for the configuration of other entry VMs.
func registerPreset(server *peer.Server, follower *preset.Follower) {
	peer.Handle(server, methodConfirm, func(_ context.Context, r preset.ConfirmRequest) (preset.ConfirmResponse, error) {
		return follower.HandleConfirm(r), nil
	})
	peer.Handle(server, methodFetch, func(context.Context, struct{}) (preset.Snapshot, error) {
		return follower.Snapshot()
	})
}
