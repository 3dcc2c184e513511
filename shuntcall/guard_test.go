package shuntcall

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// TestIdentify checks which requests count as repeats of the same one.
func TestIdentify(t *testing.T) {
	base := shuntupstream.Request{Method: "GET", Host: "h", Target: "/a?n=1", Body: []byte("x"), ID: "1"}
	cases := map[string]struct {
		caller string
		change func(r *shuntupstream.Request)
		same   bool
	}{
		"another ID":           {"c", func(r *shuntupstream.Request) { r.ID = "2" }, true},
		"another query string": {"c", func(r *shuntupstream.Request) { r.Target = "/a?n=2" }, true},
		"no query string":      {"c", func(r *shuntupstream.Request) { r.Target = "/a" }, true},
		"another path":         {"c", func(r *shuntupstream.Request) { r.Target = "/b?n=1" }, false},
		"another body":         {"c", func(r *shuntupstream.Request) { r.Body = []byte("y") }, false},
		"another host":         {"c", func(r *shuntupstream.Request) { r.Host = "i" }, false},
		"another method":       {"c", func(r *shuntupstream.Request) { r.Method = "POST" }, true},
		"the host in capitals": {"c", func(r *shuntupstream.Request) { r.Host = "H" }, true},
		"the host with a port": {"c", func(r *shuntupstream.Request) { r.Host = "h:80" }, true},
		"another caller":       {"d", func(*shuntupstream.Request) {}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := base
			c.change(&r)
			if same := Identify("c", base).Content == Identify(c.caller, r).Content; same != c.same {
				t.Errorf("the same request: %v; want %v", same, c.same)
			}
		})
	}
}

// sendGuarded sends a request to the service s, if the guard admits it, and returns what the guard
// decided and how the request ended.
func (w *testCluster) sendGuarded(target string, fingerprint uint64, idempotent bool) (Admission, CallStatus) {
	start := time.Now()
	a, release := w.caller.Admit(shuntguard.Identity{Content: fingerprint}, nil)
	lost := true
	defer func() { release(lost) }()
	if a.Refused != "" {
		return a, Refused
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r := w.request(start)
	r.Target = target
	service, _ := w.table.Service("s")
	route := &shuntroute.Route{Idempotent: idempotent, LatencyGoal: goal, MaxAttempts: 2}
	res := w.caller.Forward(ctx, route, service, r, fingerprint, a.Suspect)
	lost = res.Lost
	if a.Suspect && res.Status == Served {
		w.caller.RecordSuccess(fingerprint)
	}
	return a, res.Status
}

// TestCrashingRequest checks that a request that crashes servers is refused after a few
// crashes, even if its caller keeps sending it, and that other requests are not.
func TestCrashingRequest(t *testing.T) {
	const bad, good = 7, 8
	cases := map[string]struct {
		server     behavior
		idempotent bool
		most       int
	}{
		"servers close connections":       {behavior{after: fast}, true, 3},
		"servers fall silent":             {behavior{after: fast, crashesSilently: true}, true, 3},
		"once, servers close connections": {behavior{after: fast}, false, 2},
		"once, servers fall silent":       {behavior{after: fast, crashesSilently: true}, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			servers := map[string]behavior{}
			for _, s := range []string{"a", "b", "c", "d", "e", "f"} {
				servers[s] = c.server
			}
			run(t, map[string]map[string]behavior{"s": servers}, func(t *testing.T, w *testCluster) {
				for range 10 {
					w.sendGuarded(crashTarget, bad, c.idempotent)
					time.Sleep(time.Second)
					if a, status := w.sendGuarded("/", good, true); a.Refused != "" || status != Served {
						t.Errorf("unrelated request: got %+v, %v; want it served", a, status)
					}
				}
				if w.crashes > c.most {
					t.Errorf("%d servers crashed; want at most %d", w.crashes, c.most)
				}
			})
		})
	}
}

