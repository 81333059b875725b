package ingress

import (
	"bytes"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// CheckHeaders rejects request heads that two servers could interpret differently. The error is a *problem.Problem.
func CheckHeaders(h *fasthttp.RequestHeader) error {
	if reason := headerError(h.RawHeaders()); reason != "" {
		return BadRequest(reason)
	}
	if len(h.Host()) == 0 && h.IsHTTP11() {
		return BadRequest("missing Host header")
	}
	return checkTarget(h.RequestURI())
}

// BadRequest returns the response to a malformed request.
func BadRequest(detail string) *problem.Problem {
	return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, detail)
}

// headerError returns why the raw header lines are invalid, or an empty string if they are valid.
func headerError(raw []byte) string {
	lengths, encodings, hosts := 0, 0, 0
	if len(raw) == 0 {
		return ""
	}
	for line := range bytes.SplitSeq(bytes.TrimSuffix(raw, []byte("\n")), []byte("\n")) {
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return "header line without carriage return"
		}
		line = line[:len(line)-1]
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || bytes.ContainsAny(value, "\r\x00") {
			return "malformed header line"
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return "transfer encoding is not supported"
			}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || lengths > 0 && encodings > 0:
		return "ambiguous body length"
	case hosts > 1:
		return "several Host headers"
	}
	return ""
}

// FieldBytes returns the length in bytes of the names and values of raw header lines, without what separates them.
func FieldBytes(raw []byte) int {
	total := 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		total += len(bytes.TrimSpace(name)) + len(bytes.TrimSpace(value))
	}
	return total
}

// MalformedProblem returns the response to a request that the HTTP library failed to read with err.
func MalformedProblem(err error) *problem.Problem {
	status, detail := fasthttp.StatusBadRequest, "malformed request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, detail = fasthttp.StatusRequestHeaderFieldsTooLarge, "request head is too large"
	case IsTimeout(err):
		status, detail = fasthttp.StatusRequestTimeout, "request did not arrive in time"
	}
	return problem.New(status, problem.NotRun, problem.ReasonBadRequest, detail)
}

// IsTimeout reports whether err is a timeout or an exceeded deadline.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// isToken reports whether name is a token (RFC 9110, section 5.6.2). An empty name, a name with a space before the colon and a
// folded line are not tokens.
func isToken(name []byte) bool {
	for _, b := range name {
		alphanumeric := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return len(name) > 0
}

// checkTarget rejects a request target whose path a backend server could resolve to a different route than this VM.
func checkTarget(target []byte) error {
	if len(target) > 0 && target[0] != '/' && target[0] != '*' {
		authority, rest := SplitAbsolute(target)
		if len(authority) == 0 || bytes.ContainsAny(authority, "@ \t") {
			return BadRequest("malformed request target")
		}
		target = rest
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	if bytes.IndexByte(path, '#') >= 0 || hasDotSegment(path) {
		return BadRequest("request target has dot segments or a fragment")
	}
	return nil
}

// hasDotSegment reports whether the path has a segment "." or "..", also percent-encoded.
func hasDotSegment(path []byte) bool {
	if bytes.IndexByte(path, '.') < 0 && bytes.IndexByte(path, '%') < 0 {
		return false
	}
	decoded := strings.NewReplacer(
		"%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", `\`, "/", "%5c", "/", "%5C", "/").Replace(string(path))
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// RequestPath returns the path of the request target, without the query.
func RequestPath(h *fasthttp.RequestHeader) []byte {
	target := h.RequestURI()
	if len(target) > 0 && target[0] != '/' {
		_, target = SplitAbsolute(target)
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	return path
}

// UseOriginForm converts a target in absolute form into origin form, and sets the Host header to its authority, whatever the caller
// sent there (RFC 9112, section 3.2.2).
func UseOriginForm(h *fasthttp.RequestHeader) {
	target := h.RequestURI()
	if len(target) == 0 || target[0] == '/' {
		return
	}
	authority, rest := SplitAbsolute(target)
	if len(authority) == 0 {
		return
	}
	// Copied, because both are parts of the target that is replaced.
	host, origin := string(authority), string(rest)
	h.SetHost(host)
	h.SetRequestURI(origin)
}

// SplitAbsolute splits an absolute-form target into its authority and its path with the query. For a target of another form the
// authority is nil and rest is the target.
func SplitAbsolute(target []byte) (authority, rest []byte) {
	_, after, ok := bytes.Cut(target, []byte("://"))
	if !ok {
		return nil, target
	}
	end := bytes.IndexAny(after, "/?")
	switch {
	case end < 0:
		return after, []byte("/")
	case after[end] == '?':
		return after[:end], append([]byte("/"), after[end:]...)
	}
	return after[:end], after[end:]
}
