package shuntfleet

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
)

// member is what this VM knows about another VM.
type member struct {
	vm        shuntconfig.VM
	status    Status
	lastHeard time.Time
	// wantsVersion is the version of the list in wants, as numbered by the
	// process that status.Start identifies.
	wantsVersion uint64
	wants        []Resource
	// sentWantsVersion is the version of this VM's own list that the member has
	// received.
	sentWantsVersion   uint64
	lastSentSuspicions time.Time
	// mismatchSince is when the member's configuration digest began to differ
	// from this VM's. It is zero while they are equal.
	mismatchSince time.Time
}

// SetLeavingVMs sets the VMs that the platform lists as leaving.
func (c *Control) SetLeavingVMs(vms map[string]bool) { c.listedLeaving = vms }

// updateMembers adds and removes members according to the Fleet document.
func (c *Control) updateMembers() {
	listed := map[string]bool{}
	for _, v := range c.tree.Fleet().VMs {
		if v.Name == c.config.VM {
			continue
		}
		listed[v.Name] = true
		m, ok := c.members[v.Name]
		if !ok {
			m = &member{}
			c.members[v.Name] = m
		}
		m.vm = v
	}
	for n := range c.members {
		if !listed[n] {
			delete(c.members, n)
		}
	}
}

func (m *member) live(now time.Time) bool {
	return !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < deadAfter
}

// isolated reports whether neither the platform nor any VM has been heard from
// for isolatedAfter. The time before the start of the process is not counted.
func (c *Control) isolated(now time.Time) bool {
	last := c.started
	if c.lastPlatformResponse.After(last) {
		last = c.lastPlatformResponse
	}
	for _, m := range c.members {
		if m.lastHeard.After(last) {
			last = m.lastHeard
		}
	}
	return now.Sub(last) >= isolatedAfter
}

// FetchSource returns the name and address of a live VM to fetch documents
// from, or false if there is none. It only returns VMs whose configuration has
// differed for two heartbeat intervals, since a new configuration usually
// arrives by itself in that time. Before this VM has a configuration it does
// not wait.
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
	// Restarting the wait gives other members with a different configuration
	// the next turn.
	best.mismatchSince = now
	return best.vm.Name, best.vm.PeerAddress, true
}
