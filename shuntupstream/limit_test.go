package shuntupstream

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntmemory"
)

// endless writes the head and then the piece again and again until the peer closes the
// connection.
func endless(head, piece string) func(c net.Conn, next func() *http.Request) {
	return func(c net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		if _, err := c.Write([]byte(head)); err != nil {
			return
		}
		batch := []byte(strings.Repeat(piece, max(1, (64<<10)/len(piece))))
		for {
			if _, err := c.Write(batch); err != nil {
				return
			}
		}
	}
}

// TestEndlessReply checks that bytes without end are given up long before the deadline,
// as a request that may have run, on a connection that is not used again, and that 20
// servers that send them at the same time take little memory, while another one is
// served.
func TestEndlessReply(t *testing.T) {
	const servers, memoryLimit = 20, 24 << 20
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ head, piece string }{
		"no line end":          {"", "x"},
		"a status line":        {"HTTP/1.1 200 ", "x"},
		"a long field":         {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"many fields":          {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"empty lines":          {"", "\r\n"},
		"interim replies":      {"", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"},
		"body until the end":   {"HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nConnection: close\r\n\r\n", "body"},
		"large chunks":         {chunked, "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"},
		"chunks of a byte":     {chunked, "1\r\nx\r\n"},
		"chunk extensions":     {chunked + "1;", "a=b;"},
		"chunk size":           {chunked, "0"},
		"trailers":             {chunked + "0\r\n", "Name: value\r\n"},
		"replies to others":    {"", reply("0", "late")},
		"a length without end": {"HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: 9000000000\r\n\r\n", "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bad, good := serve(t, endless(c.head, c.piece)), serve(t, wellBehaved)
			p := NewPool(PoolConfig{Headers: testHeaders, Group: &shuntgroup.Group{}})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			memory := shuntmemory.New(shuntmemory.Config{Limit: memoryLimit})
			do := func(s Server) Outcome {
				r := request("1")
				r.Held = memory.Open()
				defer r.Held.Close()
				return p.Do(ctx, s, true, r)
			}
			runtime.GC()
			before, started := heap(), time.Now()
			var wait sync.WaitGroup
			for range servers {
				wait.Go(func() {
					wantBroken(t, do(Server{ID: "bad", Address: bad.address, MaxConns: servers}))
				})
			}
			peak := peakHeap(func() {
				if o := do(Server{ID: "good", Address: good.address, MaxConns: 1}); o.Status != Answered {
					t.Errorf("another server: %v (%v), want %v", o.Status, o.Err, Answered)
				}
			})
			wait.Wait()
			// What is no longer needed counts until it is collected.
			grown := int64(peak) - int64(before)
			if took, n := time.Since(started), bad.conns.Load(); took > 20*time.Second || grown > 2*memoryLimit || n != servers {
				t.Errorf("given up after %v; the heap grew by %d MB; %d connections for %d requests", took, grown>>20, n, servers)
			}
		})
	}
}

// wellBehaved answers each request with a short reply.
func wellBehaved(c net.Conn, next func() *http.Request) {
	for r := next(); r != nil; r = next() {
		if _, err := c.Write([]byte(reply(r.Header.Get("Id"), "body"))); err != nil {
			return
		}
	}
}

func wantBroken(t *testing.T, o Outcome) {
	t.Helper()
	if o.Status != Broken {
		t.Errorf("%v (%v), want %v", o.Status, o.Err, Broken)
	}
}

// peakHeap calls f 20 times and returns the largest heap after a call, in bytes.
func peakHeap(f func()) uint64 {
	peak := uint64(0)
	for range 20 {
		f()
		peak = max(peak, heap())
	}
	return peak
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
