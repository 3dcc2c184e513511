package shuntbalance

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

var (
	near    = shuntroute.Server{ID: "near", Slots: 2, Region: "here"}
	near2   = shuntroute.Server{ID: "near2", Slots: 2, Region: "here"}
	far     = shuntroute.Server{ID: "far", Slots: 2, Region: "there"}
	servers = []shuntroute.Server{near, near2}
)

func newBalancer() *Balancer { return NewBalancer(BalancerConfig{Region: "here"}) }

func (b *Balancer) run(s shuntroute.Server, took time.Duration, result Result) {
	a := b.Begin(s)
	time.Sleep(took)
	b.End(s, a, result)
}

// TestChoose checks which server is chosen after a history of attempts.
func TestChoose(t *testing.T) {
	cases := map[string]struct {
		before  func(b *Balancer)
		servers []shuntroute.Server
		tried   []Incarnation
		want    string
	}{
		"its own region first":                  {func(*Balancer) {}, []shuntroute.Server{far, near}, nil, "near"},
		"a far one rather than a slow one":      {func(b *Balancer) { b.slow(near) }, []shuntroute.Server{far, near}, nil, "far"},
		"not a slow one":                        {func(b *Balancer) { b.slow(near) }, servers, nil, "near2"},
		"a slow one is tried again":             {func(b *Balancer) { b.slow(near); time.Sleep(time.Minute); b.run(near2, 20*time.Millisecond, Success) }, servers, nil, "near"},
		"a stalled one at once":                 {func(b *Balancer) { b.Begin(near); time.Sleep(50 * time.Millisecond) }, servers, nil, "near2"},
		"not a failing one":                     {func(b *Balancer) { b.run(near, time.Millisecond, Failed) }, servers, nil, "near2"},
		"not one that can't be reached":         {func(b *Balancer) { b.run(near, time.Millisecond, Unreachable) }, servers, nil, "near2"},
		"one that can't be reached if need be":  {func(b *Balancer) { b.run(near, time.Millisecond, Unreachable) }, []shuntroute.Server{near}, nil, "near"},
		"never one whose address has another":   {func(b *Balancer) { b.run(near, time.Millisecond, AddressReused) }, []shuntroute.Server{near}, nil, ""},
		"not one that was tried":                {func(*Balancer) {}, servers, []Incarnation{{ID: "near"}}, "near2"},
		"none left":                             {func(*Balancer) {}, []shuntroute.Server{near}, []Incarnation{{ID: "near"}}, ""},
		"a lapsed one last":                     {func(b *Balancer) { b.slow(near2) }, []shuntroute.Server{near.WithDelistedAt(time.Now()), near2}, nil, "near2"},
		"a lapsed one if all others are silent": {func(b *Balancer) { b.run(near2, time.Millisecond, Unreachable) }, []shuntroute.Server{near.WithDelistedAt(time.Now()), near2}, nil, "near"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBalancer()
				c.before(b)
				got, ok := b.Choose(c.servers, ChooseOptions{Exclude: c.tried})
				if ok != (c.want != "") || got.ID != c.want {
					t.Errorf("got %q %v; want %q", got.ID, ok, c.want)
				}
			})
		})
	}
}

func (b *Balancer) slow(s shuntroute.Server) {
	for range 10 {
		b.run(s, 200*time.Millisecond, Success)
	}
}

// TestNewIncarnationStartsFresh checks that a restarted server does not inherit the
// statistics of its previous incarnation.
func TestNewIncarnationStartsFresh(t *testing.T) {
	b := newBalancer()
	b.End(near, b.Begin(near), AddressReused)
	again := near
	again.StartMillis = 7
	if _, ok := b.Choose([]shuntroute.Server{again}, ChooseOptions{}); !ok {
		t.Error("the new incarnation is not chosen")
	}
}

// TestRetryBudget checks that the extra attempts of all VMs stay within the shared
// limit in every window, for any distribution of load over the VMs.
func TestRetryBudget(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 52.0
		window = 10 * time.Second
		vms    = 6
	)
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 40), vms, vms).Draw(rt, "loads")
		seconds := rapid.IntRange(1, 30).Draw(rt, "seconds")
		synctest.Test(t, func(*testing.T) {
			var budgets []*RetryBudget
			for range vms {
				budgets = append(budgets, NewRetryBudget(RetryBudgetConfig{Ratio: ratio, Slack: slack, Window: window, Share: func() float64 { return 1.0 / vms }}))
			}
			requests, extras := spendBudgets(budgets, loads, seconds)
			for _, end := range extras {
				n, m := countInWindow(extras, end, window), countInWindow(requests, end, window)
				if float64(n) > ratio*float64(m)+slack {
					rt.Fatalf("%d extra attempts with %d requests in a window", n, m)
				}
			}
		})
	})
}

