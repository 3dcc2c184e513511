package shuntdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcaller"
	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
)

// Config is what a demonstration is made of.
type Config struct {
	Estate   shuntfake.Estate
	Seed     uint64
	Duration time.Duration
	// Progress is told what happens; nil is allowed.
	Progress io.Writer
}

// Report is what a demonstration showed.
type Report struct {
	Estate     string
	Seed       uint64
	Duration   time.Duration
	Workspaces []shuntload.Report
	Violations shuntfake.Violations
	Notes      []string
	Counts     shuntfake.Counts
}

// rates are the queries a second of a workspace with one service and with many.
const (
	wideRate   = 15.0
	narrowRate = 40.0
)

// step is one thing that operators do in the demonstration, at a share of its
// duration.
type step struct {
	at   float64
	text string
	do   func(*Deployment)
}

func steps(e shuntfake.Estate) []step {
	zone := e.Zones[len(e.Zones)-1].Name
	second := shuntconfig.SnapshotID{Version: 2, Generation: 1}
	server := shuntconfig.ServerID(e.Services(func(string) string { return "" })[0].Name, "r0")
	return []step{
		{0.20, "availability zone " + zone + " is taken out", func(w *Deployment) {
			w.PublishFleet(w.Fleet().WithZoneInService(zone, false))
		}},
		{0.45, "availability zone " + zone + " comes back", func(w *Deployment) {
			w.PublishFleet(w.Fleet().WithZoneInService(zone, true))
		}},
		{0.60, "backend server " + server + " restarts cold", func(w *Deployment) {
			w.Backends[server].Restart(200 * time.Millisecond)
		}},
		{0.75, "snapshot " + second.String() + " is published beside " + shuntfake.FirstSnapshot.String(), func(w *Deployment) {
			w.PublishSnapshot(second, shuntfake.FirstSnapshot)
		}},
		{0.88, "snapshot " + shuntfake.FirstSnapshot.String() + " goes", func(w *Deployment) {
			w.PublishSnapshot(second)
		}},
	}
}

// Run runs a demonstration.
func Run(ctx context.Context, c Config) (Report, error) {
	say := func(format string, args ...any) {
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, format+"\n", args...)
		}
	}
	began := time.Now()
	say("starting %d VMs, and stand-ins for the platform and the backend servers of the %s", c.Estate.VMs, c.Estate.Name)
	w, err := NewDeployment(c.Estate, c.Seed)
	if err != nil {
		return Report{}, err
	}
	defer w.Close()
	say("%d backend servers owned after %.1f s; callers start", len(w.Backends), time.Since(began).Seconds())
	results := drive(ctx, w, c, say)
	r := Report{Estate: c.Estate.Name, Seed: c.Seed, Duration: c.Duration, Violations: w.Log.Violations(), Notes: w.Log.Notes(), Counts: w.Log.Counts()}
	for _, x := range results {
		r.Workspaces = append(r.Workspaces, shuntload.NewReport(x))
	}
	return r, nil
}

func drive(ctx context.Context, w *Deployment, c Config, say func(string, ...any)) []*shuntload.Result {
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	client := shuntcaller.NewClient(shuntcaller.Config{Addresses: w.CallerAddresses()})
	defer client.Close()
	var g sync.WaitGroup
	var results []*shuntload.Result
	for i, s := range c.Estate.Workspaces {
		rate := wideRate
		if s.Services == 1 {
			rate = narrowRate
		}
		x := &caller{world: w, client: client, shape: s, rate: rate, seed: c.Seed + uint64(i), result: shuntload.NewResult(s.Name)}
		results = append(results, x.result)
		g.Go(func() { x.run(ctx) })
	}
	began := time.Now()
	for _, s := range steps(c.Estate) {
		if !shuntload.WaitUntil(ctx, began.Add(time.Duration(s.at*float64(c.Duration)))) {
			break
		}
		say("%5.1f s  %s", time.Since(began).Seconds(), s.text)
		klog.InfoS("Demonstration", "step", s.text)
		s.do(w)
	}
	g.Wait()
	return results
}

// Print writes the report for people.
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
