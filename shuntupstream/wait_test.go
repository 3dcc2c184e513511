package shuntupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

// TestWaitForConnection checks that exchanges wait while all connections to a
// server are in use, and that the right to open a connection passes to the next
// waiter when opening one fails.
func TestWaitForConnection(t *testing.T) {
	const (
		work      = 10 * time.Millisecond
		exchanges = 4
	)
	cases := map[string]struct {
		wait          time.Duration
		closeAfterUse bool
		// cancelled makes all exchanges but the first end after 5 ms.
		cancelled bool
		// failedDials is the number of attempts to connect that fail.
		failedDials int
		want        map[Status]int
		maxElapsed  time.Duration
	}{
		"all in turn":              {wait: time.Second, want: map[Status]int{Answered: 4}, maxElapsed: 4 * work},
		"on connections used once": {wait: time.Second, closeAfterUse: true, want: map[Status]int{Answered: 4}, maxElapsed: 4 * work},
		"no wait":                  {want: map[Status]int{Answered: 1, NoRoom: 3}, maxElapsed: work},
		"a short wait":             {wait: 15 * time.Millisecond, want: map[Status]int{Answered: 2, NoRoom: 2}, maxElapsed: 2 * work},
		"given up":                 {wait: time.Second, cancelled: true, want: map[Status]int{Answered: 1, NoRoom: 3}, maxElapsed: work},
		"refused connections":      {wait: time.Second, failedDials: 2, want: map[Status]int{NotSent: 2, Answered: 2}, maxElapsed: 2 * work},
		"all connections refused":  {wait: time.Second, failedDials: exchanges, want: map[Status]int{NotSent: 4}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &singleConnServer{t: t, serviceTime: work, failuresLeft: c.failedDials}
				p := NewPool(PoolConfig{Headers: testHeaders, Group: &s.group, Dial: s.dial})
				timeout := time.Minute
				if c.cancelled {
					timeout = work / 2
				}
				start := time.Now()
				got := s.exchange(p, Server{ID: "i", MaxConns: 1, MaxWait: c.wait, CloseAfterUse: c.closeAfterUse}, exchanges, timeout)
				if took := time.Since(start); took > c.maxElapsed {
					t.Errorf("took %v; want %v", took, c.maxElapsed)
				}
				if !maps.Equal(got, c.want) {
					t.Errorf("ended %v; want %v", got, c.want)
				}
				p.CloseExpired(time.Now().Add(time.Hour))
				synctest.Wait()
				if len(p.servers) > 0 {
					t.Error("closed connections are still counted as open")
				}
				s.group.Close()
			})
		})
	}
}

// singleConnServer accepts one connection at a time and replies after
// serviceTime.
type singleConnServer struct {
	t           *testing.T
	serviceTime time.Duration
	group       shuntgroup.Group

	mu   sync.Mutex
	open int
	// failuresLeft is the number of further attempts to connect that fail.
	failuresLeft int
}

// dial opens a connection to the server, or fails if any failures are left.
func (s *singleConnServer) dial(context.Context, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failuresLeft > 0 {
		s.failuresLeft--
		return nil, errors.New("refused")
	}
	s.open++
	if s.open > 1 {
		s.t.Errorf("%d connections are open", s.open)
	}
	ours, theirs := net.Pipe()
	s.group.Go(func() { answerAfter(theirs, s.serviceTime) })
	return &notifyingConn{Conn: ours, onClose: sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	})}, nil
}

// exchange starts count exchanges in order without waiting for them to end, all
// but the first with the timeout. It returns the number that ended with each
// status.
func (s *singleConnServer) exchange(p *Pool, to Server, count int, timeout time.Duration) map[Status]int {
	got := map[Status]int{}
	var g sync.WaitGroup
	for i := range count {
		ownTimeout := timeout
		if i == 0 {
			ownTimeout = time.Minute
		}
		g.Go(func() {
			ctx, cancel := context.WithTimeout(s.t.Context(), ownTimeout)
			defer cancel()
			o := p.Do(ctx, to, true, request(fmt.Sprint(i)))
			s.mu.Lock()
			defer s.mu.Unlock()
			got[o.Status]++
		})
		synctest.Wait()
	}
	g.Wait()
	return got
}

// notifyingConn is a connection that calls onClose when it is closed.
type notifyingConn struct {
	net.Conn
	onClose func()
}

func (c *notifyingConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// answerAfter replies to each request on c after the delay.
func answerAfter(c net.Conn, delay time.Duration) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(delay)
		if _, err := c.Write([]byte(reply(req.Header.Get(testHeaders.RequestID), ""))); err != nil {
			return
		}
	}
}
