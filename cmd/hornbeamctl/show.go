package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// printer prints values as JSON or as tables with a header row.
type printer struct {
	w    io.Writer
	json bool
}

// print prints value as JSON, or header and rows as a table.
func (p printer) print(value any, header []string, rows [][]string) error {
	if p.json {
		encoder := json.NewEncoder(p.w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}

// formatVersion returns a version number as text.
func formatVersion(v int64) string { return strconv.FormatInt(v, 10) }

// statusCommand shows the preset in force.
type statusCommand struct{}

func (*statusCommand) run(s *session) error {
	status, err := s.client.Status()
	if err != nil {
		return err
	}
	since := "-"
	if !status.Since.IsZero() {
		since = status.Since.Format(time.RFC3339)
	}
	return s.out.print(status, []string{"PRESET", "VERSION", "SINCE", "IN FORCE ON", "THIS VM"}, [][]string{{
		lo.CoalesceOrEmpty(status.Active, "-"), formatVersion(status.Version), since,
		fmt.Sprintf("%d of %d listed VMs", status.InForceCount, status.Listed),
		lo.CoalesceOrEmpty(status.Reason, "ready"),
	}})
}

// presetsCommand lists the presets.
type presetsCommand struct{}

func (*presetsCommand) run(s *session) error {
	presets, err := s.client.Presets()
	if err != nil {
		return err
	}
	rows := lo.Map(presets, func(p admin.Preset, _ int) []string {
		return []string{p.Name, formatVersion(p.Version), lo.Ternary(p.InForce, "yes", "")}
	})
	return s.out.print(presets, []string{"NAME", "VERSION", "IN FORCE"}, rows)
}

// showCommand shows the content of a preset, always as JSON.
type showCommand struct {
	Name string `arg:"positional,required" help:"name of the preset"`
}

func (c *showCommand) run(s *session) error {
	p, err := s.client.Preset(c.Name)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(s.out.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(p)
}

// proposalsCommand lists the pending proposals.
type proposalsCommand struct{}

func (*proposalsCommand) run(s *session) error {
	proposals, err := s.client.Proposals()
	if err != nil {
		return err
	}
	rows := lo.Map(proposals, func(p preset.Proposal, _ int) []string {
		return []string{p.ID, p.Object, formatVersion(p.Base), p.Author}
	})
	return s.out.print(proposals, []string{"PROPOSAL", "OBJECT", "BASE", "AUTHOR"}, rows)
}

// vmsCommand shows the entry VMs as seen by one of them.
type vmsCommand struct{}

func (*vmsCommand) run(s *session) error {
	vms, err := s.client.VMs()
	if err != nil {
		return err
	}
	rows := lo.Map(vms, func(v admin.VM, _ int) []string {
		return []string{v.ID, v.DataCentre, v.State, lo.CoalesceOrEmpty(v.Listed, "not listed"), formatVersion(v.PresetVersion)}
	})
	return s.out.print(vms, []string{"VM", "DATA CENTRE", "STATE", "LISTED", "VERSION"}, rows)
}

// serversCommand shows the backend servers as seen by one entry VM.
type serversCommand struct{}

func (*serversCommand) run(s *session) error {
	servers, err := s.client.Servers()
	if err != nil {
		return err
	}
	rows := lo.Map(servers, func(v admin.BackendServer, _ int) []string {
		row := []string{v.ID, v.Service, v.DataCentre, v.Address, v.Listed}
		if v.State == nil {
			return append(row, "-", "-", "-", "")
		}
		return append(row, fmt.Sprintf("%d/%d", v.State.Busy, v.State.Limit), fmt.Sprintf("%.2f", v.State.RelativeServiceTime),
			fmt.Sprintf("%.3f", v.State.ErrorRate), lo.Ternary(v.State.Ejected, "ejected", ""))
	})
	return s.out.print(servers, []string{"SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "LISTED", "BUSY", "SLOWNESS", "ERRORS", ""},
		rows)
}