// TestNoCrash checks which losses of responses don't make a request a suspect.
func TestNoCrash(t *testing.T) {
	const fingerprint = 7
	slow := behavior{after: 2 * goal}
	cases := map[string]struct {
		servers map[string]behavior
		// lose makes the response to a request that is being sent get lost.
		lose func(w *testCluster)
	}{
		"a server closes one connection":  {map[string]behavior{"a": {broken: true, after: fast}, "b": {broken: true, after: fast}}, func(*testCluster) {}},
		"a server is slow":                {map[string]behavior{"a": {after: 2 * deadline}, "b": {after: 2 * deadline}}, func(*testCluster) {}},
		"this VM has lost its links":      {map[string]behavior{"a": slow, "b": slow, "c": slow}, func(w *testCluster) { w.setCut(true) }},
		"links are lost for a short time": {map[string]behavior{"a": slow, "b": slow, "c": slow}, func(w *testCluster) { w.setCut(true); time.Sleep(2 * goal); w.setCut(false) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, map[string]map[string]behavior{"s": c.servers}, func(t *testing.T, w *testCluster) {
				w.group.Go(func() { w.sendGuarded("/", fingerprint, true) })
				time.Sleep(fast)
				c.lose(w)
				time.Sleep(2 * time.Second)
				w.setCut(false)
				time.Sleep(time.Second)
				if a, release := w.caller.Admit(shuntguard.Identity{Content: fingerprint}, nil); a.Suspect || a.Refused != "" {
					release(false)
					t.Errorf("got %+v; want it not suspected", a)
				}
			})
		})
	}
}

// TestCrashBesideAnswer checks that an answer that was on its way when its server crashed
// does not clear the other requests that the server was running.
func TestCrashBesideAnswer(t *testing.T) {
	run(t, map[string]map[string]behavior{"s": {"a": {after: fast}, "b": {after: fast}}}, func(t *testing.T, w *testCluster) {
		s := w.view.Servers("s")[0]
		begun := time.Now()
		time.Sleep(fast)
		in := Call{Fingerprint: 7}
		w.crash(s.Address)
		w.caller.detectCrash(t.Context(), in, s, shuntupstream.Outcome{Status: shuntupstream.Broken}, begun)
		w.caller.detectCrash(t.Context(), Call{Fingerprint: 8}, s, shuntupstream.Outcome{Status: shuntupstream.Answered}, begun)
		time.Sleep(time.Second)
		if a, release := w.caller.Admit(shuntguard.Identity{Content: 7}, nil); !a.Suspect {
			t.Errorf("got %+v; want a suspect", a)
		} else {
			release(false)
		}
	})
}

// TestRetriesOfBrokenShards checks what a query does whose servers all break their
// connections: if it crashes them itself, few more servers are lost; if a zone was lost, it
// is answered by the others in time. A few lost answers are made good for at once.
func TestRetriesOfBrokenShards(t *testing.T) {
	const shards = 10
	cases := map[string]struct {
		target string
		first  behavior
		// alone is the number of shards whose second server can't be reached.
		alone  int
		status CallStatus
		most   int
	}{
		"the query crashes servers": {crashTarget, behavior{after: fast}, 0, Faulted, shards + int(gatedFraction*shards)},
		"some are alone":            {crashTarget, behavior{after: 2 * fast}, 5, Faulted, shards + int(gatedFraction*shards)},
		"a zone is lost":            {"/", behavior{broken: true, after: time.Millisecond}, 0, Served, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			services := map[string]map[string]behavior{}
			route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.8, TopRecords: 3}
			for i := range shards {
				name := fmt.Sprintf("s%d", i)
				route.Shards = append(route.Shards, name)
				services[name] = map[string]behavior{"a": c.first, "b": {after: fast, region: "there"}}
				if i < c.alone {
					// These break first.
					services[name] = map[string]behavior{"a": {after: fast}, "b": {unreachable: true, region: "there"}}
				}
			}
			run(t, services, func(t *testing.T, w *testCluster) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				r := w.request(start)
				r.Target = c.target
				a := w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: r, Start: start, Fingerprint: 7})
				if took := time.Since(start); a.Status != c.status || a.Missing > 0 && a.Status == Served || took > goal {
					t.Errorf("ended %v after %v, %d missing (%s); want %v", a.Status, took, a.Missing, a.Reason, c.status)
				}
				if w.crashes > c.most {
					t.Errorf("%d servers crashed; want at most %d", w.crashes, c.most)
				}
			})
		})
	}
}

