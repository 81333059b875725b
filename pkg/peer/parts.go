package peer

import (
	"bytes"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
)

// maxCountedMethods bounds the methods with counters of their own, because peers choose the method names.
const maxCountedMethods = 32

// methodCounters holds the payload counters by method and direction.
var methodCounters struct {
	sync.Mutex
	counters map[[2]string]*metrics.Counter
}

// countPayload adds the payload of one message to the counter of its method. Messages without a valid method name,
// such as responses, are counted as "answer", and methods beyond maxCountedMethods as "other". ExposeHeaderTraffic
// exposes the headers.
func countPayload(data []byte, direction string) {
	method := "answer"
	if _, rest, ok := bytes.Cut(data, []byte(`"method":"`)); ok {
		if name, _, ok := bytes.Cut(rest, []byte(`"`)); ok && validMethodName(name) {
			method = string(name)
		}
	}
	methodCounters.Lock()
	defer methodCounters.Unlock()
	key := [2]string{method, direction}
	if methodCounters.counters == nil {
		methodCounters.counters = map[[2]string]*metrics.Counter{}
	}
	if methodCounters.counters[key] == nil && len(methodCounters.counters) >= 2*maxCountedMethods {
		key[0] = "other"
	}
	if methodCounters.counters[key] == nil {
		methodCounters.counters[key] = traffic.Counter("peer."+key[0], direction)
	}
	methodCounters.counters[key].Add(len(data))
}

// validMethodName reports whether a method name is suitable as a metric label: 1 to 64 letters and dots.
func validMethodName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && b != '.' {
			return false
		}
	}
	return len(name) > 0 && len(name) <= 64
}

// ExposeHeaderTraffic exposes the bytes of IP and TCP headers on the connections of a server and a pool as the part
// peer.headers of the control traffic.
func ExposeHeaderTraffic(s *Server, p *Pool) {
	traffic.RegisterGauge("peer.headers", "sent", func() uint64 {
		return segmentHeader * s.Traffic().add(p.Traffic()).SegmentsSent
	})
	traffic.RegisterGauge("peer.headers", "received", func() uint64 {
		return segmentHeader * s.Traffic().add(p.Traffic()).SegmentsReceived
	})
}
