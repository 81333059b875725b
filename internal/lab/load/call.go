package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// errMismatch marks a response that belongs to another request or is corrupted.
var errMismatch = errors.New("response does not match its request")

// call is one request of a stream. All attempts of an operation share it.
type call struct {
	stream *Stream
	id     string
	nonce  string
	path   string
	key    string
	body   []byte
	group  string
	// direct is set for requests that are sent directly to a backend server, not through an entry VM.
	direct bool
}

// result holds the outcome of one attempt and its details.
type result struct {
	outcome Outcome
	reason  string
	detail  string
	status  int
	// retryAfter is the delay requested by the Retry-After header of the response.
	retryAfter time.Duration
	// fingerprint consists of the server id and the hash of the body. A repeated operation must yield the same one.
	fingerprint string
}

// send makes one attempt. If it cannot connect to an entry VM, it proceeds to the next one, because nothing was sent.
func (g *generator) send(c *call) result {
	var tried []*target
	for {
		t := g.balancer.pick(c.group, tried)
		if t == nil {
			return result{outcome: NotSent, reason: "no_entry_vm"}
		}
		res, err := c.roundTrip(t)
		if !errors.Is(err, ErrNotConnected) {
			return res
		}
		t.unhealthy.Store(true)
		tried = append(tried, t)
	}
}

// roundTrip sends the request to one entry VM and classifies the response. Error: ErrNotConnected.
func (c *call) roundTrip(t *target) (result, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := t.client.Do(Request{
		Method: c.stream.Method, Path: c.path, ID: c.id, Nonce: c.nonce, Key: c.key, Body: c.body,
		Deadline: c.stream.Deadline, Timeout: c.stream.timeout(),
	}, resp)
	if errors.Is(err, ErrNotConnected) {
		return result{}, err
	}
	if err != nil {
		return lostResult(err), nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return c.classify(resp), nil
}

func lostResult(err error) result {
	reason := "connection_closed"
	var netErr net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &netErr) && netErr.Timeout() {
		reason = "caller_timeout"
	}
	return result{outcome: Lost, reason: reason, detail: err.Error()}
}

// classify derives the result of an attempt from its response.
func (c *call) classify(resp *fasthttp.Response) result {
	status := resp.StatusCode()
	if string(resp.Header.ContentType()) == problem.ContentType {
		return classifyProblem(resp, status)
	}
	if status < 200 || status > 299 {
		return result{outcome: Failed, reason: "status_" + strconv.Itoa(status), status: status}
	}
	fingerprint, err := c.verify(resp)
	switch {
	case errors.IsAny(err, errMismatch, backend.ErrPatternMismatch):
		return result{outcome: Wrong, reason: "wrong_answer", detail: c.id + ": " + err.Error(), status: status}
	case err != nil:
		return lostResult(err)
	}
	return result{outcome: Answered, status: status, fingerprint: fingerprint}
}

func classifyProblem(resp *fasthttp.Response, status int) result {
	var p problem.Problem
	body, err := ReadBody(resp)
	if err != nil {
		return lostResult(err)
	}
	if err := json.Unmarshal(body, &p); err != nil || p.Outcome != problem.NotRun && p.Outcome != problem.Unknown {
		return result{outcome: Wrong, reason: "wrong_problem", detail: string(body), status: status}
	}
	seconds, _ := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	return result{
		outcome: Outcome(p.Outcome), reason: string(p.Reason), detail: p.Detail, status: status,
		retryAfter: time.Duration(seconds) * time.Second,
	}
}

// verify compares a response with its request and returns its fingerprint. Errors: errMismatch, or the read error of a
// truncated body.
func (c *call) verify(resp *fasthttp.Response) (string, error) {
	serverID := string(resp.Header.Peek(backend.HeaderServer))
	if got := string(resp.Header.Peek(backend.HeaderNonce)); got != c.nonce {
		return "", errors.Wrapf(errMismatch, "nonce %q, want %q", got, c.nonce)
	}
	if got := string(resp.Header.Peek(backend.HeaderRequestID)); got != c.id && !c.direct {
		return "", errors.Wrapf(errMismatch, "request id %q, want %q", got, c.id)
	}
	if c.stream.hasPatternBody() {
		return serverID, c.verifyPattern(resp)
	}
	body, err := ReadBody(resp)
	if err != nil {
		return "", err
	}
	var got backend.Echo
	if err := json.Unmarshal(body, &got); err != nil {
		return "", errors.Mark(errors.Wrapf(err, "body %q", body), errMismatch)
	}
	expected := backend.Echo{
		ServerID: serverID, RequestID: c.id, Method: c.stream.Method, Path: c.path, Nonce: c.nonce,
		BodyBytes: int64(len(c.body)), BodyHash: strconv.FormatUint(xxhash.Sum64(c.body), 16),
	}
	if got != expected {
		return "", errors.Wrapf(errMismatch, "echo %+v, want %+v", got, expected)
	}
	return serverID + " " + strconv.FormatUint(xxhash.Sum64(body), 16), nil
}

// ReadBody returns the body of a response, which may be a stream.
func ReadBody(resp *fasthttp.Response) ([]byte, error) {
	if stream := resp.BodyStream(); stream != nil {
		return io.ReadAll(stream)
	}
	return resp.Body(), nil
}

// verifyPattern compares a body with the byte pattern of the stand-in while reading it.
func (c *call) verifyPattern(resp *fasthttp.Response) error {
	size, err := strconv.ParseInt(c.path[strings.LastIndexByte(c.path, '/')+1:], 10, 64)
	if err != nil {
		return errors.Mark(err, ErrOptions)
	}
	return backend.CheckPattern(BodyReader(resp), size)
}

// BodyReader returns a reader of the body of a response, which may be a stream.
func BodyReader(resp *fasthttp.Response) io.Reader {
	if stream := resp.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(resp.Body())
}

// Fetch sends one request of a stream to one entry VM and verifies the response. It returns the outcome, the elapsed time
// and, unless the outcome is Answered, the reason.
func Fetch(address string, s Stream) (Outcome, time.Duration, string) {
	id := "fetch-" + uuid.NewString()
	c := &call{stream: &s, id: id, nonce: "nonce-" + id, path: s.Path}
	t := newTarget(Target{Address: address})
	defer t.client.CloseIdleConnections()
	start := time.Now()
	res, err := c.roundTrip(t)
	if err != nil {
		return NotSent, time.Since(start), err.Error()
	}
	return res.outcome, time.Since(start), strings.TrimSpace(res.reason + " " + res.detail)
}
