package shuntcommand

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntclient"
	"mulberryshunt.example/mulberryshunt/shuntentry"
)

const callerAddressHelp = "callers' listeners to ask, host:port, separated by commas (required)"

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// newClient returns a client for a comma-separated list of addresses.
func newClient(addresses, zone, region string) (*shuntclient.Client, error) {
	if addresses == "" {
		return nil, usageError("-address: no address given")
	}
	return shuntclient.NewClient(shuntclient.Config{Addresses: strings.Split(addresses, ","), Zone: zone, Region: region}), nil
}

func entriesCommand() command {
	return command{
		name:    "entries",
		summary: "ask which addresses callers should use",
		setup: func(fs *flag.FlagSet) func(*env) error {
			address := fs.String("address", "", callerAddressHelp)
			zone := fs.String("zone", "", "the caller's availability zone")
			region := fs.String("region", "", "the caller's region")
			asJSON := fs.Bool("json", false, "print JSON")
			return func(e *env) error {
				c, err := newClient(*address, *zone, *region)
				if err != nil {
					return err
				}
				defer c.Close()
				es, err := c.Entries(e.ctx)
				if err != nil {
					return unreachableError(err)
				}
				if *asJSON {
					return printJSON(e.out, es)
				}
				for _, x := range es.Entries {
					fmt.Fprintf(e.out, "%-24s %-16s %s\n", x.Address, x.Name, x.Zone)
				}
				fmt.Fprintf(e.out, "keep for %d ms\n", es.MaxAgeMilliseconds)
				return nil
			}
		},
	}
}

type queryFlags struct {
	address, id string
	deadline    time.Duration
	once        bool
	limit       int
	asJSON      bool
}

func queryCommand() command {
	return command{
		name:      "query",
		usageArgs: "WORKSPACE TEXT",
		summary:   "send one query and print its rows and coverage",
		setup: func(fs *flag.FlagSet) func(*env) error {
			var f queryFlags
			fs.StringVar(&f.address, "address", "", callerAddressHelp)
			fs.StringVar(&f.id, "id", "", "request id; by default the system makes one")
			fs.DurationVar(&f.deadline, "deadline", 0, "deadline; by default the workspace's")
			fs.BoolVar(&f.once, "once", false, "the request is not idempotent: take a ticket and run it at most once")
			fs.IntVar(&f.limit, "limit", 0, "most rows to return; 0 means all")
			fs.BoolVar(&f.asJSON, "json", false, "print JSON")
			return func(e *env) error { return runQuery(e, f) }
		},
	}
}

func runQuery(e *env, f queryFlags) error {
	if len(e.args) != 2 {
		return usageError("give a workspace and a query text")
	}
	c, err := newClient(f.address, "", "")
	if err != nil {
		return err
	}
	defer c.Close()
	a := shuntclient.Query{
		Workspace: e.args[0],
		ID:        f.id,
		Deadline:  f.deadline,
		Request:   shuntentry.Request{Query: e.args[1], Idempotent: !f.once, Limit: f.limit},
	}
	if f.once {
		ts, err := c.FetchTickets(e.ctx, "", 1)
		if err != nil {
			return unreachableError(err)
		}
		a.Request.Ticket = ts[0]
	}
	out, err := c.Query(e.ctx, a)
	if err != nil {
		return unreachableError(err)
	}
	if f.asJSON {
		if err := printJSON(e.out, out.WireAnswer); err != nil {
			return err
		}
	} else {
		printAnswer(e, out)
	}
	if out.Outcome != "Complete" {
		return failedError("%s: %s: %s", out.Outcome, out.Reason, out.Text)
	}
	return nil
}

func printAnswer(e *env, a shuntclient.Answer) {
	for _, r := range a.Rows {
		fmt.Fprintf(e.out, "%-32s %8.3f  %s\n", r.Key, r.Score, r.Text)
	}
	fmt.Fprintf(e.out, "%s: %d of %d shards of snapshot %s, %d rows, %d sub-requests, %.1f ms, request %s at %s\n",
		a.Outcome, a.Coverage.Answered, a.Coverage.Total, a.Snapshot, len(a.Rows), a.SubRequests,
		float64(a.Latency.Microseconds())/1000, a.RequestID, a.Address)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(e.out, "  missing %s: %s\n", m.Shard, m.Reason)
	}
}
