package shuntmember

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEntries is the minimum number of VMs of a region that callers are sent
	// to, so that one remains if another is lost.
	minEntries = 2
	// minReaders is the minimum number of VMs of a region that read from the
	// platform.
	minReaders = 2
	// minReadCandidates is the number of VMs of a region that try to read from the
	// platform while fewer than minReaders succeed. More of them try with time, one
	// per readCandidateInterval: an outage may concern some VMs only, but while it
	// concerns all of them, each further try is one more refused call.
	minReadCandidates     = 4
	readCandidateInterval = 500 * time.Millisecond
	// attemptsPerCore is the number of attempts per second that one core is
	// planned to handle. It can handle about twice as many.
	attemptsPerCore = 2000
	// ShardsPerCore is the number of shards of one query that one core is planned to
	// query. The entries of a region divide queries to more shards: the attempts of a
	// query come all at once, and the last of them waits for all others.
	ShardsPerCore = 50
	// maxDividingEntries is the number of entries of a region beyond which no more
	// are added for the sake of queries to many shards.
	maxDividingEntries = preferredPerRegion
	// entryShare is the part of the common limits that is divided among the
	// entries. The rest is divided among the other VMs, which few callers
	// reach.
	entryShare = 0.8
	// minStartupEntries is the minimum number of entries that a process assumes for its
	// share during startupTime, because it may not have heard of all of them yet, and
	// while it has heard of none.
	minStartupEntries = 6
	// agreementTime is how long after a change of the entries of a region VMs may still
	// know the earlier ones.
	agreementTime = 2 * time.Second
	// startupTime is how long after its start a process may not know all VMs.
	startupTime = 3 * time.Second
)

// Snapshot is an immutable view of the VMs that are alive.
type Snapshot struct {
	self netip.AddrPort
	// regions holds the VMs of each region that are alive and not leaving, in
	// the order of preference for callers.
	regions map[string][]Report
	entries map[netip.AddrPort]bool
	// leaving holds the VMs that are alive and about to stop.
	leaving  []Report
	shares   shares
	isReader bool
	// entriesSince is since when the entries of each region have been the same.
	entriesSince map[string]time.Time
	duties       duties
	// settled is false during startupTime.
	settled bool
	// alone is true if this process has not heard from any other VM since it started, and
	// there may be some that keep their shares.
	alone bool
	// othersLostLinks is true if another VM has lost its links to the backend servers.
	othersLostLinks bool
	// older holds the VMs that are alive and before protocol 1.
	older map[netip.AddrPort]bool
}

// shares are the parts of common limits that VMs may use.
type shares struct {
	// entry is the part of an entry, and other that of any other VM.
	entry, other float64
	// silent holds the VMs that are not heard from but may still be alive, and whether
	// they count as entries. leaving holds the VMs that are about to stop.
	silent  map[netip.AddrPort]bool
	leaving map[netip.AddrPort]bool
}

// Snapshot returns an immutable view of the list at time now, for a process of the given
// age.
func (l *MemberList) Snapshot(now time.Time, age time.Duration) *Snapshot {
	s := &Snapshot{
		self: l.self.Address, regions: map[string][]Report{}, entries: map[netip.AddrPort]bool{},
		older: map[netip.AddrPort]bool{}, settled: age > startupTime, alone: len(l.members) == 0 && age <= shareRetention,
	}
	s.shares = shares{silent: map[netip.AddrPort]bool{}, leaving: map[netip.AddrPort]bool{}}
	// known also holds VMs that became silent recently. They may still be alive
	// and use their shares without being reachable from this VM.
	known := map[string][]Report{}
	own := l.regionOf(l.self.Zone)
	known[own] = append(known[own], l.self)
	if !l.self.Leaving {
		s.regions[own] = append(s.regions[own], l.self)
	}
	for _, m := range l.members {
		region := l.regionOf(m.report.Zone)
		if m.alive && m.report.isOlder() {
			s.older[m.report.Address] = true
		}
		if now.Sub(m.lastHeard) <= shareRetention {
			known[region] = append(known[region], m.report)
		}
		switch {
		case m.report.Leaving:
			s.shares.leaving[m.report.Address] = true
			if m.alive {
				s.leaving = append(s.leaving, m.report)
			}
		case m.alive:
			s.regions[region] = append(s.regions[region], m.report)
		case now.Sub(m.lastHeard) <= shareRetention:
			s.shares.silent[m.report.Address] = false
		}
	}
	fresh := func(a netip.AddrPort) bool {
		m := l.members[a]
		return m == nil || now.Sub(m.lastHeard) <= l.preferredTimeout()
	}
	// If no VM reaches backend servers, these are down, not the links.
	ignoreLinks := !reachesServers(s.regions)
	usable := func(r Report) bool { return ignoreLinks || !r.LinksLost }
	for _, reports := range s.regions {
		l.sort(reports)
		for _, e := range l.selectEntries(reports, func(r Report) bool { return usable(r) && fresh(r.Address) }) {
			s.entries[e.Address] = true
		}
		s.othersLostLinks = s.othersLostLinks || slices.ContainsFunc(reports, func(r Report) bool { return !usable(r) && r.Address != s.self })
	}
	s.setShares(l, known, usable)
	s.entriesSince = l.trackEntries(s, now)
	l.duties = l.duties.change(l.dutyHolders(s, now), now)
	s.duties = l.duties
	s.isReader = s.shouldRead(own, l.trackReaders(s.regions[own], now))
	return s
}

