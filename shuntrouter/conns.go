package shuntrouter

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
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
	// headCopies is the number of copies of a header that a request takes: as it came, and
	// as it is passed on.
	headCopies = 2
	// sendBytes is how much of an answer is written at a time. Each piece that the caller
	// has taken is progress.
	sendBytes = 32 << 10
	// unusedWeight is the weight of the age of a connection that has not carried a request
	// yet when it is decided which one makes room for a new one.
	unusedWeight = 4
	// lingerTime is how long a connection is read after a request on it was refused while
	// its body was arriving. Closing it earlier may lose the answer on the way.
	lingerTime = 500 * time.Millisecond
)

// connState is the state of a caller's connection.
type connState int

const (
	// connIdle: the connection carries no request.
	connIdle connState = iota
	// connReading: the header of a request has arrived in part.
	connReading
	// connReceiving: the body of a request has arrived in part.
	connReceiving
	// connServing: a request is being served.
	connServing
	// connSending: an answer is being sent.
	connSending
	// connClosed: this VM has closed the connection.
	connClosed
)

// callerConnsConfig configures callerConns.
type callerConnsConfig struct {
	// MaxConns is the greatest number of connections; 0 means no limit.
	MaxConns int
	// Memory accounts for the requests on the connections.
	Memory *shuntmemory.Account
}

// callerConns tracks the state of every connection from a caller, so that
// connections can be closed that are held open without being used. The timeouts
// of http.Server are not used, because the limits may change while a connection
// is open.
type callerConns struct {
	config callerConnsConfig
	// turns bounds how many request bodies are decoded at the same time. Decoding tiny
	// chunks takes so much processor time that other requests would starve.
	turns chan struct{}

	mu    sync.Mutex
	conns map[*callerConn]bool
	// unused holds the connections that have not carried a request yet, and used those
	// that have and are not serving one. The one without progress for longest is in front.
	unused, used *list.List
	// closed counts the connections that were closed for the memory or the place of others.
	closed int64
}

func newCallerConns(c callerConnsConfig) *callerConns {
	if c.Memory == nil {
		c.Memory = shuntmemory.New(shuntmemory.Config{})
	}
	return &callerConns{config: c, conns: map[*callerConn]bool{}, unused: list.New(), used: list.New(), turns: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))}
}

// callerConn is a connection from a caller. conns.mu guards the fields below conns.
type callerConn struct {
	net.Conn
	// hasTurn is true while the connection has one of conns.turns.
	hasTurn atomic.Bool
	conns   *callerConns
	state   connState
	// stateSince is when the state began or the connection last made progress in it.
	stateSince time.Time
	// hasServed is true once the connection has carried a request.
	hasServed bool
	// place is the element of the list that the connection is in, or nil.
	place *list.Element
	// held holds the memory of the current request, or is nil.
	held *shuntmemory.Holder
}

// Read records when a request begins to arrive, and what it takes of the memory.
func (c *callerConn) Read(b []byte) (int, error) {
	c.endTurn()
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	switch state, held := c.conns.received(c); state {
	case connReading:
		if short := held.Reserve(headCopies * shuntmemory.HeadBytes(b[:n])); short != nil {
			klog.V(1).InfoS("Connection from a caller closed while a header arrives", "caller", c.RemoteAddr(), "reason", short.Error())
			_ = c.Close()
			return 0, short
		}
	case connReceiving:
		c.conns.turns <- struct{}{}
		c.hasTurn.Store(true)
	}
	return n, err
}

// endTurn lets another connection decode a body.
func (c *callerConn) endTurn() {
	if c.hasTurn.CompareAndSwap(true, false) {
		<-c.conns.turns
	}
}

// Write sends a part of an answer.
func (c *callerConn) Write(b []byte) (int, error) {
	c.endTurn()
	c.conns.sending(c)
	total := 0
	for {
		n, err := c.Conn.Write(b[total:min(total+sendBytes, len(b))])
		total += n
		if err != nil || total == len(b) {
			return total, err
		}
		c.conns.sending(c)
	}
}

// received records that bytes have arrived, and returns the state and the holder of the
// request that they belong to.
func (s *callerConns) received(c *callerConn) (connState, *shuntmemory.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == connIdle {
		s.setState(c, connReading)
	}
	return c.state, c.held
}

// sending records that a part of an answer is sent now.
func (s *callerConns) sending(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == connServing || c.state == connSending {
		s.setState(c, connSending)
	}
}

// setState sets the state of c unless this VM has closed it, and records progress. The
// caller must hold s.mu.
func (s *callerConns) setState(c *callerConn, state connState) {
	if c.state == connClosed {
		return
	}
	c.state, c.stateSince = state, time.Now()
	s.remove(c)
	switch state {
	case connServing:
		c.hasServed = true
		c.held.SetEvict(nil)
		return
	case connIdle, connClosed:
		c.held.Close()
		c.held = nil
	case connReading, connReceiving, connSending:
		if c.held == nil {
			c.held = s.config.Memory.Open()
		}
		c.held.SetEvict(func() { s.evict(c) })
	}
	switch {
	case state == connClosed:
	case c.hasServed:
		c.place = s.used.PushBack(c)
	default:
		c.place = s.unused.PushBack(c)
	}
}

