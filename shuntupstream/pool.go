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
	// connectTimeout bounds the time to open a connection.
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the idle timeout assumed for servers that do not
	// announce one.
	defaultIdleTimeout = 10 * time.Second
	// idleTimeoutFraction is the fraction of the server's idle timeout after
	// which an idle connection is no longer used, since the server may be about
	// to close it.
	idleTimeoutFraction = 0.7
	// maxIdleNonIdempotent is how long a connection may have been idle if it is
	// to carry a request that must not run twice. If the server closes an idle
	// connection while a request is on its way, the client can't tell whether
	// the request ran.
	maxIdleNonIdempotent = 500 * time.Millisecond
	// maxWaiters is the number of exchanges that may wait for a connection to the
	// same server.
	maxWaiters = 64
	// keepAliveIdle is the idle time after which TCP keep-alive probes start.
	keepAliveIdle = 5 * time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Headers Headers
	// Dial opens a connection. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial, if not nil, is called when an attempt to open a connection has ended that was
	// begun at the given time, unless this VM itself gave it up.
	OnDial func(s Server, begun time.Time, err error)
	// Group runs the goroutines that write large request bodies.
	Group *shuntgroup.Group
}

// Pool keeps connections to backend servers and limits their number.
type Pool struct {
	config PoolConfig

	mu sync.Mutex
	// servers is indexed by Server.key.
	servers           map[string]*serverConns
	connectionsOpened int64
}

// serverConns holds the connections to one server.
type serverConns struct {
	// open counts all connections, idle, in use or being opened.
	open int
	idle []*conn
	// waiters holds the exchanges that wait for a connection, oldest first.
	waiters []*waiter
}

// waiter is an exchange that waits for a connection.
type waiter struct {
	// ready receives a connection, or nil if the exchange may open one, which is
	// already counted.
	ready    chan *conn
	maxConns int
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	if c.Dial == nil {
		d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 2}}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	return &Pool{config: c, servers: map[string]*serverConns{}}
}

// Server identifies a backend server and limits the connections to it.
type Server struct {
	ID      string
	Address string
	// MaxConns is the number of connections this VM may have to the server.
	MaxConns int
	// MaxWait is how long an exchange may wait for a connection while all are in
	// use.
	MaxWait time.Duration
	// CloseAfterUse closes each connection after one exchange, for servers with
	// too few connections for every VM to keep one open.
	CloseAfterUse bool
}

func (s Server) key() string { return s.ID + " " + s.Address }

// Do sends r to the server and returns the outcome. A request that is not
// idempotent uses only new or recently used connections.
func (p *Pool) Do(ctx context.Context, s Server, idempotent bool, r Request) Outcome {
	c, status, err := p.acquire(ctx, s, idempotent, r.SentOn)
	if err != nil {
		return Outcome{Status: status, Err: err}
	}
	out := c.exchange(ctx, p.config.Headers, s.ID, r)
	out.Conn = c.id
	p.release(s, c)
	return out
}

// connsOf returns the connections of the server. The caller must hold p.mu.
func (p *Pool) connsOf(s Server) *serverConns {
	sc := p.servers[s.key()]
	if sc == nil {
		sc = &serverConns{}
		p.servers[s.key()] = sc
	}
	return sc
}

// acquire returns an idle connection that is not one of sentOn, opens a new one or waits for
// one. On failure it returns the status of the exchange and the reason.
func (p *Pool) acquire(ctx context.Context, s Server, idempotent bool, sentOn []uint64) (*conn, Status, error) {
	now := time.Now()
	p.mu.Lock()
	sc := p.connsOf(s)
	found, stale := sc.takeIdle(now, idempotent, sentOn)
	var w *waiter
	switch {
	case found != nil:
	case sc.open < s.MaxConns:
		sc.open++
	case len(sc.idle) > 0:
		// All idle connections are ones of sentOn. A new one takes the place of one.
		stale = append(stale, sc.idle[0])
		sc.idle = slices.Delete(sc.idle, 0, 1)
	case len(sc.waiters) < maxWaiters && s.MaxWait > 0:
		w = &waiter{ready: make(chan *conn, 1), maxConns: s.MaxConns}
		sc.waiters = append(sc.waiters, w)
	default:
		p.mu.Unlock()
		closeAll(stale)
		return nil, NoRoom, errAllInUse
	}
	p.mu.Unlock()
	closeAll(stale)
	if w != nil {
		var err error
		if found, err = p.wait(ctx, s, sc, w); err != nil {
			return nil, NoRoom, err
		}
		if found != nil && (slices.Contains(sentOn, found.id) || !found.usable(time.Now(), idempotent)) {
			_ = found.net.Close()
			found = nil
		}
	}
	if found != nil {
		return found, Answered, nil
	}
	return p.dial(ctx, s, sc)
}

// takeIdle takes the latest idle connection that is usable and not one of sentOn, if there is
// one. It also returns those that are not usable, which must be closed. The caller must
// hold the pool's lock.
func (sc *serverConns) takeIdle(now time.Time, idempotent bool, sentOn []uint64) (found *conn, stale []*conn) {
	for i := len(sc.idle) - 1; i >= 0 && found == nil; i-- {
		c := sc.idle[i]
		if slices.Contains(sentOn, c.id) {
			continue
		}
		sc.idle = slices.Delete(sc.idle, i, i+1)
		if c.usable(now, idempotent) {
			found = c
			continue
		}
		sc.open--
		stale = append(stale, c)
	}
	return found, stale
}

