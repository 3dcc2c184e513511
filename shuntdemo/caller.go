package shuntdemo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntclient"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

const (
	// nonIdempotentInterval: one in this many requests to a workspace with one
	// service is non-idempotent and sent twice, through different VMs.
	nonIdempotentInterval = 5
	// duplicateDelay is the time between the two.
	duplicateDelay = 15 * time.Millisecond
)

// caller sends queries to one workspace in an open loop: it doesn't wait for the
// answer to one query before it sends the next.
type caller struct {
	deployment *Deployment
	client     *shuntclient.Client
	workspace  shuntfake.WorkspaceSpec
	// rate is in queries per second.
	rate float64
	seed uint64

	mu     sync.Mutex
	result *shuntload.Result
}

// run sends queries at exponentially distributed intervals until ctx ends, and
// then waits for the pending ones.
func (c *caller) run(ctx context.Context) {
	shuntload.OpenLoop(ctx, c.rate, c.seed, func(n int, due time.Time) {
		id := fmt.Sprintf("%s-%d", c.workspace.Name, n)
		if c.workspace.Services == 1 && n%nonIdempotentInterval == 0 {
			c.sendTwice(id, due)
			return
		}
		c.sendQuery(id, due)
	})
}

// sendQuery sends an idempotent query and checks the answer.
func (c *caller) sendQuery(id string, due time.Time) {
	text := "find " + id
	a, err := c.client.Query(context.Background(), shuntclient.Query{
		Workspace: c.workspace.Name,
		ID:        id,
		Request:   shuntentry.Request{Query: text, Idempotent: true},
	})
	c.record(a, err, due)
	if err == nil {
		c.checkAnswer(a, id, text)
	}
}

// sendTwice sends a non-idempotent request, and the same request through another
// VM while the first may still be running. It counts a violation for each shard
// that ran it more than once.
func (c *caller) sendTwice(id string, due time.Time) {
	ctx := context.Background()
	es, err := c.client.Entries(ctx)
	if err != nil || len(es.Entries) == 0 {
		c.record(shuntclient.Answer{}, err, due)
		return
	}
	first, second := es.Entries[0], es.Entries[len(es.Entries)-1]
	tickets, err := c.client.FetchTickets(ctx, first.Address, 1)
	if err != nil || len(tickets) == 0 {
		c.record(shuntclient.Answer{}, err, due)
		return
	}
	text := "book " + id
	query := shuntclient.Query{Workspace: c.workspace.Name, ID: id, Request: shuntentry.Request{Query: text, Ticket: tickets[0]}, Address: first.Address}
	duplicate := query
	duplicate.Address = second.Address
	var g sync.WaitGroup
	g.Go(func() {
		time.Sleep(duplicateDelay)
		if a, err := c.client.Query(ctx, duplicate); err == nil {
			c.checkAnswer(a, id, text)
		}
	})
	a, err := c.client.Query(ctx, query)
	c.record(a, err, due)
	if err == nil {
		c.checkAnswer(a, id, text)
	}
	g.Wait()
	c.deployment.Log.CheckAtMostOnce(id)
}

// record adds an answer or an error to the results. The latency counts from due,
// the time at which the query should have been sent, so that a late sender doesn't
// hide it.
func (c *caller) record(a shuntclient.Answer, err error, due time.Time) {
	took := time.Since(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.result.AddError(err)
		c.deployment.Log.AddViolation(func(v *shuntfake.Violations) { v.CutRequests++ }, "%s: %v", c.workspace.Name, err)
		return
	}
	c.result.AddHTTPAnswer(a, took)
}

func (c *caller) checkAnswer(a shuntclient.Answer, id, text string) {
	rows := make([]shuntquery.Row, len(a.Rows))
	for i, r := range a.Rows {
		rows[i] = shuntquery.Row(r)
	}
	c.deployment.Log.CheckAnswer(a.Outcome, a.Snapshot, a.Coverage.Answered, rows, id, text)
}
