package shuntlab

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

// inForceTarget is how soon a published change has to be in force everywhere.
const inForceTarget = 10 * time.Second

const deskKey = shuntconfig.Key("Workspace/dispatch")

func deskBody(deadline int) []byte {
	return fmt.Appendf(nil, "Template = \"counter\"\n[Parameters]\nServices = [\"dispatch\"]\nDeadlineMilliseconds = %d\n", deadline)
}

// versionsOf returns the version of a key that each VM has in force.
func (x *Cluster) versionsOf(k shuntconfig.Key) []int64 {
	out := make([]int64, len(x.Daemons))
	for i, d := range x.Daemons {
		doc, _ := d.View().Tree.Document(k)
		out[i] = doc.Version
	}
	return out
}

// waitVersion waits until all VMs but those named have version v of k and
// returns how long it took; more than the limit is reported as such.
func (x *Cluster) waitVersion(k shuntconfig.Key, v int64, limit time.Duration, but ...int) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		done := true
		for i, got := range x.versionsOf(k) {
			skipped := false
			for _, b := range but {
				skipped = skipped || b == i
			}
			done = done && (skipped || got >= v)
		}
		if done {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit
}

// watchReverts counts a violation whenever a VM goes back to an older version.
func (x *Cluster) watchReverts(stop <-chan struct{}, g *sync.WaitGroup) {
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
			for i := range x.Daemons {
				v := x.at(i).View()
				life := v.Self.VM + v.Self.Start
				if highest[life] == nil {
					highest[life] = map[shuntconfig.Key]int64{}
				}
				x.checkVersions(life, highest[life], v.Tree.Versions())
			}
		}
	})
}

// checkVersions compares the versions of one life of a VM with the highest seen.
func (x *Cluster) checkVersions(life string, highest, now map[shuntconfig.Key]int64) {
	for k, v := range now {
		if v < highest[k] {
			x.Log.AddViolation(func(v *shuntfake.Violations) { v.Reverted++ }, "%s went from %s version %d to %d", life, k, highest[k], v)
		}
		highest[k] = max(highest[k], v)
	}
}

// switchable is a reader of the platform that can be cut off.
type switchable struct {
	shuntplatform.Reader
	off *atomic.Bool
}

func (s switchable) List(ctx context.Context) (shuntplatform.Listing, error) {
	if s.off.Load() {
		return shuntplatform.Listing{}, shuntfake.ErrDown
	}
	return s.Reader.List(ctx)
}

func (s switchable) Get(ctx context.Context, k shuntconfig.Key) (shuntconfig.Document, error) {
	if s.off.Load() {
		return shuntconfig.Document{}, shuntfake.ErrDown
	}
	return s.Reader.Get(ctx, k)
}

func (s switchable) Watch(ctx context.Context, revision int64) (shuntplatform.Change, error) {
	c, err := s.Reader.Watch(ctx, revision)
	if s.off.Load() {
		return shuntplatform.Change{}, shuntfake.ErrDown
	}
	return c, err
}

func (s switchable) VMs(ctx context.Context) ([]shuntplatform.VMStatus, error) {
	if s.off.Load() {
		return nil, shuntfake.ErrDown
	}
	return s.Reader.VMs(ctx)
}

// configCase runs a case on a small estate whose VMs' readers can be cut off,
// and watches that no VM ever goes back.
func configCase(t *testing.T, f func(t *testing.T, x *Cluster, off []*atomic.Bool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var off []*atomic.Bool
		x := Start(Config{Estate: tiny(3, 4), Seed: 1, Warm: true, WrapReader: func(_ string, r shuntplatform.Reader) shuntplatform.Reader {
			off = append(off, &atomic.Bool{})
			return switchable{r, off[len(off)-1]}
		}})
		var g sync.WaitGroup
		stop := make(chan struct{})
		x.watchReverts(stop, &g)
		f(t, x, off)
		close(stop)
		g.Wait()
		x.Stop()
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, x.Log.Notes())
		}
	})
}

func TestChangeInForce(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, _ []*atomic.Bool) {
		calls := x.Platform.Calls()
		v := x.Platform.Publish(deskKey, deskBody(200))
		took := x.waitVersion(deskKey, v, inForceTarget)
		fmt.Printf("in force everywhere after %v, %d platform calls by %d VMs\n", took, x.Platform.Calls()-calls, len(x.Daemons))
		if took >= inForceTarget {
			t.Errorf("not in force after %v: %v", took, x.versionsOf(deskKey))
		}
	})
}

func TestPlatformDownForAnHour(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, _ []*atomic.Bool) {
		x.Platform.SetDown(true)
		for range 6 {
			time.Sleep(10 * time.Minute)
			if a := x.Query("dispatch", fmt.Sprint(time.Now()), "find"); a.Outcome != shuntoutcome.Complete {
				t.Errorf("during the outage: %v, %v", a.Outcome, a.Reason)
			}
		}
		calls := x.Platform.Calls()
		x.Platform.SetDown(false)
		v := x.Platform.Publish(deskKey, deskBody(210))
		if took := x.waitVersion(deskKey, v, inForceTarget); took >= inForceTarget {
			t.Errorf("not in force %v after the outage: %v", took, x.versionsOf(deskKey))
		}
		fmt.Printf("calls after the outage until in force: %d\n", x.Platform.Calls()-calls)
	})
}

func TestOneVMCutFromPlatform(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, off []*atomic.Bool) {
		off[2].Store(true)
		v := x.Platform.Publish(deskKey, deskBody(220))
		if took := x.waitVersion(deskKey, v, inForceTarget); took >= inForceTarget {
			t.Errorf("not in force after %v: %v", took, x.versionsOf(deskKey))
		}
	})
}

