package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// chooseHedge selects the replica for a second attempt. It prefers a server that
// was not tried yet, unless that server is expected to be more than triedPenalty
// times slower. In that case the hedge goes to the same server again, on another
// connection.
func (r *queryRun) chooseHedge(h *shardState, now time.Time) (shuntconfig.ServerSpec, bool) {
	all := usableReplicas(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now)
	return r.c.replicas.Best(all, func(id string) float64 {
		if h.tried[id] {
			return triedPenalty
		}
		return 1
	}, r.c.medianLatency(h.plan.Service), now)
}

// hedgeDelay returns how long to wait for a reply before hedging.
func (r *queryRun) hedgeDelay(service string, now time.Time) time.Duration {
	if d := r.c.config.Policy.HedgeDelay; d > 0 {
		return d
	}
	if d, ok := r.c.serviceLatencies(service).Quantile(r.hedgeQuantile()); ok {
		return d
	}
	return r.deadline.Sub(now) / initialHedgeDivisor
}

// hedgeNetworkDelay returns how much later a hedge can be sent because its server
// has a shorter network round trip than the first one. Without this delay, a VM
// close to one of two replicas would hedge most requests to the distant replica
// while their replies are still in transit.
func (r *queryRun) hedgeNetworkDelay(h *shardState, first string, now time.Time) time.Duration {
	second, ok := r.chooseHedge(h, now)
	if !ok {
		return 0
	}
	return max(0, r.c.replicas.NetworkTime(first)-r.c.replicas.NetworkTime(second.ID()))
}

// hedgeQuantile returns the latency quantile at which to hedge. It rises as the
// budget runs low, so that the remaining hedges go to the slowest attempts
// instead of the first ones.
func (r *queryRun) hedgeQuantile() float64 {
	q := r.workspace.HedgeQuantile
	shortage := max(0, 1-r.budgets.hedge.FillRatio()/lowBudgetRatio)
	return q + max(0, emptyBudgetQuantile-q)*shortage
}

// takeHedgeToken takes a token from the hedge budget and reports whether there was
// one.
func (r *queryRun) takeHedgeToken() bool {
	if r.c.config.Policy.UnlimitedHedges || r.budgets.hedge.TryWithdraw() {
		r.c.config.Metrics.Hedges.Inc()
		return true
	}
	r.c.config.Metrics.HedgesDenied.Inc()
	return false
}

// mayHedge reports whether a slow shard may get a second attempt. A shard is
// hedged at most once. Only idempotent queries are hedged, and none that are
// probing or suspected of crashing servers.
func (r *queryRun) mayHedge(h *shardState) bool {
	return !h.hedgeDone && h.open == 1 && r.query.Idempotent && !r.suspect && !r.probing &&
		r.workspace.HedgeFraction > 0 && !r.c.config.Policy.NoHedge
}

// hasUntriedReplica reports whether a usable replica was not tried yet.
func (r *queryRun) hasUntriedReplica(h *shardState, now time.Time) bool {
	for _, p := range usableReplicas(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now) {
		if !h.tried[p.ID()] {
			return true
		}
	}
	return false
}
