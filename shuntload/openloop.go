// Package shuntload generates open-loop load and summarizes the results.
package shuntload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// OpenLoop calls send rate times a second on average, at exponentially
// distributed intervals, until ctx ends, and then waits for all calls to return.
// Each call runs on its own goroutine. n numbers the calls, and due is the time
// at which the call was scheduled: a latency measured from due includes the time
// that a query waits because the system under test is slow.
func OpenLoop(ctx context.Context, rate float64, seed uint64, send func(n int, due time.Time)) {
	r := rand.New(rand.NewPCG(seed, 2))
	due := time.Now()
	var g sync.WaitGroup
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if !WaitUntil(ctx, due) {
			break
		}
		scheduled := due
		g.Go(func() { send(n, scheduled) })
	}
	g.Wait()
}

// WaitUntil waits until t. It returns false if ctx ends first.
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
