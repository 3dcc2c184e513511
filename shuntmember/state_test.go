package shuntmember

import (
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

// TestEndlessState checks that a VM that sends its state without end, or asks without end,
// takes little memory and time of this one.
func TestEndlessState(t *testing.T) {
	const memoryLimit = 8 << 20
	// Of the state service: a message whose length is stated as some hundred megabytes.
	message := append([]byte{0xfc, 0x1f, 0xff, 0xff, 0xff}, make([]byte, 64<<10)...)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group shuntgroup.Group
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				for err == nil {
					_, err = c.Write(message)
				}
			})
		}
	})
	defer group.Close()
	defer func() { _ = l.Close() }()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begun := time.Now()
	if _, err := fetchState(t.Context(), netip.MustParseAddrPort(l.Addr().String()), 0); err == nil {
		t.Error("a state without end was taken")
	}
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4*memoryLimit || time.Since(begun) > 2*fetchTimeout {
		t.Errorf("given up after %v; the heap grew by %d MB", time.Since(begun), grown>>20)
	}
}

// TestBoundedConn checks that no more than the bound can be read.
func TestBoundedConn(t *testing.T) {
	a, b := net.Pipe()
	var group shuntgroup.Group
	defer group.Close()
	defer func() { _, _ = a.Close(), b.Close() }()
	group.Go(func() { _, _ = b.Write(make([]byte, 100)) })
	c := &boundedConn{a, 60}
	total := 0
	for {
		n, err := c.Read(make([]byte, 25))
		total += n
		if err != nil {
			if err != errTooLong || total != 60 {
				t.Errorf("read %d bytes, then %v", total, err)
			}
			return
		}
	}
}
