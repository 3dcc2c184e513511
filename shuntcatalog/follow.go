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
	// listTimeout bounds one listing of the platform.
	listTimeout = time.Second
	// answerSlack is added to the wait of a watch: a connection that has gone
	// silent is found after it.
	answerSlack = 500 * time.Millisecond
	// retryDelay is the mean pause after a call of the platform that failed.
	retryDelay = 300 * time.Millisecond
	// watchPause is the least time between watches, so that a burst of changes
	// costs few calls.
	watchPause = 200 * time.Millisecond
	// peerInterval is how often a VM looks whether another one knows more.
	peerInterval = 200 * time.Millisecond
	// expireInterval is how often lapsed servers are looked at.
	expireInterval = 100 * time.Millisecond
	// failedWatches is after how many failures in a row the state is listed anew.
	failedWatches = 2
)

// Peers are the other VMs, as a second source.
type Peers interface {
	// Newer returns a state newer than revision from a VM that has one, or false.
	Newer(ctx context.Context, revision int64) (State, bool)
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
	// OnView is called with each new view, from one goroutine.
	OnView func(*shuntroute.View)
}

// Follower keeps a catalog up to date.
type Follower struct {
	config  FollowerConfig
	updates chan func(c *Catalog) bool
	view    atomic.Pointer[shuntroute.View]
	state   atomic.Pointer[State]
	// reads says whether the last call of the platform succeeded.
	reads atomic.Bool
}

// NewFollower returns a follower that has not started.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{config: c, updates: make(chan func(*Catalog) bool)}
	f.view.Store(shuntroute.NewView(nil, 0, nil, nil))
	f.state.Store(&State{})
	return f
}

// View returns the newest view.
func (f *Follower) View() *shuntroute.View { return f.view.Load() }

// State returns the newest state, for other VMs.
func (f *Follower) State() State { return *f.state.Load() }

// Reads says whether the platform answered last time.
func (f *Follower) Reads() bool { return f.reads.Load() }

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
			s := c.State()
			f.state.Store(&s)
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
		c.Apply(s, time.Now())
		return len(s.Records) > 0
	})
}

// follow lists once and then watches. A failed watch is tried again from where
// it was; after a second failure, or where the history is gone, it lists anew.
func (f *Follower) follow(ctx context.Context) {
	failures := failedWatches
	for ctx.Err() == nil {
		err := f.step(ctx, failures >= failedWatches)
		f.noteRead(ctx, err)
		switch {
		case err == nil:
			failures = 0
			pause(ctx, watchPause)
		case errors.Is(err, ErrCompacted):
			failures = failedWatches
		default:
			failures++
			pause(ctx, retryDelay/2+f.config.Random.Duration(retryDelay))
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
	s, err := f.config.Source.Watch(ctx2, f.state.Load().Revision, f.config.WatchWait)
	if err == nil {
		f.apply(ctx, s)
	}
	return err
}

func (f *Follower) noteRead(ctx context.Context, err error) {
	ok := err == nil || errors.Is(err, ErrCompacted)
	if f.reads.Swap(ok) == ok || ctx.Err() != nil {
		return
	}
	if ok {
		klog.InfoS("Platform answers again", "revision", f.state.Load().Revision)
		return
	}
	klog.InfoS("Platform does not answer", "reason", err.Error(), "revision", f.state.Load().Revision)
}

// followPeers takes the state of other VMs where they know more.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, peerInterval)
		if f.reads.Load() {
			continue
		}
		s, ok := f.config.Peers.Newer(ctx, f.state.Load().Revision)
		if !ok {
			continue
		}
		klog.InfoS("State taken from another VM", "revision", s.Revision, "before", f.state.Load().Revision)
		f.replace(ctx, s)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
