package shuntfleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntguard"
)

// OutgoingBeat is a message to be sent.
type OutgoingBeat struct {
	To      string
	Address string
	Beat    Beat
	// sent and wants are what the reply is read by.
	sent  time.Time
	wants []string
}

// beatCell votes for itself and returns the heartbeats to the cell.
func (c *Control) beatCell(now time.Time) []OutgoingBeat {
	c.sequence++
	c.listWants()
	self := c.voter.Grant(Claimant{c.config.VM, c.config.Start}, c.sequence, c.wants, now)
	c.book(c.config.VM, self, c.wantNames, c.sequence, now, now)
	var out []OutgoingBeat
	for _, v := range c.placement.Voters(c.config.Cell) {
		m, ok := c.members[v.Name]
		if !ok {
			continue
		}
		b := c.beat(m, now)
		b.WantsVersion = c.wantsVersion
		if m.sentWants != c.wantsVersion || c.wantsVersion == 0 {
			b.HasWants = true
			b.Wants = encodeResources(c.wants)
		}
		out = append(out, OutgoingBeat{To: v.Name, Address: v.PeerAddress, Beat: b, sent: now, wants: c.wantNames})
	}
	return out
}

// beatFar returns a heartbeat to one random VM outside of the cell.
func (c *Control) beatFar(now time.Time) []OutgoingBeat {
	var far []*member
	for _, m := range c.members {
		if m.vm.Cell != c.config.Cell {
			far = append(far, m)
		}
	}
	if len(far) == 0 {
		return nil
	}
	m := far[c.config.Random.Below(len(far))]
	c.sequence++
	return []OutgoingBeat{{To: m.vm.Name, Address: m.vm.PeerAddress, Beat: c.beat(m, now), sent: now}}
}

func (c *Control) beat(m *member, now time.Time) Beat {
	return Beat{Status: c.status(), Sequence: c.sequence, Suspicions: c.suspicions(m, now)}
}

// suspicions returns the guard's table for a member, once in an interval.
func (c *Control) suspicions(m *member, now time.Time) []shuntguard.Suspicion {
	if c.config.Guard == nil || now.Sub(m.sentSuspicions) < suspicionsInterval {
		return nil
	}
	m.sentSuspicions = now
	return c.config.Guard.Export(maxSuspicionsSent)
}

// listWants makes the list of wanted resources, in order.
func (c *Control) listWants() {
	c.wantNames = make([]string, 0, len(c.held))
	for id := range c.held {
		c.wantNames = append(c.wantNames, id)
	}
	slices.Sort(c.wantNames)
	c.wants = make([]Resource, len(c.wantNames))
	for i, id := range c.wantNames {
		c.wants[i] = ResourceOf(id)
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

// HandleBeat answers a heartbeat.
func (c *Control) HandleBeat(b Beat, now time.Time) BeatReply {
	out := BeatReply{Status: c.status()}
	m, ok := c.members[b.Status.VM]
	if !ok || len(b.Wants) > maxWants {
		// A VM that is not published neither counts as live nor gets a vote.
		return out
	}
	c.hear(m, b.Status, now)
	c.mergeSuspicions(b.Suspicions)
	out.Suspicions = c.suspicions(m, now)
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
		// The sender may count by a list of VMs that is no longer in force.
		return out
	}
	out.Holders = c.voter.Grant(Claimant{b.Status.VM, b.Status.Start}, b.Sequence, c.known(m.wants), now)
	if c.canTake(now) {
		// What the sender has just given up is wanted here.
		c.nextBeat = now
	}
	out.AllGranted = all(out.Holders, b.Status.VM)
	if out.AllGranted {
		out.Holders = nil
	}
	return out
}

// known replaces what does not belong to this cell by a resource that nobody
// can hold; positions stay.
func (c *Control) known(rs []Resource) []Resource {
	out := make([]Resource, len(rs))
	for i, r := range rs {
		if id, ok := c.placement.Server(r); ok && c.placement.Cell(id) == c.config.Cell {
			out[i] = r
		}
	}
	return out
}

func all(ss []string, want string) bool {
	for _, s := range ss {
		if s != want {
			return false
		}
	}
	return true
}

// hear books a member's status.
func (c *Control) hear(m *member, s Status, now time.Time) {
	if m.status.Start != s.Start {
		m.wantsVersion = 0
		m.wants = nil
		m.sentWants = 0
		klog.V(1).InfoS("VM heard", "vm", s.VM, "start", s.Start)
	}
	m.status = s
	m.heard = now
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

// HandleReply books the reply to a heartbeat.
func (c *Control) HandleReply(o OutgoingBeat, r BeatReply, now time.Time) {
	m, ok := c.members[o.To]
	if !ok || r.Status.VM != o.To {
		return
	}
	c.hear(m, r.Status, now)
	c.mergeSuspicions(r.Suspicions)
	if m.vm.Cell != c.config.Cell || o.wants == nil {
		return
	}
	if r.NeedWants {
		m.sentWants = 0
		c.nextBeat = now
		return
	}
	m.sentWants = o.Beat.WantsVersion
	holders := r.Holders
	if r.AllGranted {
		holders = slices.Repeat([]string{c.config.VM}, len(o.wants))
	}
	c.book(o.To, holders, o.wants, o.Beat.Sequence, o.sent, now)
}

// book enters a voter's grants for the named servers, asked for at sent.
func (c *Control) book(voter string, holders, servers []string, sequence uint64, sent, now time.Time) {
	gained := false
	for i, id := range servers {
		h, ok := c.held[id]
		if !ok || sequence < h.from || i >= len(holders) {
			continue
		}
		if holders[i] != c.config.VM {
			// An earlier grant stays good for its time: the voter can't have
			// promised the server to another VM before then.
			continue
		}
		h.grants[voter] = sent.Add(leaseTime)
		was := expired(h.until, now)
		h.until = h.grants.until(names(c.placement.Voters(c.config.Cell)))
		if was && !expired(h.until, now) {
			gained = true
			klog.V(1).InfoS("Lease gained", "server", id, "until", h.until)
		}
	}
	if gained {
		c.publish(now)
	}
}
