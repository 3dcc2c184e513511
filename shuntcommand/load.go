package shuntcommand

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntclient"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntload"
)

const (
	defaultLoadDuration = 10 * time.Second
	defaultLoadRate     = 20
	maxLoadRate         = 100_000
	progressInterval    = 5 * time.Second
)

type loadFlags struct {
	address, workspace, text string
	rate                     float64
	duration, deadline       time.Duration
	seed                     uint64
	asJSON                   bool
}

func loadCommand() command {
	return command{
		name:    "load",
		summary: "send queries in an open loop and print tail latency, coverage and extra load",
		setup: func(fs *flag.FlagSet) func(*env) error {
			var f loadFlags
			fs.StringVar(&f.address, "address", "", callerAddressHelp)
			fs.StringVar(&f.workspace, "workspace", "", "the workspace to query (required)")
			fs.StringVar(&f.text, "text", "find %d", "the query text; %d is the number of the query")
			fs.Float64Var(&f.rate, "rate", defaultLoadRate, "queries a second")
			fs.DurationVar(&f.duration, "duration", defaultLoadDuration, "how long to send")
			fs.DurationVar(&f.deadline, "deadline", 0, "deadline of each query; by default the workspace's")
			fs.Uint64Var(&f.seed, "seed", 1, "seed of the intervals between queries")
			fs.BoolVar(&f.asJSON, "json", false, "print JSON")
			return func(e *env) error { return runLoad(e, f) }
		},
	}
}

func runLoad(e *env, f loadFlags) error {
	switch {
	case f.workspace == "":
		return usageError("-workspace: no workspace given")
	case f.rate <= 0 || f.rate > maxLoadRate:
		return usageError("-rate: %g is not above 0 and at most %d", f.rate, maxLoadRate)
	case f.duration <= 0:
		return usageError("-duration: %v is not above 0", f.duration)
	}
	c, err := newClient(f.address, "", "")
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Entries(e.ctx); err != nil {
		return unreachableError(err)
	}
	r := sendLoad(e, c, f)
	report := shuntload.NewReport(r)
	if f.asJSON {
		if err := printJSON(e.out, report); err != nil {
			return err
		}
	} else {
		shuntload.PrintReports(e.out, []shuntload.Report{report})
	}
	if r.Errors > 0 {
		return failedError("%d queries got no answer; the last: %s", r.Errors, r.LastError)
	}
	return nil
}

// sendLoad sends queries at the given rate and collects the results.
func sendLoad(e *env, c *shuntclient.Client, f loadFlags) *shuntload.Result {
	ctx, cancel := context.WithTimeout(e.ctx, f.duration)
	defer cancel()
	r := shuntload.NewResult(f.workspace)
	var mu sync.Mutex
	var g sync.WaitGroup
	if !f.asJSON {
		g.Go(func() { showProgress(ctx, e, &mu, r) })
	}
	shuntload.OpenLoop(ctx, f.rate, f.seed, func(n int, due time.Time) {
		a, err := c.Query(e.ctx, shuntclient.Query{
			Workspace: f.workspace,
			Deadline:  f.deadline,
			Request:   shuntentry.Request{Query: queryText(f.text, n), Idempotent: true},
		})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.AddError(err)
			return
		}
		r.AddHTTPAnswer(a, time.Since(due))
	})
	g.Wait()
	return r
}

// queryText replaces each %d in format by the number of the query.
func queryText(format string, n int) string {
	return strings.ReplaceAll(format, "%d", fmt.Sprint(n))
}

// showProgress prints the number of queries periodically until ctx is done.
func showProgress(ctx context.Context, e *env, mu *sync.Mutex, r *shuntload.Result) {
	for shuntload.WaitUntil(ctx, time.Now().Add(progressInterval)) {
		mu.Lock()
		fmt.Fprintf(e.errOut, "%d queries, %d without an answer\n", r.Queries, r.Errors)
		mu.Unlock()
	}
}