// spendBudgets records each VM's requests per second and makes every extra attempt
// that its budget allows.
func spendBudgets(budgets []*RetryBudget, loads []int, seconds int) (requests, extras []time.Time) {
	for range seconds {
		for i, b := range budgets {
			for range loads[i] {
				b.RecordRequest("s")
				requests = append(requests, time.Now())
				for b.Allow("s", 0) {
					extras = append(extras, time.Now())
				}
			}
		}
		time.Sleep(time.Second)
	}
	return requests, extras
}

func countInWindow(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, v := range times {
		if !v.After(end) && end.Sub(v) < window {
			n++
		}
	}
	return n
}

// TestBudgetReserve checks that hedges leave part of the budget for retries.
func TestBudgetReserve(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Ratio: 0, Slack: 100, Window: 10 * time.Second, Share: func() float64 { return 1 }})
	hedges := 0
	for b.Allow("s", 0.25) {
		hedges++
	}
	retries := 0
	for b.Allow("s", 0) {
		retries++
	}
	if hedges == 0 || retries < hedges/4 {
		t.Errorf("%d hedges, then %d retries", hedges, retries)
	}
}

// TestColdLimiter checks that two VMs which both consider themselves responsible for a
// cold server stay within its limit in any second.
func TestColdLimiter(t *testing.T) {
	const burst = 5
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(1, 400), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			gates := []*ColdLimiter{NewColdLimiter(), NewColdLimiter()}
			var sent []time.Time
			for _, step := range steps {
				for _, g := range gates {
					if g.Allow(Incarnation{ID: "s"}, burst) {
						sent = append(sent, time.Now())
					}
				}
				time.Sleep(time.Duration(step) * time.Millisecond)
			}
			for _, end := range sent {
				if n := countInWindow(sent, end, time.Second); n > burst {
					rt.Fatalf("%d requests in a second", n)
				}
			}
		})
	})
}

// TestConnections checks what connections without requests say about a server.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBalancer(BalancerConfig{Region: "here"})
		s := shuntroute.Server{ID: "a", Region: "here"}
		b.RecordConnection(s, false)
		if unreachable, again := b.Unreachable(s); !unreachable || again || !b.RecentlyUnreachable(s) {
			t.Errorf("after a failure: unreachable %v, again %v", unreachable, again)
		}
		time.Sleep(minConnectBackoff)
		if unreachable, again := b.Unreachable(s); !unreachable || !again {
			t.Errorf("after the backoff: unreachable %v, again %v", unreachable, again)
		}
		if _, again := b.Unreachable(s); again {
			t.Error("two callers are to connect at the same time")
		}
		b.ForgetFailures()
		if unreachable, _ := b.Unreachable(s); unreachable {
			t.Error("the failure is not forgotten")
		}
		b.RecordConnection(s, false)
		b.RecordConnection(s, true)
		if unreachable, _ := b.Unreachable(s); unreachable {
			t.Error("unreachable after a connection was opened")
		}
	})
}

// TestAllSilent checks when all servers together count as silent.
func TestAllSilent(t *testing.T) {
	const silence = 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b := NewBalancer(BalancerConfig{Region: "here"})
		s := []shuntroute.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		b.Begin(s[0])
		open := b.Begin(s[1])
		time.Sleep(silence - time.Millisecond)
		if b.AllSilent(2, silence) {
			t.Error("silent too early")
		}
		time.Sleep(time.Millisecond)
		if !b.AllSilent(2, silence) || b.AllSilent(3, silence) {
			t.Error("two servers with open requests are not counted as two")
		}
		b.End(s[2], b.Begin(s[2]), Success)
		if b.AllSilent(2, silence) {
			t.Error("silent though another server has just answered")
		}
		time.Sleep(silence)
		b.End(s[1], open, Abandoned)
		if b.AllSilent(2, silence) {
			t.Error("a server without an open request counts")
		}
	})
}
