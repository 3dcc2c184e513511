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
	// silenceTimeout is how long a connection may answer nothing, pings
	// included, before it is closed and dialled again.
	silenceTimeout = 1200 * time.Millisecond
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	// maxDials is how often a call dials again because its connection turned
	// out to have ended before.
	maxDials = 3
)

// ErrNotSent says that a call failed before any byte of it was sent, so the
// other end certainly did not run it.
var ErrNotSent = errors.New("call was not sent")

// Empty is the message without content.
type Empty struct{ Unused bool }

type pinger struct{}

// Ping answers at once.
func (pinger) Ping(_ Empty, _ *Empty) error { return nil }

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// PoolConfig is what a Pool is made of.
type PoolConfig struct {
	Key  []byte
	Dial DialFunc
}

// Pool keeps one connection to each peer address, opened at need.
type Pool struct {
	config PoolConfig
	group  shuntgroup.Group
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
}

// NewPool returns a Pool without connections.
func NewPool(c PoolConfig) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{config: c, ctx: ctx, cancel: cancel, links: map[string]*link{}}
}

// Close closes all connections and waits for their goroutines.
func (p *Pool) Close() {
	p.cancel()
	p.group.Close()
}

// Call calls method at address. When ctx ends first, Call returns its error
// and the reply is dropped; reply must not be used then. An error that wraps
// ErrNotSent means that the peer certainly did not see the call.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	l := p.link(address)
	var err error
	for range maxDials {
		var c *client
		if c, err = l.connect(ctx); err != nil {
			return fmt.Errorf("dial %s: %w: %w", address, ErrNotSent, err)
		}
		if err = l.call(ctx, c, method, args, reply); !errors.Is(err, errEnded) {
			return err
		}
	}
	return fmt.Errorf("call %s: %w: %w", address, ErrNotSent, err)
}

func (p *Pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		l = &link{pool: p, address: address}
		p.links[address] = l
	}
	return l
}

// errEnded says that a connection had ended before the call was written to it.
var errEnded = errors.New("connection had ended")

// client is an open connection. closed is set before this end closes it.
type client struct {
	*rpc.Client
	closed atomic.Bool
}

// close closes the connection.
func (c *client) close() {
	c.closed.Store(true)
	_ = c.Client.Close()
}

// call makes one call over c.
func (l *link) call(ctx context.Context, c *client, method string, args, reply any) error {
	defer l.release()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	switch {
	case errors.Is(call.Error, rpc.ErrShutdown) && !c.closed.Load():
		// The other end had closed the connection, and net/rpc refused the
		// call up front. Had this end closed it, the same error could stand
		// for a call that was cut.
		l.drop(c)
		return errEnded
	case errors.Is(call.Error, rpc.ErrShutdown), errors.Is(call.Error, io.ErrUnexpectedEOF):
		l.drop(c)
	}
	return call.Error
}

// link is the one connection to an address.
type link struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	client  *client
	dialing chan struct{}
	failure error
	used    time.Time
	calls   int
}

// errClosed says that the pool was closed.
var errClosed = errors.New("pool is closed")

// connect returns the open client, or dials; callers that come during a dial
// share its outcome. After success the caller must call release.
func (l *link) connect(ctx context.Context) (*client, error) {
	l.mu.Lock()
	if l.client != nil {
		defer l.mu.Unlock()
		l.calls++
		return l.client, nil
	}
	if l.dialing == nil {
		if !l.pool.group.Go(l.dial) {
			l.mu.Unlock()
			return nil, errClosed
		}
		l.dialing = make(chan struct{})
	}
	wait := l.dialing
	l.mu.Unlock()
	select {
	case <-wait:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil {
		return nil, l.failure
	}
	l.calls++
	return l.client, nil
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.used = time.Now()
}

func (l *link) dial() {
	client, conn, err := l.open()
	l.mu.Lock()
	l.client = client
	l.failure = err
	l.used = time.Now()
	close(l.dialing)
	l.dialing = nil
	l.mu.Unlock()
	if err != nil {
		klog.V(2).InfoS("Peer dial failed", "address", l.address, "reason", err.Error())
		return
	}
	l.watch(client, conn)
}

func (l *link) open() (*client, net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.pool.ctx, dialTimeout)
	defer cancel()
	conn, err := l.pool.config.Dial(ctx, l.address)
	if err != nil {
		return nil, nil, err
	}
	if err := handshakeClient(conn, l.pool.config.Key); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return &client{Client: rpc.NewClientWithCodec(clientCodec{newFrames(conn)})}, conn, nil
}

// watch pings the connection and closes it when it is silent or unused.
func (l *link) watch(c *client, conn net.Conn) {
	defer conn.Close()
	defer l.drop(c)
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	answered := time.Now()
	var ping *rpc.Call
	var done chan *rpc.Call
	for {
		select {
		case <-l.pool.ctx.Done():
			return
		case call := <-done:
			if call.Error != nil {
				return
			}
			answered = time.Now()
			ping, done = nil, nil
		case <-t.C:
		}
		calls, idle := l.state()
		switch {
		case idle:
			return
		case ping != nil && time.Since(answered) > silenceTimeout:
			klog.InfoS("Peer connection silent; closing it", "address", l.address)
			return
		case ping == nil && calls > 0 && time.Since(answered) >= pingInterval:
			// Only a call that waits makes it worth asking.
			// The time before a ping is no silence of the peer's.
			answered = time.Now()
			done = make(chan *rpc.Call, 1)
			ping = c.Go(pingMethod, Empty{}, &Empty{}, done)
		}
	}
}

// state returns the number of calls that wait, and whether the connection has
// been unused for too long.
func (l *link) state() (calls int, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.calls == 0 && time.Since(l.used) > idleTimeout
}

func (l *link) drop(c *client) {
	l.mu.Lock()
	if l.client == c {
		l.client = nil
		l.failure = errors.New("connection closed")
	}
	l.mu.Unlock()
	c.close()
}
