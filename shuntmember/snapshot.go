package shuntmember

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// entriesLeast is how many VMs of a region callers are sent to at least, so
	// that the loss of one leaves another.
	entriesLeast = 2
	// readersLeast is how many VMs of a region read the platform.
	readersLeast = 2
	// attemptsPerCore is how many attempts a second one core is given to carry;
	// a core bears about twice as many.
	attemptsPerCore = 2000
	// entryShare is the part of common limits that the entries have; the other
	// VMs, which few callers reach, divide the rest.
	entryShare = 0.8
	// sizeFloor is among how many entries a process divides at least while it
	// has just started and may not have heard of all.
	sizeFloor = 6
	// settleTime is how long a process holds itself for just started.
	settleTime = 3 * time.Second
)

// Snapshot is who lives, at one moment. It is immutable.
type Snapshot struct {
	self netip.AddrPort
	// regions holds the VMs of each region that live and do not end, the first
	// choice for callers first: large ones before small ones, and those in a
	// zone with many backend servers before others.
	regions map[string][]Report
	entries map[netip.AddrPort]bool
	share   float64
	reads   bool
	// settled is false while the process has just started.
	settled bool
}

// Snapshot returns the immutable view that traffic goes by.
func (r *MemberList) Snapshot(now time.Time, settled bool) *Snapshot {
	s := &Snapshot{self: r.self.Address, regions: map[string][]Report{}, entries: map[netip.AddrPort]bool{}, settled: settled}
	// known also holds VMs that have fallen silent not long ago: they may be
	// alive, out of sight, and use their share.
	known := map[string][]Report{}
	own := r.regionOf(r.self.Zone)
	known[own] = append(known[own], r.self)
	if !r.self.Leaving {
		s.regions[own] = append(s.regions[own], r.self)
	}
	for _, m := range r.members {
		region := r.regionOf(m.report.Zone)
		if now.Sub(m.heard) <= knownTime {
			known[region] = append(known[region], m.report)
		}
		if m.alive && !m.report.Leaving {
			s.regions[region] = append(s.regions[region], m.report)
		}
	}
	fresh := func(a netip.AddrPort) bool {
		m := r.members[a]
		return m == nil || now.Sub(m.heard) <= r.firstLimit()
	}
	for _, reports := range s.regions {
		r.sort(reports)
		for _, e := range entriesOf(reports, fresh) {
			s.entries[e.Address] = true
		}
	}
	total, entries := 0, 0
	for _, reports := range known {
		r.sort(reports)
		total += len(reports)
		entries += len(entriesOf(reports, always))
	}
	s.share = s.shareOf(total, entries, settled)
	s.reads = s.mustRead(own)
	return s
}

// sort puts the first choice for callers first.
func (r *MemberList) sort(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(r.servers[b.Zone], r.servers[a.Zone]), cmp.Compare(weight(a.Address, ""), weight(b.Address, "")))
	})
}

func always(netip.AddrPort) bool { return true }

// entriesOf returns the VMs that callers of a region are sent to: as few as
// carry its load, since each then sees more of every backend server, and all
// together hold fewer connections. reports are sorted by choice; VMs that have
// not been heard lately are left out.
func entriesOf(reports []Report, fresh func(netip.AddrPort) bool) []Report {
	load := 0.0
	for _, r := range reports {
		load += float64(r.Load)
	}
	var out []Report
	carried := 0.0
	for _, r := range reports {
		if len(out) >= entriesLeast && carried >= load {
			break
		}
		if r.Serving && fresh(r.Address) {
			out = append(out, r)
			carried += float64(r.Capacity) / 1000 * attemptsPerCore
		}
	}
	return out
}

// shareOf returns the part of common limits that this VM may use, among the
// known VMs, entries of them entries. The sum over all VMs stays within 1 where
// they know the same VMs, also while they have just lost sight of each other.
func (s *Snapshot) shareOf(known, entries int, settled bool) float64 {
	others := max(1, known-entries)
	entries = max(1, entries)
	if !settled {
		entries = max(entries, sizeFloor)
	}
	switch {
	case known <= entries:
		return 1 / float64(entries)
	case s.entries[s.self] || len(s.entries) == 0:
		return entryShare / float64(entries)
	}
	return (1 - entryShare) / float64(others)
}

