package balance

// peerInFlight returns the number of in-flight requests of all peer VMs on a server.
func (b *Balancer) peerInFlight(key ServerKey) int {
	total := 0
	for _, counts := range b.peerCounts {
		total += counts[key]
	}
	return total
}

// SetDataCentreOnly sets whether VMs share their counts within their data centre only. The load of servers in other data
// centres is then known from their load reports alone.
func (b *Balancer) SetDataCentreOnly(dataCentreOnly bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dataCentreOnly = dataCentreOnly
}

// countsShared reports whether the VMs that use a server share their counts with this VM.
func (b *Balancer) countsShared(s *serverState) bool {
	if b.dataCentreOnly {
		return s.info.DataCentre == b.self.DataCentre
	}
	return s.info.Region == b.self.Region
}

// SetPeerInFlight sets the number of in-flight requests of a peer VM on a server.
func (b *Balancer) SetPeerInFlight(vm string, key ServerKey, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.peerCounts[vm]
	if counts == nil {
		counts = map[ServerKey]int{}
		b.peerCounts[vm] = counts
	}
	b.setPeerCount(counts, key, count)
}

// ReplacePeerInFlight replaces all in-flight counts of a peer VM. A nil map removes the VM.
func (b *Balancer) ReplacePeerInFlight(vm string, counts map[ServerKey]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.peerCounts[vm]
	if current == nil {
		current = map[ServerKey]int{}
		b.peerCounts[vm] = current
	}
	for key := range current {
		if _, ok := counts[key]; !ok {
			b.setPeerCount(current, key, 0)
		}
	}
	for key, count := range counts {
		b.setPeerCount(current, key, count)
	}
	if counts == nil {
		delete(b.peerCounts, vm)
	}
}

// setPeerCount sets the count of one peer VM for a server and updates the server's total. The caller holds the lock.
func (b *Balancer) setPeerCount(counts map[ServerKey]int, key ServerKey, count int) {
	if s, ok := b.servers[key]; ok {
		s.totalInFlight += count - counts[key]
	}
	if count == 0 {
		delete(counts, key)
		return
	}
	counts[key] = count
}

// OwnInFlight returns the number of in-flight requests of this VM by server, without servers that have none.
func (b *Balancer) OwnInFlight() map[ServerKey]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[ServerKey]int{}
	for key, s := range b.servers {
		if s.ownInFlight > 0 {
			own[key] = s.ownInFlight
		}
	}
	return own
}

// InFlightWithout returns the number of in-flight requests on each of the servers, without those of one peer VM.
func (b *Balancer) InFlightWithout(vm string, keys []ServerKey) map[ServerKey]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	without := make(map[ServerKey]int, len(keys))
	for _, key := range keys {
		if s, ok := b.servers[key]; ok {
			without[key] = s.totalInFlight - b.peerCounts[vm][key]
		}
	}
	return without
}

// AllInFlightWithout returns the number of in-flight requests by server, without those of one peer VM and without servers that
// have none.
func (b *Balancer) AllInFlightWithout(vm string) map[ServerKey]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	without := map[ServerKey]int{}
	for key, s := range b.servers {
		if count := s.totalInFlight - b.peerCounts[vm][key]; count > 0 {
			without[key] = count
		}
	}
	return without
}

// OwnInFlightAt returns the number of in-flight requests of this VM on a server.
func (b *Balancer) OwnInFlightAt(key ServerKey) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[key]; ok {
		return s.ownInFlight
	}
	return 0
}
