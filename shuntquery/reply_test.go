package shuntquery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// fakeSender answers each sub-request with a function, which can send duplicate,
// late or mismatched replies.
type fakeSender struct {
	answer func(r shuntowner.SubRequest, all []shuntowner.SubRequest, deliver func(shuntowner.SubReply))
	group  *sync.WaitGroup
}

func (s fakeSender) Send(_ string, rs []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) shuntowner.PendingBatch {
	for _, r := range rs {
		s.group.Go(func() { s.answer(r, rs, deliver) })
	}
	return fakeBatch{}
}

type fakeBatch struct{}

func (fakeBatch) Cancel(...uint64) {}

type singleVMRouter struct{}

func (singleVMRouter) Route(string) (string, bool) { return "vm", true }
func (singleVMRouter) RecordOwner(_, _ string)     {}
func (singleVMRouter) MarkUnreachable(string)      {}

// correctReply returns the correct reply to r, with one row whose key is the name
// of the shard.
func correctReply(r shuntowner.SubRequest) shuntowner.SubReply {
	return shuntowner.SubReply{
		Query: r.Query, Attempt: r.Attempt, Server: r.Server, Shard: r.Shard, Snapshot: r.Snapshot,
		Outcome: shuntoutcome.Complete, Rows: EncodeRows([]Row{{Key: r.Shard}}),
	}
}

func replyTree() *shuntconfig.Tree {
	docs := []shuntconfig.Document{
		{Key: "Template/t", Version: 1, Body: []byte("[Settings]\nServices = [\"a\", \"b\"]\nHedgeFraction = 0\nRetryFraction = 0\nWaitForAll = true\n")},
		{Key: "Workspace/w", Version: 1, Body: []byte("Template = \"t\"\n")},
	}
	for _, n := range []string{"a", "b"} {
		s := shuntconfig.Service{
			Name: n, Slots: 1, Connections: 2, InitialSlots: 1, WarmStepRequests: 1,
			Servers:   []shuntconfig.Server{{Name: "r", Address: "10.0.0.1:1", Zone: "z"}},
			Snapshots: []shuntconfig.Snapshot{{ID: shuntconfig.SnapshotID{Version: 1}, Shards: []shuntconfig.Shard{{Name: "x", Servers: []string{"r"}}}}},
		}
		docs = append(docs, shuntconfig.Document{Key: shuntconfig.MakeKey(shuntconfig.KindService, n), Version: 1, Body: shuntconfig.EncodeService(s)})
	}
	return shuntconfig.NewTree().With(docs...)
}

// TestWrongReplies checks that duplicate, late, mismatched and malformed replies
// add nothing to an answer.
func TestWrongReplies(t *testing.T) {
	type replies = func(r shuntowner.SubRequest, all []shuntowner.SubRequest, deliver func(shuntowner.SubReply))
	cases := map[string]struct {
		answer replies
		want   string
	}{
		"right": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			deliver(correctReply(r))
		}, "Complete 2/2 [a/x b/x]"},
		"duplicate": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			for range 5 {
				deliver(correctReply(r))
			}
		}, "Complete 2/2 [a/x b/x]"},
		"late": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			if r.Shard == "b/x" {
				time.Sleep(time.Minute)
			}
			deliver(correctReply(r))
		}, "Partial 1/2 [a/x]"},
		"swapped shards": {func(r shuntowner.SubRequest, all []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			p := correctReply(r)
			p.Attempt = all[0].Attempt + all[1].Attempt - r.Attempt
			deliver(p)
		}, "Unknown 0/2 []"},
		"another query": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			p := correctReply(r)
			if r.Shard == "a/x" {
				p.Query = "other"
			}
			deliver(p)
		}, "Partial 1/2 [b/x]"},
		"another snapshot": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			p := correctReply(r)
			if r.Shard == "a/x" {
				p.Snapshot.Version++
			}
			deliver(p)
		}, "Partial 1/2 [b/x]"},
		"rows that can't be read": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			p := correctReply(r)
			if r.Shard == "a/x" {
				p.Rows = []byte("{")
			}
			deliver(p)
		}, "Partial 1/2 [b/x]"},
		"none ran": {func(r shuntowner.SubRequest, _ []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) {
			deliver(r.NotRun(shuntoutcome.QueueFull))
		}, "NotRun 0/2 []"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g sync.WaitGroup
				co := NewCoordinator(CoordinatorConfig{Sender: fakeSender{c.answer, &g}, Router: singleVMRouter{}, Guard: shuntguard.New(shuntguard.Config{})})
				co.workspaceBudgets("w").retry.tokens = 0
				a := co.Run(context.Background(), replyTree(), Query{ID: "q", Workspace: "w", Deadline: time.Now().Add(time.Second), Idempotent: true})
				keys := make([]string, len(a.Rows))
				for i, r := range a.Rows {
					keys[i] = r.Key
				}
				if got := fmt.Sprintf("%v %d/%d %v", a.Outcome, a.Answered, a.Total, keys); got != c.want {
					t.Errorf("got %s; want %s", got, c.want)
				}
				g.Wait()
			})
		})
	}
}
