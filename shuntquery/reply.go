package shuntquery

import (
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// handleReply processes the reply to an attempt. A reply that matches no open
// attempt is dropped.
func (r *queryRun) handleReply(p shuntowner.SubReply, now time.Time) {
	a, ok := r.attempts[p.Attempt]
	if !ok || p.Query != r.query.ID || p.Server != a.server || p.Shard != r.shards[a.shard].plan.Name {
		r.c.config.Metrics.ForeignReplies.Inc()
		klog.InfoS("Dropped reply that matches no open attempt", "query", r.query.ID, "got", p.Query, "attempt", p.Attempt, "shard", p.Shard)
		return
	}
	delete(r.attempts, p.Attempt)
	h := &r.shards[a.shard]
	h.open--
	r.updateStats(a, p, now)
	if h.done || h.failed {
		// The shard was already answered or given up.
		return
	}
	if p.Outcome == shuntoutcome.Complete && p.Snapshot != r.snapshot.ID {
		p.Outcome, p.Reason = shuntoutcome.Unknown, shuntoutcome.ReplyMismatch
		r.c.config.Metrics.ForeignReplies.Inc()
	}
	if p.Outcome == shuntoutcome.Complete {
		r.completeShard(h, a, p, now)
		return
	}
	h.reason = p.Reason
	h.mayHaveRun = h.mayHaveRun || p.Outcome == shuntoutcome.Unknown
	if h.open > 0 {
		// The other attempt may still answer.
		return
	}
	r.handleFailure(h, a, p, now)
}

// updateStats updates server statistics, owner routes and the guard from a reply.
func (r *queryRun) updateStats(a *attempt, p shuntowner.SubReply, now time.Time) {
	elapsed := now.Sub(a.sentAt)
	if p.Outcome == shuntoutcome.Complete && p.Latency > 0 {
		r.c.replicas.RecordNetworkTime(a.server, elapsed-p.Latency)
	}
	load := Load{Requests: p.InFlight, Window: p.Window}
	switch {
	case p.Outcome == shuntoutcome.Complete:
		r.c.serviceLatencies(r.shards[a.shard].plan.Service).Add(elapsed)
		r.c.replicas.RecordEnd(a.server, elapsed, load, now)
		return
	case p.Reason == shuntoutcome.Cancelled, p.Reason == shuntoutcome.DeadlinePassed:
		r.c.replicas.RecordAbandoned(a.server, elapsed, load, now)
	default:
		r.c.replicas.RecordEnd(a.server, 0, load, now)
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
		r.recordCrash(a.server, now)
	}
}

// completeShard stores a shard's rows and cancels its other attempt.
func (r *queryRun) completeShard(h *shardState, a *attempt, p shuntowner.SubReply, now time.Time) {
	h.done = true
	h.rows = p.Rows
	h.server = a.server
	h.owner = a.owner
	h.endedAt = now
	h.reason = shuntoutcome.None
	r.pending--
	r.cancelShardAttempts(a.shard)
	if r.probing && h.isProbe {
		r.endProbing(now)
	}
}

// handleFailure fails or retries a shard after its last open attempt failed.
func (r *queryRun) handleFailure(h *shardState, a *attempt, p shuntowner.SubReply, now time.Time) {
	notRun := p.Outcome == shuntoutcome.NotRun
	switch {
	case !notRun && !r.query.Idempotent:
		r.failShard(h, p.Reason, now)
	case r.refusal != shuntoutcome.None:
		r.failShard(h, r.refusal, now)
	case p.Reason == shuntoutcome.NotOwner && h.redirects < maxRedirects:
		r.redirect(h, a, p, now)
	case p.Reason == shuntoutcome.SnapshotGone:
		r.handleSnapshotGone(h, now)
	case h.attempts >= maxAttempts:
		r.failShard(h, p.Reason, now)
	default:
		r.retry(h, p.Reason, now)
	}
}

// redirect sends the attempt to the owner that a VM without the lease named. If it
// named no other VM, the attempt is repeated after redirectDelay, because the
// lease may be moving from one VM to another.
func (r *queryRun) redirect(h *shardState, a *attempt, p shuntowner.SubReply, now time.Time) {
	h.redirects++
	if p.Owner == "" || p.Owner == a.owner {
		delete(h.tried, a.server)
		r.scheduleAttempt(h, redirectDelay, now)
		return
	}
	r.sendBatch(p.Owner, []shuntowner.SubRequest{r.newAttempt(a.shard, a.server, p.Owner, now)})
}

// handleSnapshotGone tries another replica. If no usable replica has the snapshot,
// the shard fails and the query may be restarted on another snapshot.
func (r *queryRun) handleSnapshotGone(h *shardState, now time.Time) {
	if len(usableReplicas(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now)) == 0 {
		r.snapshotGone = true
		r.failShard(h, shuntoutcome.SnapshotGone, now)
		return
	}
	r.scheduleAttempt(h, 0, now)
}

// retry schedules another attempt if the retry budget permits it: at once if a
// usable replica was not tried yet, otherwise after a backoff.
func (r *queryRun) retry(h *shardState, reason shuntoutcome.Reason, now time.Time) {
	if !r.budgets.retry.TryWithdraw() {
		r.c.config.Metrics.RetriesDenied.Inc()
		r.failShard(h, reason, now)
		return
	}
	r.c.config.Metrics.Retries.Inc()
	r.answer.Retries++
	if r.hasUntriedReplica(h, now) {
		r.scheduleAttempt(h, 0, now)
		return
	}
	// Random jitter spreads the retries of many queries over time.
	r.scheduleAttempt(h, retryBaseDelay+r.c.config.Random.Duration(retryBaseDelay<<min(h.attempts, 5)), now)
}

// scheduleAttempt schedules an attempt after delay, or fails the shard if the
// deadline comes first.
func (r *queryRun) scheduleAttempt(h *shardState, delay time.Duration, now time.Time) {
	h.retryAt = now.Add(delay)
	if !h.retryAt.Before(r.deadline) {
		r.failShard(h, shuntoutcome.DeadlinePassed, now)
	}
}

// failShard gives up a shard. While probing, it lets the next probe start.
func (r *queryRun) failShard(h *shardState, reason shuntoutcome.Reason, now time.Time) {
	if h.done || h.failed {
		return
	}
	h.failed = true
	h.reason = reason
	h.endedAt = now
	r.pending--
	if r.probing && r.pending > 0 {
		r.startAttempts(nil, now)
	}
}

func (r *queryRun) cancelShardAttempts(i int) {
	if r.shards[i].open == 0 {
		return
	}
	for n, a := range r.attempts {
		if a.shard == i && a.batch != nil {
			a.batch.Cancel(n)
		}
	}
}

// cancelOpenAttempts cancels all attempts without a reply.
func (r *queryRun) cancelOpenAttempts() {
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
