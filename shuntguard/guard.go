// Package shuntguard keeps requests that crash backend servers away from them.
//
// A request is known by the fingerprint of its content, since callers send it
// again under new identities. What was in flight on a server that died is a
// suspect: its next run is unhedged, on one shard first, and alone among the
// suspects of that server. A suspect whose run costs a server again is
// quarantined for a time; a success clears it, so that requests that merely
// happened to be in flight are not barred for good.
package shuntguard

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntmetric"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// suspectTime is how long a suspect stays one without a further run.
	suspectTime = 5 * time.Minute
	// quarantineFirst is how long the first quarantine of a content lasts; each
	// further one lasts twice as long, up to quarantineLimit.
	quarantineFirst = time.Minute
	quarantineLimit = time.Hour
	maxStrikes      = 8
	// firstRunTime is how long the VM that saw a crash has for the first run of
	// the suspect. The others refuse it so long: were each of them to try, each
	// would cost a server.
	firstRunTime = time.Second
	// watchTime is how long after a crash contents not known as harmless are
	// tried on one shard first.
	watchTime = 2 * time.Minute
	// maxSuspects bounds the table; the oldest entries go first.
	maxSuspects = 1024
	// maxHarmless bounds the contents remembered as harmless.
	maxHarmless = 1 << 14
	// maxServers bounds the servers named in one entry.
	maxServers = 4
)

// Decision is how a content may run.
type Decision struct {
	// Refused is None when it may run at all.
	Refused shuntoutcome.Reason
	// Suspect: it runs unhedged, on one shard first, and alone among the
	// suspects of a server. Release must be called at the end of the run.
	Suspect bool
	// Canary: one shard goes first, the others after its success.
	Canary bool
	// Wait, when not nil, is closed once another run of the same suspect has
	// ended; Admit is then to be asked again.
	Wait <-chan struct{}
}

// Suspicion is an entry of the table, as it spreads between VMs.
type Suspicion struct {
	Fingerprint uint64
	// Servers are some of those that died with the content in flight.
	Servers []string
	// Strikes counts the servers that died under a run of the content as a suspect.
	Strikes int
	// Age is the time since the last crash.
	Age time.Duration
}

type suspicion struct {
	servers []string
	strikes int
	last    time.Time
	// foreign: the crash was seen by another VM, which runs the suspect first.
	foreign bool
	// running is closed at the end of the one run; nil when none runs.
	running chan struct{}
}

func (s *suspicion) quarantine() time.Duration {
	if s.strikes == 0 {
		return 0
	}
	return min(quarantineFirst<<(s.strikes-1), quarantineLimit)
}

func (s *suspicion) quarantined(now time.Time) bool {
	return now.Sub(s.last) < s.quarantine()
}

func (s *suspicion) over(now time.Time) bool {
	return now.Sub(s.last) >= s.quarantine()+suspectTime
}

// Guard is the table of one VM.
type Guard struct {
	onCrash     func()
	crashes     *metrics.Counter
	quarantines *metrics.Counter

	mu       sync.Mutex
	suspects map[uint64]*suspicion
	// harmless holds contents that ran well; older is the generation before,
	// dropped when harmless is full.
	harmless, older map[uint64]bool
	lastCrash       time.Time
}

