package shuntrouter

import (
	"net"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
)

// unusedWeight is the weight of the age of a connection that has not carried a request yet
// when it is decided which one makes room for a new one.
const unusedWeight = 4

// evict ends the request on c whose memory is held by held, unless it has ended by itself. A
// request whose body is arriving can still be refused; otherwise the connection is closed.
func (s *callerConns) evict(c *callerConn, held *shuntmemory.Holder) {
	s.mu.Lock()
	isCurrent, receiving := c.held == held, c.state == connReceiving
	s.mu.Unlock()
	switch {
	case !isCurrent:
	case receiving:
		_ = c.SetReadDeadline(time.Now())
	default:
		s.close(c, "out of memory")
	}
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

// connCounts is the number of connections, and how many were closed for the memory or the
// place of others.
type connCounts struct {
	open   int
	closed int64
}

func (s *callerConns) counts() connCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connCounts{len(s.conns), s.closed}
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
