package shuntbalance

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

var limitedTestServer = shuntroute.Server{ID: "i-1", Service: "s", Region: "here", StartMillis: 7}

// takeFor requests perSecond requests a second for d and returns how many were allowed.
func takeFor(l *RateLimiter, perSecond float64, d time.Duration) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
		if l.Take(limitedTestServer) {
			n++
		}
	}
	return n
}

// TestRateLimiter checks the rate at which a VM may send to a server with a limit.
func TestRateLimiter(t *testing.T) {
	const (
		share    = 0.25
		limit    = 40.0
		duration = 10 * time.Second
	)
	grant := func(l *RateLimiter, rate float64) {
		for range 10 {
			l.Want(limitedTestServer)
		}
		l.Claims(time.Now())
		l.Grant(RateGrant{IncarnationOf(limitedTestServer), rate}, time.Now())
	}
	cases := map[string]struct {
		prepare func(l *RateLimiter)
		// requested is the rate of requests; want is the rate of those that are allowed.
		requested, want float64
	}{
		"no limit":               {func(*RateLimiter) {}, 100, 100},
		"limit":                  {func(l *RateLimiter) { l.Limit(limitedTestServer, limit) }, 100, share * limit},
		"few requests":           {func(l *RateLimiter) { l.Limit(limitedTestServer, limit) }, 5, 5},
		"limit of 0":             {func(l *RateLimiter) { l.Limit(limitedTestServer, 0) }, 100, share * minServerRate},
		"limit that has changed": {func(l *RateLimiter) { l.Limit(limitedTestServer, limit); l.Limit(limitedTestServer, 2*limit) }, 100, 2 * share * limit},
		"limit that has ended":   {func(l *RateLimiter) { l.Limit(limitedTestServer, limit); l.Unlimit(limitedTestServer) }, 100, 100},
		"limit of an earlier incarnation": {func(l *RateLimiter) {
			earlier := limitedTestServer
			earlier.StartMillis--
			l.Limit(earlier, limit)
		}, 100, 100},
		// The grant applies for a tenth of the time.
		"grant that has ended":  {func(l *RateLimiter) { l.Limit(limitedTestServer, limit); grant(l, limit) }, 100, 0.9*share*limit + 0.1*limit},
		"grant above the limit": {func(l *RateLimiter) { l.Limit(limitedTestServer, limit); grant(l, 10*limit) }, 100, 0.9*share*limit + 0.1*limit},
		"grant without a claim": {func(l *RateLimiter) {
			l.Limit(limitedTestServer, limit)
			l.Grant(RateGrant{IncarnationOf(limitedTestServer), limit}, time.Now())
		}, 100, share * limit},
		"limit that is not confirmed": {func(l *RateLimiter) {
			l.Limit(limitedTestServer, limit)
			time.Sleep(pruneAfter + time.Second)
			l.Prune(time.Now())
		}, 100, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewRateLimiter(RateLimiterConfig{Share: func() float64 { return share }})
				c.prepare(l)
				got, want := float64(takeFor(l, c.requested, duration)), c.want*duration.Seconds()
				// The bucket may be full or empty at either end, and rates are rounded to requests.
				if burst := 3 + c.want*rateBucketDuration.Seconds(); math.Abs(got-want) > burst {
					t.Errorf("%v requests allowed; want %v, more or less %v", got, want, burst)
				}
			})
		})
	}
}

// TestRefundedRequest checks that a request that was not sent does not count.
func TestRefundedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewRateLimiter(RateLimiterConfig{Share: func() float64 { return 1 }})
		l.Limit(limitedTestServer, 1)
		time.Sleep(time.Second)
		if l.AvailableAt(limitedTestServer, time.Now()).After(time.Now()) || !l.Take(limitedTestServer) || l.Take(limitedTestServer) {
			t.Fatal("want one request allowed after a second")
		}
		l.Refund(limitedTestServer)
		if !l.Take(limitedTestServer) {
			t.Error("the request that was refunded is not allowed again")
		}
	})
}

