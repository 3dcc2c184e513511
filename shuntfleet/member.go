package shuntfleet

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// member is another VM.
type member struct {
	vm     shuntconfig.VM
	status Status
	heard  time.Time
	// wantsVersion names the list of wanted resources in wants; it is known
	// of the life in status.Start only.
	wantsVersion uint64
	wants        []Resource
	// sentWants is the version of this VM's list that the member has.
	sentWants      uint64
	sentSuspicions time.Time
	// mismatchSince is since when the member's digest differs from ours.
	mismatchSince time.Time
}

// SetLeavingVMs takes over which VMs the platform lists as leaving.
func (c *Control) SetLeavingVMs(vms map[string]bool) { c.listedLeaving = vms }

// setMembers brings the table of VMs in line with the Fleet document.
func (c *Control) setMembers() {
	named := map[string]bool{}
	for _, v := range c.tree.Fleet().VMs {
		if v.Name == c.config.VM {
			continue
		}
		named[v.Name] = true
		m, ok := c.members[v.Name]
		if !ok {
			m = &member{}
			c.members[v.Name] = m
		}
		m.vm = v
	}
	for n := range c.members {
		if !named[n] {
			delete(c.members, n)
		}
	}
}

func (m *member) live(now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < deadAfter
}

// isolated says whether nothing was heard from anybody for too long. What was
// heard before the start counts from the start.
func (c *Control) isolated(now time.Time) bool {
	last := c.began
	if c.platformHeard.After(last) {
		last = c.platformHeard
	}
	for _, m := range c.members {
		if m.heard.After(last) {
			last = m.heard
		}
	}
	return now.Sub(last) >= isolatedAfter
}

// FetchSource returns a live VM whose configuration has differed from this one's
// for long enough that it does not just arrive, or at once while this VM has
// none; false when there is none.
func (c *Control) FetchSource(now time.Time) (string, string, bool) {
	wait := 2 * HeartbeatInterval
	if !c.synced {
		wait = 0
	}
	var best *member
	for _, m := range c.members {
		if !m.live(now) || m.mismatchSince.IsZero() || now.Sub(m.mismatchSince) < wait {
			continue
		}
		if m.status.FleetVersion > c.tree.Fleet().Version {
			best = m
			break
		}
		if best == nil || m.mismatchSince.Before(best.mismatchSince) {
			best = m
		}
	}
	if best == nil {
		return "", "", false
	}
	// The next turn is another member's, unless this one still differs then.
	best.mismatchSince = now
	return best.vm.Name, best.vm.PeerAddress, true
}
