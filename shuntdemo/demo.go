package shuntdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntclient"
	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
)

// Config configures a demonstration.
type Config struct {
	Estate   shuntfake.Estate
	Seed     uint64
	Duration time.Duration
	// Progress receives a line for each step; nil means no output.
	Progress io.Writer
}

// Report holds the results of a demonstration.
type Report struct {
	Estate     string
	Seed       uint64
	Duration   time.Duration
	Workspaces []shuntload.Report
	Violations shuntfake.Violations
	Notes      []string
	Counts     shuntfake.Counts
}

// Queries per second sent to a workspace with several services or with one.
const (
	manyServicesRate = 15.0
	oneServiceRate   = 40.0
)

// step is an operation or a fault that a demonstration triggers.
type step struct {
	// at is the time of the step as a fraction of the duration.
	at   float64
	text string
	do   func(*Deployment)
}

func steps(e shuntfake.Estate) []step {
	zone := e.Zones[len(e.Zones)-1].Name
	second := shuntconfig.SnapshotID{Version: 2, Generation: 1}
	server := shuntconfig.ServerID(e.Services(func(string) string { return "" })[0].Name, "r0")
	return []step{
		{0.20, "availability zone " + zone + " is taken out", func(dep *Deployment) {
			dep.PublishFleet(dep.Fleet().WithZoneInService(zone, false))
		}},
		{0.45, "availability zone " + zone + " comes back", func(dep *Deployment) {
			dep.PublishFleet(dep.Fleet().WithZoneInService(zone, true))
		}},
		{0.60, "backend server " + server + " restarts cold", func(dep *Deployment) {
			dep.Backends[server].Restart(200 * time.Millisecond)
		}},
		{0.75, "snapshot " + second.String() + " is published beside " + shuntfake.FirstSnapshot.String(), func(dep *Deployment) {
			dep.PublishSnapshot(second, shuntfake.FirstSnapshot)
		}},
		{0.88, "snapshot " + shuntfake.FirstSnapshot.String() + " goes", func(dep *Deployment) {
			dep.PublishSnapshot(second)
		}},
	}
}

// Run starts a deployment, sends queries to it while it runs the steps, and
// returns the results.
func Run(ctx context.Context, c Config) (Report, error) {
	progress := func(format string, args ...any) {
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, format+"\n", args...)
		}
	}
	began := time.Now()
	progress("starting %d VMs, and stand-ins for the platform and the backend servers of the %s", c.Estate.VMs, c.Estate.Name)
	dep, err := NewDeployment(c.Estate, c.Seed)
	if err != nil {
		return Report{}, err
	}
	defer dep.Close()
	progress("%d backend servers owned after %.1f s; callers start", len(dep.Backends), time.Since(began).Seconds())
	results := runSteps(ctx, dep, c, progress)
	r := Report{Estate: c.Estate.Name, Seed: c.Seed, Duration: c.Duration, Violations: dep.Log.Violations(), Notes: dep.Log.Notes(), Counts: dep.Log.Counts()}
	for _, result := range results {
		r.Workspaces = append(r.Workspaces, shuntload.NewReport(result))
	}
	return r, nil
}

// runSteps sends queries to all workspaces for c.Duration and runs the steps
// meanwhile.
func runSteps(ctx context.Context, dep *Deployment, c Config, progress func(string, ...any)) []*shuntload.Result {
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	client := shuntclient.NewClient(shuntclient.Config{Addresses: dep.CallerAddresses()})
	defer client.Close()
	var g sync.WaitGroup
	var results []*shuntload.Result
	for i, s := range c.Estate.Workspaces {
		rate := manyServicesRate
		if s.Services == 1 {
			rate = oneServiceRate
		}
		sender := &caller{deployment: dep, client: client, workspace: s, rate: rate, seed: c.Seed + uint64(i), result: shuntload.NewResult(s.Name)}
		results = append(results, sender.result)
		g.Go(func() { sender.run(ctx) })
	}
	began := time.Now()
	for _, s := range steps(c.Estate) {
		if !shuntload.WaitUntil(ctx, began.Add(time.Duration(s.at*float64(c.Duration)))) {
			break
		}
		progress("%5.1f s  %s", time.Since(began).Seconds(), s.text)
		klog.InfoS("Demonstration step started", "step", s.text)
		s.do(dep)
	}
	g.Wait()
	return results
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) {
	shuntload.PrintReports(out, r.Workspaces)
	v := r.Violations
	fmt.Fprintf(out, "\npromises broken, as the stand-ins counted: %d\n", v.Total())
	fmt.Fprintf(out, "  cold overruns %d, connection caps exceeded %d, work after leaving %d, run twice %d, false NotRun %d,\n",
		v.ColdOverruns, v.CapOverruns, v.LateWork, v.RanTwice, v.FalseNotRun)
	fmt.Fprintf(out, "  mixed snapshots %d, false coverage %d, foreign rows %d, cut requests %d, reverted configuration %d\n",
		v.MixedSnapshots, v.FalseCoverage, v.ForeignRows, v.CutRequests, v.Reverted)
	for _, n := range r.Notes {
		fmt.Fprintln(out, "  -", n)
	}
}
