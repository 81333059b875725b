package admin

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
)

// Limits of a report over the fleet.
const (
	// fleetTimeout bounds the request to one VM, so that a paused VM does not hold up the report.
	fleetTimeout = 3 * time.Second
	// fleetConcurrency bounds the requests at the same time.
	fleetConcurrency = 16
)

// errNoAddress reports a VM whose administration address is not known.
var errNoAddress = errors.New("administration address is not known")

// FleetReport holds the burn rates over all entry VMs that answered.
type FleetReport struct {
	burn.Report
	// Answered are the ids of the VMs whose calls are counted.
	Answered []string `json:"answered"`
	// Missing are the VMs whose calls are not counted.
	Missing []MissingVM `json:"missing"`
}

// MissingVM is an entry VM that gave no report.
type MissingVM struct {
	ID    string `json:"id"`
	Error string `json:"error"`
}

// FleetBurn asks every entry VM that is listed or alive for its counts and adds them up. c answers which VMs there are; its
// error is returned. The credential is sent to the addresses that c names.
func FleetBurn(c *Client) (FleetReport, error) {
	vms, err := c.VMs()
	if err != nil {
		return FleetReport{}, err
	}
	vms = lo.Filter(vms, func(v VM, _ int) bool { return v.Listed != "" || v.State != membership.Dead.String() })
	reports, failures := make([]burn.Report, len(vms)), make([]error, len(vms))
	slots := make(chan struct{}, fleetConcurrency)
	var group sync.WaitGroup
	for i, v := range vms {
		slots <- struct{}{}
		group.Go(func() {
			reports[i], failures[i] = vmBurn(v, c.credential)
			<-slots
		})
	}
	group.Wait()
	answer := FleetReport{Answered: []string{}, Missing: []MissingVM{}}
	var counted []burn.Report
	for i, v := range vms {
		if failures[i] != nil {
			answer.Missing = append(answer.Missing, MissingVM{ID: v.ID, Error: failures[i].Error()})
			continue
		}
		answer.Answered = append(answer.Answered, v.ID)
		counted = append(counted, reports[i])
	}
	answer.Report = burn.Merge(counted...)
	return answer, nil
}

func vmBurn(v VM, credential string) (burn.Report, error) {
	if v.Admin == "" {
		return burn.Report{}, errNoAddress
	}
	return NewClient(v.Admin, credential).WithTimeout(fleetTimeout).Burn()
}
