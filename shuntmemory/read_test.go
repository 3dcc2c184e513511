package shuntmemory

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
)

// TestReplyMemory checks that long bodies that come together are limited in sum, and
// that the memory is free again afterwards.
func TestReplyMemory(t *testing.T) {
	const limit, length = 1 << 20, 300 << 10
	a := New(Config{Limit: limit})
	var bodies sync.WaitGroup
	var mu sync.Mutex
	served, dropped := 0, 0
	release := make(chan struct{})
	for range 10 {
		bodies.Go(func() {
			h := a.Open()
			defer h.Close()
			_, err := Read(&pausingReader{left: length, release: release}, ReadConfig{Holder: h, Length: length, MaxLength: limit})
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrShort) {
				dropped++
			} else if err == nil {
				served++
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	bodies.Wait()
	if served == 0 || dropped == 0 || served+dropped != 10 || a.Counts().Used != 0 {
		t.Errorf("%d served, %d dropped, %d bytes still counted", served, dropped, a.Counts().Used)
	}
}

// pausingReader returns left bytes, the last of them once release is closed.
type pausingReader struct {
	left    int
	release chan struct{}
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left)
	if n == r.left {
		<-r.release
	}
	r.left -= n
	return n, nil
}
