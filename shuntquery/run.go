package shuntquery

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

const (
	// mergeMargin is the time reserved before the deadline to merge replies and
	// return the answer.
	mergeMargin = 3 * time.Millisecond
	// initialHedgeDivisor sets the hedge delay of a service without latency
	// samples: the time left divided by this.
	initialHedgeDivisor = 4
	// A workspace that doesn't wait for all shards gives up a shard that takes
	// longer than stragglerFactor times the service's stragglerQuantile, but
	// not before the query's time divided by stragglerMinDivisor has passed.
	stragglerFactor     = 4
	stragglerMinDivisor = 2
	stragglerQuantile   = 0.99
	// A shard follows at most maxRedirects NotOwner replies, and waits
	// redirectDelay if its owner is unknown.
	maxRedirects  = 3
	redirectDelay = 20 * time.Millisecond
	// maxNetworkDivisor bounds the time reserved for the network round trip:
	// at most the time left divided by this.
	maxNetworkDivisor = 4
	// maxAttempts limits the attempts at one shard, independent of the budgets.
	maxAttempts    = 8
	retryBaseDelay = 10 * time.Millisecond
	// maxOpenAttempts is the maximum number of open attempts at one shard: the
	// first and its hedge. The reply channel has room for all of them, because
	// a reply delivered on the query's own goroutine must not block.
	maxOpenAttempts = 2
	// triedPenalty multiplies the expected latency of servers that were already
	// tried when a hedge is sent.
	triedPenalty = 4.0
	// The hedge quantile starts to rise when the budget falls below
	// lowBudgetRatio, and reaches emptyBudgetQuantile when it is empty.
	emptyBudgetQuantile = 0.98
	lowBudgetRatio      = 0.5
	// probeTimeoutFactor times the hedge delay is how long held shards wait for
	// a probe that neither answers nor crashes its server.
	probeTimeoutFactor = 2
)

// shardState is the state of one shard in a queryRun.
type shardState struct {
	plan     shuntconfig.PlanShard
	done     bool
	failed   bool
	rows     []byte
	attempts int
	open     int
	// isProbe is set on a shard that was sent as a probe.
	isProbe bool
	// mayHaveRun is set once an attempt ended that is not known to be NotRun.
	mayHaveRun bool
	// hedgeDone is set once the hedge was sent or denied, hedged only if it
	// was sent.
	hedgeDone bool
	hedged    bool
	redirects int
	tried     map[string]bool
	reason    shuntoutcome.Reason
	server    string
	owner     string
	startedAt time.Time
	endedAt   time.Time
	hedgeAt   time.Time
	// retryAt is when the scheduled attempt starts; zero means there is none.
	retryAt time.Time
}

// attempt is a sub-request without a reply.
type attempt struct {
	shard  int
	server string
	owner  string
	sentAt time.Time
	batch  shuntowner.PendingBatch
}

// queryRun is the state of a query on one pinned snapshot. Only the query's
// goroutine uses it, except for deliver.
type queryRun struct {
	c           *Coordinator
	tree        *shuntconfig.Tree
	workspace   shuntconfig.Workspace
	snapshot    shuntconfig.PlanSnapshot
	query       Query
	fingerprint uint64
	// suspect is set if servers crashed while running a query with this
	// fingerprint. Owners run such sub-requests one at a time.
	suspect bool
	// While probing, only one shard has an attempt at a time, until one
	// succeeds. heldShards are the shards that wait for it.
	probing    bool
	heldShards []int
	// probeDeadline is when the held shards are sent without waiting longer for
	// the probe, since a slow probe need not mean a crash. It doesn't apply to
	// suspects.
	probeDeadline time.Time
	refusal       shuntoutcome.Reason
	startedAt     time.Time
	deadline      time.Time
	budgets       *budgets

	shards       []shardState
	attempts     map[uint64]*attempt
	lastAttempt  uint64
	pending      int
	replies      chan shuntowner.SubReply
	done         chan struct{}
	answer       Answer
	snapshotGone bool
}

