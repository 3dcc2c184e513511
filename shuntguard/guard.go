// Package shuntguard limits the damage of requests that crash backend servers.
//
// A request is identified by the fingerprint of its content, because callers
// repeat it under new request IDs. A request that was in flight on a server that
// crashed becomes a suspect: its next run is not hedged, starts on a single
// shard, and no other suspect runs on the same server at that time. If a server
// crashes under a suspect, the suspect is quarantined for a limited time. A
// successful run clears it, so that requests that were in flight by chance are
// not refused permanently.
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
	// suspectTTL is how long a request remains a suspect after its last crash, or
	// after the end of its quarantine.
	suspectTTL = 5 * time.Minute
	// minQuarantine is the length of the first quarantine of a request. Each
	// further quarantine is twice as long, up to maxQuarantine.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
	maxStrikes    = 8
	// firstRunWindow is how long only the VM that observed a crash may run the
	// suspect. Other VMs refuse it during that time, because each of them could
	// otherwise crash another server.
	firstRunWindow = time.Second
	// canaryWindow is how long after a crash the requests that are not known to
	// be harmless start on a single shard.
	canaryWindow = 2 * time.Minute
	// maxSuspects limits the number of suspects. The one with the oldest crash is
	// evicted first.
	maxSuspects = 1024
	// maxHarmless limits the size of each of the two generations of harmless
	// fingerprints.
	maxHarmless = 1 << 14
	// maxServersPerEntry limits the number of servers listed for a suspect.
	maxServersPerEntry = 4
)

// Decision says whether and how a request may run.
type Decision struct {
	// Refused is the reason why the request must not run, or None.
	Refused shuntoutcome.Reason
	// Suspect means that the request must run without hedges, on a single shard
	// first, and as the only suspect on a server. Release must be called at the
	// end of the run.
	Suspect bool
	// Canary means that the request runs on a single shard first, and on the
	// other shards only after that has succeeded.
	Canary bool
	// Wait, if not nil, is closed when the current run of the same suspect has
	// ended. The caller must then call Admit again.
	Wait <-chan struct{}
}

// Suspicion describes a suspect in messages between VMs.
type Suspicion struct {
	Fingerprint uint64
	// Servers lists some of the servers that crashed while the request was in
	// flight on them.
	Servers []string
	// Strikes is the number of crashes while the request ran as a suspect.
	Strikes int
	// Age is the time since the last crash.
	Age time.Duration
}

type suspicion struct {
	servers   []string
	strikes   int
	crashedAt time.Time
	// remote means that another VM observed the crash. That VM runs the suspect
	// first.
	remote bool
	// running is closed at the end of the current run. It is nil when no run is
	// in progress.
	running chan struct{}
}

func (s *suspicion) quarantineTime() time.Duration {
	if s.strikes == 0 {
		return 0
	}
	return min(minQuarantine<<(s.strikes-1), maxQuarantine)
}

func (s *suspicion) quarantined(now time.Time) bool {
	return now.Sub(s.crashedAt) < s.quarantineTime()
}

func (s *suspicion) expired(now time.Time) bool {
	return now.Sub(s.crashedAt) >= s.quarantineTime()+suspectTTL
}

// Guard stores the suspects and the known harmless requests of one VM.
type Guard struct {
	onCrash     func()
	crashes     *metrics.Counter
	quarantines *metrics.Counter

	mu       sync.Mutex
	suspects map[uint64]*suspicion
	// harmless holds the fingerprints of requests that ran successfully. When it
	// is full, it replaces olderHarmless, whose entries are dropped.
	harmless, olderHarmless map[uint64]bool
	lastCrash               time.Time
}