// setShares sets the parts of common limits, given the known VMs by region and which of
// them can be entries.
func (s *Snapshot) setShares(l *MemberList, known map[string][]Report, usable func(Report) bool) {
	total, entries := 0, 0
	for _, reports := range known {
		l.sort(reports)
		total += len(reports)
		for _, e := range l.selectEntries(reports, usable) {
			entries++
			if _, silent := s.shares.silent[e.Address]; silent {
				s.shares.silent[e.Address] = true
			}
		}
	}
	s.shares.entry, s.shares.other = divideShares(total, entries, s.settled && !s.alone)
}

// rankedReport is a report with what decides its place in the order of preference.
type rankedReport struct {
	Report
	// turn counts the VMs before this one that have the same capacity and zone.
	turn int
	// servers is the number of backend servers in the zone.
	servers int
	// weight orders VMs that are alike, in the same way on all VMs.
	weight uint64
}

// sort sorts reports in the order of preference for callers: VMs with more capacity
// first, then VMs in zones that have backend servers, by turns from each zone.
func (l *MemberList) sort(reports []Report) {
	ranked := make([]rankedReport, len(reports))
	for i, r := range reports {
		ranked[i] = rankedReport{Report: r, servers: l.serverCounts[r.Zone], weight: l.weightOf(r.Address)}
	}
	slices.SortFunc(ranked, func(a, b rankedReport) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		if c := strings.Compare(a.Zone, b.Zone); c != 0 {
			return c
		}
		return cmp.Compare(a.weight, b.weight)
	})
	for i := 1; i < len(ranked); i++ {
		if before := ranked[i-1]; before.Capacity == ranked[i].Capacity && before.Zone == ranked[i].Zone {
			ranked[i].turn = before.turn + 1
		}
	}
	slices.SortFunc(ranked, func(a, b rankedReport) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		if c := cmp.Compare(min(1, b.servers), min(1, a.servers)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.turn, b.turn); c != 0 {
			return c
		}
		if c := cmp.Compare(b.servers, a.servers); c != 0 {
			return c
		}
		return cmp.Compare(a.weight, b.weight)
	})
	for i, r := range ranked {
		reports[i] = r.Report
	}
}

// weightOf returns the weight of the VM in the order of preference.
func (l *MemberList) weightOf(a netip.AddrPort) uint64 {
	if m, ok := l.members[a]; ok {
		return m.weight
	}
	return weight(a, "")
}

// reachesServers reports whether any VM that serves callers reaches backend servers.
func reachesServers(regions map[string][]Report) bool {
	for _, reports := range regions {
		if slices.ContainsFunc(reports, func(r Report) bool { return r.Serving && !r.LinksLost }) {
			return true
		}
	}
	return false
}

// selectEntries returns the VMs of a region that callers are sent to. It
// selects as few as can handle the region's load and divide the widest queries:
// each of them then sees more of the traffic to every backend server, and together
// they hold fewer connections. reports must be in the order of preference. VMs that
// are not usable are skipped.
func (l *MemberList) selectEntries(reports []Report, usable func(Report) bool) []Report {
	load := 0.0
	for _, r := range reports {
		load += float64(r.Load)
	}
	var out []Report
	cores := 0.0
	for _, r := range reports {
		wide := cores*ShardsPerCore >= float64(l.queryWidth) || len(out) >= maxDividingEntries
		if len(out) >= minEntries && cores*attemptsPerCore >= load && wide {
			break
		}
		if r.Serving && usable(r) {
			out = append(out, r)
			cores += float64(r.Capacity) / 1000
		}
	}
	return out
}

// divideShares returns the parts of the common limits that an entry and any other VM
// may use, given the number of known VMs and of entries among them. If all VMs know
// the same VMs, their shares add up to at most 1, even after they have just lost
// contact with each other.
func divideShares(known, entries int, complete bool) (entry, other float64) {
	others := max(1, known-entries)
	entries = max(1, entries)
	if !complete {
		entries = max(entries, minStartupEntries)
	}
	if known <= entries {
		return 1 / float64(entries), 1 / float64(entries)
	}
	return entryShare / float64(entries), (1 - entryShare) / float64(others)
}

