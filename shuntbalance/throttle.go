package shuntbalance

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// throttleInterval is the minimum time between two adjustments of the admitted
	// rate. After maxThrottleInterval the rate is adjusted even if few queries ended.
	throttleInterval    = 100 * time.Millisecond
	maxThrottleInterval = 500 * time.Millisecond
	// minSamples is the minimum number of queries from which an overload is detected,
	// and minSamplesUnthrottled the minimum while the rate is unlimited.
	minSamples            = 3
	minSamplesUnthrottled = 8
	// drainShare is the fraction of the measured capacity that is admitted while
	// queries are late, so that the servers' queues drain, and resumeShare the
	// fraction after that. The rate then rises by rateIncrease per interval. After
	// slowIncreaseIntervals the step grows by rateIncreaseStep per interval, up to
	// maxRateIncrease: the rate rises slowly near the known limit and faster
	// beyond it.
	drainShare            = 0.4
	resumeShare           = 0.95
	rateIncrease          = 0.02
	slowIncreaseIntervals = 10
	rateIncreaseStep      = 0.03
	maxRateIncrease       = 0.5
	// capacityWeight is the weight of a new measurement of the capacity.
	capacityWeight = 0.3
	// releaseFactor multiplies the rate in each interval without refusals. At
	// unlimitedRate, in queries per second, all queries are admitted.
	releaseFactor = 1.5
	unlimitedRate = 4000.0
	// minRate is the minimum rate, in queries per second.
	minRate = 2.0
	// bucketDuration is the time for which unused rate accumulates in the token
	// bucket, and minBucketSize the minimum size of the bucket.
	bucketDuration = 150 * time.Millisecond
	minBucketSize  = 2.0
	// urgentReserve is the fraction of the bucket that is reserved for urgent queries
	// that are not retried.
	urgentReserve = 0.5
	// lateFraction is the fraction of the latency goal within which most shards must
	// answer; otherwise the query is late.
	lateFraction = 0.6
	// overloadFraction is the fraction of late queries in an interval above which the
	// index is overloaded.
	overloadFraction = 0.5
)

// Throttle limits the rate of queries to an index when its shards as a whole
// answer too late. Beyond the capacity of the backend servers, answering some
// queries in time is worth more to callers than answering all of them late.
// Single slow or failed shards must not reduce the rate, because fewer queries
// would not make them answer.
type Throttle struct {
	mu      sync.Mutex
	indexes map[string]*indexThrottle
}

type indexThrottle struct {
	rate float64
	// capacity is the number of queries per second that were answered under
	// overload; 0 if none has been measured.
	capacity float64
	// draining is true after an interval with an overload.
	draining bool
	// increases counts the gradual rate increases since the last overload.
	increases    int
	tokens       float64
	lastRefill   time.Time
	lastAdjusted time.Time
	admitted     int
	refused      int
	late         int
	// answered counts the ended queries that were answered.
	answered int
	ended    int
}

// NewThrottle returns a throttle that admits all queries.
func NewThrottle() *Throttle { return &Throttle{indexes: map[string]*indexThrottle{}} }

// AdmissionRequest describes a query to be admitted or refused.
type AdmissionRequest struct {
	// Index identifies the set of shards.
	Index string
	// Urgent queries take precedence over others.
	Urgent bool
	// Retried queries have been refused before and can no longer meet their latency
	// goal, so new queries take precedence.
	Retried bool
}

func (t *Throttle) index(index string, now time.Time) *indexThrottle {
	x := t.indexes[index]
	if x == nil {
		x = &indexThrottle{rate: unlimitedRate, tokens: unlimitedRate, lastRefill: now, lastAdjusted: now}
		t.indexes[index] = x
	}
	least := minSamples
	if x.rate >= unlimitedRate {
		least = minSamplesUnthrottled
	}
	if age := now.Sub(x.lastAdjusted); age >= maxThrottleInterval || (age >= throttleInterval && x.ended >= least) {
		x.adjustRate(index, now, least)
	}
	return x
}

// adjustRate sets the rate by the results of the last interval.
func (x *indexThrottle) adjustRate(index string, now time.Time, samples int) {
	span := now.Sub(x.lastAdjusted).Seconds()
	before := x.rate
	overloaded := x.ended >= samples && float64(x.late) > overloadFraction*float64(x.ended)
	switch {
	case overloaded:
		x.updateCapacity(float64(x.answered) / span)
		x.rate = max(minRate, drainShare*x.capacity)
		x.increases = 0
	case x.draining:
		x.rate = max(minRate, resumeShare*x.capacity)
	case x.refused > 0:
		x.increases++
		x.rate *= 1 + min(maxRateIncrease, rateIncrease+rateIncreaseStep*float64(max(0, x.increases-slowIncreaseIntervals)))
	default:
		x.rate = min(unlimitedRate, x.rate*releaseFactor)
	}
	if x.rate >= unlimitedRate {
		x.capacity = 0
	}
	x.draining = overloaded
	if x.rate < before || (x.rate >= unlimitedRate && before < unlimitedRate) {
		klog.InfoS("Admitted rate changed", "index", index, "rate", x.rate, "before", before, "late", x.late, "ended", x.ended, "admitted", x.admitted, "refused", x.refused)
	}
	x.lastAdjusted, x.admitted, x.refused, x.late, x.answered, x.ended = now, 0, 0, 0, 0, 0
}

// updateCapacity updates the capacity with the rate of answers during an overload,
// which is the most that the servers can handle.
func (x *indexThrottle) updateCapacity(answered float64) {
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
	x := t.index(a.Index, now)
	size := max(minBucketSize, x.rate*bucketDuration.Seconds())
	x.tokens = min(size, x.tokens+x.rate*now.Sub(x.lastRefill).Seconds())
	x.lastRefill = now
	least := 1.0
	if !a.Urgent || a.Retried {
		least = max(least, urgentReserve*size)
	}
	if x.rate < unlimitedRate && x.tokens < least {
		x.refused++
		return false
	}
	x.tokens--
	x.admitted++
	return true
}

// RecordCompletion records the end of a query. typical is the time within which
// most of its shards answered, or 0 if their servers were not busy. goal is the
// query's latency goal.
func (t *Throttle) RecordCompletion(index string, typical, goal time.Duration, answered bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.index(index, now)
	x.ended++
	if answered {
		x.answered++
	}
	if typical > time.Duration(lateFraction*float64(goal)) {
		x.late++
	}
}

// Prune removes indexes whose rate has not been adjusted for a long time.
func (t *Throttle) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for index, x := range t.indexes {
		if now.Sub(x.lastAdjusted) > pruneAfter {
			delete(t.indexes, index)
		}
	}
}
