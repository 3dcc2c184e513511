package shuntmember

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

func regionOf(zone string) string { return zone[:1] }

func vm(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

// fleet returns the reports of n VMs that are distributed over the regions a, b
// and c with two zones each.
func newReports(n int, capacity func(i int) uint32) []Report {
	var out []Report
	for i := range n {
		zone := fmt.Sprintf("%c%d", 'a'+i%3, i/3%2)
		out = append(out, Report{Address: vm(i), Zone: zone, Start: 1, Heartbeat: 1, Serving: true, PlatformReachable: true, Capacity: capacity(i)})
	}
	return out
}

// settledAge is the age of a process that has had the time to hear of all others.
const settledAge = time.Hour

func equalCapacity(int) uint32 { return 400 }

// snapshotOf returns the snapshot of VM i, which has known the reports for a long time.
func snapshotOf(i int, reports []Report) *Snapshot {
	r := NewMemberList(reports[i], regionOf)
	now := time.Now()
	r.Merge(reports, now)
	for _, m := range r.members {
		m.since = now.Add(-settledAge)
	}
	r.heardSince = now.Add(-settledAge)
	r.Snapshot(now.Add(-2*dutyHandover), settledAge)
	return r.Snapshot(now, settledAge)
}

// TestTurn checks that VMs have turns that are spread evenly, and differ from name to name.
func TestTurn(t *testing.T) {
	const vms = 8
	reports := newReports(vms, equalCapacity)
	orders := map[string]bool{}
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		var turns []float64
		for i := range reports {
			turns = append(turns, snapshotOf(i, reports).Turn(name))
		}
		orders[fmt.Sprint(turns)] = true
		slices.Sort(turns)
		for i, got := range turns {
			if want := float64(i) / vms; got != want {
				t.Errorf("%s: turns %v", name, turns)
				break
			}
		}
	}
	if len(orders) != 3 {
		t.Errorf("%d orders for 3 servers", len(orders))
	}
}

// TestStartedAlone checks that a VM that has heard from no other one since it started
// leaves room for others, for as long as they would for it.
func TestStartedAlone(t *testing.T) {
	cases := map[string]struct {
		age   time.Duration
		share float64
		acts  bool
	}{
		"not settled": {startupTime, 1.0 / minStartupEntries, false},
		"settled":     {startupTime + time.Second, 1.0 / minStartupEntries, false},
		"in the end":  {shareRetention + time.Second, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			l := NewMemberList(newReports(1, equalCapacity)[0], regionOf)
			l.Snapshot(now.Add(-c.age), 0)
			s := l.Snapshot(now, c.age)
			_, _, inCharge := s.InChargeOfSuspect(1, nil)
			if got := s.Share(); math.Abs(got-c.share) > 1e-9 || inCharge != c.acts || s.Divides("i-1", "a", now) != c.acts {
				t.Errorf("share %v, in charge of suspects: %v, divides limits: %v; want %v, %v, %v", got, inCharge, s.Divides("i-1", "a", now), c.share, c.acts, c.acts)
			}
		})
	}
}

