package shuntquery

import (
	"math"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	replicaAlpha = 0.2
	// forgetting is the time in which what was seen of a server loses half of
	// its weight, so that a server once slow is tried again.
	forgetting = 10 * time.Second
	// firstLatency is what a server without samples is taken to need while
	// nothing is known of its service.
	firstLatency = 20 * time.Millisecond
	failureCost  = 200 * time.Millisecond
	// choiceExponent: of two servers, one with twice the expected time is
	// chosen two to this power less often.
	choiceExponent = 2
	// goneTime is how long a server is taken to lack a snapshot after it said so.
	goneTime = time.Second
)

// replicaStats is what this VM itself saw of one server.
type replicaStats struct {
	latency  float64
	seen     time.Time
	inFlight int
	// network is the time on the way to the owner and back, in seconds.
	network float64
	// load and window are what the owner reported last: requests in flight or
	// queued there, and how many may be in flight.
	load   int
	window int
	gone   map[shuntconfig.SnapshotID]time.Time
}

// ReplicaTracker holds what this VM saw of the backend servers, and chooses by it.
type ReplicaTracker struct {
	random *shuntrandom.Source

	mu    sync.Mutex
	stats map[string]*replicaStats
}

// NewReplicaTracker returns Replicas that have seen nothing.
func NewReplicaTracker(random *shuntrandom.Source) *ReplicaTracker {
	return &ReplicaTracker{random: random, stats: map[string]*replicaStats{}}
}

func (p *ReplicaTracker) get(id string) *replicaStats {
	s, ok := p.stats[id]
	if !ok {
		// A server not seen yet may be cold.
		s = &replicaStats{window: 1}
		p.stats[id] = s
	}
	return s
}

// score estimates how long a new request would take, in seconds, at a service
// that usually takes typical. A latency seen long ago counts less; what is
// unknown is taken as usual.
func (s *replicaStats) score(typical float64, now time.Time) float64 {
	l := typical
	if s.latency > 0 {
		age := now.Sub(s.seen).Seconds() / forgetting.Seconds()
		weight := math.Exp2(-age)
		l = weight*s.latency + (1-weight)*min(s.latency, typical)
	}
	// The request waits for those before it that exceed the window. The load
	// that was reported holds this VM's own requests too.
	ahead := float64(1+max(s.inFlight, s.load)) / float64(max(1, s.window))
	return l * max(1, ahead)
}

// Load is an owner's report of a server. A Window of 0 reports nothing.
type Load struct {
	Requests int
	Window   int
}

// RecordStart books an attempt.
func (p *ReplicaTracker) RecordStart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(id).inFlight++
}

// RecordNetworkTime books the time that a reply and its request spent on the way.
func (p *ReplicaTracker) RecordNetworkTime(id string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.network += replicaAlpha * (max(0, d.Seconds()) - s.network)
}

// NetworkTime returns the usual time to a server's owner and back.
func (p *ReplicaTracker) NetworkTime(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.get(id).network * float64(time.Second))
}

// RecordAbandoned books an attempt that was cancelled or ran out of time: the server
// needs at least that long, and one such sample is enough to believe it.
func (p *ReplicaTracker) RecordAbandoned(id string, atLeast time.Duration, at Load, now time.Time) {
	p.RecordEnd(id, 0, at, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.latency = max(s.latency, atLeast.Seconds())
	s.seen = now
}

// RecordEnd books the end of an attempt. A latency of 0 says nothing of the
// server's speed.
func (p *ReplicaTracker) RecordEnd(id string, latency time.Duration, at Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.inFlight = max(0, s.inFlight-1)
	if at.Window > 0 {
		s.load, s.window = at.Requests, at.Window
	}
	if latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency.Seconds()
	}
	s.latency += replicaAlpha * (latency.Seconds() - s.latency)
	s.seen = now
}

// RecordFailure books a failure, so that the server is avoided for a while.
func (p *ReplicaTracker) RecordFailure(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	s.latency = max(s.latency, failureCost.Seconds())
	s.seen = now
}

// RecordSnapshotMissing books that a server lacks a snapshot.
func (p *ReplicaTracker) RecordSnapshotMissing(id string, snap shuntconfig.SnapshotID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(id)
	if s.gone == nil {
		s.gone = map[shuntconfig.SnapshotID]time.Time{}
	}
	for id, t := range s.gone {
		if now.Sub(t) > goneTime {
			delete(s.gone, id)
		}
	}
	s.gone[snap] = now
}

// LacksSnapshot says whether a server said lately that it lacks a snapshot.
func (p *ReplicaTracker) LacksSnapshot(id string, snap shuntconfig.SnapshotID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.stats[id]
	if !ok {
		return false
	}
	t, ok := s.gone[snap]
	return ok && now.Sub(t) <= goneTime
}

// Choose returns one of two random candidates, the one with the shorter
// expected time more likely by far; false when there are none. What a VM knows
// of a server's load is as old as the last reply: were the better one taken
// each time, all VMs would turn to the same server at once.
func (p *ReplicaTracker) Choose(candidates []shuntconfig.ServerPlace, typical time.Duration, now time.Time) (shuntconfig.ServerPlace, bool) {
	switch len(candidates) {
	case 0:
		return shuntconfig.ServerPlace{}, false
	case 1:
		return candidates[0], true
	}
	i := p.random.Below(len(candidates))
	j := p.random.Below(len(candidates) - 1)
	if j >= i {
		j++
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, b := candidates[i], candidates[j]
	t := typical.Seconds()
	x := math.Pow(p.get(a.ID()).score(t, now), choiceExponent)
	y := math.Pow(p.get(b.ID()).score(t, now), choiceExponent)
	if p.random.Float64()*(x+y) < x {
		return b, true
	}
	return a, true
}

// Best returns the candidate with the least expected time, each multiplied by
// its penalty; false when there are none.
func (p *ReplicaTracker) Best(candidates []shuntconfig.ServerPlace, penalty func(id string) float64, typical time.Duration, now time.Time) (shuntconfig.ServerPlace, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	least := math.Inf(1)
	for i, c := range candidates {
		if s := p.get(c.ID()).score(typical.Seconds(), now) * penalty(c.ID()); s < least {
			best, least = i, s
		}
	}
	if best < 0 {
		return shuntconfig.ServerPlace{}, false
	}
	return candidates[best], true
}

// RemoveUnlisted forgets the servers that are not in t.
func (p *ReplicaTracker) RemoveUnlisted(t *shuntconfig.Tree) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.stats {
		if _, ok := t.Server(id); !ok {
			delete(p.stats, id)
		}
	}
}
