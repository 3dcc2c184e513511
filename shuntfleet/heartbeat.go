package shuntfleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// OutgoingBeat is a heartbeat to be sent to one VM.
type OutgoingBeat struct {
	To      string
	Address string
	Beat    Beat
	// sentAt and wantedServers are needed to process the reply: leases count
	// from sentAt, and the holders in the reply are in the order of
	// wantedServers.
	sentAt        time.Time
	wantedServers []string
}

// cellHeartbeats records this VM's own vote and returns the heartbeats to the
// other VMs of the cell.
func (c *Control) cellHeartbeats(now time.Time) []OutgoingBeat {
	c.sequence++
	c.updateWants()
	self := c.voter.Grant(Claimant{c.config.VM, c.config.Start}, c.sequence, c.wantedResources, now)
	c.recordGrants(c.config.VM, self, c.wantedServers, c.sequence, now, now)
	var out []OutgoingBeat
	for _, v := range c.placement.Voters(c.config.Cell) {
		m, ok := c.members[v.Name]
		if !ok {
			continue
		}
		b := c.newBeat(m, now)
		b.WantsVersion = c.wantsVersion
		if m.sentWantsVersion != c.wantsVersion || c.wantsVersion == 0 {
			b.HasWants = true
			b.Wants = encodeResources(c.wantedResources)
		}
		out = append(out, OutgoingBeat{To: v.Name, Address: v.PeerAddress, Beat: b, sentAt: now, wantedServers: c.wantedServers})
	}
	return out
}

// remoteHeartbeat returns a heartbeat to one random VM of another cell. It
// returns nothing if there is no such VM.
func (c *Control) remoteHeartbeat(now time.Time) []OutgoingBeat {
	var remote []*member
	for _, m := range c.members {
		if m.vm.Cell != c.config.Cell {
			remote = append(remote, m)
		}
	}
	if len(remote) == 0 {
		return nil
	}
	m := remote[c.config.Random.IntN(len(remote))]
	c.sequence++
	return []OutgoingBeat{{To: m.vm.Name, Address: m.vm.PeerAddress, Beat: c.newBeat(m, now), sentAt: now}}
}

func (c *Control) newBeat(m *member, now time.Time) Beat {
	return Beat{Status: c.status(), Sequence: c.sequence, Suspicions: c.suspicionsFor(m, now)}
}

// suspicionsFor returns the guard's suspicions to send to a member, at most
// once per suspicionsInterval.
func (c *Control) suspicionsFor(m *member, now time.Time) []shuntguard.Suspicion {
	if c.config.Guard == nil || now.Sub(m.lastSentSuspicions) < suspicionsInterval {
		return nil
	}
	m.lastSentSuspicions = now
	return c.config.Guard.Export(maxSuspicionsSent)
}

// updateWants rebuilds the sorted lists of the servers that this VM requests
// leases for.
func (c *Control) updateWants() {
	c.wantedServers = make([]string, 0, len(c.claims))
	for id := range c.claims {
		c.wantedServers = append(c.wantedServers, id)
	}
	slices.Sort(c.wantedServers)
	c.wantedResources = make([]Resource, len(c.wantedServers))
	for i, id := range c.wantedServers {
		c.wantedResources[i] = ResourceOf(id)
	}
}

func encodeResources(rs []Resource) []uint64 {
	out := make([]uint64, len(rs))
	for i, r := range rs {
		out[i] = uint64(r)
	}
	return out
}

func decodeResources(rs []uint64) []Resource {
	out := make([]Resource, len(rs))
	for i, r := range rs {
		out[i] = Resource(r)
	}
	return out
}

