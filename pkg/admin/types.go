package admin

import (
	"encoding/json"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// Status is the answer of GET /v1/status.
type Status struct {
	VM string `json:"vm"`
	// Active names the preset in force; empty if none is known.
	Active string `json:"active"`
	// Version is the version of the configuration; ActiveVersion that of the choice of preset.
	Version       int64 `json:"version"`
	ActiveVersion int64 `json:"activeVersion"`
	// Since is this VM's time when the version came into force.
	Since time.Time `json:"since,omitzero"`
	// Reason says why this VM admits nothing; empty if it admits calls.
	Reason string `json:"reason,omitempty"`
	// InForceOn counts the listed entry VMs that have reported this version, of Listed.
	InForceOn int `json:"inForceOn"`
	Listed    int `json:"listed"`
	// LogAge is the time since the last contact with the log service; negative without any.
	LogAge time.Duration `json:"logAgeNs"`
}

// Preset is one preset with its version.
type Preset struct {
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	InForce bool            `json:"inForce"`
	Content *preset.Content `json:"content,omitempty"`
}

// ProposeRequest is the body of POST /v1/proposals.
type ProposeRequest struct {
	// Object is "active" or "preset/NAME".
	Object string `json:"object"`
	// Base is the version of the object that the change builds on; -1 for a new preset.
	Base int64 `json:"base"`
	// Content is a preset, or the name of a preset for the object "active".
	Content json.RawMessage `json:"content"`
}

// ProposeAnswer is the answer of POST /v1/proposals.
type ProposeAnswer struct {
	ID string `json:"id"`
	// Undecided says that the append has no known effect yet; the proposal may be pending.
	Undecided bool `json:"undecided,omitempty"`
}

// VM is an entry VM as this VM sees it.
type VM struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// Admin is the address of the VM's administration API.
	Admin string `json:"admin"`
	// State is the state of membership, or "unknown" for a VM that has never been heard of.
	State         string `json:"state"`
	PresetVersion int64  `json:"presetVersion"`
	// Listed is the state in the platform's list; empty if the VM is not on it.
	Listed string `json:"listed"`
}

// BackendServer is a backend server as this VM sees it.
type BackendServer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Listed is the state in the platform's list.
	Listed string `json:"listed"`
	// State holds what the dispatcher knows; nil unless this VM dispatches the server's pool.
	State *ServerState `json:"state,omitempty"`
}

// ServerState is what a dispatcher knows of a server.
type ServerState struct {
	Busy int `json:"busy"`
	// Limit is the number of slots in use at present: it is lower during slow start.
	Limit int `json:"limit"`
	// Slowness is the service time relative to the pool's mean.
	Slowness  float64 `json:"slowness"`
	ErrorRate float64 `json:"errorRate"`
	Ejected   bool    `json:"ejected"`
}

func newServerState(s *dispatch.ServerState) *ServerState {
	return &ServerState{
		Busy: s.Busy(), Limit: s.Limit(), Slowness: s.Slowness(), ErrorRate: s.ErrorRate(), Ejected: s.Ejected(),
	}
}

// Error is the body of an error answer.
type Error struct {
	Error string `json:"error"`
	// InForce is the version to build on, for a stale base.
	InForce *int64 `json:"inForce,omitempty"`
}
