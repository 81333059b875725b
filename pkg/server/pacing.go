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

// initialLink holds until the first preset is in force; no call is admitted before.
var initialLink = link.Settings{Capacity: 1, VMs: 1}

func newPacer(i do.Injector) (*link.Pacer, error) {
	pacer, err := link.NewPacer(link.Options{
		Settings: initialLink,
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

// regions is the number of regions that the entry VMs of a preset are spread over.
const regions = 2

// configureLink brings the link of the preset in force to the pacer.
func configureLink(pacer *link.Pacer, content *preset.Content) {
	settings := link.Settings{
		Capacity: content.Link.Capacity.BytesPerSecond(),
		VMs:      max(1, content.EntryVMs/regions),
		Shares:   content.Link.Shares.ByClass(),
	}
	if err := pacer.Configure(settings); err != nil {
		klog.ErrorS(err, "region link of the preset cannot be used", "preset", content.Name)
	}
}
