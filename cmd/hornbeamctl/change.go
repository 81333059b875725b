package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// baseInForce is the value of --base that selects the version in force.
const baseInForce = -2

// bootstrapCommand writes the first presets of a deployment.
type bootstrapCommand struct {
	File string `arg:"positional,required" help:"file with the presets (JSON with comments)"`
}

func (c *bootstrapCommand) run(s *session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return s.client.Bootstrap(data)
}

// activateCommand proposes another preset to be in force.
type activateCommand struct {
	Name  string `arg:"positional,required" help:"name of the preset"`
	Base  int64  `arg:"--base" default:"-2" help:"version of the choice of preset that the change builds on; -2: the one in force"`
	Watch bool   `arg:"--watch" help:"watch the proposal until it is decided"`
}

func (c *activateCommand) run(s *session) error {
	base := c.Base
	if base == baseInForce {
		status, err := s.client.Status()
		if err != nil {
			return err
		}
		base = status.ActiveVersion
	}
	content, err := json.Marshal(c.Name)
	if err != nil {
		return err
	}
	return submitProposal(s, admin.ProposeRequest{Object: preset.ObjectActive, Base: base, Content: content}, c.Watch)
}

// proposeCommand proposes new content for a preset.
type proposeCommand struct {
	File  string `arg:"positional,required" help:"file with the preset (JSON with comments)"`
	Base  int64  `arg:"--base" default:"-2" help:"version of the preset that the change builds on; -1: a new preset, -2: the one in force"`
	Watch bool   `arg:"--watch" help:"watch the proposal until it is decided"`
}

func (c *proposeCommand) run(s *session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	content, err := preset.ParseContent(data)
	if err != nil {
		return err
	}
	base, err := c.resolveBase(s, content.Name)
	if err != nil {
		return err
	}
	standardJSON, err := hujson.Standardize(data)
	if err != nil {
		return err
	}
	return submitProposal(s, admin.ProposeRequest{Object: preset.ObjectName(content.Name), Base: base, Content: standardJSON}, c.Watch)
}

// resolveBase returns the version of the preset that the proposal is based on.
func (c *proposeCommand) resolveBase(s *session, name string) (int64, error) {
	if c.Base != baseInForce {
		return c.Base, nil
	}
	p, err := s.client.Preset(name)
	return p.Version, err
}

// submitProposal submits a proposal, prints its ID and, if watch is set, watches it until it is decided.
func submitProposal(s *session, request admin.ProposeRequest, watch bool) error {
	response, err := s.client.Propose(request)
	if err != nil {
		return err
	}
	note := ""
	if response.Undecided {
		note = "effect not known yet; watch it"
	}
	if err := s.out.print(response, []string{"PROPOSAL", ""}, [][]string{{response.ID, note}}); err != nil || !watch {
		return err
	}
	return watchProposal(s, response.ID)
}

// vetoCommand vetoes a proposal.
type vetoCommand struct {
	Proposal string `arg:"positional,required" help:"id of the proposal"`
}

func (c *vetoCommand) run(s *session) error { return s.client.Veto(c.Proposal) }

// withdrawCommand withdraws a proposal.
type withdrawCommand struct {
	Proposal string `arg:"positional,required" help:"id of the proposal"`
}

func (c *withdrawCommand) run(s *session) error { return s.client.Withdraw(c.Proposal) }

// watchCommand watches a proposal until it is decided.
type watchCommand struct {
	Proposal string `arg:"positional,required" help:"id of the proposal"`
}

func (c *watchCommand) run(s *session) error { return watchProposal(s, c.Proposal) }

// watchProposal prints the phase of a proposal whenever it changes, until the proposal is decided.
func watchProposal(s *session, id string) error {
	lastLine := ""
	for {
		p, err := s.client.Progress(id)
		if err != nil {
			return err
		}
		line := string(p.Phase)
		if len(p.WaitingFor) > 0 {
			line += " waiting for " + strings.Join(p.WaitingFor, ", ")
		}
		if line != lastLine {
			lastLine = line
			if err := s.out.print(p, []string{"PROPOSAL", "PHASE"}, [][]string{{id, line}}); err != nil {
				return err
			}
		}
		switch p.Phase {
		case preset.PhaseAccepted, preset.PhaseVetoed, preset.PhaseWithdrawn, preset.PhaseUnknown:
			return nil
		}
		time.Sleep(s.watchInterval)
	}
}

// errorText returns the text of an error. If a proposal was rejected because its base is stale, the text includes the
// version in force.
func errorText(err error) string {
	var status *admin.StatusError
	if errors.As(err, &status) && status.Response.InForce != nil {
		return fmt.Sprintf("%s; the version in force is %d", status.Response.Error, *status.Response.InForce)
	}
	return err.Error()
}
