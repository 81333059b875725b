package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// changeTimeout bounds one change including the wait for its effect.
const changeTimeout = 15 * time.Second

func (s *Server) bootstrap(c fiber.Ctx) error {
	file, err := preset.ParseFile(c.Body())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if err := s.Proposer.Bootstrap(ctx, file, string(Operator)); err != nil {
		return err
	}
	klog.InfoS("configuration bootstrapped", "active", file.Active, "presets", len(file.Presets))
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) propose(c fiber.Ctx) error {
	var request ProposeRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	id, err := s.Proposer.Propose(ctx, preset.Change{
		Object: request.Object, Base: request.Base, Content: request.Content, Author: string(Operator),
	})
	if errors.Is(err, preset.ErrUndecided) {
		return c.Status(fiber.StatusAccepted).JSON(ProposeAnswer{ID: id, Undecided: true})
	}
	if err != nil {
		return err
	}
	klog.InfoS("change proposed", "proposal", id, "object", request.Object, "base", request.Base)
	return c.Status(fiber.StatusCreated).JSON(ProposeAnswer{ID: id})
}

func (s *Server) veto(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	return s.decided(c, s.Proposer.Veto(ctx, c.Params("id"), string(Customer)))
}

func (s *Server) withdraw(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	return s.decided(c, s.Proposer.Withdraw(ctx, c.Params("id"), string(Operator)))
}

func (s *Server) decided(c fiber.Ctx, err error) error {
	if err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) proposals(c fiber.Ctx) error {
	state, _ := s.Follower.View()
	answer := make([]*preset.Proposal, 0, len(state.Pending))
	for _, p := range state.Pending {
		answer = append(answer, p)
	}
	return c.JSON(answer)
}

// progress answers where a proposal stands. hornbeamctl polls it.
func (s *Server) progress(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	progress, ok := <-s.Watcher.Watch(ctx, c.Params("id"))
	if !ok {
		return fiber.NewError(fiber.StatusServiceUnavailable, "no answer in time")
	}
	return c.JSON(progress)
}

// answerError turns the errors of the layers below into answers of the API.
func answerError(c fiber.Ctx, err error) error {
	body := Error{Error: err.Error()}
	var (
		fiberError *fiber.Error
		conflict   *preset.ConflictError
		decided    *preset.DecidedError
	)
	status := fiber.StatusInternalServerError
	switch {
	case errors.As(err, &fiberError):
		status = fiberError.Code
	case errors.As(err, &conflict):
		status, body.InForce = fiber.StatusConflict, &conflict.InForce
	case errors.As(err, &decided):
		status = fiber.StatusConflict
	case errors.Is(err, preset.ErrInvalidContent):
		status = fiber.StatusUnprocessableEntity
	case errors.Is(err, preset.ErrNoProposal):
		status = fiber.StatusNotFound
	case errors.Is(err, preset.ErrNotReady), errors.Is(err, platformlog.ErrUnavailable):
		status = fiber.StatusServiceUnavailable
	case errors.Is(err, preset.ErrUndecided):
		status = fiber.StatusAccepted
	}
	return c.Status(status).JSON(body)
}
