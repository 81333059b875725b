package admin

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
)

// Limits of a fleet report.
const (
	// fleetTimeout is the timeout of the request to one VM, so that a paused VM does not delay the report.
	fleetTimeout = 3 * time.Second
	// fleetConcurrency is the maximum number of concurrent requests.
	fleetConcurrency = 16
)

// errNoAddress reports a VM whose administration address is not known.
var errNoAddress = errors.New("administration address is not known")

// FleetReport holds the merged burn rates of all entry VMs that answered.
type FleetReport struct {
	burn.Report
	// Answered are the ids of the VMs whose calls are counted.
	Answered []string `json:"answered"`
	// Missing are the VMs whose calls are not counted.
	Missing []MissingVM `json:"missing"`
}

// MissingVM is an entry VM whose report could not be fetched.
type MissingVM struct {
	ID    string `json:"id"`
	Error string `json:"error"`
}

// FleetBurn fetches the report of every entry VM that is listed or not dead and merges the reports. The VMs are those that
// c.VMs returns; an error of that call is returned. The credential of c is sent to the addresses of these VMs.
func FleetBurn(c *Client) (FleetReport, error) {
	vms, err := c.VMs()
	if err != nil {
		return FleetReport{}, err
	}
	vms = lo.Filter(vms, func(v VM, _ int) bool { return v.Listed != "" || v.State != membership.Dead.String() })
	reports, failures := make([]burn.Report, len(vms)), make([]error, len(vms))
	semaphore := make(chan struct{}, fleetConcurrency)
	var group sync.WaitGroup
	for i, v := range vms {
		semaphore <- struct{}{}
		group.Go(func() {
			reports[i], failures[i] = fetchBurn(v, c.credential)
			<-semaphore
		})
	}
	group.Wait()
	report := FleetReport{Answered: []string{}, Missing: []MissingVM{}}
	var received []burn.Report
	for i, v := range vms {
		if failures[i] != nil {
			report.Missing = append(report.Missing, MissingVM{ID: v.ID, Error: failures[i].Error()})
			continue
		}
		report.Answered = append(report.Answered, v.ID)
		received = append(received, reports[i])
	}
	report.Report = burn.Merge(received...)
	return report, nil
}

func fetchBurn(vm VM, credential string) (burn.Report, error) {
	if vm.Admin == "" {
		return burn.Report{}, errNoAddress
	}
	return NewClient(vm.Admin, credential).WithTimeout(fleetTimeout).Burn()
}
