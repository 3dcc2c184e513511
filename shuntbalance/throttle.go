package shuntbalance

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// throttleInterval is how often the admitted rate is set anew, and
	// throttlePatience how long few queries are waited for to go by.
	throttleInterval = 100 * time.Millisecond
	throttlePatience = 500 * time.Millisecond
	// throttleSamples is the least number of queries that show how an index is
	// doing, and firstSamples that show an overload while nothing is refused.
	throttleSamples = 3
	firstSamples    = 8
	// drainShare is the part of the measured capacity that is admitted while
	// queries end late, so that the servers' queues empty, and resumeShare the
	// part after that. From there the rate rises by throttleUp an interval, and
	// after plateau intervals by plateauUp more each time, at most by
	// throttleMostUp: slowly near what is known to be too much, fast beyond it.
	drainShare     = 0.4
	resumeShare    = 0.95
	throttleUp     = 0.02
	plateau        = 10
	plateauUp      = 0.03
	throttleMostUp = 0.5
	// capacityWeight is the weight of a new measurement of the capacity.
	capacityWeight = 0.3
	// throttleRelease widens the rate while nothing is refused; throttleFree is
	// the rate from which on everything is admitted.
	throttleRelease = 1.5
	throttleFree    = 4000.0
	// throttleLeast is the least rate, in queries a second.
	throttleLeast = 2.0
	// bucketTime is for how long the rate may be saved up, and bucketLeast the
	// least that the bucket holds.
	bucketTime  = 150 * time.Millisecond
	bucketLeast = 2.0
	// urgentReserve is the part of the bucket that less urgent queries leave, and
	// those that come back.
	urgentReserve = 0.5
	// lateShare is the part of the goal after which a query whose shards have not
	// answered mostly is late.
	lateShare = 0.6
	// overloadShare is the share of queries in an interval that shows an overload.
	overloadShare = 0.5
)

// Throttle bounds the rate of queries to an index when its shards as a whole
// answer too late. It answers load beyond what the backend servers carry: then
// a part of the queries in time is worth more to callers than all of them late.
// Single slow or dead shards don't show here, and must not: fewer queries would
// not make them answer.
type Throttle struct {
	mu      sync.Mutex
	indexes map[string]*throttled
}

type throttled struct {
	rate float64
	// capacity is how many queries a second were answered while there were too
	// many; 0 until then.
	capacity float64
	// draining is true after an interval in which queries ended late.
	draining bool
	// calm counts the intervals since then.
	calm     int
	tokens   float64
	filled   time.Time
	turned   time.Time
	admitted int
	refused  int
	late     int
	// done counts the queries that were answered, of those ended.
	done  int
	ended int
}

// NewThrottle returns a throttle that admits everything.
func NewThrottle() *Throttle { return &Throttle{indexes: map[string]*throttled{}} }

// AdmissionRequest is what a throttle needs to know of a query.
type AdmissionRequest struct {
	// Index names the set of shards.
	Index string
	// Urgent queries go before others.
	Urgent bool
	// Retried queries have been refused before, and can't be answered by their
	// goal any more: serving a new one in time is worth more.
	Retried bool
}

func (t *Throttle) at(index string, now time.Time) *throttled {
	x := t.indexes[index]
	if x == nil {
		x = &throttled{rate: throttleFree, tokens: throttleFree, filled: now, turned: now}
		t.indexes[index] = x
	}
	least := throttleSamples
	if x.rate >= throttleFree {
		least = firstSamples
	}
	if age := now.Sub(x.turned); age >= throttlePatience || (age >= throttleInterval && x.ended >= least) {
		x.turn(index, now, least)
	}
	return x
}

// turn sets the rate by what the last interval showed.
func (x *throttled) turn(index string, now time.Time, samples int) {
	span := now.Sub(x.turned).Seconds()
	before := x.rate
	overloaded := x.ended >= samples && float64(x.late) > overloadShare*float64(x.ended)
	switch {
	case overloaded:
		x.measure(float64(x.done) / span)
		x.rate = max(throttleLeast, drainShare*x.capacity)
		x.calm = 0
	case x.draining:
		x.rate = max(throttleLeast, resumeShare*x.capacity)
	case x.refused > 0:
		x.calm++
		x.rate *= 1 + min(throttleMostUp, throttleUp+plateauUp*float64(max(0, x.calm-plateau)))
	default:
		x.rate = min(throttleFree, x.rate*throttleRelease)
	}
	if x.rate >= throttleFree {
		x.capacity = 0
	}
	x.draining = overloaded
	if x.rate < before || (x.rate >= throttleFree && before < throttleFree) {
		klog.InfoS("Admitted rate changed", "index", index, "rate", x.rate, "before", before, "late", x.late, "ended", x.ended, "admitted", x.admitted, "refused", x.refused)
	}
	x.turned, x.admitted, x.refused, x.late, x.done, x.ended = now, 0, 0, 0, 0, 0
}

// measure takes in how many queries a second were answered while the servers
// had more than enough: that is what they carry.
func (x *throttled) measure(answered float64) {
	if x.capacity == 0 {
		x.capacity = answered
		return
	}
	x.capacity += capacityWeight * (answered - x.capacity)
}

// Admit reports whether the query may run.
func (t *Throttle) Admit(a AdmissionRequest) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.at(a.Index, now)
	size := max(bucketLeast, x.rate*bucketTime.Seconds())
	x.tokens = min(size, x.tokens+x.rate*now.Sub(x.filled).Seconds())
	x.filled = now
	least := 1.0
	if !a.Urgent || a.Retried {
		least = max(least, urgentReserve*size)
	}
	if x.rate < throttleFree && x.tokens < least {
		x.refused++
		return false
	}
	x.tokens--
	x.admitted++
	return true
}

// RecordCompletion books a query. typical is within what time most of its shards had
// answered, 0 where their servers were not busy, and goal the time in which the
// query was to be answered.
func (t *Throttle) RecordCompletion(index string, typical, goal time.Duration, answered bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.at(index, now)
	x.ended++
	if answered {
		x.done++
	}
	if typical > time.Duration(lateShare*float64(goal)) {
		x.late++
	}
}

// Prune forgets indexes that admit everything.
func (t *Throttle) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for index, x := range t.indexes {
		if now.Sub(x.turned) > pruneAfter {
			delete(t.indexes, index)
		}
	}
}