var errAllInUse = errors.New("all connections are in use")

// wait waits until w is given a connection, or is allowed to open one, for at
// most s.MaxWait.
func (p *Pool) wait(ctx context.Context, s Server, sc *serverConns, w *waiter) (*conn, error) {
	t := time.NewTimer(s.MaxWait)
	defer t.Stop()
	err := errAllInUse
	select {
	case c := <-w.ready:
		return c, nil
	case <-t.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.mu.Lock()
	i := slices.Index(sc.waiters, w)
	if i >= 0 {
		sc.waiters = slices.Delete(sc.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return nil, errors.Trace(err)
	}
	// The connection came at the same moment as the timeout or the cancellation.
	c := <-w.ready
	if err == errAllInUse {
		return c, nil
	}
	if c == nil {
		p.connClosed(sc)
	} else {
		p.release(s, c)
	}
	return nil, errors.Trace(err)
}

// connClosed records that a connection was closed or could not be opened.
func (p *Pool) connClosed(sc *serverConns) {
	p.mu.Lock()
	sc.open--
	sc.admitNext()
	p.mu.Unlock()
}

// admitNext lets the first waiter open a connection if its limit allows one more.
// The caller must hold the pool's lock.
func (sc *serverConns) admitNext() {
	if len(sc.waiters) == 0 || sc.open >= sc.waiters[0].maxConns {
		return
	}
	sc.open++
	sc.handToNext(nil)
}

// handToNext gives c to the first waiter. The caller must hold the pool's lock.
func (sc *serverConns) handToNext(c *conn) {
	w := sc.waiters[0]
	sc.waiters = slices.Delete(sc.waiters, 0, 1)
	w.ready <- c
}

// dial opens a connection that is already counted as open.
func (p *Pool) dial(ctx context.Context, s Server, sc *serverConns) (*conn, Status, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	p.mu.Lock()
	p.connectionsOpened++
	id := uint64(p.connectionsOpened)
	p.mu.Unlock()
	begun := time.Now()
	c, err := p.config.Dial(dialCtx, s.Address)
	if p.config.OnDial != nil && (err == nil || ctx.Err() == nil) {
		p.config.OnDial(s, begun, err)
	}
	if err != nil {
		p.connClosed(sc)
		return nil, NotSent, errors.Trace(err)
	}
	opened := newConn(c, p.config.Group, defaultIdleTimeout)
	opened.id = id
	return opened, Answered, nil
}

// usable reports whether an idle connection may carry another request.
func (c *conn) usable(now time.Time, idempotent bool) bool {
	if c.expired(now) || (!idempotent && now.Sub(c.idleSince) > maxIdleNonIdempotent) {
		return false
	}
	return c.alive()
}

// expired reports whether the server may be about to close the idle connection.
func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) > time.Duration(float64(c.idleTimeout)*idleTimeoutFraction)
}

// release takes back a connection after an exchange and hands it to a waiter,
// keeps it idle or closes it.
func (p *Pool) release(s Server, c *conn) {
	keep := !c.unusable && !s.CloseAfterUse
	if !keep {
		// Close it before a waiter opens a new one, so that the server doesn't see
		// more connections than the limit.
		_ = c.net.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sc := p.servers[s.key()]
	switch {
	case sc == nil:
		_ = c.net.Close()
	case !keep:
		sc.open--
		sc.admitNext()
	case len(sc.waiters) > 0:
		c.idleSince = time.Now()
		sc.handToNext(c)
	default:
		c.idleSince = time.Now()
		sc.idle = append(sc.idle, c)
	}
}

// CloseExpired closes idle connections that are near the server's idle timeout
// and removes servers without connections. It must be called periodically.
func (p *Pool) CloseExpired(now time.Time) {
	var stale []*conn
	p.mu.Lock()
	for key, sc := range p.servers {
		kept := sc.idle[:0]
		for _, c := range sc.idle {
			if c.expired(now) {
				sc.open--
				stale = append(stale, c)
				continue
			}
			kept = append(kept, c)
		}
		sc.idle = kept
		if sc.open == 0 && len(sc.idle) == 0 {
			delete(p.servers, key)
		}
	}
	p.mu.Unlock()
	closeAll(stale)
}

// EnsureConnected opens a connection to the server if there is none, so that the
// first request does not have to wait for one. It reports whether it tried to.
func (p *Pool) EnsureConnected(ctx context.Context, s Server) (tried bool, err error) {
	p.mu.Lock()
	sc := p.servers[s.key()]
	connected := sc != nil && sc.open > 0
	p.mu.Unlock()
	if connected {
		return false, nil
	}
	return true, p.Connect(ctx, s)
}

// Connect opens a connection to the server and keeps it in the pool. It does not
// check MaxConns.
func (p *Pool) Connect(ctx context.Context, s Server) error {
	p.mu.Lock()
	sc := p.connsOf(s)
	sc.open++
	p.mu.Unlock()
	c, _, err := p.dial(ctx, s, sc)
	if err == nil {
		p.release(s, c)
	}
	return err
}

// ConnectionsOpened returns the number of attempts to open a connection so far.
func (p *Pool) ConnectionsOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionsOpened
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.net.Close()
	}
}
