package shuntrouter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// singleConnListener accepts the connections that are sent to it.
type singleConnListener chan net.Conn

func (l singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestCallerLimits checks that a connection is closed when it exceeds the idle or
// header timeout, and never while a request is served.
func TestCallerLimits(t *testing.T) {
	const (
		head        = "GET / HTTP/1.1\r\nHost: h\r\n"
		idle        = 4 * time.Second
		header      = time.Second
		serviceTime = 10 * time.Second
	)
	limits := shuntroute.Limits{IdleTimeout: idle, HeaderTimeout: header}
	cases := map[string]struct {
		limits shuntroute.Limits
		// delays are the delays before each of the chunks that the caller sends.
		delays []time.Duration
		chunks []string
		// responses is the number of responses before the connection is closed,
		// after minElapsed at the earliest and maxElapsed at the latest.
		responses  int
		minElapsed time.Duration
		maxElapsed time.Duration
	}{
		"idle from the start":        {limits: limits, minElapsed: idle, maxElapsed: idle + 2*limitCheckInterval},
		"idle after a request":       {limits: limits, delays: []time.Duration{0}, chunks: []string{head + "\r\n"}, responses: 1, minElapsed: serviceTime + idle, maxElapsed: serviceTime + idle + 2*limitCheckInterval},
		"a slow header":              {limits: limits, delays: []time.Duration{idle / 2}, chunks: []string{head}, minElapsed: idle/2 + header, maxElapsed: idle/2 + header + 2*limitCheckInterval},
		"a header within the limits": {limits: limits, delays: []time.Duration{idle * 4 / 5, header * 4 / 5}, chunks: []string{head, "\r\n"}, responses: 1, minElapsed: serviceTime + idle, maxElapsed: 2*idle + 2*header + serviceTime},
		"nothing published":          {minElapsed: defaultIdleTimeout, maxElapsed: defaultIdleTimeout + 2*limitCheckInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conns := newCallerConns(callerConnsConfig{})
				responses, took := callSlowly(t, conns, c.limits, serviceTime, c.delays, c.chunks)
				if responses != c.responses || took < c.minElapsed || took > c.maxElapsed {
					t.Errorf("%d responses, closed after %v; want %d, %v to %v", responses, took, c.responses, c.minElapsed, c.maxElapsed)
				}
				if len(conns.conns) > 0 {
					t.Error("a closed connection is still tracked")
				}
			})
		})
	}
}

// callSlowly sends the chunks, each after its delay, to a server that takes
// serviceTime for each request. It returns the number of responses and the time
// until the connection was closed.
func callSlowly(t *testing.T, s *callerConns, limits shuntroute.Limits, serviceTime time.Duration, delays []time.Duration, chunks []string) (int, time.Duration) {
	t.Helper()
	var g shuntgroup.Group
	server := &http.Server{ConnState: s.stateChanged, ConnContext: s.connContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, _, ok := s.beginRequest(r); !ok {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(serviceTime)
	})}
	ours, theirs := net.Pipe()
	l := make(singleConnListener, 1)
	l <- theirs
	g.Go(func() { _ = server.Serve(callerListener{l, s}) })
	ctx, cancel := context.WithCancel(t.Context())
	g.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(limitCheckInterval)
			s.enforce(limits, time.Now())
		}
	})
	start := time.Now()
	g.Go(func() {
		for i, chunk := range chunks {
			time.Sleep(delays[i])
			if _, err := io.WriteString(ours, chunk); err != nil {
				return
			}
		}
	})
	responses := countResponses(t, ours)
	took := time.Since(start)
	cancel()
	close(l)
	_ = ours.Close()
	_ = server.Close()
	g.Close()
	synctest.Wait()
	return responses, took
}

// countResponses returns the number of responses until c is closed.
func countResponses(t *testing.T, c net.Conn) int {
	t.Helper()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("connection ended with %v", err)
			}
			return n
		}
		_ = resp.Body.Close()
	}
}

// givenConn is a connection that exists when another one is accepted.
type givenConn struct {
	state connState
	// hasServed is set if a request was served before, and idle is for how long there was no
	// progress.
	hasServed bool
	idle      time.Duration
}

// TestTooManyConnections checks which connection makes room for a new one: never one on
// which a request is served, and those that have not carried a request before others.
func TestTooManyConnections(t *testing.T) {
	cases := map[string]struct {
		conns []givenConn
		// closed is the index of the connection that is closed; that of the new one is the
		// number of the others.
		closed int
	}{
		"idle for longest":           {[]givenConn{{idle: 2 * time.Second}, {idle: time.Second}}, 0},
		"not used yet":               {[]givenConn{{hasServed: true, idle: 3 * time.Second}, {idle: time.Second}}, 1},
		"used, but idle for long":    {[]givenConn{{hasServed: true, idle: 5 * time.Second}, {idle: time.Second}}, 0},
		"a request arrives in parts": {[]givenConn{{state: connReading, idle: time.Second}, {state: connServing, idle: time.Minute}}, 0},
		"a body arrives in parts":    {[]givenConn{{state: connReceiving, idle: time.Second}, {state: connServing, idle: time.Minute}}, 0},
		"nobody reads the answer":    {[]givenConn{{state: connSending, hasServed: true, idle: time.Second}, {state: connServing, idle: time.Minute}}, 0},
		"all are served":             {[]givenConn{{state: connServing}, {state: connServing}}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCallerConns(callerConnsConfig{MaxConns: len(c.conns)})
			var all []*callerConn
			for _, g := range append(c.conns, givenConn{}) {
				all = append(all, addConn(t, s, g))
			}
			for i, conn := range all {
				if isClosed := conn.state == connClosed; isClosed != (i == c.closed) || s.conns[conn] == isClosed {
					t.Errorf("connection %d: closed %v, tracked %v", i, isClosed, s.conns[conn])
				}
			}
		})
	}
}

