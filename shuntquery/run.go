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
	// mergeMargin is kept from the deadline for the merge and the way back.
	mergeMargin = 3 * time.Millisecond
	// firstHedgeShare of the time left is the hedge delay of a service that
	// has no latencies yet.
	firstHedgeShare = 4
	// stragglerFactor: an answer by deadline may leave without shards that
	// take longer than this many times the service's 99th percentile.
	stragglerFactor = 4
	// stragglerShare: it leaves after one part in this many of its time at the
	// soonest, however fast the service is.
	stragglerShare    = 2
	stragglerQuantile = 0.99
	maxRedirects      = 3
	redirectPause     = 20 * time.Millisecond
	// mostNetworkShare: at most one part in this many of the time left is kept
	// for the way there and back, however slow it was of late.
	mostNetworkShare = 4
	// maxAttempts bounds the attempts at one shard, whatever the budgets say.
	maxAttempts = 8
	retryPause  = 10 * time.Millisecond
	// maxOpen is how many attempts at one shard are open at most, the first
	// and its hedge. The reply channel holds that many, so that a reply given
	// on the query's own goroutine never blocks it.
	maxOpen = 2
	// triedPenalty is how many times slower than the server that keeps a shard
	// waiting another one may be, and still get the hedge.
	triedPenalty = 4.0
	// scarceQuantile is the hedge quantile when the budget is empty, and
	// scarceFill how full the budget is when the quantile begins to rise.
	scarceQuantile = 0.98
	scarceFill     = 0.5
	// probeFactor times the hedge delay is how long the others wait for a
	// probe that neither answers nor dies.
	probeFactor = 2
)

// shard is the state of one shard in a run.
type shard struct {
	plan     shuntconfig.PlanShard
	done     bool
	failed   bool
	rows     []byte
	attempts int
	open     int
	// probe marks a shard that was sent to while the content was probed.
	probe bool
	// ran is true once an attempt ended without the certainty that it did not run.
	ran bool
	// hedgeDone: the hedge was sent or denied; hedged: it was sent.
	hedgeDone bool
	hedged    bool
	redirects int
	tried     map[string]bool
	reason    shuntoutcome.Reason
	server    string
	owner     string
	began     time.Time
	ended     time.Time
	hedgeAt   time.Time
	// retryAt is when a postponed attempt is due; zero means none is.
	retryAt time.Time
}

// attempt is one sub-request on its way.
type attempt struct {
	shard  int
	server string
	owner  string
	sent   time.Time
	batch  shuntowner.PendingBatch
}

// run is one query on one pinned snapshot. Only the query's goroutine uses it.
type run struct {
	c         *Coordinator
	tree      *shuntconfig.Tree
	workspace shuntconfig.Workspace
	snapshot  shuntconfig.PlanSnapshot
	query     Query
	print     uint64
	// suspect: servers died under this content; attempts run alone.
	suspect bool
	// probing: one attempt at a time, until one has succeeded. held are the
	// shards that wait for it.
	probing bool
	held    []int
	// probeEnd is when the others go too though the probe has not answered,
	// unless the content is a suspect: slow is not dead.
	probeEnd time.Time
	refused  shuntoutcome.Reason
	began    time.Time
	deadline time.Time
	budgets  *budgets

	shards   []shard
	attempts map[uint64]*attempt
	next     uint64
	left     int
	replies  chan shuntowner.SubReply
	ended    chan struct{}
	answer   Answer
	gone     bool
}

// runOn answers q from the snapshot s. It also reports whether the query
// should start again on another snapshot.
func (c *Coordinator) runOn(ctx context.Context, t *shuntconfig.Tree, w shuntconfig.Workspace, s shuntconfig.PlanSnapshot, q Query, fp uint64, v shuntguard.Decision) (Answer, bool) {
	r := &run{
		c:         c,
		tree:      t,
		workspace: w,
		snapshot:  s,
		query:     q,
		suspect:   v.Suspect,
		probing:   v.Canary,
		print:     fp,
		deadline:  q.Deadline.Add(-mergeMargin),
		budgets:   c.budgetsOf(w.Name),
		shards:    make([]shard, len(s.Shards)),
		attempts:  make(map[uint64]*attempt, len(s.Shards)),
		left:      len(s.Shards),
		replies:   make(chan shuntowner.SubReply, maxOpen*len(s.Shards)),
		ended:     make(chan struct{}),
	}
	defer close(r.ended)
	for i, h := range s.Shards {
		r.shards[i].plan = h
	}
	r.scatter()
	r.loop(ctx)
	r.cancelOpen()
	return r.finish(), r.gone && r.restartable()
}

// restartable says whether nothing forbids to run the query once more.
func (r *run) restartable() bool {
	if r.query.Idempotent {
		return true
	}
	for i := range r.shards {
		if r.shards[i].done || r.shards[i].ran || r.shards[i].open > 0 {
			return false
		}
	}
	return true
}

// scatter sends the first attempt at every shard, one batch to each owner.
func (r *run) scatter() {
	now := time.Now()
	r.began = now
	all := make([]int, len(r.shards))
	for i := range r.shards {
		all[i] = i
		r.shards[i].began = now
	}
	r.send(all, now)
	r.budgets.hedge.Deposit(len(all), r.workspace.HedgeFraction)
	r.budgets.retry.Deposit(len(all), r.workspace.RetryFraction)
	klog.V(1).InfoS("Query scattered", "query", r.query.ID, "workspace", r.query.Workspace, "snapshot", r.snapshot.ID, "shards", len(all))
}

