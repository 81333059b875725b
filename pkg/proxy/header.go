package proxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
)

// Header names of the interface to callers.
const (
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderOperationTicket = "Operation-Ticket"
	HeaderDeadline        = "X-Deadline-Ms"
	HeaderRequestID       = "X-Request-Id"
)

// Header names used between entry VMs. They are removed from requests of callers and from responses to callers.
const (
	headerPrefix  = "Hornbeamway-"
	headerHop     = "Hornbeamway-Hop"
	headerPeerKey = "Hornbeamway-Peer-Key"
	headerAttempt = "Hornbeamway-Attempt"
	headerPool    = "Hornbeamway-Pool"
	headerRegion  = "Hornbeamway-Region"
	headerRefused = "Hornbeamway-Refused"
	headerLoad    = "Hornbeamway-Load"
)

// Header names in the responses of backend servers.
const (
	headerNotRun = "Hornbeamway-Not-Run"
	headerDrain  = "Hornbeamway-Drain"
)

// Values of headerHop.
const (
	hopOwner    = "owner"
	hopDispatch = "dispatch"
)

// isInternal reports whether only entry VMs and backend servers may set the header.
func isInternal(name []byte) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(string(name[:len(headerPrefix)]), headerPrefix)
}

// removeFromRequest removes the headers that must not be forwarded. The attempt number is kept: a backend server passes
// it on when it calls another service. Expect is removed because this VM has already admitted the body.
func removeFromRequest(h *fasthttp.RequestHeader) {
	ingress.RemoveHeaders(h, func(name []byte) bool {
		return ingress.IsHopByHop(name) || string(name) == fasthttp.HeaderExpect || isInternal(name) && string(name) != headerAttempt
	})
}

// removeFromResponse removes the headers that must not reach the caller.
func removeFromResponse(h *fasthttp.ResponseHeader) {
	ingress.RemoveHeaders(h, func(name []byte) bool { return ingress.IsHopByHop(name) || isInternal(name) })
}

// removeHopByHop removes the headers that apply to a single connection.
func removeHopByHop(h *fasthttp.ResponseHeader) { ingress.RemoveHeaders(h, ingress.IsHopByHop) }

// parseDeadline returns the deadline of a request that arrived at now. ok is false if the header is not a number of
// milliseconds. Without the header, the deadline is the zero time.
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

// setDeadline sets the header to the time left until deadline, in whole milliseconds rounded down.
func setDeadline(h *fasthttp.RequestHeader, deadline, now time.Time) {
	if deadline.IsZero() {
		h.Del(HeaderDeadline)
		return
	}
	h.Set(HeaderDeadline, strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10))
}