// TestHarmlessSuspect checks that a request that was in flight by chance when its server
// crashed is served when it comes again, and is no suspect then, also if all shards are
// queried; if a shard is missing whose server may have run it, it stays a suspect.
func TestHarmlessSuspect(t *testing.T) {
	services := map[string]map[string]behavior{"a": {"1": {after: fast}}, "b": {"1": {after: fast}}, "mute": {"1": {responseHangs: true}}}
	cases := map[string]struct {
		shards  []string
		suspect bool
	}{
		"all shards answer": {[]string{"a", "b"}, false},
		"one is mute":       {[]string{"a", "b", "mute"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, services, func(t *testing.T, w *testCluster) {
				const fingerprint = 7
				w.caller.config.Guard.RecordCrash(fingerprint, "gone", false)
				a, release := w.caller.Admit(shuntguard.Identity{Content: fingerprint}, nil)
				if !a.Suspect {
					t.Fatalf("got %+v; want a trial", a)
				}
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.5, TopRecords: 3, Shards: c.shards}
				res := w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(start), Start: start, Fingerprint: fingerprint, Suspect: true})
				if res.Status != Served || res.Lost != c.suspect {
					t.Errorf("ended %v, lost %v (%s)", res.Status, res.Lost, res.Reason)
				}
				if !res.Lost {
					w.caller.RecordSuccess(fingerprint)
				}
				release(res.Lost)
				if a, _ := w.caller.Admit(shuntguard.Identity{Content: fingerprint}, nil); (a.Refused != "") != c.suspect || a.Suspect {
					t.Errorf("next time: got %+v", a)
				}
			})
		})
	}
}

// enterAll has ten shards enter a gate at the same time, and returns how many pass and are
// to decide, and when the last one leaves it.
func enterAll(t *testing.T, g *retryGate, decide func(g *retryGate)) (passed, deciding int, at time.Duration) {
	t.Helper()
	begun := time.Now()
	var mu sync.Mutex
	var group shuntgroup.Group
	for range 10 {
		group.Go(func() {
			decides, ok := g.enter(t.Context())
			mu.Lock()
			defer mu.Unlock()
			at = max(at, time.Since(begun))
			if ok {
				passed++
			}
			if decides {
				deciding++
			}
		})
	}
	time.Sleep(fast)
	decide(g)
	group.Close()
	return passed, deciding, at
}

// TestRetryGate checks which shards of a query may try another server, and when.
func TestRetryGate(t *testing.T) {
	const wait = 30 * time.Millisecond
	cases := map[string]struct {
		shards int
		// decide is called after a while.
		decide func(g *retryGate)
		// passed is the number of 10 shards that get through, deciding the number of those
		// for which others wait, and at when the last does.
		passed, deciding int
		at               time.Duration
	}{
		"the first one is answered":   {10, func(g *retryGate) { g.leave(gateAnswered) }, 10, 1, fast},
		"the first one breaks":        {10, func(g *retryGate) { g.leave(gateBroken) }, 2, 1, fast},
		"the first one takes long":    {10, func(*retryGate) {}, 10, 1, wait},
		"few of many shards":          {100, func(*retryGate) {}, 10, 1, 0},
		"all shards of a small query": {5, func(g *retryGate) { g.leave(gateBroken) }, 1, 1, fast},
		"the first one reaches none":  {10, func(g *retryGate) { g.leave(gateOpen) }, 10, 2, wait},
		"the second one breaks": {10, func(g *retryGate) {
			g.leave(gateOpen)
			time.Sleep(time.Millisecond)
			g.leave(gateBroken)
		}, 3, 2, fast + time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				passed, deciding, at := enterAll(t, newRetryGate(wait, c.shards), c.decide)
				if passed != c.passed || at != c.at || deciding != c.deciding {
					t.Errorf("%d pass, the last after %v, %d decide; want %d after %v, %d", passed, at, deciding, c.passed, c.at, c.deciding)
				}
			})
		})
	}
}
