package shuntcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoperator"
)

const (
	operatorAddressHelp = "operators' listeners to ask, host:port, separated by commas (required)"
	operatorTimeout     = 5 * time.Second
	maxStatusBytes      = 16 << 20
)

// getOperatorJSON requests path from the operators' listener of a VM and decodes
// the JSON response.
func getOperatorJSON(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return unreachableError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return unreachableError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return unreachableError(err)
	}
	if resp.StatusCode != http.StatusOK {
		return failedError("%s answered %s: %s", address, resp.Status, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, into)
}

func statusCommand() command {
	return command{
		name:    "status",
		summary: "show the state of VMs: configuration in force, other VMs, owned backend servers",
		setup: func(fs *flag.FlagSet) func(*env) error {
			address := fs.String("address", "", operatorAddressHelp)
			servers := fs.Bool("servers", false, "show each backend server, its owner and its window")
			asJSON := fs.Bool("json", false, "print JSON")
			return func(e *env) error { return runStatus(e, *address, *servers, *asJSON) }
		},
	}
}

func runStatus(e *env, addresses string, servers, asJSON bool) error {
	if addresses == "" {
		return usageError("-address: no address given")
	}
	var all []shuntoperator.Status
	var lastErr error
	for _, a := range strings.Split(addresses, ",") {
		var s shuntoperator.Status
		if err := getOperatorJSON(e.ctx, a, shuntoperator.PathStatus, &s); err != nil {
			fmt.Fprintf(e.errOut, "%s: %v\n", a, err)
			lastErr = err
			continue
		}
		all = append(all, s)
	}
	if asJSON {
		if err := printJSON(e.out, all); err != nil {
			return err
		}
		return lastErr
	}
	printStatus(e.out, all)
	if servers {
		printServers(e.out, all)
	}
	return lastErr
}

func printStatus(out io.Writer, all []shuntoperator.Status) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tZONE\tSTATE\tFLEET\tDIGEST\tPEERS LIVE\tOWNS\tCOLD\tREFUSED\tPROBLEMS")
	for _, s := range all {
		live, owned, cold := 0, 0, 0
		for _, p := range s.Peers {
			if p.Live {
				live++
			}
		}
		for _, v := range s.Servers {
			if v.Mine {
				owned++
			}
			if v.Mine && v.Known && !v.Warm {
				cold++
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d/%d\t%d\t%d\t%d\t%d\n",
			s.VM, s.Zone, vmState(s), s.FleetVersion, s.Digest, live, len(s.Peers), owned, cold, len(s.Refused), len(s.Problems))
	}
	_ = t.Flush()
	for _, s := range all {
		for _, r := range s.Refused {
			fmt.Fprintf(out, "%s refused %s version %d: %s\n", s.VM, r.Key, r.Version, r.Reason)
		}
		for _, p := range s.Problems {
			fmt.Fprintf(out, "%s: workspace %s: %s\n", s.VM, p.Workspace, p.Reason)
		}
	}
}

func vmState(s shuntoperator.Status) string {
	switch {
	case !s.Ready:
		return "Starting"
	case s.Isolated:
		return "Isolated"
	case s.Leaving && !s.InService:
		return "Out"
	case s.Leaving:
		return "Leaving"
	}
	return "Serving"
}

func printServers(out io.Writer, all []shuntoperator.Status) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nSERVER\tOWNER\tLEASE MS\tSTATE\tWINDOW\tIN FLIGHT\tQUEUED\tCONNECTIONS\tLATENCY MS")
	for _, s := range all {
		for _, v := range s.Servers {
			if !v.Mine {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%.1f\n", v.Server, v.Owner, v.LeaseMilliseconds,
				warmState(v), v.Window, v.InFlight, v.Queued, v.Connections, float64(v.LatencyMicroseconds)/1000)
		}
	}
	_ = t.Flush()
}

func warmState(v shuntoperator.ServerStatus) string {
	switch {
	case !v.Known:
		return "unused"
	case v.Warm:
		return "warm"
	}
	return "cold: " + v.ColdReason
}

func explainCommand() command {
	return command{
		name:      "explain",
		usageArgs: "REQUEST-ID",
		summary:   "tell why a request that a VM answered lately was routed as it was",
		setup: func(fs *flag.FlagSet) func(*env) error {
			address := fs.String("address", "", operatorAddressHelp)
			asJSON := fs.Bool("json", false, "print JSON")
			return func(e *env) error { return runExplain(e, *address, *asJSON) }
		},
	}
}

func runExplain(e *env, addresses string, asJSON bool) error {
	if addresses == "" || len(e.args) != 1 {
		return usageError("give -address and one request id")
	}
	var lastErr error
	for _, a := range strings.Split(addresses, ",") {
		var x shuntoperator.Explanation
		path := shuntoperator.PathExplain + "?" + url.Values{shuntoperator.ParamID: {e.args[0]}}.Encode()
		if lastErr = getOperatorJSON(e.ctx, a, path, &x); lastErr != nil {
			continue
		}
		if asJSON {
			return printJSON(e.out, x)
		}
		printExplanation(e.out, x)
		return nil
	}
	return lastErr
}

func printExplanation(out io.Writer, x shuntoperator.Explanation) {
	fmt.Fprintf(out, "request %s: %s, %s. %s\n", x.RequestID, x.Outcome, x.Reason, x.Text)
	fmt.Fprintf(out, "snapshot %s, %d of %d shards, %d sub-requests, %d hedges, %d retries\n",
		x.Snapshot, x.Answered, x.Total, x.Sent, x.Hedges, x.Retries)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SHARD\tSERVER\tOWNER\tATTEMPTS\tHEDGED\tREASON\tMS")
	for _, h := range x.Hops {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%t\t%s\t%.1f\n", h.Shard, h.Server, h.Owner, h.Attempts, h.Hedged, h.Reason,
			float64(h.ElapsedMicroseconds)/1000)
	}
	_ = t.Flush()
}