// runOnSnapshot runs q on the snapshot s. It also reports whether the query should
// be restarted on another snapshot.
func (c *Coordinator) runOnSnapshot(ctx context.Context, t *shuntconfig.Tree, w shuntconfig.Workspace, s shuntconfig.PlanSnapshot, q Query, fp uint64, v shuntguard.Decision) (Answer, bool) {
	r := &queryRun{
		c:           c,
		tree:        t,
		workspace:   w,
		snapshot:    s,
		query:       q,
		suspect:     v.Suspect,
		probing:     v.Canary,
		fingerprint: fp,
		deadline:    q.Deadline.Add(-mergeMargin),
		budgets:     c.workspaceBudgets(w.Name),
		shards:      make([]shardState, len(s.Shards)),
		attempts:    make(map[uint64]*attempt, len(s.Shards)),
		pending:     len(s.Shards),
		replies:     make(chan shuntowner.SubReply, maxOpenAttempts*len(s.Shards)),
		done:        make(chan struct{}),
	}
	defer close(r.done)
	for i, h := range s.Shards {
		r.shards[i].plan = h
	}
	r.scatter()
	r.handleEvents(ctx)
	r.cancelOpenAttempts()
	return r.buildAnswer(), r.snapshotGone && r.canRestart()
}

// canRestart reports whether the query may be run again: it is idempotent, or no
// attempt can have run.
func (r *queryRun) canRestart() bool {
	if r.query.Idempotent {
		return true
	}
	for i := range r.shards {
		if r.shards[i].done || r.shards[i].mayHaveRun || r.shards[i].open > 0 {
			return false
		}
	}
	return true
}

// scatter sends the first attempt for every shard, with one batch for each owner.
func (r *queryRun) scatter() {
	now := time.Now()
	r.startedAt = now
	all := make([]int, len(r.shards))
	for i := range r.shards {
		all[i] = i
		r.shards[i].startedAt = now
	}
	r.startAttempts(all, now)
	r.budgets.hedge.Deposit(len(all), r.workspace.HedgeFraction)
	r.budgets.retry.Deposit(len(all), r.workspace.RetryFraction)
	klog.V(1).InfoS("Query sent to shards", "query", r.query.ID, "workspace", r.query.Workspace, "snapshot", r.snapshot.ID, "shards", len(all))
}

// startAttempts starts an attempt for each of the shards, with one batch for each
// owner. While probing, it holds back all shards but one.
func (r *queryRun) startAttempts(shards []int, now time.Time) {
	if r.probing {
		for _, i := range shards {
			r.shards[i].retryAt = time.Time{}
		}
		r.heldShards = append(r.heldShards, shards...)
		shards = r.nextProbe()
	}
	batches := map[string][]shuntowner.SubRequest{}
	for _, i := range shards {
		server, ok := r.chooseReplica(&r.shards[i], now)
		if !ok {
			r.failShard(&r.shards[i], shuntoutcome.NoReplica, now)
			continue
		}
		vm, ok := r.c.config.Router.Route(server.ID())
		if !ok {
			r.shards[i].reason = shuntoutcome.NotOwner
			r.scheduleAttempt(&r.shards[i], redirectDelay, now)
			continue
		}
		batches[vm] = append(batches[vm], r.newAttempt(i, server.ID(), vm, now))
	}
	for vm, rs := range batches {
		r.sendBatch(vm, rs)
	}
}

func (r *queryRun) sendBatch(vm string, rs []shuntowner.SubRequest) {
	b := r.c.config.Sender.Send(vm, rs, r.deliver)
	for _, q := range rs {
		r.attempts[q.Attempt].batch = b
	}
	r.c.config.Metrics.Batches.Inc()
}

