package link

// Configure applies new settings, for example after a change of preset. Blocks and pledges made under the old settings
// remain valid until they expire, at most pledgeDuration later. Error: ErrSettings.
func (p *Pacer) Configure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == p.options.Settings {
		return nil
	}
	p.options.Settings = s
	next := newBudget(s, p.budget.id, p.options.Clock.Now())
	next.pledgedUntil, next.blocks, next.nextSizes = p.budget.pledgedUntil, p.budget.blocks, p.budget.nextSizes
	p.budget = next
	p.waiters.SetShares(s.Shares)
	p.coordinator.requests.SetShares(s.Shares)
	signal(p.serveSignal)
	return nil
}
