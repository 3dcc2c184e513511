package shuntmember

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	suspicionStep = 10 * time.Millisecond
	// detectionTime is how long after a crash a VM knows of it.
	detectionTime = 30 * time.Millisecond
	// listingTime is how long a VM that starts takes to learn the routes.
	listingTime = 50 * time.Millisecond
	// lossRate is the fraction of datagrams that are lost.
	lossRate = 0.02
	// The request that crashes servers has the fingerprint poison, and exactPoison for VMs
	// before protocol 1.
	poison, exactPoison = 7, 8
)

// suspicionFleet is a fleet of VMs in virtual time that tell each other suspicions. Only
// the network, the backend servers and the heartbeats are simulated.
type suspicionFleet struct {
	vms       []*suspicionVM
	random    *rand.Rand
	byAddress map[netip.AddrPort]int
	// side returns the side of a partition on which a VM is, and snapshots holds what the
	// VMs of a side know of the fleet.
	side func(vm int) int
	// older returns whether a VM is of a build before protocol 1.
	older     func(vm int) bool
	snapshots map[int]*Snapshot
	pending   map[time.Time][]func()
	// crashes holds when servers crashed.
	crashes []time.Time
	noise   uint64
}

type suspicionVM struct {
	address  netip.AddrPort
	guard    *shuntguard.Guard
	exchange *newsExchange[shuntguard.Suspicion]
	// toOlder tells VMs before protocol 1. It is nil for these themselves.
	toOlder *newsExchange[shuntguard.Suspicion]
	// news is true while the VM has news that it has not told.
	news bool
	// servesAt is when the VM knows the routes.
	servesAt time.Time
}

func newSuspicionFleet(n int, seed uint64, side func(vm int) int, older func(vm int) bool) *suspicionFleet {
	f := &suspicionFleet{older: older, random: rand.New(rand.NewPCG(seed, seed)), byAddress: map[netip.AddrPort]int{}, side: side, snapshots: map[int]*Snapshot{}, pending: map[time.Time][]func(){}}
	reports := newReports(n, equalCapacity)
	for i := range n {
		f.vms = append(f.vms, &suspicionVM{address: reports[i].Address})
		f.byAddress[reports[i].Address] = i
		f.restart(i)
	}
	return f
}

// restart starts a VM, or replaces its process by a new one that knows nothing. The seeds
// that it greets answer.
func (f *suspicionFleet) restart(i int) {
	v := f.vms[i]
	v.servesAt = time.Now().Add(listingTime)
	v.guard = shuntguard.New(shuntguard.Config{Random: shuntrandom.New(f.random.Uint64() | 1), OnNews: func() { v.news = true }})
	snapshot := func() *Snapshot { return f.snapshot(i) }
	v.exchange, v.toOlder = newSuspicionExchange(v.guard, snapshot), newOlderExchange(v.guard.Older(), snapshot)
	if f.older(i) {
		v.exchange, v.toOlder = olderBuildExchange(v.guard, snapshot), nil
	}
	for _, x := range []*newsExchange[shuntguard.Suspicion]{v.exchange, v.toOlder} {
		if x != nil {
			f.connect(i, x)
		}
	}
	for j := range min(3, len(f.vms)) {
		if j != i {
			f.after(suspicionStep, func() { f.vms[j].exchange.tell([]netip.AddrPort{v.address}, maxJoinSuspicions) })
		}
	}
}

// olderBuildExchange returns the exchange of a build before protocol 1, which tells its
// latest suspicions with each heartbeat and knows no news.
func olderBuildExchange(guard *shuntguard.Guard, snapshot func() *Snapshot) *newsExchange[shuntguard.Suspicion] {
	x := newOlderExchange(guard, snapshot)
	x.toOlder = false
	return x
}

// connect makes an exchange of a VM send to the others.
func (f *suspicionFleet) connect(i int, x *newsExchange[shuntguard.Suspicion]) {
	x.sample = func(from []netip.AddrPort, count int) []netip.AddrPort {
		out := make([]netip.AddrPort, 0, count)
		for range min(count, len(from)) {
			out = append(out, from[f.random.IntN(len(from))])
		}
		return out
	}
	x.send = func(b []byte, to netip.AddrPort) { f.deliver(i, b, to) }
}

// maxSuspicionEntries is the number of VMs that callers are sent to.
const maxSuspicionEntries = 60