// TestClaims checks that a VM claims by its demand, also by that which is held back,
// and gives its claim up once.
func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewRateLimiter(RateLimiterConfig{Share: func() float64 { return 0.5 }})
		l.Limit(limitedTestServer, 10)
		claim := func(wanted int) []RateClaim {
			for range wanted {
				l.Want(limitedTestServer)
			}
			time.Sleep(ClaimInterval)
			return l.Claims(time.Now())
		}
		var got []RateClaim
		for range 40 {
			got = claim(10)
		}
		if len(got) != 1 || math.Abs(got[0].Demand-10/ClaimInterval.Seconds()) > 1 || got[0].Limit != 10 || got[0].Region != "here" || got[0].Held != 0 {
			t.Fatalf("got %+v", got)
		}
		l.Grant(RateGrant{got[0].Server, 4}, time.Now())
		if got := claim(10); len(got) != 1 || got[0].Held != 4 {
			t.Errorf("got %+v; want the grant held", got)
		}
		var claims []RateClaim
		for range 100 {
			claims = append(claims, claim(0)...)
		}
		ended := func(c RateClaim) bool { return c.Demand == 0 }
		if i := slices.IndexFunc(claims, ended); i < 0 || i != len(claims)-1 {
			t.Errorf("claim %d of %d gives it up; want the last one only", i+1, len(claims))
		}
	})
}

// testFleet is a fleet of VMs with equal shares.
type testFleet struct {
	divides bool
	share   float64
	silent  []netip.AddrPort
}

func (f testFleet) Divides(string, string) bool    { return f.divides }
func (f testFleet) ShareOf(netip.AddrPort) float64 { return f.share }
func (f testFleet) Silent() []netip.AddrPort       { return f.silent }
func testVM(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}
func testClaim(demand, held float64) RateClaim {
	return RateClaim{Server: Incarnation{ID: "i"}, Limit: 30, Demand: demand, Held: held}
}

// TestLimitHints checks how a VM goes by limits that servers have told others.
func TestLimitHints(t *testing.T) {
	s := shuntroute.Server{ID: "i", Region: "a"}
	hint := func(limit float64, age time.Duration) LimitHint {
		return LimitHint{Server: IncarnationOf(s), Region: "a", Limit: limit, Age: age}
	}
	cases := map[string]struct {
		happen func(l *RateLimiter)
		// want is the limit by which the VM goes; 0 means none.
		want float64
	}{
		"a hint":                  {func(l *RateLimiter) { l.Merge([]LimitHint{hint(4, 0)}) }, 4},
		"a newer hint":            {func(l *RateLimiter) { l.Merge([]LimitHint{hint(4, time.Second), hint(8, 0)}) }, 8},
		"an older hint":           {func(l *RateLimiter) { l.Merge([]LimitHint{hint(4, 0), hint(8, time.Second)}) }, 4},
		"an old hint":             {func(l *RateLimiter) { l.Merge([]LimitHint{hint(4, limitHintMemory)}) }, 0},
		"no limit":                {func(l *RateLimiter) { l.Merge([]LimitHint{hint(0, 0)}) }, 0},
		"told after a hint":       {func(l *RateLimiter) { l.Merge([]LimitHint{hint(4, 0)}); l.Limit(s, 6) }, 6},
		"a hint after told":       {func(l *RateLimiter) { l.Limit(s, 6); l.Merge([]LimitHint{hint(4, 0)}) }, 6},
		"ended after a hint":      {func(l *RateLimiter) { l.Merge([]LimitHint{hint(4, 0)}); l.Unlimit(s) }, 0},
		"an older one once ended": {func(l *RateLimiter) { l.Limit(s, 6); l.Unlimit(s); l.Merge([]LimitHint{hint(4, time.Second)}) }, 0},
		"a newer one once ended": {func(l *RateLimiter) {
			l.Limit(s, 6)
			l.Unlimit(s)
			time.Sleep(time.Second)
			l.Merge([]LimitHint{hint(4, 0)})
		}, 4},
		"not confirmed": {func(l *RateLimiter) {
			l.Merge([]LimitHint{hint(4, 0)})
			time.Sleep(limitHintMemory + time.Second)
			l.Prune(time.Now())
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewRateLimiter(RateLimiterConfig{Share: func() float64 { return 1 }})
				c.happen(l)
				got := 0.0
				for _, h := range l.Export(1) {
					got = h.Limit
				}
				if got != c.want || l.Limited(s) != (c.want > 0) {
					t.Errorf("limit %v, limited: %v; want %v", got, l.Limited(s), c.want)
				}
			})
		})
	}
}

