package shuntcluster

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

// TestZoneLeavesAndReturns checks coverage and latency while a zone is taken out of
// service and comes back with cold servers. The log also checks that the zone gets
// no new work later than 3 s after it was taken out.
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
			var phases []*shuntload.Result
			measure(t, "zone", func(*testing.T) (*Cluster, []*shuntload.Result) {
				cluster := Start(Config{Estate: withWorkspaces(c.estate, c.workspace), Seed: 1, Warm: true})
				phases = runZoneOutage(cluster, c.workspace, c.estate.Zones[2].Name)
				return cluster, nil
			})
			rows := newReports(phases)
			printReports(rows)
			checkTargets(t, rows, 0.999, 340)
		})
	}
}

// runZoneOutage measures a workspace before a zone is taken out of service, while
// it is out, and after it has come back with all its servers cold.
func runZoneOutage(cluster *Cluster, workspace, zone string) []*shuntload.Result {
	const phase = 8 * time.Second
	measure := func(label string, seed uint64) *shuntload.Result {
		r := cluster.Run(Workload{Workspace: workspace, Rate: 40, Duration: phase, Seed: seed})
		r.Workspace = label
		return r
	}
	out := []*shuntload.Result{measure("before", 0)}
	cluster.PublishFleet(cluster.Fleet().WithZoneInService(zone, false))
	out = append(out, measure("zone out", 1))
	for _, b := range cluster.Backends {
		if b.Zone() == zone {
			b.Restart(0)
		}
	}
	cluster.PublishFleet(cluster.Fleet().WithZoneInService(zone, true))
	return append(out, measure("zone back", 2))
}

func newReports(rs []*shuntload.Result) []shuntload.Report {
	out := make([]shuntload.Report, len(rs))
	for i, r := range rs {
		out[i] = shuntload.NewReport(r)
	}
	return out
}

// checkTargets checks that each report has at least the given coverage and at most
// the given p99 in milliseconds.
func checkTargets(t *testing.T, rows []shuntload.Report, coverage, p99 float64) {
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

const poisonQuery = "divide by zero"

// TestPoison checks how many servers crash when a caller repeats, through
// different VMs, a query that crashes every server that runs it.
func TestPoison(t *testing.T) {
	cases := map[string]struct {
		workspace string
		templates map[string]string
		// maxCrashes is 2 for the first run and the run as a suspect. Without a
		// canary, the first run reaches all twenty shards before the query
		// becomes a suspect.
		maxCrashes int
	}{
		"one shard":                  {"dispatch", nil, 2},
		"many shards, canary always": {"showroom", map[string]string{"counter": shuntfake.Templates()["counter"] + "Canary = \"Always\"\n"}, 2},
		"many shards":                {"showroom", nil, 21},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := Start(Config{Estate: withWorkspaces(shuntfake.Cooperative(), c.workspace), Seed: 1, Warm: true, CrashQuery: poisonQuery, Templates: c.templates})
				during, after := runPoison(cluster, c.workspace)
				crashes := cluster.Log.Counts().Crashes
				fmt.Printf("%s: %d servers lost; innocents meanwhile %.4f covered, after %.4f\n", name, crashes, during.Coverage(), after.Coverage())
				if crashes > c.maxCrashes {
					t.Errorf("%d servers crashed by one query; the target is at most %d", crashes, c.maxCrashes)
				}
				if after.Outcomes["Complete"] != after.Queries {
					t.Errorf("queries after the poison: outcomes %v, reasons %v", after.Outcomes, after.Reasons)
				}
				if v := cluster.Log.Violations(); v.Total() > 0 {
					t.Errorf("%+v %v", v, cluster.Log.Notes())
				}
			})
		})
	}
}

// runPoison sends the poison query twenty times among other queries, and then other
// queries alone. It returns the answers to the other queries of both phases.
func runPoison(cluster *Cluster, workspace string) (during, after *shuntload.Result) {
	cluster.Run(Workload{Workspace: workspace, Rate: 40, Duration: warmUpTime, Seed: 1})
	var g sync.WaitGroup
	g.Go(func() { during = cluster.Run(Workload{Workspace: workspace, Rate: 40, Duration: warmUpTime, Seed: 2}) })
	for n := range 20 {
		cluster.Query(workspace, fmt.Sprintf("poison-%d", n), poisonQuery)
		time.Sleep(200 * time.Millisecond)
	}
	g.Wait()
	after = cluster.Run(Workload{Workspace: workspace, Rate: 40, Duration: warmUpTime, Seed: 3})
	cluster.Stop()
	return during, after
}

