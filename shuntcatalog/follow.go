package shuntcatalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// listTimeout bounds one complete listing of the platform, over all pages;
	// the Source has its own timeout for each call.
	listTimeout = 10 * time.Second
	// watchTimeoutMargin is added to the wait of a watch to give its timeout,
	// after which the connection counts as dead.
	watchTimeoutMargin = 500 * time.Millisecond
	// meanRetryDelay is the mean delay before a failed platform call is retried. A
	// VM that reads only because it has no state yet waits idleRetryDelay: it gets
	// the state from whichever VM is first to be answered.
	meanRetryDelay = 300 * time.Millisecond
	idleRetryDelay = 1200 * time.Millisecond
	// watchPause is the pause between watches, so that a burst of changes takes
	// few calls.
	watchPause = 400 * time.Millisecond
	// peerPollInterval is how often other VMs are polled for newer changes.
	peerPollInterval = 200 * time.Millisecond
	// expireInterval is how often delisted servers are checked for expiry.
	expireInterval = 100 * time.Millisecond
	// failuresBeforeList is the number of consecutive failures after which the
	// full state is listed again.
	failuresBeforeList = 2
)

// Peers gives access to the other VMs, the fallback source.
type Peers interface {
	// FetchNewer returns the changes after revision from a VM that knows of any.
	// It returns false if it got none.
	FetchNewer(ctx context.Context, revision int64) (Delta, bool)
	// ShouldReadPlatform reports whether this VM should read the platform. A few
	// VMs read it on behalf of all.
	ShouldReadPlatform() bool
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Catalog *Catalog
	Source  Source
	Peers   Peers
	Group   *shuntgroup.Group
	Random  *shuntrandom.Source
	// WatchWait is how long a watch waits for changes.
	WatchWait time.Duration
	// OnView is called with each new view.
	OnView func(*shuntroute.View)
	// OnPlatformReachable is called when reads of the platform by this VM begin
	// to succeed, fail or cease.
	OnPlatformReachable func(reachable bool)
}

// Follower keeps a catalog up to date with the platform.
type Follower struct {
	config  FollowerConfig
	updates chan func(c *Catalog) bool
	view    atomic.Pointer[shuntroute.View]
	// revision is a copy of the catalog's revision.
	revision atomic.Int64
	// platformReachable is true if the platform answered the last call, and
	// false while other VMs read the platform for this one.
	platformReachable atomic.Bool
}

// NewFollower returns a follower that has not started.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{config: c, updates: make(chan func(*Catalog) bool)}
	f.view.Store(shuntroute.NewView(nil, 0, nil, nil))
	return f
}

// View returns the current view.
func (f *Follower) View() *shuntroute.View { return f.view.Load() }

// ChangesSince returns the changes after the revision, for other VMs. If
// ctx ends first, the Delta is empty.
func (f *Follower) ChangesSince(ctx context.Context, revision int64) Delta {
	var d Delta
	f.update(ctx, func(c *Catalog) bool {
		d = c.ChangesSince(revision)
		return false
	})
	return d
}

// PlatformReachable reports whether this VM reads the platform and its last call
// was answered.
func (f *Follower) PlatformReachable() bool { return f.platformReachable.Load() }

// Start runs the follower until ctx ends.
func (f *Follower) Start(ctx context.Context) {
	f.config.Group.Go(func() { f.run(ctx) })
	f.config.Group.Go(func() { f.followPlatform(ctx) })
	f.config.Group.Go(func() { f.followPeers(ctx) })
}

// run applies all updates to the catalog; no other goroutine accesses it.
func (f *Follower) run(ctx context.Context) {
	c := f.config.Catalog
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		changed := false
		select {
		case u := <-f.updates:
			changed = u(c)
		case now := <-t.C:
			changed = c.Expire(now)
		case <-ctx.Done():
			return
		}
		if changed {
			f.revision.Store(c.Revision())
			v := c.View()
			f.view.Store(v)
			f.config.OnView(v)
		}
	}
}

