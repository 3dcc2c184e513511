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

// backendConn is the server's side of a connection.
type backendConn struct {
	backend *Backend
	epoch   int
	// hung is set once the connection must stop replying; see
	// Backend.HangConnections.
	hung        atomic.Bool
	once        sync.Once
	closed      chan struct{}
	closeReason error
	// netConn is the underlying network connection; nil for an in-memory one.
	netConn net.Conn
}

func newBackendConn(b *Backend, c net.Conn) *backendConn {
	return &backendConn{backend: b, closed: make(chan struct{}), netConn: c}
}

// kill closes the connection. The first call decides closeReason.
func (c *backendConn) kill(reason error) {
	c.once.Do(func() {
		c.closeReason = reason
		close(c.closed)
		if c.netConn != nil {
			_ = c.netConn.Close()
		}
	})
}

// Connector connects to stand-in backend servers in memory and simulates the
// network delay to their zones.
type Connector struct {
	// Zone is the availability zone of the VM that connects.
	Zone string
	// Delay returns the one-way delay between two zones.
	Delay func(from, to string) time.Duration
	// ConnectTime is the time to open a connection, besides the network delay.
	ConnectTime time.Duration
	// BackendAt returns the server that listens at address, or nil.
	BackendAt func(address string) *Backend
	// Partitioned reports whether the network to a zone is partitioned; nil
	// means that it never is.
	Partitioned func(zone string) bool
}

func (n *Connector) isPartitioned(b *Backend) bool {
	return n.Partitioned != nil && n.Partitioned(b.config.Server.Zone)
}

// Connect implements shuntowner.Connector.
func (n *Connector) Connect(ctx context.Context, address string) (shuntowner.Conn, error) {
	b := n.BackendAt(address)
	if b == nil {
		return nil, errors.NotFoundf("backend server at %s", address)
	}
	if n.isPartitioned(b) {
		sleep(ctx, partitionedConnectTimeout)
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

// memoryConn is the client's side of an in-memory connection.
type memoryConn struct {
	connector *Connector
	conn      *backendConn
	delay     time.Duration
}

// partitionedConnectTimeout is the time after which connecting to a partitioned
// zone fails.
const partitionedConnectTimeout = 2 * time.Second

// serverResult holds the results of Backend.handle.
type serverResult struct {
	response shuntowner.Response
	alive    bool
}

// Do implements shuntowner.Conn.
func (m *memoryConn) Do(ctx context.Context, r shuntowner.SubRequest) (shuntowner.Response, error) {
	if ctx.Err() != nil {
		return shuntowner.Response{}, &shuntowner.ConnError{Err: ctx.Err()}
	}
	if m.conn.hung.Load() || m.connector.isPartitioned(m.conn.backend) {
		<-ctx.Done()
		return m.fail(ctx.Err(), true)
	}
	if !sleep(ctx, m.delay) {
		return m.fail(ctx.Err(), true)
	}
	// A cancellation reaches the server after the network delay.
	serverCtx, cancelServer := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(m.delay, cancelServer) })
	defer stop()
	done := make(chan serverResult, 1)
	var g sync.WaitGroup
	g.Go(func() {
		defer cancelServer()
		resp, alive := m.conn.backend.handle(serverCtx, m.conn, r)
		done <- serverResult{resp, alive}
	})
	select {
	case result := <-done:
		if !result.alive {
			return m.fail(errors.New("connection reset"), false)
		}
		if !sleep(ctx, m.delay) {
			return m.fail(ctx.Err(), true)
		}
		return result.response, nil
	case <-m.conn.closed:
		return m.fail(m.conn.closeReason, false)
	case <-ctx.Done():
		return m.fail(ctx.Err(), true)
	}
}

// fail closes the connection and returns the error of a request that was sent.
// interrupted says that the request ended without any sign from the server.
func (m *memoryConn) fail(err error, interrupted bool) (shuntowner.Response, error) {
	_ = m.Close()
	return shuntowner.Response{}, &shuntowner.ConnError{Sent: true, Interrupted: interrupted, Err: err}
}

// Alive implements shuntowner.Conn.
func (m *memoryConn) Alive() bool {
	select {
	case <-m.conn.closed:
		return false
	default:
		return true
	}
}

// Close implements shuntowner.Conn.
func (m *memoryConn) Close() error {
	m.conn.backend.removeConn(m.conn)
	m.conn.kill(errors.New("closed"))
	return nil
}

// sleep waits for d. It returns false when ctx ends first.
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
