package shuntcall

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// linkProofTimeout is how long a VM tries to reach some backend server to find out
	// whether it has lost its own links, and linkProbeInterval the time between two tries.
	linkProofTimeout  = time.Second
	linkProbeInterval = 100 * time.Millisecond
)

// links tells whether this VM reaches backend servers at all. A VM that has lost its own
// links must not blame the servers.
type links struct {
	mu sync.Mutex
	// reached holds the last two different servers that were reached, the latest first.
	reached [2]reachedServer
	// changed is closed, and replaced, when a server is reached while somebody waits.
	changed chan struct{}
	waiting int
	probing bool
}

// reachedServer is a server that answered a request, or accepted a connection, that was
// begun at a time.
type reachedServer struct {
	server string
	begun  time.Time
}

// record records that a server answered what was begun at the given time.
func (l *links) record(server string, begun time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if begun.Before(l.reached[0].begun) {
		return
	}
	if l.reached[0].server != server {
		l.reached[1] = l.reached[0]
	}
	l.reached[0] = reachedServer{server, begun}
	if l.waiting > 0 {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// reachedOther reports whether a server other than the given one answered what was not
// begun before since. The caller must hold l.mu.
func (l *links) reachedOther(server string, since time.Time) bool {
	r := l.reached[0]
	if r.server == server {
		r = l.reached[1]
	}
	return r.server != "" && !r.begun.Before(since)
}

func (l *links) hasReachedOther(server string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachedOther(server, since)
}

// awaitOther waits until a server other than the given one answers what was not begun before
// since. It returns false if none does in time.
func (l *links) awaitOther(ctx context.Context, server string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	l.waiting++
	defer func() { l.waiting-- }()
	for !l.reachedOther(server, since) {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mu.Lock()
		if ctx.Err() != nil {
			return l.reachedOther(server, since)
		}
	}
	return true
}

// beginProbe reports whether the caller should probe servers, because nobody else does.
func (l *links) beginProbe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing {
		return false
	}
	l.probing = true
	return true
}

func (l *links) endProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

// provesLinks reports whether this VM reaches a server other than s from since on, so that
// it has not lost its own links. Where s is the only server there is, it returns true.
func (c *Caller) provesLinks(ctx context.Context, s shuntroute.Server, since time.Time) bool {
	var others []shuntroute.Server
	for o := range c.config.View().All() {
		if o.ID != s.ID {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, linkProofTimeout)
	defer cancel()
	if c.links.beginProbe() {
		c.config.Group.Go(func() {
			defer c.links.endProbe()
			c.probeAny(ctx, others, s.ID, since)
		})
	}
	return c.links.awaitOther(ctx, s.ID, since)
}

// probeAny connects to one server after the other until another than except is reached.
// The order of the servers, which is that of a map, differs from call to call.
func (c *Caller) probeAny(ctx context.Context, servers []shuntroute.Server, except string, since time.Time) {
	for n := 0; ctx.Err() == nil && !c.links.hasReachedOther(except, since); n++ {
		s := servers[n%len(servers)]
		c.config.Group.Go(func() { _ = c.connect(ctx, s) })
		shuntgroup.Pause(ctx, linkProbeInterval)
	}
}

// connect opens a connection to the server and keeps it.
func (c *Caller) connect(ctx context.Context, s shuntroute.Server) error {
	begun := time.Now()
	err := c.config.Pool.Connect(ctx, shuntupstream.Server{ID: s.ID, Address: s.Address})
	if err == nil {
		c.reached(s, begun)
	}
	return err
}

// reached records that the server answered what was begun at the given time.
func (c *Caller) reached(s shuntroute.Server, begun time.Time) {
	c.config.CrashDetector.Reached(s.ID, begun)
	c.links.record(s.ID, begun)
}
