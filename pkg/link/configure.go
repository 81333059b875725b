package link

// Configure puts other settings in force, for example after a change of preset. Blocks and pledges that were made under
// the old settings stay valid until they end, at most the pledge time later. Error: ErrSettings.
func (p *Pacer) Configure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == p.options.Settings {
		return nil
	}
	p.options.Settings = s
	next := newAccount(s, p.account.id, p.options.Clock.Now())
	next.pledged, next.blocks, next.sizes = p.account.pledged, p.account.blocks, p.account.sizes
	p.account = next
	p.waiting.SetShares(s.Shares)
	p.lead.waiting.SetShares(s.Shares)
	signal(p.wake)
	return nil
}
