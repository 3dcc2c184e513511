// Package shuntload makes load in an open loop and sums up what came of it.
package shuntload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// OpenLoop calls ask at exponential intervals, on goroutines of its own, until
// ctx ends, and waits for all calls. due is when the call should have begun: a
// latency counted from due holds the wait that a slow system causes itself.
func OpenLoop(ctx context.Context, rate float64, seed uint64, ask func(n int, due time.Time)) {
	r := rand.New(rand.NewPCG(seed, 2))
	due := time.Now()
	var g sync.WaitGroup
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if !WaitUntil(ctx, due) {
			break
		}
		at := due
		g.Go(func() { ask(n, at) })
	}
	g.Wait()
}

// WaitUntil waits until t; it returns false when ctx ends first.
func WaitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
