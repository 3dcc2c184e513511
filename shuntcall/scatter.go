package shuntcall

import (
	"context"
	"math"
	"slices"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// answerMargin is how long before the latency goal an answer is sent, so that it
	// reaches the caller in time.
	answerMargin = 25 * time.Millisecond
	// hedgeFraction is the fraction of the latency goal after which a second server of
	// a shard is tried at the latest.
	hedgeFraction = 1.0 / 3
	// shardBytes is the memory that querying a shard takes beside its reply: two goroutines
	// and the request.
	shardBytes = 16 << 10
)

// Query is a request to all shards of a route.
type Query struct {
	Route   *shuntroute.Route
	Table   *shuntroute.Table
	Request shuntupstream.Request
	// Start is when the request arrived.
	Start time.Time
	// Fingerprint identifies the content of the request. Suspect is set if the request
	// may have crashed a server.
	Fingerprint uint64
	Suspect     bool
	// Urgent queries take precedence over others. Retried queries have been refused
	// before.
	Urgent  bool
	Retried bool
}

// index identifies the set of shards.
func (q Query) index() string { return q.Route.Shards[0] }

// Subset is a part of a query's shards with the conditions for answering it.
type Subset struct {
	Shards []string
	// MinShards is the minimum number of shards in an answer. At Due, the answer is
	// sent if that many shards have answered.
	MinShards int
	Due       time.Time
}

// allShards returns all shards of the query as a subset.
func (q Query) allShards() Subset {
	return Subset{Shards: q.Route.Shards, MinShards: minShards(q.Route), Due: q.Start.Add(q.Route.LatencyGoal - answerMargin)}
}

// Answer is the result of a query.
type Answer struct {
	Status CallStatus
	// Bodies hold the records, and Signatures the signatures of the shards that
	// answered. One body may hold the records of several shards.
	Bodies     [][]byte
	Signatures []string
	// Missing is the number of shards that are not part of the answer.
	Missing int
	// MedianLatency is the median latency of the servers that answered.
	// CompletionTime is when three quarters of the shards that answered had done so,
	// measured from the start of the query.
	MedianLatency  time.Duration
	CompletionTime time.Duration
	// Reason is why the last of the missing shards is missing.
	Reason   string
	Attempts int
	// Lost is true if a server may have run the query and has not answered.
	Lost bool
	// Unreachable is true if the query was refused only because this VM does not reach the
	// servers of too many shards. Others may.
	Unreachable bool
	// RetryAt is when a refused query may be answered; zero if that is not known.
	RetryAt time.Time
}

// shardResult is the result of one or several shards.
type shardResult struct {
	shards     int
	status     CallStatus
	bodies     [][]byte
	signatures []string
	latency    time.Duration
	// elapsed is when the shards answered, measured from the start of the query.
	elapsed  time.Duration
	attempts int
	reason   string
	lost     bool
}

// Scatter queries one server of each shard. It answers as soon as all shards have
// answered, or shortly before the latency goal if enough have; after that, as soon
// as enough have. If single shards stall, an answer in time is worth more to the
// caller than a complete one.
func (c *Caller) Scatter(ctx context.Context, q Query) Answer {
	if !c.config.Throttle.Admit(shuntbalance.AdmissionRequest{Index: q.index(), Urgent: q.Urgent, Retried: q.Retried}) {
		return Answer{Status: Refused, Missing: len(q.Route.Shards), Reason: "the servers carry no more queries"}
	}
	g := newQueryState(q, q.allShards())
	if a, ok := c.refuseUnservable(q, g.subset); ok {
		return a
	}
	delegations := c.divide(q)
	if a, ok := reserveShards(q, g.subset, delegations); !ok {
		return a
	}
	if q.Suspect && !c.tryFirstShard(ctx, q, g) {
		return g.answer(g.failure())
	}
	a := c.gather(ctx, q, g, delegations)
	c.config.Throttle.RecordCompletion(q.index(), g.loadTime(), q.Route.LatencyGoal, len(g.signatures) >= g.subset.MinShards)
	return a
}

// tryFirstShard queries a single shard, and reports whether its server answered: a query
// that crashes servers would otherwise cost one of each shard.
func (c *Caller) tryFirstShard(ctx context.Context, q Query, g *queryState) bool {
	isDown := c.isDown(q.index())
	for i, shard := range g.shards {
		if c.stateOf(q.Route, shard, isDown).askable {
			e := c.askShard(ctx, q, g.gate, shard)
			g.add(e)
			g.shards = slices.Delete(slices.Clone(g.shards), i, i+1)
			return e.status == Served
		}
	}
	return false
}

