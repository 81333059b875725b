// Package vmlist simulates the platform's list of live and leaving VMs, with faults that are injected over HTTP.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/standin/httpserve"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// maxListBytes is the maximum size of the body of PUT /vms.
const maxListBytes = 16 << 20

// Options configures a Service.
type Options struct {
	// Clock is the time source. Default: the system clock.
	Clock clock.Clock
	// VMs is the initial list, which is visible immediately.
	VMs []vmlist.VM
	// Lag is the delay until a change becomes visible. Default: 0.
	Lag time.Duration
}

// Service is the simulated VM list. It is safe for concurrent use.
type Service struct {
	clock  clock.Clock
	state  *state
	server *httpserve.Server
}

// New returns a service. It returns an error if the initial list is invalid.
func New(o Options) (*Service, error) {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if err := validate(o.VMs); err != nil {
		return nil, err
	}
	s := &Service{clock: o.Clock, state: &state{versions: []listVersion{{vms: []vmlist.VM{}}}}}
	s.state.change(o.Clock.Now(), func([]vmlist.VM) []vmlist.VM { return slices.Clone(o.VMs) })
	s.state.faults.LagMillis = o.Lag.Milliseconds()
	s.server = httpserve.New(&fasthttp.Server{
		Handler: s.routes(), MaxRequestBodySize: maxListBytes, Logger: httpserve.Discard{}, NoDefaultServerHeader: true,
	})
	return s, nil
}

// Serve handles requests on ln until Close.
func (s *Service) Serve(ln net.Listener) error { return s.server.Serve(ln, nil) }

// Close closes all connections and waits for the handlers to return.
func (s *Service) Close() error { return s.server.Close() }

// Faults returns the active faults.
func (s *Service) Faults() Faults { return s.state.getFaults() }

// SetFaults replaces the active faults. It returns an error if they are invalid.
func (s *Service) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.state.setFaults(s.clock.Now(), f)
	return nil
}

// Set replaces the true list. It returns an error if vms is invalid.
func (s *Service) Set(vms []vmlist.VM) error {
	if err := validate(vms); err != nil {
		return err
	}
	s.state.change(s.clock.Now(), func([]vmlist.VM) []vmlist.VM { return slices.Clone(vms) })
	return nil
}

// Put adds an entry to the true list or replaces the entry with the same ID.
func (s *Service) Put(vm vmlist.VM) error {
	if err := validate([]vmlist.VM{vm}); err != nil {
		return err
	}
	s.state.change(s.clock.Now(), func(vms []vmlist.VM) []vmlist.VM { return append(removeID(vms, vm.ID), vm) })
	return nil
}

// Remove removes an entry from the true list. It does nothing if the ID is not listed.
func (s *Service) Remove(id string) {
	s.state.change(s.clock.Now(), func(vms []vmlist.VM) []vmlist.VM { return removeID(vms, id) })
}

// removeID removes the entry with an ID from vms in place.
func removeID(vms []vmlist.VM, id string) []vmlist.VM {
	return slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.ID == id })
}

// listBody is the body of the response to GET /vms and of the request PUT /vms.
type listBody struct {
	VMs []vmlist.VM `json:"vms"`
}

func (s *Service) routes() fasthttp.RequestHandler {
	app := fiber.New(fiber.Config{Immutable: true, BodyLimit: maxListBytes})
	app.Get("/vms", s.handleGetList)
	app.Put("/vms", func(c fiber.Ctx) error {
		var body listBody
		if err := strictjson.Decode(c.Body(), &body); err != nil {
			return badRequest(err)
		}
		return noContentOrError(c, s.Set(body.VMs))
	})
	app.Put("/vms/:id", s.handlePutVM)
	app.Delete("/vms/:id", func(c fiber.Ctx) error {
		s.Remove(c.Params("id"))
		return noContentOrError(c, nil)
	})
	app.Get("/faults", func(c fiber.Ctx) error { return c.JSON(s.Faults()) })
	app.Post("/faults", s.handleSetFaults)
	return app.Handler()
}

// handleGetList handles GET /vms. It responds with 304 if the ETag matches.
func (s *Service) handleGetList(c fiber.Ctx) error {
	vms, down := s.state.visibleWithFaults(s.clock.Now())
	if down {
		return fiber.NewError(fiber.StatusServiceUnavailable, "VM list down")
	}
	body, err := json.Marshal(listBody{VMs: vms})
	if err != nil {
		return err
	}
	etag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(body)))
	c.Set(fiber.HeaderETag, etag)
	if c.Get(fiber.HeaderIfNoneMatch) == etag {
		return c.SendStatus(fiber.StatusNotModified)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

// handlePutVM handles PUT /vms/:id.
func (s *Service) handlePutVM(c fiber.Ctx) error {
	vm := vmlist.VM{ID: c.Params("id")}
	if err := strictjson.Decode(c.Body(), &vm); err != nil {
		return badRequest(err)
	}
	if vm.ID != c.Params("id") {
		return fiber.NewError(fiber.StatusBadRequest, "id of the body differs from the path")
	}
	return noContentOrError(c, s.Put(vm))
}

// handleSetFaults handles POST /faults. Omitted fields keep their current values.
func (s *Service) handleSetFaults(c fiber.Ctx) error {
	f := s.Faults()
	if err := strictjson.Decode(c.Body(), &f); err != nil {
		return badRequest(err)
	}
	if err := s.SetFaults(f); err != nil {
		return badRequest(err)
	}
	return c.JSON(s.Faults())
}

func badRequest(err error) error { return fiber.NewError(fiber.StatusBadRequest, err.Error()) }

// noContentOrError responds with 204, or with 400 if err is not nil.
func noContentOrError(c fiber.Ctx, err error) error {
	if err != nil {
		return badRequest(err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}
