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
// connections can be closed that are held open without being used, and those that
// take most when there is no room for others. The timeouts of http.Server are not
// used, because the limits may change while a connection is open.
//
// A connection goes from connIdle by connReading, connReceiving if the request has a
// body, connServing and connSending back to connIdle. A request that is refused before
// its body has been read stays in connReceiving.
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
		held := c.held
		held.SetEvict(func() { s.evict(c, held) })
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