func TestBootDuringOutage(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, _ []*atomic.Bool) {
		v := x.Platform.Publish(deskKey, deskBody(230))
		x.waitVersion(deskKey, v, inForceTarget)
		x.Platform.SetDown(true)
		x.CrashVM(1)
		time.Sleep(5 * time.Second)
		x.StartVM(1)
		time.Sleep(3 * time.Second)
		if got := x.versionsOf(deskKey)[1]; got != v {
			t.Errorf("the new VM has version %d of the document; want %d", got, v)
		}
		if !x.Daemons[1].View().AcceptsWork() {
			t.Error("the new VM takes no work")
		}
		if !x.WaitReady() {
			t.Error("not all servers are owned")
		}
	})
}

func TestStaleReader(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, _ []*atomic.Bool) {
		old, _ := x.Daemons[0].View().Tree.Document(deskKey)
		v := x.Platform.Publish(deskKey, deskBody(240))
		x.waitVersion(deskKey, v, inForceTarget)
		x.Platform.SetStale(old)
		x.Platform.Publish("Workspace/other", deskBody(100))
		time.Sleep(5 * time.Second)
		x.CrashVM(1)
		x.StartVM(1)
		time.Sleep(5 * time.Second)
		for i, got := range x.versionsOf(deskKey) {
			if got != v {
				t.Errorf("VM %d has version %d; want %d", i, got, v)
			}
		}
	})
}

func TestIsolatedVM(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, off []*atomic.Bool) {
		lone := x.Daemons[3]
		off[3].Store(true)
		for _, d := range x.Daemons {
			if d != lone {
				x.Network.SetPartitioned(lone.Name(), d.Name(), true)
			}
		}
		time.Sleep(4 * time.Second)
		r := shuntentry.Request{Query: "find", Idempotent: true}
		if a := x.QueryVia(lone, "dispatch", "lone", r); a.Outcome != shuntoutcome.NotRun || a.Reason != shuntoutcome.Isolated {
			t.Errorf("the cut-off VM answered %v, %v", a.Outcome, a.Reason)
		}
		if a := x.QueryVia(x.Daemons[0], "dispatch", "other", r); a.Outcome != shuntoutcome.Complete {
			t.Errorf("another VM answered %v, %v", a.Outcome, a.Reason)
		}
		for _, d := range x.Daemons {
			x.Network.SetPartitioned(lone.Name(), d.Name(), false)
		}
		time.Sleep(2 * time.Second)
		if a := x.QueryVia(lone, "dispatch", "again", r); a.Outcome != shuntoutcome.Complete {
			t.Errorf("after the cut the VM answered %v, %v", a.Outcome, a.Reason)
		}
	})
}

// TestPausedVM: a VM sleeps for a minute, wakes with old facts, and has what was
// published meanwhile within ten seconds.
func TestPausedVM(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, off []*atomic.Bool) {
		const minute = time.Minute
		off[2].Store(true)
		x.PauseVM(2, &Pauser{}, minute)
		v := x.Platform.Publish(deskKey, deskBody(260))
		if took := x.waitVersion(deskKey, v, inForceTarget, 2); took >= inForceTarget {
			t.Errorf("not in force at the others: %v", x.versionsOf(deskKey))
		}
		time.Sleep(minute)
		off[2].Store(false)
		if took := x.waitVersion(deskKey, v, inForceTarget); took >= inForceTarget {
			t.Errorf("not in force %v after the VM woke: %v", took, x.versionsOf(deskKey))
		}
		if !x.WaitReady() {
			t.Error("not every server has an owner")
		}
	})
}

func TestInvalidDocumentIsRefusedAlike(t *testing.T) {
	configCase(t, func(t *testing.T, x *Cluster, _ []*atomic.Bool) {
		before := x.versionsOf(deskKey)
		bad := x.Platform.Publish(deskKey, []byte("Template = \"counter\"\nColour = \"green\"\n"))
		time.Sleep(3 * time.Second)
		for i, d := range x.Daemons {
			if got := x.versionsOf(deskKey)[i]; got != before[i] {
				t.Errorf("VM %d has version %d in force; want the last good one, %d", i, got, before[i])
			}
			if r := d.View().Tree.Refusals()[deskKey]; r.Version != bad {
				t.Errorf("VM %d did not refuse version %d", i, bad)
			}
		}
		if a := x.Query("dispatch", "still", "find"); a.Outcome != shuntoutcome.Complete {
			t.Errorf("answered %v, %v", a.Outcome, a.Reason)
		}
		good := x.Platform.Publish(deskKey, deskBody(250))
		if took := x.waitVersion(deskKey, good, inForceTarget); took >= inForceTarget {
			t.Errorf("the repaired document is not in force: %v", x.versionsOf(deskKey))
		}
	})
}

// TestBootSharesReads: VMs that start together read the documents once between
// them, not once each.
func TestBootSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := tiny(2, 2)
		e.VMs = 24
		e.Workspaces[0].Services = 400
		x := Start(Config{Estate: e, Seed: 1, Warm: true})
		if !x.WaitReady() {
			t.Error("the VMs did not become ready")
		}
		calls := x.Platform.Calls()
		x.Stop()
		fmt.Printf("%d VMs, 406 documents: %d platform calls\n", e.VMs, calls)
		if most := int64(406 + 24*12); calls > most {
			t.Errorf("%d platform calls; the target is %d, each document once and a dozen calls a VM", calls, most)
		}
	})
}
