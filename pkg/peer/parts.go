package peer

import (
	"bytes"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
)

// maxParts bounds the methods that are counted apart, because a peer chooses the name.
const maxParts = 32

// parts holds the counters of the payload by method and direction.
var parts struct {
	sync.Mutex
	counters map[[2]string]*metrics.Counter
}

// count adds the payload of one message to its method's part of the control traffic. Answers name no method; headers are
// counted by CountHeaders.
func count(data []byte, direction string) {
	method := "answer"
	if _, rest, ok := bytes.Cut(data, []byte(`"method":"`)); ok {
		if name, _, ok := bytes.Cut(rest, []byte(`"`)); ok && plain(name) {
			method = string(name)
		}
	}
	parts.Lock()
	defer parts.Unlock()
	key := [2]string{method, direction}
	if parts.counters == nil {
		parts.counters = map[[2]string]*metrics.Counter{}
	}
	if parts.counters[key] == nil && len(parts.counters) >= 2*maxParts {
		key[0] = "other"
	}
	if parts.counters[key] == nil {
		parts.counters[key] = traffic.Counter("peer."+key[0], direction)
	}
	parts.counters[key].Add(len(data))
}

func plain(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && b != '.' {
			return false
		}
	}
	return len(name) > 0 && len(name) <= 64
}

// CountHeaders shows the headers of the connections of a server and a pool as the part peer.headers of the control
// traffic.
func CountHeaders(s *Server, p *Pool) {
	traffic.Gauge("peer.headers", "sent", func() uint64 {
		return segmentHeader * s.Traffic().add(p.Traffic()).SegmentsSent
	})
	traffic.Gauge("peer.headers", "received", func() uint64 {
		return segmentHeader * s.Traffic().add(p.Traffic()).SegmentsReceived
	})
}
