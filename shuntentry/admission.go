package shuntentry

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// initialLimit is a workspace's first limit of concurrent queries.
	initialLimit = 16
	minLimit     = 1
	// decreaseFactor multiplies the limit when queries fail from overload.
	decreaseFactor = 0.85
	// minDecreaseInterval is the minimum time between two decreases, so that
	// failures at about the same time count as one signal.
	minDecreaseInterval = 100 * time.Millisecond
	// A query waits for admission for at most its remaining time divided by
	// queueWaitDivisor.
	queueWaitDivisor = 8
	// queueFactor is the maximum queue length as a multiple of the limit.
	queueFactor = 2
	// baseRetryAfter is the RetryAfter with an empty queue; it grows with the
	// queue length.
	baseRetryAfter = 100 * time.Millisecond
)

// AdmissionConfig holds the options of an AdmissionLimiter.
type AdmissionConfig struct {
	// Disabled admits all queries up to MaximumConcurrent, for baseline
	// measurements.
	Disabled bool
}

// AdmissionLimiter limits the concurrent queries of one workspace on this VM with
// additive increase and multiplicative decrease. The limit grows by one for each
// limit's worth of successful queries, and shrinks when queries fail because the
// backend servers are overloaded, so that throughput does not fall under overload.
type AdmissionLimiter struct {
	config AdmissionConfig

	mu      sync.Mutex
	limit   float64
	running int
	// limitReached is set if the limit was reached since it last grew.
	// Otherwise it doesn't grow.
	limitReached bool
	lastDecrease time.Time
	queue        []*waiter
}

// waiter is a query in the admission queue.
type waiter struct {
	deadline time.Time
	ready    chan bool
}

// NewAdmissionLimiter returns an AdmissionLimiter with the limit initialLimit.
func NewAdmissionLimiter(c AdmissionConfig) *AdmissionLimiter {
	return &AdmissionLimiter{config: c, limit: initialLimit}
}

// Result is the result of an admitted query as the limiter sees it.
type Result int

// Results of an admitted query.
const (
	// Success means that the query was answered completely.
	Success Result = iota
	// Overload means that the query failed from a full queue or a timeout.
	Overload
	// Ignored means that the query failed for reasons unrelated to load.
	Ignored
)

// ResultOf classifies the outcome and reason of an answer.
func ResultOf(outcome shuntoutcome.Outcome, reason shuntoutcome.Reason) Result {
	if outcome == shuntoutcome.Complete {
		return Success
	}
	switch reason {
	case shuntoutcome.QueueFull, shuntoutcome.QueueTimeout, shuntoutcome.Shed, shuntoutcome.DeadlinePassed:
		return Overload
	}
	return Ignored
}

// Acquire waits for admission. It returns None if the query is admitted, and the
// caller must then call Release. Otherwise it returns the reason for the refusal.
func (a *AdmissionLimiter) Acquire(ctx context.Context, w shuntconfig.Workspace, deadline time.Time) shuntoutcome.Reason {
	a.mu.Lock()
	if a.hasCapacity(w) {
		a.running++
		a.mu.Unlock()
		return shuntoutcome.None
	}
	a.limitReached = true
	// Only interactive queries wait in the queue. Queries of the other classes
	// are refused at once.
	if w.Class != shuntconfig.Interactive || len(a.queue) >= int(queueFactor*a.limit)+1 || a.config.Disabled {
		a.mu.Unlock()
		return shuntoutcome.Overloaded
	}
	e := &waiter{deadline: deadline, ready: make(chan bool, 1)}
	a.queue = append(a.queue, e)
	a.mu.Unlock()
	return a.waitInQueue(ctx, e)
}

func (a *AdmissionLimiter) hasCapacity(w shuntconfig.Workspace) bool {
	if a.running >= w.MaximumConcurrent {
		return false
	}
	return a.config.Disabled || a.running < int(a.limit)
}

func (a *AdmissionLimiter) waitInQueue(ctx context.Context, e *waiter) shuntoutcome.Reason {
	t := time.NewTimer(time.Until(e.deadline) / queueWaitDivisor)
	defer t.Stop()
	reason := shuntoutcome.Overloaded
	select {
	case <-e.ready:
		return shuntoutcome.None
	case <-t.C:
	case <-ctx.Done():
		reason = shuntoutcome.Cancelled
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, o := range a.queue {
		if o == e {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return reason
		}
	}
	// The query was admitted just as it stopped waiting.
	return shuntoutcome.None
}

// Release ends an admitted query, adjusts the limit and admits queued queries.
func (a *AdmissionLimiter) Release(v Result, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	switch {
	case v == Success && a.limitReached:
		a.limit += 1 / a.limit
		a.limitReached = a.running+1 >= int(a.limit)
	case v == Overload && now.Sub(a.lastDecrease) >= minDecreaseInterval:
		a.lastDecrease = now
		a.limit = max(minLimit, a.limit*decreaseFactor)
	}
	for len(a.queue) > 0 && a.running < int(a.limit) {
		e := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		e.ready <- true
	}
}

// RetryAfter returns how long a refused caller should wait before a retry.
func (a *AdmissionLimiter) RetryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return baseRetryAfter * time.Duration(1+len(a.queue)/max(1, int(a.limit)))
}

// Limit returns the current limit.
func (a *AdmissionLimiter) Limit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}
