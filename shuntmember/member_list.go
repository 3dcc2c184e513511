package shuntmember

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// aliveTime is how long after its count last grew one of the first VMs of a
	// region is held for alive, whom each datagram tells of: news takes
	// aliveStep longer for each VM known, up to aliveMost in all.
	aliveTime = 2500 * time.Millisecond
	aliveStep = 25 * time.Millisecond
	aliveMost = 5 * time.Second
	// aliveMore is what the others have for each VM known: they are told of in
	// turn, and not named to callers before they are heard again.
	aliveMore = 200 * time.Millisecond
	// knownTime is how long a VM counts for the shares of common limits after it
	// was last heard: VMs that lose sight of each other keep their shares.
	knownTime = 30 * time.Second
	// forgetAfter is when a VM is no longer asked for a sign of life.
	forgetAfter = 2 * time.Minute
)

// Report is what VMs tell each other of one VM.
type Report struct {
	Address netip.AddrPort
	Zone    string
	// Start tells the lives of a VM's process apart; a later life has a greater one.
	Start uint64
	// Heartbeat grows while the process lives.
	Heartbeat uint64
	// Serving VMs know the routes; Leaving ones are about to end; the platform
	// answers Reading ones.
	Serving           bool
	Leaving           bool
	PlatformReachable bool
	// Capacity is in thousandths of a core, Load in attempts at backend servers
	// a second.
	Capacity uint32
	Load     uint32
	// Revision is that of the newest published change the VM knows.
	Revision int64
}

func (r Report) newerThan(o Report) bool {
	return r.Start > o.Start || (r.Start == o.Start && r.Heartbeat > o.Heartbeat)
}

type member struct {
	report Report
	heard  time.Time
	alive  bool
}

// MemberList is what one VM knows of all VMs. It is not safe for use by several
// goroutines.
type MemberList struct {
	self     Report
	regionOf func(zone string) string
	members  map[netip.AddrPort]*member
	// servers counts the backend servers of each zone.
	servers map[string]int
}

// NewMemberList returns a roster that knows this VM alone; self.Start is the time of
// the process's start, in milliseconds. regionOf gives the region of a zone.
func NewMemberList(self Report, regionOf func(zone string) string) *MemberList {
	return &MemberList{self: self, regionOf: regionOf, members: map[netip.AddrPort]*member{}}
}

// IncrementHeartbeat counts one more sign of life of this VM.
func (r *MemberList) IncrementHeartbeat() { r.self.Heartbeat++ }

// SetServing says whether this VM knows the routes.
func (r *MemberList) SetServing(serving bool) { r.self.Serving = serving }

// SetLeaving says that this VM is about to end.
func (r *MemberList) SetLeaving() { r.self.Leaving = true }

// SetLoad says how many attempts at backend servers a second this VM makes.
func (r *MemberList) SetLoad(load uint32) { r.self.Load = load }

// SetServerCounts says how many backend servers each zone holds.
func (r *MemberList) SetServerCounts(byZone map[string]int) { r.servers = byZone }

// SetPlatformReachable says whether the platform answers this VM.
func (r *MemberList) SetPlatformReachable(reading bool) { r.self.PlatformReachable = reading }

// SetRevision says how far this VM has followed what is published.
func (r *MemberList) SetRevision(revision int64) { r.self.Revision = revision }

// Self returns this VM's own report.
func (r *MemberList) Self() Report { return r.self }

// Merge takes over what another VM reports. A report of an earlier life of this
// VM that looks later than its own, as after a clock that was set back, moves
// its own start beyond it.
func (r *MemberList) Merge(reports []Report, now time.Time) {
	for _, in := range reports {
		if in.Address == r.self.Address {
			if in.Start > r.self.Start {
				klog.InfoS("An earlier life of this VM has a later start", "start", in.Start, "own", r.self.Start)
				r.self.Start = in.Start + 1
			}
			continue
		}
		m, ok := r.members[in.Address]
		if !ok {
			m = &member{}
			r.members[in.Address] = m
		} else if !in.newerThan(m.report) {
			continue
		}
		if !ok || in.Leaving != m.report.Leaving || in.Start != m.report.Start {
			klog.InfoS("VM reported", "vm", in.Address, "zone", in.Zone, "start", in.Start, "leaving", in.Leaving, "serving", in.Serving, "new", !ok)
		}
		m.report, m.heard, m.alive = in, now, true
	}
}

// firstLimit is how long one of the first VMs of a region may be silent.
func (r *MemberList) firstLimit() time.Duration {
	return min(aliveMost, aliveTime+time.Duration(len(r.members))*aliveStep)
}

// Expire notes VMs that have fallen silent and forgets those of long ago. first
// are the first VMs of each region.
func (r *MemberList) Expire(first []netip.AddrPort, now time.Time) {
	for a, m := range r.members {
		limit := r.firstLimit()
		if !slices.Contains(first, a) {
			limit += time.Duration(len(r.members)) * aliveMore
		}
		if m.alive && now.Sub(m.heard) > limit {
			m.alive = false
			klog.InfoS("VM silent", "vm", a, "zone", m.report.Zone, "heard", now.Sub(m.heard).Milliseconds())
		}
		if now.Sub(m.heard) > forgetAfter {
			delete(r.members, a)
		}
	}
}

// ReportsToSend returns this VM's own report, those of the first VMs of each region,
// whom all must know well, and up to others more of those that are alive. The
// order of the others is that of a map: another one each time.
func (r *MemberList) ReportsToSend(first []netip.AddrPort, others int) []Report {
	out := []Report{r.self}
	told := map[netip.AddrPort]bool{r.self.Address: true}
	add := func(a netip.AddrPort) {
		if m := r.members[a]; m != nil && m.alive && !told[a] {
			told[a] = true
			out = append(out, m.report)
		}
	}
	for _, a := range first {
		add(a)
	}
	most := len(out) + others
	for a := range r.members {
		if len(out) >= most {
			break
		}
		add(a)
	}
	return out
}

// place is where another VM stands, seen from this one.
type place int

const (
	sameZone place = iota
	sameRegion
	otherRegion
)

// AliveByProximity returns the VMs that are alive by where they stand. Those of other
// regions are grouped by region.
func (r *MemberList) AliveByProximity() (zone, region []netip.AddrPort, others map[string][]netip.AddrPort) {
	others = map[string][]netip.AddrPort{}
	for a, m := range r.members {
		if !m.alive {
			continue
		}
		switch r.place(m.report.Zone) {
		case sameZone:
			zone = append(zone, a)
		case sameRegion:
			region = append(region, a)
		default:
			name := r.regionOf(m.report.Zone)
			others[name] = append(others[name], a)
		}
	}
	return zone, region, others
}

func (r *MemberList) place(zone string) place {
	switch {
	case zone == r.self.Zone:
		return sameZone
	case r.regionOf(zone) == r.regionOf(r.self.Zone):
		return sameRegion
	}
	return otherRegion
}

// Silent returns the VMs that have fallen silent.
func (r *MemberList) Silent() []netip.AddrPort {
	var out []netip.AddrPort
	for a, m := range r.members {
		if !m.alive {
			out = append(out, a)
		}
	}
	return out
}
