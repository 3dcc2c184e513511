package shuntentry

import (
	"slices"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	// EntriesMaxAge is how long callers may keep the list of addresses. It is short:
	// a VM that leaves goes on accepting for that long.
	EntriesMaxAge = 2 * time.Second
	// ShutdownMargin is what a leaving VM waits longer than MaxAge, for answers
	// on their way.
	ShutdownMargin = 500 * time.Millisecond
	maxEntries     = 16
)

// Entry is one address that callers may use.
type Entry struct {
	Name    string
	Address string
	Zone    string
}

// Entries returns the addresses to use, the best first: those of the caller's
// zone, then of its region, then others; by load among equals. VMs that are
// leaving, out of service or unheard are left out.
func Entries(v *shuntfleet.View, zone, region string, random *shuntrandom.Source) []Entry {
	type ranked struct {
		Entry
		far  int
		load int
		luck uint64
	}
	f := v.Tree.Fleet()
	var rs []ranked
	add := func(name string, load int) {
		vm, ok := f.VM(name)
		if !ok || !f.VMInService(name) {
			return
		}
		z, _ := f.Zone(vm.Zone)
		far := 2
		switch {
		case zone != "" && vm.Zone == zone:
			far = 0
		case region != "" && z.Region == region:
			far = 1
		}
		rs = append(rs, ranked{Entry{vm.Name, vm.CallerAddress, vm.Zone}, far, load, random.Uint64()})
	}
	if v.AcceptsWork() && !v.Self.Leaving {
		add(v.Self.VM, v.Self.Load)
	}
	for _, p := range v.Peers {
		if p.Live && p.Status.Ready && !p.Status.Leaving {
			add(p.Name, p.Status.Load)
		}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if a.far != b.far {
			return a.far - b.far
		}
		// Half-second-old loads that differ a little mean nothing; callers
		// must not all turn to one VM.
		if d := bucket(a.load) - bucket(b.load); d != 0 {
			return d
		}
		if a.luck < b.luck {
			return -1
		}
		return 1
	})
	out := make([]Entry, 0, maxEntries)
	for _, r := range rs[:min(len(rs), maxEntries)] {
		out = append(out, r.Entry)
	}
	return out
}

func bucket(load int) int {
	n := 0
	for load > 4 {
		load /= 2
		n++
	}
	return n
}
