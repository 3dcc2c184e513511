package shuntguard

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashWindow is the maximum time between the loss of a request and the finding that
	// its server has crashed for which the loss counts.
	crashWindow = 3 * time.Second
	// maxLostRuns limits the number of runs recorded for one server.
	maxLostRuns = 64
)

// Run is the execution of a request by a backend server.
type Run struct {
	Fingerprint uint64
	// Trial is true if the request ran as a suspect.
	Trial bool
}

// CrashDetector records which requests were in flight on a server when it may have
// crashed. The loss of a response alone proves nothing, because servers and networks
// also lose single ones.
type CrashDetector struct {
	mu      sync.Mutex
	servers map[string]*lostRuns
	// trials holds the servers on which a suspect runs.
	trials map[string]bool
}

// lostRuns holds the runs lost on one server, oldest first.
type lostRuns struct {
	runs []lostRun
	// checking is true while it is being found out whether the server has crashed.
	checking bool
}

// lostRun is a run that ended without a response.
type lostRun struct {
	Run
	at time.Time
}

// NewCrashDetector returns a CrashDetector without recorded runs.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{servers: map[string]*lostRuns{}, trials: map[string]bool{}}
}

// BeginTrial reports whether a suspect may run on the server, because no other one does:
// if the server crashes, only one of them is to blame. The caller must call EndTrial at
// the end of the run.
func (d *CrashDetector) BeginTrial(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.trials[server] {
		return false
	}
	d.trials[server] = true
	return true
}

// EndTrial ends a run that BeginTrial has allowed.
func (d *CrashDetector) EndTrial(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.trials, server)
}

// Lost records that a run has ended without a response from the server.
func (d *CrashDetector) Lost(server string, r Run) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil {
		s = &lostRuns{}
		d.servers[server] = s
	}
	s.expire(now)
	if len(s.runs) < maxLostRuns {
		s.runs = append(s.runs, lostRun{r, now})
	}
}

// expire removes the runs that were lost longer than crashWindow ago.
func (s *lostRuns) expire(now time.Time) {
	s.runs = slices.DeleteFunc(s.runs, func(r lostRun) bool { return now.Sub(r.at) > crashWindow })
}

// BeginCheck reports whether the caller should find out whether the server has crashed,
// because it has lost runs and nobody else does. The caller must call EndCheck afterwards.
func (d *CrashDetector) BeginCheck(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil || s.checking {
		return false
	}
	s.checking = true
	return true
}

// EndCheck ends a check that began with BeginCheck. If the server has crashed, it returns
// the runs that were in flight then.
func (d *CrashDetector) EndCheck(server string, crashed bool) []Run {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil {
		return nil
	}
	s.checking = false
	s.expire(now)
	var out []Run
	if crashed {
		for _, r := range s.runs {
			out = append(out, r.Run)
		}
		s.runs = nil
	}
	d.removeIfEmpty(server, s)
	return out
}

// Reached records that the server answered a request, or accepted a connection, that was
// begun at the given time. The runs that it lost before then were not lost by a crash.
func (d *CrashDetector) Reached(server string, begun time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil {
		return
	}
	s.runs = slices.DeleteFunc(s.runs, func(r lostRun) bool { return r.at.Before(begun) })
	d.removeIfEmpty(server, s)
}

func (d *CrashDetector) removeIfEmpty(server string, s *lostRuns) {
	if len(s.runs) == 0 && !s.checking {
		delete(d.servers, server)
	}
}

// Prune removes the servers whose lost runs are too old to count.
func (d *CrashDetector) Prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.servers {
		s.expire(now)
		d.removeIfEmpty(id, s)
	}
}
