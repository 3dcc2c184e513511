package shuntlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

// slowOutput is an io.Writer that takes a second for each write.
type slowOutput struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *slowOutput) Write(p []byte) (int, error) {
	time.Sleep(time.Second)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// TestWriterNeverBlocks writes more lines than the buffer holds while the output
// is slow. Writes must not block. Lines that don't fit must be dropped, counted
// and reported, and all others must be written.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group shuntgroup.Group
		done := make(chan struct{})
		out := &slowOutput{}
		w := NewWriter(out, &group, done)
		const lines = 5 * bufferedLines
		start := time.Now()
		for range lines {
			if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
				t.Fatalf("Write returned %d, %v; want 5, nil", n, err)
			}
		}
		if time.Since(start) != 0 {
			t.Errorf("writing the lines took %v; want 0", time.Since(start))
		}
		if w.Dropped() != lines-bufferedLines {
			t.Errorf("%d lines dropped; want all that exceed the buffer", w.Dropped())
		}
		time.Sleep(10 * time.Second)
		close(done)
		group.Close()
		if n := strings.Count(out.b.String(), "line\n"); n != bufferedLines {
			t.Errorf("%d lines written", n)
		}
		if !strings.Contains(out.b.String(), "log lines dropped: ") {
			t.Error("the drops are not reported")
		}
	})
}

// TestLongLine checks that long lines are cut.
func TestLongLine(t *testing.T) {
	var group shuntgroup.Group
	done := make(chan struct{})
	var out strings.Builder
	w := NewWriter(&out, &group, done)
	if n, err := w.Write([]byte(strings.Repeat("x", 10*maxLineBytes) + "\n")); n != 10*maxLineBytes+1 || err != nil {
		t.Errorf("Write returned %d, %v; want the length, nil", n, err)
	}
	close(done)
	group.Close()
	if want := strings.Repeat("x", maxLineBytes) + " (cut)\n"; out.String() != want {
		t.Errorf("%d bytes written; want %d and a line end", out.Len(), len(want))
	}
}
