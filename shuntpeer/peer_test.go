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

// Echo is a receiver for tests.
type Echo struct{ hold chan struct{} }

// Say answers with what it was sent.
func (e *Echo) Say(in string, out *string) error {
	*out = in
	return nil
}

// Hold answers once it is let go.
func (e *Echo) Hold(in string, out *string) error {
	<-e.hold
	*out = in
	return nil
}

// pipeListener hands out the server ends of connections in memory.
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

// silentConn gives nothing any more once it is told to.
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

type peerCase struct {
	listener *pipeListener
	echo     *Echo
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

func startPeer(t *testing.T, key string) *peerCase {
	t.Helper()
	c := &peerCase{listener: newPipeListener(), echo: &Echo{hold: make(chan struct{})}}
	s, err := NewServer(ServerConfig{Key: []byte(key), Receivers: map[string]any{"Echo": c.echo}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group.Go(func() { _ = s.Serve(ctx, c.listener) })
	return c
}

func (c *peerCase) stop() {
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
			t.Errorf("a call past its deadline gave %v", err)
		}
		close(c.echo.hold)
		p.Close()
		c.stop()
	})
}

// TestStrangerIsRefused: without the key nothing can be called, and the caller
// knows that nothing ran.
func TestStrangerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPeer(t, "the right key of the fleet")
		p := NewPool(PoolConfig{Key: []byte("a stranger's guess at it"), Dial: c.listener.dial})
		var out string
		err := p.Call(context.Background(), "peer", "Echo.Say", "hello", &out)
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("a stranger's call gave %v", err)
		}
		p.Close()
		c.stop()
	})
}

// TestStrangerThatSaysNothing: a connection that proves nothing in time is closed.
func TestStrangerThatSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startPeer(t, "the right key of the fleet")
		conn, err := c.listener.dial(context.Background(), "")
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err = conn.Read(make([]byte, 1))
		if err == nil || time.Since(began) > 2*handshakeTimeout {
			t.Errorf("read gave %v after %v", err, time.Since(began))
		}
		c.stop()
	})
}

// TestFrameLimit: a frame that says it is too long ends the connection before
// anything of it is read.
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
		var h [frameHeaderBytes]byte
		binary.BigEndian.PutUint32(h[:], MaxMessageBytes+1)
		if _, err := conn.Write(h[:]); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still open")
		}
		c.stop()
	})
}

// TestSilentConnection: a connection that goes silent for good is found while a
// call waits, and the next call goes over a new one.
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
		began := time.Now()
		err := p.Call(context.Background(), "peer", "Echo.Say", "two", &out)
		if err == nil || time.Since(began) > 2*silenceTimeout {
			t.Errorf("the call over the silent connection gave %v after %v", err, time.Since(began))
		}
		if err := p.Call(context.Background(), "peer", "Echo.Say", "three", &out); err != nil || out != "three" {
			t.Errorf("the call after it gave %q, %v", out, err)
		}
		p.Close()
		c.stop()
	})
}

// TestRestartedPeer: the process at an address ends and another one takes its
// place; the first call after that reaches it, and none is lost on the old
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
			t.Errorf("with no process there the call gave %v", err)
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
