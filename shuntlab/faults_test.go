package shuntlab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// TestZoneLeavesAndReturns: a zone is taken out at short notice and comes back
// with cold servers; the stand-ins check that it gets no new work after 3 s.
func TestZoneLeavesAndReturns(t *testing.T) {
	cases := map[string]struct {
		estate    shuntfake.Estate
		workspace string
	}{
		"cooperative": {shuntfake.Cooperative(), "showroom"},
		"franchise":   {shuntfake.Franchise(), "counter-desk"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var parts []*shuntload.Result
			measured(t, "zone", func(*testing.T) (*Cluster, []*shuntload.Result) {
				x := Start(Config{Estate: only(c.estate, c.workspace), Seed: 1, Warm: true})
				parts = zonePhases(x, c.workspace, c.estate.Zones[2].Name)
				return x, nil
			})
			rows := reports(parts)
			show(rows)
			checkRows(t, rows, 0.999, 340)
		})
	}
}

// zonePhases measures a workspace before a zone is taken out, while it is out
// and after it has come back with all servers cold.
func zonePhases(x *Cluster, workspace, zone string) []*shuntload.Result {
	const phase = 8 * time.Second
	measure := func(label string, seed uint64) *shuntload.Result {
		r := x.Run(Workload{Workspace: workspace, Rate: 40, Duration: phase, Seed: seed})
		r.Workspace = label
		return r
	}
	out := []*shuntload.Result{measure("before", 0)}
	x.PublishFleet(x.Fleet().WithZoneInService(zone, false))
	out = append(out, measure("zone out", 1))
	for _, b := range x.Backends {
		if b.Zone() == zone {
			b.Restart(0)
		}
	}
	x.PublishFleet(x.Fleet().WithZoneInService(zone, true))
	return append(out, measure("zone back", 2))
}

func reports(rs []*shuntload.Result) []shuntload.Report {
	out := make([]shuntload.Report, len(rs))
	for i, r := range rs {
		out[i] = shuntload.NewReport(r)
	}
	return out
}

// checkRows checks the stated targets of coverage and of p99 in milliseconds.
func checkRows(t *testing.T, rows []shuntload.Report, coverage, p99 float64) {
	t.Helper()
	for _, r := range rows {
		if r.Coverage < coverage {
			t.Errorf("%s: coverage %.4f; the target is %g", r.Workspace, r.Coverage, coverage)
		}
		if r.P99Milliseconds > p99 {
			t.Errorf("%s: p99 %.1f ms; the target is %g ms", r.Workspace, r.P99Milliseconds, p99)
		}
	}
}

const poison = "divide by zero"

// TestPoison: a caller sends a request that kills each server that runs it,
// again and again through different VMs.
func TestPoison(t *testing.T) {
	cases := map[string]struct {
		workspace string
		templates map[string]string
		// most is two: the first run and the one as a suspect. Without a
		// canary the first run reaches all twenty shards before it is known.
		most int
	}{
		"one shard":                  {"dispatch", nil, 2},
		"many shards, canary always": {"showroom", map[string]string{"counter": shuntfake.Templates()["counter"] + "Canary = \"Always\"\n"}, 2},
		"many shards":                {"showroom", nil, 21},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := Start(Config{Estate: only(shuntfake.Cooperative(), c.workspace), Seed: 1, Warm: true, Poison: poison, Templates: c.templates})
				innocent, later := poisonRun(x, c.workspace)
				lost := x.Log.Counts().Crashes
				fmt.Printf("%s: %d servers lost; innocents meanwhile %.4f covered, after %.4f\n", name, lost, innocent.Coverage(), later.Coverage())
				if lost > c.most {
					t.Errorf("%d servers lost to one content; the target is %d", lost, c.most)
				}
				if later.Outcomes["Complete"] != later.Queries {
					t.Errorf("later queries: %v %v", later.Outcomes, later.Reasons)
				}
				if v := x.Log.Violations(); v.Total() > 0 {
					t.Errorf("%+v %v", v, x.Log.Notes())
				}
			})
		})
	}
}

