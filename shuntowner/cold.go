package shuntowner

import "time"

// WarmUp is the cold ramp of one backend server: how many requests it may have
// in flight from its start until it is warm. It starts at what the server is
// published to bear and grows by one step only after time and successes at the
// step. It knows nothing of the network.
type WarmUp struct {
	config    WarmUpConfig
	step      int
	since     time.Time
	successes int
}

// WarmUpConfig is what a server's service publishes of its warm-up.
type WarmUpConfig struct {
	// InitialLimit is what the server bears at its start, Ceiling what it bears warm.
	InitialLimit, FullLimit int
	// StepTime and StepRequests are what each step takes; the requests count
	// for each unit of the step.
	StepTime     time.Duration
	StepRequests int
}

// NewWarmUp returns a ramp at its first step.
func NewWarmUp(c WarmUpConfig, now time.Time) WarmUp {
	return WarmUp{config: c, step: c.InitialLimit, since: now}
}

// Limit returns how many requests may be in flight.
func (r WarmUp) Limit() int { return r.step }

// Warm reports whether the ramp is at its end.
func (r WarmUp) Warm() bool { return r.step >= r.config.FullLimit }

// WithSuccess returns the ramp after a request succeeded.
func (r WarmUp) WithSuccess(now time.Time) WarmUp {
	if r.Warm() {
		return r
	}
	r.successes++
	if r.successes < r.config.StepRequests*r.step || now.Sub(r.since) < r.config.StepTime {
		return r
	}
	r.step++
	r.successes = 0
	r.since = now
	return r
}

// WithShed returns the ramp after a shed: half the step, but never less
// than the floor.
func (r WarmUp) WithShed(now time.Time) WarmUp {
	r.step = max(r.config.InitialLimit, r.step/2)
	r.successes = 0
	r.since = now
	return r
}
