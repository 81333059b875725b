package chaos

import (
	"encoding/json"
	"fmt"
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

// errWrongResponse marks a response that belongs to another request or is corrupted.
var errWrongResponse = errors.New("wrong response")

// request is one request of a caller. Its attempts share the nonce; each attempt has its own request id.
type request struct {
	class    priority.Class
	method   string
	path     string
	nonce    string
	key      string
	ticket   bool
	body     []byte
	size     int64 // expected size of the response body in bytes, for a retrieval
	deadline time.Duration
	timeout  time.Duration
}

// attempt is one attempt of a request, sent to one entry VM.
type attempt struct {
	ID     string
	VM     string
	region string
	Sent   time.Time
	Ended  time.Time
	// Outcome is the outcome of the request over all its attempts, OwnOutcome that of this attempt alone.
	Outcome    load.Outcome
	OwnOutcome load.Outcome
	Status     int
	Reason     string
	Detail     string
	// AnsweredBy identifies the execution that produced the response: the server and the request id that it received.
	AnsweredBy string
	// connectionBroken is set if the connection broke before the response was complete, but not after the caller's timeout.
	connectionBroken bool
	// bodyBroken is set if the body of a successful response could not be read completely.
	bodyBroken bool
}

// sendAttempt sends one attempt. If it cannot connect to an entry VM, it tries another one, because nothing was sent.
func (b *balancer) sendAttempt(random *rand.Rand, r *request, number int, avoidRegion string) attempt {
	a := attempt{ID: fmt.Sprintf("%s.%d", r.nonce, number), Sent: time.Now(), Outcome: load.NotSent, OwnOutcome: load.NotSent}
	var tried []*endpoint
	for {
		e := b.pickEndpoint(random, avoidRegion, tried)
		if e == nil {
			a.Ended = time.Now()
			return a
		}
		a.VM, a.region = e.vm.ID, e.vm.Entry.Region
		if !errors.Is(r.exchange(e, &a), load.ErrNotConnected) {
			a.Ended = time.Now()
			return a
		}
		tried = append(tried, e)
	}
}

// exchange sends the attempt to one entry VM and records the response. Error: load.ErrNotConnected.
func (r *request) exchange(e *endpoint, a *attempt) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := e.client.Do(load.Request{
		Method: r.method, Path: r.path, ID: a.ID, Nonce: r.nonce, Key: r.key, Body: r.body, Deadline: r.deadline, Timeout: r.timeout,
	}, resp)
	if errors.Is(err, load.ErrNotConnected) {
		return err
	}
	if err != nil {
		a.setLost(err)
		return nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	a.Status = resp.StatusCode()
	r.classify(resp, a)
	return nil
}

func (a *attempt) setOutcome(o load.Outcome, reason, detail string) {
	a.Outcome, a.OwnOutcome, a.Reason, a.Detail = o, o, reason, detail
}

func (a *attempt) setLost(err error) {
	var netErr net.Error
	a.connectionBroken = !errors.Is(err, fasthttp.ErrTimeout) && !(errors.As(err, &netErr) && netErr.Timeout())
	a.setOutcome(load.Lost, "connection", err.Error())
}

// classify sets the outcome of an attempt from its response.
func (r *request) classify(resp *fasthttp.Response, a *attempt) {
	if string(resp.Header.ContentType()) == problem.ContentType {
		a.classifyProblem(resp)
		return
	}
	if a.Status != fasthttp.StatusOK {
		a.setOutcome(load.Failed, "status_"+strconv.Itoa(a.Status), "")
		return
	}
	err := r.checkResponse(resp, a)
	switch {
	case errors.IsAny(err, errWrongResponse, backend.ErrPatternMismatch):
		a.setOutcome(load.Wrong, "wrong_answer", err.Error())
	case err != nil:
		a.setLost(err)
		a.bodyBroken = true
	default:
		a.setOutcome(load.Answered, "", "")
	}
}

func (a *attempt) classifyProblem(resp *fasthttp.Response) {
	body, err := load.ReadBody(resp)
	if err != nil {
		a.setLost(err)
		return
	}
	var prob problem.Problem
	if json.Unmarshal(body, &prob) != nil || !isKnownOutcome(prob.Outcome) || !isKnownOutcome(prob.Attempt) {
		a.setOutcome(load.Wrong, "wrong_problem", string(body))
		return
	}
	a.Outcome, a.OwnOutcome, a.Reason, a.Detail = load.Outcome(prob.Outcome), load.Outcome(prob.Attempt),
		string(prob.Reason), prob.Detail
}

func isKnownOutcome(o problem.Outcome) bool { return o == problem.NotRun || o == problem.Unknown }

// checkResponse compares a successful response with its request. Errors: errWrongResponse, or the read error of a truncated body.
func (r *request) checkResponse(resp *fasthttp.Response, a *attempt) error {
	if got := string(resp.Header.Peek(backend.HeaderNonce)); got != r.nonce {
		return errors.Wrapf(errWrongResponse, "nonce %q, want %q", got, r.nonce)
	}
	a.AnsweredBy = string(resp.Header.Peek(backend.HeaderServer))
	if r.size > 0 {
		return r.checkPattern(resp)
	}
	body, err := load.ReadBody(resp)
	if err != nil {
		return err
	}
	var echo backend.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Mark(errors.Wrapf(err, "body %q", body), errWrongResponse)
	}
	path, query, _ := strings.Cut(r.path, "?")
	want := backend.Echo{
		ServerID: a.AnsweredBy, RequestID: echo.RequestID, Method: r.method, Path: path, Query: query, Nonce: r.nonce,
		BodyBytes: int64(len(r.body)), BodyHash: strconv.FormatUint(xxhash.Sum64(r.body), 16),
	}
	// The response to an operation may be that of an earlier attempt with the same key; any other must be that of this attempt.
	if echo != want || !strings.HasPrefix(echo.RequestID, r.nonce+".") || r.key == "" && echo.RequestID != a.ID {
		return errors.Wrapf(errWrongResponse, "echo %+v, want %+v for attempt %s", echo, want, a.ID)
	}
	a.AnsweredBy += " " + echo.RequestID
	return nil
}

// checkPattern compares a body with the stand-in's pattern while it is being received.
func (r *request) checkPattern(resp *fasthttp.Response) error {
	return backend.CheckPattern(load.BodyReader(resp), r.size)
}
