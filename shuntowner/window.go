package shuntowner

import "time"

const (
	// queueShare is the part of a server's slots that may wait in the server
	// itself, so that a slot that comes free finds work at once.
	queueShareNumerator   = 1
	queueShareDenominator = 2
	// shedPause is the least time between two cuts of a window: the sheds of
	// one burst are one signal.
	shedPause = 50 * time.Millisecond
	// latencyCutRatio is how far the recent latency may stand above the best
	// before the window stops growing and shrinks.
	latencyCutRatio = 3.0
	latencyAlpha    = 0.1
	// baselineDrift lets the best latency rise slowly, so that a server that
	// grew slower for good is not held down for ever.
	baselineDrift = 1.0005
)

// Window is the adaptive limit on the requests that a warm backend server has
// in flight: additive increase while it is full and healthy, a cut when the
// server sheds or its latency says that requests queue inside it.
type Window struct {
	ceiling  int
	limit    float64
	lastCut  time.Time
	recent   float64
	baseline float64
}

// MaxInFlight returns the most requests that a server with slots may have in flight.
func MaxInFlight(slots int) int {
	return slots + (slots*queueShareNumerator+queueShareDenominator-1)/queueShareDenominator
}

// NewWindow returns a window for a server with slots, at the number of slots.
func NewWindow(slots int) Window {
	return Window{ceiling: MaxInFlight(slots), limit: float64(slots)}
}

// Limit returns how many requests may be in flight.
func (w Window) Limit() int { return max(1, int(w.limit)) }

// WithSuccess returns the window after a request succeeded with the given
// latency while inFlight requests, itself included, were in flight.
func (w Window) WithSuccess(latency time.Duration, inFlight int, now time.Time) Window {
	l := latency.Seconds()
	if w.recent == 0 {
		w.recent, w.baseline = l, l
	}
	w.recent += latencyAlpha * (l - w.recent)
	w.baseline = min(w.baseline*baselineDrift, w.recent)
	if w.recent > latencyCutRatio*w.baseline {
		return w.cut(now)
	}
	if inFlight >= w.Limit() {
		w.limit = min(float64(w.ceiling), w.limit+1/w.limit)
	}
	return w
}

// WithShed returns the window after the server refused a request.
func (w Window) WithShed(now time.Time) Window { return w.cut(now) }

func (w Window) cut(now time.Time) Window {
	if now.Sub(w.lastCut) < shedPause {
		return w
	}
	w.lastCut = now
	w.limit = max(1, w.limit-1)
	return w
}
