package membership

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// View is the read access of other packages to the membership. All slices are shared and must not be modified.
type View interface {
	// Self returns this VM.
	Self() Member
	// Members returns all known VMs, dead ones included, sorted by id.
	Members() []Member
	// Alive returns the VMs of a data centre in state Alive, this one included, sorted by id.
	Alive(dataCentre string) []Member
	// AliveInRegion returns the VMs of a region in state Alive, this one included, sorted by id.
	AliveInRegion(region string) []Member
	// Subscribe returns a channel that receives a value after one or more changes. It buffers one value.
	Subscribe() <-chan struct{}
}

var _ View = (*Service)(nil)

// snapshot is an immutable copy of the membership and of the VM list.
type snapshot struct {
	self         Member
	all          []Member
	byDataCentre map[string][]Member
	byRegion     map[string][]Member
	listed       *listedVMs
}

// listedVMs is the content of the VM list at its last successful read, without duplicates and split by role.
type listedVMs struct{ servers, entries []vmlist.VM }

func newSnapshot(self Member, all []Member, listed *listedVMs) *snapshot {
	alive := lo.Filter(all, func(m Member, _ int) bool { return m.State == Alive })
	return &snapshot{self: self, all: all, listed: listed,
		byDataCentre: lo.GroupBy(alive, func(m Member) string { return m.DataCentre }),
		byRegion:     lo.GroupBy(alive, func(m Member) string { return m.Region })}
}

// Self implements View.
func (s *Service) Self() Member { return s.current.Load().self }

// Members implements View.
func (s *Service) Members() []Member { return s.current.Load().all }

// Alive implements View.
func (s *Service) Alive(dataCentre string) []Member { return s.current.Load().byDataCentre[dataCentre] }

// AliveInRegion implements View.
func (s *Service) AliveInRegion(region string) []Member { return s.current.Load().byRegion[region] }

// Subscribe implements View.
func (s *Service) Subscribe() <-chan struct{} { return s.memberChanges.subscribe() }

// Servers returns the backend servers of the VM list without duplicates, in the order of the list; nil before the
// first successful read.
func (s *Service) Servers() []vmlist.VM {
	if listed := s.current.Load().listed; listed != nil {
		return listed.servers
	}
	return nil
}

// ListedEntryVMs returns the live and leaving entry VMs of the VM list without duplicates; nil before the first successful
// read.
func (s *Service) ListedEntryVMs() []vmlist.VM {
	if listed := s.current.Load().listed; listed != nil {
		return listed.entries
	}
	return nil
}

// ListReadAt returns the time at which the last successful read of the VM list began; zero if there was none.
func (s *Service) ListReadAt() time.Time {
	if at := s.listReadAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SubscribeServers returns a channel like that of Subscribe for changes of Servers or ListedEntryVMs.
func (s *Service) SubscribeServers() <-chan struct{} { return s.serverChanges.subscribe() }

// Fresh reports whether this process has been running without a pause, or a peer has confirmed its incarnation since the
// last pause. It is cheap enough for each admission of a request: three atomic loads and a clock reading.
func (s *Service) Fresh() bool {
	if s.checkPending.Load() || s.superseded.Load() {
		return false
	}
	return s.options.Elapsed()-time.Duration(s.lastTick.Load()) < freshnessLimit
}

// Superseded reports whether a later process with this VM's id exists, so that this one must stop.
func (s *Service) Superseded() bool { return s.superseded.Load() }

// broadcast notifies subscribers of changes. Changes that a subscriber has not yet received are coalesced.
type broadcast struct {
	mu          sync.Mutex
	subscribers []chan struct{}
}

// subscribe returns a new channel with a buffer of one.
func (b *broadcast) subscribe() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := make(chan struct{}, 1)
	b.subscribers = append(b.subscribers, ch)
	return ch
}

// notify sends a value to each subscriber whose buffer is empty.
func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ch := range b.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// pollList reads the VM list once per Interval until ctx ends.
func (s *Service) pollList(ctx context.Context) {
	defer s.background.Done()
	for first := true; ; first = false {
		requestedAt := s.options.Clock.Now()
		vms, changed, err := s.options.List.Get(ctx)
		if err != nil {
			klog.V(2).InfoS("failed to read the VM list", "err", err)
		} else if changed || first {
			select {
			case s.lists <- vms:
			case <-ctx.Done():
				return
			}
		}
		if err == nil {
			s.listReadAt.Store(&requestedAt)
		}
		select {
		case <-s.options.Clock.After(Interval):
		case <-ctx.Done():
			return
		}
	}
}

// applyList replaces the seeds and publishes the list. If vms is nil it sets only the seeds.
func (l *loop) applyList(vms []vmlist.VM) {
	unique := withoutDuplicates(vms)
	isEntry := func(v vmlist.VM, _ int) bool { return v.Role == vmlist.RoleEntry }
	entries := lo.Filter(unique, isEntry)
	seeds := lo.SliceToMap(l.options.Seeds, func(a string) (string, string) { return a, a })
	for _, v := range entries {
		if v.Peer != "" {
			seeds[v.ID] = v.Peer
		}
	}
	l.table.SetSeeds(seeds)
	if vms == nil {
		return
	}
	next := *l.current.Load()
	next.listed = &listedVMs{servers: lo.Filter(unique, func(v vmlist.VM, _ int) bool { return v.Role == vmlist.RoleBackend }),
		entries: entries}
	l.current.Store(&next)
	l.Service.serverChanges.notify()
}

// withoutDuplicates keeps one VM per id. A leaving entry takes precedence, because sending nothing new to the VM is the
// safe choice.
func withoutDuplicates(vms []vmlist.VM) []vmlist.VM {
	index := map[string]int{}
	unique := make([]vmlist.VM, 0, len(vms))
	for _, v := range vms {
		i, seen := index[v.ID]
		switch {
		case !seen:
			index[v.ID] = len(unique)
			unique = append(unique, v)
		case v.State == vmlist.StateLeaving:
			unique[i] = v
		}
	}
	return unique
}
