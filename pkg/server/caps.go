package server

import (
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

const (
	// replacementFactor leaves room for twice the entry VMs of the preset: while all of them are being replaced, old and
	// new ones hold connections at the same time.
	replacementFactor = 2
	// nearShare is the part of a backend server's connections that the entry VMs of its own data centre may hold. Pools
	// are dispatched there; VMs of other data centres connect only while no VM of that data centre can be reached.
	nearShare = 0.8
	// unknownCap is the cap of a server that has left the list while a call to it was being prepared.
	unknownCap = 1
)

// connectionCaps gives the connection cap of each backend server. The cap depends on the preset and the number of data
// centres only, so the sum over all entry VMs stays below the server's limit whatever a VM believes about the others.
type connectionCaps struct {
	caps atomic.Pointer[map[string]int]
}

func (c *connectionCaps) update(dataCentre string, servers []dispatch.Server, content *preset.Content) {
	places := len(lo.UniqBy(servers, func(s dispatch.Server) string { return s.DataCentre }))
	caps := make(map[string]int, len(servers))
	for _, s := range servers {
		if service, ok := content.Service(s.Service); ok {
			caps[s.Address] = connectionCap(service.ConnectionLimit, content.EntryVMs, places, s.DataCentre == dataCentre)
		}
	}
	c.caps.Store(&caps)
}

// connectionCap divides a server's limit: nearShare over the VMs of its data centre, the rest over all VMs.
func connectionCap(limit, entryVMs, dataCentres int, near bool) int {
	if near {
		nearVMs := (entryVMs + dataCentres - 1) / dataCentres
		return int(nearShare * float64(limit) / float64(replacementFactor*nearVMs))
	}
	return int((1 - nearShare) * float64(limit) / float64(replacementFactor*entryVMs))
}

// forAddress returns the cap of an address.
func (c *connectionCaps) forAddress(address string) int {
	if caps := c.caps.Load(); caps != nil {
		if limit, ok := (*caps)[address]; ok {
			return limit
		}
	}
	return unknownCap
}
