package shuntupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

var testHeaders = Headers{RequestID: "Id", Deadline: "Left", Instance: "For", NotRun: "Not-Run", Signature: "Signed"}

// server is a scripted backend server. It counts the connections that it accepts
// and the requests that it reads.
type server struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

// serve starts a server that runs script for each connection. next reads a request
// and returns nil if there is none.
func serve(t *testing.T, script func(c net.Conn, next func() *http.Request)) *server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	var g shuntgroup.Group
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			g.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				script(c, func() *http.Request {
					req, err := http.ReadRequest(r)
					if err != nil {
						return nil
					}
					s.requests.Add(1)
					return req
				})
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// reply returns a successful HTTP reply to the request with the ID.
func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) Request {
	return Request{Method: http.MethodGet, Target: "/x?y=%2F", Host: "h.example", Header: http.Header{"Accept": {"*/*"}}, ID: id, Deadline: time.Now().Add(5 * time.Second)}
}

// doWithNewPool sends r to the server through a new pool, which it also returns.
func doWithNewPool(t *testing.T, s *server, r Request) (Outcome, *Pool) {
	t.Helper()
	p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, Server{ID: "i", Address: s.address, MaxConns: 4}, true, r), p
}

// TestReplyHandling checks the outcome of an exchange, and whether its connection
// is used again, for well-formed and malformed replies.
func TestReplyHandling(t *testing.T) {
	cases := map[string]struct {
		send   string
		status Status
		body   string
		// reusable is whether the connection must be used again.
		reusable bool
	}{
		"whole":                       {reply("1", "body"), Answered, "body", true},
		"chunked":                     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Answered, "body", true},
		"after an interim reply":      {"HTTP/1.1 100 Continue\r\n\r\n" + reply("1", "body"), Answered, "body", true},
		"without a length":            {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nbody", Answered, "body", false},
		"the server leaves":           {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", Answered, "body", false},
		"bytes beyond the reply":      {reply("1", "body") + "more", Answered, "body", false},
		"a second reply":              {reply("1", "body") + reply("0", "late"), Answered, "body", false},
		"a late reply before its own": {reply("0", "late") + reply("1", "body"), Answered, "body", false},
		"only a late reply":           {reply("0", "late"), Broken, "", false},
		"reply without an identity":   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", Broken, "", false},
		"truncated":                   {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 40\r\n\r\nbody", Broken, "", false},
		"truncated chunks":            {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nbody", Broken, "", false},
		"no reply at all":             {"\x00\x01\x02 nonsense\r\n\r\n", Broken, "", false},
		"closed":                      {"", Broken, "", false},
		"declined":                    {"HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", Declined, "", true},
		"status 000":                  {"HTTP/1.1 000 No\r\nId: 1\r\nSigned: s\r\nContent-Length: 4\r\n\r\nbody", Broken, "", false},
		"status 000, declined":        {"HTTP/1.1 000 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", Broken, "", false},
		"status 999":                  {"HTTP/1.1 999 No\r\nId: 1\r\nSigned: s\r\nContent-Length: 4\r\n\r\nbody", Broken, "", false},
		"failed":                      {"HTTP/1.1 503 No\r\nId: 1\r\nSigned: s\r\nContent-Length: 0\r\n\r\n", Answered, "", true},
		"for another server":          {"HTTP/1.1 421 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n", Misdirected, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, next func() *http.Request) { answerTwice(conn, next, c.send, c.reusable) })
			got, p := doWithNewPool(t, s, request("1"))
			if got.Status != c.status || string(got.Reply.Body) != c.body {
				t.Fatalf("got %v %q (%v); want %v %q", got.Status, got.Reply.Body, got.Err, c.status, c.body)
			}
			if !c.reusable {
				return
			}
			second := p.Do(t.Context(), Server{ID: "i", Address: s.address, MaxConns: 4}, true, request("2"))
			if string(second.Reply.Body) != "again" || s.conns.Load() != 1 {
				t.Errorf("second exchange: %v %q over %d connections", second.Status, second.Reply.Body, s.conns.Load())
			}
		})
	}
}

// answerTwice sends a prepared reply to the first request and, if second is set, a
// correct one to the second request.
func answerTwice(conn net.Conn, next func() *http.Request, send string, second bool) {
	if next() == nil {
		return
	}
	_, _ = io.WriteString(conn, send)
	if !second {
		return
	}
	if r := next(); r != nil {
		_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "again"))
	}
}

