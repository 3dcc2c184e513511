package shuntentry

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// firstLimit is the number of queries at a time that a workspace starts with.
	firstLimit = 16
	lowLimit   = 1
	// cutFactor is what a limit keeps when queries fail for want of room.
	cutFactor = 0.85
	// cutPause is the least time between two cuts: the failures of one moment
	// are one signal.
	cutPause = 100 * time.Millisecond
	// waitShare of the time left is what a query may wait for admission.
	waitShare = 8
	// queueFactor bounds the queue, in multiples of the limit.
	queueFactor = 2
	// retryHint is the first hint for refused callers; it grows with the queue.
	retryHint = 100 * time.Millisecond
)

// AdmissionConfig is what an Admission is made of.
type AdmissionConfig struct {
	// Disabled admits everything up to MaximumConcurrent; for baselines.
	Disabled bool
}

// AdmissionLimiter limits the queries of one workspace on this VM. The limit grows by
// one in a round of good queries and is cut when queries fail for want of room
// at the backend servers, so that more load does not become less service.
type AdmissionLimiter struct {
	config AdmissionConfig

	mu      sync.Mutex
	limit   float64
	running int
	// full says that the limit was reached since it last grew.
	full    bool
	lastCut time.Time
	queue   []*entrant
}

// entrant waits for admission.
type entrant struct {
	deadline time.Time
	ready    chan bool
}

// NewAdmissionLimiter returns an Admission with a small limit.
func NewAdmissionLimiter(c AdmissionConfig) *AdmissionLimiter {
	return &AdmissionLimiter{config: c, limit: firstLimit}
}

// Result is how an admitted query ended, as far as room goes.
type Result int

// The verdicts.
const (
	// Success: answered in time.
	Success Result = iota
	// Overload: failed for want of room or time.
	Overload
	// Ignored: failed for reasons that tell nothing of room.
	Ignored
)

// ResultOf reads an answer's outcome.
func ResultOf(o shuntoutcome.Outcome, why shuntoutcome.Reason) Result {
	if o == shuntoutcome.Complete {
		return Success
	}
	switch why {
	case shuntoutcome.QueueFull, shuntoutcome.QueueTimeout, shuntoutcome.Shed, shuntoutcome.DeadlinePassed:
		return Overload
	}
	return Ignored
}

// Acquire waits for admission. None means admitted; Leave must then be called.
func (a *AdmissionLimiter) Acquire(ctx context.Context, w shuntconfig.Workspace, deadline time.Time) shuntoutcome.Reason {
	a.mu.Lock()
	if a.room(w) {
		a.running++
		a.mu.Unlock()
		return shuntoutcome.None
	}
	a.full = true
	// Batches and browsers are refused at once; only people wait at a counter.
	if w.Class != shuntconfig.Interactive || len(a.queue) >= int(queueFactor*a.limit)+1 || a.config.Disabled {
		a.mu.Unlock()
		return shuntoutcome.Overloaded
	}
	e := &entrant{deadline: deadline, ready: make(chan bool, 1)}
	a.queue = append(a.queue, e)
	a.mu.Unlock()
	return a.wait(ctx, e)
}

func (a *AdmissionLimiter) room(w shuntconfig.Workspace) bool {
	if a.running >= w.MaximumConcurrent {
		return false
	}
	return a.config.Disabled || a.running < int(a.limit)
}

func (a *AdmissionLimiter) wait(ctx context.Context, e *entrant) shuntoutcome.Reason {
	t := time.NewTimer(time.Until(e.deadline) / waitShare)
	defer t.Stop()
	why := shuntoutcome.Overloaded
	select {
	case <-e.ready:
		return shuntoutcome.None
	case <-t.C:
	case <-ctx.Done():
		why = shuntoutcome.Cancelled
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, o := range a.queue {
		if o == e {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return why
		}
	}
	// Admitted at the same moment.
	return shuntoutcome.None
}

// Release books the end of an admitted query and admits the next.
func (a *AdmissionLimiter) Release(v Result, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	switch {
	case v == Success && a.full:
		a.limit += 1 / a.limit
		a.full = a.running+1 >= int(a.limit)
	case v == Overload && now.Sub(a.lastCut) >= cutPause:
		a.lastCut = now
		a.limit = max(lowLimit, a.limit*cutFactor)
	}
	for len(a.queue) > 0 && a.running < int(a.limit) {
		e := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		e.ready <- true
	}
}

// RetryAfter hints when a refused caller may ask again.
func (a *AdmissionLimiter) RetryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return retryHint * time.Duration(1+len(a.queue)/max(1, int(a.limit)))
}

// Limit returns the present limit.
func (a *AdmissionLimiter) Limit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}