// trackEntries returns since when the entries of each region have been the same.
func (l *MemberList) trackEntries(s *Snapshot, now time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(s.regions))
	for region := range s.regions {
		entries := s.entryAddresses(region)
		slices.SortFunc(entries, netip.AddrPort.Compare)
		if !slices.Equal(entries, l.lastEntries[region]) {
			l.lastEntries[region], l.entriesSince[region] = entries, now
		}
		out[region] = l.entriesSince[region]
	}
	return out
}

// trackReaders returns how long fewer than minReaders of the given VMs have reached
// the platform.
func (l *MemberList) trackReaders(reports []Report, now time.Time) time.Duration {
	readers := 0
	for _, r := range reports {
		if r.PlatformReachable {
			readers++
		}
	}
	switch {
	case readers >= minReaders:
		l.fewReadersSince = time.Time{}
		return 0
	case l.fewReadersSince.IsZero():
		l.fewReadersSince = now
	}
	return now.Sub(l.fewReadersSince)
}

// shouldRead reports whether this VM should read from the platform: it is among the
// candidates of its region or already reads, and fewer than minReaders VMs before it
// in the region's order reach the platform. fewReadersFor is how long the region has
// had fewer than minReaders.
func (s *Snapshot) shouldRead(region string, fewReadersFor time.Duration) bool {
	candidates := minReadCandidates + int(fewReadersFor/readCandidateInterval)
	readers := 0
	for i, m := range s.regions[region] {
		if readers >= minReaders {
			return false
		}
		if m.Address == s.self {
			return i < candidates || m.PlatformReachable
		}
		if m.PlatformReachable {
			readers++
		}
	}
	// This VM is leaving, so it is not listed.
	return readers < minReaders
}

// preferredPerRegion is the number of VMs of a region that all other VMs are
// kept well informed about: the entries and those that follow them in the order
// of preference.
const preferredPerRegion = 3 * minEntries

// preferredVMs returns the preferred VMs of all regions.
func (s *Snapshot) preferredVMs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, reports := range s.regions {
		for _, m := range reports[:min(len(reports), preferredPerRegion)] {
			out = append(out, m.Address)
		}
	}
	return out
}

// isDelegate reports whether this VM is one of those that send reports to other
// zones and regions.
func (s *Snapshot) isDelegate(region string) bool {
	reports := s.regions[region]
	for _, m := range reports[:min(len(reports), minEntries)] {
		if m.Address == s.self {
			return true
		}
	}
	return false
}

// ShouldReadPlatform reports whether this VM should read from the platform
// itself.
func (s *Snapshot) ShouldReadPlatform() bool { return s.isReader }

// Share returns the part of the limits common to all VMs that this VM may use,
// from 0 to 1.
func (s *Snapshot) Share() float64 { return s.ShareOf(s.self) }

// ShareOf returns the part of the limits common to all VMs that the VM may use, from
// 0 to 1. It is 0 for a VM that is leaving, unless that is this VM itself.
func (s *Snapshot) ShareOf(vm netip.AddrPort) float64 {
	switch {
	case s.shares.leaving[vm]:
		return 0
	case s.entries[vm] || s.shares.silent[vm] || len(s.entries) == 0:
		return s.shares.entry
	}
	return s.shares.other
}

// Silent returns the VMs that are not heard from but may still be alive.
func (s *Snapshot) Silent() []netip.AddrPort { return slices.Collect(maps.Keys(s.shares.silent)) }

// Divider returns the VM that divides the limit of a backend server in the region
// among all VMs: one of the region's entries, since they send most of what the server
// gets, or of all entries if the region has none.
func (s *Snapshot) Divider(server, region string) netip.AddrPort {
	return heaviest(slices.Values(s.Entries(region)), server)
}

// Divides reports whether this VM divides the limit of a backend server, and has
// known the same entries for so long that the others agree on it.
func (s *Snapshot) Divides(server, region string, now time.Time) bool {
	return s.settled && !s.alone && s.Divider(server, region) == s.self && now.Sub(s.entriesSince[region]) >= agreementTime
}

// IsEntry reports whether callers are sent to this VM. It is false right after
// the start, when the VM may not know of any others.
func (s *Snapshot) IsEntry() bool { return s.settled && s.entries[s.self] }

// IsResponsibleFor reports whether this VM is the one among the entries that is
// responsible for the object with that name. All VMs that know the same entries agree on
// it. Nobody is for a moment after that has changed, and for some seconds after all VMs
// have started.
func (s *Snapshot) IsResponsibleFor(name string) bool {
	return s.duties.isFor(s.self, name, time.Now())
}

