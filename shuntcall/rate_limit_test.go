package shuntcall

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// Limits of what a server that names a rate limit may get: in any limitWindow, from
// limitNotice after it first named the limit, the factor times the limit and the slack.
const (
	limitWindow = 4 * time.Second
	limitNotice = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// sharingFleet is one of several VMs that divide common limits equally.
type sharingFleet struct{ vms int }

func (f sharingFleet) Share() float64               { return 1 / float64(f.vms) }
func (f sharingFleet) IsResponsibleFor(string) bool { return false }
func (f sharingFleet) Delegates() []Delegate        { return nil }
func (sharingFleet) Helpers() []Delegate            { return nil }
func (sharingFleet) OthersLostLinks() bool          { return false }
func (f sharingFleet) InCharge(uint64, []string) (Delegate, bool, bool) {
	return Delegate{}, true, true
}

// checkLimits checks that no server with a limit gets more than its limit allows.
func (w *testCluster) checkLimits(t *testing.T, start time.Time) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, times := range w.arrivalTimes {
		limit := w.behaviors[address].limit
		if limit == 0 {
			continue
		}
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		worst := 0
		for i, first := range times {
			n := 0
			for _, at := range times[i:] {
				if first.Sub(start) >= limitNotice && at.Sub(first) < limitWindow {
					n++
				}
			}
			worst = max(worst, n)
		}
		if float64(worst) > allowed {
			t.Errorf("server %s with a limit of %v got %d requests in %v; allowed are %v", address, limit, worst, limitWindow, allowed)
		}
	}
}

// send sends one request to the route and returns how it ended.
func (w *testCluster) send(caller *Caller, route *shuntroute.Route) (CallStatus, string) {
	at := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	if route.Scatters() {
		a := caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(at), Start: at})
		return a.Status, a.Reason
	}
	service, _ := w.table.Service("s")
	res := caller.Forward(ctx, route, service, w.request(at), 1, false)
	return res.Status, res.Reason
}

// Load of the tests below.
const (
	loadVMs      = 3
	loadInterval = 25 * time.Millisecond
	loadDuration = 12 * time.Second
)

// load sends requests to the route from several VMs for loadDuration, one for each
// loadInterval and VM. It returns how many ended in each status.
func (w *testCluster) load(route *shuntroute.Route) map[CallStatus]int {
	var mu sync.Mutex
	ends := map[CallStatus]int{}
	var group shuntgroup.Group
	for i := range loadVMs {
		caller := w.newCaller(sharingFleet{loadVMs})
		for n := range int(loadDuration / loadInterval) {
			group.Go(func() {
				time.Sleep(time.Duration(n)*loadInterval + time.Duration(i)*time.Millisecond)
				status, _ := w.send(caller, route)
				mu.Lock()
				ends[status]++
				mu.Unlock()
			})
		}
	}
	group.Close()
	return ends
}

// TestRateLimitExceeded checks that a server that names a limit does not get more from
// all VMs together, in whichever way requests reach it.
func TestRateLimitExceeded(t *testing.T) {
	const limit = 20
	one := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2}
	all := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, Shards: []string{"s"}, MinCoverage: 1}
	cases := map[string]struct {
		other behavior
		route *shuntroute.Route
		// served is set if the other server can serve what is beyond the limit.
		served bool
	}{
		"first attempts":    {other: behavior{after: 3 * fast}, route: one, served: true},
		"queries to shards": {other: behavior{after: 3 * fast}, route: all, served: true},
		"retries":           {other: behavior{declines: -1}, route: one},
		"hedges":            {other: behavior{after: 300 * time.Millisecond}, route: one},
		"no other server":   {other: behavior{unreachable: true}, route: one},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, map[string]map[string]behavior{"s": {"limited": {after: fast, limit: limit}, "other": c.other}}, func(t *testing.T, w *testCluster) {
				start := time.Now()
				ends := w.load(c.route)
				if c.served && len(ends) > 1 {
					t.Errorf("ends %v; want all Served", ends)
				}
				w.checkLimits(t, start)
				if n := w.arrivals["s/limited"]; float64(n) < 0.5*limit*loadDuration.Seconds() {
					t.Errorf("the limited server got %d requests in %v; its limit is %v a second", n, loadDuration, float64(limit))
				}
			})
		})
	}
}

// TestRateLimitRefusal checks that a request that fits into no server's limit is
// refused at once, as not run.
func TestRateLimitRefusal(t *testing.T) {
	cases := map[string]*shuntroute.Route{
		"to one service": {Idempotent: true, LatencyGoal: goal, MaxAttempts: 2},
		"to all shards":  {Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, Shards: []string{"s"}, MinCoverage: 1},
	}
	for name, route := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, map[string]map[string]behavior{"s": {"a": {after: fast, limit: 2}, "b": {after: fast, limit: 2}}}, func(t *testing.T, w *testCluster) {
				ends := map[CallStatus]int{}
				for range 100 {
					at := time.Now()
					status, reason := w.send(w.caller, route)
					ends[status]++
					if took := time.Since(at); status == Refused && (took > time.Millisecond || !strings.Contains(reason, "can be asked")) {
						t.Errorf("refused after %v: %s", took, reason)
					}
					time.Sleep(50 * time.Millisecond)
				}
				// 5 s at two limits of 2 requests a second.
				if n := ends[Served]; n < 15 || n > 30 || n+ends[Refused] != 100 {
					t.Errorf("ends %v; want about 20 of 100 Served and the others Refused", ends)
				}
			})
		})
	}
}
