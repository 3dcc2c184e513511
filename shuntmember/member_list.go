package shuntmember

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// aliveTimeout is how long a preferred VM is considered alive after its
	// heartbeat counter last increased. Every datagram contains the reports of
	// the preferred VMs. Since news takes longer to reach more VMs,
	// aliveTimeoutPerVM is added for each known VM, up to maxAliveTimeout in
	// total.
	aliveTimeout      = 2500 * time.Millisecond
	aliveTimeoutPerVM = 25 * time.Millisecond
	maxAliveTimeout   = 5 * time.Second
	// otherTimeoutPerVM is added for each known VM to the timeout of VMs that
	// are not preferred, since their reports are sent in turn. Callers are not
	// sent to such a VM after the timeout of a preferred VM.
	otherTimeoutPerVM = 200 * time.Millisecond
	// shareRetention is how long a VM counts for the shares of common limits
	// after it was last heard from, so that VMs that lose contact with each
	// other keep their shares.
	shareRetention = 30 * time.Second
	// forgetAfter is how long a VM may be silent before it is removed from the
	// list and no longer contacted.
	forgetAfter = 2 * time.Minute
)

// Report is what VMs tell each other about one VM.
type Report struct {
	Address netip.AddrPort
	Zone    string
	// Start identifies a process of the VM. Later processes have higher values.
	Start uint64
	// Heartbeat increases as long as the process is alive.
	Heartbeat uint64
	// Serving is true if the VM knows the routes, Leaving if it is about to
	// stop, and PlatformReachable if the platform answers it.
	Serving           bool
	Leaving           bool
	PlatformReachable bool
	// LinksLost is true if the VM reaches no backend servers though others may.
	LinksLost bool
	// Capacity is in thousandths of a core. Load is in attempts to call backend
	// servers per second.
	Capacity uint32
	Load     uint32
	// Revision is that of the newest published change that the VM knows of.
	Revision int64
	// Protocol is the version of what VMs say to each other that the VM speaks; 0 for
	// builds that do not tell.
	Protocol uint8
}

func (r Report) newerThan(o Report) bool {
	return r.Start > o.Start || (r.Start == o.Start && r.Heartbeat > o.Heartbeat)
}

// withoutCounters returns r without what changes all the time.
func (r Report) withoutCounters() Report {
	r.Heartbeat, r.Load = 0, 0
	return r
}

type member struct {
	report    Report
	lastHeard time.Time
	// since is when this VM first heard of the process.
	since time.Time
	alive bool
	// weight is the VM's weight in the order of preference.
	weight uint64
}

// MemberList is what one VM knows about all VMs. It is not safe for concurrent
// use.
type MemberList struct {
	self     Report
	regionOf func(zone string) string
	members  map[netip.AddrPort]*member
	// serverCounts is the number of backend servers in each zone.
	serverCounts map[string]int
	// queryWidth is the number of shards of the widest queries.
	queryWidth int
	// changed is true if a report has changed by more than its heartbeat and load.
	changed bool
	// fewReadersSince is since when fewer than minReaders VMs of this VM's region
	// have reached the platform; zero while enough do.
	fewReadersSince time.Time
	// lastEntries holds the entries of each region, and entriesSince since when they
	// have been the same.
	lastEntries  map[string][]netip.AddrPort
	entriesSince map[string]time.Time
	// duties holds who was on duty lately.
	duties duties
	// heardSince is when this VM first heard of another one; zero if it has not.
	heardSince time.Time
}

// NewMemberList returns a list that only contains this VM. self.Start is the
// time at which the process started, in milliseconds. regionOf returns the
// region of a zone.
func NewMemberList(self Report, regionOf func(zone string) string) *MemberList {
	return &MemberList{self: self, regionOf: regionOf, members: map[netip.AddrPort]*member{}, lastEntries: map[string][]netip.AddrPort{}, entriesSince: map[string]time.Time{}}
}

// IncrementHeartbeat increments this VM's heartbeat counter.
func (l *MemberList) IncrementHeartbeat() { l.self.Heartbeat++ }

// SetServing sets whether this VM knows the routes.
func (l *MemberList) SetServing(serving bool) { l.self.Serving = serving }

// SetLeaving sets that this VM is about to stop.
func (l *MemberList) SetLeaving() { l.self.Leaving = true }

// SetLoad sets how many attempts to call backend servers this VM makes per
// second.
func (l *MemberList) SetLoad(load uint32) { l.self.Load = load }

// SetLinksLost sets whether this VM has lost its links to the backend servers.
func (l *MemberList) SetLinksLost(lost bool) { l.self.LinksLost = lost }

// SetServerCounts sets the number of backend servers in each zone.
func (l *MemberList) SetServerCounts(byZone map[string]int) { l.serverCounts = byZone }

// SetQueryWidth sets the number of shards of the widest queries.
func (l *MemberList) SetQueryWidth(shards int) { l.queryWidth = shards }

// SetPlatformReachable sets whether the platform answers this VM.
func (l *MemberList) SetPlatformReachable(reachable bool) { l.self.PlatformReachable = reachable }

// SetRevision sets the revision of the newest published change that this VM
// knows of.
func (l *MemberList) SetRevision(revision int64) { l.self.Revision = revision }

// Self returns this VM's own report.
func (l *MemberList) Self() Report { return l.self }