var (
	docCrashes     = shuntmetric.Doc{Name: "mulberryshunt_guard_crashes_total", Type: "Counter", Text: "Attempts in flight on backend servers that died.", Since: "0.1"}
	docQuarantines = shuntmetric.Doc{Name: "mulberryshunt_guard_quarantines_total", Type: "Counter", Text: "Contents quarantined because they cost several servers.", Since: "0.1"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc { return []shuntmetric.Doc{docCrashes, docQuarantines} }

// Config is what a Guard is made of.
type Config struct {
	// Metrics gets the counters; nil is allowed.
	Metrics *metrics.Set
	// OnCrash is called after each crash, so that the others learn of it at
	// once; nil is allowed.
	OnCrash func()
}

// New returns a Guard that suspects nothing.
func New(c Config) *Guard {
	set := c.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	if c.OnCrash == nil {
		c.OnCrash = func() {}
	}
	return &Guard{
		onCrash:     c.OnCrash,
		crashes:     shuntmetric.Counter(set, docCrashes, ""),
		quarantines: shuntmetric.Counter(set, docQuarantines, ""),
		suspects:    map[uint64]*suspicion{},
		harmless:    map[uint64]bool{},
	}
}

// Admit says how a content may run now.
func (g *Guard) Admit(fingerprint uint64, c shuntconfig.Canary) Decision {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok && !s.over(now) {
		return s.admit(now)
	}
	if g.knownHarmless(fingerprint) {
		return Decision{}
	}
	watch := !g.lastCrash.IsZero() && now.Sub(g.lastCrash) < watchTime
	return Decision{Canary: c == shuntconfig.CanaryAlways || (c == shuntconfig.CanaryAfterCrash && watch)}
}

func (s *suspicion) admit(now time.Time) Decision {
	if s.quarantined(now) {
		return Decision{Refused: shuntoutcome.Quarantined}
	}
	if s.foreign && now.Sub(s.last) < firstRunTime {
		return Decision{Refused: shuntoutcome.CrashSuspect}
	}
	if s.running != nil {
		return Decision{Wait: s.running}
	}
	s.running = make(chan struct{})
	return Decision{Suspect: true, Canary: true}
}

// IsSuspect says whether servers have died under the content.
func (g *Guard) IsSuspect(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.suspects[fingerprint]
	return ok && !s.over(time.Now())
}

// Release ends the run of a suspect.
func (g *Guard) Release(fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok {
		s.release()
	}
}

func (s *suspicion) release() {
	if s.running != nil {
		close(s.running)
		s.running = nil
	}
}

func (g *Guard) knownHarmless(fingerprint uint64) bool {
	return g.harmless[fingerprint] || g.older[fingerprint]
}

// RecordCrash books that a server died while the content was in flight on it, and
// returns how the content may run from now on. Only a run as a suspect counts
// as a strike: when a rack or a zone dies, many innocent contents lose several
// servers at once.
func (g *Guard) RecordCrash(fingerprint uint64, server string, suspect bool) Decision {
	g.crashes.Inc()
	defer g.onCrash()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCrash = now
	s := g.add(fingerprint, now)
	s.last = now
	s.foreign = false
	if !slices.Contains(s.servers, server) && len(s.servers) < maxServers {
		s.servers = append(s.servers, server)
	}
	delete(g.harmless, fingerprint)
	delete(g.older, fingerprint)
	if suspect {
		s.strikes = min(s.strikes+1, maxStrikes)
		g.quarantines.Inc()
		klog.InfoS("Content quarantined", "fingerprint", fingerprint, "servers", s.servers, "for", s.quarantine())
	}
	if s.quarantined(now) {
		return Decision{Refused: shuntoutcome.Quarantined}
	}
	return Decision{Suspect: true, Canary: true}
}

// add returns the entry of the content, a new one where the old is over.
func (g *Guard) add(fingerprint uint64, now time.Time) *suspicion {
	s, ok := g.suspects[fingerprint]
	if ok && !s.over(now) {
		return s
	}
	g.expire(now)
	s = &suspicion{last: now}
	g.suspects[fingerprint] = s
	return s
}

// expire drops what is over, and the oldest entry when the table is full.
func (g *Guard) expire(now time.Time) {
	var oldest uint64
	var last time.Time
	for f, s := range g.suspects {
		if s.over(now) {
			g.drop(f)
			continue
		}
		if last.IsZero() || s.last.Before(last) {
			oldest, last = f, s.last
		}
	}
	if len(g.suspects) >= maxSuspects {
		g.drop(oldest)
	}
}

func (g *Guard) drop(fingerprint uint64) {
	g.suspects[fingerprint].release()
	delete(g.suspects, fingerprint)
}

// RecordSuccess books that the content ran on every shard without harm. A
// quarantine outlives a run that was under way when it began.
func (g *Guard) RecordSuccess(fingerprint uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok {
		if s.quarantined(now) {
			return
		}
		g.drop(fingerprint)
	}
	if len(g.harmless) >= maxHarmless {
		g.older = g.harmless
		g.harmless = make(map[uint64]bool, maxHarmless)
	}
	g.harmless[fingerprint] = true
}

// Export returns the table for other VMs, at most most entries, newest first.
func (g *Guard) Export(most int) []Suspicion {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Suspicion, 0, len(g.suspects))
	for f, s := range g.suspects {
		if !s.over(now) {
			out = append(out, Suspicion{f, slices.Clone(s.servers), s.strikes, now.Sub(s.last)})
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), most)]
}

// Merge takes over what another VM exported. A suspicion without strikes that
// this VM has cleared stays cleared.
func (g *Guard) Merge(in []Suspicion) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range in {
		if e.Age < 0 || e.Strikes < 0 || e.Strikes > maxStrikes || len(e.Servers) > maxServers {
			continue
		}
		last := now.Add(-e.Age)
		s := suspicion{servers: e.Servers, strikes: e.Strikes, last: last}
		if s.over(now) || (g.knownHarmless(e.Fingerprint) && !s.quarantined(now)) {
			continue
		}
		if last.After(g.lastCrash) {
			g.lastCrash = last
		}
		g.merge(e, last, now)
	}
}

func (g *Guard) merge(e Suspicion, last, now time.Time) {
	s := g.add(e.Fingerprint, now)
	if len(s.servers) == 0 {
		s.last = last
		s.foreign = true
	}
	for _, v := range e.Servers {
		if !slices.Contains(s.servers, v) && len(s.servers) < maxServers {
			s.servers = append(s.servers, v)
		}
	}
	s.strikes = max(s.strikes, e.Strikes)
	if last.After(s.last) {
		s.last = last
	}
}
