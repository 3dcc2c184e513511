package shuntcluster

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

const atMostOnceSeeds = 40

// TestAtMostOnce checks with the log of the backend servers that no
// non-idempotent request runs twice, and that none runs if an answer to it was
// NotRun. Each request is sent up to five times through random VMs, at the same
// time and later, while a VM crashes, servers restart and messages are lost.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(atMostOnceSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testAtMostOnce(t, seed) })
		})
	}
}

func testAtMostOnce(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: seed, Warm: true, TailFraction: 0.05})
	const requests = 40
	var g sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[shuntoutcome.Outcome]int{}
	for n := range requests {
		id := fmt.Sprintf("once-%d", n)
		ticket := cluster.Daemons[r.IntN(len(cluster.Daemons))].Frontend().IssueTickets(1)[0]
		for range 1 + r.IntN(5) {
			d := cluster.Daemons[r.IntN(len(cluster.Daemons))]
			wait := time.Duration(r.IntN(400)) * time.Millisecond
			g.Go(func() {
				time.Sleep(wait)
				a := cluster.QueryVia(d, "dispatch", id, shuntentry.Request{Query: "book " + id, Ticket: ticket})
				mu.Lock()
				defer mu.Unlock()
				outcomes[a.Outcome]++
			})
		}
		switch r.IntN(8) {
		case 0:
			cluster.Backends[fmt.Sprintf("dispatch/r%d", r.IntN(3))].Restart(100 * time.Millisecond)
		case 1:
			a, b := r.IntN(6), r.IntN(6)
			cluster.Network.SetPartitioned(cluster.Daemons[a].Name(), cluster.Daemons[b].Name(), true)
			time.AfterFunc(500*time.Millisecond, func() { cluster.Network.SetPartitioned(cluster.fleet.VMs[a].Name, cluster.fleet.VMs[b].Name, false) })
		}
		if n == requests/2 {
			i := r.IntN(6)
			cluster.CrashVM(i)
			cluster.StartVM(i)
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.Wait()
	time.Sleep(6 * time.Second)
	for n := range requests {
		cluster.Log.CheckAtMostOnce(fmt.Sprintf("once-%d", n))
	}
	cluster.Stop()
	if v := cluster.Log.Violations(); v.Total() > 0 {
		t.Errorf("%+v\n%s", v, strings.Join(cluster.Log.Notes(), "\n"))
	}
	if outcomes[shuntoutcome.Complete] < requests/2 {
		t.Errorf("outcomes %v: too few complete answers; want at least half as many as requests", outcomes)
	}
}

// TestTicketRules checks the outcome of requests with valid, invalid, used and
// expired tickets, and with tickets whose VM has crashed or restarted.
func TestTicketRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: 1, Warm: true})
		issuer, other := cluster.Daemons[0], cluster.Daemons[1]
		tickets := issuer.Frontend().IssueTickets(4)
		send := func(id, text, ticket string) shuntquery.Answer {
			return cluster.QueryVia(other, "dispatch", id, shuntentry.Request{Query: text, Ticket: ticket})
		}
		want := func(label string, a shuntquery.Answer, outcome shuntoutcome.Outcome, reason shuntoutcome.Reason) {
			t.Helper()
			if a.Outcome != outcome || a.Reason != reason {
				t.Errorf("%s: %v, %v; want %v, %v", label, a.Outcome, a.Reason, outcome, reason)
			}
		}
		want("without a ticket", send("a", "x", ""), shuntoutcome.NotRun, shuntoutcome.NoTicket)
		want("a ticket of nobody", send("b", "x", "what"), shuntoutcome.NotRun, shuntoutcome.BadTicket)
		want("through another VM", send("c", "x", tickets[0]), shuntoutcome.Complete, shuntoutcome.None)
		want("a repeat", send("c", "x", tickets[0]), shuntoutcome.Complete, shuntoutcome.None)
		want("the ticket for another request", send("d", "y", tickets[0]), shuntoutcome.NotRun, shuntoutcome.TicketUsed)
		time.Sleep(time.Hour)
		want("an old ticket", send("e", "x", tickets[1]), shuntoutcome.Unknown, shuntoutcome.TicketExpired)
		cluster.CrashVM(0)
		want("a ticket of a VM that is gone", send("f", "x", tickets[2]), shuntoutcome.Unknown, shuntoutcome.HomeGone)
		cluster.StartVM(0)
		time.Sleep(5 * time.Second)
		want("a ticket of the life before", send("g", "x", tickets[3]), shuntoutcome.Unknown, shuntoutcome.HomeGone)
		cluster.Log.CheckAtMostOnce("c")
		cluster.Stop()
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, cluster.Log.Notes())
		}
	})
}