// HandleBeat processes a heartbeat from another VM and returns the reply.
func (c *Control) HandleBeat(b Beat, now time.Time) BeatReply {
	out := BeatReply{Status: c.status()}
	m, ok := c.members[b.Status.VM]
	if !ok || len(b.Wants) > maxWants {
		// Only VMs in the Fleet document count as live and are granted leases.
		// Oversized lists are not processed.
		return out
	}
	c.recordStatus(m, b.Status, now)
	c.mergeSuspicions(b.Suspicions)
	out.Suspicions = c.suspicionsFor(m, now)
	if m.vm.Cell != c.config.Cell {
		return out
	}
	if b.HasWants && b.WantsVersion >= m.wantsVersion {
		m.wantsVersion = b.WantsVersion
		m.wants = decodeResources(b.Wants)
	}
	if b.WantsVersion != m.wantsVersion {
		out.NeedWants = true
		return out
	}
	if b.Status.FleetVersion < c.tree.Fleet().Version {
		// The sender may count its majority by a list of VMs that is no longer
		// in force.
		return out
	}
	out.Holders = c.voter.Grant(Claimant{b.Status.VM, b.Status.Start}, b.Sequence, c.ownCellOnly(m.wants), now)
	if c.wantedServerFree(now) {
		// A server that this VM wants is free, probably because the sender has
		// just released it. Request it without waiting for the next heartbeat.
		c.nextCellBeat = now
	}
	out.AllGranted = allEqual(out.Holders, b.Status.VM)
	if out.AllGranted {
		out.Holders = nil
	}
	return out
}

// ownCellOnly replaces resources that are not servers of this cell by the zero
// Resource, which is never granted. The positions of the others stay the same.
func (c *Control) ownCellOnly(rs []Resource) []Resource {
	out := make([]Resource, len(rs))
	for i, r := range rs {
		if id, ok := c.placement.Server(r); ok && c.placement.Cell(id) == c.config.Cell {
			out[i] = r
		}
	}
	return out
}

func allEqual(ss []string, want string) bool {
	for _, s := range ss {
		if s != want {
			return false
		}
	}
	return true
}

// recordStatus records the status that a member has sent. If the member has
// restarted, it discards what its earlier process had sent and received.
func (c *Control) recordStatus(m *member, s Status, now time.Time) {
	if m.status.Start != s.Start {
		m.wantsVersion = 0
		m.wants = nil
		m.sentWantsVersion = 0
		klog.V(1).InfoS("VM started or restarted", "vm", s.VM, "start", s.Start)
	}
	m.status = s
	m.lastHeard = now
	if s.Digest == c.tree.Digest() {
		m.mismatchSince = time.Time{}
		return
	}
	if m.mismatchSince.IsZero() {
		m.mismatchSince = now
	}
}

func (c *Control) mergeSuspicions(in []shuntguard.Suspicion) {
	if c.config.Guard != nil && len(in) > 0 {
		c.config.Guard.Merge(in)
	}
}

// HandleReply processes the reply to a heartbeat.
func (c *Control) HandleReply(o OutgoingBeat, r BeatReply, now time.Time) {
	m, ok := c.members[o.To]
	if !ok || r.Status.VM != o.To {
		return
	}
	c.recordStatus(m, r.Status, now)
	c.mergeSuspicions(r.Suspicions)
	if m.vm.Cell != c.config.Cell || o.wantedServers == nil {
		return
	}
	if r.NeedWants {
		m.sentWantsVersion = 0
		c.nextCellBeat = now
		return
	}
	m.sentWantsVersion = o.Beat.WantsVersion
	holders := r.Holders
	if r.AllGranted {
		holders = slices.Repeat([]string{c.config.VM}, len(o.wantedServers))
	}
	c.recordGrants(o.To, holders, o.wantedServers, o.Beat.Sequence, o.sentAt, now)
}

// recordGrants records a voter's grants for servers that were requested at
// sentAt. holders is in the order of servers.
func (c *Control) recordGrants(voter string, holders, servers []string, sequence uint64, sentAt, now time.Time) {
	gained := false
	for i, id := range servers {
		h, ok := c.claims[id]
		if !ok || sequence < h.firstSequence || i >= len(holders) {
			continue
		}
		if holders[i] != c.config.VM {
			// An earlier grant remains valid until it expires: the voter can't
			// have promised the server to another VM before then.
			continue
		}
		h.grants[voter] = sentAt.Add(leaseTime)
		wasExpired := expired(h.leaseUntil, now)
		h.leaseUntil = h.grants.leaseEnd(vmNames(c.placement.Voters(c.config.Cell)))
		if wasExpired && !expired(h.leaseUntil, now) {
			gained = true
			klog.V(1).InfoS("Lease gained", "server", id, "until", h.leaseUntil)
		}
	}
	if gained {
		c.publish(now)
	}
}
