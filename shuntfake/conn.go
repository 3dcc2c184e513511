package shuntfake

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// backendConn is a connection as the Backend sees it.
type backendConn struct {
	backend *Backend
	life    int
	silent  atomic.Bool
	once    sync.Once
	dead    chan struct{}
	reason  error
	// net is the real connection under it; nil for one in memory.
	net net.Conn
}

func newBackendConn(b *Backend, c net.Conn) *backendConn {
	return &backendConn{backend: b, dead: make(chan struct{}), net: c}
}

func (c *backendConn) kill(reason error) {
	c.once.Do(func() {
		c.reason = reason
		close(c.dead)
		if c.net != nil {
			_ = c.net.Close()
		}
	})
}

// Connector connects to stand-in backend servers in memory, with the delays of
// the places they stand in.
type Connector struct {
	// Zone is the availability zone of the VM that connects.
	Zone string
	// Delay returns the one-way delay between two zones.
	Delay func(from, to string) time.Duration
	// ConnectTime is what a new connection takes on top of the delay.
	ConnectTime time.Duration
	BackendAt   func(address string) *Backend
	// Partitioned says whether nothing gets through to a zone now; nil is never.
	Partitioned func(zone string) bool
}

func (n *Connector) isCut(b *Backend) bool {
	return n.Partitioned != nil && n.Partitioned(b.config.Server.Zone)
}

// Connect implements shuntowner.Connector.
func (n *Connector) Connect(ctx context.Context, address string) (shuntowner.Conn, error) {
	b := n.BackendAt(address)
	if b == nil {
		return nil, errors.NotFoundf("backend server at %s", address)
	}
	if n.isCut(b) {
		sleep(ctx, cutConnectTime)
		return nil, errors.New("connection timed out")
	}
	d := n.Delay(n.Zone, b.config.Server.Zone)
	if !sleep(ctx, 2*d+n.ConnectTime) {
		return nil, ctx.Err()
	}
	c := newBackendConn(b, nil)
	if err := b.accept(c); err != nil {
		return nil, err
	}
	return &memoryConn{connector: n, conn: c, delay: d}, nil
}

// memoryConn is a connection in memory.
type memoryConn struct {
	connector *Connector
	conn      *backendConn
	delay     time.Duration
}

// cutConnectTime is when an attempt to connect over a cut is given up.
const cutConnectTime = 2 * time.Second

type handled struct {
	response shuntowner.Response
	ok       bool
}

// Do implements shuntowner.Conn.
func (m *memoryConn) Do(ctx context.Context, r shuntowner.SubRequest) (shuntowner.Response, error) {
	if ctx.Err() != nil {
		return shuntowner.Response{}, &shuntowner.ConnError{Err: ctx.Err()}
	}
	if m.conn.silent.Load() || m.connector.isCut(m.conn.backend) {
		<-ctx.Done()
		return m.fail(ctx.Err(), true)
	}
	if !sleep(ctx, m.delay) {
		return m.fail(ctx.Err(), true)
	}
	// The server learns of a cancellation when the close reaches it.
	served, end := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(m.delay, end) })
	defer stop()
	done := make(chan handled, 1)
	var g sync.WaitGroup
	g.Go(func() {
		defer end()
		p, ok := m.conn.backend.handle(served, m.conn, r)
		done <- handled{p, ok}
	})
	select {
	case h := <-done:
		if !h.ok {
			return m.fail(errors.New("connection reset"), false)
		}
		if !sleep(ctx, m.delay) {
			return m.fail(ctx.Err(), true)
		}
		return h.response, nil
	case <-m.conn.dead:
		return m.fail(m.conn.reason, false)
	case <-ctx.Done():
		return m.fail(ctx.Err(), true)
	}
}

func (m *memoryConn) fail(err error, silent bool) (shuntowner.Response, error) {
	_ = m.Close()
	return shuntowner.Response{}, &shuntowner.ConnError{Sent: true, Interrupted: silent, Err: err}
}

// Alive implements shuntowner.Conn.
func (m *memoryConn) Alive() bool {
	select {
	case <-m.conn.dead:
		return false
	default:
		return true
	}
}

// Close implements shuntowner.Conn.
func (m *memoryConn) Close() error {
	m.conn.backend.forget(m.conn)
	m.conn.kill(errors.New("closed"))
	return nil
}

// sleep waits for d; it returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
