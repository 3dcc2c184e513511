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

// TestWait: when all connections to a server are in use, exchanges wait for one,
// and room that one can't use goes to the next.
func TestWait(t *testing.T) {
	const (
		work      = 10 * time.Millisecond
		exchanges = 4
	)
	cases := map[string]struct {
		wait time.Duration
		once bool
		// cancelled exchanges are given up after 5 ms, all but the first.
		cancelled bool
		// refused is how many attempts to connect fail first.
		refused int
		want    map[Status]int
		took    time.Duration
	}{
		"all in turn":              {wait: time.Second, want: map[Status]int{Answered: 4}, took: 4 * work},
		"on connections used once": {wait: time.Second, once: true, want: map[Status]int{Answered: 4}, took: 4 * work},
		"no wait":                  {want: map[Status]int{Answered: 1, NoRoom: 3}, took: work},
		"a short wait":             {wait: 15 * time.Millisecond, want: map[Status]int{Answered: 2, NoRoom: 2}, took: 2 * work},
		"given up":                 {wait: time.Second, cancelled: true, want: map[Status]int{Answered: 1, NoRoom: 3}, took: work},
		"refused connections":      {wait: time.Second, refused: 2, want: map[Status]int{NotSent: 2, Answered: 2}, took: 2 * work},
		"all connections refused":  {wait: time.Second, refused: exchanges, want: map[Status]int{NotSent: 4}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &soleServer{t: t, work: work, refused: c.refused}
				p := NewPool(PoolConfig{Headers: testHeaders, Group: &s.group, Dial: s.dial})
				patience := time.Minute
				if c.cancelled {
					patience = work / 2
				}
				start := time.Now()
				got := s.exchange(p, Server{ID: "i", MaxConns: 1, MaxWait: c.wait, CloseAfterUse: c.once}, exchanges, patience)
				if took := time.Since(start); took > c.took {
					t.Errorf("took %v; want %v", took, c.took)
				}
				if !maps.Equal(got, c.want) {
					t.Errorf("ended %v; want %v", got, c.want)
				}
				p.CloseExpired(time.Now().Add(time.Hour))
				synctest.Wait()
				if len(p.hosts) > 0 {
					t.Error("a connection is booked that does not exist")
				}
				s.group.Close()
			})
		})
	}
}

// soleServer takes one connection at a time, and answers after some work.
type soleServer struct {
	t     *testing.T
	work  time.Duration
	group shuntgroup.Group

	mu   sync.Mutex
	open int
	// refused is how many attempts to connect fail yet.
	refused int
}

func (s *soleServer) dial(context.Context, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused > 0 {
		s.refused--
		return nil, errors.New("refused")
	}
	s.open++
	if s.open > 1 {
		s.t.Errorf("%d connections are open", s.open)
	}
	ours, theirs := net.Pipe()
	s.group.Go(func() { answerAfter(theirs, s.work) })
	return &counted{Conn: ours, closed: sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	})}, nil
}

// exchange starts count exchanges one after the other, the later ones with
// patience, and returns how many ended how.
func (s *soleServer) exchange(p *Pool, to Server, count int, patience time.Duration) map[Status]int {
	got := map[Status]int{}
	var g sync.WaitGroup
	for i := range count {
		limit := patience
		if i == 0 {
			limit = time.Minute
		}
		g.Go(func() {
			ctx, cancel := context.WithTimeout(s.t.Context(), limit)
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

// counted is a connection that tells when it is closed.
type counted struct {
	net.Conn
	closed func()
}

func (c *counted) Close() error {
	c.closed()
	return c.Conn.Close()
}

// answerAfter answers each request on c after the pause.
func answerAfter(c net.Conn, pause time.Duration) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(pause)
		if _, err := c.Write([]byte(reply(req.Header.Get(testHeaders.RequestID), ""))); err != nil {
			return
		}
	}
}