// TestPoisonUnguarded checks that a poison query crashes more servers without the
// guard, so that TestPoison can fail.
func TestPoisonUnguarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := Start(Config{Estate: withWorkspaces(shuntfake.Cooperative(), "dispatch"), Seed: 1, Warm: true, CrashQuery: poisonQuery, NoGuard: true})
		for n := range 20 {
			cluster.Query("dispatch", fmt.Sprintf("poison-%d", n), poisonQuery)
			time.Sleep(200 * time.Millisecond)
		}
		cluster.Stop()
		crashes := cluster.Log.Counts().Crashes
		fmt.Printf("without the guard: %d servers lost\n", crashes)
		if crashes <= 2 {
			t.Errorf("%d servers crashed without the guard; want more than 2, so that TestPoison can fail", crashes)
		}
	})
}

// TestSilentConnections checks coverage and latency when all open connections to
// every second service's first replica stop delivering anything while new
// connections work, and that no server gets more connections than its limit.
func TestSilentConnections(t *testing.T) {
	var phases []*shuntload.Result
	measure(t, "silent", func(*testing.T) (*Cluster, []*shuntload.Result) {
		cluster := Start(Config{Estate: withWorkspaces(shuntfake.Cooperative(), "showroom"), Seed: 1, Warm: true})
		phases = append(phases, cluster.Run(Workload{Workspace: "showroom", Rate: 40, Duration: warmUpTime, Seed: 1}))
		i := 0
		for _, s := range cluster.Services() {
			if i++; i%2 == 0 {
				cluster.Backends[shuntconfig.ServerID(s.Name, "r0")].HangConnections()
			}
		}
		phases = append(phases, cluster.Run(Workload{Workspace: "showroom", Rate: 40, Duration: warmUpTime, Seed: 2}))
		phases = append(phases, cluster.Run(Workload{Workspace: "showroom", Rate: 40, Duration: warmUpTime, Seed: 3}))
		return cluster, nil
	})
	for i, label := range []string{"before", "silent", "after"} {
		phases[i].Workspace = label
	}
	rows := newReports(phases)
	printReports(rows)
	checkTargets(t, rows, 0.999, 340)
	if after, before := rows[2].P99Milliseconds, rows[0].P99Milliseconds; after > 1.5*before {
		t.Errorf("p99 %.1f ms after, %.1f ms before; the target is at most 1.5 times the latter", after, before)
	}
}

const mixedFaultSeeds = 24

// TestMixedFaults checks that random faults of all kinds, several of them at the
// same time, cause no violations. The load includes non-idempotent requests.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(mixedFaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cluster, answers := runMixedFaults(seed)
				if v := cluster.Log.Violations(); v.Total() > 0 {
					t.Errorf("%+v\n%s", v, strings.Join(cluster.Log.Notes(), "\n"))
				}
				if answers == 0 {
					t.Error("no query was answered completely")
				}
			})
		})
	}
}

const loadTime = 10 * time.Second

