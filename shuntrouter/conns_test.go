package shuntrouter

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// oneListener accepts one connection.
type oneListener chan net.Conn

func (l oneListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l oneListener) Close() error   { return nil }
func (l oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestCallerLimits: a connection is closed when it does for too long what the
// limits in force bound, and not while a request is served.
func TestCallerLimits(t *testing.T) {
	const (
		head   = "GET / HTTP/1.1\r\nHost: h\r\n"
		idle   = 4 * time.Second
		header = time.Second
		work   = 10 * time.Second
	)
	limits := shuntroute.Limits{IdleTimeout: idle, HeaderTimeout: header}
	cases := map[string]struct {
		limits shuntroute.Limits
		// pauses come before each of the pieces that the caller sends.
		pauses []time.Duration
		pieces []string
		// answers is how many requests are answered before the connection ends,
		// and after how long it is closed at the soonest and at the latest.
		answers int
		from    time.Duration
		to      time.Duration
	}{
		"idle from the start":        {limits: limits, from: idle, to: idle + 2*limitInterval},
		"idle after a request":       {limits: limits, pauses: []time.Duration{0}, pieces: []string{head + "\r\n"}, answers: 1, from: work + idle, to: work + idle + 2*limitInterval},
		"a slow header":              {limits: limits, pauses: []time.Duration{idle / 2}, pieces: []string{head}, from: idle/2 + header, to: idle/2 + header + 2*limitInterval},
		"a header within the limits": {limits: limits, pauses: []time.Duration{idle * 4 / 5, header * 4 / 5}, pieces: []string{head, "\r\n"}, answers: 1, from: work + idle, to: 2*idle + 2*header + work},
		"nothing published":          {from: defaultIdleTime, to: defaultIdleTime + 2*limitInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conns := newCallerConns()
				answers, took := callSlowly(t, conns, c.limits, work, c.pauses, c.pieces)
				if answers != c.answers || took < c.from || took > c.to {
					t.Errorf("%d answers, closed after %v; want %d, %v to %v", answers, took, c.answers, c.from, c.to)
				}
				if len(conns.conns) > 0 {
					t.Error("a closed connection is still booked")
				}
			})
		})
	}
}

// callSlowly sends the pieces, each after its pause, to a server that works for
// a while on each request. It returns the number of answers, and when the
// connection ended.
func callSlowly(t *testing.T, s *callerConns, limits shuntroute.Limits, work time.Duration, pauses []time.Duration, pieces []string) (int, time.Duration) {
	t.Helper()
	var g shuntgroup.Group
	server := &http.Server{ConnState: s.changed, ConnContext: s.context, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if !s.begin(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(work)
	})}
	ours, theirs := net.Pipe()
	l := make(oneListener, 1)
	l <- theirs
	g.Go(func() { _ = server.Serve(callerListener{l, s}) })
	ctx, cancel := context.WithCancel(t.Context())
	g.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(limitInterval)
			s.enforce(limits, time.Now())
		}
	})
	start := time.Now()
	g.Go(func() {
		for i, piece := range pieces {
			time.Sleep(pauses[i])
			if _, err := io.WriteString(ours, piece); err != nil {
				return
			}
		}
	})
	answers := readAnswers(t, ours)
	took := time.Since(start)
	cancel()
	close(l)
	_ = ours.Close()
	_ = server.Close()
	g.Close()
	synctest.Wait()
	return answers, took
}

// readAnswers returns the number of answers until c ends.
func readAnswers(t *testing.T, c net.Conn) int {
	t.Helper()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("ended with %v", err)
			}
			return n
		}
		_ = resp.Body.Close()
	}
}

// TestCrossingRequest: a request that crosses the end of its connection is not
// served.
func TestCrossingRequest(t *testing.T) {
	s := newCallerConns()
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	l := make(oneListener, 1)
	l <- theirs
	c, err := callerListener{l, s}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ctx := s.context(t.Context(), c)
	s.enforce(shuntroute.Limits{}, time.Now().Add(time.Hour))
	if s.begin(ctx) {
		t.Error("served")
	}
}

// TestLongHeader: a header beyond the published limit is refused, one within it
// is not.
func TestLongHeader(t *testing.T) {
	f := newFront(t, true)
	for length, want := range map[int]int{100: http.StatusOK, 1000: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, f.URL+"/one/x", nil)
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
