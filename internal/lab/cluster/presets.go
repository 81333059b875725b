package cluster

import (
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
