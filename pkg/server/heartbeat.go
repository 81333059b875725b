package server

import (
	"context"

	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// vitalsLink joins the heartbeats with the configuration follower. Each needs the other, so the follower is set once both
// are built; heartbeats start after that.
type vitalsLink struct {
	follower *preset.Follower
}

// vitals tells peers the version and log position of this VM.
func (l *vitalsLink) vitals() membership.Vitals {
	status := l.follower.Status()
	return membership.Vitals{PresetVersion: status.Version, LogOffset: status.Position + 1, LogAge: status.LogAge}
}

// heard brings the version and log position of a peer to the follower, which fetches what is later than its own.
func (l *vitalsLink) heard(from membership.Member, v membership.Vitals) {
	l.follower.NotePeer(preset.PeerNote{VM: from.ID, Version: v.PresetVersion, Position: v.LogOffset - 1})
}

// registerPreset serves the configuration messages of other entry VMs.
func registerPreset(server *peer.Server, follower *preset.Follower) {
	peer.Handle(server, methodConfirm, func(_ context.Context, r preset.ConfirmRequest) (preset.ConfirmAnswer, error) {
		return follower.HandleConfirm(r), nil
	})
	peer.Handle(server, methodFetch, func(context.Context, struct{}) (preset.Snapshot, error) {
		return follower.Snapshot()
	})
}
