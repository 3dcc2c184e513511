package shuntowner

import "time"

const (
	// queueShareNumerator and queueShareDenominator give the fraction of the
	// slots of a server by which the requests in flight may exceed the slots. These
	// requests wait in the server, so that a free slot is used at once.
	queueShareNumerator   = 1
	queueShareDenominator = 2
	// minDecreaseInterval is the minimum time between two decreases of a window.
	// The sheds of one burst thus cause a single decrease.
	minDecreaseInterval = 50 * time.Millisecond
	// maxLatencyRatio is the ratio of the recent latency to the baseline above
	// which the window shrinks.
	maxLatencyRatio = 3.0
	// latencyAlpha is the weight of a new value in the moving average.
	latencyAlpha = 0.1
	// baselineGrowth is the factor by which the baseline may rise with each request,
	// so that the window recovers if a server stays slower permanently.
	baselineGrowth = 1.0005
)

// Window is an adaptive limit on the number of requests in flight on a warm backend
// server. It grows additively while it is fully used. It shrinks when the server
// sheds requests, or when the latency indicates that requests queue inside it.
type Window struct {
	ceiling         int
	limit           float64
	lastDecrease    time.Time
	recentLatency   float64
	baselineLatency float64
}

// MaxInFlight returns the maximum number of requests in flight on a server with the
// given number of slots.
func MaxInFlight(slots int) int {
	return slots + (slots*queueShareNumerator+queueShareDenominator-1)/queueShareDenominator
}

// NewWindow returns a window whose initial limit is the number of slots.
func NewWindow(slots int) Window {
	return Window{ceiling: MaxInFlight(slots), limit: float64(slots)}
}

// Limit returns the maximum number of requests in flight.
func (w Window) Limit() int { return max(1, int(w.limit)) }

// WithSuccess returns the window after a request succeeded. inFlight is the number
// of requests in flight, including this one.
func (w Window) WithSuccess(latency time.Duration, inFlight int, now time.Time) Window {
	l := latency.Seconds()
	if w.recentLatency == 0 {
		w.recentLatency, w.baselineLatency = l, l
	}
	w.recentLatency += latencyAlpha * (l - w.recentLatency)
	w.baselineLatency = min(w.baselineLatency*baselineGrowth, w.recentLatency)
	if w.recentLatency > maxLatencyRatio*w.baselineLatency {
		return w.decrease(now)
	}
	if inFlight >= w.Limit() {
		w.limit = min(float64(w.ceiling), w.limit+1/w.limit)
	}
	return w
}

// WithShed returns the window after the server shed a request.
func (w Window) WithShed(now time.Time) Window { return w.decrease(now) }

func (w Window) decrease(now time.Time) Window {
	if now.Sub(w.lastDecrease) < minDecreaseInterval {
		return w
	}
	w.lastDecrease = now
	w.limit = max(1, w.limit-1)
	return w
}
