package shuntbalance

import (
	"sync"
	"time"
)

const (
	// doubtWindow is the time within which connections to minDoubtful servers must fail,
	// and none be accepted, to cast doubt on this VM's own links.
	doubtWindow = time.Second
	minDoubtful = 2
)

// Links tells from the connections that this VM opens whether it has lost its own links to
// the backend servers. A VM that has must not blame the servers, and should leave its
// callers to VMs that reach them.
type Links struct {
	mu sync.Mutex
	// accepted holds the last two different servers that accepted a connection, the
	// latest first.
	accepted [2]acceptedConn
	// failed holds when connections to servers last failed.
	failed map[string]time.Time
	lost   bool
	// silent is true if nothing comes back any more, so that older connections are lost
	// as well.
	silent bool
	// changed is closed, and replaced, when a server accepts a connection.
	changed chan struct{}
}

// acceptedConn is a connection that a server accepted.
type acceptedConn struct {
	server string
	begun  time.Time
}

// NewLinks returns Links that are not lost.
func NewLinks() *Links {
	return &Links{failed: map[string]time.Time{}, changed: make(chan struct{})}
}

// Dialed records the end of an attempt to open a connection that was begun at the given
// time.
func (l *Links) Dialed(server string, begun time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed[server] = time.Now()
		return
	}
	delete(l.failed, server)
	close(l.changed)
	l.changed = make(chan struct{})
	if begun.Before(l.accepted[0].begun) {
		return
	}
	if l.accepted[0].server != server {
		l.accepted[1] = l.accepted[0]
	}
	l.accepted[0] = acceptedConn{server, begun}
}

// ReachedOther reports whether a server other than the given one has accepted a
// connection that was not begun before since. If not, the channel is closed when that may
// have changed.
func (l *Links) ReachedOther(server string, since time.Time) (ok bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accepted[0]
	if a.server == server {
		a = l.accepted[1]
	}
	return a.server != "" && !a.begun.Before(since), l.changed
}

// LastReached returns when the last connection was begun that a server accepted.
func (l *Links) LastReached() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted[0].begun
}

// Doubtful reports whether several servers could not be reached lately and none could.
func (l *Links) Doubtful(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for server, at := range l.failed {
		switch {
		case now.Sub(at) > doubtWindow:
			delete(l.failed, server)
		case at.After(l.accepted[0].begun):
			n++
		}
	}
	return n >= minDoubtful
}

// ProbeResult holds what became of connections to servers that were probed.
type ProbeResult struct {
	Probed, Accepted, TimedOut int
}

// Conclude records the result of probes, and reports whether that changes whether the links
// are lost: they are if no server accepted a connection, and back if half of them do.
func (l *Links) Conclude(p ProbeResult) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.lost
	switch {
	case p.Probed == 0:
	case p.Accepted == 0:
		l.lost = true
	case 2*p.Accepted >= p.Probed:
		l.lost = false
	}
	l.silent = l.lost && p.TimedOut == p.Probed
	return l.lost != before
}

// Lost reports whether this VM has lost its links, and whether nothing at all comes back.
func (l *Links) Lost() (lost, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost, l.silent
}
