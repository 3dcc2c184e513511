package shuntcall

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// delegateHeaders returns the response headers of a VM that answers for at most most
// of the shards named in req.
func delegateHeaders(req *http.Request, most int) string {
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

// TestDelegation checks that shards without a server in this region are gathered by
// a VM near them, queried directly if that VM certainly has not begun, and left out
// if it may have.
func TestDelegation(t *testing.T) {
	const near, far = 6, 4
	cases := map[string]struct {
		// vm is the behavior of the VM in the other region, if there is one.
		vm      behavior
		regions []string
		suspect bool
		// memory is the limit of the account; 0 means no limit.
		memory  int64
		status  CallStatus
		missing int
		// direct is the number of requests that reach the remote servers, and delegated
		// the number that reach the VM.
		direct    int
		delegated int
	}{
		"gathered":              {vm: behavior{after: fast, maxShards: far}, status: Served, delegated: 1},
		"one is missing there":  {vm: behavior{after: fast, maxShards: far - 1}, status: Served, missing: 1, delegated: 1},
		"declined":              {vm: behavior{declines: -1}, status: Served, direct: far, delegated: 1},
		"declined, no memory":   {vm: behavior{declines: -1}, memory: near * shardBytes, status: Faulted, missing: near + far, delegated: 1},
		"not reached":           {vm: behavior{unreachable: true}, status: Served, direct: far},
		"lost on the way":       {vm: behavior{after: 2 * fast, broken: true}, status: Faulted, missing: far, delegated: 1},
		"failed there":          {vm: behavior{after: 2 * fast, code: http.StatusBadGateway}, status: Faulted, missing: far, delegated: 1},
		"no VM there":           {status: Served, direct: far},
		"bound to regions":      {vm: behavior{after: fast, maxShards: far}, regions: []string{"here", "there"}, status: Served, direct: far},
		"suspected of crashing": {vm: behavior{after: fast, maxShards: far}, suspect: true, status: Served, direct: far},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, services := shardsInTwoRegions(near, far)
			route.Regions = c.regions
			run(t, services, func(t *testing.T, w *testCluster) {
				w.behaviors["vm"] = c.vm
				if c.vm != (behavior{}) {
					w.delegates = []Delegate{{Address: "vm", Region: "there"}}
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				start := time.Now()
				request := w.request(start)
				request.Held = shuntmemory.New(shuntmemory.Config{Limit: c.memory}).Open()
				defer request.Held.Close()
				a := w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: request, Start: start, Suspect: c.suspect})
				if a.Status != c.status || a.Missing != c.missing {
					t.Errorf("ended %v, %d missing (%s); want %v, %d", a.Status, a.Missing, a.Reason, c.status, c.missing)
				}
				if took := time.Since(start); took > goal-answerMargin {
					t.Errorf("took %v", took)
				}
				time.Sleep(time.Second)
				if direct := w.requestsTo("/there"); direct != c.direct || w.arrivals["vm"] != c.delegated {
					t.Errorf("%d requests reached remote servers, %d the VM; want %d, %d", direct, w.arrivals["vm"], c.direct, c.delegated)
				}
			})
		})
	}
}

// shardsInTwoRegions returns a route whose first shards have a server in this region
// and the others one in another region.
func shardsInTwoRegions(near, far int) (*shuntroute.Route, map[string]map[string]behavior) {
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

// requestsTo returns the number of requests to servers whose address has the suffix.
func (w *testCluster) requestsTo(suffix string) int {
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

// TestSlowDelegate checks that once a VM has stalled for long enough to be noticed,
// new queries go to the shards directly and are answered in time.
func TestSlowDelegate(t *testing.T) {
	route, services := shardsInTwoRegions(0, 4)
	run(t, services, func(t *testing.T, w *testCluster) {
		w.behaviors["vm"] = behavior{responseHangs: true}
		w.delegates = []Delegate{{Address: "vm", Region: "there"}}
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		ask := func() Answer {
			start := time.Now()
			return w.caller.Scatter(ctx, Query{Route: route, Table: w.table, Request: w.request(start), Start: start})
		}
		w.group.Go(func() { ask() })
		time.Sleep(time.Duration(maxDelegateLatencyFraction*float64(goal)) + time.Millisecond)
		start := time.Now()
		if a := ask(); a.Status != Served || a.Missing > 0 {
			t.Errorf("ended %v, %d missing (%s)", a.Status, a.Missing, a.Reason)
		}
		if took := time.Since(start); took > 2*fast {
			t.Errorf("took %v", took)
		}
	})
}

// TestDelegatedRoundTrip checks that a VM reads the headers that another VM writes.
func TestDelegatedRoundTrip(t *testing.T) {
	route := &shuntroute.Route{Shards: []string{"a", "b", "c"}}
	valid := map[string]string{headerShards: "2,0", headerVersion: "7", headerMinShards: "1", headerDue: "40", headerFingerprint: "ff"}
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
			t.Errorf("an invalid %s is accepted", name)
		}
	}
	if d, _, _ := read(headerShards, "3"); len(d.ShardIndexes) > 0 {
		if _, ok := d.Subset(route, start); ok {
			t.Error("a shard index out of range is accepted")
		}
	}
}

