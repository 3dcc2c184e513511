package shuntpeer

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// Echo is an RPC receiver for tests.
type Echo struct{ release chan struct{} }

// Say returns its argument immediately.
func (e *Echo) Say(in string, out *string) error {
	*out = in
	return nil
}

// Hold returns its argument after release is closed.
func (e *Echo) Hold(in string, out *string) error {
	<-e.release
	*out = in
	return nil
}

// pipeListener is a listener for in-memory connections that its dial method
// opens.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// silentConn stops delivering data once silent is closed. Its reads then block
// until Close.
type silentConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   *sync.Once
}

func (c silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
	}
	return n, err
}

// testPeer is a running server with an Echo receiver.
type testPeer struct {
	listener *pipeListener
	echo     *Echo
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

func startPeer(t *testing.T, key string) *testPeer {
	t.Helper()
	c := &testPeer{listener: newPipeListener(), echo: &Echo{release: make(chan struct{})}}
	s, err := NewServer(ServerConfig{Key: []byte(key), Receivers: map[string]any{"Echo": c.echo}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group.Go(func() { _ = s.Serve(ctx, c.listener) })
	return c
}

func (c *testPeer) stop() {
	c.cancel()
	c.group.Wait()
}

func TestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPeer(t, "the right key of the fleet")
		p := NewPool(PoolConfig{Key: []byte("the right key of the fleet"), Dial: c.listener.dial})
		var out string
		if err := p.Call(context.Background(), "peer", "Echo.Say", "hello", &out); err != nil || out != "hello" {
			t.Errorf("got %q, %v", out, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := p.Call(ctx, "peer", "Echo.Hold", "late", &out); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a call past its deadline returned %v", err)
		}
		close(c.echo.release)
		p.Close()
		c.stop()
	})
}

// TestWrongKeyRejected checks that a client with the wrong key can't make calls,
// and that its error says that the call was not sent.
func TestWrongKeyRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPeer(t, "the right key of the fleet")
		p := NewPool(PoolConfig{Key: []byte("a stranger's guess at it"), Dial: c.listener.dial})
		var out string
		err := p.Call(context.Background(), "peer", "Echo.Say", "hello", &out)
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("the call with the wrong key returned %v; want ErrNotSent", err)
		}
		p.Close()
		c.stop()
	})
}

// TestHandshakeTimeout checks that the server closes a connection that doesn't
// complete the handshake in time.
func TestHandshakeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPeer(t, "the right key of the fleet")
		conn, err := c.listener.dial(context.Background(), "")
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err = conn.Read(make([]byte, 1))
		if err == nil || time.Since(start) > 2*handshakeTimeout {
			t.Errorf("read returned %v after %v", err, time.Since(start))
		}
		c.stop()
	})
}

// TestFrameLimit checks that the server closes the connection when a frame header
// gives a length over the limit, without waiting for the content of the frame.
func TestFrameLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := "the right key of the fleet"
		c := startPeer(t, key)
		conn, err := c.listener.dial(context.Background(), "")
		if err != nil {
			t.Fatal(err)
		}
		if err := handshakeClient(conn, []byte(key)); err != nil {
			t.Fatal(err)
		}
		var header [frameHeaderBytes]byte
		binary.BigEndian.PutUint32(header[:], MaxMessageBytes+1)
		if _, err := conn.Write(header[:]); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still open")
		}
		c.stop()
	})
}

// TestSilentConnection checks that a connection over which no more data arrives
// is closed while a call is pending, and that the next call uses a new one.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPeer(t, "the right key of the fleet")
		silent := make(chan struct{})
		dials := 0
		p := NewPool(PoolConfig{Key: []byte("the right key of the fleet"), Dial: func(ctx context.Context, a string) (net.Conn, error) {
			dials++
			conn, err := c.listener.dial(ctx, a)
			if dials == 1 && err == nil {
				return silentConn{conn, silent, make(chan struct{}), &sync.Once{}}, nil
			}
			return conn, err
		}})
		var out string
		if err := p.Call(context.Background(), "peer", "Echo.Say", "one", &out); err != nil {
			t.Fatal(err)
		}
		close(silent)
		start := time.Now()
		err := p.Call(context.Background(), "peer", "Echo.Say", "two", &out)
		if err == nil || time.Since(start) > 2*silenceTimeout {
			t.Errorf("the call over the silent connection returned %v after %v", err, time.Since(start))
		}
		if err := p.Call(context.Background(), "peer", "Echo.Say", "three", &out); err != nil || out != "three" {
			t.Errorf("the next call returned %q, %v", out, err)
		}
		p.Close()
		c.stop()
	})
}

// TestRestartedPeer checks that after the process at an address has been replaced,
// the first call already reaches the new process instead of failing on the old
// connection.
func TestRestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := []byte("the right key of the fleet")
		c := startPeer(t, string(key))
		current := c
		p := NewPool(PoolConfig{Key: key, Dial: func(ctx context.Context, a string) (net.Conn, error) {
			return current.listener.dial(ctx, a)
		}})
		var out string
		if err := p.Call(context.Background(), "peer", "Echo.Say", "one", &out); err != nil {
			t.Fatal(err)
		}
		c.stop()
		synctest.Wait()
		var out2 string
		if err := p.Call(context.Background(), "peer", "Echo.Say", "two", &out2); !errors.Is(err, ErrNotSent) {
			t.Errorf("a call to an address without a process returned %v; want ErrNotSent", err)
		}
		current = startPeer(t, string(key))
		for _, say := range []string{"three", "four"} {
			if err := p.Call(context.Background(), "peer", "Echo.Say", say, &out2); err != nil || out2 != say {
				t.Errorf("got %q, %v; want %q", out2, err, say)
			}
		}
		p.Close()
		current.stop()
	})
}