var (
	docCrashes     = shuntmetric.Doc{Name: "mulberryshunt_guard_crashes_total", Type: "Counter", Text: "Attempts that were in flight on a backend server when it crashed.", Since: "0.1"}
	docQuarantines = shuntmetric.Doc{Name: "mulberryshunt_guard_quarantines_total", Type: "Counter", Text: "Quarantines of requests that crashed a backend server while they ran as suspects.", Since: "0.1"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc { return []shuntmetric.Doc{docCrashes, docQuarantines} }

// Config configures a Guard.
type Config struct {
	// Metrics is the set in which the counters are registered. It may be nil.
	Metrics *metrics.Set
	// OnCrash is called after each recorded crash, so that the other VMs can be
	// told at once. It may be nil.
	OnCrash func()
}

// New returns a Guard without suspects.
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

// Admit decides whether and how the request with the given fingerprint may run
// now.
func (g *Guard) Admit(fingerprint uint64, c shuntconfig.Canary) Decision {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok && !s.expired(now) {
		return s.admit(now)
	}
	if g.knownHarmless(fingerprint) {
		return Decision{}
	}
	recentCrash := !g.lastCrash.IsZero() && now.Sub(g.lastCrash) < canaryWindow
	return Decision{Canary: c == shuntconfig.CanaryAlways || (c == shuntconfig.CanaryAfterCrash && recentCrash)}
}

func (s *suspicion) admit(now time.Time) Decision {
	if s.quarantined(now) {
		return Decision{Refused: shuntoutcome.Quarantined}
	}
	if s.remote && now.Sub(s.crashedAt) < firstRunWindow {
		return Decision{Refused: shuntoutcome.CrashSuspect}
	}
	if s.running != nil {
		return Decision{Wait: s.running}
	}
	s.running = make(chan struct{})
	return Decision{Suspect: true, Canary: true}
}

// IsSuspect reports whether the request is a suspect or in quarantine.
func (g *Guard) IsSuspect(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.suspects[fingerprint]
	return ok && !s.expired(time.Now())
}

// Release marks the current run of a suspect as ended.
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
	return g.harmless[fingerprint] || g.olderHarmless[fingerprint]
}

// RecordCrash records that a server crashed while the request was in flight on
// it, and returns how the request may run from now on. Only a run as a suspect
// counts as a strike: when a rack or a zone fails, many harmless requests are in
// flight on several failing servers at once.
func (g *Guard) RecordCrash(fingerprint uint64, server string, suspect bool) Decision {
	g.crashes.Inc()
	defer g.onCrash()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCrash = now
	s := g.getOrCreate(fingerprint, now)
	s.crashedAt = now
	s.remote = false
	if !slices.Contains(s.servers, server) && len(s.servers) < maxServersPerEntry {
		s.servers = append(s.servers, server)
	}
	delete(g.harmless, fingerprint)
	delete(g.olderHarmless, fingerprint)
	klog.InfoS("Request suspected of crashing a backend server", "fingerprint", fingerprint, "server", server, "asSuspect", suspect, "suspects", len(g.suspects))
	if suspect {
		s.strikes = min(s.strikes+1, maxStrikes)
		g.quarantines.Inc()
		klog.InfoS("Request quarantined", "fingerprint", fingerprint, "servers", s.servers, "for", s.quarantineTime())
	}
	if s.quarantined(now) {
		return Decision{Refused: shuntoutcome.Quarantined}
	}
	return Decision{Suspect: true, Canary: true}
}

// getOrCreate returns the entry of the request, or adds a new one if there is
// none or it has expired.
func (g *Guard) getOrCreate(fingerprint uint64, now time.Time) *suspicion {
	s, ok := g.suspects[fingerprint]
	if ok && !s.expired(now) {
		return s
	}
	g.makeRoom(now)
	s = &suspicion{crashedAt: now}
	g.suspects[fingerprint] = s
	return s
}

// makeRoom removes the expired entries and, if the table is still full, the
// entry with the oldest crash.
func (g *Guard) makeRoom(now time.Time) {
	var oldest uint64
	var last time.Time
	for f, s := range g.suspects {
		if s.expired(now) {
			g.remove(f)
			continue
		}
		if last.IsZero() || s.crashedAt.Before(last) {
			oldest, last = f, s.crashedAt
		}
	}
	if len(g.suspects) >= maxSuspects {
		g.remove(oldest)
	}
}

func (g *Guard) remove(fingerprint uint64) {
	g.suspects[fingerprint].release()
	delete(g.suspects, fingerprint)
}

// RecordSuccess records that the request ran on every shard without a crash. It
// does not end a quarantine, which may have begun during the run.
func (g *Guard) RecordSuccess(fingerprint uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok {
		if s.quarantined(now) {
			return
		}
		g.remove(fingerprint)
	}
	if len(g.harmless) >= maxHarmless {
		g.olderHarmless = g.harmless
		g.harmless = make(map[uint64]bool, maxHarmless)
	}
	g.harmless[fingerprint] = true
}

// Export returns up to limit suspects for other VMs, those with the latest crash
// first.
func (g *Guard) Export(limit int) []Suspicion {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Suspicion, 0, len(g.suspects))
	for f, s := range g.suspects {
		if !s.expired(now) {
			out = append(out, Suspicion{f, slices.Clone(s.servers), s.strikes, now.Sub(s.crashedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), limit)]
}

// Merge adds the suspects that another VM exported. It ignores those that this
// VM knows to be harmless, unless they are in quarantine.
func (g *Guard) Merge(in []Suspicion) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range in {
		if e.Age < 0 || e.Strikes < 0 || e.Strikes > maxStrikes || len(e.Servers) > maxServersPerEntry {
			continue
		}
		last := now.Add(-e.Age)
		s := suspicion{servers: e.Servers, strikes: e.Strikes, crashedAt: last}
		if s.expired(now) || (g.knownHarmless(e.Fingerprint) && !s.quarantined(now)) {
			continue
		}
		if last.After(g.lastCrash) {
			g.lastCrash = last
		}
		g.merge(e, last, now)
	}
}

func (g *Guard) merge(e Suspicion, last, now time.Time) {
	s := g.getOrCreate(e.Fingerprint, now)
	if len(s.servers) == 0 {
		s.crashedAt = last
		s.remote = true
	}
	for _, v := range e.Servers {
		if !slices.Contains(s.servers, v) && len(s.servers) < maxServersPerEntry {
			s.servers = append(s.servers, v)
		}
	}
	if len(s.servers) == len(e.Servers) || e.Strikes > s.strikes {
		klog.InfoS("Request suspected by another VM", "fingerprint", e.Fingerprint, "servers", e.Servers, "strikes", e.Strikes, "age", e.Age.Milliseconds())
	}
	s.strikes = max(s.strikes, e.Strikes)
	if last.After(s.crashedAt) {
		s.crashedAt = last
	}
}
