package shuntquery

import (
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// reply books a reply.
func (r *run) reply(p shuntowner.SubReply, now time.Time) {
	a, ok := r.attempts[p.Attempt]
	if !ok || p.Query != r.query.ID || p.Server != a.server || p.Shard != r.shards[a.shard].plan.Name {
		r.c.config.Metrics.ForeignReplies.Inc()
		klog.InfoS("Foreign reply dropped", "query", r.query.ID, "got", p.Query, "attempt", p.Attempt, "shard", p.Shard)
		return
	}
	delete(r.attempts, p.Attempt)
	h := &r.shards[a.shard]
	h.open--
	r.observe(a, p, now)
	if h.done || h.failed {
		// Another attempt was faster.
		return
	}
	if p.Outcome == shuntoutcome.Complete && p.Snapshot != r.snapshot.ID {
		p.Outcome, p.Reason = shuntoutcome.Unknown, shuntoutcome.ReplyMismatch
		r.c.config.Metrics.ForeignReplies.Inc()
	}
	if p.Outcome == shuntoutcome.Complete {
		r.succeed(h, a, p, now)
		return
	}
	h.reason = p.Reason
	h.ran = h.ran || p.Outcome == shuntoutcome.Unknown
	if h.open > 0 {
		// The other attempt may still answer.
		return
	}
	r.after(h, a, p, now)
}

// observe keeps what the reply tells of the server.
func (r *run) observe(a *attempt, p shuntowner.SubReply, now time.Time) {
	took := now.Sub(a.sent)
	if p.Outcome == shuntoutcome.Complete && p.Latency > 0 {
		r.c.replicas.RecordNetworkTime(a.server, took-p.Latency)
	}
	at := Load{Requests: p.InFlight, Window: p.Window}
	switch {
	case p.Outcome == shuntoutcome.Complete:
		r.c.latenciesOf(r.shards[a.shard].plan.Service).Add(took)
		r.c.replicas.RecordEnd(a.server, took, at, now)
		return
	case p.Reason == shuntoutcome.Cancelled, p.Reason == shuntoutcome.DeadlinePassed:
		r.c.replicas.RecordAbandoned(a.server, took, at, now)
	default:
		r.c.replicas.RecordEnd(a.server, 0, at, now)
	}
	switch p.Reason {
	case shuntoutcome.SnapshotGone:
		r.c.replicas.RecordSnapshotMissing(a.server, r.snapshot.ID, now)
	case shuntoutcome.ConnectFailed, shuntoutcome.ConnectionLost, shuntoutcome.ServerFault, shuntoutcome.ServerLeaving, shuntoutcome.Shed:
		r.c.replicas.RecordFailure(a.server, now)
	}
	switch {
	case p.Reason == shuntoutcome.PeerLost:
		r.c.config.Router.MarkUnreachable(a.owner)
	case p.Reason == shuntoutcome.NotOwner && p.Owner != "":
		r.c.config.Router.RecordOwner(a.server, p.Owner)
	}
	if p.Crashed {
		r.crashed(a.server, now)
	}
}

func (r *run) succeed(h *shard, a *attempt, p shuntowner.SubReply, now time.Time) {
	h.done = true
	h.rows = p.Rows
	h.server = a.server
	h.owner = a.owner
	h.ended = now
	h.reason = shuntoutcome.None
	r.left--
	r.cancelShard(a.shard)
	if r.probing && h.probe {
		r.probed(now)
	}
}

// after decides what follows an attempt that failed with no other one open.
func (r *run) after(h *shard, a *attempt, p shuntowner.SubReply, now time.Time) {
	notRun := p.Outcome == shuntoutcome.NotRun
	switch {
	case !notRun && !r.query.Idempotent:
		r.fail(h, p.Reason, now)
	case r.refused != shuntoutcome.None:
		r.fail(h, r.refused, now)
	case p.Reason == shuntoutcome.NotOwner && h.redirects < maxRedirects:
		r.redirect(h, a, p, now)
	case p.Reason == shuntoutcome.SnapshotGone:
		r.afterGone(h, now)
	case h.attempts >= maxAttempts:
		r.fail(h, p.Reason, now)
	default:
		r.retry(h, p.Reason, now)
	}
}

// redirect follows the hint of a VM that is not the owner; without a hint it
// waits a moment, since a lease may be on its way from one VM to another.
func (r *run) redirect(h *shard, a *attempt, p shuntowner.SubReply, now time.Time) {
	h.redirects++
	if p.Owner == "" || p.Owner == a.owner {
		delete(h.tried, a.server)
		r.postpone(h, redirectPause, now)
		return
	}
	r.dispatch(p.Owner, []shuntowner.SubRequest{r.begin(a.shard, a.server, p.Owner, now)})
}

// afterGone tries another replica; when none is left that holds the snapshot,
// the query has to start again on another one.
func (r *run) afterGone(h *shard, now time.Time) {
	if len(usable(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now)) == 0 {
		r.gone = true
		r.fail(h, shuntoutcome.SnapshotGone, now)
		return
	}
	r.postpone(h, 0, now)
}

// retry sends the shard again within the budget: at once to a replica not
// tried yet, after a pause to one that was.
func (r *run) retry(h *shard, why shuntoutcome.Reason, now time.Time) {
	if !r.budgets.retry.TryWithdraw() {
		r.c.config.Metrics.RetriesDenied.Inc()
		r.fail(h, why, now)
		return
	}
	r.c.config.Metrics.Retries.Inc()
	r.answer.Retries++
	if r.untried(h, now) {
		r.postpone(h, 0, now)
		return
	}
	// Full jitter keeps the retries of many queries apart.
	r.postpone(h, retryPause+r.c.config.Random.Duration(retryPause<<min(h.attempts, 5)), now)
}

func (r *run) postpone(h *shard, d time.Duration, now time.Time) {
	h.retryAt = now.Add(d)
	if !h.retryAt.Before(r.deadline) {
		r.fail(h, shuntoutcome.DeadlinePassed, now)
	}
}

func (r *run) fail(h *shard, why shuntoutcome.Reason, now time.Time) {
	if h.done || h.failed {
		return
	}
	h.failed = true
	h.reason = why
	h.ended = now
	r.left--
	if r.probing && r.left > 0 {
		r.send(nil, now)
	}
}

func (r *run) cancelShard(i int) {
	if r.shards[i].open == 0 {
		return
	}
	for n, a := range r.attempts {
		if a.shard == i && a.batch != nil {
			a.batch.Cancel(n)
		}
	}
}

// cancelOpen ends all attempts that are still on their way.
func (r *run) cancelOpen() {
	byBatch := map[shuntowner.PendingBatch][]uint64{}
	for n, a := range r.attempts {
		if a.batch != nil {
			byBatch[a.batch] = append(byBatch[a.batch], n)
		}
	}
	for b, ns := range byBatch {
		b.Cancel(ns...)
	}
}
