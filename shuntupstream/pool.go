package shuntupstream

import (
	"context"
	"net"
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
	// Once closes connections after one exchange: many VMs may each use one now
	// and then, but not keep it.
	Once bool
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
	full := found == nil && h.open >= s.MaxConns
	if found == nil && !full {
		h.open++
		p.opens++
	}
	p.mu.Unlock()
	closeAll(stale)
	switch {
	case found != nil:
		return found, Answered, nil
	case full:
		return nil, NoRoom, errors.New("all connections are in use")
	}
	return p.dial(ctx, s, h)
}

func (p *Pool) dial(ctx context.Context, s Server, h *host) (*conn, Status, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := p.config.Dial(ctx, s.Address)
	if err != nil {
		p.mu.Lock()
		h.open--
		p.mu.Unlock()
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
	p.mu.Lock()
	h := p.hosts[s.key()]
	keep := !c.spent && !s.Once && h != nil
	if keep {
		c.idleSince = time.Now()
		h.idle = append(h.idle, c)
	} else if h != nil {
		h.open--
	}
	p.mu.Unlock()
	if !keep {
		_ = c.net.Close()
	}
}

// Sweep closes idle connections that have outlived their limit, and forgets
// servers without connections. It is called now and then.
func (p *Pool) Sweep(now time.Time) {
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

// Warm opens a connection to the server if there is none, so that the first
// requests do not wait for one.
func (p *Pool) Warm(ctx context.Context, s Server) error {
	p.mu.Lock()
	h := p.hosts[s.key()]
	connected := h != nil && h.open > 0
	p.mu.Unlock()
	if connected {
		return nil
	}
	return p.Probe(ctx, s)
}

// Probe opens a connection to the server and keeps it.
func (p *Pool) Probe(ctx context.Context, s Server) error {
	p.mu.Lock()
	h := p.host(s)
	h.open++
	p.opens++
	p.mu.Unlock()
	c, _, err := p.dial(ctx, s, h)
	if err == nil {
		p.release(s, c)
	}
	return err
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opens
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.net.Close()
	}
}