// TestEntries checks which VMs callers are sent to.
func TestEntries(t *testing.T) {
	large := func(i int) uint32 {
		if i < 12 {
			return 800
		}
		return 192
	}
	loaded := func(load uint32) []Report {
		out := newReports(62, large)
		for i := range out {
			out[i].Load = load
		}
		return out
	}
	cases := map[string]struct {
		reports []Report
		change  func([]Report)
		want    int
	}{
		"two of a small region":     {newReports(6, equalCapacity), func([]Report) {}, 2},
		"one that serves":           {newReports(6, equalCapacity), func(r []Report) { r[0].Serving = false }, 1},
		"none that is leaving":      {newReports(6, equalCapacity), func(r []Report) { r[0].Leaving = true }, 1},
		"two of many":               {loaded(0), func([]Report) {}, 2},
		"more as the load grows":    {loaded(300), func([]Report) {}, 4},
		"all under a great load":    {loaded(1 << 20), func([]Report) {}, 21},
		"another region if need be": {newReports(6, equalCapacity), func(r []Report) { r[0].Serving, r[3].Serving = false, false }, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.change(c.reports)
			got := snapshotOf(1, c.reports).Entries("a")
			if len(got) != c.want {
				t.Errorf("got %d entries; want %d", len(got), c.want)
			}
			if other := snapshotOf(2, c.reports).Entries("a"); !reflect.DeepEqual(got, other) {
				t.Errorf("VMs with the same members return %v and %v", got, other)
			}
		})
	}
	lost := newReports(6, equalCapacity)
	lost[0].Serving, lost[3].Serving = false, false
	for _, a := range snapshotOf(1, lost).Entries("a", "b") {
		if i := int(a.Addr().As4()[3]) - 1; i%3 != 1 {
			t.Errorf("VM %d is returned, which is not in region b", i)
		}
	}
	for _, a := range snapshotOf(0, loaded(0)).Entries("b") {
		if i := int(a.Addr().As4()[3]) - 1; i >= 12 {
			t.Errorf("small VM %d is an entry", i)
		}
	}
}

// TestShares checks that the shares of all VMs add up to at most 1 if they know
// the same VMs.
func TestShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 80).Draw(rt, "VMs")
		large := rapid.IntRange(0, n).Draw(rt, "large")
		reports := newReports(n, func(i int) uint32 {
			if i < large {
				return 800
			}
			return 192
		})
		sum := 0.0
		for i := range reports {
			sum += snapshotOf(i, reports).Share()
		}
		if sum > 1+1e-9 {
			rt.Fatalf("the shares add up to %v", sum)
		}
	})
}

// TestSharesWithRegionsApart checks that the shares still add up to at most 1
// after the regions have lost contact with each other: each VM remembers the
// others, and each region keeps its entries.
func TestSharesWithRegionsApart(t *testing.T) {
	reports := newReports(12, equalCapacity)
	sum := 0.0
	for i, self := range reports {
		r := NewMemberList(self, regionOf)
		heard := time.Now()
		r.Merge(reports, heard)
		now := heard.Add(aliveTimeout + time.Second)
		var ownRegion []Report
		for _, v := range reports {
			if regionOf(v.Zone) == regionOf(self.Zone) {
				v.Heartbeat++
				ownRegion = append(ownRegion, v)
			}
		}
		r.Merge(ownRegion, now)
		r.Expire(r.Snapshot(heard, settledAge).preferredVMs(), now)
		s := r.Snapshot(now, settledAge)
		if len(s.Entries(regionOf(self.Zone))) != minEntries {
			t.Errorf("VM %d returns the entries %v of its region; want 2", i, s.Entries(regionOf(self.Zone)))
		}
		sum += s.Share()
	}
	if sum > 1+1e-9 {
		t.Errorf("the shares add up to %v", sum)
	}
}

// TestIsResponsibleFor checks that exactly one VM is responsible for each name.
func TestIsResponsibleFor(t *testing.T) {
	reports := newReports(20, equalCapacity)
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		n := 0
		for i := range reports {
			if snapshotOf(i, reports).IsResponsibleFor(name) {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%d VMs are responsible for %s; want 1", n, name)
		}
	}
}

// TestReaders checks that two VMs of each region read from the platform. If these
// can't reach it, others try, and more of them the longer that lasts: a platform that
// is down must not get the calls of all VMs, and one that turns some VMs away must be
// read by others.
func TestReaders(t *testing.T) {
	const perRegion = 40
	cases := map[string]struct {
		// reached lists the ranks of the VMs of region a that the platform answers.
		reached []int
		after   time.Duration
		// want is the number of VMs of region a that read or try to.
		want int
	}{
		"the first two":              {[]int{0, 1}, time.Minute, 2},
		"the first is turned away":   {[]int{1, 2}, time.Minute, 3},
		"the first nine are":         {[]int{9, 10}, time.Minute, minReadCandidates + 2},
		"one is answered, for 2 s":   {[]int{0}, 2 * time.Second, minReadCandidates + 4},
		"nobody, just now":           {nil, 0, minReadCandidates},
		"nobody, for 3 s":            {nil, 3 * time.Second, minReadCandidates + 6},
		"nobody, for a minute":       {nil, time.Minute, perRegion},
		"everybody tries at a start": {[]int{0, 1, 2, 3, 4, 5}, 0, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := countReaders(newReports(3*perRegion, equalCapacity), c.reached, c.after)
			if got != c.want {
				t.Errorf("%d VMs of region a read or try to, want %d", got, c.want)
			}
		})
	}
}

