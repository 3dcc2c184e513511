package shuntupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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
				var group shuntgroup.Group
				var mu sync.Mutex
				open, refused := 0, c.refused
				p := NewPool(PoolConfig{Headers: testHeaders, Group: &group, Dial: func(context.Context, string) (net.Conn, error) {
					mu.Lock()
					defer mu.Unlock()
					if refused > 0 {
						refused--
						return nil, errors.New("refused")
					}
					open++
					if open > 1 {
						t.Errorf("%d connections are open", open)
					}
					ours, theirs := net.Pipe()
					group.Go(func() { answerAfter(theirs, work) })
					return &counted{Conn: ours, closed: sync.OnceFunc(func() {
						mu.Lock()
						defer mu.Unlock()
						open--
					})}, nil
				}})
				got := map[Status]int{}
				var g sync.WaitGroup
				start := time.Now()
				for i := range exchanges {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					if c.cancelled && i > 0 {
						ctx, cancel = context.WithTimeout(t.Context(), work/2)
					}
					defer cancel()
					g.Go(func() {
						o := p.Do(ctx, Server{ID: "i", MaxConns: 1, Wait: c.wait, Once: c.once}, true, request(fmt.Sprint(i)))
						mu.Lock()
						defer mu.Unlock()
						got[o.Status]++
					})
					synctest.Wait()
				}
				g.Wait()
				if took := time.Since(start); took > c.took {
					t.Errorf("took %v; want %v", took, c.took)
				}
				for status, n := range c.want {
					if got[status] != n {
						t.Errorf("ended %v; want %v", got, c.want)
						break
					}
				}
				p.Sweep(time.Now().Add(time.Hour))
				synctest.Wait()
				if len(p.hosts) > 0 {
					t.Error("a connection is booked that does not exist")
				}
				group.Close()
			})
		})
	}
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
