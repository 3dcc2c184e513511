package shuntlab

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntload"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(discard{})
	flag.Parse()
	os.Exit(m.Run())
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// measured runs f in virtual time, checks that no promise was broken, and
// returns the reports.
func measured(t *testing.T, name string, f func(t *testing.T) (*Cluster, []*shuntload.Result)) []shuntload.Report {
	t.Helper()
	return run(t, name, f, func(t *testing.T, x *Cluster) {
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%s: %+v: %v", name, v, x.Log.Notes())
		}
	})
}

// baseline does the same for a baseline, which may break promises.
func baseline(t *testing.T, name string, f func(t *testing.T) (*Cluster, []*shuntload.Result)) []shuntload.Report {
	t.Helper()
	return run(t, name, f, func(_ *testing.T, x *Cluster) {
		fmt.Printf("%-34s promises broken: %d\n", name, x.Log.Violations().Total())
	})
}

func run(t *testing.T, name string, f func(t *testing.T) (*Cluster, []*shuntload.Result), check func(*testing.T, *Cluster)) []shuntload.Report {
	t.Helper()
	var out []shuntload.Report
	synctest.Test(t, func(t *testing.T) {
		x, rs := f(t)
		x.Stop()
		for _, r := range rs {
			out = append(out, shuntload.NewReport(r))
		}
		check(t, x)
		c := x.Log.Counts()
		fmt.Printf("%-34s arrivals %d, sheds %d, crashes %d\n", name, c.Arrivals, c.Sheds, c.Crashes)
	})
	for i := range out {
		out[i].Workspace = name + " " + out[i].Workspace
	}
	return out
}

func show(rs []shuntload.Report) { shuntload.PrintReports(os.Stdout, rs) }

// only returns the estate with just the named workspaces.
func only(e shuntfake.Estate, names ...string) shuntfake.Estate {
	var ws []shuntfake.WorkspaceSpec
	for _, w := range e.Workspaces {
		for _, n := range names {
			if w.Name == n {
				ws = append(ws, w)
			}
		}
	}
	e.Workspaces = ws
	return e
}

const (
	// measureTime is long enough for p99 of some hundred queries.
	measureTime = 30 * time.Second
	warmTime    = 5 * time.Second
)

// warmed sends a stream for warm-up, and then the same as measurement.
func warmed(x *Cluster, s Workload) *shuntload.Result {
	w := s
	w.Duration = warmTime
	w.Seed += 1000
	w.OnAnswer = nil
	x.Run(w)
	return x.Run(s)
}