// countReaders returns how many VMs of region a read from the platform after the given
// time, if it answers only those with the given ranks in the region's order.
func countReaders(reports []Report, reached []int, after time.Duration) int {
	for rank, r := range snapshotOf(0, reports).regions["a"] {
		i := slices.IndexFunc(reports, func(o Report) bool { return o.Address == r.Address })
		reports[i].PlatformReachable = slices.Contains(reached, rank)
	}
	n := 0
	for _, r := range reports {
		l := NewMemberList(r, regionOf)
		now := time.Now()
		l.Merge(reports, now)
		l.Snapshot(now, settledAge)
		if l.Snapshot(now.Add(after), settledAge).ShouldReadPlatform() && regionOf(r.Zone) == "a" {
			n++
		}
	}
	return n
}

// TestRestart checks which of two reports of the same VM is kept, also if they
// are from different processes.
func TestRestart(t *testing.T) {
	cases := map[string]struct {
		first, then Report
		want        Report
	}{
		"a later count":               {Report{Start: 5, Heartbeat: 9}, Report{Start: 5, Heartbeat: 10, Leaving: true}, Report{Start: 5, Heartbeat: 10, Leaving: true}},
		"an earlier count":            {Report{Start: 5, Heartbeat: 9}, Report{Start: 5, Heartbeat: 8, Leaving: true}, Report{Start: 5, Heartbeat: 9}},
		"a later life":                {Report{Start: 5, Heartbeat: 9, Leaving: true}, Report{Start: 6, Heartbeat: 1}, Report{Start: 6, Heartbeat: 1}},
		"a report of an earlier life": {Report{Start: 5, Heartbeat: 9}, Report{Start: 4, Heartbeat: 99}, Report{Start: 5, Heartbeat: 9}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewMemberList(Report{Address: vm(0), Zone: "a0"}, regionOf)
			c.first.Address, c.then.Address, c.want.Address = vm(1), vm(1), vm(1)
			r.Merge([]Report{c.first}, time.Now())
			r.Merge([]Report{c.then}, time.Now())
			if got := r.members[vm(1)].report; got != c.want {
				t.Errorf("got %+v; want %+v", got, c.want)
			}
		})
	}
}

// TestClockSetBack checks that a VM whose clock was set back before a restart
// is not mistaken for its earlier process.
func TestClockSetBack(t *testing.T) {
	r := NewMemberList(Report{Address: vm(0), Zone: "a0", Start: 100}, regionOf)
	r.Merge([]Report{{Address: vm(0), Start: 500, Heartbeat: 70}}, time.Now())
	if s := r.Self(); s.Start != 501 {
		t.Errorf("got start %d; want 501", s.Start)
	}
}

// TestSilence checks that callers are no longer sent to a VM whose heartbeat
// counter stops increasing.
func TestSilence(t *testing.T) {
	reports := newReports(6, equalCapacity)
	r := NewMemberList(reports[0], regionOf)
	now := time.Now()
	r.Merge(reports, now)
	later := now.Add(r.preferredTimeout() + time.Millisecond)
	r.Merge(reports, later)
	r.Expire(r.Snapshot(now, settledAge).preferredVMs(), later)
	if got := r.Snapshot(later, settledAge).Entries("a"); len(got) != 1 {
		t.Errorf("got entries %v; want only this VM", got)
	}
}