// TestDivision replays queries to 180 shards, half of them in each zone of the region,
// on a VM that can query 60 in time. The other shards are gathered by the entry of
// their zone. If that one is lost in the middle of a query, the next query is answered
// in time without it.
func TestDivision(t *testing.T) {
	const shards, remote = 180, 90
	cases := map[string]struct {
		// vm is the behavior of the entry in the other zone.
		vm    behavior
		cores float64
		// status and missing are those of the first query.
		status  CallStatus
		missing int
		// direct is the number of requests to servers of the other zone in both
		// queries together, and delegated the number of requests to the entry there.
		direct, delegated int
	}{
		"gathered":        {vm: behavior{after: fast, maxShards: remote}, cores: 0.8, status: Served, delegated: 2},
		"able to do both": {vm: behavior{after: fast, maxShards: remote}, cores: 4, status: Served, direct: 2 * remote},
		"declined":        {vm: behavior{declines: -1}, cores: 0.8, status: Served, direct: 2 * remote, delegated: 1},
		"not reached":     {vm: behavior{unreachable: true}, cores: 0.8, status: Served, direct: 2 * remote},
		"lost":            {vm: behavior{after: 2 * fast, broken: true}, cores: 0.8, status: Faulted, missing: remote, direct: remote, delegated: 1},
		"stalled":         {vm: behavior{responseHangs: true}, cores: 0.8, status: Faulted, missing: remote, direct: remote, delegated: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, services := shardsInTwoZones(shards, remote)
			run(t, services, func(t *testing.T, w *testCluster) {
				w.behaviors["vm"] = c.vm
				w.delegates = []Delegate{{Address: "vm", Region: "here", Zone: "here-b", Cores: 0.8}}
				w.caller.config.Self.Cores, w.caller.config.ShardsPerCore = c.cores, 75
				if a, took := w.ask(route); a.Status != c.status || a.Missing != c.missing || took > goal*3/2 {
					t.Errorf("first query: %v after %v, %d missing (%s); want %v, %d", a.Status, took, a.Missing, a.Reason, c.status, c.missing)
				}
				if a, took := w.ask(route); a.Status != Served || a.Missing > 0 || took > goal/2 {
					t.Errorf("second query: %v after %v, %d missing (%s)", a.Status, took, a.Missing, a.Reason)
				}
				if direct := w.requestsTo("/here-b"); direct != c.direct || w.arrivals["vm"] != c.delegated {
					t.Errorf("%d requests reached the servers of the other zone, %d its entry; want %d, %d", direct, w.arrivals["vm"], c.direct, c.delegated)
				}
			})
		})
	}
}

// shardsInTwoZones returns a route over shards whose servers are in this region, the
// first of them in the other zone.
func shardsInTwoZones(shards, remote int) (*shuntroute.Route, map[string]map[string]behavior) {
	route := &shuntroute.Route{Idempotent: true, LatencyGoal: goal, MaxAttempts: 2, MinCoverage: 0.95, TopRecords: 3}
	services := map[string]map[string]behavior{}
	for i := range shards {
		shard, zone := fmt.Sprintf("s%03d", i), "here-a"
		if i < remote {
			zone = "here-b"
		}
		route.Shards = append(route.Shards, shard)
		services[shard] = map[string]behavior{zone: {after: fast, zone: zone}}
	}
	return route, services
}

// TestInCharge checks that shards are spread over the VMs of their zone by capacity,
// and that the loss of a VM moves only the shards that it was in charge of.
func TestInCharge(t *testing.T) {
	vms := []Delegate{{Address: "1", Zone: "a", Cores: 0.8}, {Address: "2", Zone: "a", Cores: 0.8}, {Address: "3", Zone: "a", Cores: 0.4}, {Address: "4", Zone: "b", Cores: 0.2}}
	const shards = 1000
	counts := map[string]int{}
	for i := range shards {
		shard := fmt.Sprint("shard", i)
		before, after := inCharge(shard, "a", vms), inCharge(shard, "a", vms[1:])
		counts[before.Address]++
		if before.Address != "1" && before != after {
			t.Errorf("%s moved from VM %s to %s as VM 1 was lost", shard, before.Address, after.Address)
		}
		if d := inCharge(shard, "b", vms); d.Address != "4" {
			t.Errorf("VM %s is in charge of a server in zone b", d.Address)
		}
	}
	for vm, want := range map[string]int{"1": 400, "2": 400, "3": 200} {
		if got := counts[vm]; got < want*8/10 || got > want*12/10 {
			t.Errorf("VM %s is in charge of %d shards, want about %d", vm, got, want)
		}
	}
	if inCharge("x", "elsewhere", vms).Address == "" {
		t.Error("no VM is in charge of a server in a zone without entries")
	}
}
