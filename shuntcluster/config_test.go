package shuntcluster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntplatform"
)

// inForceTarget is the time within which a published change must be in force on
// all VMs.
const inForceTarget = 10 * time.Second

const dispatchKey = shuntconfig.Key("Workspace/dispatch")

// dispatchBody returns the document of the dispatch workspace with a deadline.
func dispatchBody(deadlineMilliseconds int) []byte {
	return fmt.Appendf(nil, "Template = \"counter\"\n[Parameters]\nServices = [\"dispatch\"]\nDeadlineMilliseconds = %d\n", deadlineMilliseconds)
}

// versionsOf returns the version of the document k that is in force on each VM.
func (c *Cluster) versionsOf(k shuntconfig.Key) []int64 {
	out := make([]int64, len(c.Daemons))
	for i, d := range c.Daemons {
		doc, _ := d.View().Tree.Document(k)
		out[i] = doc.Version
	}
	return out
}

// waitVersion waits until all VMs, except those whose indexes are in except, have
// version v of k or a later one in force. It returns the time that this took, or
// limit if it took longer.
func (c *Cluster) waitVersion(k shuntconfig.Key, v int64, limit time.Duration, except ...int) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		done := true
		for i, got := range c.versionsOf(k) {
			skip := false
			for _, b := range except {
				skip = skip || b == i
			}
			done = done && (skip || got >= v)
		}
		if done {
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit
}

// watchReverts records a violation whenever a VM reverts to an older version of a
// document. It runs in g until stop is closed.
func (c *Cluster) watchReverts(stop <-chan struct{}, g *sync.WaitGroup) {
	highest := map[string]map[shuntconfig.Key]int64{}
	g.Go(func() {
		t := time.NewTicker(50 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			for i := range c.Daemons {
				v := c.daemonAt(i).View()
				process := v.Self.VM + v.Self.Start
				if highest[process] == nil {
					highest[process] = map[shuntconfig.Key]int64{}
				}
				c.checkVersions(process, highest[process], v.Tree.Versions())
			}
		}
	})
}

// checkVersions records a violation for each document whose current version in a
// VM process is older than the highest version seen there, and updates highest.
func (c *Cluster) checkVersions(process string, highest, current map[shuntconfig.Key]int64) {
	for k, v := range current {
		if v < highest[k] {
			c.Log.AddViolation(func(v *shuntfake.Violations) { v.Reverted++ }, "%s went from %s version %d to %d", process, k, highest[k], v)
		}
		highest[k] = max(highest[k], v)
	}
}

// switchableReader is a platform reader that fails while off is true.
type switchableReader struct {
	shuntplatform.Reader
	off *atomic.Bool
}

func (s switchableReader) List(ctx context.Context) (shuntplatform.Listing, error) {
	if s.off.Load() {
		return shuntplatform.Listing{}, shuntfake.ErrDown
	}
	return s.Reader.List(ctx)
}

func (s switchableReader) Get(ctx context.Context, k shuntconfig.Key) (shuntconfig.Document, error) {
	if s.off.Load() {
		return shuntconfig.Document{}, shuntfake.ErrDown
	}
	return s.Reader.Get(ctx, k)
}

func (s switchableReader) Watch(ctx context.Context, revision int64) (shuntplatform.Change, error) {
	c, err := s.Reader.Watch(ctx, revision)
	if s.off.Load() {
		return shuntplatform.Change{}, shuntfake.ErrDown
	}
	return c, err
}

func (s switchableReader) VMs(ctx context.Context) ([]shuntplatform.VMStatus, error) {
	if s.off.Load() {
		return nil, shuntfake.ErrDown
	}
	return s.Reader.VMs(ctx)
}

// runConfigTest runs f on a small cluster and checks that no VM reverts to an
// older version of a document. The platform reader of VM i fails while off[i] is
// true.
func runConfigTest(t *testing.T, f func(t *testing.T, cluster *Cluster, off []*atomic.Bool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var off []*atomic.Bool
		cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: 1, Warm: true, WrapReader: func(_ string, r shuntplatform.Reader) shuntplatform.Reader {
			off = append(off, &atomic.Bool{})
			return switchableReader{r, off[len(off)-1]}
		}})
		var g sync.WaitGroup
		stop := make(chan struct{})
		cluster.watchReverts(stop, &g)
		f(t, cluster, off)
		close(stop)
		g.Wait()
		cluster.Stop()
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, cluster.Log.Notes())
		}
	})
}

