package shuntbalance

import (
	"math"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.2
	// decayHalfLife is the half-life of the measurements of a server without
	// requests, so that a slow or failing server is eventually tried again.
	decayHalfLife = 1500 * time.Millisecond
	// initialLatency is the expected latency of a server without measurements.
	initialLatency = 8 * time.Millisecond
	// remoteRegionLatency is added to the initial latency of a server in another
	// region. remoteRegionPenalty is always added to its expected latency, because
	// traffic between regions is expensive.
	remoteRegionLatency = 16 * time.Millisecond
	remoteRegionPenalty = 4 * time.Millisecond
	// failurePenalty is the cost of an attempt that is certain to fail.
	failurePenalty = 200 * time.Millisecond
	// minConnectBackoff and maxConnectBackoff bound the time after which an
	// unreachable server is tried again. The time doubles with each failure.
	minConnectBackoff = 200 * time.Millisecond
	maxConnectBackoff = 1600 * time.Millisecond
	// pruneAfter is how long statistics are kept without an update.
	pruneAfter = 2 * time.Minute
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	// Region is the region of this VM.
	Region string
}

// Balancer chooses servers by the latencies and failures that this VM has
// observed. It also avoids servers that stall, slow down or fail while they still
// look healthy: the age of the oldest open request shows a stall before any
// average does.
type Balancer struct {
	config BalancerConfig

	mu      sync.Mutex
	servers map[Incarnation]*serverStats
	// answeredAt is when any server last answered.
	answeredAt time.Time
}

// Incarnation identifies one process lifetime of a backend server.
type Incarnation struct {
	ID          string
	StartMillis int64
}

// IncarnationOf returns the incarnation of s.
func IncarnationOf(s shuntroute.Server) Incarnation { return Incarnation{s.ID, s.StartMillis} }

type serverStats struct {
	// open holds the open attempts, oldest first.
	open       []*Attempt
	latency    time.Duration
	failures   float64
	lastUpdate time.Time
	// answeredAt is when the server last answered.
	answeredAt time.Time
	// unreachableAt is when the last connection failed, and unreachableUntil when the
	// server is tried again.
	unreachableAt    time.Time
	unreachableUntil time.Time
	connectBackoff   time.Duration
	// addressReused is set if another server has the address.
	addressReused bool
}

// Attempt is an open attempt at a server.
type Attempt struct {
	started time.Time
	stats   *serverStats
}

// Started returns when the attempt began.
func (a *Attempt) Started() time.Time { return a.started }

// NewBalancer returns a balancer without measurements.
func NewBalancer(c BalancerConfig) *Balancer {
	return &Balancer{config: c, servers: map[Incarnation]*serverStats{}}
}

func (b *Balancer) stats(s shuntroute.Server) *serverStats {
	key := IncarnationOf(s)
	r := b.servers[key]
	if r == nil {
		r = &serverStats{latency: b.initialLatencyOf(s), lastUpdate: time.Now()}
		b.servers[key] = r
	}
	return r
}

func (b *Balancer) initialLatencyOf(s shuntroute.Server) time.Duration {
	if s.Region != b.config.Region {
		return initialLatency + remoteRegionLatency
	}
	return initialLatency
}

// Begin records the start of an attempt at s.
func (b *Balancer) Begin(s shuntroute.Server) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.stats(s)
	a := &Attempt{started: time.Now(), stats: r}
	r.open = append(r.open, a)
	return a
}

// Result classifies the end of an attempt by what it says about the server.
type Result int

// The results of attempts.
const (
	// Success means that a complete answer arrived.
	Success Result = iota
	// Failed means an error response, a refusal or an incomplete answer.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// AddressReused means that another server has the address.
	AddressReused
	// Abandoned means that this VM stopped waiting for the answer.
	Abandoned
	// Inconclusive means that the attempt says nothing about the server.
	Inconclusive
)

// End records the end of attempt a.
func (b *Balancer) End(s shuntroute.Server, a *Attempt, result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := a.stats
	for i, o := range r.open {
		if o == a {
			r.open = append(r.open[:i], r.open[i+1:]...)
			break
		}
	}
	now := time.Now()
	b.decay(s, r, now)
	r.lastUpdate = now
	took := now.Sub(a.started)
	switch result {
	case Success:
		r.addSample(took, 0)
		r.answeredAt, b.answeredAt = now, now
		r.connectBackoff = 0
		r.unreachableAt, r.unreachableUntil = time.Time{}, time.Time{}
	case Failed:
		r.addSample(max(took, r.latency), 1)
	case Abandoned:
		if took > r.latency {
			r.addSample(took, 0)
		}
	case Unreachable:
		r.addSample(r.latency, 1)
		r.setUnreachable(now)
		klog.InfoS("Backend server not reached", "server", s.ID, "service", s.Service, "after", took.Milliseconds(), "pause", r.connectBackoff.Milliseconds())
	case AddressReused:
		r.addressReused = true
		klog.InfoS("Backend server's address belongs to another server", "server", s.ID, "service", s.Service, "address", s.Address)
	}
}

// RecordConnection records whether a connection to s could be opened without a request.
func (b *Balancer) RecordConnection(s shuntroute.Server, ok bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.stats(s)
	if !ok {
		r.setUnreachable(now)
		return
	}
	r.connectBackoff = 0
	r.unreachableAt, r.unreachableUntil = time.Time{}, time.Time{}
}

// setUnreachable records that a connection failed.
func (r *serverStats) setUnreachable(now time.Time) {
	r.connectBackoff = min(max(minConnectBackoff, 2*r.connectBackoff), maxConnectBackoff)
	r.unreachableAt, r.unreachableUntil = now, now.Add(r.connectBackoff)
}

