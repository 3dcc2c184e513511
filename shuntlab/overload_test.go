package shuntlab

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// shared is an estate in which a desk of people and a batch job use the same
// services: four shards, two replicas each, two slots.
func shared() shuntfake.Estate {
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{
		{Name: "desk", Template: "desk", Services: 4, Replicas: 2, Slots: 2, Connections: 25, ConnectTime: connectionSetup, ServiceTime: 8 * time.Millisecond},
	}
	return e
}

// publishBatch publishes a workspace of the batch class over desk's services.
func publishBatch(x *Cluster) {
	body := "Template = \"overnight\"\n[Parameters]\nDeadlineMilliseconds = 2000\nServices = [\"desk-00\", \"desk-01\", \"desk-02\", \"desk-03\"]\n"
	x.Platform.Publish("Workspace/nightly", []byte(body))
	time.Sleep(time.Second)
}

// capacity is what the shared estate can answer, in queries a second: two
// replicas of two slots, 8.5 ms a request on average.
const capacity = 2 * 2 / 0.0085

// TestOverload: at four times the capacity the goodput stays at 90% of that at
// the capacity, and people get their answers while the batch is shed.
func TestOverload(t *testing.T) {
	knownRed(t)
	run := func(label string, load float64, a shuntentry.AdmissionConfig) (desk, batch shuntload.Report) {
		rs := measured(t, label, func(*testing.T) (*Cluster, []*shuntload.Result) {
			x := Start(Config{Estate: shared(), Seed: 1, Warm: true, Admission: a})
			publishBatch(x)
			warmed(x, Workload{Workspace: "desk", Rate: 100, Duration: time.Second, Seed: 9})
			// People ask for 40% of the capacity; the rest is the batch's.
			return x, x.RunAll(
				Workload{Workspace: "desk", Rate: 0.4 * capacity * min(1, load), Duration: overloadTime, Seed: 1},
				Workload{Workspace: "nightly", Rate: capacity * (load - 0.4*min(1, load)), Duration: overloadTime, Seed: 2},
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
	at := map[float64]float64{}
	for _, load := range []float64{0.5, 1, 2, 4} {
		desk, batch := run(fmt.Sprintf("load %gx", load), load, shuntentry.AdmissionConfig{})
		at[load] = goodput(desk, batch)
		rows = append(rows, desk, batch)
		inTime := float64(desk.Outcomes["Complete"]) / float64(desk.Queries)
		fmt.Printf("load %gx: goodput %.0f/s, desk complete %.4f\n", load, at[load], inTime)
		if inTime < 0.99 {
			t.Errorf("load %gx: %.4f of the people's queries were answered in time; the target is 0.99", load, inTime)
		}
	}
	desk, batch := run("load 4x, no admission", 4, shuntentry.AdmissionConfig{Disabled: true})
	rows = append(rows, desk, batch)
	fmt.Printf("load 4x without admission: goodput %.0f/s\n", goodput(desk, batch))
	show(rows)
	if at[4] < 0.9*at[1] {
		t.Errorf("goodput %.0f/s at 4x, %.0f/s at 1x; the target is 90%%", at[4], at[1])
	}
}

const overloadTime = 6 * time.Second

// TestWindows: owner windows against every VM for itself with a share of the
// slots, and against no limits, near the capacity.
func TestWindows(t *testing.T) {
	compared := func(label string, f func(*testing.T) (*Cluster, []*shuntload.Result)) []shuntload.Report {
		if strings.HasPrefix(label, "direct") {
			return baseline(t, label, f)
		}
		return measured(t, label, f)
	}
	run := func(label string, c Config) shuntload.Report {
		return compared(label, func(*testing.T) (*Cluster, []*shuntload.Result) {
			c.Estate, c.Seed, c.Warm = shared(), 1, true
			x := Start(c)
			return x, []*shuntload.Result{warmed(x, Workload{Workspace: "desk", Rate: 0.75 * capacity, Duration: overloadTime, Seed: 1})}
		})[0]
	}
	rows := []shuntload.Report{
		run("direct, no limits", Config{Direct: true, OwnerPolicy: shuntowner.Policy{NoWindow: true, NoWarmUp: true}}),
		run("direct, 1/6 of the window each", Config{Direct: true, OwnerPolicy: shuntowner.Policy{WindowDivisor: 6, NoWarmUp: true}}),
		run("owner windows", Config{}),
	}
	show(rows)
	owner := rows[2]
	if share := float64(owner.Outcomes["Complete"]) / float64(owner.Queries); share < 0.999 {
		t.Errorf("owner windows completed %.4f of the queries; the target is 0.999", share)
	}
	for _, r := range rows[:2] {
		if owner.P99Milliseconds >= r.P99Milliseconds {
			t.Errorf("p99 %.1f ms with owner windows, %.1f ms %s", owner.P99Milliseconds, r.P99Milliseconds, r.Workspace)
		}
	}
}
