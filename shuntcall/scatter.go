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
	Urgent   bool
	Returned bool
}

// index names the set of shards.
func (q Query) index() string { return q.Route.Shards[0] }

// Part is one shard's answer.
type Part struct {
	Shard     string
	Signature string
	Body      []byte
}

// Answer is the end of a query.
type Answer struct {
	End   End
	Parts []Part
	// Missing counts the shards left out.
	Missing int
	// Reason says why shards are missing, of the last one.
	Reason   string
	Attempts int
}

type shardEnd struct {
	shard  string
	result Result
}

// Scatter asks one server of each shard. It answers as soon as all are in, or
// shortly before the goal if enough are; after the goal as soon as enough are.
// It answers load in which single shards stall: their part of the answer is
// worth less to the caller than its being in time.
func (c *Caller) Scatter(ctx context.Context, q Query) Answer {
	if !c.config.Throttle.Admit(shuntbalance.Ask{Index: q.index(), Urgent: q.Urgent, Returned: q.Returned}) {
		return Answer{End: Refused, Missing: len(q.Route.Shards), Reason: "the servers carry no more queries"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan shardEnd, len(q.Route.Shards))
	for _, shard := range q.Route.Shards {
		if !c.config.Group.Go(func() { ends <- shardEnd{shard, c.askShard(ctx, q, shard)} }) {
			// Shards before this one may have been asked.
			return Answer{End: Faulted, Missing: len(q.Route.Shards), Reason: "the process is ending"}
		}
	}
	g := gathering{query: q, need: needed(q.Route), open: len(q.Route.Shards)}
	defer func() {
		c.config.Throttle.Ended(q.index(), g.typical(), q.Route.Goal, len(g.parts) >= g.need)
	}()
	goal := time.NewTimer(time.Until(q.Start.Add(q.Route.Goal - answerMargin)))
	defer goal.Stop()
	for !g.complete() {
		select {
		case e := <-ends:
			g.add(c.config.Headers, e)
		case <-goal.C:
			g.late = true
		case <-ctx.Done():
			return g.answer(Expired)
		}
	}
	return g.answer(g.failure())
}

func (c *Caller) askShard(ctx context.Context, q Query, shard string) Result {
	s, ok := q.Table.Service(shard)
	if !ok {
		return Result{End: Refused, Reason: "no such service"}
	}
	return c.Do(ctx, Call{
		Route:       q.Route,
		Service:     s,
		Request:     q.Request,
		Fingerprint: q.Fingerprint,
		Single:      q.Suspect,
		HedgeAfter:  time.Until(q.Start.Add(time.Duration(hedgeFraction * float64(q.Route.Goal)))),
	})
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
	query Query
	need  int
	open  int
	late  bool
	ran   bool
	parts []Part
	// took holds the time of each server that answered, and in when its shard
	// was in, since the query came.
	took     []time.Duration
	in       []time.Duration
	stamps   map[string]bool
	reason   string
	attempts int
}

func (g *gathering) add(h shuntupstream.Headers, e shardEnd) {
	g.open--
	g.attempts += e.result.Attempts
	if e.result.End != Refused {
		g.ran = true
	}
	if e.result.End != Served {
		g.reason = e.shard + ": " + e.result.Reason
		return
	}
	p := Part{Shard: e.shard, Signature: e.result.Reply.Header.Get(h.Signature), Body: e.result.Reply.Body}
	if g.stamps == nil {
		g.stamps = map[string]bool{}
	}
	if g.stamps[p.Signature] {
		g.reason = e.shard + ": the signature belongs to another shard"
		return
	}
	g.stamps[p.Signature] = true
	g.parts = append(g.parts, p)
	g.took = append(g.took, e.result.Took)
	g.in = append(g.in, time.Since(g.query.Start))
}

// typical returns within what time most shards had answered, and 0 where single
// servers were not busy: then shards are missing for another reason than load.
func (g *gathering) typical() time.Duration {
	goal := g.query.Route.Goal
	if len(g.took) == 0 {
		return 0
	}
	slices.Sort(g.took)
	if g.took[len(g.took)/2] < time.Duration(busyShare*float64(goal)) {
		return 0
	}
	if most := int(mostShards * float64(len(g.query.Route.Shards))); most < len(g.in) {
		return g.in[most]
	}
	return goal
}

// complete says whether the query is to be answered now.
func (g *gathering) complete() bool {
	enough := len(g.parts) >= g.need
	return g.open == 0 || (enough && g.late) || len(g.parts)+g.open < g.need
}

// failure is the end of the query where too few shards are in.
func (g *gathering) failure() End {
	if g.ran || g.open > 0 {
		return Faulted
	}
	return Refused
}

func (g *gathering) answer(failure End) Answer {
	a := Answer{End: failure, Missing: len(g.query.Route.Shards) - len(g.parts), Reason: g.reason, Attempts: g.attempts}
	if len(g.parts) >= g.need {
		a.End, a.Parts = Served, g.parts
	}
	return a
}