// snapshot returns what a VM knows of the fleet: all VMs on its side of a partition are
// alive, the others silent.
func (f *suspicionFleet) snapshot(i int) *Snapshot {
	side := f.side(i)
	if f.snapshots[side] == nil {
		s := &Snapshot{regions: map[string][]Report{}, entries: map[netip.AddrPort]bool{}, settled: true, older: map[netip.AddrPort]bool{}, shares: shares{silent: map[netip.AddrPort]bool{}}}
		for j, v := range f.vms {
			if f.side(j) != side {
				s.shares.silent[v.address] = true
				continue
			}
			region := string(rune('a' + j%3))
			s.regions[region] = append(s.regions[region], Report{Address: v.address})
			if f.older(j) {
				s.older[v.address] = true
			}
			if j < maxSuspicionEntries {
				s.entries[v.address] = true
			}
		}
		f.snapshots[side] = s
	}
	out := *f.snapshots[side]
	out.self = f.vms[i].address
	return &out
}

func (f *suspicionFleet) deliver(from int, b []byte, to netip.AddrPort) {
	j := f.byAddress[to]
	if f.random.Float64() >= lossRate && f.side(from) == f.side(j) {
		f.after(suspicionStep, func() { f.receive(j, b) })
	}
}

// receive handles a datagram as a Node does.
func (f *suspicionFleet) receive(j int, b []byte) {
	if !f.older(j) {
		if handled, _ := f.vms[j].exchange.handle(b); handled {
			return
		}
	}
	if suspicions, _, err := decodeDatagram(b); err == nil {
		f.vms[j].guard.Merge(suspicions)
	}
}

func (f *suspicionFleet) after(d time.Duration, do func()) {
	at := time.Now().Add(d)
	f.pending[at] = append(f.pending[at], do)
}

// step moves time on by one step.
func (f *suspicionFleet) step(n int) {
	now := time.Now()
	for _, do := range f.pending[now] {
		do()
	}
	delete(f.pending, now)
	for i, v := range f.vms {
		if v.news && n%int(newsInterval/suspicionStep) == 0 && !f.older(i) {
			// Both must be told.
			a, b := v.exchange.tellNews(), v.toOlder.tellNews()
			v.news = a || b
		}
		if (n+i)%int(heartbeatInterval/suspicionStep) == 0 {
			to := v.exchange.sample(f.snapshot(i).others(), zoneFanout)
			v.exchange.tellSome(to)
			if v.toOlder != nil {
				v.toOlder.tellSome(to)
			}
		}
	}
	time.Sleep(suspicionStep)
}

// addNoise makes a VM take n harmless requests for suspects.
func (f *suspicionFleet) addNoise(v *suspicionVM, n int) {
	for range n {
		f.noise++
		v.guard.RecordCrash(1000+f.noise, "cut", false)
	}
}

// sendPoison sends the request that crashes servers to a VM.
func (f *suspicionFleet) sendPoison(i int) {
	v := f.vms[i]
	if time.Now().Before(v.servesAt) {
		return
	}
	if f.older(i) {
		// Builds before protocol 1 try suspects themselves.
		if d := v.guard.Admit(exactPoison, shuntconfig.CanaryNever); d.Refused == shuntoutcome.None && d.Wait == nil {
			f.crash(v, exactPoison, d.Suspect)
			v.guard.Release(exactPoison)
		}
		return
	}
	id := shuntguard.Identity{Content: poison, Exact: exactPoison}
	v.guard.Recognize(id)
	known, suspected := v.guard.Suspected(poison)
	if !suspected {
		f.crash(v, poison, false)
		v.guard.RecordLost(id)
		return
	}
	if v.guard.QuarantineLeft(poison) > 0 {
		return
	}
	vm, _, ok := f.snapshot(i).InChargeOfSuspect(poison, nil)
	if !ok || f.older(f.byAddress[vm.Address]) {
		return
	}
	o := f.vms[f.byAddress[vm.Address]]
	o.guard.Merge([]shuntguard.Suspicion{known})
	if d := o.guard.AdmitTrial(poison); d.Refused == shuntoutcome.None && d.Wait == nil {
		f.crash(o, poison, true)
		o.guard.EndTrial(poison, true)
	}
}

func (f *suspicionFleet) crash(v *suspicionVM, fingerprint uint64, trial bool) {
	f.crashes = append(f.crashes, time.Now())
	server := fmt.Sprintf("s-%d", len(f.crashes))
	f.after(detectionTime, func() { v.guard.RecordCrash(fingerprint, server, trial) })
}

// poisonInterval is the time between two sends of the request that crashes servers.
const poisonInterval = 100 * time.Millisecond

