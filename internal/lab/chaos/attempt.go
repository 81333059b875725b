package chaos

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// errCheck marks an answer that does not belong to its request or is damaged.
var errCheck = errors.New("wrong answer")

// request is what a caller wants. Its attempts share the nonce; each has its own request id.
type request struct {
	class    priority.Class
	method   string
	path     string
	nonce    string
	key      string
	ticket   bool
	body     []byte
	size     int64 // of the answer, for a retrieval
	deadline time.Duration
	timeout  time.Duration
}

// attempt is one try of a request at one entry VM.
type attempt struct {
	ID     string
	VM     string
	region string
	Sent   time.Time
	Ended  time.Time
	// Outcome covers all attempts of the request, Own this one.
	Outcome load.Outcome
	Own     load.Outcome
	Status  int
	Reason  string
	Detail  string
	// Answer names the run that gave the answer: the server and the request id that it saw.
	Answer string
	// torn says that the connection broke without an answer, as opposed to the caller's timeout.
	torn bool
	// body says that the connection broke inside the body of a good answer.
	body bool
}

// try sends one attempt. A refused connection moves on to the next entry VM, because nothing was sent on it.
func (f *front) try(random *rand.Rand, m *request, number int, outside string) attempt {
	a := attempt{ID: fmt.Sprintf("%s.%d", m.nonce, number), Sent: time.Now(), Outcome: load.NotSent, Own: load.NotSent}
	var tried []*door
	for {
		d := f.pick(random, outside, tried)
		if d == nil {
			a.Ended = time.Now()
			return a
		}
		a.VM, a.region = d.vm.ID, d.vm.Entry.Region
		if !errors.Is(m.exchange(d, &a), errDial) {
			a.Ended = time.Now()
			return a
		}
		tried = append(tried, d)
	}
}

// exchange sends the attempt to one entry VM. Error: errDial.
func (m *request) exchange(d *door, a *attempt) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(m.method)
	req.SetRequestURI("http://" + d.vm.Entry.Address + m.path)
	req.SetTimeout(m.timeout)
	req.Header.Set(backend.HeaderRequestID, a.ID)
	req.Header.Set(backend.HeaderNonce, m.nonce)
	if m.deadline > 0 {
		req.Header.Set(backend.HeaderDeadline, strconv.FormatInt(m.deadline.Milliseconds(), 10))
	}
	if m.key != "" {
		req.Header.Set(backend.HeaderKey, m.key)
	}
	if len(m.body) > 0 {
		req.SetBodyRaw(m.body)
	}
	err := d.client.Do(req, resp)
	if errors.Is(err, errDial) {
		return err
	}
	if err != nil {
		a.lost(err)
		return nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	a.Status = resp.StatusCode()
	m.judge(resp, a)
	return nil
}

func (a *attempt) set(o load.Outcome, reason, detail string) {
	a.Outcome, a.Own, a.Reason, a.Detail = o, o, reason, detail
}

func (a *attempt) lost(err error) {
	var timeout net.Error
	a.torn = !errors.Is(err, fasthttp.ErrTimeout) && !(errors.As(err, &timeout) && timeout.Timeout())
	a.set(load.Lost, "connection", err.Error())
}

// judge classifies an answer.
func (m *request) judge(resp *fasthttp.Response, a *attempt) {
	if string(resp.Header.ContentType()) == problem.ContentType {
		a.judgeProblem(resp)
		return
	}
	if a.Status != fasthttp.StatusOK {
		a.set(load.Failed, "status_"+strconv.Itoa(a.Status), "")
		return
	}
	err := m.check(resp, a)
	switch {
	case errors.IsAny(err, errCheck, backend.ErrPattern):
		a.set(load.Wrong, "wrong_answer", err.Error())
	case err != nil:
		a.lost(err)
		a.body = true
	default:
		a.set(load.Answered, "", "")
	}
}

func (a *attempt) judgeProblem(resp *fasthttp.Response) {
	body, err := readAll(resp)
	if err != nil {
		a.lost(err)
		return
	}
	var p problem.Problem
	if json.Unmarshal(body, &p) != nil || !known(p.Outcome) || !known(p.Attempt) {
		a.set(load.Wrong, "wrong_problem", string(body))
		return
	}
	a.Outcome, a.Own, a.Reason, a.Detail = load.Outcome(p.Outcome), load.Outcome(p.Attempt), string(p.Reason), p.Detail
}

func known(o problem.Outcome) bool { return o == problem.NotRun || o == problem.Unknown }

// check compares a good answer with its request. Errors: errCheck, or that of a body that was cut short.
func (m *request) check(resp *fasthttp.Response, a *attempt) error {
	if got := string(resp.Header.Peek(backend.HeaderNonce)); got != m.nonce {
		return errors.Wrapf(errCheck, "nonce %q, want %q", got, m.nonce)
	}
	a.Answer = string(resp.Header.Peek(backend.HeaderServer))
	if m.size > 0 {
		return m.checkBytes(resp)
	}
	body, err := readAll(resp)
	if err != nil {
		return err
	}
	var e backend.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Mark(errors.Wrapf(err, "body %q", body), errCheck)
	}
	path, query, _ := strings.Cut(m.path, "?")
	want := backend.Echo{
		ServerID: a.Answer, RequestID: e.RequestID, Method: m.method, Path: path, Query: query, Nonce: m.nonce,
		BodyBytes: int64(len(m.body)), BodyHash: strconv.FormatUint(xxhash.Sum64(m.body), 16),
	}
	// The answer to a repeated operation is that of an earlier attempt; any other answer is that of this one.
	if e != want || !strings.HasPrefix(e.RequestID, m.nonce+".") || m.key == "" && e.RequestID != a.ID {
		return errors.Wrapf(errCheck, "echo %+v, want %+v for attempt %s", e, want, a.ID)
	}
	a.Answer += " " + e.RequestID
	return nil
}

func readAll(resp *fasthttp.Response) ([]byte, error) {
	if stream := resp.BodyStream(); stream != nil {
		return io.ReadAll(stream)
	}
	return resp.Body(), nil
}

// checkBytes compares a body with the stand-in's pattern while it arrives.
func (m *request) checkBytes(resp *fasthttp.Response) error {
	if stream := resp.BodyStream(); stream != nil {
		return backend.CheckPattern(stream, m.size)
	}
	return backend.CheckPattern(bytes.NewReader(resp.Body()), m.size)
}
