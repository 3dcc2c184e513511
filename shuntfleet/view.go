package shuntfleet

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// View is an immutable snapshot of a Control for use by other goroutines.
type View struct {
	Tree      *shuntconfig.Tree
	Placement *Placement
	Self      Status
	// Isolated is true if neither the platform nor any VM has been heard from
	// recently.
	Isolated bool
	// InService is true if this VM and its zone are in service.
	InService bool
	Peers     []Peer
	// leases holds the known lease states of the servers of this VM's cell.
	leases map[string]shuntowner.LeaseState
	voters int
	// notLive holds the VMs of this VM's cell that are not live. notLiveHash is
	// a hash of that set.
	notLive map[string]bool
	// majorityLive is true if a majority of the cell is live, so that leases
	// can be granted.
	majorityLive bool
	notLiveHash  uint64
}

// Peer is what this VM knows about another VM.
type Peer struct {
	Name   string
	Zone   string
	Status Status
	// LastHeard is when the last message arrived. It is zero if none has.
	LastHeard time.Time
	// Live is true if the last message arrived less than deadAfter ago.
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

// expired compares both the monotonic clock and the wall clock, because only
// one of them may have advanced while the VM was suspended.
func expired(until, now time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// mayBeLive reports whether a VM could answer. VMs of the same cell exchange
// heartbeats twice a second, so silent ones are known. VMs of other cells are
// assumed to be live.
func (v *View) mayBeLive(vm shuntconfig.VM) bool { return !v.notLive[vm.Name] }

// OwnedCount returns the number of backend servers that this VM owns now.
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

// countPeers returns the number of live peers for which match returns true.
func (v *View) countPeers(match func(Peer) bool) int {
	n := 0
	for _, p := range v.Peers {
		if p.Live && match(p) {
			n++
		}
	}
	return n
}

// hasLivePeer reports whether any other VM is live.
func (v *View) hasLivePeer() bool {
	return v.countPeers(func(Peer) bool { return true }) > 0
}

// AcceptsWork reports whether this VM accepts new work.
func (v *View) AcceptsWork() bool {
	return v.Self.Ready && !v.Isolated
}

// Leases returns the known lease states of the servers of this VM's cell. The
// caller must not change the map.
func (v *View) Leases() map[string]shuntowner.LeaseState { return v.leases }
