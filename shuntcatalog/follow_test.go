package shuntcatalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// testSource is a Source whose answers are set by the test.
type testSource struct {
	mu    sync.Mutex
	state State
	err   error
	// watchErr is returned by the next watch only.
	watchErr error
	lists    int
	watches  int
	// unresponsive makes watches block until their context ends.
	unresponsive bool
	// listDelay is the duration of a listing.
	listDelay time.Duration
}

func (s *testSource) set(u func(*testSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u(s)
}

func (s *testSource) List(ctx context.Context) (State, error) {
	s.mu.Lock()
	s.lists++
	state, err, delay := s.state, s.err, s.listDelay
	s.mu.Unlock()
	shuntgroup.Pause(ctx, delay)
	if ctx.Err() != nil {
		return State{}, ctx.Err()
	}
	return state, err
}

func (s *testSource) Watch(ctx context.Context, after int64, wait time.Duration) (State, error) {
	s.mu.Lock()
	s.watches++
	err, unresponsive, state := s.err, s.unresponsive, s.state
	if s.watchErr != nil {
		err, s.watchErr = s.watchErr, nil
	}
	s.mu.Unlock()
	switch {
	case unresponsive:
		<-ctx.Done()
		return State{}, ctx.Err()
	case err != nil:
		return State{}, err
	case state.Revision > after:
		return state, nil
	}
	shuntgroup.Pause(ctx, wait)
	return State{Revision: after}, ctx.Err()
}

// testPeers stands for other VMs, which all know delta.
type testPeers struct {
	mu         sync.Mutex
	delta      Delta
	shouldRead bool
}

func (p *testPeers) FetchNewer(_ context.Context, revision int64) (Delta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delta, p.delta.Revision > revision
}

func (p *testPeers) ShouldReadPlatform() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shouldRead
}

func (p *testPeers) set(d Delta, shouldRead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delta, p.shouldRead = d, shouldRead
}

// runFollower runs a follower, and check beside it, in a synctest bubble.
func runFollower(t *testing.T, s *testSource, p *testPeers, check func(f *Follower)) {
	synctest.Test(t, func(*testing.T) {
		var g shuntgroup.Group
		ctx, cancel := context.WithCancel(context.Background())
		f := NewFollower(FollowerConfig{
			Catalog: newCatalog(), Source: s, Peers: p, Group: &g, Random: shuntrandom.New(1), WatchWait: time.Second,
			OnView: func(*shuntroute.View) {}, OnPlatformReachable: func(bool) {},
		})
		f.Start(ctx)
		check(f)
		cancel()
		g.Close()
	})
}

// tableVersion returns the version of the current table, or 0 without one.
func tableVersion(f *Follower) int64 {
	if f.View().Table == nil {
		return 0
	}
	return f.View().Table.Version()
}

// TestFollower checks which version of the table a VM has after changes and
// various failures of the platform.
func TestFollower(t *testing.T) {
	v := func(revision, version int64) State { return state(revision, record(t, "t", revision, version)) }
	const settleTime = 3 * time.Second
	cases := map[string]struct {
		setUp  func(*testSource, *testPeers)
		change func(*testSource, *testPeers)
		want   int64
	}{
		"a change": {nil, func(s *testSource, _ *testPeers) { s.set(func(s *testSource) { s.state = v(2, 2) }) }, 2},
		"the history is gone": {nil, func(s *testSource, _ *testPeers) {
			s.set(func(s *testSource) { s.state, s.watchErr = v(90, 2), ErrCompacted })
		}, 2},
		"down at the start, peers know": {func(s *testSource, p *testPeers) {
			s.err = errors.New("down")
			p.delta = Delta{State: v(5, 3), Full: true}
		}, nil, 3},
		"down at the start, nobody knows": {func(s *testSource, _ *testPeers) { s.err = errors.New("down") }, nil, 0},
		"down, then a change at a peer": {nil, func(s *testSource, p *testPeers) {
			s.set(func(s *testSource) { s.err = errors.New("down") })
			p.set(Delta{State: v(5, 3)}, true)
		}, 3},
		"the connection goes silent": {nil, func(s *testSource, p *testPeers) {
			s.set(func(s *testSource) { s.unresponsive = true })
			p.set(Delta{State: v(5, 3)}, true)
		}, 3},
		"a slow listing of many pages": {func(s *testSource, _ *testPeers) { s.listDelay = 4 * time.Second }, nil, 1},
		"others read": {func(_ *testSource, p *testPeers) { p.shouldRead = false }, func(_ *testSource, p *testPeers) {
			p.set(Delta{State: v(5, 3)}, false)
		}, 3},
		"a peer that knows less": {nil, func(s *testSource, p *testPeers) {
			s.set(func(s *testSource) { s.err = errors.New("down") })
			p.set(Delta{State: State{}, Full: true}, true)
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, p := &testSource{state: v(1, 1)}, &testPeers{shouldRead: true}
			if c.setUp != nil {
				c.setUp(s, p)
			}
			runFollower(t, s, p, func(f *Follower) {
				time.Sleep(settleTime)
				if c.change != nil {
					c.change(s, p)
				}
				time.Sleep(settleTime)
				if got := tableVersion(f); got != c.want {
					t.Errorf("version %d; want %d", got, c.want)
				}
			})
		})
	}
}

// TestPlatformCallRate checks that a platform without changes gets at most one
// call per WatchWait, and none from a VM for which other VMs read it.
func TestPlatformCallRate(t *testing.T) {
	for name, c := range map[string]struct {
		shouldRead bool
		maxCalls   int
	}{"reader": {true, 60}, "others read": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			s, p := &testSource{state: state(1, record(t, "t", 1, 1))}, &testPeers{shouldRead: true}
			runFollower(t, s, p, func(*Follower) {
				time.Sleep(time.Second)
				p.set(Delta{}, c.shouldRead)
				time.Sleep(2 * time.Second)
				s.set(func(s *testSource) { s.lists, s.watches = 0, 0 })
				time.Sleep(time.Minute)
				s.set(func(s *testSource) {
					if n := s.lists + s.watches; n > c.maxCalls {
						t.Errorf("%d calls in a minute; want at most %d", n, c.maxCalls)
					}
				})
			})
		})
	}
}
