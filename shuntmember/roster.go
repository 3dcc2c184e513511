package shuntmember

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

const (
	// aliveTime is how long after its count last grew a VM is held for alive.
	aliveTime = 2500 * time.Millisecond
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
	// Count grows while the process lives.
	Count uint64
	// Serving VMs know the routes; Leaving ones are about to end.
	Serving bool
	Leaving bool
	// Revision is that of the newest published change the VM knows.
	Revision int64
}

func (r Report) newerThan(o Report) bool {
	return r.Start > o.Start || (r.Start == o.Start && r.Count > o.Count)
}

type member struct {
	report Report
	heard  time.Time
	alive  bool
}

// Member is a VM that is held for alive.
type Member struct {
	Address netip.AddrPort
	Zone    string
	Serving bool
	// Revision is that of the newest published change the VM knows.
	Revision int64
}

// Roster is what one VM knows of all VMs. It is not safe for use by several
// goroutines.
type Roster struct {
	self    Report
	members map[netip.AddrPort]*member
}

// NewRoster returns a roster that knows this VM alone. start is the time of the
// process's start, in milliseconds.
func NewRoster(self netip.AddrPort, zone string, start uint64) *Roster {
	return &Roster{self: Report{Address: self, Zone: zone, Start: start}, members: map[netip.AddrPort]*member{}}
}

// Beat counts one more sign of life of this VM.
func (r *Roster) Beat() { r.self.Count++ }

// SetServing, SetLeaving and SetRevision say what this VM reports of itself.
func (r *Roster) SetServing(serving bool) { r.self.Serving = serving }

// SetLeaving says that this VM is about to end.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// SetRevision says how far this VM has followed what is published.
func (r *Roster) SetRevision(revision int64) { r.self.Revision = revision }

// Self returns this VM's own report.
func (r *Roster) Self() Report { return r.self }

// Hear takes over what another VM reports. A report of an earlier life of this
// VM that looks later than its own, as after a clock that was set back, moves
// its own start beyond it.
func (r *Roster) Hear(reports []Report, now time.Time) {
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

// Expire notes VMs that have fallen silent and forgets those of long ago.
func (r *Roster) Expire(now time.Time) {
	for a, m := range r.members {
		if m.alive && now.Sub(m.heard) > aliveTime {
			m.alive = false
			klog.InfoS("VM silent", "vm", a, "zone", m.report.Zone, "heard", now.Sub(m.heard).Milliseconds())
		}
		if now.Sub(m.heard) > forgetAfter {
			delete(r.members, a)
		}
	}
}

// Reports returns this VM's own report and those of up to most others that are
// alive, in random order.
func (r *Roster) Reports(most int) []Report {
	out := []Report{r.self}
	for _, m := range r.members {
		if len(out) > most {
			break
		}
		if m.alive {
			out = append(out, m.report)
		}
	}
	return out
}

// Addresses returns the VMs that are alive and those that have fallen silent.
func (r *Roster) Addresses() (alive, silent []netip.AddrPort) {
	for a, m := range r.members {
		if m.alive {
			alive = append(alive, a)
		} else {
			silent = append(silent, a)
		}
	}
	return alive, silent
}

// Snapshot returns the immutable view that traffic goes by.
func (r *Roster) Snapshot(now time.Time) *Snapshot {
	s := &Snapshot{Self: r.self.Address, size: 1}
	if !r.self.Leaving {
		s.Members = append(s.Members, memberOf(r.self))
	}
	for _, m := range r.members {
		if now.Sub(m.heard) <= knownTime {
			s.size++
		}
		if m.alive && !m.report.Leaving {
			s.Members = append(s.Members, memberOf(m.report))
		}
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return s
}

func memberOf(r Report) Member {
	return Member{Address: r.Address, Zone: r.Zone, Serving: r.Serving, Revision: r.Revision}
}

// Snapshot is who lives, at one moment. It is immutable.
type Snapshot struct {
	Self netip.AddrPort
	// Members are the VMs that live and do not end, this one among them.
	Members []Member
	size    int
}

// Size returns how many VMs share common limits.
func (s *Snapshot) Size() int { return s.size }

// InCharge says whether this VM is the one among those alive that looks after
// the thing of that name: all that see the same VMs agree on one.
func (s *Snapshot) InCharge(name string) bool {
	var best netip.AddrPort
	var most uint64
	for _, m := range s.Members {
		if w := xxhash.Sum64String(name + " " + m.Address.String()); w >= most {
			best, most = m.Address, w
		}
	}
	return best == s.Self
}

// Near returns the members that serve callers in the zone: those in the zone,
// else those of its region, else all. regionOf gives the region of a zone.
func (s *Snapshot) Near(zone, region string, regionOf func(zone string) string) []Member {
	var inZone, inRegion, all []Member
	for _, m := range s.Members {
		if !m.Serving {
			continue
		}
		all = append(all, m)
		if m.Zone == zone {
			inZone = append(inZone, m)
		}
		if regionOf(m.Zone) == region {
			inRegion = append(inRegion, m)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	}
	return all
}