// TestDatagramSize checks that the size of a datagram does not grow with the
// number of VMs and that it always contains the preferred VMs.
func TestDatagramSize(t *testing.T) {
	size := func(n int) int {
		reports := newReports(n, equalCapacity)
		r := NewMemberList(reports[0], regionOf)
		r.Merge(reports, time.Now())
		firsts := r.Snapshot(time.Now(), settledAge).preferredVMs()
		sent := r.ReportsToSend(firsts, maxOtherReports)
		for _, f := range firsts {
			found := false
			for _, v := range sent {
				found = found || v.Address == f
			}
			if !found {
				t.Errorf("%d VMs: the datagram has no report of %v", n, f)
			}
		}
		return len(encodeDatagram(sent))
	}
	if small, large := size(60), size(870); large > small+small/10 {
		t.Errorf("the reports take %d bytes with 60 VMs and %d with 870", small, large)
	}
}

// earlierDatagram returns a datagram as earlier versions of the program send it, with
// suspicions before the reports.
func earlierDatagram(suspicions []shuntguard.Suspicion, reports []Report) []byte {
	b := []byte{datagramVersion, byte(len(suspicions))}
	for _, s := range suspicions {
		b = binary.BigEndian.AppendUint64(b, s.Fingerprint)
		b = binary.AppendUvarint(b, uint64(s.Strikes))
		b = binary.AppendUvarint(b, uint64(s.Age.Milliseconds()))
		b = binary.AppendUvarint(b, uint64(len(s.Servers)))
		for _, v := range s.Servers {
			b = appendString(b, v)
		}
	}
	for _, r := range reports {
		b = append(b, encodeReport(r)...)
	}
	return b
}

// TestEntriesWithoutLinks checks that callers are not sent to VMs that have lost their
// links to the backend servers, unless all have: then the servers are down. The shares of
// common limits never add up to more than 1.
func TestEntriesWithoutLinks(t *testing.T) {
	cases := map[string]struct {
		lost func(i int) bool
		// entries is the number of entries of the regions a, b and c; those of other
		// regions count if a region has none.
		entries [3]int
	}{
		"none":        {func(int) bool { return false }, [3]int{2, 2, 2}},
		"one":         {func(i int) bool { return i == 0 }, [3]int{2, 2, 2}},
		"most":        {func(i int) bool { return i != 3 && i != 4 }, [3]int{1, 1, 2}},
		"a region":    {func(i int) bool { return i%3 == 0 }, [3]int{4, 2, 2}},
		"all":         {func(int) bool { return true }, [3]int{2, 2, 2}},
		"all but one": {func(i int) bool { return i != 5 }, [3]int{1, 1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reports := newReports(12, equalCapacity)
			for i := range reports {
				reports[i].LinksLost = c.lost(i)
			}
			sum := 0.0
			for i := range reports {
				s := snapshotOf(i, reports)
				for r, want := range c.entries {
					if got := s.Entries(string(rune('a' + r))); len(got) != want {
						t.Errorf("VM %d: region %c has the entries %v; want %d", i, 'a'+r, got, want)
					}
				}
				sum += s.Share()
			}
			if sum > 1+1e-9 {
				t.Errorf("the shares add up to %f", sum)
			}
		})
	}
}

