package shuntdemo

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntclient"
	"mulberryshunt.example/mulberryshunt/shuntdaemon"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
)

// TestRollingReplacementTCP guards against requests that get no answer because a
// VM is replaced. It replaces all six VMs, two at a time, with the same graceful
// shutdown as on SIGTERM, while a caller sends queries over TCP.
func TestRollingReplacementTCP(t *testing.T) {
	e := shuntfake.Cooperative()
	e.Workspaces = e.Workspaces[2:3]
	dep, err := NewDeployment(e, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer dep.Close()
	client := shuntclient.NewClient(shuntclient.Config{Addresses: dep.CallerAddresses()})
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	c := &caller{deployment: dep, client: client, workspace: e.Workspaces[0], rate: 60, seed: 1, result: shuntload.NewResult("dispatch")}
	var g sync.WaitGroup
	g.Go(func() { c.run(ctx) })
	for i := 0; i < len(dep.Daemons); i += 2 {
		var pair sync.WaitGroup
		pair.Go(func() { replaceVM(t, dep, i) })
		pair.Go(func() { replaceVM(t, dep, i+1) })
		pair.Wait()
		time.Sleep(time.Second)
	}
	cancel()
	g.Wait()
	v := dep.Log.Violations()
	fmt.Printf("replaced over TCP: %d queries, outcomes %v %v, %d without an answer\n", c.result.Queries, c.result.Outcomes, c.result.Reasons, c.result.Errors)
	if v.Total() > 0 {
		t.Errorf("violations: %+v, notes: %v", v, dep.Log.Notes())
	}
	if n := c.result.Reasons["PeerLost"]; n > 0 {
		t.Errorf("%d queries ended with PeerLost; a graceful shutdown must cause none", n)
	}
	if c.result.Outcomes["Complete"] == 0 {
		t.Error("no query had the outcome Complete, so the test proves nothing")
	}
}

// replaceVM shuts down the i-th VM and starts it again.
func replaceVM(t *testing.T, dep *Deployment, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dep.Daemons[i].Shutdown(ctx)
	var d *shuntdaemon.Daemon
	var err error
	// The old daemon's port may not be free yet.
	for range 50 {
		if d, err = dep.StartDaemon(dep.Fleet().VMs[i]); err == nil {
			dep.Daemons[i] = d
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error(err)
}
