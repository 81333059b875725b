package backend

import (
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Headers of the platform's protocol and of this simulated server.
const (
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNotRun         = "Hornbeamway-Not-Run"
	HeaderDrain          = "Hornbeamway-Drain"
	// HeaderNonce is set by a test and echoed in a header and in the body of an Echo.
	HeaderNonce = "Standin-Nonce"
	// HeaderServer carries the server ID in every response to a work request.
	HeaderServer = "Standin-Server"
)

// Echo is the response to work requests whose path does not end in /bytes/{n}.
type Echo struct {
	ServerID  string `json:"serverId"`
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Query     string `json:"query"`
	Nonce     string `json:"nonce"`
	// BodyBytes and BodyHash (xxhash64, hexadecimal) are the size and the hash of the received request body.
	BodyBytes int64  `json:"bodyBytes"`
	BodyHash  string `json:"bodyHash"`
}

// job is one work request. Its strings are copies, because fasthttp reuses the memory of the request.
type job struct {
	Echo
	idempotencyKey string
	deadline       time.Time
}

// handleWork reads a work request, applies the active faults, waits for a slot, runs the request and writes the response.
func (s *Server) handleWork(ctx *fasthttp.RequestCtx, c *conn) {
	defer func() { c.idle = true }()
	s.stats.requests.Add(1)
	j := s.newJob(ctx)
	if err := j.readBody(ctx); err != nil {
		s.stats.cancelled.Add(1)
		_ = c.Close()
		return
	}
	ctx.Response.Header.Set(HeaderServer, s.options.ID)
	if j.Nonce != "" {
		ctx.Response.Header.Set(HeaderNonce, j.Nonce)
	}
	f, _ := s.faults.get()
	if f.Drain {
		ctx.Response.Header.Set(HeaderDrain, "1")
	}
	switch {
	case f.Stall:
		s.stats.stalled.Add(1)
		s.holdUnanswered(c, func(f Faults) bool { return f.Stall })
	case f.FailProbability > 0 && s.randomValue((*rand.Rand).Float64) < f.FailProbability:
		s.stats.failed.Add(1)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case s.faults.shedsWork(s.clock.Now()):
		s.shed(ctx)
	default:
		s.queueAndRun(ctx, c, j)
	}
}

// newJob copies the fields of a work request.
func (s *Server) newJob(ctx *fasthttp.RequestCtx) *job {
	h := &ctx.Request.Header
	j := &job{
		Echo: Echo{
			ServerID: s.options.ID, RequestID: string(h.Peek(HeaderRequestID)), Method: string(h.Method()),
			Path: string(ctx.URI().PathOriginal()), Query: string(ctx.URI().QueryString()), Nonce: string(h.Peek(HeaderNonce)),
		},
		idempotencyKey: string(h.Peek(HeaderIdempotencyKey)),
	}
	if ms, err := strconv.ParseInt(string(h.Peek(HeaderDeadline)), 10, 64); err == nil {
		j.deadline = s.clock.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return j
}

// readBody reads the whole request body without storing it, so that watchDisconnect can read from the connection
// afterwards.
func (j *job) readBody(ctx *fasthttp.RequestCtx) error {
	hash := xxhash.New()
	var err error
	if body := ctx.RequestBodyStream(); body != nil {
		j.BodyBytes, err = io.Copy(hash, body)
	} else {
		body := ctx.PostBody()
		j.BodyBytes = int64(len(body))
		_, err = hash.Write(body)
	}
	j.BodyHash = strconv.FormatUint(hash.Sum64(), 16)
	return err
}

// shed refuses a request with 503 and HeaderNotRun.
func (s *Server) shed(ctx *fasthttp.RequestCtx) {
	s.stats.shed.Add(1)
	ctx.Response.Header.Set(HeaderNotRun, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// queueAndRun waits for a slot and runs the job. The slot is held until the whole response body has been read for writing
// to the connection.
func (s *Server) queueAndRun(ctx *fasthttp.RequestCtx, c *conn, j *job) {
	disconnected, stop := c.watchDisconnect()
	defer stop()
	switch s.slots.acquire(s.clock, disconnected, s.server.Done()) {
	case queueFull:
		s.shed(ctx)
		return
	case cancelled:
		s.stats.cancelled.Add(1)
		_ = c.Close()
		return
	}
	release := func() { s.slots.release(s.clock.Now()) }
	if !j.deadline.IsZero() && !s.clock.Now().Before(j.deadline) {
		release()
		s.stats.expired.Add(1)
		ctx.Response.Header.Set(HeaderNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	if !s.run(j, disconnected) || s.faults.shouldDropResponse() {
		release()
		_ = c.Close()
		return
	}
	s.writeResponse(ctx, c, j, release)
}

// run waits for the service time and records the execution. It returns false if the remote side disconnected or the server
// was closed before the end.
func (s *Server) run(j *job, disconnected <-chan struct{}) bool {
	now := s.clock.Now()
	duration := time.Duration(float64(s.serviceTime(j.Path))*s.faults.slowdown(now)) + s.slots.takeDebt(now)
	s.stats.started.Add(1)
	index := -1
	if j.Method != fasthttp.MethodGet && j.Method != fasthttp.MethodHead {
		index = s.journal.start(Execution{
			IdempotencyKey: j.idempotencyKey, RequestID: j.RequestID, Method: j.Method, Path: j.Path, StartedAtMs: now.UnixMilli(),
		})
	}
	completed := false
	select {
	case <-s.clock.After(duration):
		completed = true
		s.stats.completed.Add(1)
	case <-disconnected:
		s.stats.cancelled.Add(1)
	case <-s.server.Done():
	}
	s.journal.finish(index, s.clock.Now(), completed)
	return completed
}

// writeResponse sets the response body and, if the fault is active, the size to which the body is truncated.
func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, c *conn, j *job, release func()) {
	var size int64
	if n, ok := requestedBodySize(j.Path); ok && (ctx.IsGet() || ctx.IsHead()) {
		size = n
		ctx.SetContentType("application/octet-stream")
		ctx.SetBodyStream(&patternReader{size: n, release: release}, int(n))
	} else {
		release()
		writeJSON(ctx, j.Echo)
		size = int64(len(ctx.Response.Body()))
	}
	if f := s.Faults(); f.Truncate && f.TruncateBytes < size && !ctx.IsHead() {
		c.truncateBodyAfter(f.TruncateBytes)
	}
}

// requestedBodySize returns n for a path that ends in /bytes/{n}.
func requestedBodySize(path string) (int64, bool) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 || parts[len(parts)-2] != "bytes" {
		return 0, false
	}
	n, err := strconv.ParseInt(parts[len(parts)-1], 10, 64)
	return n, err == nil && n >= 0
}
