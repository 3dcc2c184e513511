package shuntcluster

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shunttest"
)

const coldOverrunSeeds = 200

// singleServiceEstate returns an estate with a single service, small enough for
// many short runs.
func singleServiceEstate(replicas, slots int) shuntfake.Estate {
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{{
		Name: "dispatch", Template: "counter", Services: 1, Replicas: replicas, Slots: slots,
		Connections: 24, ConnectTime: 6 * time.Millisecond, ServiceTime: 8 * time.Millisecond,
	}}
	return e
}

// runRandomFaults runs constant load while, at random times, servers restart
// without notice and a VM is paused. With an even seed, a zone is also taken out of
// service for a while. Servers start cold.
func runRandomFaults(seed uint64, p shuntowner.Policy) (shuntfake.Violations, []string) {
	r := rand.New(rand.NewPCG(seed, 7))
	pausers := map[string]*Pauser{}
	cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: seed, OwnerPolicy: p, WrapConnector: func(vm string, c shuntowner.Connector) shuntowner.Connector {
		pausers[vm] = &Pauser{}
		return pausers[vm].WrapConnector(c)
	}})
	const duration = 6 * time.Second
	schedule := func(fraction float64, f func()) { time.AfterFunc(time.Duration(fraction*float64(duration)), f) }
	ids := []string{"dispatch/r0", "dispatch/r1", "dispatch/r2"}
	for range 3 {
		id, fraction := ids[r.IntN(3)], 0.2+0.7*r.Float64()
		down := time.Duration(r.IntN(300)) * time.Millisecond
		schedule(fraction, func() { cluster.Backends[id].Restart(down) })
	}
	vm := r.IntN(len(cluster.Daemons))
	pause := time.Duration(500+r.IntN(3000)) * time.Millisecond
	schedule(0.1+0.4*r.Float64(), func() { cluster.PauseVM(vm, pausers[cluster.Daemons[vm].Name()], pause) })
	if seed%2 == 0 {
		zone := cluster.config.Estate.Zones[r.IntN(3)].Name
		schedule(0.3, func() { cluster.PublishFleet(cluster.Fleet().WithZoneInService(zone, false)) })
		schedule(0.7, func() { cluster.PublishFleet(cluster.Fleet().WithZoneInService(zone, true)) })
	}
	cluster.Run(Workload{Workspace: "dispatch", Rate: 250, Duration: duration, Seed: seed})
	time.Sleep(pause)
	cluster.Stop()
	return cluster.Log.Violations(), cluster.Log.Notes()
}

// TestColdOverruns checks that a server that has just started never gets more
// requests at a time than it can handle while it warms up, even when other faults
// occur at the same time.
func TestColdOverruns(t *testing.T) {
	for seed := range uint64(coldOverrunSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			shunttest.SkipKnownRed(t)
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if v, notes := runRandomFaults(seed, shuntowner.Policy{}); v.Total() > 0 {
					t.Errorf("%+v\n%s", v, strings.Join(notes, "\n"))
				}
			})
		})
	}
}

// TestColdOverrunsShow checks that servers are overrun without warm-up limits, so
// that TestColdOverruns can fail.
func TestColdOverrunsShow(t *testing.T) {
	n := 0
	for seed := range uint64(3) {
		synctest.Test(t, func(*testing.T) {
			v, _ := runRandomFaults(seed, shuntowner.Policy{NoWarmUp: true})
			n += v.ColdOverruns
		})
	}
	if n == 0 {
		t.Error("no cold overruns without warm-up limits")
	}
	fmt.Printf("cold overruns in 3 seeds without the ramp: %d\n", n)
}

// TestWarmUpTime checks that a restarted server reaches its full window within
// twice the minimum warm-up time.
func TestWarmUpTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := Start(Config{Estate: singleServiceEstate(2, 4), Seed: 1, Warm: true})
		cluster.Run(Workload{Workspace: "dispatch", Rate: 300, Duration: warmUpTime, Seed: 1})
		b := cluster.Backends["dispatch/r0"]
		b.Restart(0)
		restarted := time.Now()
		var warmAfter time.Duration
		time.AfterFunc(time.Millisecond, func() {
			for !b.IsWarm() && time.Since(restarted) < 20*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			warmAfter = time.Since(restarted)
		})
		cluster.Run(Workload{Workspace: "dispatch", Rate: 300, Duration: 2 * warmUpTime, Seed: 2})
		cluster.Stop()
		steps := shuntowner.MaxInFlight(4) - shuntconfig.DefaultInitialSlots
		minimum := time.Duration(steps) * shuntconfig.DefaultWarmStepTime
		fmt.Printf("warm after %v; at best %v\n", warmAfter, minimum)
		if warmAfter == 0 || warmAfter > 2*minimum {
			t.Errorf("warm after %v; the target is at most %v", warmAfter, 2*minimum)
		}
	})
}
