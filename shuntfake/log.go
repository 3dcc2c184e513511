package shuntfake

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// Violations counts what must never happen, as the stand-ins saw it.
type Violations struct {
	// ColdOverruns: a cold server got more than it bears.
	ColdOverruns int
	// CapOverruns: a server was asked for more connections than its cap.
	CapOverruns int
	// LateWork: a server that is leaving, or whose zone is out, got new work
	// after the grace.
	LateWork int
	// RanTwice: a non-idempotent request ran more than once on a shard.
	RanTwice int
	// FalseNotRun: a request ran of which the answer said NotRun.
	FalseNotRun int
	// MixedSnapshots: an answer has rows of another snapshot than it states.
	MixedSnapshots int
	// FalseCoverage: an answer's coverage is not that of its rows.
	FalseCoverage int
	// ForeignRows: an answer has rows of another request.
	ForeignRows int
	// CutRequests: a caller's connection ended without an answer, though no
	// VM had failed.
	CutRequests int
	// Reverted: a VM went back to an older version of a document.
	Reverted int
}

// Total returns the sum of all.
func (v Violations) Total() int {
	return v.ColdOverruns + v.CapOverruns + v.LateWork + v.RanTwice + v.FalseNotRun +
		v.MixedSnapshots + v.FalseCoverage + v.ForeignRows + v.CutRequests + v.Reverted
}

// Run is one request that a backend server ran, in whole or in part.
type Run struct {
	Server   string
	Query    string
	Attempt  uint64
	Shard    string
	Snapshot shuntconfig.SnapshotID
	At       time.Time
}

// Log is what the stand-ins of one run have seen.
type Log struct {
	mu         sync.Mutex
	violations Violations
	notes      []string
	runs       map[string][]Run
	arrivals   int
	sheds      int
	crashes    int
	closed     map[string]time.Time
}

const (
	// leaveGrace is how long a leaving server may still get new work.
	leaveGrace = 3 * time.Second
	maxNotes   = 50
)

// NewLog returns an empty Log.
func NewLog() *Log {
	return &Log{runs: map[string][]Run{}, closed: map[string]time.Time{}}
}

// AddViolation counts a violation and keeps a note of it.
func (l *Log) AddViolation(count func(*Violations), format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(count, format, args...)
}

func (l *Log) violate(count func(*Violations), format string, args ...any) {
	count(&l.violations)
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, fmt.Sprintf(format, args...))
	}
}

// Violations returns the counts so far; Notes tells of the first ones.
func (l *Log) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// Notes returns a line for each of the first violations.
func (l *Log) Notes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.notes)
}

// SetInService marks a server as leaving or out since now, or back when open.
func (l *Log) SetInService(server string, open bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		delete(l.closed, server)
		return
	}
	if _, ok := l.closed[server]; !ok {
		l.closed[server] = now
	}
}

// SetZonesInService marks each backend server by whether its zone is in service in f.
func (l *Log) SetZonesInService(f shuntconfig.Fleet, backends map[string]*Backend, now time.Time) {
	for id, b := range backends {
		l.SetInService(id, f.ZoneInService(b.Zone()), now)
	}
}

func (l *Log) arrived(server string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	if t, ok := l.closed[server]; ok && now.Sub(t) > leaveGrace {
		l.violate(func(v *Violations) { v.LateWork++ }, "%s got work %v after it was taken out", server, now.Sub(t))
	}
}

func (l *Log) ran(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Query] = append(l.runs[r.Query], r)
}

func (l *Log) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sheds++
}

func (l *Log) crashed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
}

// Runs returns what ran of a query.
func (l *Log) Runs(query string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[query])
}

// Counts are totals over all servers.
type Counts struct {
	Arrivals, Sheds, Crashes int
}

// Counts returns the totals so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{l.arrivals, l.sheds, l.crashes}
}

// DropRuns drops the runs of a query that has been checked.
func (l *Log) DropRuns(query string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, query)
}
