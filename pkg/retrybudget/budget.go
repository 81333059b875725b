// Package retrybudget limits further attempts, such as retries and hedged requests, to a share of the requests to each service,
// so that they cannot multiply the load of a service that is failing.
package retrybudget

import "sync"

// Budgets holds one token bucket per service; each further attempt costs one token. It is safe for concurrent use.
type Budgets struct {
	mu                    sync.Mutex
	earnPerAttempt, burst float64
	tokens                map[string]float64
}

// New returns budgets that earn earnPerAttempt tokens for each first attempt and hold at most burst tokens per service.
func New(earnPerAttempt, burst float64) *Budgets {
	return &Budgets{earnPerAttempt: earnPerAttempt, burst: burst, tokens: map[string]float64{}}
}

// SetBurst sets the maximum number of tokens of each service.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
}

// Earn adds the tokens for a first attempt. The bucket of a new service starts half full.
func (b *Budgets) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = b.burst / 2
	}
	b.tokens[service] = min(b.burst, tokens+b.earnPerAttempt)
}

// Spend removes the token for one further attempt. It returns false if the service has less than one token.
func (b *Budgets) Spend(service string) bool { return b.SpendWithReserve(service, 0) }

// SpendWithReserve is like Spend, but leaves at least the share reserve of the maximum number of tokens for other attempts.
func (b *Budgets) SpendWithReserve(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1+reserve*b.burst {
		return false
	}
	b.tokens[service]--
	return true
}
