package shuntfleet

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// View is what the control goroutine has published for all others. It never
// changes; Control makes a new one.
type View struct {
	Tree      *shuntconfig.Tree
	Placement *Placement
	Self      Status
	// Isolated: neither the platform nor any VM was heard lately.
	Isolated bool
	// InService: this VM and its zone are in service.
	InService bool
	Peers     []Peer
	// leases holds what is known of the servers of this VM's cell.
	leases map[string]shuntowner.LeaseState
	voters int
	// unheard are the VMs of this VM's cell that are not live; live stands
	// for the set of them.
	unheard map[string]bool
	// majority: a majority of the cell is live, so that leases are granted.
	majority bool
	live     uint64
}

// Peer is another VM as this one knows it.
type Peer struct {
	Name   string
	Zone   string
	Status Status
	// LastHeard is when the last message came; zero when none did.
	LastHeard time.Time
	// Live: heard lately enough.
	Live bool
}

// Lease implements shuntowner.Leases.
func (v *View) Lease(server string, now time.Time) shuntowner.LeaseState {
	s, ok := v.leases[server]
	if !ok {
		return shuntowner.LeaseState{CellSize: max(1, v.voters)}
	}
	if s.Held && expired(s.Until, now) {
		s.Held = false
	}
	return s
}

// expired compares by the monotonic clock and by the wall clock: a machine
// that was suspended may find that only one of them went on.
func expired(until, now time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// mayServe says whether a VM could answer: those of the own cell are heard twice
// a second, of others nothing is known.
func (v *View) mayServe(vm shuntconfig.VM) bool { return !v.unheard[vm.Name] }

// OwnedCount returns the number of backend servers that the VM owns now.
func (v *View) OwnedCount() int {
	n := 0
	now := time.Now()
	for id := range v.leases {
		if v.Lease(id, now).Held {
			n++
		}
	}
	return n
}

// countPeers counts the live VMs that count says yes to.
func (v *View) countPeers(count func(Peer) bool) int {
	n := 0
	for _, p := range v.Peers {
		if p.Live && count(p) {
			n++
		}
	}
	return n
}

// hearsPeers says whether any other VM was heard lately.
func (v *View) hearsPeers() bool {
	return v.countPeers(func(Peer) bool { return true }) > 0
}

// AcceptsWork says whether the VM takes new work.
func (v *View) AcceptsWork() bool {
	return v.Self.Ready && !v.Isolated
}

// Leases returns what is known of the servers of the VM's cell. The caller
// must not change the map.
func (v *View) Leases() map[string]shuntowner.LeaseState { return v.leases }
