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

// testSource is a source whose answers the test sets.
type testSource struct {
	mu    sync.Mutex
	state State
	err   error
	// watchErr fails the next watch only.
	watchErr error
	lists    int
	watches  int
	silent   bool
	// slow is how long a listing takes.
	slow time.Duration
}

func (s *testSource) set(u func(*testSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u(s)
}

func (s *testSource) List(ctx context.Context) (State, error) {
	s.mu.Lock()
	s.lists++
	state, err, slow := s.state, s.err, s.slow
	s.mu.Unlock()
	shuntgroup.Pause(ctx, slow)
	if ctx.Err() != nil {
		return State{}, ctx.Err()
	}
	return state, err
}

func (s *testSource) Watch(ctx context.Context, after int64, wait time.Duration) (State, error) {
	s.mu.Lock()
	s.watches++
	err, silent, now := s.err, s.silent, s.state
	if s.watchErr != nil {
		err, s.watchErr = s.watchErr, nil
	}
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return State{}, ctx.Err()
	case err != nil:
		return State{}, err
	case now.Revision > after:
		return now, nil
	}
	shuntgroup.Pause(ctx, wait)
	return State{Revision: after}, ctx.Err()
}

// testPeers are other VMs that know a state.
type testPeers struct {
	mu    sync.Mutex
	delta Delta
	reads bool
}

func (p *testPeers) FetchNewer(_ context.Context, revision int64) (Delta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delta, p.delta.Revision > revision
}

func (p *testPeers) ShouldReadPlatform() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *testPeers) set(d Delta, reads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delta, p.reads = d, reads
}

// follow runs a follower in virtual time while check runs.
func follow(t *testing.T, s *testSource, p *testPeers, check func(f *Follower)) {
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

func version(f *Follower) int64 {
	if f.View().Table == nil {
		return 0
	}
	return f.View().Table.Version()
}

// TestFollow is what a VM knows while the platform fails in one way or another.
func TestFollow(t *testing.T) {
	v := func(revision, version int64) State { return state(revision, record(t, "t", revision, version)) }
	const soon = 3 * time.Second
	cases := map[string]struct {
		before func(*testSource, *testPeers)
		then   func(*testSource, *testPeers)
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
			s.set(func(s *testSource) { s.silent = true })
			p.set(Delta{State: v(5, 3)}, true)
		}, 3},
		"a slow listing of many pages": {func(s *testSource, _ *testPeers) { s.slow = 4 * time.Second }, nil, 1},
		"others read": {func(_ *testSource, p *testPeers) { p.reads = false }, func(_ *testSource, p *testPeers) {
			p.set(Delta{State: v(5, 3)}, false)
		}, 3},
		"a peer that knows less": {nil, func(s *testSource, p *testPeers) {
			s.set(func(s *testSource) { s.err = errors.New("down") })
			p.set(Delta{State: State{}, Full: true}, true)
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, p := &testSource{state: v(1, 1)}, &testPeers{reads: true}
			if c.before != nil {
				c.before(s, p)
			}
			follow(t, s, p, func(f *Follower) {
				time.Sleep(soon)
				if c.then != nil {
					c.then(s, p)
				}
				time.Sleep(soon)
				if got := version(f); got != c.want {
					t.Errorf("version %d; want %d", got, c.want)
				}
			})
		})
	}
}

// TestReadsFew: a quiet platform is asked about twice a minute for each second
// of waiting, and a VM for which others read does not ask at all.
func TestReadsFew(t *testing.T) {
	for name, c := range map[string]struct {
		reads bool
		most  int
	}{"reader": {true, 60}, "others read": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			s, p := &testSource{state: state(1, record(t, "t", 1, 1))}, &testPeers{reads: true}
			follow(t, s, p, func(*Follower) {
				time.Sleep(time.Second)
				p.set(Delta{}, c.reads)
				time.Sleep(2 * time.Second)
				s.set(func(s *testSource) { s.lists, s.watches = 0, 0 })
				time.Sleep(time.Minute)
				s.set(func(s *testSource) {
					if n := s.lists + s.watches; n > c.most {
						t.Errorf("%d calls in a minute; want at most %d", n, c.most)
					}
				})
			})
		})
	}
}
