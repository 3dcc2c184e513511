package shuntquery

import (
	"math"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	// ewmaWeight is the weight of a new sample in the moving averages.
	ewmaWeight = 0.2
	// latencyHalfLife is the time in which the weight of a server's measured
	// latency halves, so that a server that was slow is tried again.
	latencyHalfLife = 10 * time.Second
	// defaultLatency is the expected latency of a service without samples.
	defaultLatency = 20 * time.Millisecond
	// failureLatency is the minimum latency assumed of a server that failed.
	failureLatency = 200 * time.Millisecond
	// choiceExponent sets how strongly the faster of two servers is preferred.
	// A server with twice the expected latency of the other is chosen
	// 2^choiceExponent times less often.
	choiceExponent = 2
	// snapshotMissingTTL is how long to avoid a server after it reported that
	// it lacks a snapshot.
	snapshotMissingTTL = time.Second
)

// replicaStats holds this VM's measurements of one server, in seconds.
type replicaStats struct {
	latency    float64
	lastSample time.Time
	inFlight   int
	// network is the network round trip to the server's owner.
	network float64
	// load and window come from the owner's last report: the number of
	// requests in flight or queued, and the limit of requests in flight.
	load             int
	window           int
	missingSnapshots map[shuntconfig.SnapshotID]time.Time
}

// ReplicaTracker records latency, load and failures of the backend servers as seen
// by this VM, and selects replicas by expected latency.
type ReplicaTracker struct {
	random *shuntrandom.Source

	mu    sync.Mutex
	stats map[string]*replicaStats
}

// NewReplicaTracker returns a ReplicaTracker without samples.
func NewReplicaTracker(random *shuntrandom.Source) *ReplicaTracker {
	return &ReplicaTracker{random: random, stats: map[string]*replicaStats{}}
}

func (p *ReplicaTracker) get(id string) *replicaStats {
	s, ok := p.stats[id]
	if !ok {
		// An unknown server may be cold, so assume the smallest window.
		s = &replicaStats{window: 1}
		p.stats[id] = s
	}
	return s
}

// expectedSeconds estimates the latency of a new request. The weight of the
// measured latency falls with its age, in favor of the service's typical latency.
// A server without samples gets the typical latency.
func (s *replicaStats) expectedSeconds(typical float64, now time.Time) float64 {
	l := typical
	if s.latency > 0 {
		age := now.Sub(s.lastSample).Seconds() / latencyHalfLife.Seconds()
		weight := math.Exp2(-age)
		l = weight*s.latency + (1-weight)*min(s.latency, typical)
	}
	// The server runs up to window requests at a time, so a new request takes
	// this many rounds. The reported load includes this VM's own requests.
	rounds := float64(1+max(s.inFlight, s.load)) / float64(max(1, s.window))
	return l * max(1, rounds)
}

// Load is a server's load as its owner reports it. A Window of 0 means that there
// is no report.
type Load struct {
	Requests int
	Window   int
}

// RecordStart records the start of an attempt.
func (p *ReplicaTracker) RecordStart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(id).inFlight++
}

// RecordNetworkTime records the network round trip of a request and its reply.
func (p *ReplicaTracker) RecordNetworkTime(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.network += ewmaWeight * (max(0, d.Seconds()) - s.network)
}

// NetworkTime returns the average network round trip to a server's owner.
func (p *ReplicaTracker) NetworkTime(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.get(id).network * float64(time.Second))
}

// RecordAbandoned records an attempt that was cancelled or timed out. The server
// takes at least that long, so a single sample raises the expected latency to it.
func (p *ReplicaTracker) RecordAbandoned(id string, atLeast time.Duration, load Load, now time.Time) {
	p.RecordEnd(id, 0, load, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.latency = max(s.latency, atLeast.Seconds())
	s.lastSample = now
}

// RecordEnd records the end of an attempt. A latency of 0 adds no latency sample.
func (p *ReplicaTracker) RecordEnd(id string, latency time.Duration, load Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.inFlight = max(0, s.inFlight-1)
	if load.Window > 0 {
		s.load, s.window = load.Requests, load.Window
	}
	if latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency.Seconds()
	}
	s.latency += ewmaWeight * (latency.Seconds() - s.latency)
	s.lastSample = now
}

// RecordFailure raises a server's expected latency, so that it is avoided for some
// time.
func (p *ReplicaTracker) RecordFailure(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.latency = max(s.latency, failureLatency.Seconds())
	s.lastSample = now
}

// RecordSnapshotMissing records that a server lacks a snapshot.
func (p *ReplicaTracker) RecordSnapshotMissing(id string, snap shuntconfig.SnapshotID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	if s.missingSnapshots == nil {
		s.missingSnapshots = map[shuntconfig.SnapshotID]time.Time{}
	}
	for id, t := range s.missingSnapshots {
		if now.Sub(t) > snapshotMissingTTL {
			delete(s.missingSnapshots, id)
		}
	}
	s.missingSnapshots[snap] = now
}

// LacksSnapshot reports whether a server lacked a snapshot within the last
// snapshotMissingTTL.
func (p *ReplicaTracker) LacksSnapshot(id string, snap shuntconfig.SnapshotID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.stats[id]
	if !ok {
		return false
	}
	t, ok := s.missingSnapshots[snap]
	return ok && now.Sub(t) <= snapshotMissingTTL
}

// Choose draws two random candidates and returns one of them, the one with the
// lower expected latency with higher probability. It returns false if there are
// no candidates. The better one isn't always taken, because a VM knows a server's
// load only as of the last reply, and all VMs would move to the same server at
// once.
func (p *ReplicaTracker) Choose(candidates []shuntconfig.ServerSpec, typical time.Duration, now time.Time) (shuntconfig.ServerSpec, bool) {
	switch len(candidates) {
	case 0:
		return shuntconfig.ServerSpec{}, false
	case 1:
		return candidates[0], true
	}
	i := p.random.IntN(len(candidates))
	j := p.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, b := candidates[i], candidates[j]
	t := typical.Seconds()
	x := math.Pow(p.get(a.ID()).expectedSeconds(t, now), choiceExponent)
	y := math.Pow(p.get(b.ID()).expectedSeconds(t, now), choiceExponent)
	if p.random.Float64()*(x+y) < x {
		return b, true
	}
	return a, true
}

// Best returns the candidate with the lowest expected latency multiplied by its
// penalty, or false if there are no candidates.
func (p *ReplicaTracker) Best(candidates []shuntconfig.ServerSpec, penalty func(id string) float64, typical time.Duration, now time.Time) (shuntconfig.ServerSpec, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	least := math.Inf(1)
	for i, c := range candidates {
		if s := p.get(c.ID()).expectedSeconds(typical.Seconds(), now) * penalty(c.ID()); s < least {
			best, least = i, s
		}
	}
	if best < 0 {
		return shuntconfig.ServerSpec{}, false
	}
	return candidates[best], true
}

// RemoveUnlisted removes the statistics of servers that are not in t.
func (p *ReplicaTracker) RemoveUnlisted(t *shuntconfig.Tree) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.stats {
		if _, ok := t.Server(id); !ok {
			delete(p.stats, id)
		}
	}
}
