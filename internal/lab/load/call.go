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

// errCheck marks an answer that does not belong to its request or is damaged.
var errCheck = errors.New("wrong answer")

// message is one request. Attempts of one order share it.
type message struct {
	stream *Stream
	id     string
	nonce  string
	path   string
	key    string
	body   []byte
	group  string
	// direct is set for requests to a backend server.
	direct bool
}

// result is what one attempt gave.
type result struct {
	outcome Outcome
	reason  string
	detail  string
	status  int
	// retryAfter is the time that the answer asks to wait.
	retryAfter time.Duration
	// answer names the server and the hash of the body, which a repeated order must give again.
	answer string
}

// send sends one attempt. A refused connection moves on to the next entry VM, because nothing was sent on it.
func (g *generator) send(m *message) result {
	var tried []*target
	for {
		t := g.balancer.pick(m.group, tried)
		if t == nil {
			return result{outcome: NotSent, reason: "no_entry_vm"}
		}
		res, err := m.exchange(t)
		if !errors.Is(err, errDial) {
			return res
		}
		t.down.Store(true)
		tried = append(tried, t)
	}
}

// exchange sends the request to one entry VM. Error: errDial.
func (m *message) exchange(t *target) (result, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	m.fill(req, t.address)
	err := t.client.Do(req, resp)
	if errors.Is(err, errDial) {
		return result{}, err
	}
	if err != nil {
		return lost(err), nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return m.judge(resp), nil
}

func (m *message) fill(req *fasthttp.Request, address string) {
	req.Header.SetMethod(m.stream.Method)
	req.SetRequestURI("http://" + address + m.path)
	req.SetTimeout(m.stream.timeout())
	req.Header.Set(backend.HeaderRequestID, m.id)
	req.Header.Set(backend.HeaderNonce, m.nonce)
	if m.stream.Deadline > 0 {
		req.Header.Set(backend.HeaderDeadline, strconv.FormatInt(m.stream.Deadline.Milliseconds(), 10))
	}
	if m.key != "" {
		req.Header.Set(backend.HeaderKey, m.key)
	}
	if len(m.body) > 0 {
		req.SetBodyRaw(m.body)
	}
}

func lost(err error) result {
	reason := "connection_closed"
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
		reason = "caller_timeout"
	}
	return result{outcome: Lost, reason: reason, detail: err.Error()}
}

// judge classifies an answer.
func (m *message) judge(resp *fasthttp.Response) result {
	status := resp.StatusCode()
	if string(resp.Header.ContentType()) == problem.ContentType {
		return judgeProblem(resp, status)
	}
	if status < 200 || status > 299 {
		return result{outcome: Failed, reason: "status_" + strconv.Itoa(status), status: status}
	}
	answer, err := m.check(resp)
	switch {
	case errors.IsAny(err, errCheck, backend.ErrPattern):
		return result{outcome: Wrong, reason: "wrong_answer", detail: m.id + ": " + err.Error(), status: status}
	case err != nil:
		return lost(err)
	}
	return result{outcome: Answered, status: status, answer: answer}
}

func judgeProblem(resp *fasthttp.Response, status int) result {
	var p problem.Problem
	body, err := readAll(resp)
	if err != nil {
		return lost(err)
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

// check compares an answer with its request. It returns the server and the body's hash. Errors: errCheck, or that of a
// body that was cut short.
func (m *message) check(resp *fasthttp.Response) (string, error) {
	server := string(resp.Header.Peek(backend.HeaderServer))
	if got := string(resp.Header.Peek(backend.HeaderNonce)); got != m.nonce {
		return "", errors.Wrapf(errCheck, "nonce %q, want %q", got, m.nonce)
	}
	if got := string(resp.Header.Peek(backend.HeaderRequestID)); got != m.id && !m.direct {
		return "", errors.Wrapf(errCheck, "request id %q, want %q", got, m.id)
	}
	if m.stream.bytes() {
		return server, m.checkBytes(resp)
	}
	body, err := readAll(resp)
	if err != nil {
		return "", err
	}
	var e backend.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return "", errors.Mark(errors.Wrapf(err, "body %q", body), errCheck)
	}
	want := backend.Echo{
		ServerID: server, RequestID: m.id, Method: m.stream.Method, Path: m.path, Nonce: m.nonce,
		BodyBytes: int64(len(m.body)), BodyHash: strconv.FormatUint(xxhash.Sum64(m.body), 16),
	}
	if e != want {
		return "", errors.Wrapf(errCheck, "echo %+v, want %+v", e, want)
	}
	return server + " " + strconv.FormatUint(xxhash.Sum64(body), 16), nil
}

func readAll(resp *fasthttp.Response) ([]byte, error) {
	if stream := resp.BodyStream(); stream != nil {
		return io.ReadAll(stream)
	}
	return resp.Body(), nil
}

// checkBytes compares a body with the stand-in's pattern while it arrives.
func (m *message) checkBytes(resp *fasthttp.Response) error {
	want, err := strconv.ParseInt(m.path[strings.LastIndexByte(m.path, '/')+1:], 10, 64)
	if err != nil {
		return errors.Mark(err, ErrOptions)
	}
	return backend.CheckPattern(bodyReader(resp), want)
}

func bodyReader(resp *fasthttp.Response) io.Reader {
	if stream := resp.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(resp.Body())
}

// Fetch sends one request of a stream to one entry VM and checks the answer. It returns its outcome, the time that it took
// and, when it was not answered, why.
func Fetch(address string, s Stream) (Outcome, time.Duration, string) {
	id := "fetch-" + uuid.NewString()
	m := &message{stream: &s, id: id, nonce: "nonce-" + id, path: s.Path}
	t := newTarget(Target{Address: address})
	defer t.client.CloseIdleConnections()
	start := time.Now()
	res, err := m.exchange(t)
	if err != nil {
		return NotSent, time.Since(start), err.Error()
	}
	return res.outcome, time.Since(start), strings.TrimSpace(res.reason + " " + res.detail)
}
