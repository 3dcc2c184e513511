// Package shuntgroup starts goroutines whose end somebody waits for.
package shuntgroup

import (
	"context"
	"sync"
	"time"
)

// Group is a set of goroutines. Unlike with a sync.WaitGroup, goroutines may be
// started at any time, also while another one waits for the end: calls from
// other VMs come until the very last. The zero value is ready for use.
type Group struct {
	wait sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// Go runs f on a goroutine of its own. It returns false, and f does not run,
// once the group is closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Go(f)
	return true
}

// Close lets no more goroutines start and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}

// Pause waits for d, or for the end of ctx if that is sooner.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
