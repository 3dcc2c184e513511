package shuntcluster

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// TestRegionsApart partitions all regions from each other for an hour, so that no
// region has a majority of the only cell, and restarts a server meanwhile. The VMs
// must keep answering with the servers that they may use, must not overrun the
// cold server, and must answer every query completely after the partition.
func TestRegionsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: 1, Warm: true})
		before := cluster.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: 20 * time.Second, Seed: 1})
		var mu sync.Mutex
		outcomesApart := map[shuntoutcome.Outcome]int{}
		cluster.PartitionRegions(true)
		cold := cluster.Backends["dispatch/r0"]
		time.AfterFunc(10*time.Minute, func() { cold.Restart(0) })
		cluster.Run(Workload{Workspace: "dispatch", Rate: 2, Duration: time.Hour, Seed: 2, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
			mu.Lock()
			defer mu.Unlock()
			outcomesApart[a.Outcome]++
		}})
		cluster.PartitionRegions(false)
		time.Sleep(5 * time.Second)
		cluster.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: 5 * time.Second, Seed: 3})
		after := cluster.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: 10 * time.Second, Seed: 4})
		owned := cluster.ready()
		cluster.Stop()
		fmt.Printf("before %v, apart %v, after %v\n", before.Outcomes, outcomesApart, after.Outcomes)
		if !owned {
			t.Error("not every server has an owner after the partition")
		}
		if outcomesApart[shuntoutcome.Complete] < outcomesApart[shuntoutcome.NotRun] {
			t.Errorf("outcomes during the partition: %v; want at least as many Complete as NotRun, since two of three regions have a warm server", outcomesApart)
		}
		if after.Outcomes["Complete"] != after.Queries {
			t.Errorf("after the partition: outcomes %v, reasons %v", after.Outcomes, after.Reasons)
		}
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, cluster.Log.Notes())
		}
	})
}
