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
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntmetric"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
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
	// episodeTime is how long crashes that one VM observes under the same request belong
	// together, and maxEpisodes the number of them that is of interest: one may be chance.
	episodeTime = time.Second
	maxEpisodes = 2
	// newsSends is how often a change is told to other VMs at once.
	newsSends = 3
	// repeatedPart is the fraction of the places in a message that repeated suspects may
	// take while there are others.
	repeatedPart = 0.75
	// trialHold is how long after a trial without an answer the request is refused, so
	// that it can be found out whether the server has crashed.
	trialHold = 5 * time.Second
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
	// RetryAfter is how long a request that is refused will be refused at least; 0 if
	// that is not known.
	RetryAfter time.Duration
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
	// Episodes identifies up to maxEpisodes occasions on which a VM observed crashes. A
	// request that was in flight by chance has one.
	Episodes []uint32
	// Observed is true if this VM has observed a crash itself. It is not told to others.
	Observed bool
}

type suspicion struct {
	servers   []string
	strikes   int
	crashedAt time.Time
	episodes  []uint32
	// observedAt is when this VM last observed a crash itself.
	observedAt time.Time
	// heldUntil is when a request may run again whose trial got no answer.
	heldUntil time.Time
	// sends counts how often the suspicion has been exported since it last changed.
	sends int
	// olderSends counts the same for VMs of older builds.
	olderSends int
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

// repeated reports whether the request has crashed servers on more than one occasion, so
// that it was hardly in flight by chance.
func (s *suspicion) repeated() bool { return s.strikes > 0 || len(s.episodes) >= maxEpisodes }

// addEpisodes adds episodes to those of the suspect and reports whether that changes them.
func (s *suspicion) addEpisodes(ids ...uint32) bool {
	changed := false
	for _, id := range ids {
		if len(s.episodes) < maxEpisodes && !slices.Contains(s.episodes, id) {
			s.episodes = append(s.episodes, id)
			changed = true
		}
	}
	return changed
}

func (s *suspicion) expired(now time.Time) bool {
	return now.Sub(s.crashedAt) >= s.quarantineTime()+suspectTTL
}

// Guard stores the suspects and the known harmless requests of one VM.
type Guard struct {
	onCrash     func()
	onNews      func()
	random      *shuntrandom.Source
	crashes     *metrics.Counter
	quarantines *metrics.Counter

	mu       sync.Mutex
	suspects map[uint64]*suspicion
	// harmless holds the fingerprints of requests that ran successfully. When it
	// is full, it replaces olderHarmless, whose entries are dropped.
	harmless, olderHarmless map[uint64]bool
	lastCrash               time.Time
	// exact holds exact fingerprints of requests, exactByContent the same by the content.
	exact          map[uint64]*exactForm
	exactByContent map[uint64][]*exactForm
}

var (
	docCrashes     = shuntmetric.Doc{Name: "mulberryshunt_guard_crashes_total", Type: "Counter", Text: "Attempts that were in flight on a backend server when it crashed.", Since: "0.1"}
	docQuarantines = shuntmetric.Doc{Name: "mulberryshunt_guard_quarantines_total", Type: "Counter", Text: "Quarantines of requests that crashed a backend server while they ran as suspects.", Since: "0.1"}
	docSuspects    = shuntmetric.Doc{Name: "mulberryshunt_guard_suspects", Type: "Gauge", Text: "Requests that are suspected of crashing backend servers or in quarantine, seen by this VM or heard of.", Since: "0.5"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{docCrashes, docQuarantines, docSuspects}
}

// Config configures a Guard.
type Config struct {
	// Metrics is the set in which the counters are registered. It may be nil.
	Metrics *metrics.Set
	// OnCrash is called after each recorded crash, so that the other VMs can be
	// told at once. It may be nil.
	OnCrash func()
	// OnNews is called when this VM has observed or heard of something that other VMs
	// may not know. It may be nil.
	OnNews func()
	// Random may be nil.
	Random *shuntrandom.Source
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
	if c.OnNews == nil {
		c.OnNews = func() {}
	}
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	g := &Guard{
		onCrash:     c.OnCrash,
		onNews:      c.OnNews,
		random:      c.Random,
		crashes:     shuntmetric.Counter(set, docCrashes, ""),
		quarantines: shuntmetric.Counter(set, docQuarantines, ""),
		suspects:    map[uint64]*suspicion{},
		harmless:    map[uint64]bool{},
		exact:       map[uint64]*exactForm{},

		exactByContent: map[uint64][]*exactForm{},
	}
	shuntmetric.Gauge(set, docSuspects, "", func() float64 { return float64(g.count()) })
	return g
}

// count returns the number of suspects.
func (g *Guard) count() int {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.suspects {
		if !s.expired(now) {
			n++
		}
	}
	return n
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
	if s.remote && !s.quarantined(now) && now.Sub(s.crashedAt) < firstRunWindow {
		return Decision{Refused: shuntoutcome.CrashSuspect}
	}
	return s.beginTrial(now)
}

// beginTrial decides whether a run of the suspect may begin now.
func (s *suspicion) beginTrial(now time.Time) Decision {
	if s.quarantined(now) {
		return Decision{Refused: shuntoutcome.Quarantined}
	}
	if held := s.heldUntil.Sub(now); held > 0 {
		return Decision{Refused: shuntoutcome.CrashSuspect, RetryAfter: held}
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
	fingerprint = g.contentOf(fingerprint)
	s, ok := g.suspects[fingerprint]
	return ok && !s.expired(time.Now())
}

// Suspected returns what is known about a request that is a suspect or in quarantine.
func (g *Guard) Suspected(fingerprint uint64) (Suspicion, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	fingerprint = g.contentOf(fingerprint)
	s, ok := g.suspects[fingerprint]
	if !ok || s.expired(now) {
		return Suspicion{}, false
	}
	return s.export(fingerprint, now), true
}

// QuarantineLeft returns how long the request remains in quarantine; 0 if it is not.
func (g *Guard) QuarantineLeft(fingerprint uint64) time.Duration {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok {
		return max(0, s.quarantineTime()-now.Sub(s.crashedAt))
	}
	return 0
}

// AdmitTrial decides whether a request may run, for a VM that alone runs it while it is a
// suspect. If the decision is Suspect, EndTrial must be called at the end of the run.
func (g *Guard) AdmitTrial(fingerprint uint64) Decision {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.suspects[fingerprint]
	if !ok || s.expired(now) {
		return Decision{}
	}
	return s.beginTrial(now)
}

// EndTrial records the end of a run that AdmitTrial admitted as a suspect. lost is true if
// a server may have run the request and has not answered.
func (g *Guard) EndTrial(fingerprint uint64, lost bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.suspects[fingerprint]; ok {
		s.release()
		if lost {
			s.heldUntil = now.Add(trialHold)
		}
	}
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
	defer g.onNews()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCrash = now
	fingerprint = g.contentOf(fingerprint)
	s := g.getOrCreate(fingerprint, now)
	if s.observedAt.IsZero() || now.Sub(s.observedAt) > episodeTime {
		s.addEpisodes(uint32(g.random.Uint64()))
	}
	s.crashedAt, s.observedAt = now, now
	s.remote = false
	g.changed(fingerprint, s)
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

// makeRoom removes the expired entries and, if the table is still full, the entry with
// the oldest crash, those that are not repeated first.
func (g *Guard) makeRoom(now time.Time) {
	var worst uint64
	var worstEntry *suspicion
	for f, s := range g.suspects {
		if s.expired(now) {
			g.remove(f)
			continue
		}
		if worstEntry == nil || s.dispensableBefore(worstEntry) {
			worst, worstEntry = f, s
		}
	}
	if len(g.suspects) >= maxSuspects {
		g.remove(worst)
	}
}

// dispensableBefore reports whether s should leave a full table before o.
func (s *suspicion) dispensableBefore(o *suspicion) bool {
	if s.repeated() != o.repeated() {
		return o.repeated()
	}
	return s.crashedAt.Before(o.crashedAt)
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

// Export returns up to limit suspects for other VMs. Repeated suspects take up to
// repeatedPart of the places before others. Within each kind, those that have been exported
// least often since they changed come first, so that all have their turn.
func (g *Guard) Export(limit int) []Suspicion { return g.export(limit, math.MaxInt) }

// News returns up to limit suspects that have changed lately, in the order of Export.
func (g *Guard) News(limit int) []Suspicion { return g.export(limit, newsSends) }

// export returns up to limit suspects that have been exported less than maxSends times.
func (g *Guard) export(limit, maxSends int) []Suspicion {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var repeated, single []uint64
	for f, s := range g.suspects {
		switch {
		case s.expired(now) || s.sends >= maxSends:
		case s.repeated():
			repeated = append(repeated, f)
		default:
			single = append(single, f)
		}
	}
	for _, list := range [][]uint64{repeated, single} {
		slices.SortFunc(list, func(a, b uint64) int {
			x, y := g.suspects[a], g.suspects[b]
			return compareTurns(x, x.sends, y, y.sends)
		})
	}
	reserved := max(min(len(repeated), int(math.Ceil(repeatedPart*float64(limit)))), min(len(repeated), limit-len(single)))
	chosen := append(repeated[:reserved:reserved], single...)
	chosen = chosen[:min(len(chosen), limit)]
	out := make([]Suspicion, len(chosen))
	for i, f := range chosen {
		out[i] = g.suspects[f].export(f, now)
		g.suspects[f].sends++
	}
	return out
}

// compareTurns orders suspects that were told so often: those that were told least often
// come first, of these the one with the latest crash.
func compareTurns(x *suspicion, xSends int, y *suspicion, ySends int) int {
	return cmp.Or(cmp.Compare(xSends, ySends), y.crashedAt.Compare(x.crashedAt))
}

func (s *suspicion) export(fingerprint uint64, now time.Time) Suspicion {
	return Suspicion{Fingerprint: fingerprint, Servers: slices.Clone(s.servers), Strikes: s.strikes, Age: now.Sub(s.crashedAt), Episodes: slices.Clone(s.episodes), Observed: !s.observedAt.IsZero()}
}

// Merge adds the suspects that another VM exported. It ignores those that this
// VM knows to be harmless, unless they are in quarantine.
func (g *Guard) Merge(in []Suspicion) {
	now := time.Now()
	news := false
	g.mu.Lock()
	for _, e := range in {
		e.Fingerprint = g.contentOf(e.Fingerprint)
		news = g.mergeReported(e, now) || news
	}
	g.mu.Unlock()
	if news {
		g.onNews()
	}
}

// mergeReported adds one suspect as Merge does, and reports whether that is news.
func (g *Guard) mergeReported(e Suspicion, now time.Time) (news bool) {
	if e.Age < 0 || e.Strikes < 0 || e.Strikes > maxStrikes || len(e.Servers) > maxServersPerEntry || len(e.Episodes) > maxEpisodes {
		return false
	}
	last := now.Add(-e.Age)
	s := suspicion{servers: e.Servers, strikes: e.Strikes, crashedAt: last}
	if s.expired(now) || (g.knownHarmless(e.Fingerprint) && !s.quarantined(now)) {
		return false
	}
	if last.After(g.lastCrash) {
		g.lastCrash = last
	}
	return g.merge(e, last, now)
}

// changed makes a suspicion news for all other VMs.
func (g *Guard) changed(fingerprint uint64, s *suspicion) {
	s.sends, s.olderSends = 0, 0
	for _, f := range g.exactByContent[fingerprint] {
		f.sends = 0
	}
}

// merge adds what another VM knows about one suspect, and reports whether that is news.
func (g *Guard) merge(e Suspicion, last, now time.Time) (news bool) {
	known, ok := g.suspects[e.Fingerprint]
	s := g.getOrCreate(e.Fingerprint, now)
	if s != known || !ok {
		s.crashedAt = last
		s.remote = true
		news = true
	}
	for _, v := range e.Servers {
		if !slices.Contains(s.servers, v) && len(s.servers) < maxServersPerEntry {
			s.servers = append(s.servers, v)
		}
	}
	news = s.addEpisodes(e.Episodes...) || e.Strikes > s.strikes || news
	s.strikes = max(s.strikes, e.Strikes)
	if last.After(s.crashedAt) {
		s.crashedAt = last
	}
	if news {
		g.changed(e.Fingerprint, s)
		verbosity := klog.Level(0)
		if !s.repeated() {
			// Many requests are in flight by chance when a zone is lost.
			verbosity = 1
		}
		klog.V(verbosity).InfoS("Request suspected by another VM", "fingerprint", e.Fingerprint, "servers", e.Servers, "strikes", s.strikes, "episodes", len(s.episodes), "age", e.Age.Milliseconds())
	}
	return news
}
