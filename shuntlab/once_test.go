package shuntlab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

const onceSeeds = 40

// TestAtMostOnce: non-idempotent requests are repeated through all VMs at the
// same time and later, while VMs crash and restart, servers die, and messages
// are lost. By the servers' own logs none runs twice, and none of which any
// answer said NotRun has run.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(onceSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { onceRun(t, seed) })
		})
	}
}

func onceRun(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	x := Start(Config{Estate: tiny(3, 4), Seed: seed, Warm: true, TailShare: 0.05})
	const requests = 40
	var g sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[shuntoutcome.Outcome]int{}
	for n := range requests {
		id := fmt.Sprintf("once-%d", n)
		ticket := x.Daemons[r.IntN(len(x.Daemons))].Frontend().IssueTickets(1)[0]
		for range 1 + r.IntN(5) {
			d := x.Daemons[r.IntN(len(x.Daemons))]
			wait := time.Duration(r.IntN(400)) * time.Millisecond
			g.Go(func() {
				time.Sleep(wait)
				a := x.QueryVia(d, "dispatch", id, shuntentry.Request{Query: "book " + id, Ticket: ticket})
				mu.Lock()
				defer mu.Unlock()
				outcomes[a.Outcome]++
			})
		}
		switch r.IntN(8) {
		case 0:
			x.Backends[fmt.Sprintf("dispatch/r%d", r.IntN(3))].Restart(100 * time.Millisecond)
		case 1:
			a, b := r.IntN(6), r.IntN(6)
			x.Network.SetPartitioned(x.Daemons[a].Name(), x.Daemons[b].Name(), true)
			time.AfterFunc(500*time.Millisecond, func() { x.Network.SetPartitioned(x.fleet.VMs[a].Name, x.fleet.VMs[b].Name, false) })
		}
		if n == requests/2 {
			i := r.IntN(6)
			x.CrashVM(i)
			x.StartVM(i)
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.Wait()
	time.Sleep(6 * time.Second)
	for n := range requests {
		x.Log.CheckAtMostOnce(fmt.Sprintf("once-%d", n))
	}
	x.Stop()
	if v := x.Log.Violations(); v.Total() > 0 {
		t.Errorf("%+v\n%s", v, strings.Join(x.Log.Notes(), "\n"))
	}
	if outcomes[shuntoutcome.Complete] < requests/2 {
		t.Errorf("outcomes %v: too few answers for the run to show anything", outcomes)
	}
}

// TestTicketRules is what each kind of ticket gets.
func TestTicketRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := Start(Config{Estate: tiny(3, 4), Seed: 1, Warm: true})
		home, other := x.Daemons[0], x.Daemons[1]
		tickets := home.Frontend().IssueTickets(4)
		ask := func(id, text, ticket string) shuntquery.Answer {
			return x.QueryVia(other, "dispatch", id, shuntentry.Request{Query: text, Ticket: ticket})
		}
		want := func(what string, a shuntquery.Answer, o shuntoutcome.Outcome, why shuntoutcome.Reason) {
			t.Helper()
			if a.Outcome != o || a.Reason != why {
				t.Errorf("%s: %v, %v; want %v, %v", what, a.Outcome, a.Reason, o, why)
			}
		}
		want("without a ticket", ask("a", "x", ""), shuntoutcome.NotRun, shuntoutcome.NoTicket)
		want("a ticket of nobody", ask("b", "x", "what"), shuntoutcome.NotRun, shuntoutcome.BadTicket)
		want("through another VM", ask("c", "x", tickets[0]), shuntoutcome.Complete, shuntoutcome.None)
		want("a repeat", ask("c", "x", tickets[0]), shuntoutcome.Complete, shuntoutcome.None)
		want("the ticket for another request", ask("d", "y", tickets[0]), shuntoutcome.NotRun, shuntoutcome.TicketUsed)
		time.Sleep(time.Hour)
		want("an old ticket", ask("e", "x", tickets[1]), shuntoutcome.Unknown, shuntoutcome.TicketExpired)
		x.CrashVM(0)
		want("a ticket of a VM that is gone", ask("f", "x", tickets[2]), shuntoutcome.Unknown, shuntoutcome.HomeGone)
		x.StartVM(0)
		time.Sleep(5 * time.Second)
		want("a ticket of the life before", ask("g", "x", tickets[3]), shuntoutcome.Unknown, shuntoutcome.HomeGone)
		x.Log.CheckAtMostOnce("c")
		x.Stop()
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, x.Log.Notes())
		}
	})
}

// TestRollingReplacement: every VM leaves gracefully and is replaced, under
// load with non-idempotent requests; no request is cut, and coverage holds.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := Start(Config{Estate: tiny(3, 4), Seed: 1, Warm: true})
		refused, incomplete := 0, 0
		var g sync.WaitGroup
		g.Go(func() {
			x.Run(Workload{Workspace: "dispatch", Rate: 100, Duration: 45 * time.Second, Seed: 1, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
				switch a.Outcome {
				case shuntoutcome.Complete:
				case shuntoutcome.NotRun:
					refused++
				default:
					incomplete++
				}
			}})
		})
		for i := range x.Daemons {
			time.Sleep(time.Second)
			x.ReplaceVM(i)
		}
		g.Wait()
		x.Stop()
		fmt.Printf("six VMs replaced: %d refused, %d incomplete of 4500\n", refused, incomplete)
		if refused+incomplete > 0 {
			t.Errorf("%d refused, %d incomplete; the target is none", refused, incomplete)
		}
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, x.Log.Notes())
		}
	})
}