// poisonCase describes what happens while a request that crashes servers is sent to all VMs
// by turns.
type poisonCase struct {
	vms int
	// noise is the number of harmless suspects of each VM a second.
	noise int
	// restarts makes a VM restart each half second.
	restarts bool
	side     func(vm int) int
	// older returns whether a VM is of a build before protocol 1.
	older func(vm int) bool
	span  time.Duration
	// within is how long VMs may take to hear of the first crash, and trials the number
	// of crashes that may come after that.
	within time.Duration
	trials int
}

// play plays the case with a new fleet.
func (c poisonCase) play() *suspicionFleet {
	if c.side == nil {
		c.side = func(int) int { return 0 }
	}
	if c.older == nil {
		c.older = func(int) bool { return false }
	}
	f := newSuspicionFleet(c.vms, 1, c.side, c.older)
	every := func(d time.Duration, n int) bool { return n%int(d/suspicionStep) == 0 }
	for n := range int(c.span / suspicionStep) {
		if every(time.Second, n) {
			for _, v := range f.vms {
				f.addNoise(v, c.noise)
			}
		}
		if c.restarts && every(time.Second/2, n) {
			f.restart(n / 50 % c.vms)
		}
		if every(poisonInterval, n) {
			f.sendPoison(n / int(poisonInterval/suspicionStep) % c.vms)
		}
		f.step(n)
	}
	return f
}

// TestCrashesByFleetSize checks how many servers a request crashes that is sent to all VMs
// by turns, and that this does not grow with the fleet: VMs lose a server each only until
// they have heard of the first crash.
func TestCrashesByFleetSize(t *testing.T) {
	const (
		spreadTime, noisyTime = 600 * time.Millisecond, 1500 * time.Millisecond
		// trials is the number of trials. A VM that restarts, or the other side of a
		// partition, may add one.
		trials = 1
	)
	cases := map[string]poisonCase{
		"6 VMs":                      {vms: 6, span: 30 * time.Second, within: spreadTime, trials: trials},
		"6 VMs, harmless suspects":   {vms: 6, noise: 20, span: 30 * time.Second, within: noisyTime, trials: trials},
		"6 VMs, restarts":            {vms: 6, restarts: true, span: 30 * time.Second, within: spreadTime, trials: trials + 1},
		"6 VMs, cut in two":          {vms: 6, side: func(vm int) int { return vm % 3 / 2 }, span: 30 * time.Second, within: spreadTime, trials: trials + 1},
		"100 VMs":                    {vms: 100, span: 10 * time.Second, within: spreadTime, trials: trials},
		"100 VMs, harmless suspects": {vms: 100, noise: 3, span: 2500 * time.Millisecond, within: noisyTime, trials: trials},
		"1,000 VMs":                  {vms: 1000, span: 3 * time.Second, within: spreadTime, trials: trials},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := c.play()
				late := 0
				for _, at := range f.crashes {
					if at.Sub(f.crashes[0]) > c.within {
						late++
					}
				}
				if late > c.trials {
					t.Errorf("%d servers crashed later than %v after the first; at most %d may", late, c.within, c.trials)
				}
				if most := int(c.within/poisonInterval) + 1 + c.trials; len(f.crashes) > most {
					t.Errorf("%d servers crashed; at most %d may", len(f.crashes), most)
				}
				t.Logf("%d servers crashed, %d of them late", len(f.crashes), late)
			})
		})
	}
}

// TestCrashesBesideOlderVMs checks that a request crashes no more servers in a fleet of two
// builds, one of which is before protocol 1, than it does in a fleet of the older one.
func TestCrashesBesideOlderVMs(t *testing.T) {
	const vms, span = 6, 30 * time.Second
	most := 0
	synctest.Test(t, func(*testing.T) {
		most = len(poisonCase{vms: vms, span: span, older: func(int) bool { return true }}.play().crashes)
	})
	cases := map[string]func(vm int) bool{
		"one is newer": func(vm int) bool { return vm != 4 },
		"half are":     func(vm int) bool { return vm%2 == 0 },
		"one is older": func(vm int) bool { return vm == 4 },
	}
	for name, older := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := poisonCase{vms: vms, span: span, older: older}.play()
				if len(f.crashes) > most {
					t.Errorf("%d servers crashed; %d with older VMs alone", len(f.crashes), most)
				}
				t.Logf("%d servers crashed; %d with older VMs alone", len(f.crashes), most)
			})
		})
	}
}
