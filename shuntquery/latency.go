package shuntquery

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketsPerOctave gives steps of 9% from the lowest bound up, about
	// half of that in error.
	bucketsPerOctave = 8
	lowestLatency    = 100 * time.Microsecond
	latencyOctaves   = 20
	latencyBuckets   = bucketsPerOctave * latencyOctaves
	// latencyWindow is when the older half of the samples is halved away.
	latencyWindow = 512
	minSamples    = 20
)

// LatencyHistogram is a moving histogram of one service's latencies. An entry holds
// one for each service; at 640 bytes it is far smaller than a general-purpose
// histogram of the same range, and thousands fit.
type LatencyHistogram struct {
	mu     sync.Mutex
	counts [latencyBuckets]uint32
	total  uint32
}

// Add books one latency. After each window of samples all counts are halved,
// so that the quantiles follow the service.
func (l *LatencyHistogram) Add(d time.Duration) {
	b := bucket(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[b]++
	l.total++
	if l.total < 2*latencyWindow {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// Quantile returns the quantile q, between the bounds of its bucket by share,
// and false while there are too few samples.
func (l *LatencyHistogram) Quantile(q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total < minSamples {
		return 0, false
	}
	want := q * float64(l.total)
	seen := 0.0
	for i, n := range l.counts {
		c := float64(n)
		if c > 0 && seen+c >= want {
			low := upper(i - 1)
			return low + time.Duration(float64(upper(i)-low)*(want-seen)/c), true
		}
		seen += c
	}
	return upper(latencyBuckets - 1), true
}

func bucket(d time.Duration) int {
	if d <= lowestLatency {
		return 0
	}
	i := int(bucketsPerOctave * math.Log2(float64(d)/float64(lowestLatency)))
	return min(i+1, latencyBuckets-1)
}

func upper(i int) time.Duration {
	return time.Duration(float64(lowestLatency) * math.Exp2(float64(i)/bucketsPerOctave))
}
