package shuntquery

import (
	"math"
	"sync"
	"time"
)

const (
	// Eight buckets per octave are 9% wide, for a quantile error of about
	// half of that.
	bucketsPerOctave = 8
	minLatency       = 100 * time.Microsecond
	latencyOctaves   = 20
	latencyBuckets   = bucketsPerOctave * latencyOctaves
	// halvingInterval is the number of samples between two halvings of the
	// counts.
	halvingInterval = 512
	minSamples      = 20
)

// LatencyHistogram is a histogram of one service's recent latencies with
// exponentially growing buckets. There is one for each service, possibly
// thousands. At 640 bytes it is far smaller than a general-purpose histogram of
// the same range.
type LatencyHistogram struct {
	mu     sync.Mutex
	counts [latencyBuckets]uint32
	total  uint32
}

// Add adds one sample. All counts are halved every halvingInterval samples, so
// that older samples lose weight.
func (l *LatencyHistogram) Add(d time.Duration) {
	b := bucketIndex(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[b]++
	l.total++
	if l.total < 2*halvingInterval {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// Quantile returns the quantile q, interpolated within its bucket, or false if
// there are fewer than minSamples samples.
func (l *LatencyHistogram) Quantile(q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total < minSamples {
		return 0, false
	}
	rank := q * float64(l.total)
	cumulative := 0.0
	for i, n := range l.counts {
		c := float64(n)
		if c > 0 && cumulative+c >= rank {
			low := bucketUpperBound(i - 1)
			return low + time.Duration(float64(bucketUpperBound(i)-low)*(rank-cumulative)/c), true
		}
		cumulative += c
	}
	return bucketUpperBound(latencyBuckets - 1), true
}

func bucketIndex(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	i := int(bucketsPerOctave * math.Log2(float64(d)/float64(minLatency)))
	return min(i+1, latencyBuckets-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(i)/bucketsPerOctave))
}
