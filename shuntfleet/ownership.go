package shuntfleet

import (
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// claim is a server that this VM owns or wants to own.
type claim struct {
	grants grants
	// firstSequence is the sequence number of the first heartbeat for this
	// claim. Replies to earlier heartbeats belong to an earlier claim on the
	// server.
	firstSequence uint64
	leaseUntil    time.Time
	// handoverTo is the VM that the server is being handed over to, or "" if
	// this VM keeps it.
	handoverTo string
	// requestedEarly is true after the lease was requested ahead of the regular
	// heartbeat because the server had become free.
	requestedEarly bool
}

// planOwnership determines which servers this VM should own, claims them, and
// starts to hand over the others.
func (c *Control) planOwnership(now time.Time) {
	if !c.hasLiveMajority(now) {
		// Without a majority no VM can get a lease. A VM that has connections
		// to a server keeps using it; handing it over would only lose the
		// connections.
		for _, h := range c.claims {
			h.handoverTo = ""
		}
		return
	}
	assigned := c.placement.Assign(c.config.Cell, func(v shuntconfig.VM) bool { return c.isEligibleOwner(v, now) })
	for id, vm := range assigned {
		h, ok := c.claims[id]
		switch {
		case vm == c.config.VM && !ok:
			c.claims[id] = &claim{grants: grants{}, firstSequence: c.sequence + 1}
			c.wantsVersion++
		case vm == c.config.VM && h.handoverTo != "":
			h.handoverTo = ""
		case vm != c.config.VM && ok && h.handoverTo != vm:
			h.handoverTo = vm
			klog.V(1).InfoS("Backend server is handed over", "server", id, "to", vm)
		}
	}
	for id := range c.claims {
		if c.placement.Cell(id) != c.config.Cell {
			c.dropClaim(id)
		}
	}
}

// hasLiveMajority reports whether a majority of the cell, including this VM, is
// live.
func (c *Control) hasLiveMajority(now time.Time) bool {
	voters := c.placement.Voters(c.config.Cell)
	n := 0
	for _, v := range voters {
		m, ok := c.members[v.Name]
		if v.Name == c.config.VM || (ok && m.live(now)) {
			n++
		}
	}
	return n > len(voters)/2
}

func (c *Control) isEligibleOwner(v shuntconfig.VM, now time.Time) bool {
	if !c.tree.Fleet().VMInService(v.Name) {
		return false
	}
	if v.Name == c.config.VM {
		return c.ready() && !c.leaving
	}
	m, ok := c.members[v.Name]
	return ok && m.live(now) && m.status.Ready && !m.status.Leaving
}

// releaseIdle releases the servers that are being handed over and have no
// requests in flight. The published view no longer contains their leases, so no
// new requests can have started.
func (c *Control) releaseIdle(now time.Time) {
	for id, h := range c.claims {
		if h.handoverTo == "" {
			continue
		}
		if expired(h.leaseUntil, now) || c.config.Idle == nil || c.config.Idle(id) {
			if c.config.OnHandover != nil {
				c.config.OnHandover(id, h.handoverTo)
			}
			c.dropClaim(id)
			c.nextCellBeat = now
		}
	}
}

// wantedServerFree reports whether a wanted server is free as far as this VM's
// voter knows. It reports each claim only once.
func (c *Control) wantedServerFree(now time.Time) bool {
	for id, h := range c.claims {
		if h.handoverTo == "" && expired(h.leaseUntil, now) && c.voter.Holder(ResourceOf(id), now) == "" && !h.requestedEarly {
			h.requestedEarly = true
			return true
		}
	}
	return false
}

func (c *Control) dropClaim(id string) {
	delete(c.claims, id)
	c.wantsVersion++
}

// lacksLease reports whether this VM lacks a lease that it wants.
func (c *Control) lacksLease(now time.Time) bool {
	for _, h := range c.claims {
		if h.handoverTo == "" && expired(h.leaseUntil, now) {
			return true
		}
	}
	return false
}

// leaseState returns the known state of a server's lease and remembers its
// owner.
func (c *Control) leaseState(id string, voters int, now time.Time) shuntowner.LeaseState {
	s := c.currentLease(id, now)
	s.CellSize = max(1, voters)
	if s.Owner != "" {
		c.lastOwners[id] = s.Owner
	}
	s.LastOwner = c.lastOwners[id]
	return s
}

func (c *Control) currentLease(id string, now time.Time) shuntowner.LeaseState {
	var s shuntowner.LeaseState
	h, ok := c.claims[id]
	switch {
	case ok && h.handoverTo != "":
		s.Owner = h.handoverTo
		return s
	case ok && !expired(h.leaseUntil, now):
		s.Held = true
		s.Until = h.leaseUntil
		s.Owner = c.config.VM
		return s
	}
	if p := c.voter.Holder(ResourceOf(id), now); p != c.config.VM {
		s.Owner = p
	}
	return s
}
