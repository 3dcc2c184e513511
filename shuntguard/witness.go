package shuntguard

import (
	"sync"
	"time"
)

const (
	// deathTime is how long after a connection broke a server that can't be
	// reached is held to have died then.
	deathTime = 2 * time.Second
	// maxBroken bounds the contents remembered of one server.
	maxBroken = 64
)

// CrashDetector finds out which contents were in flight on a server when it died. A
// connection that breaks alone proves nothing: servers and networks lose
// answers. It is a death if the server then can't be reached.
type CrashDetector struct {
	mu     sync.Mutex
	broken map[string][]brokenRun
}

type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

// NewCrashDetector returns a witness that has seen nothing.
func NewCrashDetector() *CrashDetector { return &CrashDetector{broken: map[string][]brokenRun{}} }

// ConnectionLost books that the connection to the server broke under the content, and
// reports whether it is the first since the server was last seen alive: then
// the server is to be tried.
func (w *CrashDetector) ConnectionLost(server string, fingerprint uint64) bool {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.broken[server]
	for len(runs) > 0 && now.Sub(runs[0].at) > deathTime {
		runs = runs[1:]
	}
	first := len(runs) == 0
	if len(runs) < maxBroken {
		runs = append(runs, brokenRun{fingerprint, now})
	}
	w.broken[server] = runs
	return first
}

// Reachable books that the server was reached, and clears what broke on it.
func (w *CrashDetector) Reachable(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.broken, server)
}

// Unreachable books that the server can't be reached, and returns the contents that
// were in flight when it died.
func (w *CrashDetector) Unreachable(server string) []uint64 {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []uint64
	for _, r := range w.broken[server] {
		if now.Sub(r.at) <= deathTime {
			out = append(out, r.fingerprint)
		}
	}
	delete(w.broken, server)
	return out
}
