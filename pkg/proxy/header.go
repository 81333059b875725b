package proxy

import (
	"bytes"
	"iter"
	"math"
	"slices"
	"strconv"
	"strings"
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
	headerRegion  = "Hornbeamway-Region"
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

// endsAtHop reports the hop-by-hop headers (RFC 9110, section 7.6.1). fasthttp handles Transfer-Encoding itself.
func endsAtHop(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
		fasthttp.HeaderProxyAuthorization, "Te", fasthttp.HeaderUpgrade:
		return true
	}
	return false
}

// isInternal reports the headers that only entry VMs and backend servers may set.
func isInternal(name []byte) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(string(name[:len(headerPrefix)]), headerPrefix)
}

// removeFromRequest removes the headers that end at this VM. The attempt number stays: a backend server passes it on when
// it calls another service. Expect ends here because this VM has already admitted the body.
func removeFromRequest(h *fasthttp.RequestHeader) {
	removeHeaders(h, func(name []byte) bool {
		return endsAtHop(name) || string(name) == fasthttp.HeaderExpect || isInternal(name) && string(name) != headerAttempt
	})
}

// removeFromAnswer removes the headers that must not reach the caller.
func removeFromAnswer(h *fasthttp.ResponseHeader) {
	removeHeaders(h, func(name []byte) bool { return endsAtHop(name) || isInternal(name) })
}

// removeHopByHop removes the headers that must not pass between two connections.
func removeHopByHop(h *fasthttp.ResponseHeader) { removeHeaders(h, endsAtHop) }

// headers is what request and response heads have in common.
type headers interface {
	All() iter.Seq2[[]byte, []byte]
	PeekAll(key string) [][]byte
	DelBytes(key []byte)
	AddBytesKV(key, value []byte)
	ResetConnectionClose()
}

// removeHeaders removes the headers for which ends is true and those that Connection names.
func removeHeaders(h headers, ends func(name []byte) bool) {
	var names [][]byte
	for name := range h.All() {
		if ends(name) {
			names = append(names, bytes.Clone(name))
		}
	}
	names = append(names, namedByConnection(h.PeekAll(fasthttp.HeaderConnection))...)
	h.ResetConnectionClose()
	if len(names) == 0 {
		return
	}
	repeated := repeatedHeaders(h)
	for _, name := range names {
		h.DelBytes(name)
		delete(repeated, string(name))
	}
	for name, values := range repeated {
		h.DelBytes([]byte(name))
		for _, value := range values {
			h.AddBytesKV([]byte(name), value)
		}
	}
}

// repeatedHeaders returns the values of the headers that occur more than once. Removing a header from fasthttp's list moves
// the last one to its place, which would change the order of the values. Cookies are kept in a list of their own.
func repeatedHeaders(h headers) map[string][][]byte {
	if !mayRepeat(h) {
		return nil
	}
	count := map[string]int{}
	for name := range h.All() {
		count[string(name)]++
	}
	repeated := map[string][][]byte{}
	for name, value := range h.All() {
		if count[string(name)] > 1 && string(name) != fasthttp.HeaderSetCookie && string(name) != fasthttp.HeaderCookie {
			repeated[string(name)] = append(repeated[string(name)], bytes.Clone(value))
		}
	}
	return repeated
}

// comparedHeaders is the number of headers that are compared with each other; heads with more are counted in a map.
const comparedHeaders = 32

// mayRepeat reports whether a header may occur more than once, without the cost of counting in the usual case.
func mayRepeat(h headers) bool {
	seen := make([][]byte, 0, comparedHeaders)
	for name := range h.All() {
		if len(seen) == comparedHeaders || slices.ContainsFunc(seen, func(s []byte) bool { return bytes.Equal(s, name) }) {
			return true
		}
		seen = append(seen, name)
	}
	return false
}

// namedByConnection returns the header names in the values of Connection. Headers that frame or route the message do not
// end at a hop, whatever the sender says.
func namedByConnection(values [][]byte) [][]byte {
	var names [][]byte
	for _, value := range values {
		for name := range bytes.SplitSeq(value, []byte(",")) {
			name = bytes.TrimSpace(name)
			switch strings.ToLower(string(name)) {
			case "", "close", "keep-alive", "host", "content-length", "transfer-encoding", "trailer", "content-type":
				continue
			case strings.ToLower(HeaderIdempotencyKey):
				continue
			}
			names = append(names, bytes.Clone(name))
		}
	}
	return names
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