// TestDatagram checks that a datagram can be decoded after it was encoded, also one of
// an earlier version, and that any other bytes cause an error and no panic.
func TestDatagram(t *testing.T) {
	suspicions := []shuntguard.Suspicion{{Fingerprint: 7, Servers: []string{"i-1", "i-2"}, Strikes: 2, Age: 3 * time.Second}}
	reports := newReports(5, equalCapacity)
	reports[2].LinksLost = true
	b := earlierDatagram(suspicions, reports)
	gotSuspicions, gotReports, err := decodeDatagram(b)
	if err != nil || !reflect.DeepEqual(gotReports, reports) || !reflect.DeepEqual(gotSuspicions, suspicions) {
		t.Errorf("got %+v %+v %v", gotSuspicions, gotReports, err)
	}
	if gotSuspicions, gotReports, err := decodeDatagram(encodeDatagram(reports)); err != nil || !reflect.DeepEqual(gotReports, reports) || gotSuspicions != nil {
		t.Errorf("got %+v %+v %v", gotSuspicions, gotReports, err)
	}
	if b := encodeDatagram(newReports(870, equalCapacity)); len(b) > maxDatagram {
		t.Errorf("got a datagram of %d bytes", len(b))
	}
	rapid.Check(t, func(rt *rapid.T) {
		junk := rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes")
		_, _, _ = decodeDatagram(junk)
		_, _, _ = decodeDatagram(append([]byte{datagramVersion}, junk...))
	})
	for i := range b[:len(b)-1] {
		if _, got, err := decodeDatagram(b[:i]); err == nil && len(got) == len(reports) {
			t.Errorf("decoding %d of %d bytes returned all reports", i, len(b))
		}
	}
}

// startNode starts node i of a fleet. All nodes of a fleet use the same port, so they need
// different addresses; the first one is the seed.
func startNode(ctx context.Context, t *testing.T, group *shuntgroup.Group, fleet byte, i int) *Node {
	t.Helper()
	return startNodeWith(ctx, t, group, fleet, i, shuntguard.New(shuntguard.Config{}))
}

// nodeAddress returns the address of node i of a fleet.
func nodeAddress(fleet byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, fleet, byte(i + 1)}), 17360)
}

// startNodeWith starts node i of a fleet with a guard.
func startNodeWith(ctx context.Context, t *testing.T, group *shuntgroup.Group, fleet byte, i int, guard *shuntguard.Guard) *Node {
	t.Helper()
	address := func(i int) netip.AddrPort { return nodeAddress(fleet, i) }
	n := NewNode(Config{
		Address: address(i), Zone: "a0", Capacity: 400, RegionOf: regionOf, Group: group, Random: shuntrandom.New(uint64(i + 1)),
		Seeds:      func() []netip.AddrPort { return []netip.AddrPort{address(0)} },
		Guard:      guard,
		OlderGuard: guard.Older(),
		Notices:    shuntbalance.NewNotices(shuntbalance.NoticesConfig{}),
		RateLimits: shuntbalance.NewRateLimiter(shuntbalance.RateLimiterConfig{}),
		ChangesSince: func(int64) shuntcatalog.Delta {
			return shuntcatalog.Delta{State: shuntcatalog.State{Revision: 9, Records: []shuntcatalog.Record{{Key: "k", Revision: 9, Value: []byte("v")}}}}
		},
	})
	if err := n.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return n
}

// TestOwnChangesKept checks that a VM makes and tells a change of its own report, however many
// datagrams have come in before.
func TestOwnChangesKept(t *testing.T) {
	var group shuntgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	defer group.Close()
	defer cancel()
	busy, other := startNode(ctx, t, &group, 8, 0), startNode(ctx, t, &group, 8, 1)
	waitFor(t, "both know each other", func() bool {
		return len(busy.Snapshot().regions["a"]) == 2 && len(other.Snapshot().regions["a"]) == 2
	})
	release := make(chan struct{})
	busy.received <- func(*MemberList) { <-release }
	for len(busy.received) < cap(busy.received) {
		busy.received <- func(*MemberList) {}
	}
	busy.Update(func(l *MemberList) { l.SetLinksLost(true) })
	close(release)
	waitFor(t, "the other one hears of the change", func() bool {
		return slices.ContainsFunc(other.Snapshot().regions["a"], func(r Report) bool { return r.LinksLost })
	})
}

