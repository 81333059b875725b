package server

import (
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

const (
	// replacementFactor reserves connections for twice the entry VMs of the preset: while all of them are being replaced,
	// old and new VMs hold connections at the same time.
	replacementFactor = 2
	// localConnectionShare is the part of a backend server's connection limit for the entry VMs of its own data centre.
	// Pools are dispatched there. VMs of other data centres connect only while no VM of that data centre is reachable.
	localConnectionShare = 0.8
	// unlistedServerCap is the connection cap for a server that was removed from the VM list while a call to it was prepared.
	unlistedServerCap = 1
)

// connectionCaps holds the connection cap of this VM for each backend server, by address. The cap depends only on the preset
// and the number of data centres. The sum over all entry VMs therefore stays below the server's limit, even if the VMs have
// different views of the membership.
type connectionCaps struct {
	caps atomic.Pointer[map[string]int]
}

func (c *connectionCaps) update(dataCentre string, servers []dispatch.Server, content *preset.Content) {
	dataCentres := len(lo.UniqBy(servers, func(s dispatch.Server) string { return s.DataCentre }))
	caps := make(map[string]int, len(servers))
	for _, s := range servers {
		if service, ok := content.Service(s.Service); ok {
			caps[s.Address] = connectionCap(service.ConnectionLimit, content.EntryVMs, dataCentres, s.DataCentre == dataCentre)
		}
	}
	c.caps.Store(&caps)
}

// connectionCap divides a server's limit: localConnectionShare among the VMs of its data centre, the rest among all VMs.
func connectionCap(limit, entryVMs, dataCentres int, sameDataCentre bool) int {
	if sameDataCentre {
		localVMs := (entryVMs + dataCentres - 1) / dataCentres
		return int(localConnectionShare * float64(limit) / float64(replacementFactor*localVMs))
	}
	return int((1 - localConnectionShare) * float64(limit) / float64(replacementFactor*entryVMs))
}

// forAddress returns the connection cap for the server at an address.
func (c *connectionCaps) forAddress(address string) int {
	if caps := c.caps.Load(); caps != nil {
		if limit, ok := (*caps)[address]; ok {
			return limit
		}
	}
	return unlistedServerCap
}
