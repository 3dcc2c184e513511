package shuntmember

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// limitVM is a VM of a limitFleet.
type limitVM struct {
	list     *MemberList
	limiter  *shuntbalance.RateLimiter
	exchange *limitExchange
	hints    *newsExchange[shuntbalance.LimitHint]
	// news is true while there is something that the VM has not told others.
	news     bool
	snapshot *Snapshot
	started  time.Time
	// demand is the number of requests per second to the server.
	demand  float64
	running bool
	// deaf is true if the VM gives up its requests before the server answers.
	deaf bool
}

// limitFleet is a fleet of VMs in virtual time that send to one backend server. Only
// the network, the server and the heartbeats are simulated.
type limitFleet struct {
	server shuntroute.Server
	// limit is what the server names in its replies; 0 if it names none.
	limit float64
	vms   []*limitVM
	// cut reports whether datagrams from one VM to the other are lost.
	cut      func(from, to int) bool
	random   *rand.Rand
	pending  map[time.Time][]func()
	arrivals []time.Time
}

const (
	limitStep  = 10 * time.Millisecond
	limitDelay = 2 * limitStep
)

func newLimitFleet(n int, seed uint64) *limitFleet {
	f := &limitFleet{
		server: shuntroute.Server{ID: "i-1", Region: "a", Service: "s"},
		vms:    make([]*limitVM, n), cut: func(int, int) bool { return false },
		random: rand.New(rand.NewPCG(seed, seed)), pending: map[time.Time][]func(){},
	}
	for i := range n {
		f.start(i)
	}
	return f
}

// start starts a VM, or replaces its process by a new one that knows nothing.
func (f *limitFleet) start(i int) {
	self := newReports(i+1, equalCapacity)[i]
	self.Start = uint64(time.Now().UnixMilli())
	v := &limitVM{list: NewMemberList(self, regionOf), started: time.Now(), running: true}
	if f.vms[i] != nil {
		v.demand = f.vms[i].demand
	}
	v.snapshot = v.list.Snapshot(time.Now(), 0)
	v.limiter = shuntbalance.NewRateLimiter(shuntbalance.RateLimiterConfig{Share: func() float64 { return v.snapshot.Share() }, OnNews: func() { v.news = true }})
	snapshot := func() *Snapshot { return v.snapshot }
	send := func(b []byte, to netip.AddrPort) { f.deliver(i, to, b) }
	v.exchange = &limitExchange{self: self.Address, limits: v.limiter, divider: shuntbalance.NewRateDivider(), snapshot: snapshot, send: send}
	v.hints = newLimitHintExchange(v.limiter, snapshot)
	v.hints.send = send
	v.hints.sample = func(from []netip.AddrPort, count int) []netip.AddrPort {
		f.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		return from[:min(count, len(from))]
	}
	f.vms[i] = v
}

// after runs a function after a delay.
func (f *limitFleet) after(d time.Duration, run func()) {
	at := time.Now().Add(d).Truncate(limitStep)
	f.pending[at] = append(f.pending[at], run)
}

// deliver delivers a datagram with claims, grants or hints.
func (f *limitFleet) deliver(from int, to netip.AddrPort, b []byte) {
	for i, v := range f.vms {
		if v.list.Self().Address == to && !f.cut(from, i) {
			f.after(limitDelay, func() {
				if !v.running {
					return
				}
				if ok, _ := v.hints.handle(b); !ok {
					_, _ = v.exchange.handle(vm(from), b, time.Now())
				}
			})
		}
	}
}

// heartbeat sends the reports of a VM to two others, and refreshes its snapshot.
func (f *limitFleet) heartbeat(i int) {
	now, v := time.Now(), f.vms[i]
	v.list.IncrementHeartbeat()
	v.list.Expire(v.snapshot.preferredVMs(), now)
	reports := v.list.ReportsToSend(v.snapshot.preferredVMs(), maxOtherReports)
	for _, to := range f.random.Perm(len(f.vms))[:min(3, len(f.vms))] {
		other := f.vms[to]
		v.hints.tellSome([]netip.AddrPort{other.list.Self().Address})
		if to != i && !f.cut(i, to) {
			f.after(limitDelay, func() {
				if other.running {
					other.list.Merge(reports, time.Now())
				}
			})
		}
	}
	v.snapshot = v.list.Snapshot(now, now.Sub(v.started))
}