// TestNodes checks that nodes on loopback addresses find each other through one
// seed, and that a node that leaves is removed.
func TestNodes(t *testing.T) {
	const count = 4
	var group shuntgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*Node
	for i := range count {
		nodes = append(nodes, startNode(ctx, t, &group, 7, i))
	}
	nodes[0].Update(func(l *MemberList) { l.SetServing(true); l.SetRevision(9) })
	waitFor(t, "all know each other", func() bool {
		for _, n := range nodes {
			if len(n.Snapshot().regions["a"]) != count {
				return false
			}
		}
		return true
	})
	waitFor(t, "a node learns of changes at another", func() bool {
		d, ok := nodes[3].FetchNewer(ctx, 5)
		return ok && d.Revision == 9 && string(d.Records[0].Value) == "v"
	})
	nodes[0].Update(func(l *MemberList) { l.SetLeaving() })
	waitFor(t, "the one that leaves is left out", func() bool { return len(nodes[2].Snapshot().regions["a"]) == count-1 })
	cancel()
	group.Close()
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out: %s", what)
}

// BenchmarkSnapshot measures one change of the member list of a large fleet.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			reports := newReports(n, equalCapacity)
			l := NewMemberList(reports[0], regionOf)
			now := time.Now()
			l.Merge(reports, now)
			b.ReportAllocs()
			for b.Loop() {
				l.Snapshot(now, settledAge)
			}
		})
	}
}

// TestTakeChanged checks which reports make the order of the VMs be worked out anew. In
// a large fleet a VM receives several datagrams a second that bring only heartbeats.
func TestTakeChanged(t *testing.T) {
	cases := map[string]struct {
		change func(*Report)
		want   bool
	}{
		"heartbeat": {func(r *Report) { r.Heartbeat++ }, false},
		"load":      {func(r *Report) { r.Heartbeat++; r.Load = 500 }, false},
		"leaving":   {func(r *Report) { r.Heartbeat++; r.Leaving = true }, true},
		"reader":    {func(r *Report) { r.Heartbeat++; r.PlatformReachable = false }, true},
		"revision":  {func(r *Report) { r.Heartbeat++; r.Revision = 9 }, true},
		"restarted": {func(r *Report) { r.Start++ }, true},
		"new":       {func(r *Report) { r.Address = vm(200) }, true},
		"outdated":  {func(r *Report) { r.Heartbeat--; r.Leaving = true }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reports := newReports(6, equalCapacity)
			l := NewMemberList(reports[0], regionOf)
			l.Merge(reports, time.Now())
			if !l.TakeChanged() {
				t.Error("no change after the first reports")
			}
			in := reports[3]
			c.change(&in)
			l.Merge([]Report{in}, time.Now())
			if got := l.TakeChanged(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestFetchState checks that a reply to another VM has all records of a full state, and
// that the contents of unchanged ones are left out only if that VM asks for it: earlier
// versions of the program do not know such replies.
func TestFetchState(t *testing.T) {
	unchanged := shuntcatalog.Record{Key: "u", Revision: 3, Value: []byte("old")}
	changed := shuntcatalog.Record{Key: "c", Revision: 9, Value: []byte("new")}
	server := &stateServer{since: func(int64) shuntcatalog.Delta {
		return shuntcatalog.Delta{State: shuntcatalog.State{Revision: 9, Records: []shuntcatalog.Record{changed}}, Full: true, Unchanged: []shuntcatalog.Record{unchanged}}
	}}
	cases := map[string]struct {
		args StateArgs
		want shuntcatalog.Delta
	}{
		"earlier version": {StateArgs{After: 5}, shuntcatalog.Delta{
			State: shuntcatalog.State{Revision: 9, Records: []shuntcatalog.Record{changed, unchanged}}, Full: true,
		}},
		"this version": {StateArgs{After: 5, OmitUnchanged: true}, shuntcatalog.Delta{
			State: shuntcatalog.State{Revision: 9, Records: []shuntcatalog.Record{changed}}, Full: true, Unchanged: []shuntcatalog.Record{{Key: "u"}},
		}},
		"nothing new": {StateArgs{After: 9, OmitUnchanged: true}, shuntcatalog.Delta{State: shuntcatalog.State{Records: []shuntcatalog.Record{}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var reply StateReply
			if err := server.Fetch(c.args, &reply); err != nil {
				t.Fatal(err)
			}
			if got, err := reply.delta(); err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v and error %v; want %+v", got, err, c.want)
			}
		})
	}
}
