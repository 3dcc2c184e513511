package shuntmember

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
)

// TestDuties checks when a VM has a duty after the holders have changed.
func TestDuties(t *testing.T) {
	all := []netip.AddrPort{vm(0), vm(1), vm(2)}
	const object = "i-1"
	holder := heaviest(slices.Values(all), object)
	rest := slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == holder })
	next := heaviest(slices.Values(rest), object)
	last := rest[0]
	if last == next {
		last = rest[1]
	}
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	settled := duties{holders: slices.Clone(all)}
	cases := map[string]struct {
		duties duties
		vm     netip.AddrPort
		after  time.Duration
		want   bool
	}{
		"nobody yet":                    {duties{}, holder, time.Hour, false},
		"one of several":                {settled, holder, 0, true},
		"another one":                   {settled, next, 0, false},
		"right after all have started":  {duties{}.change(slices.Clone(all), start), holder, time.Second, false},
		"some time after that":          {duties{}.change(slices.Clone(all), start), holder, dutyHandover + 1, true},
		"the next one takes over":       {settled.change(slices.Clone(rest), start), next, time.Second, false},
		"after the handover":            {settled.change(slices.Clone(rest), start), next, dutyHandover + 1, true},
		"another one has gone":          {settled.change([]netip.AddrPort{holder, next}, start), holder, 0, true},
		"gone and back":                 {settled.change(slices.Clone(rest), start).change(slices.Clone(all), at(time.Second)), holder, 1500 * time.Millisecond, false},
		"back for long":                 {settled.change(slices.Clone(rest), start).change(slices.Clone(all), at(time.Second)), holder, time.Second + dutyHandover + 1, true},
		"a third one, without a change": {settled.change(slices.Clone(all), start), last, time.Hour, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.duties.isFor(c.vm, object, at(c.after)); got != c.want {
				t.Errorf("got %v; want %v", got, c.want)
			}
		})
	}
}

// dutyFleet is a fleet of VMs in virtual time that tell each other reports, with a delay.
type dutyFleet struct {
	random *rand.Rand
	vms    []*dutyVM
}

type dutyVM struct {
	list    *MemberList
	started time.Time
	// process is the number of the process, and down is true while there is none.
	process int
	down    bool
}

const dutyStep = 50 * time.Millisecond

func newDutyFleet(seed uint64, vms int) *dutyFleet {
	f := &dutyFleet{random: rand.New(rand.NewPCG(seed, 1))}
	for range vms {
		f.vms = append(f.vms, &dutyVM{})
	}
	for i := range f.vms {
		f.start(i)
	}
	return f
}

func (f *dutyFleet) start(i int) {
	v := f.vms[i]
	r := newReports(len(f.vms), equalCapacity)[i]
	r.Start = uint64(time.Now().UnixMilli())
	v.list, v.started, v.down = NewMemberList(r, regionOf), time.Now(), false
	v.process++
	v.list.Snapshot(time.Now(), 0)
}

// step lets each VM tell its reports to another one, most of the time.
func (f *dutyFleet) step() {
	for _, v := range f.vms {
		to := f.vms[f.random.IntN(len(f.vms))]
		if v.down || to.down || to == v || f.random.IntN(3) == 0 {
			continue
		}
		v.list.IncrementHeartbeat()
		reports := v.list.ReportsToSend(nil, len(f.vms))
		process := to.process
		time.AfterFunc(time.Duration(f.random.Int64N(int64(4*dutyStep))), func() {
			if !to.down && to.process == process {
				to.list.Merge(reports, time.Now())
			}
		})
	}
	time.Sleep(dutyStep)
	synctest.Wait()
}

// holders returns the processes that hold the duty for the object now.
func (f *dutyFleet) holders(object string) []int {
	var out []int
	now := time.Now()
	for i, v := range f.vms {
		if v.down {
			continue
		}
		v.list.Expire(nil, now)
		if v.list.Snapshot(now, now.Sub(v.started)).IsResponsibleFor(object) {
			out = append(out, i<<16|v.process)
		}
	}
	return out
}

// TestFewOnDuty checks that within one second no more processes consider themselves
// responsible for a server than its limit allows for, however VMs are killed and started.
func TestFewOnDuty(t *testing.T) {
	const (
		vms, object = 6, "i-1"
		seeds       = 30
		span        = 40 * time.Second
		// most is the number of senders for which a cold server's limit is divided.
		most = shuntbalance.MaxColdSenders
	)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newDutyFleet(seed, vms)
			seen := map[int]time.Time{}
			wasOnDuty := false
			for begun := time.Now(); time.Since(begun) < span; f.step() {
				f.killSome(time.Since(begun))
				for _, p := range f.holders(object) {
					seen[p], wasOnDuty = time.Now(), true
				}
				maps.DeleteFunc(seen, func(_ int, at time.Time) bool { return time.Since(at) > time.Second })
				if len(seen) > most {
					t.Fatalf("seed %d, after %v: %d processes on duty within a second; at most %d may be", seed, time.Since(begun), len(seen), most)
				}
			}
			if !wasOnDuty {
				t.Errorf("seed %d: nobody was ever on duty", seed)
			}
		})
	}
}

// killSome kills one VM or all of them now and then, and starts them again. For the last ten
// seconds nothing is killed.
func (f *dutyFleet) killSome(since time.Duration) {
	for i, v := range f.vms {
		if v.down && f.random.IntN(8) == 0 {
			f.start(i)
		}
	}
	if since > 30*time.Second {
		return
	}
	switch f.random.IntN(80) {
	case 0:
		for _, v := range f.vms {
			v.down = true
		}
	case 1, 2:
		f.vms[f.random.IntN(len(f.vms))].down = true
	}
}
