package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// chooseHedge picks the replica for a second attempt. Another server is better
// than the one that is slow to answer, unless it is known to be slower by far;
// then a second try at the same one, on another connection, is.
func (r *run) chooseHedge(h *shard, now time.Time) (shuntconfig.ServerPlace, bool) {
	all := usable(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now)
	return r.c.replicas.Best(all, func(id string) float64 {
		if h.tried[id] {
			return triedPenalty
		}
		return 1
	}, r.c.typical(h.plan.Service), now)
}

func (r *run) hedgeDelay(service string, now time.Time) time.Duration {
	if d := r.c.config.Policy.HedgeDelay; d > 0 {
		return d
	}
	if d, ok := r.c.latenciesOf(service).Quantile(r.hedgeQuantile()); ok {
		return d
	}
	return r.deadline.Sub(now) / firstHedgeShare
}

// hedgeSlack is how much later a hedge may go because its server is nearer than
// the first one: its answer comes that much sooner. Without it, most hedges of a
// VM near one of two replicas only repeat what is still on its way from afar.
func (r *run) hedgeSlack(h *shard, first string, now time.Time) time.Duration {
	second, ok := r.chooseHedge(h, now)
	if !ok {
		return 0
	}
	return max(0, r.c.replicas.NetworkTime(first)-r.c.replicas.NetworkTime(second.ID()))
}

// hedgeQuantile rises as the budget runs low, so that what is left of it goes
// to the slowest attempts and not to whichever come first.
func (r *run) hedgeQuantile() float64 {
	q := r.workspace.HedgeQuantile
	scarce := max(0, 1-r.budgets.hedge.FillRatio()/scarceFill)
	return q + max(0, scarceQuantile-q)*scarce
}

func (r *run) takeHedge() bool {
	if r.c.config.Policy.UnlimitedHedges || r.budgets.hedge.TryWithdraw() {
		r.c.config.Metrics.Hedges.Inc()
		return true
	}
	r.c.config.Metrics.HedgesDenied.Inc()
	return false
}

// mayHedge says whether a slow shard may get a second attempt: one at most,
// only for idempotent queries, and never for a suspect of crashes.
func (r *run) mayHedge(h *shard) bool {
	return !h.hedgeDone && h.open == 1 && r.query.Idempotent && !r.suspect && !r.probing &&
		r.workspace.HedgeFraction > 0 && !r.c.config.Policy.NoHedge
}

// untried says whether there is a replica that was not tried yet.
func (r *run) untried(h *shard, now time.Time) bool {
	for _, p := range usable(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now) {
		if !h.tried[p.ID()] {
			return true
		}
	}
	return false
}