// update runs u in the catalog's goroutine and waits for it to return. u reports
// whether the view changed.
func (f *Follower) update(ctx context.Context, u func(*Catalog) bool) {
	done := make(chan struct{})
	wrapped := func(c *Catalog) bool {
		defer close(done)
		return u(c)
	}
	select {
	case f.updates <- wrapped:
		<-done
	case <-ctx.Done():
	}
}

func (f *Follower) replace(ctx context.Context, s State) {
	f.update(ctx, func(c *Catalog) bool {
		changed := s.Revision != c.Revision()
		return c.Replace(s, time.Now()) && changed
	})
}

func (f *Follower) apply(ctx context.Context, s State) {
	f.update(ctx, func(c *Catalog) bool {
		before := c.Revision()
		c.Apply(s, time.Now())
		return c.Revision() > before
	})
}

// followPlatform lists the full state once and then watches for changes. A failed
// watch is retried from the same revision. After failuresBeforeList failures, or
// if the platform has compacted the changes needed, it lists the state again.
func (f *Follower) followPlatform(ctx context.Context) {
	failures := failuresBeforeList
	for ctx.Err() == nil {
		reader := f.config.Peers.ShouldReadPlatform()
		if !reader && f.revision.Load() > 0 {
			// Other VMs read the platform for this one. Should it become a reader, it
			// watches from the revision that it got from them.
			f.recordRead(ctx, errReadByOthers)
			failures = 0
			shuntgroup.Pause(ctx, peerPollInterval)
			continue
		}
		err := f.listOrWatch(ctx, failures >= failuresBeforeList)
		f.recordRead(ctx, err)
		switch {
		case err == nil:
			failures = 0
			shuntgroup.Pause(ctx, watchPause)
		case errors.Is(err, ErrCompacted):
			failures = failuresBeforeList
		default:
			failures++
			delay := meanRetryDelay
			if !reader {
				delay = idleRetryDelay
			}
			shuntgroup.Pause(ctx, delay/2+f.config.Random.Duration(delay))
		}
	}
}

// listOrWatch makes one call to the platform and applies its result.
func (f *Follower) listOrWatch(ctx context.Context, list bool) error {
	if list {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		s, err := f.config.Source.List(listCtx)
		if err == nil {
			f.replace(ctx, s)
		}
		return err
	}
	watchCtx, cancel := context.WithTimeout(ctx, f.config.WatchWait+watchTimeoutMargin)
	defer cancel()
	s, err := f.config.Source.Watch(watchCtx, f.revision.Load(), f.config.WatchWait)
	if err == nil {
		f.apply(ctx, s)
	}
	return err
}

// errReadByOthers is the reason logged while this VM does not read the platform.
var errReadByOthers = errors.New("other VMs read the platform for this one")

// recordRead records the result of a platform call, and logs and reports it if
// reachability has changed. ErrCompacted counts as an answer.
func (f *Follower) recordRead(ctx context.Context, err error) {
	ok := err == nil || errors.Is(err, ErrCompacted)
	if f.platformReachable.Swap(ok) == ok || ctx.Err() != nil {
		return
	}
	f.config.OnPlatformReachable(ok)
	if ok {
		klog.InfoS("Platform read", "revision", f.revision.Load())
		return
	}
	klog.InfoS("Platform not read", "reason", err.Error(), "revision", f.revision.Load())
}

// followPeers fetches changes from other VMs whenever this one has no successful
// read of the platform.
func (f *Follower) followPeers(ctx context.Context) {
	whole := false
	for ctx.Err() == nil {
		shuntgroup.Pause(ctx, peerPollInterval)
		if f.platformReachable.Load() {
			continue
		}
		before := f.revision.Load()
		if whole {
			before = 0
		}
		d, ok := f.config.Peers.FetchNewer(ctx, before)
		if !ok {
			continue
		}
		klog.InfoS("Changes taken from another VM", "revision", d.Revision, "before", before, "records", len(d.Records), "unchanged", len(d.Unchanged), "whole", d.Full)
		applied := false
		f.update(ctx, func(c *Catalog) bool {
			known := c.Revision()
			applied = c.ApplyDelta(d, time.Now())
			return c.Revision() > known
		})
		whole = !applied && d.Revision > f.revision.Load()
	}
}
