package shuntcall

import (
	"context"
	"math"
	"slices"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// answerMargin is how long before the goal an answer leaves, so that it is
	// with the caller by then.
	answerMargin = 25 * time.Millisecond
	// hedgeFraction is the part of the goal after which a shard's second server
	// is tried.
	hedgeFraction = 1.0 / 3
)

// Query is a request to all shards of a route.
type Query struct {
	Route   *shuntroute.Route
	Table   *shuntroute.Table
	Request shuntupstream.Request
	// Start is when the request came.
	Start time.Time
	// Fingerprint identifies the content; servers may have died under a Suspect.
	Fingerprint uint64
	Suspect     bool
	// Urgent queries go before others; Returned ones have been refused before.
	Urgent  bool
	Retried bool
}

// index names the set of shards.
func (q Query) index() string { return q.Route.Shards[0] }

// Subset is a part of a query's shards, and when it is answered.
type Subset struct {
	Shards []string
	// MinShards is the least number of shards of an answer, and Due when it leaves if
	// that many are in.
	MinShards int
	Due       time.Time
}

// whole returns all shards of the query as a subset.
func (q Query) whole() Subset {
	return Subset{Shards: q.Route.Shards, MinShards: needed(q.Route), Due: q.Start.Add(q.Route.LatencyGoal - answerMargin)}
}

// Answer is the end of a query.
type Answer struct {
	Status CallStatus
	// Bodies hold the records, and Signatures those of the shards that are in.
	// A body may hold the records of several shards.
	Bodies     [][]byte
	Signatures []string
	// Missing counts the shards left out.
	Missing int
	// MedianLatency is the time of the server in the middle of those that answered, and In
	// when most of the shards that are in were so, since the query came.
	MedianLatency  time.Duration
	CompletionTime time.Duration
	// Reason says why shards are missing, of the last one.
	Reason   string
	Attempts int
}

// arrival is the end of one or several shards.
type arrival struct {
	shards     int
	end        CallStatus
	bodies     [][]byte
	signatures []string
	took       time.Duration
	// in is when the shards were in, since the query came.
	in       time.Duration
	attempts int
	reason   string
}

// Scatter asks one server of each shard. It answers as soon as all are in, or
// shortly before the goal if enough are; after the goal as soon as enough are.
// It answers load in which single shards stall: their part of the answer is
// worth less to the caller than its being in time.
func (c *Caller) Scatter(ctx context.Context, q Query) Answer {
	if !c.config.Throttle.Admit(shuntbalance.AdmissionRequest{Index: q.index(), Urgent: q.Urgent, Retried: q.Retried}) {
		return Answer{Status: Refused, Missing: len(q.Route.Shards), Reason: "the servers carry no more queries"}
	}
	g := newGathering(q, q.whole())
	a := c.gather(ctx, q, g, c.delegation(q))
	c.config.Throttle.RecordCompletion(q.index(), g.typical(), q.Route.LatencyGoal, len(g.signatures) >= g.subset.MinShards)
	return a
}

// Gather asks one server of each shard of the subset, for another VM.
func (c *Caller) Gather(ctx context.Context, q Query, s Subset) Answer {
	return c.gather(ctx, q, newGathering(q, s), delegation{})
}

func (c *Caller) gather(ctx context.Context, q Query, g *gathering, d delegation) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan arrival, len(g.subset.Shards))
	running := true
	if len(d.shards) > 0 {
		running = c.config.Group.Go(func() { c.askDelegate(ctx, q, g.subset, d, ends) })
	}
	for _, shard := range g.subset.Shards {
		if !slices.Contains(d.shards, shard) {
			running = running && c.config.Group.Go(func() { ends <- c.askShard(ctx, q, shard) })
		}
	}
	if !running {
		// Some shards may have been asked.
		return Answer{Status: Faulted, Missing: len(g.subset.Shards), Reason: "the process is ending"}
	}
	due := time.NewTimer(time.Until(g.subset.Due))
	defer due.Stop()
	for !g.complete() {
		select {
		case e := <-ends:
			g.add(e)
		case <-due.C:
			g.late = true
		case <-ctx.Done():
			return g.answer(Expired)
		}
	}
	return g.answer(g.failure())
}

