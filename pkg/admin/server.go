// Package admin implements the administration API and its client. The server also serves health checks and metrics. It
// listens on a separate address.
package admin

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	fiberlog "github.com/gofiber/fiber/v3/log"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// ErrServe reports that the API server failed.
var ErrServe = errors.New("administration API failed")

// Limits of the API server.
const (
	// bodyLimit is the maximum size of a request body in bytes. A preset has at most 256 KiB.
	bodyLimit = 1 << 20
	// headerLimit is the maximum size of a request head in bytes.
	headerLimit = 8 << 10
	// defaultReadTimeout is the default time within which a request must arrive.
	defaultReadTimeout = 10 * time.Second
	// writeTimeout is the time within which the client must accept a response.
	writeTimeout = 10 * time.Second
	idleTimeout  = 60 * time.Second
	// connectionLimit is the maximum number of connections. It bounds the memory that clients without a credential can use.
	connectionLimit = 256
)

// Members provides the members, the listed entry VMs and the listed backend servers.
type Members interface {
	membership.View
	ListedEntryVMs() []vmlist.VM
	Servers() []vmlist.VM
}

// Pools provides the runners of the pools that this VM dispatches.
type Pools interface {
	Runners() map[dispatch.PoolKey]*dispatch.Runner
}

// Configuration provides the configuration as this VM has read it. *preset.Follower implements it.
type Configuration interface {
	InForce() *preset.Effective
	View() (*preset.State, <-chan struct{})
	Status() preset.Status
}

// Changer writes changes to the configuration log. *preset.Proposer implements it and documents the errors.
type Changer interface {
	Bootstrap(ctx context.Context, f *preset.File, author string) error
	Propose(ctx context.Context, c preset.Change) (id string, err error)
	Veto(ctx context.Context, proposal, author string) error
	Withdraw(ctx context.Context, proposal, author string) error
}

// Watcher reports the progress of a proposal. *preset.Watcher implements it.
type Watcher interface {
	Watch(ctx context.Context, id string) <-chan preset.Progress
}

// Options configure a server with its credentials and the components that the API shows and controls.
type Options struct {
	Credentials   config.Credentials
	Configuration Configuration
	Changer       Changer
	Watcher       Watcher
	Members       Members
	Pools         Pools
	// Ready reports whether this VM admits calls, and the reason if it does not.
	Ready func() (ok bool, reason string)
	// Burn reports the burn rates of the service-level objectives.
	Burn BurnReporter
	// ReadTimeout is the time within which a request must arrive. Default: 10s.
	ReadTimeout time.Duration
}

// BurnReporter reports the burn rates of this VM.
type BurnReporter interface {
	Report() burn.Report
}

// Server serves the API. It is safe for concurrent use.
type Server struct {
	Options
	app *fiber.App
}

// New returns a server. Call Serve to start it.
func New(o Options) *Server {
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	s := &Server{Options: o}
	s.app = fiber.New(fiber.Config{
		BodyLimit: bodyLimit, ReadBufferSize: headerLimit, Concurrency: connectionLimit,
		ReadTimeout: o.ReadTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ErrorHandler: writeError,
		// Watcher retains the proposal's id after the request, so strings must not share the request's buffer.
		Immutable: true,
	})
	// The library would write its own log lines for requests that anybody can send.
	fiberlog.SetOutput(io.Discard)
	s.registerRoutes()
	return s
}

func (s *Server) registerRoutes() {
	s.app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.readyz)
	s.app.Get("/metrics", writeMetrics)

	v1 := s.app.Group("/v1", s.authenticate)
	v1.Get("/status", s.status)
	v1.Get("/presets", s.presets)
	v1.Get("/presets/:name", s.preset)
	v1.Get("/proposals", s.proposals)
	v1.Get("/proposals/:id", s.progress)
	v1.Get("/vms", s.vms)
	v1.Get("/servers", s.servers)
	v1.Get("/burn", func(c fiber.Ctx) error { return c.JSON(s.Burn.Report()) })
	v1.Post("/bootstrap", s.handleChange("bootstrap", Operator, s.bootstrap))
	v1.Post("/proposals", s.handleChange("propose", Operator, s.propose))
	v1.Post("/proposals/:id/withdraw", s.handleChange("withdraw", Operator, s.withdraw))
	v1.Post("/proposals/:id/veto", s.handleChange("veto", Customer, s.veto))
}

// Serve serves the API on l until Close. It returns nil after Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.app.Listener(ingress.RetryAccept(l), fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return errors.Mark(err, ErrServe)
	}
	return nil
}

// closeTimeout is the time that Close waits for in-flight requests, such as a watch.
const closeTimeout = 2 * time.Second

// Close stops the server. It waits up to closeTimeout for in-flight requests.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.app.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Mark(err, ErrServe)
	}
	return nil
}

func (s *Server) readyz(c fiber.Ctx) error {
	if ok, reason := s.Ready(); !ok {
		return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString("ok\n")
}

func writeMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	metrics.WritePrometheus(c.Response().BodyWriter(), true)
	return nil
}
