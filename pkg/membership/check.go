package membership

import (
	"context"

	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

// check is the parameter of membership.check: the caller was paused and asks what its peers know about it.
type check struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"n"`
}

// checkAnswer is the result of membership.check.
type checkAnswer struct {
	// Known is false when the answering VM has never heard of the caller's id.
	Known bool `json:"k,omitempty"`
	// Current is false when a later incarnation of the caller's id exists.
	Current bool `json:"c,omitempty"`
}

func (s *Service) answerCheck(c check) checkAnswer {
	for _, m := range s.current.Load().all {
		if m.ID == c.ID {
			return checkAnswer{Known: true, Current: m.Incarnation == c.Incarnation}
		}
	}
	return checkAnswer{}
}

// startCheck asks peers in random order until one answers. A VM without any peer counts as fresh.
func (l *loop) startCheck(ctx context.Context) {
	peers := lo.Filter(l.current.Load().all, func(m Member, _ int) bool {
		return m.ID != l.options.Self.ID && m.State < Suspect
	})
	if len(peers) == 0 {
		l.mustCheck.Store(false)
		return
	}
	l.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	p := peers[0] // one per tick; the next tick asks another
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		var a checkAnswer
		err := l.options.Sender.Call(ctx, p.Peer, methodCheck, check{l.options.Self.ID, l.options.Self.Incarnation}, &a)
		if err != nil {
			klog.V(1).InfoS("peer did not confirm the state after a pause", "peer", p.ID, "err", err)
			return
		}
		select {
		case l.checked <- a.Current || !a.Known:
		default:
		}
	}()
}

func (l *loop) finishCheck(current bool) {
	if current {
		l.mustCheck.Store(false)
		return
	}
	klog.ErrorS(nil, "a later process with this VM's id is running", "id", l.options.Self.ID)
	l.table.superseded, l.table.changed = true, true
}
