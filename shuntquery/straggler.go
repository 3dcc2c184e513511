package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// patience is when an answer by deadline may leave without its stragglers.
func (r *run) patience() (time.Time, bool) {
	if r.workspace.WaitForAll || r.left == 0 || !r.query.Idempotent {
		return time.Time{}, false
	}
	answered := len(r.shards) - r.left
	if answered == 0 || float64(answered) < r.workspace.MinimumCoverage*float64(len(r.shards)) {
		return time.Time{}, false
	}
	at := r.began.Add(r.deadline.Sub(r.began) / stragglerShare)
	for i := range r.shards {
		h := &r.shards[i]
		if h.done || h.failed {
			continue
		}
		q, ok := r.c.latenciesOf(h.plan.Service).Quantile(stragglerQuantile)
		if !ok {
			return time.Time{}, false
		}
		if e := h.began.Add(stragglerFactor * q); e.After(at) {
			at = e
		}
	}
	return at, true
}

// leaveStragglers gives up the shards that are still open.
func (r *run) leaveStragglers(now time.Time) {
	for i := range r.shards {
		r.fail(&r.shards[i], shuntoutcome.Straggler, now)
	}
}
