package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
)

// changeTimeout is the timeout of one change, including the wait until it takes effect.
const changeTimeout = 15 * time.Second

// auditRecord identifies a change in the audit log. Strings that do not apply are empty; base is then preset.NoVersion.
type auditRecord struct {
	proposal, object string
	base             int64
}

// changeHandler applies a change, writes the response and fills in the audit record.
type changeHandler func(ctx context.Context, c fiber.Ctx, r *auditRecord) error

// handleChange returns a handler that allows a change to one role only. It writes one audit line for each request, whether
// the change is applied, fails or is refused.
func (s *Server) handleChange(action string, allowed Role, apply changeHandler) fiber.Handler {
	return func(c fiber.Ctx) error {
		r := &auditRecord{proposal: c.Params("id"), base: preset.NoVersion}
		err := error(fiber.NewError(fiber.StatusForbidden, "only the "+string(allowed)+" may do this"))
		if requestRole(c) == allowed {
			ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
			defer cancel()
			err = apply(ctx, c, r)
		}
		s.logChange(c, action, r, err)
		return err
	}
}

// logChange writes the audit line of a change.
func (s *Server) logChange(c fiber.Ctx, action string, r *auditRecord, err error) {
	result := "done"
	if err != nil {
		result = err.Error()
	} else if c.Response().StatusCode() == fiber.StatusAccepted {
		result = preset.ErrUndecided.Error()
	}
	klog.InfoS("change requested", "vm", s.Members.Self().ID, "author", requestRole(c),
		"remote", c.RequestCtx().RemoteAddr().String(), "action", action, "proposal", r.proposal, "object", r.object,
		"base", r.base, "result", result)
}

func (s *Server) bootstrap(ctx context.Context, c fiber.Ctx, r *auditRecord) error {
	file, err := preset.ParseFile(c.Body())
	if err != nil {
		return err
	}
	r.object = preset.ObjectActive
	if err := s.Changer.Bootstrap(ctx, file, string(Operator)); err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) propose(ctx context.Context, c fiber.Ctx, r *auditRecord) error {
	request, err := decodeProposal(c.Body())
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	r.object, r.base = request.Object, request.Base
	r.proposal, err = s.Changer.Propose(ctx, preset.Change{
		Object: request.Object, Base: request.Base, Content: request.Content, Author: string(Operator),
	})
	if errors.Is(err, preset.ErrUndecided) && r.proposal != "" {
		return c.Status(fiber.StatusAccepted).JSON(ProposeResponse{ID: r.proposal, Undecided: true})
	}
	if err != nil {
		return err
	}
	return c.Status(fiber.StatusCreated).JSON(ProposeResponse{ID: r.proposal})
}

// decodeProposal decodes a ProposeRequest. The base is required: a missing one would be read as version 0, which exists.
func decodeProposal(body []byte) (*ProposeRequest, error) {
	var request struct {
		Object  string          `json:"object"`
		Base    *int64          `json:"base"`
		Content json.RawMessage `json:"content"`
	}
	if err := strictjson.Decode(body, &request); err != nil {
		return nil, err
	}
	if request.Object == "" || request.Base == nil || len(request.Content) == 0 {
		return nil, errors.New("object, base and content are required")
	}
	return &ProposeRequest{Object: request.Object, Base: *request.Base, Content: request.Content}, nil
}

func (s *Server) veto(ctx context.Context, c fiber.Ctx, r *auditRecord) error {
	if err := s.Changer.Veto(ctx, r.proposal, string(Customer)); err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) withdraw(ctx context.Context, c fiber.Ctx, r *auditRecord) error {
	if err := s.Changer.Withdraw(ctx, r.proposal, string(Operator)); err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) proposals(c fiber.Ctx) error {
	state, _ := s.Configuration.View()
	response := make([]*preset.Proposal, 0, len(state.Pending))
	for _, p := range state.Pending {
		response = append(response, p)
	}
	slices.SortFunc(response, func(a, b *preset.Proposal) int { return cmp.Compare(a.Offset, b.Offset) })
	return c.JSON(response)
}

// progress responds with the progress of a proposal. hornbeamctl polls it.
func (s *Server) progress(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	progress, ok := <-s.Watcher.Watch(ctx, c.Params("id"))
	if !ok {
		return fiber.NewError(fiber.StatusServiceUnavailable, "no answer in time")
	}
	return c.JSON(progress)
}

// writeError maps an error of a handler to a status code and an Error body.
func writeError(c fiber.Ctx, err error) error {
	body := Error{Error: err.Error()}
	var (
		fiberError *fiber.Error
		conflict   *preset.ConflictError
		decided    *preset.AlreadyDecidedError
	)
	status := fiber.StatusInternalServerError
	switch {
	case errors.As(err, &fiberError):
		status = fiberError.Code
	case errors.As(err, &conflict):
		status, body.InForce = fiber.StatusConflict, &conflict.InForce
		body.Error = "conflict on " + conflict.Object + ": " + conflict.Reason
	case errors.As(err, &decided):
		status = fiber.StatusConflict
	case errors.Is(err, preset.ErrInvalidContent):
		status = fiber.StatusUnprocessableEntity
	case errors.Is(err, preset.ErrNoProposal):
		status = fiber.StatusNotFound
	case errors.Is(err, preset.ErrNotReady), errors.Is(err, platformlog.ErrUnavailable):
		status = fiber.StatusServiceUnavailable
	case errors.Is(err, preset.ErrUndecided):
		// This must not be a success status: the customer would consider a veto effective that may never reach the log.
		status = fiber.StatusGatewayTimeout
	}
	return c.Status(status).JSON(body)
}
