package shuntowner

import "time"

// Ramp is the cold ramp of one backend server: how many requests it may have
// in flight from its start until it is warm. It starts at what the server is
// published to bear and grows by one step only after time and successes at the
// step. It knows nothing of the network.
type Ramp struct {
	config    RampConfig
	step      int
	since     time.Time
	successes int
}

// RampConfig is what a server's service publishes of its warm-up.
type RampConfig struct {
	// Floor is what the server bears at its start, Ceiling what it bears warm.
	Floor, Ceiling int
	// StepTime and StepRequests are what each step takes; the requests count
	// for each unit of the step.
	StepTime     time.Duration
	StepRequests int
}

// NewRamp returns a ramp at its first step.
func NewRamp(c RampConfig, now time.Time) Ramp {
	return Ramp{config: c, step: c.Floor, since: now}
}

// Limit returns how many requests may be in flight.
func (r Ramp) Limit() int { return r.step }

// Warm reports whether the ramp is at its end.
func (r Ramp) Warm() bool { return r.step >= r.config.Ceiling }

// WithSuccess returns the ramp after a request succeeded.
func (r Ramp) WithSuccess(now time.Time) Ramp {
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

// WithSetback returns the ramp after a shed: half the step, but never less
// than the floor.
func (r Ramp) WithSetback(now time.Time) Ramp {
	r.step = max(r.config.Floor, r.step/2)
	r.successes = 0
	r.since = now
	return r
}
