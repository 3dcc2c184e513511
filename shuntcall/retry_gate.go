package shuntcall

import (
	"context"
	"sync"
	"time"
)

// gatedFraction is the fraction of a query's shards that must lose their connections
// before their retries wait: servers also lose single answers.
const gatedFraction = 0.2

// retryGate makes the shards of a query whose servers break their connections wait until
// the first of them has tried another server. If the query itself crashes servers, the
// other shards' remaining servers are spared; if a zone or rack was lost, they follow as
// soon as that one has been answered.
type retryGate struct {
	// maxWait is how long they wait, and free the number of shards that don't.
	maxWait time.Duration
	free    int

	mu      sync.Mutex
	entered int
	broken  bool
	// decided is closed when the first one has ended.
	decided chan struct{}
}

func newRetryGate(maxWait time.Duration, shards int) *retryGate {
	return &retryGate{maxWait: maxWait, free: max(1, int(gatedFraction*float64(shards))), decided: make(chan struct{})}
}

// enter reports whether a shard may try another server, after waiting for the first one
// that did. first is true if it is the first one itself; it must call leave then.
func (g *retryGate) enter(ctx context.Context) (first, ok bool) {
	if g == nil {
		return false, true
	}
	g.mu.Lock()
	g.entered++
	n, broken := g.entered, g.broken
	g.mu.Unlock()
	if n <= g.free {
		return n == 1, !broken
	}
	t := time.NewTimer(g.maxWait)
	defer t.Stop()
	select {
	case <-g.decided:
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return false, !g.broken
}

// leave records how the first one has ended.
func (g *retryGate) leave(broken bool) {
	g.mu.Lock()
	g.broken = broken
	g.mu.Unlock()
	close(g.decided)
}