func TestChangeInForce(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, _ []*atomic.Bool) {
		calls := cluster.Platform.Calls()
		v := cluster.Platform.Publish(dispatchKey, dispatchBody(200))
		took := cluster.waitVersion(dispatchKey, v, inForceTarget)
		fmt.Printf("in force everywhere after %v, %d platform calls by %d VMs\n", took, cluster.Platform.Calls()-calls, len(cluster.Daemons))
		if took >= inForceTarget {
			t.Errorf("not in force everywhere after %v: versions %v", took, cluster.versionsOf(dispatchKey))
		}
	})
}

func TestPlatformDownForAnHour(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, _ []*atomic.Bool) {
		cluster.Platform.SetDown(true)
		for range 6 {
			time.Sleep(10 * time.Minute)
			if a := cluster.Query("dispatch", fmt.Sprint(time.Now()), "find"); a.Outcome != shuntoutcome.Complete {
				t.Errorf("during the outage: outcome %v, reason %v", a.Outcome, a.Reason)
			}
		}
		calls := cluster.Platform.Calls()
		cluster.Platform.SetDown(false)
		v := cluster.Platform.Publish(dispatchKey, dispatchBody(210))
		if took := cluster.waitVersion(dispatchKey, v, inForceTarget); took >= inForceTarget {
			t.Errorf("not in force everywhere %v after the outage: versions %v", took, cluster.versionsOf(dispatchKey))
		}
		fmt.Printf("calls after the outage until in force: %d\n", cluster.Platform.Calls()-calls)
	})
}

func TestOneVMCutFromPlatform(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, off []*atomic.Bool) {
		off[2].Store(true)
		v := cluster.Platform.Publish(dispatchKey, dispatchBody(220))
		if took := cluster.waitVersion(dispatchKey, v, inForceTarget); took >= inForceTarget {
			t.Errorf("not in force everywhere after %v: versions %v", took, cluster.versionsOf(dispatchKey))
		}
	})
}

func TestBootDuringOutage(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, _ []*atomic.Bool) {
		v := cluster.Platform.Publish(dispatchKey, dispatchBody(230))
		cluster.waitVersion(dispatchKey, v, inForceTarget)
		cluster.Platform.SetDown(true)
		cluster.CrashVM(1)
		time.Sleep(5 * time.Second)
		cluster.StartVM(1)
		time.Sleep(3 * time.Second)
		if got := cluster.versionsOf(dispatchKey)[1]; got != v {
			t.Errorf("the restarted VM has version %d of the document; want %d", got, v)
		}
		if !cluster.Daemons[1].View().AcceptsWork() {
			t.Error("the restarted VM does not accept work")
		}
		if !cluster.WaitReady() {
			t.Error("not every server has an owner")
		}
	})
}

func TestStaleReader(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, _ []*atomic.Bool) {
		old, _ := cluster.Daemons[0].View().Tree.Document(dispatchKey)
		v := cluster.Platform.Publish(dispatchKey, dispatchBody(240))
		cluster.waitVersion(dispatchKey, v, inForceTarget)
		cluster.Platform.SetStale(old)
		cluster.Platform.Publish("Workspace/other", dispatchBody(100))
		time.Sleep(5 * time.Second)
		cluster.CrashVM(1)
		cluster.StartVM(1)
		time.Sleep(5 * time.Second)
		for i, got := range cluster.versionsOf(dispatchKey) {
			if got != v {
				t.Errorf("VM %d has version %d; want %d", i, got, v)
			}
		}
	})
}

