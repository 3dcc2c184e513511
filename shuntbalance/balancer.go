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
	// forgetTime is the half-life of what was measured of a server that gets
	// no requests, so that a slow or failing one is tried again.
	forgetTime = 1500 * time.Millisecond
	// priorLatency is expected of a server that was never measured.
	priorLatency = 8 * time.Millisecond
	// farLatency is added to the prior for a server in another region, and
	// farBias always: bytes between regions are dear.
	farLatency = 16 * time.Millisecond
	farBias    = 4 * time.Millisecond
	// failurePenalty is the expected cost of a certain failure.
	failurePenalty = 200 * time.Millisecond
	// downFirst and downMost bound the pause after which a server that can't be
	// reached is tried again; it doubles with each failure.
	downFirst = 200 * time.Millisecond
	downMost  = 1600 * time.Millisecond
	// pruneAfter is when the record of a server without requests is dropped.
	pruneAfter = 2 * time.Minute
)

// BalancerConfig is what a Board is made of.
type BalancerConfig struct {
	// Region is that of this VM.
	Region string
}

// Balancer is what one VM has seen of the backend servers. It answers load that
// meets servers which pause, slow down or fail while they still look healthy:
// the oldest open request shows a stall before any average does.
type Balancer struct {
	config BalancerConfig

	mu      sync.Mutex
	servers map[Incarnation]*record
}

// Incarnation is one life of a backend server.
type Incarnation struct {
	ID          string
	StartMillis int64
}

// IncarnationOf returns the identity of s.
func IncarnationOf(s shuntroute.Server) Incarnation { return Incarnation{s.ID, s.StartMillis} }

type record struct {
	// open holds the start of each open attempt, oldest first.
	open     []*Attempt
	latency  time.Duration
	failures float64
	seen     time.Time
	// downUntil is when an unreachable server is tried again.
	downUntil time.Time
	downPause time.Duration
	// gone: another server has the address.
	gone bool
}

// Attempt is an open attempt at a server.
type Attempt struct {
	started time.Time
	record  *record
}

// Started returns when the attempt began.
func (a *Attempt) Started() time.Time { return a.started }

// NewBalancer returns an empty board.
func NewBalancer(c BalancerConfig) *Balancer {
	return &Balancer{config: c, servers: map[Incarnation]*record{}}
}

func (b *Balancer) record(s shuntroute.Server) *record {
	key := IncarnationOf(s)
	r := b.servers[key]
	if r == nil {
		r = &record{latency: b.prior(s), seen: time.Now()}
		b.servers[key] = r
	}
	return r
}

func (b *Balancer) prior(s shuntroute.Server) time.Duration {
	if s.Region != b.config.Region {
		return priorLatency + farLatency
	}
	return priorLatency
}

// Begin books an attempt at s.
func (b *Balancer) Begin(s shuntroute.Server) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(s)
	a := &Attempt{started: time.Now(), record: r}
	r.open = append(r.open, a)
	return a
}

// Result is how an attempt ended, as far as the server is concerned.
type Result int

// The results of attempts.
const (
	// Success: a whole answer.
	Success Result = iota
	// Failed: an error, a refusal or a broken answer.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// AddressReused: another server has the address.
	AddressReused
	// Abandoned: this VM gave up waiting.
	Abandoned
	// Inconclusive: the attempt says nothing of the server.
	Inconclusive
)

// End books the end of a.
func (b *Balancer) End(s shuntroute.Server, a *Attempt, result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := a.record
	for i, o := range r.open {
		if o == a {
			r.open = append(r.open[:i], r.open[i+1:]...)
			break
		}
	}
	now := time.Now()
	b.fade(s, r, now)
	r.seen = now
	took := now.Sub(a.started)
	switch result {
	case Success:
		r.sample(took, 0)
		r.downPause = 0
		r.downUntil = time.Time{}
	case Failed:
		r.sample(max(took, r.latency), 1)
	case Abandoned:
		if took > r.latency {
			r.sample(took, 0)
		}
	case Unreachable:
		r.sample(r.latency, 1)
		r.downPause = min(max(downFirst, 2*r.downPause), downMost)
		r.downUntil = now.Add(r.downPause)
		klog.InfoS("Backend server not reached", "server", s.ID, "service", s.Service, "after", took.Milliseconds(), "pause", r.downPause.Milliseconds())
	case AddressReused:
		r.gone = true
		klog.InfoS("Backend server's address belongs to another", "server", s.ID, "service", s.Service, "address", s.Address)
	}
}

