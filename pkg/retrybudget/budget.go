// Package retrybudget bounds second attempts to a share of the calls of each service, so that retries cannot multiply the
// load of a service that is failing.
package retrybudget

import "sync"

// Budgets keeps one bucket of tokens per service. A second attempt costs one token. It is safe for concurrent use.
type Budgets struct {
	mu           sync.Mutex
	share, burst float64
	tokens       map[string]float64
}

// New returns budgets that earn share tokens for each first attempt and hold at most burst tokens.
func New(share, burst float64) *Budgets {
	return &Budgets{share: share, burst: burst, tokens: map[string]float64{}}
}

// SetBurst changes the largest number of tokens of each service.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
}

// Earn counts a first attempt.
func (b *Budgets) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = b.burst / 2
	}
	b.tokens[service] = min(b.burst, tokens+b.share)
}

// Spend takes the price of one second attempt. It reports false if the budget is used up.
func (b *Budgets) Spend(service string) bool { return b.SpendAbove(service, 0) }

// SpendAbove is Spend for attempts that must leave a share of the largest number of tokens to others.
func (b *Budgets) SpendAbove(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1+reserve*b.burst {
		return false
	}
	b.tokens[service]--
	return true
}
