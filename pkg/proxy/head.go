package proxy

import (
	"bytes"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// checkHead refuses heads that two servers could read differently. The error is a *problem.Problem.
func checkHead(h *fasthttp.RequestHeader) error {
	if fault := headFault(h.RawHeaders()); fault != "" {
		return badRequest(fault)
	}
	if len(h.Host()) == 0 && h.IsHTTP11() {
		return badRequest("missing Host header")
	}
	return checkTarget(h.RequestURI())
}

func badRequest(detail string) *problem.Problem {
	return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, detail)
}

// headFault returns the first fault of the header lines, or nothing.
func headFault(raw []byte) string {
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

// isToken reports whether name is a token (RFC 9110, section 5.6.2). An empty name, a space before the colon and a folded
// line are none.
func isToken(name []byte) bool {
	for _, b := range name {
		alphanumeric := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return len(name) > 0
}

// checkTarget refuses a target whose path a backend server could resolve to another route than this VM.
func checkTarget(target []byte) error {
	if len(target) > 0 && target[0] != '/' && target[0] != '*' {
		authority, rest := splitAbsolute(target)
		if len(authority) == 0 || bytes.ContainsAny(authority, "@ \t") {
			return badRequest("malformed request target")
		}
		target = rest
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	if bytes.IndexByte(path, '#') >= 0 || hasDotSegment(path) {
		return badRequest("request target has dot segments or a fragment")
	}
	return nil
}

// hasDotSegment reports segments that are "." or "..", also when they are percent-encoded.
func hasDotSegment(path []byte) bool {
	if bytes.IndexByte(path, '.') < 0 && bytes.IndexByte(path, '%') < 0 {
		return false
	}
	plain := strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", `\`, "/", "%5c", "/", "%5C", "/").Replace(string(path))
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// answerMalformed answers a request that the library could not read.
func answerMalformed(ctx *fasthttp.RequestCtx, err error) {
	status, detail := fasthttp.StatusBadRequest, "malformed request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, detail = fasthttp.StatusRequestHeaderFieldsTooLarge, "request head is too large"
	case isTimeout(err):
		status, detail = fasthttp.StatusRequestTimeout, "request did not arrive in time"
	}
	answer := problem.New(status, problem.NotRun, problem.ReasonBadRequest, detail)
	problem.Write(&ctx.Response, answer)
	countProblem(answer)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*serverConn); ok {
		conn.linger = true
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// parsePool reads the value of headerPool: service and data centre.
func parsePool(value []byte) dispatch.PoolKey {
	service, dataCentre, _ := strings.Cut(string(value), "/")
	return dispatch.PoolKey{Service: service, DataCentre: dataCentre}
}

// chainOnClose runs f when the streamed body of resp is closed. It reports false if the body is not streamed.
func chainOnClose(resp *fasthttp.Response, f func()) bool {
	stream, ok := resp.BodyStream().(*upstream.Body)
	if ok {
		stream.OnClose(f)
	}
	return ok
}
