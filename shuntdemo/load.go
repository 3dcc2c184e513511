package shuntdemo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntcaller"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

const (
	// onceEvery: one in this many of the requests to workspaces with one service
	// is non-idempotent, and is sent a second time through another VM.
	onceEvery  = 5
	repeatWait = 15 * time.Millisecond
)

// caller sends the queries of one workspace in an open loop.
type caller struct {
	world  *Deployment
	client *shuntcaller.Client
	shape  shuntfake.WorkspaceSpec
	rate   float64
	seed   uint64

	mu     sync.Mutex
	result *shuntload.Result
}

// run sends queries at exponential intervals until ctx ends, and waits for all.
func (c *caller) run(ctx context.Context) {
	shuntload.OpenLoop(ctx, c.rate, c.seed, func(n int, due time.Time) {
		id := fmt.Sprintf("%s-%d", c.shape.Name, n)
		if c.shape.Services == 1 && n%onceEvery == 0 {
			c.once(id, due)
			return
		}
		c.ask(id, due)
	})
}

func (c *caller) ask(id string, due time.Time) {
	text := "find " + id
	a, err := c.client.Query(context.Background(), shuntcaller.Query{
		Workspace: c.shape.Name,
		ID:        id,
		Request:   shuntentry.Request{Query: text, Idempotent: true},
	})
	c.book(a, err, due)
	if err == nil {
		c.check(a, id, text)
	}
}

// once sends a non-idempotent request, and again through another VM while the
// first is on its way.
func (c *caller) once(id string, due time.Time) {
	ctx := context.Background()
	es, err := c.client.Entries(ctx)
	if err != nil || len(es.Entries) == 0 {
		c.book(shuntcaller.Answer{}, err, due)
		return
	}
	first, second := es.Entries[0], es.Entries[len(es.Entries)-1]
	ts, err := c.client.FetchTickets(ctx, first.Address, 1)
	if err != nil || len(ts) == 0 {
		c.book(shuntcaller.Answer{}, err, due)
		return
	}
	text := "book " + id
	ask := shuntcaller.Query{Workspace: c.shape.Name, ID: id, Request: shuntentry.Request{Query: text, Ticket: ts[0]}, Address: first.Address}
	repeat := ask
	repeat.Address = second.Address
	var g sync.WaitGroup
	g.Go(func() {
		time.Sleep(repeatWait)
		if a, err := c.client.Query(ctx, repeat); err == nil {
			c.check(a, id, text)
		}
	})
	a, err := c.client.Query(ctx, ask)
	c.book(a, err, due)
	if err == nil {
		c.check(a, id, text)
	}
	g.Wait()
	c.world.Log.CheckAtMostOnce(id)
}

func (c *caller) book(a shuntcaller.Answer, err error, due time.Time) {
	took := time.Since(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.result.AddError(err)
		c.world.Log.AddViolation(func(v *shuntfake.Violations) { v.CutRequests++ }, "%s: %v", c.shape.Name, err)
		return
	}
	c.result.AddHTTPAnswer(a, took)
}

func (c *caller) check(a shuntcaller.Answer, id, text string) {
	rows := make([]shuntquery.Row, len(a.Rows))
	for i, r := range a.Rows {
		rows[i] = shuntquery.Row(r)
	}
	c.world.Log.CheckAnswer(a.Outcome, a.Snapshot, a.Coverage.Answered, rows, id, text)
}
