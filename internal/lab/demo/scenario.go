package demo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

const (
	// maxInForceDelay is the time within which an accepted change must be in force on every VM.
	maxInForceDelay = 7 * time.Second
	// maxDrainDelay is the time after which a draining server must receive no new requests.
	maxDrainDelay = 3 * time.Second
	// decisionTimeout bounds the wait for the decision on a proposal.
	decisionTimeout = 15 * time.Second
	// pollInterval is the time between two reads of the progress of a proposal.
	pollInterval = 20 * time.Millisecond
)

// runScenario changes the preset and drains a server while the traffic is running.
func (d *demo) runScenario() error {
	if err := d.checkAcceptedChange(); err != nil {
		return err
	}
	if err := d.checkVetoedChange(); err != nil {
		return err
	}
	return d.checkDrain()
}

// propose proposes to activate a preset and returns the id of the proposal.
func (d *demo) propose(presetName string) (string, error) {
	operator := d.cluster.Operator()
	status, err := operator.Status()
	if err != nil {
		return "", err
	}
	content, err := json.Marshal(presetName)
	if err != nil {
		return "", err
	}
	response, err := operator.Propose(admin.ProposeRequest{
		Object: preset.ObjectActive, Base: status.ActiveVersion, Content: content,
	})
	return response.ID, errors.Wrapf(err, "propose to activate preset %s", presetName)
}

// waitForDecision waits until a proposal is decided.
func (d *demo) waitForDecision(id string) (preset.Progress, error) {
	ctx, cancel := context.WithTimeout(d.ctx, decisionTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		progress, err := d.cluster.Operator().Progress(id)
		if err != nil {
			return progress, err
		}
		switch progress.Phase {
		case preset.PhaseAccepted, preset.PhaseVetoed, preset.PhaseWithdrawn, preset.PhaseUnknown:
			return progress, nil
		}
		select {
		case <-ctx.Done():
			return progress, errors.Wrapf(ctx.Err(), "proposal %s is not decided: phase %s, waiting for %v",
				id, progress.Phase, progress.WaitingFor)
		case <-ticker.C:
		}
	}
}

func (d *demo) checkAcceptedChange() error {
	proposedAt := time.Now()
	id, err := d.propose("peak")
	if err != nil {
		return err
	}
	progress, err := d.waitForDecision(id)
	if err != nil {
		return err
	}
	acceptedAt := time.Now()
	if progress.Phase != preset.PhaseAccepted {
		d.recordViolation("the change to preset peak is %s, expected accepted", progress.Phase)
		return nil
	}
	ctx, cancel := context.WithTimeout(d.ctx, maxInForceDelay)
	defer cancel()
	inForceAt, err := d.cluster.WaitForVersion(ctx, progress.Offset)
	if err != nil {
		d.recordViolation("the change to preset peak was not in force on every VM within %v: %v", maxInForceDelay, err)
		return nil
	}
	d.printf("change to peak: accepted %v after its proposal, in force on all VMs %v after its acceptance was seen\n",
		acceptedAt.Sub(proposedAt).Round(time.Millisecond), inForceAt.Sub(acceptedAt).Round(time.Millisecond))
	d.checkActivePreset("peak")
	return nil
}

func (d *demo) checkVetoedChange() error {
	id, err := d.propose("maintenance")
	if err != nil {
		return err
	}
	vms := d.cluster.VMs()
	if err := vms[len(vms)-1].Customer().Veto(id); err != nil {
		return errors.Wrap(err, "veto")
	}
	progress, err := d.waitForDecision(id)
	if err != nil {
		return err
	}
	d.printf("change to maintenance: %s\n", progress.Phase)
	if progress.Phase != preset.PhaseVetoed {
		d.recordViolation("the vetoed change to preset maintenance is %s, expected vetoed", progress.Phase)
	}
	return nil
}

// checkActivePreset records a violation for every VM on which the preset is not in force.
func (d *demo) checkActivePreset(presetName string) {
	for _, vm := range d.cluster.VMs() {
		if status, err := vm.Operator().Status(); err != nil || status.Active != presetName {
			d.recordViolation("%s has preset %q in force, expected %s (error: %v)", vm.ID, status.Active, presetName, err)
		}
	}
}

// checkDrain drains one server and checks that it receives no new requests after maxDrainDelay.
func (d *demo) checkDrain() error {
	server := d.cluster.Servers("")[0]
	if err := server.Drain(maxDrainDelay.Milliseconds()); err != nil {
		return err
	}
	if !pause.Sleep(d.ctx, maxDrainDelay+200*time.Millisecond) {
		return d.ctx.Err()
	}
	before, err := server.Stats()
	if err != nil {
		return err
	}
	if !pause.Sleep(d.ctx, 2*time.Second) {
		return d.ctx.Err()
	}
	after, err := server.Stats()
	if err != nil {
		return err
	}
	d.printf("drain of %s: %d requests arrived in the two seconds after %v\n",
		server.ID, after.Requests-before.Requests, maxDrainDelay)
	if after.Requests != before.Requests {
		d.recordViolation("%s received %d requests later than %v after the start of its drain",
			server.ID, after.Requests-before.Requests, maxDrainDelay)
	}
	return nil
}
