package ingress

import (
	"bytes"
	"iter"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// idempotencyKeyHeader is the lower-case name of the header that carries the idempotency key of an operation. A caller cannot
// have it removed by naming it in Connection.
const idempotencyKeyHeader = "idempotency-key"

// IsHopByHop reports whether name is a hop-by-hop header (RFC 9110, section 7.6.1). fasthttp handles Transfer-Encoding itself.
func IsHopByHop(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
		fasthttp.HeaderProxyAuthorization, "Te", fasthttp.HeaderUpgrade:
		return true
	}
	return false
}

// headerList is the common interface of request and response headers.
type headerList interface {
	All() iter.Seq2[[]byte, []byte]
	PeekAll(key string) [][]byte
	DelBytes(key []byte)
	AddBytesKV(key, value []byte)
	ResetConnectionClose()
}

// RemoveHeaders removes the headers for which remove returns true and those that Connection names.
func RemoveHeaders(h headerList, remove func(name []byte) bool) {
	var names [][]byte
	for name := range h.All() {
		if remove(name) {
			names = append(names, bytes.Clone(name))
		}
	}
	names = append(names, connectionHeaderNames(h.PeekAll(fasthttp.HeaderConnection))...)
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
// the last one to its place, which would change the order of the values. Cookies are excluded, because fasthttp stores them in
// a separate list.
func repeatedHeaders(h headerList) map[string][][]byte {
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

// maxPairwiseHeaders is the number of headers up to which names are compared pairwise; in larger heads they are counted in a
// map.
const maxPairwiseHeaders = 32

// mayRepeat reports whether a header may occur more than once. It avoids the cost of counting in the common case.
func mayRepeat(h headerList) bool {
	seen := make([][]byte, 0, maxPairwiseHeaders)
	for name := range h.All() {
		if len(seen) == maxPairwiseHeaders || slices.ContainsFunc(seen, func(s []byte) bool { return bytes.Equal(s, name) }) {
			return true
		}
		seen = append(seen, name)
	}
	return false
}

// connectionHeaderNames returns the header names listed in the values of Connection. Headers that frame or route the message
// are never hop-by-hop and are left out, even if the sender lists them.
func connectionHeaderNames(values [][]byte) [][]byte {
	var names [][]byte
	for _, value := range values {
		for name := range bytes.SplitSeq(value, []byte(",")) {
			name = bytes.TrimSpace(name)
			switch strings.ToLower(string(name)) {
			case "", "close", "keep-alive", "host", "content-length", "transfer-encoding", "trailer", "content-type":
				continue
			case idempotencyKeyHeader:
				continue
			}
			names = append(names, bytes.Clone(name))
		}
	}
	return names
}

// chunkedLength is the library's content length of a message in chunks.
const chunkedLength = -1

// SetBufferedBody sets the body of a request to a server. The library sends no body for an empty one of a GET or HEAD request, but keeps
// the Transfer-Encoding of the caller's head, so that the server would wait for chunks.
func SetBufferedBody(req *fasthttp.Request, body []byte) {
	if req.Header.ContentLength() == chunkedLength {
		req.Header.SetContentLength(len(body))
	}
	req.SetBodyRaw(body)
}
