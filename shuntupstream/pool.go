package shuntupstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 400 * time.Millisecond
	// defaultIdle is how long an idle connection is kept where the server does
	// not say.
	defaultIdle = 10 * time.Second
	// idleMargin is the part of the server's idle timeout after which a
	// connection is not used again.
	idleMargin = 0.7
	// onceIdle is how long a connection may have been idle for a request that
	// must not run twice: one that the server has closed can't be told from one
	// on which it ran.
	onceIdle = 500 * time.Millisecond
	// maxWaiting is how many exchanges wait for a connection to one server.
	maxWaiting = 64
	// deadPeerTimeout is when keep-alive probes start on a connection.
	deadPeerTimeout = 5 * time.Second
)

// PoolConfig is what a Pool is made of.
type PoolConfig struct {
	Headers Headers
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Group runs what writes long bodies while the reply is read.
	Group *shuntgroup.Group
}

// Pool keeps connections to backend servers.
type Pool struct {
	config PoolConfig

	mu    sync.Mutex
	hosts map[string]*host
	opens int64
}

type host struct {
	open int
	idle []*conn
	// waiting holds those that found all connections in use, the first to come
	// first.
	waiting []*waiter
}

// waiter waits for room. It gets a connection, or nil where it may open one.
type waiter struct {
	room     chan *conn
	maxConns int
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	if c.Dial == nil {
		d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: deadPeerTimeout, Interval: time.Second, Count: 2}}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Pool{config: c, hosts: map[string]*host{}}
}

// Server is whom an exchange is with.
type Server struct {
	ID      string
	Address string
	// MaxConns is how many connections this VM may have to the server.
	MaxConns int
	// MaxWait is how long an exchange may wait while all connections are in use.
	MaxWait time.Duration
	// CloseAfterUse closes connections after one exchange: many VMs may each use one now
	// and then, but not keep it.
	CloseAfterUse bool
}

func (s Server) key() string { return s.ID + " " + s.Address }

// Do sends r to the server. idempotent requests may use any live connection.
func (p *Pool) Do(ctx context.Context, s Server, idempotent bool, r Request) Outcome {
	c, status, err := p.take(ctx, s, idempotent)
	if err != nil {
		return Outcome{Status: status, Err: err}
	}
	out := c.exchange(ctx, p.config.Headers, s.ID, r)
	p.release(s, c)
	return out
}

// host returns the entry of the server; callers hold the lock.
func (p *Pool) host(s Server) *host {
	h := p.hosts[s.key()]
	if h == nil {
		h = &host{}
		p.hosts[s.key()] = h
	}
	return h
}

func (p *Pool) take(ctx context.Context, s Server, idempotent bool) (*conn, Status, error) {
	now := time.Now()
	p.mu.Lock()
	h := p.host(s)
	var stale []*conn
	var found *conn
	for len(h.idle) > 0 && found == nil {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.usable(now, idempotent) {
			found = c
			continue
		}
		h.open--
		stale = append(stale, c)
	}
	var w *waiter
	switch {
	case found != nil:
	case h.open < s.MaxConns:
		h.open++
	case len(h.waiting) < maxWaiting && s.MaxWait > 0:
		w = &waiter{room: make(chan *conn, 1), maxConns: s.MaxConns}
		h.waiting = append(h.waiting, w)
	default:
		p.mu.Unlock()
		closeAll(stale)
		return nil, NoRoom, errNoRoom
	}
	p.mu.Unlock()
	closeAll(stale)
	if w != nil {
		var err error
		if found, err = p.wait(ctx, s, h, w); err != nil {
			return nil, NoRoom, err
		}
		if found != nil && !found.usable(time.Now(), idempotent) {
			_ = found.net.Close()
			found = nil
		}
	}
	if found != nil {
		return found, Answered, nil
	}
	return p.dial(ctx, s, h)
}

var errNoRoom = errors.New("all connections are in use")

