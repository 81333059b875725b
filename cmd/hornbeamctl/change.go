package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/tailscale/hujson"
)

// currentBase is the value of --base that stands for the version in force.
const currentBase = -2

type bootstrapCommand struct {
	File string `arg:"positional,required" help:"file with the presets (JSON with comments)"`
}

func (c *bootstrapCommand) run(s *session) error {
	file, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return s.client.Bootstrap(file)
}

type activateCommand struct {
	Name  string `arg:"positional,required" help:"name of the preset"`
	Base  int64  `arg:"--base" default:"-2" help:"version of the choice of preset that the change builds on; -2: the one in force"`
	Watch bool   `arg:"--watch" help:"watch the proposal until it is decided"`
}

func (c *activateCommand) run(s *session) error {
	base := c.Base
	if base == currentBase {
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
	return propose(s, admin.ProposeRequest{Object: preset.ObjectActive, Base: base, Content: content}, c.Watch)
}

type proposeCommand struct {
	File  string `arg:"positional,required" help:"file with the preset (JSON with comments)"`
	Base  int64  `arg:"--base" default:"-2" help:"version of the preset that the change builds on; -1: a new preset, -2: the one in force"`
	Watch bool   `arg:"--watch" help:"watch the proposal until it is decided"`
}

func (c *proposeCommand) run(s *session) error {
	file, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	content, err := preset.ParseContent(file)
	if err != nil {
		return err
	}
	base, err := c.base(s, content.Name)
	if err != nil {
		return err
	}
	standard, err := hujson.Standardize(file)
	if err != nil {
		return err
	}
	return propose(s, admin.ProposeRequest{Object: preset.ObjectOf(content.Name), Base: base, Content: standard}, c.Watch)
}

func (c *proposeCommand) base(s *session, name string) (int64, error) {
	if c.Base != currentBase {
		return c.Base, nil
	}
	p, err := s.client.Preset(name)
	return p.Version, err
}

func propose(s *session, r admin.ProposeRequest, watch bool) error {
	answer, err := s.client.Propose(r)
	if err != nil {
		return err
	}
	note := ""
	if answer.Undecided {
		note = "effect not known yet; watch it"
	}
	if err := s.out.print(answer, []string{"PROPOSAL", ""}, [][]string{{answer.ID, note}}); err != nil || !watch {
		return err
	}
	return watchProposal(s, answer.ID)
}

type vetoCommand struct {
	Proposal string `arg:"positional,required" help:"id of the proposal"`
}

func (c *vetoCommand) run(s *session) error { return s.client.Veto(c.Proposal) }

type withdrawCommand struct {
	Proposal string `arg:"positional,required" help:"id of the proposal"`
}

func (c *withdrawCommand) run(s *session) error { return s.client.Withdraw(c.Proposal) }

type watchCommand struct {
	Proposal string `arg:"positional,required" help:"id of the proposal"`
}

func (c *watchCommand) run(s *session) error { return watchProposal(s, c.Proposal) }

// watchProposal prints each change of the proposal's phase until it is decided.
func watchProposal(s *session, id string) error {
	last := ""
	for {
		p, err := s.client.Progress(id)
		if err != nil {
			return err
		}
		line := string(p.Phase)
		if len(p.WaitingFor) > 0 {
			line += " waiting for " + strings.Join(p.WaitingFor, ", ")
		}
		if line != last {
			last = line
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

// describe adds the version in force to the refusal of a stale base.
func describe(err error) string {
	var status *admin.StatusError
	if errors.As(err, &status) && status.Answer.InForce != nil {
		return fmt.Sprintf("%s; the version in force is %d", status.Answer.Error, *status.Answer.InForce)
	}
	return err.Error()
}
