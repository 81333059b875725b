package admin

import (
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

func (s *Server) status(c fiber.Ctx) error {
	state, _ := s.Configuration.View()
	followerStatus := s.Configuration.Status()
	response := Status{
		VM: s.Members.Self().ID, Active: state.Active, Version: state.Version, ActiveVersion: state.ActiveVersion,
		Reason: string(followerStatus.Reason), LogAge: followerStatus.LogAge,
	}
	if effective := s.Configuration.InForce(); effective != nil {
		response.Since = effective.Since
	}
	listed := lo.SliceToMap(s.Members.ListedEntryVMs(), func(v vmlist.VM) (string, bool) { return v.ID, true })
	response.Listed = len(listed)
	response.InForceCount = lo.CountBy(s.Members.Members(), func(m membership.Member) bool {
		// This VM's own member entry is updated only with its next heartbeat, so this VM always counts.
		return listed[m.ID] && (m.ID == response.VM || m.PresetVersion == state.Version)
	})
	return c.JSON(response)
}

func (s *Server) presets(c fiber.Ctx) error {
	state, _ := s.Configuration.View()
	response := make([]Preset, 0, len(state.Presets))
	for name, v := range state.Presets {
		response = append(response, Preset{Name: name, Version: v.Version, InForce: name == state.Active})
	}
	slices.SortFunc(response, func(a, b Preset) int { return strings.Compare(a.Name, b.Name) })
	return c.JSON(response)
}

func (s *Server) preset(c fiber.Ctx) error {
	state, _ := s.Configuration.View()
	name := c.Params("name")
	v, ok := state.Presets[name]
	if !ok {
		return fiber.NewError(fiber.StatusNotFound, "no such preset")
	}
	return c.JSON(Preset{Name: name, Version: v.Version, InForce: name == state.Active, Content: v.Content})
}

// stateUnknown is the state of a listed VM from which no heartbeat has been received.
const stateUnknown = "unknown"

func (s *Server) vms(c fiber.Ctx) error {
	vms := map[string]VM{}
	for _, v := range s.Members.ListedEntryVMs() {
		vms[v.ID] = VM{
			ID: v.ID, Region: v.Region, DataCentre: v.DataCentre, Admin: v.Admin, State: stateUnknown, Listed: string(v.State),
		}
	}
	for _, m := range s.Members.Members() {
		listed := vms[m.ID]
		vms[m.ID] = VM{
			ID: m.ID, Region: m.Region, DataCentre: m.DataCentre, Admin: lo.CoalesceOrEmpty(m.Admin, listed.Admin),
			State: m.State.String(), PresetVersion: m.PresetVersion, Listed: listed.Listed,
		}
	}
	response := lo.Values(vms)
	slices.SortFunc(response, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(response)
}

func (s *Server) servers(c fiber.Ctx) error {
	states := map[string]*ServerState{}
	for _, runner := range s.Pools.Runners() {
		for _, state := range runner.ServerStates() {
			states[state.Server().ID] = newServerState(&state)
		}
	}
	response := lo.Map(s.Members.Servers(), func(v vmlist.VM, _ int) BackendServer {
		return BackendServer{
			ID: v.ID, Service: v.Service, DataCentre: v.DataCentre, Address: v.Address, Listed: string(v.State),
			State: states[v.ID],
		}
	})
	slices.SortFunc(response, func(a, b BackendServer) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(response)
}
