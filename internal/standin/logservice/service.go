// Package logservice simulates the platform's append-only log service, with faults that are injected over HTTP.
package logservice

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"regexp"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/hornbeamway/hornbeamway/internal/standin/httpserve"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
)

// Limits and defaults of the service.
const (
	defaultRetention  = time.Hour
	defaultMaxRecords = 1 << 20
	defaultReadLimit  = 500
	maxReadLimit      = 5000
	maxWait           = time.Minute
	maxRecordBytes    = 4 << 20
	maxStreams        = 1024
)

// streamName matches valid stream names.
var streamName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Options configures a Service.
type Options struct {
	// Clock is the time source. Default: the system clock.
	Clock clock.Clock
	// Seed is the random seed of the faults.
	Seed uint64
	// Retention is the maximum age of records. Default: 1 h.
	Retention time.Duration
	// MaxRecords is the maximum number of records per stream. Default: 1,048,576.
	MaxRecords int
	// AppendsPerSecond is the rate limit for the appends of all streams together; appends above it are refused with 503.
	// Default: 0, no limit.
	AppendsPerSecond float64
	// Era is the first era that responses on topics state. Default: 0, they state none until a copy is restored.
	Era int64
}

// StreamInfo describes a stream in the response to GET /streams.
type StreamInfo struct {
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
	Records int   `json:"records"`
	// Appended counts the appends since the start of the service.
	Appended int64 `json:"appended"`
	// AppendedPerSecond is the mean append rate over the last 10 whole seconds.
	AppendedPerSecond float64 `json:"appendedPerSecond"`
}

// Service is the simulated log service. It is safe for concurrent use.
type Service struct {
	clock   clock.Clock
	store   *store
	topics  *topics
	faults  *faultState
	limiter *rate.Limiter
	server  *httpserve.Server
}

// New returns a service without streams and without active faults.
func New(o Options) *Service {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.MaxRecords <= 0 {
		o.MaxRecords = defaultMaxRecords
	}
	s := &Service{
		clock:  o.Clock,
		topics: newTopics(o.Era),
		store:  &store{streams: map[string]*stream{}, maxRecords: o.MaxRecords, maxAge: o.Retention},
		faults: &faultState{random: rand.New(rand.NewPCG(o.Seed, 0)), changed: make(chan struct{})},
	}
	if o.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, int(o.AppendsPerSecond)))
	}
	s.server = httpserve.New(&fasthttp.Server{
		Handler: s.routes(), MaxRequestBodySize: maxRecordBytes, Logger: httpserve.Discard{}, NoDefaultServerHeader: true,
	})
	return s
}

// Serve handles requests on ln until Close.
func (s *Service) Serve(ln net.Listener) error { return s.server.Serve(ln, nil) }

// Close closes all connections and waits for the handlers to return.
func (s *Service) Close() error { return s.server.Close() }

// Faults returns the active faults.
func (s *Service) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// SetFaults replaces the active faults. It returns an error if a value is out of range.
func (s *Service) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.faults.set(f)
	return nil
}

// Expire drops the records of a stream before an offset. It does nothing if the stream does not exist.
func (s *Service) Expire(stream string, before int64) { s.store.expire(stream, before) }

// Streams describes all streams by name.
func (s *Service) Streams() map[string]StreamInfo { return s.store.list(s.clock.Now()) }

// routes returns the HTTP handler of the service.
func (s *Service) routes() fasthttp.RequestHandler {
	app := fiber.New(fiber.Config{Immutable: true, BodyLimit: maxRecordBytes})
	app.Post("/streams/:stream/records", s.checkStreamName, s.append)
	app.Get("/streams/:stream/records", s.checkStreamName, s.read)
	s.addTopicRoutes(app)
	app.Get("/streams", func(c fiber.Ctx) error { return c.JSON(map[string]any{"streams": s.Streams()}) })
	app.Get("/faults", func(c fiber.Ctx) error { return c.JSON(s.Faults()) })
	app.Post("/faults", s.handleSetFaults)
	return app.Handler()
}

// checkStreamName rejects invalid stream names and then applies the faults.
func (s *Service) checkStreamName(c fiber.Ctx) error {
	if !streamName.MatchString(c.Params("stream")) {
		return fiber.NewError(fiber.StatusBadRequest, "invalid stream name")
	}
	return s.applyFaults(c)
}

