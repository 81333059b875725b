package server

import (
	"sync/atomic"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// replacementFactor leaves room for twice the entry VMs of the preset: while all of them are being replaced, old and new
// ones hold connections at the same time.
const replacementFactor = 2

// connectionCaps gives the connection cap of each backend server. The cap depends on the preset only, so the sum over all
// entry VMs stays below the server's limit whatever a VM believes about the others.
type connectionCaps struct {
	caps atomic.Pointer[map[string]int]
}

func (c *connectionCaps) update(servers []dispatch.Server, content *preset.Content) {
	caps := make(map[string]int, len(servers))
	for _, s := range servers {
		if service, ok := content.Service(s.Service); ok {
			caps[s.Address] = max(1, service.ConnectionLimit/(replacementFactor*content.EntryVMs))
		}
	}
	c.caps.Store(&caps)
}

// forAddress returns the cap of an address, 0 if it is not a known backend server.
func (c *connectionCaps) forAddress(address string) int {
	caps := c.caps.Load()
	if caps == nil {
		return 0
	}
	return (*caps)[address]
}