// TestRollingReplacement checks that no query is refused or answered incompletely
// while all VMs are shut down gracefully and replaced, one after the other.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: 1, Warm: true})
		refused, incomplete := 0, 0
		var g sync.WaitGroup
		g.Go(func() {
			cluster.Run(Workload{Workspace: "dispatch", Rate: 100, Duration: 45 * time.Second, Seed: 1, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
				switch a.Outcome {
				case shuntoutcome.Complete:
				case shuntoutcome.NotRun:
					refused++
				default:
					incomplete++
				}
			}})
		})
		for i := range cluster.Daemons {
			time.Sleep(time.Second)
			cluster.ReplaceVM(i)
		}
		g.Wait()
		cluster.Stop()
		fmt.Printf("six VMs replaced: %d refused, %d incomplete of 4500\n", refused, incomplete)
		if refused+incomplete > 0 {
			t.Errorf("%d queries refused, %d answered incompletely; want none", refused, incomplete)
		}
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, cluster.Log.Notes())
		}
	})
}

// TestDrainingServer checks that a draining backend server gets no new work after
// 3 s, and that queries keep full coverage.
func TestDrainingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := Start(Config{Estate: singleServiceEstate(3, 4), Seed: 1, Warm: true})
		var g sync.WaitGroup
		g.Go(func() {
			r := cluster.Run(Workload{Workspace: "dispatch", Rate: 100, Duration: 12 * time.Second, Seed: 1})
			if r.Coverage() < 1 {
				t.Errorf("coverage %.4f; want 1", r.Coverage())
			}
		})
		time.Sleep(2 * time.Second)
		cluster.PublishService(cluster.Services()[0].WithDraining("r1", true))
		g.Wait()
		cluster.Stop()
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, cluster.Log.Notes())
		}
	})
}

// TestSnapshotsUnderQueries checks that every answer is complete and comes from a
// single snapshot while new index versions are published and shards are
// repartitioned.
func TestSnapshotsUnderQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := sharedEstate()
		cluster := Start(Config{Estate: e, Seed: 1, Warm: true})
		var g sync.WaitGroup
		answersBySnapshot := map[shuntconfig.SnapshotID]int{}
		incomplete := 0
		g.Go(func() {
			cluster.Run(Workload{Workspace: "desk", Rate: 100, Duration: 12 * time.Second, Seed: 1, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
				answersBySnapshot[a.Snapshot]++
				if a.Outcome != shuntoutcome.Complete {
					incomplete++
				}
			}})
		})
		for v := int64(2); v <= 5; v++ {
			time.Sleep(2 * time.Second)
			cluster.replaceSnapshot(shuntconfig.SnapshotID{Version: v, Generation: v}, v%2 == 0)
		}
		g.Wait()
		cluster.Stop()
		fmt.Printf("snapshots of answers: %v, %d incomplete\n", answersBySnapshot, incomplete)
		if len(answersBySnapshot) < 4 {
			t.Errorf("answers from only %d snapshots; want at least 4", len(answersBySnapshot))
		}
		if incomplete > 0 {
			t.Errorf("%d answers were incomplete although servers held every shard throughout", incomplete)
		}
		if v := cluster.Log.Violations(); v.Total() > 0 {
			t.Errorf("%+v %v", v, cluster.Log.Notes())
		}
	})
}

// replaceSnapshot loads a new snapshot on the servers one by one, publishes it
// next to the old one, and removes the old one while queries still use it. If
// split is true, the new snapshot has two shards per service instead of one.
func (c *Cluster) replaceSnapshot(id shuntconfig.SnapshotID, split bool) {
	services := c.Services()
	old := services[0].Snapshots[0]
	for _, b := range c.Backends {
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
		c.PublishService(next[i])
	}
	time.Sleep(200 * time.Millisecond)
	for _, b := range c.Backends {
		b.SetSnapshots(id)
	}
	for _, s := range next {
		c.PublishService(s.WithSnapshots(s.Snapshots[0]))
	}
}

// TestWrongReplies checks that a reply which carries the identity of another
// attempt, shard or snapshot is not merged into an answer.
func TestWrongReplies(t *testing.T) {
	for name, garble := range map[string]shuntfake.Corruption{
		"another snapshot": shuntfake.CorruptSnapshot,
		"another attempt":  shuntfake.CorruptAttempt,
		"another shard":    shuntfake.CorruptShard,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testWrongReplies(t, garble) })
		})
	}
}

func testWrongReplies(t *testing.T, garble shuntfake.Corruption) {
	cluster := Start(Config{Estate: sharedEstate(), Seed: 1, Warm: true})
	for _, id := range []string{"desk-01/r0", "desk-02/r0", "desk-02/r1"} {
		cluster.Backends[id].SetCorruption(garble)
	}
	partial := 0
	cluster.Run(Workload{Workspace: "desk", Rate: 50, Duration: 4 * time.Second, Seed: 1, OnAnswer: func(_ time.Time, a shuntquery.Answer) {
		if a.Answered == a.Total {
			t.Errorf("query %s counts all shards as answered, but one shard sent only mismatched replies", a.ID)
		}
		if a.Answered > 0 {
			partial++
		}
	}})
	cluster.Stop()
	if partial == 0 {
		t.Error("no query got a partial answer")
	}
	if v := cluster.Log.Violations(); v.Total() > 0 {
		t.Errorf("%+v %v", v, cluster.Log.Notes())
	}
}