// run simulates the fleet for the duration.
func (f *limitFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(limitStep) {
		now := time.Now().Truncate(limitStep)
		due := f.pending[now]
		delete(f.pending, now)
		for _, run := range due {
			run()
		}
		for i, v := range f.vms {
			// The VMs act at different moments.
			age := time.Since(v.started).Truncate(limitStep) + time.Duration(i)*limitStep
			if !v.running {
				continue
			}
			if age%heartbeatInterval == 0 {
				f.heartbeat(i)
			}
			if age%shuntbalance.ClaimInterval == 0 {
				v.exchange.claim(now)
			}
			if age%newsInterval == 0 && v.news {
				v.news = v.hints.tellNews()
			}
			if f.random.Float64() < v.demand*limitStep.Seconds() && v.limiter.Take(f.server) {
				f.request(v)
			}
		}
	}
}

// request sends a request to the server, whose reply names its limit.
func (f *limitFleet) request(v *limitVM) {
	f.arrivals = append(f.arrivals, time.Now())
	f.after(limitDelay, func() {
		if v.deaf {
			return
		}
		if f.limit > 0 {
			v.limiter.Limit(f.server, f.limit)
		} else {
			v.limiter.Unlimit(f.server)
		}
	})
}

// busiest returns the largest number of arrivals within the window from the time on.
func (f *limitFleet) busiest(from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(f.arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// count returns the number of arrivals between two times.
func (f *limitFleet) count(from, to time.Time) int {
	n := 0
	for _, at := range f.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// startCutOff starts a VM that reaches no other one for the duration.
func (f *limitFleet) startCutOff(i int, d time.Duration) {
	f.cut = func(from, to int) bool { return from == i || to == i }
	f.start(i)
	f.after(d, func() { f.cut = func(int, int) bool { return false } })
}

// restartDivider stops the VM that divides the limit and starts it again.
func (f *limitFleet) restartDivider() {
	i := slices.IndexFunc(f.vms, func(v *limitVM) bool { return v.snapshot.Divides(f.server.ID, f.server.Region, time.Now()) })
	f.restart(i, time.Second)
}

// restart stops a VM as planned and starts it again after a pause.
func (f *limitFleet) restart(i int, pause time.Duration) {
	const graceTime = 4 * time.Second
	f.vms[i].list.SetLeaving()
	f.after(graceTime, func() { f.vms[i].running = false })
	f.after(graceTime+pause, func() { f.start(i) })
}

// fromRegion reports whether VM i is in the region a, where the server is.
func fromRegion(i int) bool { return regionOf(newReports(i+1, equalCapacity)[i].Zone) == "a" }

// limitCase is something that happens to a fleet while a server names a limit.
type limitCase struct {
	// demand is the number of requests per second of each VM, in a fleet of six.
	demand func(i int) float64
	// happen changes the fleet after it has settled.
	happen func(f *limitFleet)
	// limit is the limit after that, if it is another.
	limit float64
	// used is the fraction of the limit that must be used at the end.
	used float64
}

func (c limitCase) run(t *testing.T, vms int) {
	const (
		limit  = 24.0
		settle = 10 * time.Second
		length = 20 * time.Second
	)
	f := newLimitFleet(vms, 1)
	f.limit = limit
	f.eachVM(func(i int, v *limitVM) { v.demand = c.demand(i) * 6 / float64(vms) })
	begin := time.Now()
	f.run(settle)
	if c.happen != nil {
		c.happen(f)
	}
	happened := time.Now()
	f.run(length)
	f.checkBound(t, begin, max(limit, c.limit))
	f.checkBound(t, happened, cmp.Or(c.limit, limit))
	least := c.used * cmp.Or(c.limit, limit) * length.Seconds() / 2
	if got := f.count(happened.Add(length/2), time.Now()); float64(got) < least {
		t.Errorf("%d VMs: %d requests in the last %v; want %v at least", vms, got, length/2, least)
	}
}

// TestLimitBindsFleet checks that all VMs together keep within the limit that a server
// names, whatever happens to them, and that they use it.
func TestLimitBindsFleet(t *testing.T) {
	// most is the fraction of the limit that VMs use who want more and reach each other.
	const most = 2.0 / 3
	// near is where most requests to a server come from.
	near := func(i int) float64 {
		if fromRegion(i) {
			return 30
		}
		return 1
	}
	half := func(from, to int) bool { return from%2 != to%2 }
	cases := map[string]limitCase{
		"uneven demand":  {demand: near, used: most},
		"even demand":    {demand: func(int) float64 { return 10 }, used: most},
		"one VM only":    {demand: func(i int) float64 { return 100 * float64(max(0, 1-i)) }, used: most},
		"demand moves":   {demand: near, happen: func(f *limitFleet) { f.eachVM(func(i int, v *limitVM) { v.demand = near(i + 1) }) }, used: most},
		"demand below":   {demand: func(int) float64 { return 2 }, used: 0.3},
		"limit falls":    {demand: near, happen: func(f *limitFleet) { f.limit = 6 }, limit: 6, used: most},
		"limit rises":    {demand: near, happen: func(f *limitFleet) { f.limit = 40 }, limit: 40, used: most},
		"two VMs killed": {demand: near, happen: func(f *limitFleet) { f.vms[0].running, f.vms[1].running = false, false }, used: 0.5},
		"a VM leaves": {demand: near, happen: func(f *limitFleet) {
			f.vms[0].list.SetLeaving()
			f.after(3*time.Second, func() { f.vms[0].running = false })
		}, used: most},
		"a VM restarts":                    {demand: near, happen: func(f *limitFleet) { f.start(0) }, used: most},
		"all VMs restart":                  {demand: near, happen: func(f *limitFleet) { f.eachVM(func(i int, _ *limitVM) { f.start(i) }) }, used: most},
		"a VM starts while cut off":        {demand: near, happen: func(f *limitFleet) { f.startCutOff(3, 9*time.Second) }, used: most},
		"the dividing VM stops and starts": {demand: func(int) float64 { return 10 }, happen: (*limitFleet).restartDivider, used: most},
		"traffic moves to VMs that get no answers": {demand: near, happen: func(f *limitFleet) {
			f.eachVM(func(i int, v *limitVM) { v.demand, v.deaf = near(i+1), !fromRegion(i) })
		}, used: 0.3},
		"half are cut off": {demand: near, happen: func(f *limitFleet) { f.cut = half }, used: 0.3},
		"cut and healed": {demand: near, happen: func(f *limitFleet) {
			f.cut = half
			f.after(6*time.Second, func() { f.cut = func(int, int) bool { return false } })
		}, used: most},
		"each alone":   {demand: near, happen: func(f *limitFleet) { f.cut = func(int, int) bool { return true } }, used: 0.1},
		"one way only": {demand: near, happen: func(f *limitFleet) { f.cut = func(from, _ int) bool { return from == 0 } }, used: 0.3},
		"two don't reach each other": {demand: near, happen: func(f *limitFleet) {
			f.cut = func(from, to int) bool { return min(from, to) == 0 && max(from, to) == 3 }
		}, used: 0.3},
	}
	for name, c := range cases {
		for _, vms := range []int{6, 20} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, vms) })
			})
		}
	}
}

