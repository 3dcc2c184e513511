package shuntowner

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

func init() {
	// A fixed seed makes the results reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestWarmUp checks the warm-up limit after a series of events, each of which is a
// wait, a number of successes and optionally a shed.
func TestWarmUp(t *testing.T) {
	type event struct {
		wait    time.Duration
		success int
		shed    bool
	}
	ms := time.Millisecond
	cases := map[string]struct {
		events []event
		want   int
	}{
		"fresh":                     {nil, 1},
		"successes without time":    {[]event{{0, 100, false}}, 1},
		"time without successes":    {[]event{{time.Hour, 3, false}}, 1},
		"time and successes":        {[]event{{250 * ms, 4, false}}, 2},
		"each step anew":            {[]event{{250 * ms, 4, false}, {250 * ms, 7, false}}, 2},
		"two steps":                 {[]event{{250 * ms, 4, false}, {250 * ms, 8, false}}, 3},
		"one burst is one step":     {[]event{{time.Hour, 100, false}}, 2},
		"a setback halves":          {[]event{{250 * ms, 4, false}, {250 * ms, 8, false}, {0, 0, true}}, 1},
		"a setback keeps the floor": {[]event{{0, 0, true}}, 1},
		"after a setback from anew": {[]event{{250 * ms, 4, false}, {0, 0, true}, {100 * ms, 4, false}}, 1},
		"not above the ceiling":     {[]event{{time.Second, 4, false}, {time.Second, 8, false}, {time.Second, 12, false}, {time.Second, 16, false}}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			w := NewWarmUp(WarmUpConfig{InitialLimit: 1, FullLimit: 3, StepTime: 250 * ms, StepRequests: 4}, now)
			for _, e := range c.events {
				now = now.Add(e.wait)
				for range e.success {
					w = w.WithSuccess(now)
				}
				if e.shed {
					w = w.WithShed(now)
				}
			}
			if w.Limit() != c.want {
				t.Errorf("limit %d; want %d", w.Limit(), c.want)
			}
		})
	}
}

// TestWindowBounds checks that the limit of a window always stays between 1 and
// MaxInFlight.
func TestWindowBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		w := NewWindow(slots)
		now := time.Unix(0, 0)
		for _, ok := range rapid.SliceOf(rapid.Bool()).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond)
			if ok {
				w = w.WithSuccess(time.Duration(rapid.IntRange(1, 1000).Draw(t, "latency"))*time.Millisecond, slots, now)
			} else {
				w = w.WithShed(now)
			}
			if n := w.Limit(); n < 1 || n > MaxInFlight(slots) {
				t.Fatalf("limit %d; want 1 to %d", n, MaxInFlight(slots))
			}
		}
	})
}

// TestQueueOrder checks that the queue is ordered by class, then by deadline, then
// by arrival.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q waiters
		n := rapid.IntRange(1, 40).Draw(t, "waiters")
		for i := range n {
			q.add(&waiter{
				class:    shuntconfig.Class(rapid.IntRange(0, shuntconfig.ClassCount-1).Draw(t, "class")),
				deadline: time.Unix(int64(rapid.IntRange(0, 3).Draw(t, "deadline")), 0),
				sequence: uint64(i),
			})
		}
		if q.remove(q[rapid.IntRange(0, n-1).Draw(t, "gone")]) {
			n--
		}
		var last *waiter
		for range n {
			w := q.popFirst()
			if last != nil && waiters([]*waiter{w, last}).Less(0, 1) {
				t.Fatalf("%+v was dequeued after %+v", w, last)
			}
			last = w
		}
	})
}

// TestWarmUpWithStep checks that after a handover the adopted step takes its full
// time and number of successes before the limit grows, and that an older state
// does not lower the limit.
func TestWarmUpWithStep(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWarmUp(WarmUpConfig{InitialLimit: 1, FullLimit: 4, StepTime: 250 * time.Millisecond, StepRequests: 4}, now)
	now = now.Add(time.Hour)
	w = w.withStep(2, now)
	for range 100 {
		w = w.WithSuccess(now)
	}
	if w.Limit() != 2 {
		t.Errorf("limit %d right after the handover; want 2", w.Limit())
	}
	if w = w.withStep(1, now); w.Limit() != 2 {
		t.Errorf("limit %d after an older state; want 2", w.Limit())
	}
	now = now.Add(250 * time.Millisecond)
	for range 8 {
		w = w.WithSuccess(now)
	}
	if w.Limit() != 3 {
		t.Errorf("limit %d after the full time and successes; want 3", w.Limit())
	}
}