// Knows reports whether the list has a report of r's process or of a later one of
// the same VM.
func (l *MemberList) Knows(r Report) bool {
	m, ok := l.members[r.Address]
	return r.Address == l.self.Address || (ok && m.report.Start >= r.Start)
}

// Merge adds the reports from another VM to the list, except those that are
// older than the ones it has. If a report of this VM has a later start than its
// own, for example because the clock was set back before a restart, this VM's
// start is moved after it.
func (l *MemberList) Merge(reports []Report, now time.Time) {
	for _, in := range reports {
		if in.Address == l.self.Address {
			if in.Start > l.self.Start {
				klog.InfoS("An earlier process of this VM has a later start; moving the start after it", "start", in.Start, "own", l.self.Start)
				l.self.Start = in.Start + 1
			}
			continue
		}
		m, ok := l.members[in.Address]
		if !ok {
			m = l.add(in.Address, now)
		} else if !in.newerThan(m.report) {
			continue
		}
		if ok && in.Start == m.report.Start {
			// VMs that don't know of protocols leave it out of what they pass on.
			in.Protocol = max(in.Protocol, m.report.Protocol)
		}
		if !ok || in.Leaving != m.report.Leaving || in.Start != m.report.Start || in.Protocol != m.report.Protocol {
			klog.InfoS("VM reported", "vm", in.Address, "zone", in.Zone, "start", in.Start, "leaving", in.Leaving, "serving", in.Serving, "protocol", in.Protocol, "new", !ok)
		}
		if ok && in.LinksLost != m.report.LinksLost {
			klog.InfoS("VM reported its links to the backend servers", "vm", in.Address, "zone", in.Zone, "lost", in.LinksLost)
		}
		if !ok || in.Start != m.report.Start {
			m.since = now
		}
		l.changed = l.changed || !ok || !m.alive || in.withoutCounters() != m.report.withoutCounters()
		m.report, m.lastHeard, m.alive = in, now, true
	}
}

// add adds a VM of which this one has heard for the first time.
func (l *MemberList) add(address netip.AddrPort, now time.Time) *member {
	m := &member{weight: weight(address, "")}
	l.members[address] = m
	if l.heardSince.IsZero() {
		l.heardSince = now
	}
	return m
}

// TakeChanged reports whether anything but heartbeats and loads has changed since the
// last call.
func (l *MemberList) TakeChanged() bool {
	changed := l.changed
	l.changed = false
	return changed
}

// preferredTimeout is how long a preferred VM may be silent before it is no
// longer considered alive.
func (l *MemberList) preferredTimeout() time.Duration {
	return min(maxAliveTimeout, aliveTimeout+time.Duration(len(l.members))*aliveTimeoutPerVM)
}

// Expire marks VMs that have been silent for too long as not alive and removes
// those that have been silent for forgetAfter. preferred holds the preferred
// VMs of all regions.
func (l *MemberList) Expire(preferred []netip.AddrPort, now time.Time) {
	for a, m := range l.members {
		timeout := l.preferredTimeout()
		if !slices.Contains(preferred, a) {
			timeout += time.Duration(len(l.members)) * otherTimeoutPerVM
		}
		if m.alive && now.Sub(m.lastHeard) > timeout {
			m.alive = false
			klog.InfoS("VM silent", "vm", a, "zone", m.report.Zone, "heard", now.Sub(m.lastHeard).Milliseconds())
		}
		if now.Sub(m.lastHeard) > forgetAfter {
			delete(l.members, a)
		}
	}
}

// ReportsToSend returns this VM's own report, those of the preferred VMs, which
// all VMs must know well, and those of up to others more live VMs. These vary
// from call to call because the iteration order of the map is random.
func (l *MemberList) ReportsToSend(preferred []netip.AddrPort, maxOthers int) []Report {
	out := []Report{l.self}
	added := map[netip.AddrPort]bool{l.self.Address: true}
	add := func(a netip.AddrPort) {
		if m := l.members[a]; m != nil && m.alive && !added[a] {
			added[a] = true
			out = append(out, m.report)
		}
	}
	for _, a := range preferred {
		add(a)
	}
	limit := len(out) + maxOthers
	for a := range l.members {
		if len(out) >= limit {
			break
		}
		add(a)
	}
	return out
}

// proximity is how near another VM is to this one.
type proximity int

const (
	sameZone proximity = iota
	sameRegion
	otherRegion
)

// AliveByProximity returns the live VMs in this VM's zone, in the other zones
// of its region, and in each other region.
func (l *MemberList) AliveByProximity() (zone, region []netip.AddrPort, others map[string][]netip.AddrPort) {
	others = map[string][]netip.AddrPort{}
	for a, m := range l.members {
		if !m.alive {
			continue
		}
		switch l.proximityOf(m.report.Zone) {
		case sameZone:
			zone = append(zone, a)
		case sameRegion:
			region = append(region, a)
		default:
			name := l.regionOf(m.report.Zone)
			others[name] = append(others[name], a)
		}
	}
	return zone, region, others
}

func (l *MemberList) proximityOf(zone string) proximity {
	switch {
	case zone == l.self.Zone:
		return sameZone
	case l.regionOf(zone) == l.regionOf(l.self.Zone):
		return sameRegion
	}
	return otherRegion
}

// Silent returns the known VMs that are not alive.
func (l *MemberList) Silent() []netip.AddrPort {
	var out []netip.AddrPort
	for a, m := range l.members {
		if !m.alive {
			out = append(out, a)
		}
	}
	return out
}
