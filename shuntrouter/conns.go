package shuntrouter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// limitInterval is how often callers' connections are held against the limits.
	limitInterval = 250 * time.Millisecond
	// defaultHeaderTime, defaultIdleTime and defaultHeaderBytes hold where the
	// limits are not published.
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 60 * time.Second
	defaultHeaderBytes = 64 << 10
	// mostHeaderBytes bounds what is read of a header, whatever is published.
	mostHeaderBytes = 1 << 20
)

// phase is what a caller's connection is doing.
type phase int

const (
	// waiting connections carry no request.
	waiting phase = iota
	// reading ones have sent the beginning of one.
	reading
	// serving ones wait for an answer.
	serving
	// ended ones were closed by this VM.
	ended
)

// callerConns are the connections of callers, and since when each does what it
// does. It answers callers that hold connections without using them: the limits
// on them may change while they are open.
type callerConns struct {
	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerConns() *callerConns { return &callerConns{conns: map[*callerConn]bool{}} }

// callerConn is one connection. The lock of all guards its phase.
type callerConn struct {
	net.Conn
	all   *callerConns
	phase phase
	since time.Time
}

// Read books when a request begins to arrive.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.all.mu.Lock()
		if c.phase == waiting {
			c.set(reading)
		}
		c.all.mu.Unlock()
	}
	return n, err
}

// set books what c does from now on, unless this VM has closed it; callers hold
// the lock.
func (c *callerConn) set(p phase) {
	if c.phase != ended {
		c.phase, c.since = p, time.Now()
	}
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: inner, all: l.conns, since: time.Now()}
	l.conns.mu.Lock()
	l.conns.conns[c] = true
	l.conns.mu.Unlock()
	return c, nil
}

type connKey struct{}

// context lets begin find the connection of a request.
func (s *callerConns) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// changed is told by the HTTP server when a connection has no request any more,
// or has ended.
func (s *callerConns) changed(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.set(waiting)
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// begin books that the header of a request has been read, and reports whether
// its connection is still open: a request that crossed the end must not run.
func (s *callerConns) begin(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.set(serving)
	return c.phase != ended
}

// enforce closes the connections that exceed the limits.
func (s *callerConns) enforce(l shuntroute.Limits, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		limit := orDefault(l.IdleTimeout, defaultIdleTime)
		switch c.phase {
		case reading:
			limit = orDefault(l.HeaderTimeout, defaultHeaderTime)
		case serving, ended:
			continue
		}
		if now.Sub(c.since) <= limit {
			continue
		}
		klog.V(1).InfoS("Caller's connection closed", "caller", c.RemoteAddr(), "reading", c.phase == reading, "limit", limit)
		c.phase = ended
		_ = c.Close()
	}
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// headerBytes is the length of the request's header without its first line, at
// most as the caller sent it.
func headerBytes(r *http.Request) int {
	n := len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Server returns an HTTP server for callers. It keeps the published limits on
// connections that come from Listener.
func (r *Router) Server() *http.Server {
	return &http.Server{Handler: r, MaxHeaderBytes: mostHeaderBytes, ConnState: r.conns.changed, ConnContext: r.conns.context}
}

// Listener returns l with the published limits on its connections.
func (r *Router) Listener(l net.Listener) net.Listener { return callerListener{l, r.conns} }

// limits returns the published bounds on callers; without a table, none.
func (r *Router) limits() shuntroute.Limits {
	if t := r.follower.View().Table; t != nil {
		return t.Limits()
	}
	return shuntroute.Limits{}
}

// enforceLimits closes callers' connections that exceed the limits, until ctx
// ends.
func (r *Router) enforceLimits(ctx context.Context) {
	t := time.NewTicker(limitInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			r.conns.enforce(r.limits(), now)
		case <-ctx.Done():
			return
		}
	}
}
