package cluster

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Credentials of the entry VMs that this package starts.
const (
	OperatorCredential = "lab-operator-credential"
	CustomerCredential = "lab-customer-credential"
	peerCredential     = "lab-peer-credential-01"
)

// readPresets reads the presets of a deployment from the samples directory and sets their veto period and number of entry
// VMs.
func readPresets(samples, deployment string, vetoPeriod time.Duration, entryVMs int) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(samples, deployment, "presets.json"))
	if err != nil {
		return nil, errors.Wrap(err, "read presets")
	}
	if data, err = hujson.Standardize(data); err != nil {
		return nil, errors.Wrap(err, "presets")
	}
	var document struct {
		Active  string           `json:"active"`
		Presets []map[string]any `json:"presets"`
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, errors.Wrap(err, "presets")
	}
	for _, p := range document.Presets {
		p["vetoPeriod"], p["entryVMs"] = vetoPeriod.String(), entryVMs
	}
	return json.Marshal(document)
}

// bootstrap submits the presets of the sample through the first VM.
func (c *Cluster) bootstrap(ctx context.Context) error {
	file, err := readPresets(c.options.Samples, c.options.Topology.Sample, c.options.VetoPeriod, c.options.Topology.EntryVMs)
	if err != nil {
		return err
	}
	operator := c.VMs()[0].Operator()
	// A VM that has not read the log yet refuses the bootstrap. A bootstrap takes effect only on an empty state, so retrying
	// it is harmless.
	return errors.Wrap(Poll(ctx, func() error {
		if status, err := operator.Status(); err == nil && status.Active != "" {
			return nil
		}
		return operator.Bootstrap(file)
	}), "bootstrap")
}
