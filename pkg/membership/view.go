package membership

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// View is what other packages see of the membership. All slices are shared and must not be changed.
type View interface {
	// Self returns this VM.
	Self() Member
	// Members returns all known VMs, dead ones included, sorted by id.
	Members() []Member
	// Alive returns the VMs of a data centre in state Alive, this one included, sorted by id.
	Alive(dataCentre string) []Member
	// AliveInRegion returns the VMs of a region in state Alive, this one included, sorted by id.
	AliveInRegion(region string) []Member
	// Subscribe returns a channel that holds one value after any number of changes.
	Subscribe() <-chan struct{}
}

var _ View = (*Service)(nil)

// snapshot is an immutable state of the view.
type snapshot struct {
	self         Member
	all          []Member
	byDataCentre map[string][]Member
	byRegion     map[string][]Member
	listed       *list
}

// list is the last answer of the VM list without duplicates.
type list struct{ servers, entries []vmlist.VM }

func newSnapshot(self Member, all []Member, l *list) *snapshot {
	alive := lo.Filter(all, func(m Member, _ int) bool { return m.State == Alive })
	return &snapshot{self: self, all: all, listed: l,
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
func (s *Service) Subscribe() <-chan struct{} { return s.members.subscribe() }

// Servers returns the backend servers of the VM list without duplicates, otherwise unchanged.
func (s *Service) Servers() []vmlist.VM {
	if l := s.current.Load().listed; l != nil {
		return l.servers
	}
	return nil
}

// Listed returns the entry VMs of the VM list without duplicates, live and leaving.
func (s *Service) Listed() []vmlist.VM {
	if l := s.current.Load().listed; l != nil {
		return l.entries
	}
	return nil
}

// ListReadAt returns the time before the last successful read of the VM list; zero if there was none.
func (s *Service) ListReadAt() time.Time {
	if at := s.listRead.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SubscribeServers returns a channel that holds one value after any number of changes of Servers or Listed.
func (s *Service) SubscribeServers() <-chan struct{} { return s.servers.subscribe() }

// Fresh reports whether this process has been running without a pause, or has asked a peer since the last one. It costs
// two atomic loads and a clock reading, so it may be called at each admission.
func (s *Service) Fresh() bool {
	if s.mustCheck.Load() || s.superseded.Load() {
		return false
	}
	return s.options.Elapsed()-time.Duration(s.lastTick.Load()) < freshFor
}

// Superseded reports that a later process with this VM's id runs, so this one must stop.
func (s *Service) Superseded() bool { return s.superseded.Load() }

// broadcast tells subscribers that something changed; changes are coalesced.
type broadcast struct {
	mu   sync.Mutex
	subs []chan struct{}
}

func (b *broadcast) subscribe() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := make(chan struct{}, 1)
	b.subs = append(b.subs, ch)
	return ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ch := range b.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// pollList reads the VM list every second.
func (s *Service) pollList(ctx context.Context) {
	defer s.running.Done()
	for first := true; ; first = false {
		asked := s.options.Clock.Now()
		vms, changed, err := s.options.List.Get(ctx)
		if err != nil {
			klog.V(2).InfoS("VM list not read", "err", err)
		} else if changed || first {
			select {
			case s.listed <- vms:
			case <-ctx.Done():
				return
			}
		}
		if err == nil {
			s.listRead.Store(&asked)
		}
		select {
		case <-s.options.Clock.After(Interval):
		case <-ctx.Done():
			return
		}
	}
}

// useList publishes a new list and replaces the seeds.
func (l *loop) useList(vms []vmlist.VM) {
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
	next.listed = &list{servers: lo.Filter(unique, func(v vmlist.VM, _ int) bool { return v.Role == vmlist.RoleBackend }),
		entries: entries}
	l.current.Store(&next)
	l.Service.servers.notify()
}

// withoutDuplicates keeps one VM of each id. A leaving one wins: sending it nothing new is the safe choice.
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
