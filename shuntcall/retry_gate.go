package shuntcall

import (
	"context"
	"sync"
	"time"
)

// retryGate lets one of the shards of a query whose servers broke their connections try
// another server first. If the query itself crashes servers, the other shards' remaining
// servers are spared; if a zone or rack was lost, the others follow as soon as that one has
// been answered.
type retryGate struct {
	// maxWait is how long the others wait for the first one.
	maxWait time.Duration

	mu     sync.Mutex
	begun  bool
	broken bool
	// decided is closed when the first one has ended.
	decided chan struct{}
}

func newRetryGate(maxWait time.Duration) *retryGate {
	return &retryGate{maxWait: maxWait, decided: make(chan struct{})}
}

// enter reports whether a shard may try another server, after waiting for the first one
// that did. first is true if it is the first one itself; it must call leave then.
func (g *retryGate) enter(ctx context.Context) (first, ok bool) {
	if g == nil {
		return false, true
	}
	g.mu.Lock()
	begun := g.begun
	g.begun = true
	g.mu.Unlock()
	if !begun {
		return true, true
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
