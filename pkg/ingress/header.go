package ingress

import (
	"bytes"
	"iter"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// keptOperationKey is the lower-case name of the header that names an operation. A caller cannot have it removed.
const keptOperationKey = "idempotency-key"

// EndsAtHop reports the hop-by-hop headers (RFC 9110, section 7.6.1). fasthttp handles Transfer-Encoding itself.
func EndsAtHop(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
		fasthttp.HeaderProxyAuthorization, "Te", fasthttp.HeaderUpgrade:
		return true
	}
	return false
}

// headers is what request and response heads have in common.
type headers interface {
	All() iter.Seq2[[]byte, []byte]
	PeekAll(key string) [][]byte
	DelBytes(key []byte)
	AddBytesKV(key, value []byte)
	ResetConnectionClose()
}

// RemoveHeaders removes the headers for which ends is true and those that Connection names.
func RemoveHeaders(h headers, ends func(name []byte) bool) {
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
			case keptOperationKey:
				continue
			}
			names = append(names, bytes.Clone(name))
		}
	}
	return names
}
