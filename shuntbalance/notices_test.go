package shuntbalance

import (
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const testDrainTime = 3 * time.Second

var noticingServer = shuntroute.Server{ID: "i-1", StartMillis: 1, Service: "s"}

// TestNotices checks how far a server may be asked after what it has said.
func TestNotices(t *testing.T) {
	id := IncarnationOf(noticingServer)
	says := func(n *Notices, leaving bool) { n.Answered(noticingServer, time.Now(), leaving) }
	hint := func(n *Notices, age time.Duration) { n.Merge([]LeavingHint{{id, age}}) }
	cases := map[string]struct {
		before func(n *Notices)
		want   Standing
	}{
		"nothing":               {func(*Notices) {}, Open},
		"leaving":               {func(n *Notices) { says(n, true) }, LastResort},
		"leaving for some time": {func(n *Notices) { says(n, true); time.Sleep(testDrainTime - leavingMargin) }, Closed},
		"it says so again":      {func(n *Notices) { says(n, true); time.Sleep(testDrainTime); says(n, true) }, Closed},
		"long ago":              {func(n *Notices) { says(n, true); time.Sleep(leavingMemory + time.Second) }, Open},
		"taken back":            {func(n *Notices) { says(n, true); time.Sleep(time.Second); says(n, false) }, Open},
		"an answer that was under way": {func(n *Notices) {
			begun := time.Now()
			time.Sleep(time.Second)
			says(n, true)
			n.Answered(noticingServer, begun, false)
		}, LastResort},
		"another VM heard":           {func(n *Notices) { hint(n, time.Second) }, LastResort},
		"another VM heard for long":  {func(n *Notices) { hint(n, testDrainTime) }, LastResort},
		"another VM heard, long ago": {func(n *Notices) { hint(n, time.Second); time.Sleep(hintMemory) }, Open},
		"another VM heard nonsense":  {func(n *Notices) { hint(n, -time.Second) }, Open},
		"another VM was wrong":       {func(n *Notices) { hint(n, time.Second); time.Sleep(time.Second); says(n, false) }, Open},
		"told after a hint":          {func(n *Notices) { hint(n, 2*testDrainTime); says(n, true) }, LastResort},
		"a pause":                    {func(n *Notices) { n.Pause(noticingServer, time.Second) }, Closed},
		"after a pause":              {func(n *Notices) { n.Pause(noticingServer, time.Second); time.Sleep(time.Second + resumeSpread) }, Open},
		"a shorter pause after a long one": {func(n *Notices) {
			n.Pause(noticingServer, 10*time.Second)
			n.Pause(noticingServer, time.Second)
			time.Sleep(2 * time.Second)
		}, Closed},
		"a pause of centuries": {func(n *Notices) { n.Pause(noticingServer, 1<<62); time.Sleep(maxPause + resumeSpread) }, Open},
		"a pause of a leaving server": {func(n *Notices) {
			says(n, true)
			n.Pause(noticingServer, time.Second)
			time.Sleep(time.Second + resumeSpread)
		}, LastResort},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := NewNotices(NoticesConfig{DrainTime: testDrainTime})
				c.before(n)
				if got, why, _ := n.Standing(id); got != c.want || (why == "") != (got == Open) {
					t.Errorf("got %v (%s); want %v", got, why, c.want)
				}
				later := id
				later.StartMillis++
				if got, _, _ := n.Standing(later); got != Open {
					t.Errorf("a later start of the server: got %v", got)
				}
			})
		})
	}
}

// TestTurnsAfterPause checks that VMs come back to a server after a pause at different
// times.
func TestTurnsAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := map[time.Time]bool{}
		const vms = 20
		for i := range vms {
			n := NewNotices(NoticesConfig{DrainTime: testDrainTime, Turn: func(string) float64 { return float64(i) / vms }})
			n.Pause(noticingServer, time.Second)
			_, _, until := n.Standing(IncarnationOf(noticingServer))
			if left := time.Until(until); left < time.Second || left > time.Second+resumeSpread {
				t.Fatalf("comes back after %v", left)
			}
			times[until] = true
		}
		if len(times) != vms {
			t.Errorf("%d VMs come back at %d different times", vms, len(times))
		}
	})
}

// TestReturnAfterPause checks that after a pause one request goes to the server at first.
func TestReturnAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		id := IncarnationOf(noticingServer)
		n := NewNotices(NoticesConfig{DrainTime: testDrainTime})
		n.Pause(noticingServer, time.Second)
		if n.Take(id) {
			t.Error("a request may go out in the pause")
		}
		time.Sleep(time.Second + resumeSpread)
		if !n.Take(id) || n.Take(id) {
			t.Error("after the pause not exactly one request may go out")
		}
		n.End(id, time.Now(), false)
		if !n.Take(id) || n.Take(id) {
			t.Error("after a request that was not sent not exactly one may go out")
		}
		n.End(id, time.Now().Add(-time.Second), true)
		if n.Take(id) {
			t.Error("after the end of an earlier request another one may go out")
		}
		n.End(id, time.Now(), true)
		if !n.Take(id) || !n.Take(id) {
			t.Error("after the first answer not all requests may go out")
		}
	})
}

// TestLeavingNews checks that what one VM hears reaches others, and is not told for ever.
func TestLeavingNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		news := 0
		a := NewNotices(NoticesConfig{DrainTime: testDrainTime, OnNews: func() { news++ }})
		b := NewNotices(NoticesConfig{DrainTime: testDrainTime, OnNews: func() { news++ }})
		a.Answered(noticingServer, time.Now(), true)
		a.Answered(noticingServer, time.Now(), true)
		time.Sleep(time.Second)
		for range noticeSends {
			b.Merge(a.News(10))
		}
		if news != 2 {
			t.Errorf("news was signalled %d times; want once on each VM", news)
		}
		if left := a.News(10); len(left) > 0 {
			t.Errorf("still news: %+v", left)
		}
		if got := b.Export(10); len(got) != 1 || got[0].Age != time.Second {
			t.Errorf("the other VM tells %+v", got)
		}
		time.Sleep(hintMemory)
		if got := b.Export(10); len(got) > 0 {
			t.Errorf("still told: %+v", got)
		}
		a.Prune(time.Now().Add(leavingMemory))
		if leaving, _ := a.Counts(); leaving > 0 || len(a.servers) > 0 {
			t.Error("what is old is kept")
		}
	})
}