// TestRateDivider checks what a claim is granted after others have claimed.
func TestRateDivider(t *testing.T) {
	const limit, noGrant = 30.0, -1.0
	type claim struct {
		vm           int
		demand, held float64
		after        time.Duration
	}
	cases := map[string]struct {
		fleet  testFleet
		claims []claim
		// want is the rate that the last claim is granted.
		want float64
	}{
		"alone":                               {testFleet{divides: true, share: 0.1}, []claim{{vm: 1, demand: 1}}, limit},
		"second, before the first comes back": {testFleet{divides: true, share: 0.1}, []claim{{vm: 1, demand: 1}, {vm: 2, demand: 1}}, 0},
		"in proportion to the demand":         {testFleet{divides: true, share: 0.1}, []claim{{vm: 1, demand: 20}, {vm: 2, demand: 10}, {vm: 1, demand: 20}, {vm: 2, demand: 10}}, limit - overGrant*limit*2/3},
		"after another gave up":               {testFleet{divides: true, share: 0.1}, []claim{{vm: 1, demand: 20}, {vm: 1}, {vm: 2, demand: 1}}, limit},
		"after another lapsed":                {testFleet{divides: true, share: 0.1}, []claim{{vm: 1, demand: 20}, {vm: 2, demand: 1, after: 2 * bookedDuration}}, limit * 0.9},
		"long after another lapsed":           {testFleet{divides: true, share: 0.1}, []claim{{vm: 1, demand: 20}, {vm: 2, demand: 1, after: 2 * lapsedDuration}}, limit},
		"while two are silent":                {testFleet{divides: true, share: 0.1, silent: []netip.AddrPort{testVM(8), testVM(9)}}, []claim{{vm: 1, demand: 1}}, limit * 0.8},
		"a silent one lapses":                 {testFleet{divides: true, share: 0.1, silent: []netip.AddrPort{testVM(1)}}, []claim{{vm: 1, demand: 20}, {vm: 2, demand: 1, after: 2 * bookedDuration}}, limit * 0.9},
		"at a VM that does not divide":        {testFleet{share: 0.1}, []claim{{vm: 1, demand: 20}}, noGrant},
		"there, with a grant":                 {testFleet{share: 0.1}, []claim{{vm: 1, demand: 20, held: 12}}, 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, now, got := NewRateDivider(), time.Now(), noGrant
			for _, v := range c.claims {
				now, got = now.Add(v.after), noGrant
				if g, ok := d.Divide(testVM(v.vm), testClaim(v.demand, v.held), c.fleet, now); ok {
					got = g.Rate
				}
			}
			if math.Abs(got-c.want) > 1e-9 {
				t.Errorf("granted %v; want %v", got, c.want)
			}
		})
	}
}

// TestNewestLimit checks that the limit that was named last is divided.
func TestNewestLimit(t *testing.T) {
	d, now := NewRateDivider(), time.Now()
	f := testFleet{divides: true, share: 0.1}
	d.Divide(testVM(1), RateClaim{Limit: 10, Age: time.Second, Demand: 1}, f, now)
	d.Divide(testVM(2), RateClaim{Limit: 30, Age: 3 * time.Second, Demand: 1}, f, now)
	if got, _ := d.Divide(testVM(1), RateClaim{Limit: 30, Age: 3 * time.Second, Demand: 1}, f, now); got.Rate > 10 {
		t.Errorf("granted %v of a limit of 10", got.Rate)
	}
}

// TestGrantsWithinLimit checks that the grants of a divider never add up to more than
// the limit, whoever claims what and when.
func TestGrantsWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const vms = 5
		d, now := NewRateDivider(), time.Now()
		f := testFleet{divides: true, share: 1.0 / vms}
		rates, until := map[int]float64{}, map[int]time.Time{}
		for range rapid.IntRange(1, 60).Draw(rt, "claims") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rt, "pause")) * time.Millisecond)
			vm := rapid.IntRange(1, vms).Draw(rt, "VM")
			demand := rapid.Float64Range(0, 50).Draw(rt, "demand")
			g, _ := d.Divide(testVM(vm), testClaim(demand, 0), f, now)
			rates[vm], until[vm] = g.Rate, now.Add(grantDuration)
			sum := 0.0
			for vm, rate := range rates {
				if now.Before(until[vm]) {
					sum += rate
				}
			}
			if sum > 30+1e-6 {
				rt.Fatalf("grants of %v add up to %v", rates, sum)
			}
		}
	})
}
