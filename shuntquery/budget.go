package shuntquery

import "sync"

const (
	// budgetBurst is the maximum number of tokens in a budget.
	budgetBurst = 100
	// budgetStart is the initial number of tokens, so that the first queries
	// after a start can hedge and retry.
	budgetStart = 10
)

// Budget limits hedges or retries with tokens. Each regular sub-request adds a
// fraction of a token and each extra one takes a whole token, so extra work
// stays a fixed fraction of regular work however many requests fail at once.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a Budget with budgetStart tokens.
func NewBudget() *Budget { return &Budget{tokens: budgetStart} }

// Deposit adds fraction tokens for each of n regular sub-requests.
func (b *Budget) Deposit(n int, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+float64(n)*fraction)
}

// FillRatio returns the number of tokens as a fraction of budgetBurst.
func (b *Budget) FillRatio() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens / budgetBurst
}

// TryWithdraw takes one token and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