// TestDrainingServer: a backend server that leaves gets no new work after 3 s.
func TestDrainingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := Start(Config{Estate: tiny(3, 4), Seed: 1, Warm: true})
		var g sync.WaitGroup
		g.Go(func() {
			r := x.Run(Workload{Workspace: "dispatch", Rate: 100, Duration: 12 * time.Second, Seed: 1})
			if r.Coverage() < 1 {
				t.Errorf("coverage %.4f; the target is 1", r.Coverage())
			}
		})
		time.Sleep(2 * time.Second)
		x.PublishService(x.Services()[0].WithDraining("r1", true))
		g.Wait()
		x.Stop()
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, x.Log.Notes())
		}
	})
}

// TestSnapshotsUnderQueries: the index version flips and shards are
// repartitioned while queries run; every answer is of one snapshot.
func TestSnapshotsUnderQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := shared()
		x := Start(Config{Estate: e, Seed: 1, Warm: true})
		var g sync.WaitGroup
		seen := map[shuntconfig.SnapshotID]int{}
		incomplete := 0
		g.Go(func() {
			x.Run(Workload{Workspace: "desk", Rate: 100, Duration: 12 * time.Second, Seed: 1, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
				seen[a.Snapshot]++
				if a.Outcome != shuntoutcome.Complete {
					incomplete++
				}
			}})
		})
		for v := int64(2); v <= 5; v++ {
			time.Sleep(2 * time.Second)
			x.flip(shuntconfig.SnapshotID{Version: v, Generation: v}, v%2 == 0)
		}
		g.Wait()
		x.Stop()
		fmt.Printf("snapshots of answers: %v, %d incomplete\n", seen, incomplete)
		if len(seen) < 4 {
			t.Errorf("answers of %d snapshots only; the flips show nothing", len(seen))
		}
		if incomplete > 0 {
			t.Errorf("%d answers were not whole; every shard was held throughout", incomplete)
		}
		if v := x.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, x.Log.Notes())
		}
	})
}

// flip brings a new snapshot to the servers one by one, publishes it beside the
// old one, and takes the old one away from under the queries. With split the
// new snapshot has twice as many shards.
func (x *Cluster) flip(id shuntconfig.SnapshotID, split bool) {
	services := x.Services()
	old := services[0].Snapshots[0]
	for _, b := range x.Backends {
		b.SetSnapshots(id, old.ID)
		time.Sleep(10 * time.Millisecond)
	}
	next := make([]shuntconfig.Service, len(services))
	for i, s := range services {
		shards := []shuntconfig.Shard{{Name: "all", Servers: []string{"r0", "r1"}}}
		if split {
			shards = []shuntconfig.Shard{{Name: "a", Servers: []string{"r0", "r1"}}, {Name: "b", Servers: []string{"r0", "r1"}}}
		}
		next[i] = s.WithSnapshots(shuntconfig.Snapshot{ID: id, Shards: shards}, s.Snapshots[0])
		x.PublishService(next[i])
	}
	time.Sleep(200 * time.Millisecond)
	for _, b := range x.Backends {
		b.SetSnapshots(id)
	}
	for _, s := range next {
		x.PublishService(s.WithSnapshots(s.Snapshots[0]))
	}
}

// TestWrongReplies: servers answer with the identities of other requests, or
// with another snapshot; nothing of that is merged.
func TestWrongReplies(t *testing.T) {
	for name, garble := range map[string]shuntfake.Corruption{
		"another snapshot": shuntfake.CorruptSnapshot,
		"another attempt":  shuntfake.CorruptAttempt,
		"another shard":    shuntfake.CorruptShard,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { wrongReplies(t, garble) })
		})
	}
}

func wrongReplies(t *testing.T, garble shuntfake.Corruption) {
	x := Start(Config{Estate: shared(), Seed: 1, Warm: true})
	for _, id := range []string{"desk-01/r0", "desk-02/r0", "desk-02/r1"} {
		x.Backends[id].SetCorruption(garble)
	}
	partial := 0
	x.Run(Workload{Workspace: "desk", Rate: 50, Duration: 4 * time.Second, Seed: 1, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
		if a.Answered == a.Total {
			t.Errorf("query %s has rows of a shard that only gave wrong replies", a.ID)
		}
		if a.Answered > 0 {
			partial++
		}
	}})
	x.Stop()
	if partial == 0 {
		t.Error("no query was answered in part")
	}
	if v := x.Log.Violations(); v.Total() > 0 {
		t.Errorf("%+v %v", v, x.Log.Notes())
	}
}
