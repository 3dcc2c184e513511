package shuntdemo

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntcaller"
	"mulberryshunt.example/mulberryshunt/shuntdaemon"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
)

// TestRollingReplacementTCP replaces all six VMs, two at a time, by the graceful
// end that SIGTERM starts, while callers query over real connections. The
// verdict is the count of requests that got no answer, which must be none.
func TestRollingReplacementTCP(t *testing.T) {
	e := shuntfake.Cooperative()
	e.Workspaces = e.Workspaces[2:3]
	w, err := NewDeployment(e, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	client := shuntcaller.NewClient(shuntcaller.Config{Addresses: w.CallerAddresses()})
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	c := &caller{world: w, client: client, shape: e.Workspaces[0], rate: 60, seed: 1, result: shuntload.NewResult("dispatch")}
	var g sync.WaitGroup
	g.Go(func() { c.run(ctx) })
	for i := 0; i < len(w.Daemons); i += 2 {
		var two sync.WaitGroup
		two.Go(func() { replace(t, w, i) })
		two.Go(func() { replace(t, w, i+1) })
		two.Wait()
		time.Sleep(time.Second)
	}
	cancel()
	g.Wait()
	v := w.Log.Violations()
	fmt.Printf("replaced over TCP: %d queries, outcomes %v %v, %d without an answer\n", c.result.Queries, c.result.Outcomes, c.result.Reasons, c.result.Errors)
	if v.Total() > 0 {
		t.Errorf("%+v %v", v, w.Log.Notes())
	}
	if n := c.result.Reasons["PeerLost"]; n > 0 {
		t.Errorf("%d queries lost their owner VM; a graceful end loses none", n)
	}
	if c.result.Outcomes["Complete"] == 0 {
		t.Error("no query was answered; the run shows nothing")
	}
}

func replace(t *testing.T, w *Deployment, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w.Daemons[i].Shutdown(ctx)
	var d *shuntdaemon.Daemon
	var err error
	// The port may still be on its way to being free.
	for range 50 {
		if d, err = w.StartDaemon(w.Fleet().VMs[i]); err == nil {
			w.Daemons[i] = d
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error(err)
}