// Gather queries one server of each shard of the subset on behalf of another VM.
func (c *Caller) Gather(ctx context.Context, q Query, s Subset) Answer {
	if a, ok := c.refuseUnservable(q, s); ok {
		return a
	}
	if a, ok := reserveShards(q, s, nil); !ok {
		return a
	}
	return c.gather(ctx, q, newQueryState(q, s), nil)
}

// reserveShards takes the memory for querying the shards that are not delegated. If there is
// none, it returns false and the answer to the query, of which nothing has been sent.
func reserveShards(q Query, s Subset, delegations []delegation) (Answer, bool) {
	shards := len(s.Shards)
	for _, d := range delegations {
		shards -= len(d.shards)
	}
	if err := q.Request.Held.ReserveWork(int64(shards) * shardBytes); err != nil {
		return Answer{Status: Refused, Missing: len(s.Shards), Reason: err.Error()}, false
	}
	return Answer{}, true
}

func (c *Caller) gather(ctx context.Context, q Query, g *queryState, delegations []delegation) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan shardResult, len(g.shards))
	running := true
	delegated := map[string]bool{}
	for _, d := range delegations {
		for _, shard := range d.shards {
			delegated[shard] = true
		}
		running = running && c.config.Group.Go(func() {
			if !shuntgroup.Protect("delegated shards", func() { c.askDelegate(ctx, q, g, d, results) }) {
				results <- shardResult{shards: len(d.shards), status: Faulted, reason: errPanicked.Error()}
			}
		})
	}
	for _, shard := range g.shards {
		if !delegated[shard] {
			running = running && c.config.Group.Go(func() {
				result := shardResult{shards: 1, status: Faulted, reason: errPanicked.Error()}
				shuntgroup.Protect("shard", func() { result = c.askShard(ctx, q, g.gate, shard) })
				results <- result
			})
		}
	}
	if !running {
		// Some shards may have been queried already.
		return Answer{Status: Faulted, Missing: len(g.subset.Shards), Reason: "the process is ending"}
	}
	due := time.NewTimer(time.Until(g.subset.Due))
	defer due.Stop()
	for !g.complete() {
		select {
		case e := <-results:
			g.add(e)
		case <-due.C:
			g.pastDue = true
		case <-ctx.Done():
			return g.answer(Expired)
		}
	}
	return g.answer(g.failure())
}

// refuseUnservable returns the answer to a query that can't be answered because so many
// shards are known to have no server that can be asked now. Sending the other shards'
// requests would be work in vain.
func (c *Caller) refuseUnservable(q Query, s Subset) (Answer, bool) {
	missing, unreachable := 0, 0
	reason := ""
	var times []time.Time
	isDown := c.isDown(q.index())
	for _, shard := range s.Shards {
		state := c.stateOf(q.Route, shard, isDown)
		if state.askable {
			continue
		}
		missing++
		reason = shard + ": no backend server can be asked"
		if state.down {
			unreachable++
		}
		if !state.until.IsZero() {
			times = append(times, state.until)
		}
	}
	lacking := s.MinShards - (len(s.Shards) - missing)
	if lacking <= 0 {
		return Answer{}, false
	}
	c.recordDemand(q, s.Shards)
	out := Answer{Status: Refused, Missing: len(s.Shards), Reason: reason, Unreachable: unreachable >= lacking}
	if len(times) >= lacking {
		slices.SortFunc(times, time.Time.Compare)
		out.RetryAt = times[lacking-1]
	}
	return out, true
}

// recordDemand records that the shards' servers would have been asked but for their
// rate limits, so that this VM claims a larger part of them.
func (c *Caller) recordDemand(q Query, shards []string) {
	for _, shard := range shards {
		for _, v := range c.config.View().Servers(shard) {
			if q.Route.Allows(v.Region) {
				c.config.RateLimiter.Want(v)
			}
		}
	}
}

func (c *Caller) askShard(ctx context.Context, q Query, gate *retryGate, shard string) shardResult {
	s, ok := q.Table.Service(shard)
	if !ok {
		return shardResult{shards: 1, status: Refused, reason: shard + ": no such service"}
	}
	res := c.Do(ctx, Call{
		Route:          q.Route,
		Service:        s,
		Request:        q.Request,
		Fingerprint:    q.Fingerprint,
		SingleServer:   q.Suspect,
		gate:           gate,
		HedgeAfter:     time.Until(q.Start.Add(time.Duration(hedgeFraction * float64(q.Route.LatencyGoal)))),
		HedgeByLatency: true,
	})
	out := shardResult{shards: 1, status: res.Status, lost: res.Lost, latency: res.Latency, elapsed: time.Since(q.Start), attempts: res.Attempts, reason: shard + ": " + res.Reason}
	if res.Status == Served {
		// Until the last shard has answered, only what the answer may need is held.
		kept := keepTopRecords(res.Reply.Body, q.Route.TopRecords)
		q.Request.Held.Add(int64(len(kept)) - res.Reply.Held)
		out.bodies = [][]byte{kept}
		out.signatures = []string{res.Reply.Header.Get(c.config.Headers.Signature)}
	}
	return out
}

