package shuntguard

import (
	"sync"
	"time"
)

const (
	// crashWindow is the maximum time between the loss of a connection and the
	// failure to reach the server for which the loss counts as a crash.
	crashWindow = 2 * time.Second
	// maxBrokenRuns limits the number of runs recorded for one server.
	maxBrokenRuns = 64
)

// CrashDetector determines which requests were in flight on a server when it
// crashed. The loss of a connection alone does not prove a crash, because
// servers and networks also lose single replies. It counts as a crash if the
// server cannot be reached afterwards.
type CrashDetector struct {
	mu         sync.Mutex
	brokenRuns map[string][]brokenRun
}

// brokenRun is a run of a request that ended with the loss of its connection.
type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

// NewCrashDetector returns a CrashDetector without recorded runs.
func NewCrashDetector() *CrashDetector { return &CrashDetector{brokenRuns: map[string][]brokenRun{}} }

// ConnectionLost records that the connection to the server was lost while the
// request was in flight on it. It reports whether this is the first loss since
// the server was last reached, not counting losses older than crashWindow. If it
// is, the caller must check whether the server can be reached.
func (d *CrashDetector) ConnectionLost(server string, fingerprint uint64) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := d.brokenRuns[server]
	for len(runs) > 0 && now.Sub(runs[0].at) > crashWindow {
		runs = runs[1:]
	}
	first := len(runs) == 0
	if len(runs) < maxBrokenRuns {
		runs = append(runs, brokenRun{fingerprint, now})
	}
	d.brokenRuns[server] = runs
	return first
}

// Reachable records that the server was reached, and discards the runs recorded
// for it.
func (d *CrashDetector) Reachable(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.brokenRuns, server)
}

// Unreachable records that the server cannot be reached. It returns the
// fingerprints of the requests that were in flight when the server crashed.
func (d *CrashDetector) Unreachable(server string) []uint64 {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []uint64
	for _, r := range d.brokenRuns[server] {
		if now.Sub(r.at) <= crashWindow {
			out = append(out, r.fingerprint)
		}
	}
	delete(d.brokenRuns, server)
	return out
}
