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

// Headers of the platform's protocol and of this stand-in.
const (
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderRequestID = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderNotRun    = "Hornbeamway-Not-Run"
	HeaderDrain     = "Hornbeamway-Drain"
	// HeaderNonce is sent by a test and echoed, as a header and in the body of an Echo.
	HeaderNonce = "Standin-Nonce"
	// HeaderServer carries the server id on every answer to work.
	HeaderServer = "Standin-Server"
)

// Echo is the answer to work on paths other than /bytes/{n}.
type Echo struct {
	ServerID  string `json:"serverId"`
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Query     string `json:"query"`
	Nonce     string `json:"nonce"`
	// BodyBytes and BodyHash (xxhash64, hexadecimal) describe the request body that arrived.
	BodyBytes int64  `json:"bodyBytes"`
	BodyHash  string `json:"bodyHash"`
}

// job is one work request. Its strings are copies, because the request's memory is reused.
type job struct {
	Echo
	key      string
	deadline time.Time
}

// work reads the request, waits for a slot, runs and answers.
func (s *Server) work(ctx *fasthttp.RequestCtx, c *conn) {
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
	f, _ := s.switches.get()
	if f.Drain {
		ctx.Response.Header.Set(HeaderDrain, "1")
	}
	switch {
	case f.Stall:
		s.stats.stalled.Add(1)
		s.hold(c, func(f Faults) bool { return f.Stall })
	case f.FailProbability > 0 && s.draw((*rand.Rand).Float64) < f.FailProbability:
		s.stats.failed.Add(1)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case s.switches.sheds(s.clock.Now()):
		s.shed(ctx)
	default:
		s.queueAndRun(ctx, c, j)
	}
}

func (s *Server) newJob(ctx *fasthttp.RequestCtx) *job {
	h := &ctx.Request.Header
	j := &job{
		Echo: Echo{
			ServerID: s.options.ID, RequestID: string(h.Peek(HeaderRequestID)), Method: string(h.Method()),
			Path: string(ctx.URI().PathOriginal()), Query: string(ctx.URI().QueryString()), Nonce: string(h.Peek(HeaderNonce)),
		},
		key: string(h.Peek(HeaderKey)),
	}
	if ms, err := strconv.ParseInt(string(h.Peek(HeaderDeadline)), 10, 64); err == nil {
		j.deadline = s.clock.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return j
}

// readBody reads the whole request body without keeping it, so that the connection can be watched afterwards.
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

func (s *Server) shed(ctx *fasthttp.RequestCtx) {
	s.stats.shed.Add(1)
	ctx.Response.Header.Set(HeaderNotRun, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// queueAndRun waits for a slot and runs the job. The slot is held until the whole body is handed to the connection.
func (s *Server) queueAndRun(ctx *fasthttp.RequestCtx, c *conn, j *job) {
	gone, stop := c.watch()
	defer stop()
	switch s.slots.acquire(s.clock, gone, s.server.Done()) {
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
	if !s.run(j, gone) || s.switches.dropAnswer() {
		release()
		_ = c.Close()
		return
	}
	s.answer(ctx, c, j, release)
}

// run spends the service time. It reports false when the peer closed before the end.
func (s *Server) run(j *job, gone <-chan struct{}) bool {
	now := s.clock.Now()
	d := time.Duration(float64(s.serviceTime(j.Path))*s.switches.slowness(now)) + s.slots.takeDebt(now)
	s.stats.started.Add(1)
	entry := -1
	if j.Method != fasthttp.MethodGet && j.Method != fasthttp.MethodHead {
		entry = s.journal.start(Execution{
			IdempotencyKey: j.key, RequestID: j.RequestID, Method: j.Method, Path: j.Path, StartedAtMs: now.UnixMilli(),
		})
	}
	completed := false
	select {
	case <-s.clock.After(d):
		completed = true
		s.stats.completed.Add(1)
	case <-gone:
		s.stats.cancelled.Add(1)
	case <-s.server.Done():
	}
	s.journal.finish(entry, s.clock.Now(), completed)
	return completed
}

// answer sets the body and, when switched, where it is cut short.
func (s *Server) answer(ctx *fasthttp.RequestCtx, c *conn, j *job, release func()) {
	var size int64
	if n, ok := bytesWanted(j.Path); ok && (ctx.IsGet() || ctx.IsHead()) {
		size = n
		ctx.SetContentType("application/octet-stream")
		ctx.SetBodyStream(&patternReader{n: n, release: release}, int(n))
	} else {
		release()
		writeJSON(ctx, j.Echo)
		size = int64(len(ctx.Response.Body()))
	}
	if f := s.Faults(); f.Truncate && f.TruncateBytes < size && !ctx.IsHead() {
		c.cutAfter(f.TruncateBytes)
	}
}

// bytesWanted returns n of a path that ends in /bytes/{n}.
func bytesWanted(path string) (int64, bool) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 || parts[len(parts)-2] != "bytes" {
		return 0, false
	}
	n, err := strconv.ParseInt(parts[len(parts)-1], 10, 64)
	return n, err == nil && n >= 0
}
