package shuntcall

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// scatterRoute returns a route over the given number of shards, of which a fifth may be
// missing, with two servers of each shard.
func scatterRoute(shards int) (*shuntroute.Route, map[string]map[string]behavior) {
	route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.8, TopRecords: 3}
	services := map[string]map[string]behavior{}
	for i := range shards {
		shard := fmt.Sprintf("s%03d", i)
		route.Shards = append(route.Shards, shard)
		services[shard] = map[string]behavior{"a": {after: fast}, "b": {after: fast, region: "there"}}
	}
	return route, services
}

// ask sends a query to all shards and returns its answer and duration.
func (w *testCluster) ask(route *shuntroute.Route) (Answer, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	start := time.Now()
	a := w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(start), Start: start})
	return a, time.Since(start)
}

// TestKnownUnservable replays the loss of too many shards under load: once their servers
// are known to be unreachable, queries are refused at once and no other server works in
// vain, until the servers are tried again.
func TestKnownUnservable(t *testing.T) {
	const shards, lost = 10, 3
	route, services := scatterRoute(shards)
	for _, shard := range route.Shards[:lost] {
		services[shard] = map[string]behavior{"a": {unreachable: true}, "b": {unreachable: true, region: "there"}}
	}
	run(t, services, func(t *testing.T, w *testCluster) {
		if a, _ := w.ask(route); a.Status != Faulted {
			t.Errorf("first query: %v, want %v", a.Status, Faulted)
		}
		time.Sleep(fast)
		before := w.total()
		a, took := w.ask(route)
		if a.Status != Refused || a.Missing != shards || took > 0 || w.total() != before {
			t.Errorf("second query: %v after %v, %d requests sent; want %v at once and none", a.Status, took, w.total()-before, Refused)
		}
		for _, shard := range route.Shards[:lost] {
			w.behaviors[shard+"/a"] = behavior{after: fast}
		}
		time.Sleep(time.Second)
		if a, _ := w.ask(route); a.Status != Served || a.Missing > 0 {
			t.Errorf("after the return: %v, %d missing (%s)", a.Status, a.Missing, a.Reason)
		}
	})
}

// TestHedgeByLatency replays the pause of a few servers that usually answer in 10 ms:
// the query doesn't wait for a third of the goal before it asks others.
func TestHedgeByLatency(t *testing.T) {
	const shards, paused = 180, 8
	route, services := scatterRoute(shards)
	run(t, services, func(t *testing.T, w *testCluster) {
		for range 3 {
			w.ask(route)
		}
		for _, shard := range route.Shards[:paused] {
			w.behaviors[shard+"/a"] = behavior{after: 150 * time.Millisecond}
		}
		before := w.total()
		a, took := w.ask(route)
		if a.Status != Served || a.Missing > 0 || took >= time.Duration(hedgeFraction*float64(goal))+fast {
			t.Errorf("%v after %v, %d missing", a.Status, took, a.Missing)
		}
		if n := w.total() - before; n != shards+paused {
			t.Errorf("%d requests sent, want %d", n, shards+paused)
		}
	})
}

// TestHedgeReachable checks that the budget of hedges is not spent on servers that can't
// be reached: a tenth of the shards are slow, and their other servers are down.
func TestHedgeReachable(t *testing.T) {
	const shards, slow, queries = 20, 2, 40
	route, services := scatterRoute(shards)
	for _, shard := range route.Shards[:slow] {
		services[shard] = map[string]behavior{"a": {after: goal / 2}, "b": {unreachable: true, region: "there"}}
	}
	run(t, services, func(t *testing.T, w *testCluster) {
		for range queries {
			w.ask(route)
		}
		allowed := 0
		for w.caller.config.Budget.Allow(route.Shards[0], hedgeReserve) {
			allowed++
		}
		unused := 0
		for w.caller.config.Budget.Allow(route.Shards[slow], hedgeReserve) {
			unused++
		}
		if allowed < unused*3/4 {
			t.Errorf("%d hedges of a slow shard are left of %d", allowed, unused)
		}
	})
}

// TestPanic checks that a panic while one shard is asked costs that shard only.
func TestPanic(t *testing.T) {
	route, services := scatterRoute(10)
	services[route.Shards[0]] = map[string]behavior{"a": {panics: true}, "b": {panics: true, region: "there"}}
	run(t, services, func(t *testing.T, w *testCluster) {
		if a, _ := w.ask(route); a.Status != Served || a.Missing != 1 {
			t.Errorf("%v, %d missing (%s); want %v, 1", a.Status, a.Missing, a.Reason, Served)
		}
	})
}

// TestScatterWithoutMemory checks that a query is refused, and nothing sent, if there is no
// memory for all of its shards.
func TestScatterWithoutMemory(t *testing.T) {
	const shards, limit = 10, 1 << 20
	route, services := scatterRoute(shards)
	cases := map[string]struct {
		left   int64
		status CallStatus
	}{
		"enough":  {shards * shardBytes, Served},
		"too few": {shards*shardBytes - 1, Refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, services, func(t *testing.T, w *testCluster) {
				memory := shuntmemory.New(shuntmemory.Config{Limit: limit})
				others, held := memory.Open(), memory.Open()
				defer others.Close()
				others.Add(limit - c.left)
				request := w.request(time.Now())
				request.Held = held
				a := w.caller.Scatter(t.Context(), Query{Route: route, Table: w.table, Request: request, Start: time.Now()})
				if a.Status != c.status || (a.Status == Refused) != (w.total() == 0) {
					t.Errorf("%v (%s), %d requests sent; want %v", a.Status, a.Reason, w.total(), c.status)
				}
				held.Close()
				if used := memory.Counts().Used; used != limit-c.left {
					t.Errorf("%d bytes are still held", used-(limit-c.left))
				}
			})
		})
	}
}
