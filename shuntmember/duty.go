package shuntmember

import (
	"net/netip"
	"slices"
	"time"
)

// dutyHandover is how long a VM waits that takes over a duty, so that the one that had it
// has heard of the change, and what it did no longer counts. It is longer than the second
// in which the requests to a cold server are counted.
const dutyHandover = 1200 * time.Millisecond

// duties tells which VMs share the duties of which each object has one VM. It is
// immutable.
type duties struct {
	// holders are the VMs that share the duties now.
	holders []netip.AddrPort
	// earlier holds those that did so in the last dutyHandover, latest first.
	earlier []earlierDuties
}

// earlierDuties are the holders until the given time.
type earlierDuties struct {
	holders []netip.AddrPort
	until   time.Time
}

// change returns the duties after the holders are the given ones, in any order.
func (d duties) change(holders []netip.AddrPort, now time.Time) duties {
	slices.SortFunc(holders, netip.AddrPort.Compare)
	earlier := slices.DeleteFunc(slices.Clone(d.earlier), func(e earlierDuties) bool { return now.Sub(e.until) > dutyHandover })
	if !slices.Equal(holders, d.holders) {
		earlier = append([]earlierDuties{{d.holders, now}}, earlier...)
	}
	return duties{holders: holders, earlier: earlier}
}

// isFor reports whether the VM has the duty for the object, and has had it for as long as
// earlier holders may still act.
func (d duties) isFor(vm netip.AddrPort, object string, now time.Time) bool {
	holds := func(holders []netip.AddrPort) bool {
		return len(holders) > 0 && heaviest(slices.Values(holders), object) == vm
	}
	return holds(d.holders) && !slices.ContainsFunc(d.earlier, func(e earlierDuties) bool {
		return now.Sub(e.until) <= dutyHandover && !holds(e.holders)
	})
}

// dutyHolders returns the entries that have had the time to hear of all others. A process
// that has just started does not know what others, or the one before it, have done.
func (l *MemberList) dutyHolders(s *Snapshot, now time.Time) []netip.AddrPort {
	// A VM that hears of others late still learns of them one by one.
	ready := s.settled && !s.alone && (l.heardSince.IsZero() || now.Sub(l.heardSince) > startupTime)
	var out []netip.AddrPort
	for vm := range s.entries {
		if m, ok := l.members[vm]; (ok && now.Sub(m.since) > startupTime) || (vm == s.self && ready) {
			out = append(out, vm)
		}
	}
	return out
}