// poisonRun sends the poison twenty times among innocent queries, and then
// innocent ones alone.
func poisonRun(x *Cluster, workspace string) (innocent, later *shuntload.Result) {
	x.Run(Workload{Workspace: workspace, Rate: 40, Duration: warmTime, Seed: 1})
	var g sync.WaitGroup
	g.Go(func() { innocent = x.Run(Workload{Workspace: workspace, Rate: 40, Duration: warmTime, Seed: 2}) })
	for n := range 20 {
		x.Query(workspace, fmt.Sprintf("poison-%d", n), poison)
		time.Sleep(200 * time.Millisecond)
	}
	g.Wait()
	later = x.Run(Workload{Workspace: workspace, Rate: 40, Duration: warmTime, Seed: 3})
	x.Stop()
	return innocent, later
}

// TestPoisonUnguarded shows what the guard is for.
func TestPoisonUnguarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := Start(Config{Estate: only(shuntfake.Cooperative(), "dispatch"), Seed: 1, Warm: true, Poison: poison, NoGuard: true})
		for n := range 20 {
			x.Query("dispatch", fmt.Sprintf("poison-%d", n), poison)
			time.Sleep(200 * time.Millisecond)
		}
		x.Stop()
		lost := x.Log.Counts().Crashes
		fmt.Printf("without the guard: %d servers lost\n", lost)
		if lost <= 2 {
			t.Errorf("%d servers lost without the guard; the other test would not fail", lost)
		}
	})
}

// TestSilentConnections: all open connections go silent for good while new ones
// work; answers continue, and no connection cap is exceeded.
func TestSilentConnections(t *testing.T) {
	var parts []*shuntload.Result
	measured(t, "silent", func(*testing.T) (*Cluster, []*shuntload.Result) {
		x := Start(Config{Estate: only(shuntfake.Cooperative(), "showroom"), Seed: 1, Warm: true})
		parts = append(parts, x.Run(Workload{Workspace: "showroom", Rate: 40, Duration: warmTime, Seed: 1}))
		i := 0
		for _, s := range x.Services() {
			if i++; i%2 == 0 {
				x.Backends[shuntconfig.ServerID(s.Name, "r0")].HangConnections()
			}
		}
		parts = append(parts, x.Run(Workload{Workspace: "showroom", Rate: 40, Duration: warmTime, Seed: 2}))
		parts = append(parts, x.Run(Workload{Workspace: "showroom", Rate: 40, Duration: warmTime, Seed: 3}))
		return x, nil
	})
	for i, l := range []string{"before", "silent", "after"} {
		parts[i].Workspace = l
	}
	rows := reports(parts)
	show(rows)
	checkRows(t, rows, 0.999, 340)
	if got, free := rows[2].P99Milliseconds, rows[0].P99Milliseconds; got > 1.5*free {
		t.Errorf("p99 %.1f ms after, %.1f ms before; the target is 1.5 times", got, free)
	}
}

const mixSeeds = 24

// TestMixedFaults: faults of all kinds, together and twice, under load with
// non-idempotent requests among it; every promise is checked by the stand-ins.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(mixSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				x, answers := mixedRun(seed)
				if v := x.Log.Violations(); v.Total() > 0 {
					t.Errorf("%+v\n%s", v, strings.Join(x.Log.Notes(), "\n"))
				}
				if answers == 0 {
					t.Error("no query was answered")
				}
			})
		})
	}
}

const mixTime = 10 * time.Second

