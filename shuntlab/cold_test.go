package shuntlab

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
)

const coldSeeds = 200

// tiny is an estate of one service with three replicas, for many short runs.
func tiny(replicas, slots int) shuntfake.Estate {
	e := shuntfake.Cooperative()
	e.Workspaces = []shuntfake.WorkspaceSpec{{
		Name: "dispatch", Template: "counter", Services: 1, Replicas: replicas, Slots: slots,
		Connections: 24, ConnectTime: 6 * time.Millisecond, ServiceTime: 8 * time.Millisecond,
	}}
	return e
}

// coldRun runs one seed: a steady load while servers restart without notice,
// owners are paused and crash, and zones go and come back, all at random.
func coldRun(seed uint64, p shuntowner.Policy) (shuntfake.Violations, []string) {
	r := rand.New(rand.NewPCG(seed, 7))
	freezers := map[string]*Pauser{}
	x := Start(Config{Estate: tiny(3, 4), Seed: seed, OwnerPolicy: p, WrapConnector: func(vm string, c shuntowner.Connector) shuntowner.Connector {
		freezers[vm] = &Pauser{}
		return freezers[vm].WrapConnector(c)
	}})
	const span = 6 * time.Second
	at := func(share float64, f func()) { time.AfterFunc(time.Duration(share*float64(span)), f) }
	ids := []string{"dispatch/r0", "dispatch/r1", "dispatch/r2"}
	for range 3 {
		id, share := ids[r.IntN(3)], 0.2+0.7*r.Float64()
		down := time.Duration(r.IntN(300)) * time.Millisecond
		at(share, func() { x.Backends[id].Restart(down) })
	}
	vm := r.IntN(len(x.Daemons))
	pause := time.Duration(500+r.IntN(3000)) * time.Millisecond
	at(0.1+0.4*r.Float64(), func() { x.PauseVM(vm, freezers[x.Daemons[vm].Name()], pause) })
	if seed%2 == 0 {
		zone := x.config.Estate.Zones[r.IntN(3)].Name
		at(0.3, func() { x.PublishFleet(x.Fleet().WithZoneInService(zone, false)) })
		at(0.7, func() { x.PublishFleet(x.Fleet().WithZoneInService(zone, true)) })
	}
	x.Run(Workload{Workspace: "dispatch", Rate: 250, Duration: span, Seed: seed})
	time.Sleep(pause)
	x.Stop()
	return x.Log.Violations(), x.Log.Notes()
}

// TestColdOverruns: a freshly started server never gets more than it bears,
// whatever else goes wrong at the same time.
func TestColdOverruns(t *testing.T) {
	for seed := range uint64(coldSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			knownRed(t)
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if v, notes := coldRun(seed, shuntowner.Policy{}); v.Total() > 0 {
					t.Errorf("%+v\n%s", v, strings.Join(notes, "\n"))
				}
			})
		})
	}
}

// TestColdOverrunsShow: without the ramp the same seeds do overrun, so the test
// above can fail.
func TestColdOverrunsShow(t *testing.T) {
	n := 0
	for seed := range uint64(3) {
		synctest.Test(t, func(*testing.T) {
			v, _ := coldRun(seed, shuntowner.Policy{NoWarmUp: true})
			n += v.ColdOverruns
		})
	}
	if n == 0 {
		t.Error("no overrun without the ramp")
	}
	fmt.Printf("cold overruns in 3 seeds without the ramp: %d\n", n)
}

// TestWarmUpTime: a server that restarted is back at its full window within
// twice the time that its warm-up takes at best.
func TestWarmUpTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := Start(Config{Estate: tiny(2, 4), Seed: 1, Warm: true})
		x.Run(Workload{Workspace: "dispatch", Rate: 300, Duration: warmTime, Seed: 1})
		b := x.Backends["dispatch/r0"]
		b.Restart(0)
		began := time.Now()
		var warm time.Duration
		time.AfterFunc(time.Millisecond, func() {
			for !b.IsWarm() && time.Since(began) < 20*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			warm = time.Since(began)
		})
		x.Run(Workload{Workspace: "dispatch", Rate: 300, Duration: 2 * warmTime, Seed: 2})
		x.Stop()
		steps := shuntowner.MaxInFlight(4) - shuntconfig.DefaultInitialSlots
		ideal := time.Duration(steps) * shuntconfig.DefaultWarmStepTime
		fmt.Printf("warm after %v; at best %v\n", warm, ideal)
		if warm == 0 || warm > 2*ideal {
			t.Errorf("warm after %v; the target is %v", warm, 2*ideal)
		}
	})
}
