package membership

import (
	"context"

	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

// checkRequest is the parameter of membership.check. A VM sends it after a pause of its process, to find out whether
// a peer has its incarnation or a later one.
type checkRequest struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
}

// checkResponse is the result of membership.check.
type checkResponse struct {
	// Known is false when the responding VM has no entry for the sender's id.
	Known bool `json:"k,omitempty"`
	// Current is false when the responding VM has another, later incarnation of the sender's id.
	Current bool `json:"c,omitempty"`
}

// handleCheck looks up the sender of a check in the current view.
func (s *Service) handleCheck(c checkRequest) checkResponse {
	for _, m := range s.current.Load().all {
		if m.ID == c.ID {
			return checkResponse{Known: true, Current: m.Incarnation == c.Incarnation}
		}
	}
	return checkResponse{}
}

// startCheck sends a check to one random peer. It is called at each tick until a peer has responded. A VM without peers
// needs no check.
func (l *loop) startCheck(ctx context.Context) {
	peers := lo.Filter(l.current.Load().all, func(m Member, _ int) bool {
		return m.ID != l.options.Self.ID && m.State < Suspect
	})
	if len(peers) == 0 {
		l.checkPending.Store(false)
		return
	}
	l.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	p := peers[0] // one per tick; the next tick draws again
	l.background.Add(1)
	go func() {
		defer l.background.Done()
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		var a checkResponse
		err := l.options.Sender.Call(ctx, p.Peer, methodCheck, checkRequest{l.options.Self.ID, l.options.Self.Incarnation}, &a)
		if err != nil {
			klog.V(1).InfoS("membership check after a pause failed; retrying at the next tick", "peer", p.ID, "err", err)
			return
		}
		select {
		case l.checkResults <- a.Current || !a.Known:
		default:
		}
	}()
}

// finishCheck applies the result of a check: it ends the check, or marks this process as superseded.
func (l *loop) finishCheck(current bool) {
	if current {
		l.checkPending.Store(false)
		return
	}
	klog.ErrorS(nil, "superseded by a later process with the same VM id", "id", l.options.Self.ID)
	l.table.superseded, l.table.changed = true, true
}
