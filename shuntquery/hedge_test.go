package shuntquery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

func hedgeTree() *shuntconfig.Tree {
	s := shuntconfig.Service{
		Name: "a", Slots: 1, Connections: 2, InitialSlots: 1, WarmStepRequests: 1,
		Servers: []shuntconfig.Server{
			{Name: "near", Address: "10.0.0.1:1", Zone: "z"}, {Name: "far", Address: "10.0.0.2:1", Zone: "y"},
		},
		Snapshots: []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1}, Shards: []shuntconfig.Shard{{Name: "x", Servers: []string{"near", "far"}}}}},
	}
	return shuntconfig.NewTree().With(
		shuntconfig.Document{Key: "Template/t", Version: 1, Body: []byte("[Settings]\nServices = [\"a\"]\nWaitForAll = true\n")},
		shuntconfig.Document{Key: "Workspace/w", Version: 1, Body: []byte("Template = \"t\"\n")},
		shuntconfig.Document{Key: shuntconfig.MakeKey(shuntconfig.KindService, "a"), Version: 1, Body: shuntconfig.EncodeService(s)},
	)
}

// TestHedgeNetworkDelay checks that a hedge to a closer server is delayed by the
// difference in network round trip, and a hedge to a more distant one is not.
func TestHedgeNetworkDelay(t *testing.T) {
	const (
		timeout = time.Second
		delay   = (timeout - mergeMargin) / initialHedgeDivisor
		// extraNetwork is the additional round trip to the far server.
		extraNetwork = 16 * time.Millisecond
	)
	want := map[string]time.Duration{"a/near": delay, "a/far": delay + extraNetwork}
	synctest.Test(t, func(t *testing.T) {
		var g sync.WaitGroup
		var mu sync.Mutex
		seen := map[string]time.Duration{}
		for i := range 20 {
			start := time.Now()
			first := ""
			answer := func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
				mu.Lock()
				hedge := first != ""
				if !hedge {
					first = r.Server
				} else {
					seen[first] = time.Since(start)
				}
				mu.Unlock()
				if hedge {
					deliver(correctReply(r))
				}
			}
			co := NewCoordinator(CoordinatorConfig{Sender: fakeSender{answer, &g}, Router: singleVMRouter{}, Guard: shuntguard.New(shuntguard.Config{})})
			// Enough samples for the moving average to converge.
			for range 200 {
				co.replicas.RecordNetworkTime("a/far", extraNetwork)
			}
			co.Run(context.Background(), hedgeTree(), Query{ID: fmt.Sprint(i), Workspace: "w", Deadline: start.Add(timeout), Idempotent: true})
			g.Wait()
		}
		for first, after := range want {
			if got := seen[first].Round(time.Millisecond); got != after.Round(time.Millisecond) {
				t.Errorf("first at %s: hedged after %v; want %v", first, got, after)
			}
		}
	})
}
