// Package shuntgroup starts goroutines that can be waited for.
package shuntgroup

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Group is a set of goroutines. Unlike with a sync.WaitGroup, Go may be called
// at any time, even while another goroutine waits in Close, because calls from
// other VMs can arrive until the process exits. The zero value is ready to use.
type Group struct {
	wait sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// Go runs f in a new goroutine and returns true. Once the group is closed, it
// returns false without running f.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Go(f)
	return true
}

// Close stops further goroutines from starting and waits for the running ones.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}

// Protect runs f. If f panics, it logs the panic and returns false: what f worked on,
// such as one request or one message, is lost, but not the process. what names it in
// the log.
func Protect(what string, f func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(1)
			klog.InfoS("Panic; dropping what caused it", "in", what, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

var panics atomic.Uint64

// Panics returns the number of panics that Protect has caught in this process.
func Panics() uint64 { return panics.Load() }

// Pause waits until d has passed or ctx is done, whichever comes first.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
