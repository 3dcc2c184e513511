package shuntcluster

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

// measure runs f in virtual time, checks that there were no violations, and
// returns the reports of the results.
func measure(t *testing.T, name string, f func(t *testing.T) (*Cluster, []*shuntload.Result)) []shuntload.Report {
	t.Helper()
	return runAndReport(t, name, f, func(t *testing.T, cluster *Cluster) {
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%s: %+v: %v", name, v, cluster.Log.Notes())
		}
	})
}

// measureBaseline is like measure, but only prints the number of violations:
// baselines are expected to cause some.
func measureBaseline(t *testing.T, name string, f func(t *testing.T) (*Cluster, []*shuntload.Result)) []shuntload.Report {
	t.Helper()
	return runAndReport(t, name, f, func(_ *testing.T, cluster *Cluster) {
		fmt.Printf("%-34s promises broken: %d\n", name, cluster.Log.Violations().Total())
	})
}

// runAndReport runs f in virtual time, stops its cluster, calls check, and returns
// the reports of the results.
func runAndReport(t *testing.T, name string, f func(t *testing.T) (*Cluster, []*shuntload.Result), check func(*testing.T, *Cluster)) []shuntload.Report {
	t.Helper()
	var out []shuntload.Report
	synctest.Test(t, func(t *testing.T) {
		cluster, rs := f(t)
		cluster.Stop()
		for _, r := range rs {
			out = append(out, shuntload.NewReport(r))
		}
		check(t, cluster)
		c := cluster.Log.Counts()
		fmt.Printf("%-34s arrivals %d, sheds %d, crashes %d\n", name, c.Arrivals, c.Sheds, c.Crashes)
	})
	for i := range out {
		out[i].Workspace = name + " " + out[i].Workspace
	}
	return out
}

func printReports(rs []shuntload.Report) { shuntload.PrintReports(os.Stdout, rs) }

// withWorkspaces returns e with only the named workspaces.
func withWorkspaces(e shuntfake.Estate, names ...string) shuntfake.Estate {
	var shapes []shuntfake.WorkspaceSpec
	for _, w := range e.Workspaces {
		for _, n := range names {
			if w.Name == n {
				shapes = append(shapes, w)
			}
		}
	}
	e.Workspaces = shapes
	return e
}

const (
	// measureTime is long enough to estimate p99 at the rates used here, some
	// tens of queries per second.
	measureTime = 30 * time.Second
	warmUpTime  = 5 * time.Second
)

// runAfterWarmUp runs w for warmUpTime with another seed, and then runs w itself
// and returns its result.
func runAfterWarmUp(cluster *Cluster, w Workload) *shuntload.Result {
	warmUp := w
	warmUp.Duration = warmUpTime
	warmUp.Seed += 1000
	warmUp.OnAnswer = nil
	cluster.Run(warmUp)
	return cluster.Run(w)
}
