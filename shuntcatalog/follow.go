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
	// listTimeout bounds one listing of the platform, all pages together; the
	// source bounds each call.
	listTimeout = 10 * time.Second
	// answerSlack is added to the wait of a watch: a connection that has gone
	// silent is found after it.
	answerSlack = 500 * time.Millisecond
	// retryDelay is the mean pause after a call of the platform that failed.
	retryDelay = 300 * time.Millisecond
	// watchPause is the least time between watches, so that a burst of changes
	// costs few calls.
	watchPause = 400 * time.Millisecond
	// peerInterval is how often a VM looks whether another one knows more.
	peerInterval = 200 * time.Millisecond
	// expireInterval is how often lapsed servers are looked at.
	expireInterval = 100 * time.Millisecond
	// failedWatches is after how many failures in a row the state is listed anew.
	failedWatches = 2
)

// Peers are the other VMs, as a second source.
type Peers interface {
	// FetchNewer returns what changed after revision from a VM that knows, or false.
	FetchNewer(ctx context.Context, revision int64) (Delta, bool)
	// ShouldReadPlatform says whether this VM is to read the platform: a few do for all.
	ShouldReadPlatform() bool
}

// FollowerConfig is what a Follower is made of.
type FollowerConfig struct {
	Catalog *Catalog
	Source  Source
	Peers   Peers
	Group   *shuntgroup.Group
	Random  *shuntrandom.Source
	// WatchWait is how long one watch waits for changes.
	WatchWait time.Duration
	// OnView is called with each new view, and OnReads when the platform starts
	// or stops answering this VM.
	OnView              func(*shuntroute.View)
	OnPlatformReachable func(reads bool)
}

// Follower keeps a catalog up to date.
type Follower struct {
	config  FollowerConfig
	updates chan func(c *Catalog) bool
	view    atomic.Pointer[shuntroute.View]
	// revision is how far the catalog has followed.
	revision atomic.Int64
	// reads says whether the last call of the platform succeeded.
	reads atomic.Bool
}

// NewFollower returns a follower that has not started.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{config: c, updates: make(chan func(*Catalog) bool)}
	f.view.Store(shuntroute.NewView(nil, 0, nil, nil))
	return f
}

// View returns the newest view.
func (f *Follower) View() *shuntroute.View { return f.view.Load() }

// ChangesSince returns what changed after the revision, for other VMs.
func (f *Follower) ChangesSince(ctx context.Context, revision int64) Delta {
	var d Delta
	f.update(ctx, func(c *Catalog) bool {
		d = c.ChangesSince(revision)
		return false
	})
	return d
}

// PlatformReachable says whether the platform answered last time.
func (f *Follower) PlatformReachable() bool { return f.reads.Load() }

// Start runs the follower until ctx ends.
func (f *Follower) Start(ctx context.Context) {
	f.config.Group.Go(func() { f.control(ctx) })
	f.config.Group.Go(func() { f.follow(ctx) })
	f.config.Group.Go(func() { f.followPeers(ctx) })
}

// control is the one goroutine that touches the catalog.
func (f *Follower) control(ctx context.Context) {
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

// follow lists once and then watches. A failed watch is tried again from where
// it was; after a second failure, or where the history is gone, it lists anew.
func (f *Follower) follow(ctx context.Context) {
	failures := failedWatches
	for ctx.Err() == nil {
		if !f.config.Peers.ShouldReadPlatform() && f.revision.Load() > 0 {
			// Other VMs read for this one.
			f.noteRead(ctx, errNotReading)
			failures = failedWatches
			shuntgroup.Pause(ctx, peerInterval)
			continue
		}
		err := f.step(ctx, failures >= failedWatches)
		f.noteRead(ctx, err)
		switch {
		case err == nil:
			failures = 0
			shuntgroup.Pause(ctx, watchPause)
		case errors.Is(err, ErrCompacted):
			failures = failedWatches
		default:
			failures++
			shuntgroup.Pause(ctx, retryDelay/2+f.config.Random.Duration(retryDelay))
		}
	}
}

func (f *Follower) step(ctx context.Context, list bool) error {
	if list {
		ctx2, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		s, err := f.config.Source.List(ctx2)
		if err == nil {
			f.replace(ctx, s)
		}
		return err
	}
	ctx2, cancel := context.WithTimeout(ctx, f.config.WatchWait+answerSlack)
	defer cancel()
	s, err := f.config.Source.Watch(ctx2, f.revision.Load(), f.config.WatchWait)
	if err == nil {
		f.apply(ctx, s)
	}
	return err
}

// errNotReading stands for a platform that this VM leaves to others.
var errNotReading = errors.New("other VMs read it")

func (f *Follower) noteRead(ctx context.Context, err error) {
	ok := err == nil || errors.Is(err, ErrCompacted)
	if f.reads.Swap(ok) == ok || ctx.Err() != nil {
		return
	}
	f.config.OnPlatformReachable(ok)
	if ok {
		klog.InfoS("Platform read", "revision", f.revision.Load())
		return
	}
	klog.InfoS("Platform not read", "reason", err.Error(), "revision", f.revision.Load())
}

// followPeers takes what other VMs know to have changed while this one does not
// read the platform.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		shuntgroup.Pause(ctx, peerInterval)
		if f.reads.Load() {
			continue
		}
		before := f.revision.Load()
		d, ok := f.config.Peers.FetchNewer(ctx, before)
		if !ok {
			continue
		}
		klog.InfoS("Changes taken from another VM", "revision", d.Revision, "before", before, "records", len(d.Records), "whole", d.Full)
		if d.Full {
			f.replace(ctx, d.State)
		} else {
			f.apply(ctx, d.State)
		}
	}
}