// applyFaults applies the faults that take effect before a request is handled.
func (s *Service) applyFaults(c fiber.Ctx) error {
	f, changed := s.faults.get()
	if f.Topic != "" && c.Query("topic") != f.Topic {
		return c.Next()
	}
	if f.Unreachable {
		for f.Unreachable {
			select {
			case <-s.server.Done():
				return dropConnection(c)
			case <-changed:
			}
			f, changed = s.faults.get()
		}
		return dropConnection(c)
	}
	if f.DelayMillis > 0 {
		select {
		case <-s.clock.After(f.delay()):
		case <-s.server.Done():
			return dropConnection(c)
		}
		f, _ = s.faults.get()
	}
	if f.Down {
		return fiber.NewError(fiber.StatusServiceUnavailable, "log service down")
	}
	return c.Next()
}

// dropConnection closes the connection without a response.
func dropConnection(c fiber.Ctx) error { return c.RequestCtx().Conn().Close() }

// append handles POST /streams/:stream/records.
func (s *Service) append(c fiber.Ctx) error {
	data := append(json.RawMessage(nil), c.Body()...)
	if !json.Valid(data) {
		return fiber.NewError(fiber.StatusBadRequest, "record is not JSON")
	}
	now := s.clock.Now()
	if s.limiter != nil && !s.limiter.AllowN(now, 1) {
		return fiber.NewError(fiber.StatusServiceUnavailable, "too many appends per second")
	}
	offset, ok := s.store.append(now, c.Params("stream"), data)
	if !ok {
		return fiber.NewError(fiber.StatusInsufficientStorage, "too many streams")
	}
	if s.faults.shouldLoseResponse() {
		return dropConnection(c)
	}
	return c.JSON(map[string]int64{"offset": offset})
}

// read handles GET /streams/:stream/records.
func (s *Service) read(c fiber.Ctx) error {
	from := fiber.Query[int64](c, "from", 0)
	limit := fiber.Query[int](c, "limit", defaultReadLimit)
	wait := time.Duration(fiber.Query[int64](c, "waitMs", 0)) * time.Millisecond
	if from < 0 || limit < 1 || wait < 0 {
		return fiber.NewError(fiber.StatusBadRequest, "from and waitMs must not be negative; limit must be at least 1")
	}
	batch, ok := s.poll(c.Params("stream"), from, min(limit, maxReadLimit), min(wait, maxWait))
	if !ok {
		return fiber.NewError(fiber.StatusServiceUnavailable, "log service down")
	}
	return c.JSON(batch)
}

// poll reads records and, if there are none, waits up to wait for the first one. It returns false if the service becomes
// unavailable in the meantime.
func (s *Service) poll(stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, bool) {
	batch, changed, ok := s.store.read(s.clock.Now(), stream, from, limit)
	if !ok || len(batch.Records) > 0 || wait == 0 {
		return batch, ok
	}
	timeout := s.clock.After(wait)
	for {
		_, faultsChanged := s.faults.get()
		select {
		case <-changed:
		case <-faultsChanged:
			if f, _ := s.faults.get(); f.Down || f.Unreachable {
				return platformlog.Batch{}, false
			}
			continue
		case <-timeout:
			wait = 0
		case <-s.server.Done():
			return platformlog.Batch{}, false
		}
		batch, changed, ok = s.store.read(s.clock.Now(), stream, from, limit)
		if !ok || len(batch.Records) > 0 || wait == 0 {
			return batch, ok
		}
	}
}

// faultsRequest is the body of POST /faults. Omitted fields keep their current values.
type faultsRequest struct {
	Faults
	// Expire drops the records of a stream before an offset. It is applied once and not stored.
	Expire *struct {
		Stream string `json:"stream"`
		Before int64  `json:"before"`
	} `json:"expire"`
}

// handleSetFaults handles POST /faults.
func (s *Service) handleSetFaults(c fiber.Ctx) error {
	request := faultsRequest{Faults: s.Faults()}
	if err := strictjson.Decode(c.Body(), &request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if err := s.SetFaults(request.Faults); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if request.Expire != nil {
		s.Expire(request.Expire.Stream, request.Expire.Before)
	}
	return c.JSON(s.Faults())
}
