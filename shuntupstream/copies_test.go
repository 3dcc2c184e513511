package shuntupstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

// TestSecondCopy replays a server that sends something of its first reply again when the
// connection already carries the next request. The next caller must get its own reply or
// none.
func TestSecondCopy(t *testing.T) {
	first, own := reply("1", "first"), reply("2", "own")
	anonymous := "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 5\r\n\r\nfirst"
	cases := map[string]struct {
		// pieces are sent after the second request was read, with a pause after each.
		pieces []string
		status Status
	}{
		"whole, before its own":         {[]string{first, own}, Answered},
		"in two pieces":                 {[]string{first[:30], first[30:], own}, Answered},
		"split in its body":             {[]string{first[:len(first)-2], first[len(first)-2:] + own}, Answered},
		"in one segment with its own":   {[]string{first + own}, Answered},
		"twice":                         {[]string{first + first, own}, Answered},
		"three times":                   {[]string{first + first + first + own}, Broken},
		"without an identity":           {[]string{anonymous, own}, Answered},
		"its body only":                 {[]string{"first", own}, Broken},
		"cut off":                       {[]string{first[:len(first)-3], own}, Broken},
		"after its own":                 {[]string{own, first}, Answered},
		"with the length of two":        {[]string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 400\r\n\r\n" + own}, Broken},
		"nothing else, then the server": {[]string{first}, Broken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, next func() *http.Request) {
				if next() != nil && send(conn, first) && next() != nil {
					send(conn, c.pieces...)
				}
			})
			p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
			ask := func(id string) Outcome {
				return p.Do(t.Context(), Server{ID: "i", Address: s.address, MaxConns: 1}, true, request(id))
			}
			wantReply(t, ask("1"), Answered, "first")
			wantReply(t, ask("2"), c.status, "own")
			time.Sleep(10 * time.Millisecond)
			if ask("1"); s.conns.Load() != 2 {
				t.Errorf("%d connections for 3 exchanges; the second must not be used again", s.conns.Load())
			}
		})
	}
}

// TestSecondCopyOfRefusal checks that a request that is sent to a server once more does not
// get a second copy of the server's refusal, which has the same ID.
func TestSecondCopyOfRefusal(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, maxConns := range map[string]int{"one connection": 1, "several": 3} {
		t.Run(name, func(t *testing.T) {
			var sendings atomic.Int64
			s := serve(t, func(conn net.Conn, next func() *http.Request) {
				for n := 0; next() != nil; n++ {
					own := reply("1", "own")
					if sendings.Add(1) == 1 {
						own = refusal
					} else if n > 0 {
						own = refusal + own
					}
					if !send(conn, own) {
						return
					}
				}
			})
			p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
			server := Server{ID: "i", Address: s.address, MaxConns: maxConns}
			r := request("1")
			first := p.Do(t.Context(), server, false, r)
			wantReply(t, first, Declined, "")
			r.SentOn = []uint64{first.Conn}
			wantReply(t, p.Do(t.Context(), server, false, r), Answered, "own")
		})
	}
}

// wantReply checks the status of an exchange and, if it was answered, the body.
func wantReply(t *testing.T, o Outcome, status Status, body string) {
	t.Helper()
	if o.Status != status || (o.Status == Answered && string(o.Reply.Body) != body) {
		t.Errorf("%v %q (%v), want %v with %q", o.Status, o.Reply.Body, o.Err, status, body)
	}
}

// send writes the pieces with a pause after each, and reports whether it could.
func send(c net.Conn, pieces ...string) bool {
	for _, p := range pieces {
		if _, err := c.Write([]byte(p)); err != nil {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// TestBrokenOff checks that a reply that breaks off is never complete, whether the
// connection is closed or reset.
func TestBrokenOff(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		send string
		// wholeIfClosed is true if only a reset shows that the reply is incomplete.
		wholeIfClosed bool
	}{
		"in the status line":        {send: "HTTP/1.1 20"},
		"in the head":               {send: "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\n"},
		"a stamp without a body":    {send: "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: 5\r\n\r\n"},
		"a length that lies":        {send: "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: 50\r\n\r\nfirst"},
		"in a chunk size":           {send: chunked + "5\r\nfirst\r\n1"},
		"in a chunk":                {send: chunked + "5\r\nfir"},
		"chunks without an end":     {send: chunked + "5\r\nfirst\r\n"},
		"in the trailers":           {send: chunked + "5\r\nfirst\r\n0\r\nName: v"},
		"no length":                 {send: "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\n\r\nfirst", wholeIfClosed: true},
		"no length, asked to close": {send: "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nConnection: close\r\n\r\nfirst", wholeIfClosed: true},
	}
	for name, c := range cases {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				s := serve(t, func(conn net.Conn, next func() *http.Request) {
					if next() != nil && send(conn, c.send) && reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				want := Broken
				if c.wholeIfClosed && !reset {
					want = Answered
				}
				o, _ := doWithNewPool(t, s, request("1"))
				wantReply(t, o, want, "first")
			})
		}
	}
}

// TestTruncatedReply checks that a reply of which any part at the end is missing when the
// server closes the connection is no reply: most of all one that ends within its head.
func TestTruncatedReply(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\n"
	cases := map[string]struct {
		reply string
		// complete is the length from which on the reply counts as complete.
		complete int
	}{
		"with a length": {head + "Content-Length: 5\r\n\r\nhello", len(head + "Content-Length: 5\r\n\r\nhello")},
		"in chunks":     {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", len(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")},
		// Only a reset tells that more was to come.
		"until the end":     {head + "\r\nhello", len(head + "\r\n")},
		"after an interim":  {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", len("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 0\r\n\r\n")},
		"with a bare break": {"HTTP/1.1 200 OK\nId: 1\nSigned: s\nContent-Length: 5\n\nhello", len("HTTP/1.1 200 OK\nId: 1\nSigned: s\nContent-Length: 5\n\nhello")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for n := range len(c.reply) + 1 {
				s := serve(t, func(conn net.Conn, next func() *http.Request) {
					next()
					_, _ = io.WriteString(conn, c.reply[:n])
				})
				out, _ := doWithNewPool(t, s, request("1"))
				if complete := out.Status == Answered; complete != (n >= c.complete) {
					t.Errorf("%d of %d bytes, up to %q: %v with %d and %q", n, len(c.reply), c.reply[max(0, n-10):n], out.Status, out.Reply.Code, out.Reply.Body)
				}
			}
		})
	}
}
