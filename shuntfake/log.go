package shuntfake

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// Violations counts the violations of the system's guarantees that the stand-ins
// have detected.
type Violations struct {
	// ColdOverruns counts requests that exceeded a cold server's warm-up limit.
	ColdOverruns int
	// CapOverruns counts connections that exceeded a server's connection limit.
	CapOverruns int
	// LateWork counts requests to a server that was out of service for longer than
	// the grace period, because it was draining or its zone was out of service.
	LateWork int
	// RanTwice counts repeated runs of non-idempotent requests on a shard.
	RanTwice int
	// FalseNotRun counts answers with the outcome NotRun to requests that ran.
	FalseNotRun int
	// MixedSnapshots counts rows of another snapshot than their answer states.
	MixedSnapshots int
	// FalseCoverage counts answers whose rows come from a different number of
	// shards than they state.
	FalseCoverage int
	// ForeignRows counts rows of another request than the one answered.
	ForeignRows int
	// CutRequests counts requests that got no answer although no VM had failed.
	CutRequests int
	// Reverted counts the times that a VM went back to an older version of a
	// document.
	Reverted int
}

// Total returns the sum of all counts.
func (v Violations) Total() int {
	return v.ColdOverruns + v.CapOverruns + v.LateWork + v.RanTwice + v.FalseNotRun +
		v.MixedSnapshots + v.FalseCoverage + v.ForeignRows + v.CutRequests + v.Reverted
}

// Run is a sub-request that a backend server started to run.
type Run struct {
	Server   string
	Query    string
	Attempt  uint64
	Shard    string
	Snapshot shuntconfig.SnapshotID
	At       time.Time
}

// Log records what the stand-ins observe: violations, runs and event counts. All
// stand-ins of one test or demonstration share a Log.
type Log struct {
	mu                sync.Mutex
	violations        Violations
	notes             []string
	runs              map[string][]Run
	arrivals          int
	sheds             int
	crashes           int
	outOfServiceSince map[string]time.Time
}

const (
	// outOfServiceGrace is how long a server may still receive requests after it
	// was taken out of service.
	outOfServiceGrace = 3 * time.Second
	maxNotes          = 50
)

// NewLog returns an empty Log.
func NewLog() *Log {
	return &Log{runs: map[string][]Run{}, outOfServiceSince: map[string]time.Time{}}
}

// AddViolation counts a violation and keeps a note of it, up to maxNotes.
func (l *Log) AddViolation(count func(*Violations), format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(count, format, args...)
}

func (l *Log) addViolation(count func(*Violations), format string, args ...any) {
	count(&l.violations)
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, fmt.Sprintf(format, args...))
	}
}

// Violations returns the counts so far.
func (l *Log) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// Notes returns a description of each of the first maxNotes violations.
func (l *Log) Notes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.notes)
}

// SetInService records that a server is in service, or that it is out of service
// from now on.
func (l *Log) SetInService(server string, inService bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if inService {
		delete(l.outOfServiceSince, server)
		return
	}
	if _, ok := l.outOfServiceSince[server]; !ok {
		l.outOfServiceSince[server] = now
	}
}

// SetZonesInService records for each backend server whether its zone is in
// service in f.
func (l *Log) SetZonesInService(f shuntconfig.Fleet, backends map[string]*Backend, now time.Time) {
	for id, b := range backends {
		l.SetInService(id, f.ZoneInService(b.Zone()), now)
	}
}

func (l *Log) recordArrival(server string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	if t, ok := l.outOfServiceSince[server]; ok && now.Sub(t) > outOfServiceGrace {
		l.addViolation(func(v *Violations) { v.LateWork++ }, "%s got work %v after it was taken out", server, now.Sub(t))
	}
}

func (l *Log) recordRun(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Query] = append(l.runs[r.Query], r)
}

func (l *Log) recordShed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sheds++
}

func (l *Log) recordCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
}

// Runs returns the recorded runs of a query.
func (l *Log) Runs(query string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[query])
}

// Counts are event counts over all servers.
type Counts struct {
	Arrivals, Sheds, Crashes int
}

// Counts returns the event counts so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{l.arrivals, l.sheds, l.crashes}
}

// DropRuns removes the recorded runs of a query, to free memory once it has been
// checked.
func (l *Log) DropRuns(query string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, query)
}
