package shuntquery

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

func init() {
	// A fixed seed makes the test deterministic.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestBudgetBound checks that extra requests never exceed the given fraction of
// regular requests plus the initial tokens.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 0.5).Draw(t, "fraction")
		b := NewBudget()
		regular, extra := 0, 0
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 200)).Draw(t, "sent") {
			regular += n
			b.Deposit(n, fraction)
			for range rapid.IntRange(0, 50).Draw(t, "asked") {
				if b.TryWithdraw() {
					extra++
				}
			}
		}
		if most := float64(regular)*fraction + budgetStart; float64(extra) > most {
			t.Fatalf("%d extra requests for %d regular ones at fraction %g", extra, regular, fraction)
		}
	})
}

// TestQuantile checks that quantiles are within 10% of the exact value.
func TestQuantile(t *testing.T) {
	l := &LatencyHistogram{}
	if _, ok := l.Quantile(0.5); ok {
		t.Error("got a quantile without samples")
	}
	for i := 1; i <= 1000; i++ {
		l.Add(time.Duration(i) * 100 * time.Microsecond)
	}
	for q, want := range map[float64]time.Duration{0.5: 50 * time.Millisecond, 0.95: 95 * time.Millisecond, 0.99: 99 * time.Millisecond} {
		got, _ := l.Quantile(q)
		if r := float64(got) / float64(want); r < 0.9 || r > 1.1 {
			t.Errorf("quantile %g is %v; want %v", q, got, want)
		}
	}
}

// TestReplicaChoice checks how often the first of two replicas is chosen for
// different latencies, queues and failures.
func TestReplicaChoice(t *testing.T) {
	a := shuntconfig.ServerSpec{Server: shuntconfig.Server{Name: "a"}, Service: "s"}
	b := shuntconfig.ServerSpec{Server: shuntconfig.Server{Name: "b"}, Service: "s"}
	ms := time.Millisecond
	cases := map[string]struct {
		seen    func(p *ReplicaTracker, now time.Time)
		low, up float64
	}{
		"nothing known": {func(*ReplicaTracker, time.Time) {}, 0.4, 0.6},
		"the first is 20 times slower": {func(p *ReplicaTracker, now time.Time) {
			p.RecordEnd(a.ID(), 200*ms, Load{0, 3}, now)
			p.RecordEnd(b.ID(), 10*ms, Load{0, 3}, now)
		}, 0, 0.02},
		"the first has a queue": {func(p *ReplicaTracker, now time.Time) {
			p.RecordEnd(a.ID(), 10*ms, Load{9, 3}, now)
			p.RecordEnd(b.ID(), 10*ms, Load{0, 3}, now)
		}, 0, 0.2},
		"the first failed": {func(p *ReplicaTracker, now time.Time) {
			p.RecordEnd(a.ID(), 10*ms, Load{0, 3}, now)
			p.RecordEnd(b.ID(), 10*ms, Load{0, 3}, now)
			p.RecordFailure(a.ID(), now)
		}, 0, 0.05},
		"it failed long ago": {func(p *ReplicaTracker, now time.Time) {
			p.RecordEnd(b.ID(), 10*ms, Load{0, 3}, now)
			p.RecordFailure(a.ID(), now.Add(-time.Hour))
		}, 0.3, 0.7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			p := NewReplicaTracker(shuntrandom.New(1))
			c.seen(p, now)
			first := 0
			const n = 2000
			for range n {
				if got, _ := p.Choose([]shuntconfig.ServerSpec{a, b}, 10*ms, now); got.Name == "a" {
					first++
				}
			}
			if share := float64(first) / n; share < c.low || share > c.up {
				t.Errorf("first replica was chosen with frequency %.3f; want %g to %g", share, c.low, c.up)
			}
		})
	}
}
