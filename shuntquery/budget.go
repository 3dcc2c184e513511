package shuntquery

import "sync"

const (
	// budgetBurst is the most tokens that a budget saves up.
	budgetBurst = 100
	// budgetStart lets the first queries after a start hedge and retry.
	budgetStart = 10
)

// Budget is a token budget: each sub-request sent adds a fraction of a token,
// each extra one takes a whole token. Extra work thus stays a fixed fraction
// of the work, however much fails at once.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a small reserve.
func NewBudget() *Budget { return &Budget{tokens: budgetStart} }

// Deposit adds the tokens for n sub-requests at the given fraction.
func (b *Budget) Deposit(n int, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+float64(n)*fraction)
}

// FillRatio returns how full the budget is, from 0 to 1.
func (b *Budget) FillRatio() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens / budgetBurst
}

// TryWithdraw takes one token and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
