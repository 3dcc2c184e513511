package shuntcluster

import (
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntquery"
	"mulberryshunt.example/mulberryshunt/shunttest"
)

// TestStraggler runs load while one replica takes twenty times as long as usual
// and one reply in a hundred takes ten times as long. The targets are a p99 of at
// most 1.5 times that without stragglers, at most 5% extra load, and full coverage
// where the workspace waits for all shards. The showroom workspace values a low
// tail latency more than full coverage and may leave a slow shard out.
func TestStraggler(t *testing.T) {
	shunttest.SkipKnownRed(t)
	cases := map[string]struct {
		estate    shuntfake.Estate
		workspace string
		server    string
		coverage  float64
	}{
		"cooperative": {shuntfake.Cooperative(), "showroom", "showroom-03/r0", 0.999},
		"franchise":   {shuntfake.Franchise(), "counter-desk", "counter-desk-03/r0", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run := func(label string, slow bool, tailShare float64, p shuntquery.Policy) shuntload.Report {
				return measure(t, label, func(*testing.T) (*Cluster, []*shuntload.Result) {
					cluster := Start(Config{Estate: withWorkspaces(c.estate, c.workspace), Seed: 1, Warm: true, TailFraction: tailShare, QueryPolicy: p})
					if slow {
						cluster.Backends[c.server].SetSlowdown(20)
					}
					return cluster, []*shuntload.Result{runAfterWarmUp(cluster, Workload{Workspace: c.workspace, Rate: 40, Duration: measureTime, Seed: 1})}
				})[0]
			}
			noStraggler := run("no straggler", false, 0, shuntquery.Policy{})
			rows := []shuntload.Report{
				noStraggler,
				run("straggler, no hedge, random", true, 0.01, shuntquery.Policy{NoHedge: true, RandomReplica: true}),
				run("straggler, no hedge", true, 0.01, shuntquery.Policy{NoHedge: true}),
				run("straggler, hedge at 50 ms", true, 0.01, shuntquery.Policy{HedgeDelay: 50 * time.Millisecond, UnlimitedHedges: true}),
				run("straggler, hedge at quantile", true, 0.01, shuntquery.Policy{}),
			}
			printReports(rows)
			got := rows[len(rows)-1]
			if limit := 1.5 * noStraggler.P99Milliseconds; got.P99Milliseconds > limit {
				t.Errorf("p99 %.1f ms; the target is at most %.1f ms, 1.5 times that without stragglers", got.P99Milliseconds, limit)
			}
			if got.ExtraLoad > 0.05 {
				t.Errorf("extra load %.3f; the target is at most 0.05", got.ExtraLoad)
			}
			if got.Coverage < c.coverage {
				t.Errorf("coverage %.4f; the target is %g", got.Coverage, c.coverage)
			}
		})
	}
}
