package server

import (
	"k8s.io/klog/v2"

	"github.com/samber/do/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/link"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// initialLinkSettings apply until the first preset is in force. No call is admitted before.
var initialLinkSettings = link.Settings{Capacity: 1, VMs: 1}

func newPacer(i do.Injector) (*link.Pacer, error) {
	pacer, err := link.NewPacer(link.Options{
		Settings: initialLinkSettings,
		Clock:    do.MustInvoke[clock.Clock](i),
		View:     do.MustInvoke[*membership.Service](i),
		Sender:   do.MustInvoke[*peer.Pool](i),
	})
	if err != nil {
		return nil, err
	}
	pacer.Register(do.MustInvoke[*peer.Server](i))
	return pacer, nil
}

// regionCount is the number of regions among which the entry VMs of a preset are divided.
const regionCount = 2

// configureLink applies the link settings of the preset in force to the pacer.
func configureLink(pacer *link.Pacer, content *preset.Content) {
	settings := link.Settings{
		Capacity: content.Link.Capacity.BytesPerSecond(),
		VMs:      max(1, content.EntryVMs/regionCount),
		Shares:   content.Link.Shares.ByClass(),
	}
	if err := pacer.Configure(settings); err != nil {
		klog.ErrorS(err, "failed to apply the region link settings of the preset", "preset", content.Name)
	}
}