// newAttempt registers an attempt and returns its sub-request.
func (r *queryRun) newAttempt(i int, server, vm string, now time.Time) shuntowner.SubRequest {
	h := &r.shards[i]
	r.lastAttempt++
	h.attempts++
	h.open++
	h.server = server
	h.owner = vm
	h.retryAt = time.Time{}
	if h.tried == nil {
		h.tried = make(map[string]bool, 2)
	}
	h.tried[server] = true
	h.hedgeAt = now.Add(r.hedgeDelay(h.plan.Service, now) + r.hedgeNetworkDelay(h, server, now))
	r.attempts[r.lastAttempt] = &attempt{shard: i, server: server, owner: vm, sentAt: now}
	r.answer.Sent++
	r.c.replicas.RecordStart(server)
	klog.V(2).InfoS("Attempt started", "query", r.query.ID, "attempt", r.lastAttempt, "shard", h.plan.Name, "server", server, "owner", vm)
	return shuntowner.SubRequest{
		Query:    r.query.ID,
		Attempt:  r.lastAttempt,
		Server:   server,
		Shard:    h.plan.Name,
		Snapshot: r.snapshot.ID,
		Class:    r.workspace.Class,
		// The reply still has to travel to this VM before r.deadline.
		Deadline:   r.deadline.Add(-min(r.c.replicas.NetworkTime(server), r.deadline.Sub(now)/maxNetworkDivisor)),
		Idempotent: r.query.Idempotent,
		Suspect:    r.suspect,
		Body:       r.query.Body,
	}
}

// chooseReplica selects a replica that was not tried yet, or any usable one if all
// were tried.
func (r *queryRun) chooseReplica(h *shardState, now time.Time) (shuntconfig.ServerSpec, bool) {
	if h.open > 0 {
		return r.chooseHedge(h, now)
	}
	all := usableReplicas(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now)
	untried := make([]shuntconfig.ServerSpec, 0, len(all))
	for _, p := range all {
		if !h.tried[p.ID()] {
			untried = append(untried, p)
		}
	}
	if len(untried) > 0 {
		all = untried
	}
	if r.c.config.Policy.RandomReplica && len(all) > 0 {
		return all[r.c.config.Random.IntN(len(all))], true
	}
	return r.c.replicas.Choose(all, r.c.medianLatency(h.plan.Service), now)
}

// deliver passes a reply to the query's goroutine, or drops it if the run has
// ended. Any goroutine may call it.
func (r *queryRun) deliver(p shuntowner.SubReply) {
	select {
	case r.replies <- p:
	case <-r.done:
		r.c.config.Metrics.LateReplies.Inc()
		r.c.replicas.RecordEnd(p.Server, 0, Load{}, time.Now())
	}
}

// handleEvents handles replies and timers until the run ends.
func (r *queryRun) handleEvents(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for r.pending > 0 {
		now := time.Now()
		next := r.nextEvent(now)
		t.Reset(next.Sub(now))
		select {
		case p := <-r.replies:
			r.handleReply(p, time.Now())
		case <-t.C:
			if !r.handleTimer(time.Now()) {
				return
			}
		case <-ctx.Done():
			return
		}
		if r.snapshotGone && r.canRestart() {
			return
		}
	}
}

// nextEvent returns when handleTimer has to be called next.
func (r *queryRun) nextEvent(now time.Time) time.Time {
	at := r.deadline
	for i := range r.shards {
		h := &r.shards[i]
		if h.done || h.failed {
			continue
		}
		if !h.retryAt.IsZero() && h.retryAt.Before(at) {
			at = h.retryAt
		}
		if r.mayHedge(h) && h.hedgeAt.Before(at) {
			at = h.hedgeAt
		}
	}
	if p, ok := r.stragglerDeadline(); ok && p.Before(at) {
		at = p
	}
	if p, ok := r.probeTimeout(); ok && p.Before(at) {
		at = p
	}
	if at.Before(now) {
		return now
	}
	return at
}

// handleTimer starts the retries and hedges that are due, and reports whether the
// run continues.
func (r *queryRun) handleTimer(now time.Time) bool {
	if !now.Before(r.deadline) {
		return false
	}
	if p, ok := r.stragglerDeadline(); ok && !now.Before(p) {
		r.failStragglers(now)
		return false
	}
	if p, ok := r.probeTimeout(); ok && !now.Before(p) {
		r.endProbing(now)
	}
	var retry, hedge []int
	for i := range r.shards {
		h := &r.shards[i]
		switch {
		case h.done || h.failed:
		case !h.retryAt.IsZero() && !now.Before(h.retryAt):
			retry = append(retry, i)
		case r.mayHedge(h) && !now.Before(h.hedgeAt):
			h.hedgeDone = true
			if r.takeHedgeToken() {
				h.hedged = true
				hedge = append(hedge, i)
			}
		}
	}
	r.answer.Hedges += len(hedge)
	r.startAttempts(append(retry, hedge...), now)
	return true
}