func (r *record) sample(took time.Duration, failure float64) {
	r.latency += time.Duration(averageWeight * float64(took-r.latency))
	r.failures += averageWeight * (failure - r.failures)
}

// fade lets what was measured long ago fall back to what is expected.
func (b *Balancer) fade(s shuntroute.Server, r *record, now time.Time) {
	age := now.Sub(r.seen)
	if age <= 0 {
		return
	}
	keep := math.Exp2(-float64(age) / float64(forgetTime))
	prior := b.prior(s)
	r.latency = prior + time.Duration(float64(r.latency-prior)*keep)
	r.failures *= keep
	r.seen = now
}

// ChooseOptions is what a chooser needs to know of a request.
type ChooseOptions struct {
	// Exclude are servers that are not to be chosen again.
	Exclude []Incarnation
}

func (c ChooseOptions) tried(s shuntroute.Server) bool {
	for _, t := range c.Exclude {
		if t == IncarnationOf(s) {
			return true
		}
	}
	return false
}

// Choose returns the server from which an answer is expected first. Servers
// that look bad are a last choice, never none: all of a shard may look bad. It
// returns false only where every server is tried or gone.
func (b *Balancer) Choose(servers []shuntroute.Server, c ChooseOptions) (shuntroute.Server, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var best shuntroute.Server
	bestScore := time.Duration(math.MaxInt64)
	for _, s := range servers {
		if c.tried(s) {
			continue
		}
		r := b.record(s)
		if r.gone {
			continue
		}
		score := b.score(s, r, now)
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best, bestScore < math.MaxInt64
}

// lapsedPenalty makes a server whose entry is gone a last choice; downPenalty
// one that could not be reached.
const (
	lapsedPenalty = 2 * time.Second
	downPenalty   = 5 * time.Second
)

// score is the expected time of one more request at s.
func (b *Balancer) score(s shuntroute.Server, r *record, now time.Time) time.Duration {
	keep := 1.0
	if len(r.open) == 0 {
		if age := now.Sub(r.seen); age > 0 {
			keep = math.Exp2(-float64(age) / float64(forgetTime))
		}
	}
	prior := b.prior(s)
	latency := prior + time.Duration(float64(r.latency-prior)*keep)
	expected := latency
	if len(r.open) > 0 {
		expected = max(expected, now.Sub(r.open[0].started))
	}
	expected += latency * time.Duration(len(r.open)) / time.Duration(max(1, s.Slots))
	expected += time.Duration(r.failures * keep * float64(failurePenalty))
	if s.Region != b.config.Region {
		expected += farBias
	}
	if !s.DelistedAt.IsZero() {
		expected += lapsedPenalty
	}
	if now.Before(r.downUntil) {
		expected += downPenalty
	}
	return expected
}

// ExpectedLatency returns the time that one more request at s is expected to take; one
// that could not be reached lately, or that stalls, is expected to take long.
func (b *Balancer) ExpectedLatency(s shuntroute.Server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.score(s, b.record(s), time.Now())
}

// RecentlyUnreachable says whether s could not be reached lately.
func (b *Balancer) RecentlyUnreachable(s shuntroute.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.record(s).downUntil)
}

// Prune drops the records of servers without requests for a long time.
func (b *Balancer) Prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, r := range b.servers {
		if len(r.open) == 0 && now.Sub(r.seen) > pruneAfter {
			delete(b.servers, key)
		}
	}
}