// mustRead says whether this VM is one of those that read the platform: it is
// unless enough VMs of its region before it do.
func (s *Snapshot) mustRead(region string) bool {
	readers := 0
	for _, m := range s.regions[region] {
		if m.Address == s.self {
			return true
		}
		if m.PlatformReachable {
			readers++
		}
		if readers >= readersLeast {
			return false
		}
	}
	return true
}

// firstsPerRegion is how many VMs of a region all others are kept well informed
// of: the entries and those that follow them.
const firstsPerRegion = 2 * entriesLeast

// firsts returns the first VMs of each region.
func (s *Snapshot) firsts() []netip.AddrPort {
	var out []netip.AddrPort
	for _, reports := range s.regions {
		for _, m := range reports[:min(len(reports), firstsPerRegion)] {
			out = append(out, m.Address)
		}
	}
	return out
}

// delegate says whether this VM is one of those that carry news to other
// regions.
func (s *Snapshot) delegate(region string) bool {
	reports := s.regions[region]
	for _, m := range reports[:min(len(reports), entriesLeast)] {
		if m.Address == s.self {
			return true
		}
	}
	return false
}

// ShouldReadPlatform says whether this VM is to read the platform itself.
func (s *Snapshot) ShouldReadPlatform() bool { return s.reads }

// Share returns the part of limits common to all VMs that this VM may use, from
// 0 to 1.
func (s *Snapshot) Share() float64 { return s.share }

// IsEntry says whether callers are sent to this VM. A VM that has just started
// may know no other one, and does not count.
func (s *Snapshot) IsEntry() bool { return s.settled && s.entries[s.self] }

// IsResponsibleFor says whether this VM is the one among the entries that looks after
// the thing of that name: all that see the same VMs agree on one.
func (s *Snapshot) IsResponsibleFor(name string) bool {
	if len(s.entries) == 0 {
		return true
	}
	var best netip.AddrPort
	var most uint64
	for a := range s.entries {
		if w := weight(a, name); w >= most {
			best, most = a, w
		}
	}
	return best == s.self
}

func weight(a netip.AddrPort, name string) uint64 { return xxhash.Sum64String(name + " " + a.String()) }

// Entries returns the VMs that callers are sent to: those of the first of the
// regions that has any, else those of all regions. It may be empty.
func (s *Snapshot) Entries(regions ...string) []netip.AddrPort {
	for _, r := range regions {
		if near := s.addresses(r); len(near) > 0 {
			return near
		}
	}
	var all []netip.AddrPort
	for _, r := range slices.Sorted(maps.Keys(s.regions)) {
		all = append(all, s.addresses(r)...)
	}
	return all
}

func (s *Snapshot) addresses(region string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range s.regions[region] {
		if s.entries[m.Address] {
			out = append(out, m.Address)
		}
	}
	return out
}

// RemoteEntries returns the VMs of other regions that callers there are sent to, by
// region.
func (s *Snapshot) RemoteEntries(own string) map[string][]netip.AddrPort {
	out := map[string][]netip.AddrPort{}
	for region := range s.regions {
		if region != own {
			out[region] = s.addresses(region)
		}
	}
	return out
}

// NearestNewer returns the nearest VM that has followed what is published beyond the
// revision, or false.
func (s *Snapshot) NearestNewer(revision int64, zone, region string) (netip.AddrPort, bool) {
	var best Report
	nearness := -1
	for name, reports := range s.regions {
		for _, m := range reports {
			if m.Address == s.self || m.Revision <= revision {
				continue
			}
			near := 0
			if name == region {
				near++
			}
			if m.Zone == zone {
				near++
			}
			if near > nearness || (near == nearness && m.Revision > best.Revision) {
				best, nearness = m, near
			}
		}
	}
	return best.Address, nearness >= 0
}