// send starts an attempt at each of the shards, grouped by owner. While the
// content is being probed, all but one of them are held back.
func (r *run) send(shards []int, now time.Time) {
	if r.probing {
		for _, i := range shards {
			r.shards[i].retryAt = time.Time{}
		}
		r.held = append(r.held, shards...)
		shards = r.nextProbe()
	}
	batches := map[string][]shuntowner.SubRequest{}
	for _, i := range shards {
		place, ok := r.choose(&r.shards[i], now)
		if !ok {
			r.fail(&r.shards[i], shuntoutcome.NoReplica, now)
			continue
		}
		vm, ok := r.c.config.Router.Route(place.ID())
		if !ok {
			r.shards[i].reason = shuntoutcome.NotOwner
			r.postpone(&r.shards[i], redirectPause, now)
			continue
		}
		batches[vm] = append(batches[vm], r.begin(i, place.ID(), vm, now))
	}
	for vm, rs := range batches {
		r.dispatch(vm, rs)
	}
}

func (r *run) dispatch(vm string, rs []shuntowner.SubRequest) {
	b := r.c.config.Sender.Send(vm, rs, r.deliver)
	for _, q := range rs {
		r.attempts[q.Attempt].batch = b
	}
	r.c.config.Metrics.Batches.Inc()
}

// begin books an attempt and returns its sub-request.
func (r *run) begin(i int, server, vm string, now time.Time) shuntowner.SubRequest {
	h := &r.shards[i]
	r.next++
	h.attempts++
	h.open++
	h.server = server
	h.owner = vm
	h.retryAt = time.Time{}
	if h.tried == nil {
		h.tried = make(map[string]bool, 2)
	}
	h.tried[server] = true
	h.hedgeAt = now.Add(r.hedgeDelay(h.plan.Service, now) + r.hedgeSlack(h, server, now))
	r.attempts[r.next] = &attempt{shard: i, server: server, owner: vm, sent: now}
	r.answer.Sent++
	r.c.replicas.RecordStart(server)
	klog.V(2).InfoS("Attempt placed", "query", r.query.ID, "attempt", r.next, "shard", h.plan.Name, "server", server, "owner", vm)
	return shuntowner.SubRequest{
		Query:    r.query.ID,
		Attempt:  r.next,
		Server:   server,
		Shard:    h.plan.Name,
		Snapshot: r.snapshot.ID,
		Class:    r.workspace.Class,
		// What comes later would reach this VM too late.
		Deadline:   r.deadline.Add(-min(r.c.replicas.NetworkTime(server), r.deadline.Sub(now)/mostNetworkShare)),
		Idempotent: r.query.Idempotent,
		Suspect:    r.suspect,
		Body:       r.query.Body,
	}
}

// choose picks a replica that was not tried yet, or any when all were.
func (r *run) choose(h *shard, now time.Time) (shuntconfig.ServerPlace, bool) {
	if h.open > 0 {
		return r.chooseHedge(h, now)
	}
	all := usable(r.tree.Fleet(), h.plan, r.snapshot.ID, r.c.replicas, now)
	fresh := make([]shuntconfig.ServerPlace, 0, len(all))
	for _, p := range all {
		if !h.tried[p.ID()] {
			fresh = append(fresh, p)
		}
	}
	if len(fresh) > 0 {
		all = fresh
	}
	if r.c.config.Policy.RandomReplica && len(all) > 0 {
		return all[r.c.config.Random.Below(len(all))], true
	}
	return r.c.replicas.Choose(all, r.c.typical(h.plan.Service), now)
}

// deliver hands a reply to the query's goroutine, or drops it as late.
func (r *run) deliver(p shuntowner.SubReply) {
	select {
	case r.replies <- p:
	case <-r.ended:
		r.c.config.Metrics.LateReplies.Inc()
		r.c.replicas.RecordEnd(p.Server, 0, Load{}, time.Now())
	}
}

// loop handles replies and timers until the run is over.
func (r *run) loop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for r.left > 0 {
		now := time.Now()
		due := r.due(now)
		t.Reset(due.Sub(now))
		select {
		case p := <-r.replies:
			r.reply(p, time.Now())
		case <-t.C:
			if !r.tick(time.Now()) {
				return
			}
		case <-ctx.Done():
			return
		}
		if r.gone && r.restartable() {
			return
		}
	}
}

// due returns when tick has something to do next.
func (r *run) due(now time.Time) time.Time {
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
	if p, ok := r.patience(); ok && p.Before(at) {
		at = p
	}
	if p, ok := r.probeWait(); ok && p.Before(at) {
		at = p
	}
	if at.Before(now) {
		return now
	}
	return at
}

// tick starts what is due and reports whether the run goes on.
func (r *run) tick(now time.Time) bool {
	if !now.Before(r.deadline) {
		return false
	}
	if p, ok := r.patience(); ok && !now.Before(p) {
		r.leaveStragglers(now)
		return false
	}
	if p, ok := r.probeWait(); ok && !now.Before(p) {
		r.probed(now)
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
			if r.takeHedge() {
				h.hedged = true
				hedge = append(hedge, i)
			}
		}
	}
	r.answer.Hedges += len(hedge)
	r.send(append(retry, hedge...), now)
	return true
}
