package proxy

import "sync"

// budgets bound second attempts to a share of the calls of each service.
type budgets struct {
	share, burst float64

	mu     sync.Mutex
	tokens map[string]float64
}

func newBudgets(share, burst float64) *budgets {
	return &budgets{share: share, burst: burst, tokens: map[string]float64{}}
}

// earn counts a first attempt.
func (b *budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = b.burst / 2
	}
	b.tokens[service] = min(b.burst, tokens+b.share)
}

// spend takes the price of one second attempt. It reports false if the budget is used up.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