func mixedRun(seed uint64) (*Cluster, int) {
	r := rand.New(rand.NewPCG(seed, 11))
	freezers := map[string]*Pauser{}
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{
		{Name: "showroom", Template: "counter", Services: 4, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: connectionSetup, ServiceTime: 8 * time.Millisecond},
		{Name: "dispatch", Template: "desk", Services: 1, Replicas: 3, Slots: 3, Connections: 40, ConnectTime: time.Millisecond, ServiceTime: 8 * time.Millisecond},
	}
	x := Start(Config{Estate: e, Seed: seed, TailShare: 0.01, Poison: "poison", WrapConnector: func(vm string, c shuntowner.Connector) shuntowner.Connector {
		freezers[vm] = &Pauser{}
		return freezers[vm].WrapConnector(c)
	}})
	m := &mixer{cluster: x, random: r, freezers: freezers}
	for range 8 {
		time.AfterFunc(time.Duration((0.1+0.7*r.Float64())*float64(mixTime)), m.fault(r.IntN(faultKinds)))
	}
	var mu sync.Mutex
	complete := 0
	count := func(_ time.Time, a shuntquery.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.Answered == a.Total && a.Total > 0 {
			complete++
		}
	}
	var g sync.WaitGroup
	g.Go(func() { x.Run(Workload{Workspace: "showroom", Rate: 60, Duration: mixTime, Seed: 1, OnAnswer: count}) })
	g.Go(func() { x.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: mixTime, Seed: 2, OnAnswer: count}) })
	g.Go(func() { m.onceStream() })
	g.Wait()
	time.Sleep(5 * time.Second)
	x.Stop()
	return x, complete
}

// mixer makes random faults.
type mixer struct {
	cluster  *Cluster
	freezers map[string]*Pauser

	mu     sync.Mutex
	random *rand.Rand
}

const faultKinds = 8

func (m *mixer) pick(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

func (m *mixer) server() *shuntfake.Backend {
	ids := shuntfake.ServerSpecs(m.cluster.Services())
	return m.cluster.Backends[ids[m.pick(len(ids))].ID()]
}

func (m *mixer) fault(kind int) func() {
	x := m.cluster
	switch kind {
	case 0:
		return func() { m.server().Restart(time.Duration(m.pick(500)) * time.Millisecond) }
	case 1:
		return func() {
			i := m.pick(len(x.Daemons))
			x.PauseVM(i, m.freezers[x.Daemons[i].Name()], time.Duration(300+m.pick(3500))*time.Millisecond)
		}
	case 2:
		return func() {
			if x.Platform.Down() {
				// Nobody can publish then, and nobody can know.
				return
			}
			zone := x.Fleet().Zones[m.pick(3)].Name
			x.PublishFleet(x.Fleet().WithZoneInService(zone, false))
			time.AfterFunc(4*time.Second, func() { x.PublishFleet(x.Fleet().WithZoneInService(zone, true)) })
		}
	case 3:
		return func() { m.server().HangConnections() }
	case 4:
		return func() { m.server().SetCorruption(shuntfake.Corruption(1 + m.pick(3))) }
	case 5:
		return func() { x.Query("dispatch", fmt.Sprintf("poison-%d", m.pick(1000)), "poison") }
	case 6:
		return func() {
			a, b := x.Fleet().VMs[m.pick(6)].Name, x.Fleet().VMs[m.pick(6)].Name
			x.Network.SetPartitioned(a, b, true)
			time.AfterFunc(2*time.Second, func() { x.Network.SetPartitioned(a, b, false) })
		}
	}
	return func() {
		x.Platform.SetDown(true)
		time.AfterFunc(3*time.Second, func() { x.Platform.SetDown(false) })
	}
}

// onceStream sends non-idempotent requests, each several times through
// different VMs at the same time and later.
func (m *mixer) onceStream() {
	x := m.cluster
	var g sync.WaitGroup
	for n := range 60 {
		id := fmt.Sprintf("once-%d", n)
		home := x.Daemons[m.pick(len(x.Daemons))]
		ticket := home.Frontend().IssueTickets(1)[0]
		for range 3 {
			d := x.Daemons[m.pick(len(x.Daemons))]
			wait := time.Duration(m.pick(600)) * time.Millisecond
			g.Go(func() {
				time.Sleep(wait)
				x.QueryVia(d, "dispatch", id, shuntentry.Request{Query: "book " + id, Ticket: ticket})
			})
		}
		time.Sleep(mixTime / 60)
	}
	g.Wait()
	for n := range 60 {
		x.Log.CheckAtMostOnce(fmt.Sprintf("once-%d", n))
	}
}