// checkBound checks that the server got no more than its limit allows in any window
// that begins a window or more after the given time.
func (f *limitFleet) checkBound(t *testing.T, since time.Time, limit float64) {
	t.Helper()
	const window = 4 * time.Second
	allowed := 1.5*limit*window.Seconds() + 5
	if got := f.busiest(since.Add(window), window); float64(got) > allowed {
		t.Errorf("%d VMs: %d requests in %v; a limit of %v allows %v", len(f.vms), got, window, limit, allowed)
	}
}

func (f *limitFleet) eachVM(do func(i int, v *limitVM)) {
	for i, v := range f.vms {
		do(i, v)
	}
}

// disturb makes up to four things happen to VMs within the duration, some of them at the
// same time: one is killed and starts again, is cut off for a while, hears others but is
// not heard, leaves, stops and starts again, or the demand moves.
func (f *limitFleet) disturb(d time.Duration) {
	cutOff, mute := map[int]int{}, map[int]int{}
	f.cut = func(from, to int) bool { return cutOff[from]+cutOff[to]+mute[from] > 0 }
	count := func(of map[int]int, i int, length time.Duration) {
		of[i]++
		f.after(length, func() { of[i]-- })
	}
	seconds := func(least, most float64) time.Duration {
		return time.Duration((least + f.random.Float64()*(most-least)) * float64(time.Second))
	}
	for range 1 + f.random.IntN(4) {
		i, length, later := f.random.IntN(len(f.vms)), seconds(2, 8), seconds(0.5, 2)
		kind := f.random.IntN(5)
		f.after(seconds(0, d.Seconds()), func() {
			switch kind {
			case 0:
				f.vms[i].running = false
				f.after(later, func() { f.start(i) })
			case 1:
				count(cutOff, i, length)
			case 2:
				count(mute, i, length)
			case 3:
				f.restart(i, later)
			default:
				f.eachVM(func(n int, v *limitVM) { v.demand = f.vms[(n+1)%len(f.vms)].demand })
			}
		})
	}
}

