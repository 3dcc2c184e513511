package shuntowner

import "time"

// WarmUp limits the number of requests in flight on one backend server from the
// start of its process until it is warm. The limit starts at what the service
// publishes for cold servers. It grows by one when both a minimum time has passed
// and a minimum number of requests has succeeded since the previous step.
type WarmUp struct {
	config    WarmUpConfig
	step      int
	stepStart time.Time
	successes int
}

// WarmUpConfig holds the warm-up parameters of a service.
type WarmUpConfig struct {
	// InitialLimit is the limit of a cold server, FullLimit that of a warm one.
	InitialLimit, FullLimit int
	// StepTime is the minimum duration of a step. A step also takes StepRequests
	// successful requests for each request that the current limit allows.
	StepTime     time.Duration
	StepRequests int
}

// NewWarmUp returns a WarmUp at its initial limit.
func NewWarmUp(c WarmUpConfig, now time.Time) WarmUp {
	return WarmUp{config: c, step: c.InitialLimit, stepStart: now}
}

// Limit returns the maximum number of requests in flight.
func (w WarmUp) Limit() int { return w.step }

// Warm reports whether the warm-up is complete.
func (w WarmUp) Warm() bool { return w.step >= w.config.FullLimit }

// WithSuccess returns the state after a successful request.
func (w WarmUp) WithSuccess(now time.Time) WarmUp {
	if w.Warm() {
		return w
	}
	w.successes++
	if w.successes < w.config.StepRequests*w.step || now.Sub(w.stepStart) < w.config.StepTime {
		return w
	}
	w.step++
	w.successes = 0
	w.stepStart = now
	return w
}

// WithShed returns the state after the server shed a request. The limit is
// halved, but not below the initial limit.
func (w WarmUp) WithShed(now time.Time) WarmUp {
	w.step = max(w.config.InitialLimit, w.step/2)
	w.successes = 0
	w.stepStart = now
	return w
}