// addConn adds a connection as a listener would, and sets its state.
func addConn(t *testing.T, s *callerConns, g givenConn) *callerConn {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = ours.Close() })
	c := &callerConn{Conn: theirs, conns: s, hasServed: g.hasServed}
	if victim := s.add(c); victim != nil {
		s.close(victim, "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(c, g.state)
	c.stateSince = c.stateSince.Add(-g.idle)
	return c
}

// TestRequestOnClosedConnection checks that a request is not served if it arrives
// while its connection is being closed on a timeout.
func TestRequestOnClosedConnection(t *testing.T) {
	s := newCallerConns(callerConnsConfig{})
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	l := make(singleConnListener, 1)
	l <- theirs
	c, err := callerListener{l, s}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ctx := s.connContext(t.Context(), c)
	s.enforce(shuntroute.Limits{}, time.Now().Add(time.Hour))
	if _, _, ok := s.beginRequest((&http.Request{}).WithContext(ctx)); ok {
		t.Error("a request on a closed connection was served")
	}
}

// TestHeaderBytesLimit checks that a header longer than the published limit is
// rejected and that a shorter one is accepted.
func TestHeaderBytesLimit(t *testing.T) {
	tr := newTestRouter(t, true)
	for length, want := range map[int]int{100: http.StatusOK, 1000: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, tr.URL+"/one/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set("Id", "1")
		req.Header.Set("Long", strings.Repeat("x", length))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("a header of %d bytes: %d; want %d", length, resp.StatusCode, want)
		}
	}
}

// TestLateEviction checks that the eviction of a request that has ended meanwhile does not end
// the next one on its connection.
func TestLateEviction(t *testing.T) {
	s := newCallerConns(callerConnsConfig{})
	c := addConn(t, s, givenConn{state: connReading})
	first := c.held
	s.mu.Lock()
	s.setState(c, connIdle)
	s.setState(c, connReading)
	s.mu.Unlock()
	s.evict(c, first)
	if c.state != connReading {
		t.Errorf("the next request's connection is in state %d; want %d", c.state, connReading)
	}
	s.evict(c, c.held)
	if c.state != connClosed {
		t.Errorf("the evicted request's connection is in state %d; want %d", c.state, connClosed)
	}
}

// TestDecodingTurns checks that only some connections decode bodies at the same time, and
// that each gets its turn.
func TestDecodingTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns = 50
		s := newCallerConns(callerConnsConfig{})
		var group shuntgroup.Group
		var decoding, most atomic.Int64
		for range conns {
			ours, theirs := net.Pipe()
			c := &callerConn{Conn: theirs, conns: s}
			s.add(c)
			s.mu.Lock()
			s.setState(c, connReceiving)
			s.mu.Unlock()
			group.Go(func() {
				_, _ = ours.Write([]byte("xy"))
				_ = ours.Close()
			})
			group.Go(func() {
				for buffer := make([]byte, 1); ; {
					if _, err := c.Read(buffer); err != nil {
						s.stateChanged(c, http.StateClosed)
						return
					}
					most.Store(max(most.Load(), decoding.Add(1)))
					time.Sleep(time.Millisecond)
					decoding.Add(-1)
				}
			})
		}
		group.Close()
		if most.Load() > int64(cap(s.turns)) || len(s.turns) != 0 {
			t.Errorf("%d connections decoded at the same time, %d still have a turn; want %d at most, none", most.Load(), len(s.turns), cap(s.turns))
		}
	})
}

// TestBodyWithoutMemory checks that a request whose body there is no memory for is refused as
// not run, and that what has stalled makes room.
func TestBodyWithoutMemory(t *testing.T) {
	const length = 200 << 10
	tr := newTestRouter(t, true)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := tr.router.Server()
	var group shuntgroup.Group
	group.Go(func() { _ = server.Serve(tr.router.Listener(inner)) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Close()
	})
	tr.URL = "http://" + inner.Addr().String()
	body := strings.Repeat("x", length)
	send := func(want int) {
		t.Helper()
		tr.lastRequest.Store(nil)
		resp, _ := tr.do(t, http.MethodPost, "/one/x", body)
		refused := want == http.StatusServiceUnavailable
		if resp.StatusCode != want || refused != (resp.Header.Get("Retry-After") != "") || refused != (tr.lastRequest.Load() == nil) {
			t.Errorf("%d, %v; want %d", resp.StatusCode, resp.Header, want)
		}
	}
	stalled, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	fmt.Fprintf(stalled, "POST /one/x HTTP/1.1\r\nHost: h\r\nId: 2\r\nLeft: 60000\r\nContent-Length: %d\r\n\r\n%s", length, body[1:])
	time.Sleep(time.Second)

	// All that bodies may take; the reserve is for small requests.
	hog := tr.router.memory.Open()
	hog.Add(testMemoryBytes * heldMemoryFraction * 5 / 8)
	send(http.StatusServiceUnavailable)
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("what has stalled got %+v, %v; want a refusal", resp, err)
	}
	hog.Close()
	send(http.StatusOK)
	tr.router.conns.stateWait(t)
	if used := tr.router.memory.Counts().Used; used != 0 {
		t.Errorf("%d bytes still held", used)
	}
}

// stateWait waits until all requests have ended.
func (s *callerConns) stateWait(t *testing.T) {
	t.Helper()
	for range 200 {
		s.mu.Lock()
		held := 0
		for c := range s.conns {
			if c.held != nil {
				held++
			}
		}
		s.mu.Unlock()
		if held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("requests don't end")
}
