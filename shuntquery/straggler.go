package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// stragglerDeadline returns when the query stops waiting for the remaining shards,
// and false if it has to wait until its deadline. The answered shards must reach
// the workspace's MinimumCoverage.
func (r *queryRun) stragglerDeadline() (time.Time, bool) {
	if r.workspace.WaitForAll || r.pending == 0 || !r.query.Idempotent {
		return time.Time{}, false
	}
	answered := len(r.shards) - r.pending
	if answered == 0 || float64(answered) < r.workspace.MinimumCoverage*float64(len(r.shards)) {
		return time.Time{}, false
	}
	at := r.startedAt.Add(r.deadline.Sub(r.startedAt) / stragglerMinDivisor)
	for i := range r.shards {
		h := &r.shards[i]
		if h.done || h.failed {
			continue
		}
		q, ok := r.c.serviceLatencies(h.plan.Service).Quantile(stragglerQuantile)
		if !ok {
			return time.Time{}, false
		}
		if e := h.startedAt.Add(stragglerFactor * q); e.After(at) {
			at = e
		}
	}
	return at, true
}

// failStragglers gives up the shards that have not answered.
func (r *queryRun) failStragglers(now time.Time) {
	for i := range r.shards {
		r.failShard(&r.shards[i], shuntoutcome.Straggler, now)
	}
}
