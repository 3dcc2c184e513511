package shuntentry

import (
	"slices"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	// EntriesMaxAge is how long callers may cache the list of addresses. It is
	// short because a VM that is leaving keeps accepting requests for this time.
	EntriesMaxAge = 2 * time.Second
	// ShutdownMargin is how much longer than EntriesMaxAge a leaving VM waits
	// before it refuses requests, so that responses in transit still arrive.
	ShutdownMargin = 500 * time.Millisecond
	maxEntries     = 16
)

// Entry is the address of a VM that callers may use.
type Entry struct {
	Name    string
	Address string
	Zone    string
}

// Entries returns at most maxEntries addresses: first those in the caller's zone,
// then those in its region, then all others, and within each group the least
// loaded first. VMs that are leaving, not ready, out of service or not reachable
// are left out.
func Entries(v *shuntfleet.View, zone, region string, random *shuntrandom.Source) []Entry {
	type candidate struct {
		Entry
		distance int
		load     int
		tiebreak uint64
	}
	f := v.Tree.Fleet()
	var candidates []candidate
	add := func(name string, load int) {
		vm, ok := f.VM(name)
		if !ok || !f.VMInService(name) {
			return
		}
		z, _ := f.Zone(vm.Zone)
		distance := 2
		switch {
		case zone != "" && vm.Zone == zone:
			distance = 0
		case region != "" && z.Region == region:
			distance = 1
		}
		candidates = append(candidates, candidate{Entry{vm.Name, vm.CallerAddress, vm.Zone}, distance, load, random.Uint64()})
	}
	if v.AcceptsWork() && !v.Self.Leaving {
		add(v.Self.VM, v.Self.Load)
	}
	for _, p := range v.Peers {
		if p.Live && p.Status.Ready && !p.Status.Leaving {
			add(p.Name, p.Status.Load)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.distance != b.distance {
			return a.distance - b.distance
		}
		// Reported loads can be half a second old. Small differences are
		// ignored, so that not all callers choose the same VM.
		if d := loadBucket(a.load) - loadBucket(b.load); d != 0 {
			return d
		}
		if a.tiebreak < b.tiebreak {
			return -1
		}
		return 1
	})
	out := make([]Entry, 0, maxEntries)
	for _, r := range candidates[:min(len(candidates), maxEntries)] {
		out = append(out, r.Entry)
	}
	return out
}

// loadBucket maps loads to buckets whose width doubles.
func loadBucket(load int) int {
	n := 0
	for load > 4 {
		load /= 2
		n++
	}
	return n
}
