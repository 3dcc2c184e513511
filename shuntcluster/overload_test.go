package shuntcluster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shunttest"
)

// sharedEstate returns an estate with one workspace, desk, which has four shards
// with two replicas each and two slots per server. With publishBatch, a batch
// workspace uses the same services.
func sharedEstate() shuntfake.Estate {
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{
		{Name: "desk", Template: "desk", Services: 4, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: connectionSetupTime, ServiceTime: 8 * time.Millisecond},
	}
	return e
}

// publishBatch publishes nightly, a workspace of the batch class that uses the
// services of desk.
func publishBatch(cluster *Cluster) {
	body := "Template = \"overnight\"\n[Parameters]\nDeadlineMilliseconds = 2000\nServices = [\"desk-00\", \"desk-01\", \"desk-02\", \"desk-03\"]\n"
	cluster.Platform.Publish("Workspace/nightly", []byte(body))
	time.Sleep(time.Second)
}

// capacityPerSecond is the number of queries per second that the shared estate
// can answer: two replicas with two slots each, and 8.5 ms per request on average.
const capacityPerSecond = 2 * 2 / 0.0085

// TestOverload checks that the goodput at four times the capacity is at least 90%
// of the goodput at the capacity, and that interactive queries are answered in
// time while batch queries are shed.
func TestOverload(t *testing.T) {
	shunttest.SkipKnownRed(t)
	run := func(label string, load float64, a shuntentry.AdmissionConfig) (desk, batch shuntload.Report) {
		rs := measure(t, label, func(*testing.T) (*Cluster, []*shuntload.Result) {
			cluster := Start(Config{Estate: sharedEstate(), Seed: 1, Warm: true, Admission: a})
			publishBatch(cluster)
			runAfterWarmUp(cluster, Workload{Workspace: "desk", Rate: 100, Duration: time.Second, Seed: 9})
			// Interactive queries make up at most 40% of the capacity. The rest of
			// the load is batch queries.
			return cluster, cluster.RunAll(
				Workload{Workspace: "desk", Rate: 0.4 * capacityPerSecond * min(1, load), Duration: overloadTime, Seed: 1},
				Workload{Workspace: "nightly", Rate: capacityPerSecond * (load - 0.4*min(1, load)), Duration: overloadTime, Seed: 2},
			)
		})
		return rs[0], rs[1]
	}
	goodput := func(rs ...shuntload.Report) float64 {
		n := 0
		for _, r := range rs {
			n += r.Outcomes["Complete"]
		}
		return float64(n) / overloadTime.Seconds()
	}
	var rows []shuntload.Report
	goodputByLoad := map[float64]float64{}
	for _, load := range []float64{0.5, 1, 2, 4} {
		desk, batch := run(fmt.Sprintf("load %gx", load), load, shuntentry.AdmissionConfig{})
		goodputByLoad[load] = goodput(desk, batch)
		rows = append(rows, desk, batch)
		deskComplete := float64(desk.Outcomes["Complete"]) / float64(desk.Queries)
		fmt.Printf("load %gx: goodput %.0f/s, desk complete %.4f\n", load, goodputByLoad[load], deskComplete)
		if deskComplete < 0.99 {
			t.Errorf("load %gx: %.4f of the interactive queries were answered in time; the target is 0.99", load, deskComplete)
		}
	}
	desk, batch := run("load 4x, no admission", 4, shuntentry.AdmissionConfig{Disabled: true})
	rows = append(rows, desk, batch)
	fmt.Printf("load 4x without admission: goodput %.0f/s\n", goodput(desk, batch))
	printReports(rows)
	if goodputByLoad[4] < 0.9*goodputByLoad[1] {
		t.Errorf("goodput %.0f/s at 4x load, %.0f/s at 1x load; the target is 90%% of the latter", goodputByLoad[4], goodputByLoad[1])
	}
}

const overloadTime = 6 * time.Second

// TestWindows compares, at 75% of the capacity, windows held by server owners with
// two baselines in which every VM sends to the servers directly: one without
// limits and one in which each VM has a sixth of the window.
func TestWindows(t *testing.T) {
	measureRun := func(label string, f func(*testing.T) (*Cluster, []*shuntload.Result)) []shuntload.Report {
		if strings.HasPrefix(label, "direct") {
			return measureBaseline(t, label, f)
		}
		return measure(t, label, f)
	}
	run := func(label string, c Config) shuntload.Report {
		return measureRun(label, func(*testing.T) (*Cluster, []*shuntload.Result) {
			c.Estate, c.Seed, c.Warm = sharedEstate(), 1, true
			cluster := Start(c)
			return cluster, []*shuntload.Result{runAfterWarmUp(cluster, Workload{Workspace: "desk", Rate: 0.75 * capacityPerSecond, Duration: overloadTime, Seed: 1})}
		})[0]
	}
	rows := []shuntload.Report{
		run("direct, no limits", Config{Direct: true, OwnerPolicy: shuntowner.Policy{NoWindow: true, NoWarmUp: true}}),
		run("direct, 1/6 of the window each", Config{Direct: true, OwnerPolicy: shuntowner.Policy{WindowDivisor: 6, NoWarmUp: true}}),
		run("owner windows", Config{}),
	}
	printReports(rows)
	owner := rows[2]
	if complete := float64(owner.Outcomes["Complete"]) / float64(owner.Queries); complete < 0.999 {
		t.Errorf("owner windows completed %.4f of the queries; the target is 0.999", complete)
	}
	for _, r := range rows[:2] {
		if owner.P99Milliseconds >= r.P99Milliseconds {
			t.Errorf("p99 %.1f ms with owner windows; want less than the %.1f ms of %s", owner.P99Milliseconds, r.P99Milliseconds, r.Workspace)
		}
	}
}