// remove takes c out of the list that it is in. The caller must hold s.mu.
func (s *callerConns) remove(c *callerConn) {
	if c.place != nil {
		// The element is in one of the lists; the other one ignores it.
		s.unused.Remove(c.place)
		s.used.Remove(c.place)
		c.place = nil
	}
}

// evict ends the request on c to free its memory. A request whose body is arriving can still
// be refused; otherwise the connection is closed.
func (s *callerConns) evict(c *callerConn) {
	s.mu.Lock()
	receiving := c.state == connReceiving
	s.mu.Unlock()
	if receiving {
		_ = c.SetReadDeadline(time.Now())
		return
	}
	s.close(c, "out of memory")
}

// close closes the connection.
func (s *callerConns) close(c *callerConn, why string) {
	klog.V(1).InfoS("Connection from a caller closed", "caller", c.RemoteAddr(), "why", why)
	s.mu.Lock()
	s.setState(c, connClosed)
	delete(s.conns, c)
	s.closed++
	s.mu.Unlock()
	_ = c.Close()
}

// counts returns the number of connections, and how many were closed for the memory or the
// place of others.
func (s *callerConns) counts() (open int, closed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.closed
}

// callerListener accepts connections from callers and tracks them in conns.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener. A connection beyond the limit takes the place of another
// one, or is closed if all are serving requests.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: inner, conns: l.conns}
		victim := l.conns.add(c)
		if victim != nil {
			l.conns.close(victim, "too many connections")
		}
		if victim != c {
			return c, nil
		}
	}
}

// add tracks c and returns the connection that must be closed for it, or nil. That is c
// itself if all others are serving requests.
func (s *callerConns) add(c *callerConn) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	victim := c
	if s.config.MaxConns <= 0 || len(s.conns) <= s.config.MaxConns {
		victim = nil
	} else if other := s.worst(time.Now()); other != nil {
		victim = other
	}
	s.setState(c, connIdle)
	return victim
}

// worst returns the connection without progress for longest, or nil if all are serving
// requests. The caller must hold s.mu.
func (s *callerConns) worst(now time.Time) *callerConn {
	unused, used := s.unused.Front(), s.used.Front()
	switch {
	case unused == nil && used == nil:
		return nil
	case unused == nil:
		return used.Value.(*callerConn)
	case used == nil:
		return unused.Value.(*callerConn)
	}
	a, b := unused.Value.(*callerConn), used.Value.(*callerConn)
	if unusedWeight*now.Sub(a.stateSince) > now.Sub(b.stateSince) {
		return a
	}
	return b
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
	switch state {
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.endTurn()
	default:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.setState(c, connIdle)
		return
	}
	s.setState(c, connClosed)
	delete(s.conns, c)
}

// beginRequest records that the header of a request has been read, and returns what holds
// the request's memory; the caller must call done at the end. It returns false if the
// connection was closed at the same time: the request must not run.
func (s *callerConns) beginRequest(in *http.Request) (held *shuntmemory.Holder, done func(), ok bool) {
	head := headCopies * headMemory(in)
	c, tracked := in.Context().Value(connKey{}).(*callerConn)
	if !tracked {
		held = s.config.Memory.Open()
		held.Set(head)
		return held, held.Close, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.held == nil {
		// The header came together with the request before.
		c.held = s.config.Memory.Open()
	}
	c.held.Set(head)
	state := connServing
	if in.ContentLength != 0 {
		state = connReceiving
	}
	s.setState(c, state)
	if c.state == connClosed || c.held.Ended() {
		return nil, nil, false
	}
	// The holder stays open until the answer has been sent.
	return c.held, func() {}, true
}

// beginServing records that a request has been received, and reports whether it may run. It
// may not if its memory was freed at the same time.
func (s *callerConns) beginServing(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return true
	}
	c.endTurn()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(c, connServing)
	return c.state != connClosed && !c.held.Ended()
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
		case connReceiving, connServing, connClosed:
			continue
		}
		if now.Sub(c.stateSince) <= limit {
			continue
		}
		klog.V(1).InfoS("Connection from a caller closed on timeout", "caller", c.RemoteAddr(), "reading", c.state == connReading, "limit", limit)
		s.setState(c, connClosed)
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

// headMemory returns the memory that the request's header takes.
func headMemory(r *http.Request) int64 {
	total := int64(len(r.RequestURI) + headerBytes(r))
	for _, values := range r.Header {
		total += int64(shuntmemory.FieldBytes * len(values))
	}
	return total
}

// Server returns an HTTP server for callers. It enforces the published limits on
// connections accepted from a listener that Listener returned.
func (r *Router) Server() *http.Server { return r.conns.server(r, maxHeaderBytes) }

// ServerFor returns an HTTP server for what callers ask of this VM itself. Its connections
// count among those of callers, and have the same limits, like those of Server.
func (r *Router) ServerFor(h http.Handler) *http.Server {
	return r.conns.server(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		_, done, ok := r.conns.beginRequest(in)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		defer done()
		h.ServeHTTP(w, in)
	}), defaultHeaderBytes)
}

func (s *callerConns) server(h http.Handler, maxHeader int) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeader, ConnState: s.stateChanged, ConnContext: s.connContext}
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
