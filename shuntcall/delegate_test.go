package shuntcall

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// gathered returns the headers of a VM's answer for at most that many of the
// shards that req names.
func gathered(req *http.Request, most int) string {
	d, err := ReadDelegated(req.Header)
	if err != nil {
		return err.Error() + "\r\n"
	}
	var a Answer
	for _, n := range d.ShardIndexes[:min(most, len(d.ShardIndexes))] {
		a.Signatures = append(a.Signatures, fmt.Sprintf("far-%d", n))
	}
	h := http.Header{}
	WriteDelegated(h, a, time.Millisecond)
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		return err.Error() + "\r\n"
	}
	return b.String()
}

// TestDelegation: shards without a server in this region are gathered by a VM
// near them, asked directly where that VM certainly has not begun, and left out
// where it may have.
func TestDelegation(t *testing.T) {
	const near, far = 6, 4
	cases := map[string]struct {
		// vm is the VM there, if there is one.
		vm      behavior
		regions []string
		suspect bool
		end     CallStatus
		missing int
		// direct is how many requests reach the far servers, and asked how many
		// reach the VM.
		direct int
		asked  int
	}{
		"gathered":              {vm: behavior{after: fast, gathers: far}, end: Served, asked: 1},
		"one is missing there":  {vm: behavior{after: fast, gathers: far - 1}, end: Served, missing: 1, asked: 1},
		"declined":              {vm: behavior{declines: -1}, end: Served, direct: far, asked: 1},
		"not reached":           {vm: behavior{unreachable: true}, end: Served, direct: far},
		"lost on the way":       {vm: behavior{after: 2 * fast, broken: true}, end: Faulted, missing: far, asked: 1},
		"failed there":          {vm: behavior{after: 2 * fast, code: http.StatusBadGateway}, end: Faulted, missing: far, asked: 1},
		"no VM there":           {end: Served, direct: far},
		"bound to regions":      {vm: behavior{after: fast, gathers: far}, regions: []string{"here", "there"}, end: Served, direct: far},
		"suspected of crashing": {vm: behavior{after: fast, gathers: far}, suspect: true, end: Served, direct: far},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, services := spread(near, far)
			route.Regions = c.regions
			run(t, services, func(t *testing.T, w *world) {
				w.behaviors["vm"] = c.vm
				if c.vm != (behavior{}) {
					w.delegates = []Delegate{{Address: "vm", Region: "there"}}
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				start := time.Now()
				a := w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(start), Start: start, Suspect: c.suspect})
				if a.Status != c.end || a.Missing != c.missing {
					t.Errorf("ended %v, %d missing (%s); want %v, %d", a.Status, a.Missing, a.Reason, c.end, c.missing)
				}
				if took := time.Since(start); took > goal-answerMargin {
					t.Errorf("took %v", took)
				}
				time.Sleep(time.Second)
				if direct := w.reached("/there"); direct != c.direct || w.arrivals["vm"] != c.asked {
					t.Errorf("%d requests reached far servers, %d the VM; want %d, %d", direct, w.arrivals["vm"], c.direct, c.asked)
				}
			})
		})
	}
}

// spread returns a route whose first shards have a server here, and the others
// one there.
func spread(near, far int) (*shuntroute.Route, map[string]map[string]behavior) {
	route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.8, TopRecords: 3}
	services := map[string]map[string]behavior{}
	for i := range near + far {
		shard, region := fmt.Sprintf("s%d", i), "here"
		if i >= near {
			region = "there"
		}
		route.Shards = append(route.Shards, shard)
		services[shard] = map[string]behavior{region: {after: fast, region: region}}
	}
	return route, services
}

// reached returns how many requests reached the servers whose addresses end so.
func (w *world) reached(suffix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for address, v := range w.arrivals {
		if strings.HasSuffix(address, suffix) {
			n += v
		}
	}
	return n
}

// TestSlowDelegate replays a VM that stalls: queries that come after the stall
// shows ask the shards directly, and are answered in time.
func TestSlowDelegate(t *testing.T) {
	route, services := spread(0, 4)
	run(t, services, func(t *testing.T, w *world) {
		w.behaviors["vm"] = behavior{mute: true}
		w.delegates = []Delegate{{Address: "vm", Region: "there"}}
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		ask := func() Answer {
			start := time.Now()
			return w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(start), Start: start})
		}
		w.group.Go(func() { ask() })
		time.Sleep(time.Duration(slowDelegate*float64(goal)) + time.Millisecond)
		start := time.Now()
		if a := ask(); a.Status != Served || a.Missing > 0 {
			t.Errorf("ended %v, %d missing (%s)", a.Status, a.Missing, a.Reason)
		}
		if took := time.Since(start); took > 2*fast {
			t.Errorf("took %v", took)
		}
	})
}

// TestDelegatedRoundTrip: what one VM writes is what the other reads.
func TestDelegatedRoundTrip(t *testing.T) {
	route := &shuntroute.Route{Shards: []string{"a", "b", "c"}}
	valid := map[string]string{headerShards: "2,0", headerVersion: "7", headerNeed: "1", headerDue: "40", headerFingerprint: "ff"}
	read := func(change, to string) (DelegatedQuery, http.Header, error) {
		h := http.Header{"Own": {"kept"}}
		for name, v := range valid {
			h.Set(name, v)
		}
		if change != "" {
			h.Set(change, to)
		}
		d, err := ReadDelegated(h)
		return d, h, err
	}
	d, h, err := read("", "")
	if err != nil || d.Version != 7 || d.Fingerprint != 255 || len(h) != 1 {
		t.Fatalf("got %+v, %v left (%v)", d, h, err)
	}
	start := time.Now()
	s, ok := d.Subset(route, start)
	if !ok || strings.Join(s.Shards, "") != "ca" || s.MinShards != 1 || s.Due.Sub(start) != 40*time.Millisecond {
		t.Errorf("got %+v, %v", s, ok)
	}
	for name := range valid {
		if _, _, err := read(name, "x"); err == nil {
			t.Errorf("%s may be unreadable", name)
		}
	}
	if d, _, _ := read(headerShards, "3"); len(d.ShardIndexes) > 0 {
		if _, ok := d.Subset(route, start); ok {
			t.Error("a shard that the route does not have")
		}
	}
}