// wait waits until w has room, for as long as the exchange may.
func (p *Pool) wait(ctx context.Context, s Server, h *host, w *waiter) (*conn, error) {
	t := time.NewTimer(s.MaxWait)
	defer t.Stop()
	err := errNoRoom
	select {
	case c := <-w.room:
		return c, nil
	case <-t.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.mu.Lock()
	i := slices.Index(h.waiting, w)
	if i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return nil, errors.Trace(err)
	}
	// Room came at the same moment.
	c := <-w.room
	if err == errNoRoom {
		return c, nil
	}
	if c == nil {
		p.closed(h)
	} else {
		p.release(s, c)
	}
	return nil, errors.Trace(err)
}

// closed books the end of a connection.
func (p *Pool) closed(h *host) {
	p.mu.Lock()
	h.open--
	h.next()
	p.mu.Unlock()
}

// next lets the first one waiting open a connection if there is room; callers
// hold the lock.
func (h *host) next() {
	if len(h.waiting) == 0 || h.open >= h.waiting[0].maxConns {
		return
	}
	h.open++
	h.hand(nil)
}

// hand gives c to the first one waiting; callers hold the lock.
func (h *host) hand(c *conn) {
	w := h.waiting[0]
	h.waiting = slices.Delete(h.waiting, 0, 1)
	w.room <- c
}

// dial opens a connection that is booked already.
func (p *Pool) dial(ctx context.Context, s Server, h *host) (*conn, Status, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	p.mu.Lock()
	p.opens++
	p.mu.Unlock()
	c, err := p.config.Dial(ctx, s.Address)
	if err != nil {
		p.closed(h)
		return nil, NotSent, errors.Trace(err)
	}
	return newConn(c, p.config.Group, defaultIdle), Answered, nil
}

func (c *conn) usable(now time.Time, idempotent bool) bool {
	if c.expired(now) || (!idempotent && now.Sub(c.idleSince) > onceIdle) {
		return false
	}
	return c.alive()
}

// expired says whether the server may be about to close the idle connection.
func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > time.Duration(float64(c.idleLimit)*idleMargin)
}

func (p *Pool) release(s Server, c *conn) {
	keep := !c.spent && !s.CloseAfterUse
	if !keep {
		// Before the next one opens its own: the server counts both.
		_ = c.net.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[s.key()]
	switch {
	case h == nil:
		_ = c.net.Close()
	case !keep:
		h.open--
		h.next()
	case len(h.waiting) > 0:
		c.idleSince = time.Now()
		h.hand(c)
	default:
		c.idleSince = time.Now()
		h.idle = append(h.idle, c)
	}
}

// CloseExpired closes idle connections that have outlived their limit, and forgets
// servers without connections. It is called now and then.
func (p *Pool) CloseExpired(now time.Time) {
	var stale []*conn
	p.mu.Lock()
	for key, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.expired(now) {
				h.open--
				stale = append(stale, c)
				continue
			}
			kept = append(kept, c)
		}
		h.idle = kept
		if h.open == 0 && len(h.idle) == 0 {
			delete(p.hosts, key)
		}
	}
	p.mu.Unlock()
	closeAll(stale)
}

// EnsureConnected opens a connection to the server if there is none, so that the first
// requests do not wait for one.
func (p *Pool) EnsureConnected(ctx context.Context, s Server) error {
	p.mu.Lock()
	h := p.hosts[s.key()]
	connected := h != nil && h.open > 0
	p.mu.Unlock()
	if connected {
		return nil
	}
	return p.Connect(ctx, s)
}

// Connect opens a connection to the server and keeps it.
func (p *Pool) Connect(ctx context.Context, s Server) error {
	p.mu.Lock()
	h := p.host(s)
	h.open++
	p.mu.Unlock()
	c, _, err := p.dial(ctx, s, h)
	if err == nil {
		p.release(s, c)
	}
	return err
}

// ConnectionsOpened returns the number of connections opened so far.
func (p *Pool) ConnectionsOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opens
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.net.Close()
	}
}