func (c *Caller) askShard(ctx context.Context, q Query, shard string) arrival {
	s, ok := q.Table.Service(shard)
	if !ok {
		return arrival{shards: 1, end: Refused, reason: shard + ": no such service"}
	}
	res := c.Do(ctx, Call{
		Route:        q.Route,
		Service:      s,
		Request:      q.Request,
		Fingerprint:  q.Fingerprint,
		SingleServer: q.Suspect,
		HedgeAfter:   time.Until(q.Start.Add(time.Duration(hedgeFraction * float64(q.Route.LatencyGoal)))),
	})
	out := arrival{shards: 1, end: res.Status, took: res.Latency, in: time.Since(q.Start), attempts: res.Attempts, reason: shard + ": " + res.Reason}
	if res.Status == Served {
		out.bodies = [][]byte{res.Reply.Body}
		out.signatures = []string{res.Reply.Header.Get(c.config.Headers.Signature)}
	}
	return out
}

// needed returns the least number of shards of an answer.
func needed(r *shuntroute.Route) int {
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-1e-9)))
}

// mostShards is the share of shards whose answers show how the index as a whole
// is doing: a quarter may be slow or dead by themselves.
const mostShards = 0.75

// busyShare is the part of the goal that servers take who are busy.
const busyShare = 0.25

// gathering is the state of a running query.
type gathering struct {
	query      Query
	subset     Subset
	open       int
	late       bool
	ran        bool
	bodies     [][]byte
	signatures []string
	known      map[string]bool
	// took holds the time of each server that answered, and in when its shard
	// was in, since the query came.
	took     []time.Duration
	in       []time.Duration
	reason   string
	attempts int
}

func newGathering(q Query, s Subset) *gathering {
	return &gathering{query: q, subset: s, open: len(s.Shards), known: make(map[string]bool, len(s.Shards))}
}

func (g *gathering) add(e arrival) {
	g.open -= e.shards
	g.attempts += e.attempts
	if e.end != Refused {
		g.ran = true
	}
	if e.end != Served || len(e.signatures) < e.shards {
		g.reason = e.reason
	}
	if e.end != Served {
		return
	}
	if slices.ContainsFunc(e.signatures, func(s string) bool { return g.known[s] }) {
		g.reason = "a signature belongs to another shard"
		return
	}
	g.bodies = append(g.bodies, e.bodies...)
	for _, s := range e.signatures {
		g.known[s] = true
		g.signatures = append(g.signatures, s)
		g.took = append(g.took, e.took)
		g.in = append(g.in, e.in)
	}
}

// middle returns the time of the server in the middle of those that answered.
func (g *gathering) middle() time.Duration {
	if len(g.took) == 0 {
		return 0
	}
	slices.Sort(g.took)
	return g.took[len(g.took)/2]
}

// typical returns within what time most shards had answered, and 0 where single
// servers were not busy: then shards are missing for another reason than load.
func (g *gathering) typical() time.Duration {
	goal := g.query.Route.LatencyGoal
	if g.middle() < time.Duration(busyShare*float64(goal)) {
		return 0
	}
	if most := int(mostShards * float64(len(g.subset.Shards))); most < len(g.in) {
		slices.Sort(g.in)
		return g.in[most]
	}
	return goal
}

// mostIn returns when most of those that answered had.
func (g *gathering) mostIn() time.Duration {
	if len(g.in) == 0 {
		return 0
	}
	slices.Sort(g.in)
	return g.in[min(len(g.in)-1, int(mostShards*float64(len(g.in))))]
}

// complete says whether the query is to be answered now.
func (g *gathering) complete() bool {
	enough := len(g.signatures) >= g.subset.MinShards
	return g.open == 0 || (enough && g.late) || len(g.signatures)+g.open < g.subset.MinShards
}

// failure is the end of the query where too few shards are in.
func (g *gathering) failure() CallStatus {
	if g.ran || g.open > 0 {
		return Faulted
	}
	return Refused
}

func (g *gathering) answer(failure CallStatus) Answer {
	a := Answer{Status: failure, Missing: len(g.subset.Shards) - len(g.signatures), MedianLatency: g.middle(), CompletionTime: g.mostIn(), Reason: g.reason, Attempts: g.attempts}
	if len(g.signatures) >= g.subset.MinShards {
		a.Status, a.Bodies, a.Signatures = Served, g.bodies, g.signatures
	}
	return a
}