// TestRequestUnchanged checks that the method, target, host, headers and body
// reach the server unchanged.
func TestRequestUnchanged(t *testing.T) {
	got := make(chan string, 1)
	s := serve(t, func(conn net.Conn, next func() *http.Request) {
		r := next()
		body, _ := io.ReadAll(r.Body)
		got <- strings.Join([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("Accept"), r.Header.Get("Id"), r.Header.Get("For"), string(body), r.UserAgent()}, " ")
		_, _ = io.WriteString(conn, reply("1", ""))
	})
	r := request("1")
	r.Method, r.Body = http.MethodPost, []byte("payload")
	doWithNewPool(t, s, r)
	if want := "POST /x?y=%2F h.example */* 1 i payload "; <-got != want {
		t.Errorf("want %q", want)
	}
}

// TestEarlyReply checks that a reply is accepted that comes before the server has
// read a long body, and that the connection is not used again: the rest of the
// body would come before the next request.
func TestEarlyReply(t *testing.T) {
	s := serve(t, func(conn net.Conn, next func() *http.Request) {
		r := next()
		if r == nil {
			return
		}
		_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond)
	})
	r := request("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
	got, p := doWithNewPool(t, s, r)
	if got.Status != Answered || string(got.Reply.Body) != "early" {
		t.Fatalf("got %v %q %v", got.Status, got.Reply.Body, got.Err)
	}
	p.Do(t.Context(), Server{ID: "i", Address: s.address, MaxConns: 4}, true, request("2"))
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections; want a new one", n)
	}
}

// TestCancel checks that the connection is closed when the context ends, so that
// the server can stop its work.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ net.Conn, next func() *http.Request) {
		next()
		next()
		close(closed)
	})
	p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if got := p.Do(ctx, Server{ID: "i", Address: s.address, MaxConns: 1}, true, request("1")); got.Status != Cancelled {
		t.Errorf("got %v", got.Status)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
}

// TestNotSent checks that an exchange without a connection is reported as not
// sent.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
	if got := p.Do(t.Context(), Server{ID: "i", Address: address, MaxConns: 1}, true, request("1")); got.Status != NotSent || got.Status.MayHaveRun() {
		t.Errorf("connection refused: %v", got.Status)
	}
	if got := p.Do(t.Context(), Server{ID: "i", Address: address, MaxConns: 0}, true, request("1")); got.Status != NoRoom || got.Status.MayHaveRun() {
		t.Errorf("no connection allowed: %v", got.Status)
	}
}

// TestNonIdempotentUsesFreshConnections checks that a request that is not
// idempotent does not use a connection that has been idle for too long.
func TestNonIdempotentUsesFreshConnections(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		idle       time.Duration
		want       bool
	}{
		"idempotent, idle":        {true, 3 * maxIdleNonIdempotent, true},
		"idempotent, idle long":   {true, defaultIdleTimeout, false},
		"once, idle":              {false, 3 * maxIdleNonIdempotent, false},
		"once, used a moment ago": {false, maxIdleNonIdempotent / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := net.Pipe()
			defer func() { _, _ = a.Close(), b.Close() }()
			conn := newConn(a, nil, defaultIdleTimeout)
			now := time.Now()
			conn.idleSince = now.Add(-c.idle)
			if got := conn.usable(now, c.idempotent); got != c.want {
				t.Errorf("usable = %v", got)
			}
		})
	}
}

// TestCloseAfterUse checks that no connection is kept to a server with
// CloseAfterUse set.
func TestCloseAfterUse(t *testing.T) {
	s := serve(t, func(conn net.Conn, next func() *http.Request) {
		for r := next(); r != nil; r = next() {
			_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "body"))
		}
	})
	p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
	for i := range 3 {
		id := fmt.Sprint(i)
		if got := p.Do(t.Context(), Server{ID: "i", Address: s.address, MaxConns: 1, CloseAfterUse: true}, true, request(id)); got.Status != Answered {
			t.Fatalf("got %v %v", got.Status, got.Err)
		}
	}
	if n := s.conns.Load(); n != 3 || p.servers["i "+s.address].open != 0 {
		t.Errorf("%d connections, %d open", n, p.servers["i "+s.address].open)
	}
}

// TestClosedIdleConnection checks that a connection that the server has closed is
// not used, even within its idle timeout.
func TestClosedIdleConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, next func() *http.Request) {
		if r := next(); r != nil {
			_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "body"))
		}
	})
	_, p := doWithNewPool(t, s, request("1"))
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		c := p.servers["i "+s.address].idle[0]
		p.mu.Unlock()
		if !c.alive() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got := p.Do(t.Context(), Server{ID: "i", Address: s.address, MaxConns: 1}, true, request("2")); got.Status != Answered {
		t.Errorf("got %v %v", got.Status, got.Err)
	}
}