func (r *serverStats) addSample(took time.Duration, failure float64) {
	r.latency += time.Duration(averageWeight * float64(took-r.latency))
	r.failures += averageWeight * (failure - r.failures)
}

// decay moves old measurements towards the initial values.
func (b *Balancer) decay(s shuntroute.Server, r *serverStats, now time.Time) {
	age := now.Sub(r.lastUpdate)
	if age <= 0 {
		return
	}
	keep := math.Exp2(-float64(age) / float64(decayHalfLife))
	prior := b.initialLatencyOf(s)
	r.latency = prior + time.Duration(float64(r.latency-prior)*keep)
	r.failures *= keep
	r.lastUpdate = now
}

// ChooseOptions restricts the choice of a server.
type ChooseOptions struct {
	// Exclude lists servers that must not be chosen.
	Exclude []Incarnation
	// Reachable excludes servers that were recently unreachable.
	Reachable bool
}

func (c ChooseOptions) excludes(s shuntroute.Server) bool {
	for _, t := range c.Exclude {
		if t == IncarnationOf(s) {
			return true
		}
	}
	return false
}

// Choose returns the server with the lowest expected latency. Unhealthy servers
// are a last resort and not ruled out unless c says so, because all servers of a
// shard may look unhealthy. It returns false if every server is excluded or has lost
// its address to another server.
func (b *Balancer) Choose(servers []shuntroute.Server, c ChooseOptions) (shuntroute.Server, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var best shuntroute.Server
	bestLatency := time.Duration(math.MaxInt64)
	for _, s := range servers {
		if c.excludes(s) {
			continue
		}
		r := b.stats(s)
		if r.addressReused || (c.Reachable && now.Before(r.unreachableUntil)) {
			continue
		}
		latency := b.expectedLatency(s, r, now)
		if latency < bestLatency {
			best, bestLatency = s, latency
		}
	}
	return best, bestLatency < math.MaxInt64
}

// delistedPenalty makes a server whose entry has been removed a last resort, and
// unreachablePenalty does so for a server that could not be reached.
const (
	delistedPenalty    = 2 * time.Second
	unreachablePenalty = 5 * time.Second
)

// expectedLatency returns the expected latency of one more request at s, including
// penalties.
func (b *Balancer) expectedLatency(s shuntroute.Server, r *serverStats, now time.Time) time.Duration {
	keep := 1.0
	if len(r.open) == 0 {
		if age := now.Sub(r.lastUpdate); age > 0 {
			keep = math.Exp2(-float64(age) / float64(decayHalfLife))
		}
	}
	prior := b.initialLatencyOf(s)
	latency := prior + time.Duration(float64(r.latency-prior)*keep)
	expected := latency
	if len(r.open) > 0 {
		expected = max(expected, now.Sub(r.open[0].started))
	}
	expected += latency * time.Duration(len(r.open)) / time.Duration(max(1, s.Slots))
	expected += time.Duration(r.failures * keep * float64(failurePenalty))
	if s.Region != b.config.Region {
		expected += remoteRegionPenalty
	}
	if !s.DelistedAt.IsZero() {
		expected += delistedPenalty
	}
	if now.Before(r.unreachableUntil) {
		expected += unreachablePenalty
	}
	return expected
}

// TypicalLatency returns the average latency of requests at s, without the effects of
// open requests and failures.
func (b *Balancer) TypicalLatency(s shuntroute.Server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats(s).latency
}

// ExpectedLatency returns the expected latency of one more request at s. It is high
// if s stalls or was recently unreachable.
func (b *Balancer) ExpectedLatency(s shuntroute.Server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expectedLatency(s, b.stats(s), time.Now())
}

// RecentlyUnreachable reports whether the last connection to s failed and its
// backoff has not ended.
func (b *Balancer) RecentlyUnreachable(s shuntroute.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.stats(s).unreachableUntil)
}

// AnsweredAt returns when s last answered a request; zero if that is not known.
func (b *Balancer) AnsweredAt(s shuntroute.Server) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.servers[IncarnationOf(s)]; r != nil {
		return r.answeredAt
	}
	return time.Time{}
}

// LastAnswer returns when any server last answered a request.
func (b *Balancer) LastAnswer() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answeredAt
}

// AllSilent reports whether at least count servers have had a request open for d and no
// server has answered anything since.
func (b *Balancer) AllSilent(count int, d time.Duration) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.answeredAt) < d {
		return false
	}
	for _, r := range b.servers {
		if len(r.open) > 0 && now.Sub(r.open[0].started) >= d {
			count--
		}
	}
	return count <= 0
}

// ForgetFailures forgets that servers failed or could not be reached.
func (b *Balancer) ForgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.servers {
		r.failures, r.connectBackoff = 0, 0
		r.unreachableAt, r.unreachableUntil = time.Time{}, time.Time{}
	}
}

// Unreachable reports whether the last connection to s failed, whenever that was. again is
// true if its backoff has ended; the caller should then connect to it.
func (b *Balancer) Unreachable(s shuntroute.Server) (unreachable, again bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.stats(s)
	if r.unreachableAt.IsZero() {
		return false, false
	}
	now := time.Now()
	again = !now.Before(r.unreachableUntil)
	if again {
		// Until the connection that the caller opens has failed or succeeded.
		r.unreachableUntil = now.Add(r.connectBackoff)
	}
	return true, again
}

// Down reports whether a connection to s failed a moment ago, so that another one
// would fail as well.
func (b *Balancer) Down(s shuntroute.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.stats(s).unreachableAt) < minConnectBackoff
}

// Prune removes the statistics of servers that have had no requests for a long
// time.
func (b *Balancer) Prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, r := range b.servers {
		if len(r.open) == 0 && now.Sub(r.lastUpdate) > pruneAfter {
			delete(b.servers, key)
		}
	}
}
