// Package vmlist is a stand-in for the platform's list of live and leaving VMs, with faults that are switched over HTTP.
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

// maxListBytes bounds the body of PUT /vms.
const maxListBytes = 16 << 20

// Options configure a Service.
type Options struct {
	// Clock defaults to the system clock.
	Clock clock.Clock
	// VMs is the list at the start; it is visible at once.
	VMs []vmlist.VM
	// Lag is the time after which a change becomes visible. Default: 0.
	Lag time.Duration
}

// Service is the VM list. It is safe for concurrent use.
type Service struct {
	clock  clock.Clock
	state  *state
	server *httpserve.Server
}

// New returns a service. Error: the list of the options is not valid.
func New(o Options) (*Service, error) {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if err := validate(o.VMs); err != nil {
		return nil, err
	}
	s := &Service{clock: o.Clock, state: &state{versions: []version{{vms: []vmlist.VM{}}}}}
	s.state.change(o.Clock.Now(), func([]vmlist.VM) []vmlist.VM { return slices.Clone(o.VMs) })
	s.state.faults.LagMillis = o.Lag.Milliseconds()
	s.server = httpserve.New(&fasthttp.Server{
		Handler: s.routes(), MaxRequestBodySize: maxListBytes, Logger: httpserve.Discard{}, NoDefaultServerHeader: true,
	})
	return s, nil
}

// Serve answers requests on ln until Close.
func (s *Service) Serve(ln net.Listener) error { return s.server.Serve(ln, nil) }

// Close ends all connections and waits for the handlers.
func (s *Service) Close() error { return s.server.Close() }

// Faults returns the switched faults.
func (s *Service) Faults() Faults { return s.state.getFaults() }

// SetFaults replaces the switched faults.
func (s *Service) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.state.setFaults(s.clock.Now(), f)
	return nil
}

// Set replaces the true list.
func (s *Service) Set(vms []vmlist.VM) error {
	if err := validate(vms); err != nil {
		return err
	}
	s.state.change(s.clock.Now(), func([]vmlist.VM) []vmlist.VM { return slices.Clone(vms) })
	return nil
}

// Put adds or replaces one entry of the true list.
func (s *Service) Put(vm vmlist.VM) error {
	if err := validate([]vmlist.VM{vm}); err != nil {
		return err
	}
	s.state.change(s.clock.Now(), func(vms []vmlist.VM) []vmlist.VM { return append(without(vms, vm.ID), vm) })
	return nil
}

// Remove removes one entry of the true list. An unknown id changes nothing.
func (s *Service) Remove(id string) {
	s.state.change(s.clock.Now(), func(vms []vmlist.VM) []vmlist.VM { return without(vms, id) })
}

func without(vms []vmlist.VM, id string) []vmlist.VM {
	return slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.ID == id })
}

// list is the body of GET and PUT /vms.
type list struct {
	VMs []vmlist.VM `json:"vms"`
}

func (s *Service) routes() fasthttp.RequestHandler {
	app := fiber.New(fiber.Config{Immutable: true, BodyLimit: maxListBytes})
	app.Get("/vms", s.getList)
	app.Put("/vms", func(c fiber.Ctx) error {
		var body list
		if err := strictjson.Decode(c.Body(), &body); err != nil {
			return badRequest(err)
		}
		return noContent(c, s.Set(body.VMs))
	})
	app.Put("/vms/:id", s.putOne)
	app.Delete("/vms/:id", func(c fiber.Ctx) error {
		s.Remove(c.Params("id"))
		return noContent(c, nil)
	})
	app.Get("/faults", func(c fiber.Ctx) error { return c.JSON(s.Faults()) })
	app.Post("/faults", s.switchFaults)
	return app.Handler()
}

func (s *Service) getList(c fiber.Ctx) error {
	vms, down := s.state.view(s.clock.Now())
	if down {
		return fiber.NewError(fiber.StatusServiceUnavailable, "VM list down")
	}
	body, err := json.Marshal(list{VMs: vms})
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

func (s *Service) putOne(c fiber.Ctx) error {
	vm := vmlist.VM{ID: c.Params("id")}
	if err := strictjson.Decode(c.Body(), &vm); err != nil {
		return badRequest(err)
	}
	if vm.ID != c.Params("id") {
		return fiber.NewError(fiber.StatusBadRequest, "id of the body differs from the path")
	}
	return noContent(c, s.Put(vm))
}

func (s *Service) switchFaults(c fiber.Ctx) error {
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

func noContent(c fiber.Ctx, err error) error {
	if err != nil {
		return badRequest(err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}
