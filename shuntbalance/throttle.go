package shuntbalance

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// throttleInterval is how often the admitted rate is set anew.
	throttleInterval = 200 * time.Millisecond
	// throttleSamples is the least number of queries that show an overload.
	throttleSamples = 3
	// throttleDown and throttleUp change the rate after an interval with and
	// without overload.
	throttleDown = 0.8
	throttleUp   = 1.1
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
	// urgentReserve is the part of the bucket that less urgent queries leave.
	urgentReserve = 0.5
	// returnCredit is how far beyond the bucket queries may go that come back
	// after a refusal.
	returnCredit = 1.0
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
	rate     float64
	tokens   float64
	filled   time.Time
	turned   time.Time
	admitted int
	refused  int
	late     int
	ended    int
}

// NewThrottle returns a throttle that admits everything.
func NewThrottle() *Throttle { return &Throttle{indexes: map[string]*throttled{}} }

// Ask is what a throttle needs to know of a query.
type Ask struct {
	// Index names the set of shards.
	Index string
	// Urgent queries go before others.
	Urgent bool
	// Returned queries have been refused before.
	Returned bool
}

func (t *Throttle) at(index string, now time.Time) *throttled {
	x := t.indexes[index]
	if x == nil {
		x = &throttled{rate: throttleFree, tokens: throttleFree, filled: now, turned: now}
		t.indexes[index] = x
	}
	if now.Sub(x.turned) >= throttleInterval {
		x.turn(index, now)
	}
	return x
}

// turn sets the rate by what the last interval showed.
func (x *throttled) turn(index string, now time.Time) {
	span := now.Sub(x.turned).Seconds()
	before := x.rate
	switch {
	case x.ended >= throttleSamples && float64(x.late) > overloadShare*float64(x.ended):
		x.rate = max(throttleLeast, throttleDown*min(x.rate, float64(x.admitted)/span))
	case x.refused > 0:
		x.rate *= throttleUp
	default:
		x.rate = min(throttleFree, x.rate*throttleRelease)
	}
	if x.rate < before || (x.rate >= throttleFree && before < throttleFree) {
		klog.InfoS("Admitted rate changed", "index", index, "rate", x.rate, "before", before, "late", x.late, "ended", x.ended, "admitted", x.admitted, "refused", x.refused)
	}
	x.turned, x.admitted, x.refused, x.late, x.ended = now, 0, 0, 0, 0
}

// Admit reports whether the query may run.
func (t *Throttle) Admit(a Ask) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.at(a.Index, now)
	size := max(bucketLeast, x.rate*bucketTime.Seconds())
	x.tokens = min(size, x.tokens+x.rate*now.Sub(x.filled).Seconds())
	x.filled = now
	least := 1.0
	switch {
	case a.Returned:
		least -= returnCredit
	case !a.Urgent:
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

// Ended books a query: half is when half of its shards had answered, since it
// came, and goal when it was to be answered.
func (t *Throttle) Ended(index string, half, goal time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.at(index, now)
	x.ended++
	if half > goal/2 {
		x.late++
	}
}

// Overloaded says whether queries to the index are being refused: extra attempts
// would make it worse.
func (t *Throttle) Overloaded(index string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at(index, time.Now()).rate < throttleFree
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
