package shuntbalance

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// bookedDuration is how long a grant counts at the VM that made it: its validity and
	// the time on its way.
	bookedDuration = grantDuration + ClaimInterval
	// lapsedDuration is how long the share of a VM is kept free that has stopped
	// claiming without giving its claim up. It may have lost contact and use its share.
	lapsedDuration = 30 * time.Second
	// overGrant is how far a grant may exceed the claimant's part if others have not
	// been granted theirs: demands vary from claim to claim.
	overGrant = 1.1
)

// FleetShares is what a RateDivider needs to know about the fleet.
type FleetShares interface {
	// Divides reports whether this VM alone divides the limit of the server.
	Divides(server, region string) bool
	// ShareOf returns the fraction of a limit that the VM may use without a grant.
	ShareOf(vm netip.AddrPort) float64
	// Silent returns the VMs that are not heard from but may be alive.
	Silent() []netip.AddrPort
}

// RateDivider divides the limits that servers name among the VMs that claim parts of
// them, in proportion to their demand: the load on a server is rarely spread evenly
// over the fleet. VMs that can't claim use fixed shares, which are kept free for them.
//
// If the VMs agree on who divides a limit, the rates in force add up to the limit at most.
// While they disagree, a VM that does not divide it by its own knowledge only lets
// claimants keep what they hold: what it knows of their shares may be incomplete.
type RateDivider struct {
	mu      sync.Mutex
	servers map[Incarnation]*dividedLimit
}

type dividedLimit struct {
	limit     float64
	namedAt   time.Time
	claimants map[netip.AddrPort]rateClaimant
}

type rateClaimant struct {
	demand float64
	rate   float64
	// until is when the grant ends.
	until time.Time
}

// NewRateDivider returns a divider without claims.
func NewRateDivider() *RateDivider { return &RateDivider{servers: map[Incarnation]*dividedLimit{}} }

// Divide returns what the claim of a VM is granted. It returns false if the VM is to use
// its fixed share.
func (d *RateDivider) Divide(vm netip.AddrPort, c RateClaim, f FleetShares, now time.Time) (RateGrant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[c.Server]
	if s == nil {
		s = &dividedLimit{claimants: map[netip.AddrPort]rateClaimant{}}
		d.servers[c.Server] = s
	}
	if named := now.Add(-c.Age); s.namedAt.Before(named) {
		s.limit, s.namedAt = c.Limit, named
	}
	if c.Demand == 0 {
		delete(s.claimants, vm)
		return RateGrant{Server: c.Server}, true
	}
	rate, granted := c.Held, c.Held > 0
	switch {
	case f.Divides(c.Server.ID, c.Region):
		rate, granted = s.divide(vm, c.Demand, f, now), true
	case !granted:
		rate = f.ShareOf(vm) * s.limit
	}
	s.claimants[vm] = rateClaimant{demand: c.Demand, rate: rate, until: now.Add(bookedDuration)}
	return RateGrant{Server: c.Server, Rate: rate}, granted
}

// divide returns the part of the limit for a VM with the demand: about in proportion to
// the demands, and at most what the others have not been granted.
func (s *dividedLimit) divide(vm netip.AddrPort, demand float64, f FleetShares, now time.Time) float64 {
	free, total := 1.0, demand
	silent := f.Silent()
	for _, a := range silent {
		free -= f.ShareOf(a)
	}
	granted := 0.0
	for a, c := range s.claimants {
		switch {
		case a == vm:
		case now.Before(c.until):
			total += c.demand
			granted += c.rate
		case now.Sub(c.until) > lapsedDuration:
			delete(s.claimants, a)
		case !slices.Contains(silent, a):
			free -= f.ShareOf(a)
		}
	}
	part := max(0, free) * s.limit
	return max(0, min(overGrant*part*demand/total, part-granted))
}

// Prune removes limits that no VM has claimed for a long time.
func (d *RateDivider) Prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.servers {
		for a, c := range s.claimants {
			if now.Sub(c.until) > lapsedDuration {
				delete(s.claimants, a)
			}
		}
		if len(s.claimants) == 0 {
			delete(d.servers, id)
		}
	}
}