func TestIsolatedVM(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, off []*atomic.Bool) {
		isolated := cluster.Daemons[3]
		off[3].Store(true)
		for _, d := range cluster.Daemons {
			if d != isolated {
				cluster.Network.SetPartitioned(isolated.Name(), d.Name(), true)
			}
		}
		time.Sleep(4 * time.Second)
		r := shuntentry.Request{Query: "find", Idempotent: true}
		if a := cluster.QueryVia(isolated, "dispatch", "lone", r); a.Outcome != shuntoutcome.NotRun || a.Reason != shuntoutcome.Isolated {
			t.Errorf("the isolated VM answered with outcome %v, reason %v", a.Outcome, a.Reason)
		}
		if a := cluster.QueryVia(cluster.Daemons[0], "dispatch", "other", r); a.Outcome != shuntoutcome.Complete {
			t.Errorf("another VM answered with outcome %v, reason %v", a.Outcome, a.Reason)
		}
		for _, d := range cluster.Daemons {
			cluster.Network.SetPartitioned(isolated.Name(), d.Name(), false)
		}
		time.Sleep(2 * time.Second)
		if a := cluster.QueryVia(isolated, "dispatch", "again", r); a.Outcome != shuntoutcome.Complete {
			t.Errorf("after the partition the VM answered with outcome %v, reason %v", a.Outcome, a.Reason)
		}
	})
}

// TestPausedVM checks that a VM that was paused for a minute has a change that was
// published meanwhile in force within inForceTarget.
func TestPausedVM(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, off []*atomic.Bool) {
		const pauseTime = time.Minute
		off[2].Store(true)
		cluster.PauseVM(2, &Pauser{}, pauseTime)
		v := cluster.Platform.Publish(dispatchKey, dispatchBody(260))
		if took := cluster.waitVersion(dispatchKey, v, inForceTarget, 2); took >= inForceTarget {
			t.Errorf("not in force on the other VMs: versions %v", cluster.versionsOf(dispatchKey))
		}
		time.Sleep(pauseTime)
		off[2].Store(false)
		if took := cluster.waitVersion(dispatchKey, v, inForceTarget); took >= inForceTarget {
			t.Errorf("not in force everywhere %v after the VM resumed: versions %v", took, cluster.versionsOf(dispatchKey))
		}
		if !cluster.WaitReady() {
			t.Error("not every server has an owner")
		}
	})
}

func TestInvalidDocumentIsRefusedAlike(t *testing.T) {
	runConfigTest(t, func(t *testing.T, cluster *Cluster, _ []*atomic.Bool) {
		before := cluster.versionsOf(dispatchKey)
		invalid := cluster.Platform.Publish(dispatchKey, []byte("Template = \"counter\"\nColour = \"green\"\n"))
		time.Sleep(3 * time.Second)
		for i, d := range cluster.Daemons {
			if got := cluster.versionsOf(dispatchKey)[i]; got != before[i] {
				t.Errorf("VM %d has version %d in force; want the last valid one, %d", i, got, before[i])
			}
			if r := d.View().Tree.Refusals()[dispatchKey]; r.Version != invalid {
				t.Errorf("VM %d did not refuse version %d", i, invalid)
			}
		}
		if a := cluster.Query("dispatch", "still", "find"); a.Outcome != shuntoutcome.Complete {
			t.Errorf("outcome %v, reason %v", a.Outcome, a.Reason)
		}
		repaired := cluster.Platform.Publish(dispatchKey, dispatchBody(250))
		if took := cluster.waitVersion(dispatchKey, repaired, inForceTarget); took >= inForceTarget {
			t.Errorf("the repaired document is not in force everywhere: versions %v", cluster.versionsOf(dispatchKey))
		}
	})
}

// TestBootSharesReads checks that VMs that start together read each document from
// the platform about once in total and not once per VM.
func TestBootSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := singleServiceEstate(2, 2)
		e.VMs = 24
		e.Workspaces[0].Services = 400
		cluster := Start(Config{Estate: e, Seed: 1, Warm: true})
		if !cluster.WaitReady() {
			t.Error("the VMs did not become ready")
		}
		calls := cluster.Platform.Calls()
		cluster.Stop()
		fmt.Printf("%d VMs, 406 documents: %d platform calls\n", e.VMs, calls)
		if maxCalls := int64(406 + 24*12); calls > maxCalls {
			t.Errorf("%d platform calls; the target is %d: one per document and twelve per VM", calls, maxCalls)
		}
	})
}
