package shuntcall

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// linksCase describes what happens to a VM and its servers.
type linksCase struct {
	server behavior
	// others is how the servers of the second half of the shards behave.
	others behavior
	// trouble is what happens after a second.
	trouble func(w *testCluster)
	idle    bool
	// othersLost is whether other VMs have lost their links.
	othersLost bool
	lost       bool
}

// services returns the servers, in two zones, and a route to all of them.
func (c linksCase) services() (map[string]map[string]behavior, *shuntroute.Route) {
	services := map[string]map[string]behavior{}
	route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.4, TopRecords: 3}
	for i, b := range []behavior{c.server, c.server, c.others, c.others} {
		b.zone = fmt.Sprintf("z%d", i%2)
		name := fmt.Sprintf("s%d", i)
		route.Shards = append(route.Shards, name)
		services[name] = map[string]behavior{"a": b, "b": b}
	}
	return services, route
}

const (
	// noticeTime is how long a VM may take to find out that its links are lost, and
	// returnTime that they are back.
	noticeTime = time.Second
	returnTime = 500 * time.Millisecond
)

// play plays the case and checks what the VM makes of it.
func (c linksCase) play(t *testing.T, w *testCluster, route *shuntroute.Route) {
	w.othersLostLinks = c.othersLost
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.group.Go(func() { w.caller.WatchLinks(ctx, func(bool) {}) })
	wait := noticeTime
	if c.idle {
		wait += precautionInterval
	} else {
		w.group.Go(func() { w.keepAsking(ctx, route) })
	}
	time.Sleep(time.Second)
	c.trouble(w)
	time.Sleep(wait)
	if lost := w.caller.LinksLost(); lost != c.lost {
		t.Errorf("links lost: %v; want %v", lost, c.lost)
	}
	w.setCut(false)
	w.setSilent(false)
	time.Sleep(returnTime)
	if w.caller.LinksLost() {
		t.Error("the links still count as lost")
	}
}

// TestWatchLinks checks that a VM finds out within a second that it has lost its links to
// all servers, and soon that it has them back, and that it doesn't take trouble of servers
// for that.
func TestWatchLinks(t *testing.T) {
	healthy := behavior{after: fast}
	none := func(*testCluster) {}
	cut := func(w *testCluster) { w.setCut(true) }
	cases := map[string]linksCase{
		"connections fail":               {server: healthy, others: healthy, trouble: cut, lost: true},
		"connections hang":               {server: healthy, others: healthy, trouble: func(w *testCluster) { w.setSilent(true) }, lost: true},
		"no traffic, others' are lost":   {server: healthy, others: healthy, trouble: cut, idle: true, othersLost: true, lost: true},
		"others' are lost":               {server: healthy, others: healthy, trouble: none, othersLost: true},
		"half of the servers are down":   {server: healthy, others: behavior{unreachable: true}, trouble: none},
		"half of the servers are silent": {server: healthy, others: behavior{responseHangs: true}, trouble: none},
		"all servers are slow":           {server: behavior{after: 2 * silentAfter}, others: behavior{after: 2 * silentAfter}, trouble: none},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			services, route := c.services()
			run(t, services, func(t *testing.T, w *testCluster) {
				c.play(t, w, route)
			})
		})
	}
}

// keepAsking sends queries until ctx ends.
func (w *testCluster) keepAsking(ctx context.Context, route *shuntroute.Route) {
	for ctx.Err() == nil {
		w.group.Go(func() { w.ask(route) })
		time.Sleep(50 * time.Millisecond)
	}
}