// InChargeOfSuspect returns the one VM that runs the request with the fingerprint while it
// is suspected of crashing backend servers: an entry in the regions, or in any if there
// are none. self is true if that is this VM. It returns false if there is no such VM, or if
// this VM does not hear from most of the VMs that it knew lately, or from any since it
// started, so that after a loss of contact at most one side has a VM in charge.
func (s *Snapshot) InChargeOfSuspect(fingerprint uint64, regions []string) (vm Report, self, ok bool) {
	heard := 0
	entries := map[netip.AddrPort]Report{}
	for region, reports := range s.regions {
		heard += len(reports)
		for _, m := range reports {
			if s.entries[m.Address] && (len(regions) == 0 || slices.Contains(regions, region)) {
				entries[m.Address] = m
			}
		}
	}
	if !s.settled || s.alone || heard <= len(s.shares.silent) || len(entries) == 0 {
		return Report{}, false, false
	}
	vm = entries[heaviest(maps.Keys(entries), suspectName(fingerprint))]
	return vm, vm.Address == s.self, true
}

// OthersLostLinks reports whether another VM has lost its links to the backend servers,
// and this VM is an entry or among the next to become one.
func (s *Snapshot) OthersLostLinks() bool {
	return s.othersLostLinks && slices.Contains(s.preferredVMs(), s.self)
}

// others returns the VMs that are alive, except this one.
func (s *Snapshot) others() []netip.AddrPort {
	var out []netip.AddrPort
	for _, region := range slices.Sorted(maps.Keys(s.regions)) {
		for _, m := range s.regions[region] {
			if m.Address != s.self {
				out = append(out, m.Address)
			}
		}
	}
	return out
}

// Turn returns this VM's place, from 0 to below 1, in an order of the VMs that are alive.
// The order depends on the name, and VMs that know the same ones agree on it.
func (s *Snapshot) Turn(name string) float64 {
	own := weight(s.self, name)
	before, all := 0, 1
	for _, vm := range s.others() {
		all++
		if weight(vm, name) > own {
			before++
		}
	}
	return float64(before) / float64(all)
}

// heaviest returns the VM with the greatest weight for the name, by which VMs that know
// the same ones agree on one of them. It returns the zero value if there are none.
func heaviest(vms iter.Seq[netip.AddrPort], name string) netip.AddrPort {
	var best netip.AddrPort
	var maxWeight uint64
	for a := range vms {
		if w := weight(a, name); w >= maxWeight {
			best, maxWeight = a, w
		}
	}
	return best
}

// weight returns the weight of a VM for the name.
func weight(a netip.AddrPort, name string) uint64 { return xxhash.Sum64String(name + " " + a.String()) }

// Entries returns the VMs that callers are sent to: those of the first of the
// given regions that has any, otherwise those of all regions. The result may be
// empty.
func (s *Snapshot) Entries(regions ...string) []netip.AddrPort {
	for _, r := range regions {
		if entries := s.entryAddresses(r); len(entries) > 0 {
			return entries
		}
	}
	var all []netip.AddrPort
	for _, r := range slices.Sorted(maps.Keys(s.regions)) {
		all = append(all, s.entryAddresses(r)...)
	}
	return all
}

func (s *Snapshot) entryAddresses(region string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range s.regions[region] {
		if s.entries[m.Address] {
			out = append(out, m.Address)
		}
	}
	return out
}

// OtherEntries returns the VMs of all regions that callers are sent to, except this
// one.
func (s *Snapshot) OtherEntries() []Report {
	var out []Report
	for _, region := range slices.Sorted(maps.Keys(s.regions)) {
		for _, m := range s.regions[region] {
			if s.entries[m.Address] && m.Address != s.self {
				out = append(out, m)
			}
		}
	}
	return out
}

// Helpers returns the other VMs that reach backend servers and may serve requests for
// this one: the entries, or if none of them does, those that are leaving but still serve.
func (s *Snapshot) Helpers() []Report {
	out := slices.DeleteFunc(s.OtherEntries(), func(r Report) bool { return r.LinksLost })
	if len(out) > 0 {
		return out
	}
	for _, r := range s.leaving {
		if r.Serving && !r.LinksLost && r.Address != s.self {
			out = append(out, r)
		}
	}
	return out
}

// NearestNewer returns the nearest VM that knows a later revision, or false if
// there is none. Among equally near VMs it returns the one with the latest
// revision.
func (s *Snapshot) NearestNewer(revision int64, zone, region string) (netip.AddrPort, bool) {
	var best Report
	bestProximity := -1
	for name, reports := range s.regions {
		for _, m := range reports {
			if m.Address == s.self || m.Revision <= revision {
				continue
			}
			proximity := 0
			if name == region {
				proximity++
			}
			if m.Zone == zone {
				proximity++
			}
			if proximity > bestProximity || (proximity == bestProximity && m.Revision > best.Revision) {
				best, bestProximity = m, proximity
			}
		}
	}
	return best.Address, bestProximity >= 0
}
