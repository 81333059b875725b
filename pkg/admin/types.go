package admin

import (
	"encoding/json"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// Status is the response to GET /v1/status.
type Status struct {
	VM string `json:"vm"`
	// Active is the name of the preset in force; empty if none is known.
	Active string `json:"active"`
	// Version is the version of the configuration. ActiveVersion is the version of the choice of preset.
	Version       int64 `json:"version"`
	ActiveVersion int64 `json:"activeVersion"`
	// Since is the time by this VM's clock at which the version came into force.
	Since time.Time `json:"since,omitzero"`
	// Reason is the reason why this VM admits no calls; empty if it admits calls.
	Reason string `json:"reason,omitempty"`
	// InForceCount is the number of listed entry VMs that have reported this version. Listed is the number of listed entry
	// VMs.
	InForceCount int `json:"inForceOn"`
	Listed       int `json:"listed"`
	// LogAge is the time since the last contact with the log service; negative if there was none.
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
	// Base is the version of the object that the change is based on; -1 for a new preset.
	Base int64 `json:"base"`
	// Content is a preset, or the name of a preset for the object "active".
	Content json.RawMessage `json:"content"`
}

// ProposeResponse is the response to POST /v1/proposals.
type ProposeResponse struct {
	ID string `json:"id"`
	// Undecided is true if the effect of the append is not known yet; the proposal may be pending.
	Undecided bool `json:"undecided,omitempty"`
}

// VM is an entry VM as seen by the responding VM.
type VM struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// Admin is the address of the VM's administration API.
	Admin string `json:"admin"`
	// State is the membership state, or "unknown" for a listed VM from which no heartbeat has been received.
	State         string `json:"state"`
	PresetVersion int64  `json:"presetVersion"`
	// Listed is the state in the platform's list; empty if the VM is not listed.
	Listed string `json:"listed"`
}

// BackendServer is a backend server as seen by the responding VM.
type BackendServer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Listed is the state in the platform's list.
	Listed string `json:"listed"`
	// State is the dispatcher's state of the server; nil unless this VM dispatches the server's pool.
	State *ServerState `json:"state,omitempty"`
}

// ServerState is the state that a dispatcher keeps for a backend server.
type ServerState struct {
	Busy int `json:"busy"`
	// Limit is the current limit of busy slots. It is reduced during slow start.
	Limit int `json:"limit"`
	// RelativeServiceTime is the service time in multiples of the pool's mean.
	RelativeServiceTime float64 `json:"slowness"`
	ErrorRate           float64 `json:"errorRate"`
	Ejected             bool    `json:"ejected"`
}

func newServerState(state *dispatch.ServerState) *ServerState {
	return &ServerState{
		Busy: state.Busy(), Limit: state.Limit(), RelativeServiceTime: state.RelativeServiceTime(),
		ErrorRate: state.ErrorRate(), Ejected: state.Ejected(),
	}
}

// Error is the JSON body of an error response.
type Error struct {
	Error string `json:"error"`
	// InForce is the version in force after a conflict, such as a stale base; the next proposal must be based on it.
	InForce *int64 `json:"inForce,omitempty"`
}