// TestLimitWhileDisturbed checks that all VMs together keep within the limit of a server
// while several of them are killed, cut off and stopped, and use it afterwards.
func TestLimitWhileDisturbed(t *testing.T) {
	// The last two broke a limit before.
	seeds := []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 44, 213}
	for _, vms := range []int{6, 9, 20} {
		for _, limit := range []float64{2, 9, 24} {
			t.Run(fmt.Sprintf("%d VMs, limit %v", vms, limit), func(t *testing.T) {
				for _, seed := range seeds {
					synctest.Test(t, func(t *testing.T) { runDisturbed(t, vms, limit, seed) })
				}
			})
		}
	}
}

func runDisturbed(t *testing.T, vms int, limit float64, seed uint64) {
	const calmTime = 10 * time.Second
	f := newLimitFleet(vms, seed)
	f.limit = limit
	for _, v := range f.vms {
		v.demand = f.random.Float64() * 2 * limit
	}
	begin := time.Now()
	f.run(8 * time.Second)
	f.disturb(12 * time.Second)
	f.run(30 * time.Second)
	f.checkBound(t, begin, limit)
	calm := time.Now()
	f.run(calmTime)
	if got, least := f.count(calm, time.Now()), limit*calmTime.Seconds()/2; float64(got) < least {
		t.Errorf("%d requests in the last %v; want %v at least", got, calmTime, least)
	}
	if t.Failed() {
		t.Fatalf("seed %d", seed)
	}
}

// TestLimitEnds checks that all VMs send as they like once the server names no limit.
func TestLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(6, 1)
		f.limit = 6
		f.eachVM(func(_ int, v *limitVM) { v.demand = 10 })
		f.run(8 * time.Second)
		f.limit = 0
		f.run(4 * time.Second)
		ended := time.Now()
		f.run(4 * time.Second)
		if got := f.count(ended, time.Now()); got < 200 {
			t.Errorf("%d requests in 4 s after the end of the limit; wanted are 240", got)
		}
	})
}

// TestLimitDatagrams checks that claims and grants can be decoded after they were
// encoded, that they are divided among datagrams, and that other bytes cause an error
// and no panic.
func TestLimitDatagrams(t *testing.T) {
	var claims []shuntbalance.RateClaim
	var grants []shuntbalance.RateGrant
	for i := range 200 {
		server := shuntbalance.Incarnation{ID: "i-0123456789", StartMillis: 1700000000000 + int64(i)}
		claims = append(claims, shuntbalance.RateClaim{Server: server, Region: "north", Limit: 23.8, Age: 1500 * time.Millisecond, Demand: 4.125, Held: 0.5})
		grants = append(grants, shuntbalance.RateGrant{Server: server, Rate: 7.25})
	}
	var gotClaims []shuntbalance.RateClaim
	for _, b := range encodeEach(claimsVersion, claims, appendClaim) {
		r := &reader{rest: b[1:]}
		gotClaims = slices.Concat(gotClaims, readAll(r, (*reader).claim))
		if r.err != nil || len(b) > maxDatagram {
			t.Errorf("%d bytes: %v", len(b), r.err)
		}
	}
	if !reflect.DeepEqual(gotClaims, claims) {
		t.Errorf("got claims %+v", gotClaims[:1])
	}
	var gotGrants []shuntbalance.RateGrant
	for _, b := range encodeEach(grantsVersion, grants, appendGrant) {
		gotGrants = slices.Concat(gotGrants, readAll(&reader{rest: b[1:]}, (*reader).grant))
	}
	if !reflect.DeepEqual(gotGrants, grants) {
		t.Errorf("got grants %+v", gotGrants[:1])
	}
	x := newLimitFleet(1, 1).vms[0].exchange
	rapid.Check(t, func(rt *rapid.T) {
		junk := rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes")
		for _, version := range []byte{claimsVersion, grantsVersion} {
			_, _ = x.handle(vm(1), append([]byte{version}, junk...), time.Now())
		}
	})
}
