package shuntpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

const (
	pingService  = "Ping"
	pingMethod   = pingService + ".Ping"
	pingInterval = 300 * time.Millisecond
	// silenceTimeout is how long a ping may go unanswered before its
	// connection is closed. The next call opens a new one.
	silenceTimeout = 1200 * time.Millisecond
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	// maxDialAttempts is how many connections a call tries if each of them
	// turns out to be already closed.
	maxDialAttempts = 3
)

// ErrNotSent means that a call failed before any byte of it was sent, so the
// peer did not run it.
var ErrNotSent = errors.New("call was not sent")

// Empty is a message without content.
type Empty struct{ Unused bool }

// pinger is the RPC service that answers pings.
type pinger struct{}

// Ping returns immediately.
func (pinger) Ping(_ Empty, _ *Empty) error { return nil }

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Key is the shared key for authentication.
	Key  []byte
	Dial DialFunc
}

// Pool keeps one connection to each peer address. It opens them on demand.
type Pool struct {
	config PoolConfig
	group  shuntgroup.Group
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// NewPool returns a Pool without open connections.
func NewPool(c PoolConfig) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{config: c, ctx: ctx, cancel: cancel, endpoints: map[string]*endpoint{}}
}

// Close closes all connections and waits for their goroutines to exit.
func (p *Pool) Close() {
	p.cancel()
	p.group.Close()
}

// Call calls method at address and stores the result in reply. If ctx is done
// first, Call returns the error of ctx, and the caller must not use reply, which
// may still be written to. An error that wraps ErrNotSent means that the peer
// did not receive the call.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	e := p.endpoint(address)
	var err error
	for range maxDialAttempts {
		var c *client
		if c, err = e.connect(ctx); err != nil {
			return fmt.Errorf("dial %s: %w: %w", address, ErrNotSent, err)
		}
		if err = e.call(ctx, c, method, args, reply); !errors.Is(err, errAlreadyClosed) {
			return err
		}
	}
	return fmt.Errorf("call %s: %w: %w", address, ErrNotSent, err)
}

// endpoint returns the endpoint for address and creates it if necessary.
func (p *Pool) endpoint(address string) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.endpoints[address]
	if !ok {
		e = &endpoint{pool: p, address: address}
		p.endpoints[address] = e
	}
	return e
}

// errAlreadyClosed means that the peer had closed a connection before a call was
// written to it.
var errAlreadyClosed = errors.New("connection was already closed")

// client is an open connection.
type client struct {
	*rpc.Client
	// closed is set before this side closes the connection.
	closed atomic.Bool
}

// close marks the connection as closed by this side and closes it.
func (c *client) close() {
	c.closed.Store(true)
	_ = c.Client.Close()
}

// call makes one call over c, which connect returned, and releases c.
func (e *endpoint) call(ctx context.Context, c *client, method string, args, reply any) error {
	defer e.release()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	switch {
	case errors.Is(call.Error, rpc.ErrShutdown) && !c.closed.Load():
		// The peer closed the connection earlier, and net/rpc refused the
		// call without sending it. If this side had closed the connection,
		// the same error could mean that the call was interrupted after it
		// was sent.
		e.drop(c)
		return errAlreadyClosed
	case errors.Is(call.Error, rpc.ErrShutdown), errors.Is(call.Error, io.ErrUnexpectedEOF):
		e.drop(c)
	}
	return call.Error
}

// endpoint manages the connection to one address.
type endpoint struct {
	pool    *Pool
	address string

	mu           sync.Mutex
	client       *client
	dialDone     chan struct{}
	lastErr      error
	lastUsed     time.Time
	pendingCalls int
}

// errClosed means that the pool is closed.
var errClosed = errors.New("pool is closed")

// connect returns the open client, and dials if there is none. Callers that
// arrive during a dial share its result. After success, the caller must call
// release.
func (e *endpoint) connect(ctx context.Context) (*client, error) {
	e.mu.Lock()
	if e.client != nil {
		defer e.mu.Unlock()
		e.pendingCalls++
		return e.client, nil
	}
	if e.dialDone == nil {
		if !e.pool.group.Go(e.dial) {
			e.mu.Unlock()
			return nil, errClosed
		}
		e.dialDone = make(chan struct{})
	}
	done := e.dialDone
	e.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.client == nil {
		return nil, e.lastErr
	}
	e.pendingCalls++
	return e.client, nil
}

// release ends the use of a client that connect returned.
func (e *endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingCalls--
	e.lastUsed = time.Now()
}

// dial opens a connection and monitors it until it is closed.
func (e *endpoint) dial() {
	client, conn, err := e.open()
	e.mu.Lock()
	e.client = client
	e.lastErr = err
	e.lastUsed = time.Now()
	close(e.dialDone)
	e.dialDone = nil
	e.mu.Unlock()
	if err != nil {
		klog.V(2).InfoS("Failed to connect to peer", "address", e.address, "reason", err.Error())
		return
	}
	e.monitor(client, conn)
}

// open dials the address and authenticates.
func (e *endpoint) open() (*client, net.Conn, error) {
	ctx, cancel := context.WithTimeout(e.pool.ctx, dialTimeout)
	defer cancel()
	conn, err := e.pool.config.Dial(ctx, e.address)
	if err != nil {
		return nil, nil, err
	}
	if err := handshakeClient(conn, e.pool.config.Key); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return &client{Client: rpc.NewClientWithCodec(clientCodec{newFrameConn(conn)})}, conn, nil
}

// monitor pings the connection while calls are pending. It closes the connection
// when a ping goes unanswered or fails, or when the connection has been unused
// for idleTimeout.
func (e *endpoint) monitor(c *client, conn net.Conn) {
	defer conn.Close()
	defer e.drop(c)
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	silentSince := time.Now()
	var ping *rpc.Call
	var done chan *rpc.Call
	for {
		select {
		case <-e.pool.ctx.Done():
			return
		case call := <-done:
			if call.Error != nil {
				return
			}
			silentSince = time.Now()
			ping, done = nil, nil
		case <-ticker.C:
		}
		pending, idle := e.usage()
		switch {
		case idle:
			return
		case ping != nil && time.Since(silentSince) > silenceTimeout:
			klog.InfoS("Closing peer connection that does not respond", "address", e.address)
			return
		case ping == nil && pending > 0 && time.Since(silentSince) >= pingInterval:
			// Ping only while a call is pending. The timeout counts from the
			// ping on, because the peer had nothing to answer before it.
			silentSince = time.Now()
			done = make(chan *rpc.Call, 1)
			ping = c.Go(pingMethod, Empty{}, &Empty{}, done)
		}
	}
}

// usage returns the number of pending calls, and whether the connection has been
// unused for longer than idleTimeout.
func (e *endpoint) usage() (pending int, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pendingCalls, e.pendingCalls == 0 && time.Since(e.lastUsed) > idleTimeout
}

// drop closes c and, if c is the current client, removes it.
func (e *endpoint) drop(c *client) {
	e.mu.Lock()
	if e.client == c {
		e.client = nil
		e.lastErr = errors.New("connection closed")
	}
	e.mu.Unlock()
	c.close()
}
