package shuntfleet

import (
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// holding is a server that this VM wants or has.
type holding struct {
	grants grants
	// from is the first heartbeat that asked for it in this holding.
	from  uint64
	until time.Time
	// next is the VM that it is being given to; "" when it is kept.
	next string
	// asked: it was asked for at once when it became free.
	asked bool
}

// plan works out which servers this VM should own and starts to hand over
// those that it should not.
func (c *Control) plan(now time.Time) {
	if !c.hearsMajority(now) {
		// Nobody can get a lease. Who has connections to a server goes on with
		// it; to give it to another VM would only lose them.
		for _, h := range c.held {
			h.next = ""
		}
		return
	}
	assigned := c.placement.Assign(c.config.Cell, func(v shuntconfig.VM) bool { return c.mayOwn(v, now) })
	for id, vm := range assigned {
		h, ok := c.held[id]
		switch {
		case vm == c.config.VM && !ok:
			c.held[id] = &holding{grants: grants{}, from: c.sequence + 1}
			c.wantsVersion++
		case vm == c.config.VM && h.next != "":
			h.next = ""
		case vm != c.config.VM && ok && h.next != vm:
			h.next = vm
			klog.V(1).InfoS("Backend server is handed over", "server", id, "to", vm)
		}
	}
	for id := range c.held {
		if c.placement.Cell(id) != c.config.Cell {
			c.drop(id)
		}
	}
}

// hearsMajority says whether a majority of the cell, this VM included, is live.
func (c *Control) hearsMajority(now time.Time) bool {
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

func (c *Control) mayOwn(v shuntconfig.VM, now time.Time) bool {
	if !c.tree.Fleet().VMInService(v.Name) {
		return false
	}
	if v.Name == c.config.VM {
		return c.ready() && !c.leaving
	}
	m, ok := c.members[v.Name]
	return ok && m.live(now) && m.status.Ready && !m.status.Leaving
}

// giveUpIdle drops the servers being handed over that have nothing in flight.
// The view that was published before no longer has their leases, so that
// nothing new can have come since.
func (c *Control) giveUpIdle(now time.Time) {
	for id, h := range c.held {
		if h.next == "" {
			continue
		}
		if expired(h.until, now) || c.config.Idle == nil || c.config.Idle(id) {
			if c.config.OnHandover != nil {
				c.config.OnHandover(id, h.next)
			}
			c.drop(id)
			c.nextBeat = now
		}
	}
}

// canTake says whether a wanted server is free, as far as this voter knows.
func (c *Control) canTake(now time.Time) bool {
	for id, h := range c.held {
		if h.next == "" && expired(h.until, now) && c.voter.Holder(ResourceOf(id), now) == "" && !h.asked {
			h.asked = true
			return true
		}
	}
	return false
}

func (c *Control) drop(id string) {
	delete(c.held, id)
	c.wantsVersion++
}

// misses says whether a wanted lease is missing.
func (c *Control) misses(now time.Time) bool {
	for _, h := range c.held {
		if h.next == "" && expired(h.until, now) {
			return true
		}
	}
	return false
}

// leaseState returns what is known of a server's owner, and remembers it.
func (c *Control) leaseState(id string, voters int, now time.Time) shuntowner.LeaseState {
	s := c.ownerOf(id, now)
	s.CellSize = max(1, voters)
	if s.Owner != "" {
		c.lastOwners[id] = s.Owner
	}
	s.LastOwner = c.lastOwners[id]
	return s
}

func (c *Control) ownerOf(id string, now time.Time) shuntowner.LeaseState {
	var s shuntowner.LeaseState
	h, ok := c.held[id]
	switch {
	case ok && h.next != "":
		s.Owner = h.next
		return s
	case ok && !expired(h.until, now):
		s.Held = true
		s.Until = h.until
		s.Owner = c.config.VM
		return s
	}
	if p := c.voter.Holder(ResourceOf(id), now); p != c.config.VM {
		s.Owner = p
	}
	return s
}
