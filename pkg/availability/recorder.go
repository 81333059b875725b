// Package availability applies what backend servers state about their availability in their responses: that they are leaving, or
// that they want no requests for some time. The balancer keeps the statements; this package logs and counts them
// and publishes it to the peer VMs.
package availability

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

var (
	leavingStatements = metrics.NewCounter(`hornbeamway_server_statements_total{kind="leaving"}`)
	holdStatements    = metrics.NewCounter(`hornbeamway_server_statements_total{kind="hold"}`)
	oddStatements     = metrics.NewCounter(`hornbeamway_server_statements_total{kind="odd"}`)
)

// Recorder records the statements of servers. It is safe for concurrent use.
type Recorder struct {
	Clock    clock.Clock
	Balancer *balance.Balancer
	// Servers holds the connections to the servers. The idle ones to a server that is leaving are closed.
	Servers *upstream.Transport
	// Publish sends an event to the peer VMs.
	Publish func(loadshare.Event)
}

// Record applies a statement of a server. source names the request or probe that the response belongs to.
func (r *Recorder) Record(server *directory.Server, s balance.Statement, source string) {
	now := r.Clock.Now()
	change := r.Balancer.RecordStatement(server, s, now)
	if change.Err != nil {
		oddStatements.Inc()
		klog.InfoS("a server sent an unexpected Retry-After", "server", server.ID, "service", server.Service, "source", source, "hold",
			change.Hold, "err", change.Err)
	}
	if change.HeldOff {
		holdStatements.Inc()
		klog.InfoS("a server wants no requests for some time", "server", server.ID, "service", server.Service, "source", source,
			"hold", change.Hold, "until", now.Add(change.Hold).Format(time.StampMilli))
	}
	if change.Leaving {
		leavingStatements.Inc()
		klog.InfoS("a server states that it is leaving", "server", server.ID, "service", server.Service, "source", source,
			"listedAsLeaving", server.Leaving)
		key := balance.ServerKeyOf(server)
		r.Publish(loadshare.Event{Key: key, Count: r.Balancer.OwnInFlightAt(key), Leaving: true})
		r.Servers.CloseIdle(server.Address)
	}
}
