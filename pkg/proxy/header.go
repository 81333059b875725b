package proxy

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Header names of the callers' interface.
const (
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderOperationTicket = "Operation-Ticket"
	HeaderDeadline        = "X-Deadline-Ms"
	HeaderRequestID       = "X-Request-Id"
)

// Header names between entry VMs. They are removed from callers' requests and from answers to callers.
const (
	headerPrefix  = "Hornbeamway-"
	headerHop     = "Hornbeamway-Hop"
	headerPeerKey = "Hornbeamway-Peer-Key"
	headerAttempt = "Hornbeamway-Attempt"
	headerPool    = "Hornbeamway-Pool"
	headerRefused = "Hornbeamway-Refused"
	headerLoad    = "Hornbeamway-Load"
)

// Headers in the answers of backend servers.
const (
	headerNotRun = "Hornbeamway-Not-Run"
	headerDrain  = "Hornbeamway-Drain"
)

// Values of headerHop.
const (
	hopOwner    = "owner"
	hopDispatch = "dispatch"
)

// hopByHop are the headers that end at each hop (RFC 9110, section 7.6.1). fasthttp handles Transfer-Encoding itself.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization, fasthttp.HeaderTE, fasthttp.HeaderUpgrade,
}

// headers is what request and response heads have in common.
type headers interface {
	Peek(key string) []byte
	Del(key string)
	DelBytes(key []byte)
	ResetConnectionClose()
}

// removeHopByHop removes the hop-by-hop headers and those that the Connection header names.
func removeHopByHop(h headers) {
	if connection := h.Peek(fasthttp.HeaderConnection); len(connection) > 0 {
		for name := range bytes.SplitSeq(bytes.Clone(connection), []byte(",")) {
			if name = bytes.TrimSpace(name); len(name) > 0 {
				h.DelBytes(name)
			}
		}
	}
	h.ResetConnectionClose()
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// removeInternal removes the headers that only entry VMs and backend servers may set. The attempt number stays: a backend
// server passes it on when it calls another service.
func removeInternal(h *fasthttp.RequestHeader) {
	var names [][]byte
	for key := range h.All() {
		if bytes.HasPrefix(key, []byte(headerPrefix)) && string(key) != headerAttempt {
			names = append(names, bytes.Clone(key))
		}
	}
	for _, name := range names {
		h.DelBytes(name)
	}
}

// parseDeadline returns the deadline of a request that arrived at now. ok is false if the header is not a number of
// milliseconds; a missing header gives the zero time.
func parseDeadline(h *fasthttp.RequestHeader, now time.Time) (deadline time.Time, ok bool) {
	value := h.Peek(HeaderDeadline)
	if len(value) == 0 {
		return time.Time{}, true
	}
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return time.Time{}, false
	}
	return now.Add(time.Duration(ms) * time.Millisecond), true
}

// setDeadline writes the time that is left until deadline, in whole milliseconds rounded down.
func setDeadline(h *fasthttp.RequestHeader, deadline, now time.Time) {
	if deadline.IsZero() {
		h.Del(HeaderDeadline)
		return
	}
	h.Set(HeaderDeadline, strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10))
}
