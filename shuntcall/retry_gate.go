package shuntcall

import (
	"context"
	"sync"
	"time"
)

// gatedFraction is the fraction of a query's shards that must lose their connections
// before their retries wait: servers also lose single answers.
const gatedFraction = 0.2

// gateVerdict is what the retry of one shard says about those of the others.
type gateVerdict int

const (
	// gateOpen means that it says nothing, for example since no other server was reached.
	gateOpen gateVerdict = iota
	// gateAnswered means that another server answered, so that the query did not crash it.
	gateAnswered
	// gateBroken means that another server broke its connection as well.
	gateBroken
)

// retryGate makes the shards of a query whose servers break their connections wait until
// one of them has tried another server. If the query itself crashes servers, the other
// shards' remaining servers are spared; if a zone or rack was lost, they follow as soon as
// that one has been answered.
type retryGate struct {
	// maxWait is how long they wait, and free the number of shards that don't.
	maxWait time.Duration
	free    int

	mu      sync.Mutex
	entered int
	// deciding is true while a shard tries another server on behalf of all.
	deciding bool
	verdict  gateVerdict
	// changed is closed, and replaced, when that shard has ended.
	changed chan struct{}
}

func newRetryGate(maxWait time.Duration, shards int) *retryGate {
	return &retryGate{maxWait: maxWait, free: max(1, int(gatedFraction*float64(shards))), changed: make(chan struct{})}
}

// enter reports whether a shard may try another server, after waiting for the one that
// decides. decides is true if it is that one itself; it must call leave then.
func (g *retryGate) enter(ctx context.Context) (decides, ok bool) {
	if g == nil {
		return false, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entered++
	if g.entered > g.free {
		g.wait(ctx)
	}
	if g.verdict == gateOpen && !g.deciding {
		g.deciding = true
		return true, true
	}
	return false, g.verdict != gateBroken
}

// wait waits, for maxWait at most, while another shard decides.
func (g *retryGate) wait(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.maxWait)
	defer cancel()
	for g.verdict == gateOpen && g.deciding && ctx.Err() == nil {
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		g.mu.Lock()
	}
}

// leave records how the shard that decides has ended. If that says nothing, the next one
// decides.
func (g *retryGate) leave(v gateVerdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deciding = false
	g.verdict = v
	close(g.changed)
	g.changed = make(chan struct{})
}