// minShards returns the minimum number of shards in an answer.
func minShards(r *shuntroute.Route) int {
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-1e-9)))
}

// completionQuantile is the fraction of shards whose answers show the load of the
// index as a whole. The remaining quarter may be slow or failed for other reasons.
const completionQuantile = 0.75

// busyFraction is the fraction of the latency goal from which on the median latency
// shows that servers are busy.
const busyFraction = 0.25

// queryState is the state of a running query.
type queryState struct {
	query  Query
	subset Subset
	// shards holds the shards that have not been queried yet when gathering begins.
	shards     []string
	open       int
	pastDue    bool
	mayHaveRun bool
	// lost is true if a server may have run the query and has not answered.
	lost bool
	// gate is where shards wait that want to try another server.
	gate           *retryGate
	bodies         [][]byte
	signatures     []string
	seenSignatures map[string]bool
	// latencies holds the latency of each server that answered. answerTimes holds when
	// its shard answered, measured from the start of the query.
	latencies   []time.Duration
	answerTimes []time.Duration
	reason      string
	attempts    int
}

func newQueryState(q Query, s Subset) *queryState {
	gate := newRetryGate(time.Duration(hedgeFraction*float64(q.Route.LatencyGoal)), len(s.Shards))
	return &queryState{query: q, subset: s, shards: s.Shards, gate: gate, open: len(s.Shards), seenSignatures: make(map[string]bool, len(s.Shards))}
}

func (g *queryState) add(e shardResult) {
	g.open -= e.shards
	g.attempts += e.attempts
	if e.status != Refused {
		g.mayHaveRun = true
	}
	g.lost = g.lost || e.lost
	if e.status != Served || len(e.signatures) < e.shards {
		g.reason = e.reason
	}
	if e.status != Served {
		return
	}
	if slices.ContainsFunc(e.signatures, func(s string) bool { return g.seenSignatures[s] }) {
		g.reason = "a signature belongs to another shard"
		return
	}
	g.bodies = append(g.bodies, e.bodies...)
	for _, s := range e.signatures {
		g.seenSignatures[s] = true
		g.signatures = append(g.signatures, s)
		g.latencies = append(g.latencies, e.latency)
		g.answerTimes = append(g.answerTimes, e.elapsed)
	}
}

// medianLatency returns the median latency of the servers that answered.
func (g *queryState) medianLatency() time.Duration {
	if len(g.latencies) == 0 {
		return 0
	}
	slices.Sort(g.latencies)
	return g.latencies[len(g.latencies)/2]
}

// loadTime returns the time within which most shards answered, or 0 if the servers
// were not busy: then shards are missing for another reason than load.
func (g *queryState) loadTime() time.Duration {
	goal := g.query.Route.LatencyGoal
	if g.medianLatency() < time.Duration(busyFraction*float64(goal)) {
		return 0
	}
	if most := int(completionQuantile * float64(len(g.subset.Shards))); most < len(g.answerTimes) {
		slices.Sort(g.answerTimes)
		return g.answerTimes[most]
	}
	return goal
}

// completionTime returns when most of the shards that answered had done so.
func (g *queryState) completionTime() time.Duration {
	if len(g.answerTimes) == 0 {
		return 0
	}
	slices.Sort(g.answerTimes)
	return g.answerTimes[min(len(g.answerTimes)-1, int(completionQuantile*float64(len(g.answerTimes))))]
}

// complete reports whether the query must be answered now.
func (g *queryState) complete() bool {
	enough := len(g.signatures) >= g.subset.MinShards
	return g.open == 0 || (enough && g.pastDue) || len(g.signatures)+g.open < g.subset.MinShards
}

// failure returns the status of the query if too few shards have answered.
func (g *queryState) failure() CallStatus {
	if g.mayHaveRun || g.open > 0 {
		return Faulted
	}
	return Refused
}

func (g *queryState) answer(failure CallStatus) Answer {
	a := Answer{Status: failure, Missing: len(g.subset.Shards) - len(g.signatures), MedianLatency: g.medianLatency(), CompletionTime: g.completionTime(), Reason: g.reason, Attempts: g.attempts, Lost: g.lost || g.open > 0}
	if len(g.signatures) >= g.subset.MinShards {
		a.Status, a.Bodies, a.Signatures = Served, g.bodies, g.signatures
	}
	return a
}
