package shuntlab

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// TestRegionsApart: all regions lose each other for an hour, so that no side of
// the one cell has a majority, and a server restarts meanwhile. Every VM goes on
// with what it may use; nobody feeds the cold server; afterwards all is whole.
func TestRegionsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := Start(Config{Estate: tiny(3, 4), Seed: 1, Warm: true})
		warm := x.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: 20 * time.Second, Seed: 1})
		var mu sync.Mutex
		parted := map[shuntoutcome.Outcome]int{}
		x.PartitionRegions(true)
		cold := x.Backends["dispatch/r0"]
		time.AfterFunc(10*time.Minute, func() { cold.Restart(0) })
		x.Run(Workload{Workspace: "dispatch", Rate: 2, Duration: time.Hour, Seed: 2, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
			mu.Lock()
			defer mu.Unlock()
			parted[a.Outcome]++
		}})
		x.PartitionRegions(false)
		time.Sleep(5 * time.Second)
		x.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: 5 * time.Second, Seed: 3})
		after := x.Run(Workload{Workspace: "dispatch", Rate: 60, Duration: 10 * time.Second, Seed: 4})
		owned := x.ready()
		x.Stop()
		fmt.Printf("before %v, apart %v, after %v\n", warm.Outcomes, parted, after.Outcomes)
		if !owned {
			t.Error("after the hour not every server has an owner")
		}
		if parted[shuntoutcome.Complete] < parted[shuntoutcome.NotRun] {
			t.Errorf("apart: %v; two of three regions have a warm server of their own", parted)
		}
		if after.Outcomes["Complete"] != after.Queries {
			t.Errorf("after: %v %v", after.Outcomes, after.Reasons)
		}
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, x.Log.Notes())
		}
	})
}