// runMixedFaults runs load under random faults. It returns the stopped cluster and
// the number of complete answers.
func runMixedFaults(seed uint64) (*Cluster, int) {
	r := rand.New(rand.NewPCG(seed, 11))
	pausers := map[string]*Pauser{}
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{
		{Name: "showroom", Template: "counter", Services: 4, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: connectionSetupTime, ServiceTime: 8 * time.Millisecond},
		{Name: "dispatch", Template: "desk", Services: 1, Replicas: 3, Slots: 3, Connections: 40, ConnectTime: time.Millisecond, ServiceTime: 8 * time.Millisecond},
	}
	c := Start(Config{Estate: e, Seed: seed, TailFraction: 0.01, CrashQuery: "poison", WrapConnector: func(vm string, inner shuntowner.Connector) shuntowner.Connector {
		pausers[vm] = &Pauser{}
		return pausers[vm].WrapConnector(inner)
	}})
	injector := &faultInjector{cluster: c, random: r, pausers: pausers}
	for range 8 {
		time.AfterFunc(time.Duration((0.1+0.7*r.Float64())*float64(loadTime)), injector.fault(r.IntN(faultKinds)))
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
	g.Go(func() { c.Run(Workload{Workspace: "showroom", Rate: 60, Duration: loadTime, Seed: 1, OnAnswer: count}) })
	g.Go(func() { c.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: loadTime, Seed: 2, OnAnswer: count}) })
	g.Go(func() { injector.sendTicketedRequests() })
	g.Wait()
	time.Sleep(5 * time.Second)
	c.Stop()
	return c, complete
}

// faultInjector causes random faults in a cluster.
type faultInjector struct {
	cluster *Cluster
	pausers map[string]*Pauser

	mu     sync.Mutex
	random *rand.Rand
}

// faultKinds is the number of kinds that fault accepts.
const faultKinds = 8

func (f *faultInjector) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultInjector) randomServer() *shuntfake.Backend {
	places := shuntfake.ServerSpecs(f.cluster.Services())
	return f.cluster.Backends[places[f.randomInt(len(places))].ID()]
}

// fault returns a function that causes a fault of the given kind.
func (f *faultInjector) fault(kind int) func() {
	cluster := f.cluster
	switch kind {
	case 0:
		return func() { f.randomServer().Restart(time.Duration(f.randomInt(500)) * time.Millisecond) }
	case 1:
		return func() {
			i := f.randomInt(len(cluster.Daemons))
			cluster.PauseVM(i, f.pausers[cluster.Daemons[i].Name()], time.Duration(300+f.randomInt(3500))*time.Millisecond)
		}
	case 2:
		return func() {
			if cluster.Platform.Down() {
				// Nothing can be published while the platform is down.
				return
			}
			zone := cluster.Fleet().Zones[f.randomInt(3)].Name
			cluster.PublishFleet(cluster.Fleet().WithZoneInService(zone, false))
			time.AfterFunc(4*time.Second, func() { cluster.PublishFleet(cluster.Fleet().WithZoneInService(zone, true)) })
		}
	case 3:
		return func() { f.randomServer().HangConnections() }
	case 4:
		return func() { f.randomServer().SetCorruption(shuntfake.Corruption(1 + f.randomInt(3))) }
	case 5:
		return func() { cluster.Query("dispatch", fmt.Sprintf("poison-%d", f.randomInt(1000)), "poison") }
	case 6:
		return func() {
			a, b := cluster.Fleet().VMs[f.randomInt(6)].Name, cluster.Fleet().VMs[f.randomInt(6)].Name
			cluster.Network.SetPartitioned(a, b, true)
			time.AfterFunc(2*time.Second, func() { cluster.Network.SetPartitioned(a, b, false) })
		}
	}
	return func() {
		cluster.Platform.SetDown(true)
		time.AfterFunc(3*time.Second, func() { cluster.Platform.SetDown(false) })
	}
}

// sendTicketedRequests sends non-idempotent requests, each three times through
// random VMs at random times, and checks that none ran more than once.
func (f *faultInjector) sendTicketedRequests() {
	cluster := f.cluster
	var g sync.WaitGroup
	for n := range 60 {
		id := fmt.Sprintf("once-%d", n)
		issuer := cluster.Daemons[f.randomInt(len(cluster.Daemons))]
		ticket := issuer.Frontend().IssueTickets(1)[0]
		for range 3 {
			d := cluster.Daemons[f.randomInt(len(cluster.Daemons))]
			wait := time.Duration(f.randomInt(600)) * time.Millisecond
			g.Go(func() {
				time.Sleep(wait)
				cluster.QueryVia(d, "dispatch", id, shuntentry.Request{Query: "book " + id, Ticket: ticket})
			})
		}
		time.Sleep(loadTime / 60)
	}
	g.Wait()
	for n := range 60 {
		cluster.Log.CheckAtMostOnce(fmt.Sprintf("once-%d", n))
	}
}
