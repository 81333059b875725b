package cluster

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Credentials of the clusters that this package starts.
const (
	OperatorCredential = "lab-operator-credential"
	CustomerCredential = "lab-customer-credential"
	peerCredential     = "lab-peer-credential-01"
)

// readPresets reads the presets of a sample with another veto period and number of entry VMs.
func readPresets(samples, sample string, veto time.Duration, entryVMs int) ([]byte, error) {
	file, err := os.ReadFile(filepath.Join(samples, sample, "presets.json"))
	if err != nil {
		return nil, errors.Wrap(err, "read presets")
	}
	if file, err = hujson.Standardize(file); err != nil {
		return nil, errors.Wrap(err, "presets")
	}
	var document struct {
		Active  string           `json:"active"`
		Presets []map[string]any `json:"presets"`
	}
	if err := json.Unmarshal(file, &document); err != nil {
		return nil, errors.Wrap(err, "presets")
	}
	for _, p := range document.Presets {
		p["vetoPeriod"], p["entryVMs"] = veto.String(), entryVMs
	}
	return json.Marshal(document)
}
