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
	// limitCheckInterval is how often callers' connections are checked against the
	// limits.
	limitCheckInterval = 250 * time.Millisecond
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes apply if no
	// limits are published.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
	// maxHeaderBytes bounds the bytes read of a header, whatever the published
	// limit is.
	maxHeaderBytes = 1 << 20
)

// connState is the state of a caller's connection.
type connState int

const (
	// connIdle: the connection carries no request.
	connIdle connState = iota
	// connReading: the header of a request has arrived in part.
	connReading
	// connServing: a request is being served.
	connServing
	// connClosed: this VM has closed the connection.
	connClosed
)

// callerConns tracks the state of every connection from a caller, so that
// connections can be closed that are held open without being used. The timeouts
// of http.Server are not used, because the limits may change while a connection
// is open.
type callerConns struct {
	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerConns() *callerConns { return &callerConns{conns: map[*callerConn]bool{}} }

// callerConn is a connection from a caller. conns.mu guards state and
// stateSince.
type callerConn struct {
	net.Conn
	conns      *callerConns
	state      connState
	stateSince time.Time
}

// Read records when a request begins to arrive.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.conns.mu.Lock()
		if c.state == connIdle {
			c.setState(connReading)
		}
		c.conns.mu.Unlock()
	}
	return n, err
}

// setState sets the state of c unless this VM has closed it. The caller must hold
// c.conns.mu.
func (c *callerConn) setState(state connState) {
	if c.state != connClosed {
		c.state, c.stateSince = state, time.Now()
	}
}

// callerListener accepts connections from callers and tracks them in conns.
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
	c := &callerConn{Conn: inner, conns: l.conns, stateSince: time.Now()}
	l.conns.mu.Lock()
	l.conns.conns[c] = true
	l.conns.mu.Unlock()
	return c, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext returns a context that holds c, for beginRequest. It is the
// server's ConnContext hook.
func (s *callerConns) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// stateChanged records when a connection becomes idle and forgets closed ones. It
// is the server's ConnState hook.
func (s *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.setState(connIdle)
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// beginRequest records that the header of a request has been read. It returns
// false if the connection was closed at the same time: the request must not run.
func (s *callerConns) beginRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setState(connServing)
	return c.state != connClosed
}

// enforce closes the connections that have exceeded a timeout.
func (s *callerConns) enforce(l shuntroute.Limits, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		limit := orDefault(l.IdleTimeout, defaultIdleTimeout)
		switch c.state {
		case connReading:
			limit = orDefault(l.HeaderTimeout, defaultHeaderTimeout)
		case connServing, connClosed:
			continue
		}
		if now.Sub(c.stateSince) <= limit {
			continue
		}
		klog.V(1).InfoS("Connection from a caller closed on timeout", "caller", c.RemoteAddr(), "reading", c.state == connReading, "limit", limit)
		c.state = connClosed
		_ = c.Close()
	}
}

// orDefault returns v if it is positive, and otherwise fallback.
func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// headerBytes returns the length of the request's header, without the request
// line and separators. It never exceeds the length that the caller sent.
func headerBytes(r *http.Request) int {
	n := len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Server returns an HTTP server for callers. It enforces the published limits on
// connections accepted from a listener that Listener returned.
func (r *Router) Server() *http.Server {
	return &http.Server{Handler: r, MaxHeaderBytes: maxHeaderBytes, ConnState: r.conns.stateChanged, ConnContext: r.conns.connContext}
}

// Listener wraps l so that the published limits are enforced on its connections.
func (r *Router) Listener(l net.Listener) net.Listener { return callerListener{l, r.conns} }

// limits returns the published limits on callers, or none if there is no table.
func (r *Router) limits() shuntroute.Limits {
	if t := r.follower.View().Table; t != nil {
		return t.Limits()
	}
	return shuntroute.Limits{}
}

// enforceLimits periodically closes callers' connections that exceed the limits,
// until ctx ends.
func (r *Router) enforceLimits(ctx context.Context) {
	t := time.NewTicker(limitCheckInterval)
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
