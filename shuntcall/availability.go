package shuntcall

import (
	"slices"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// serverClass ranks servers by how readily they are asked.
type serverClass int

const (
	// usable servers are asked first.
	usable serverClass = iota
	// coldOwn servers are cold, and this VM is the one that may ask them.
	coldOwn
	// leaving servers are asked if no other server can be.
	leaving
	// unusable servers are not asked.
	unusable
	classCount
)

// Why a server can't be asked now, beside what it says itself.
const (
	whyRegion  = "Region"
	whyCold    = "Cold"
	whyLimited = "RateLimited"
	whyDown    = "Down"
)

// availability is whether and how a server may be asked now.
type availability struct {
	class serverClass
	// why is the reason if the server can't be asked, and until when that is so; zero if
	// that is not known.
	why   string
	until time.Time
}

// standing returns whether the server may get requests of the route now, apart from its
// rate limit and from whether it can be reached.
func (c *Caller) standing(route *shuntroute.Route, s shuntroute.Server, now time.Time) availability {
	if !route.Allows(s.Region) {
		return availability{class: unusable, why: whyRegion}
	}
	said, why, until := c.config.Notices.Standing(shuntbalance.IncarnationOf(s))
	cold := s.Cold(now)
	switch {
	case said == shuntbalance.Closed:
		return availability{unusable, why, until}
	case cold && !c.config.Fleet.IsResponsibleFor(s.ID):
		return availability{unusable, whyCold, s.ColdUntil}
	case said == shuntbalance.LastResort:
		return availability{class: leaving, why: why}
	case cold:
		return availability{class: coldOwn}
	}
	return availability{class: usable}
}

// byClass returns the servers of a service that may get requests of the route now, by how
// readily they are asked.
func (c *Caller) byClass(route *shuntroute.Route, service string) [classCount][]shuntroute.Server {
	now := time.Now()
	var out [classCount][]shuntroute.Server
	for _, s := range c.config.View().Servers(service) {
		class := c.standing(route, s, now).class
		out[class] = append(out[class], s)
	}
	return out
}

// serviceState is whether a service can be asked now.
type serviceState struct {
	// askable is true if a server may be asked: one that has a standing, is not known to
	// be down, and is within its rate limit.
	askable bool
	// down is true if there is none only because servers are down or can't be reached.
	down bool
	// until is the earliest time at which one may be asked; zero if that is not known.
	until time.Time
}

// stateOf returns whether the service can be asked now. If a server is held back by its
// rate limit, another one that was recently unreachable does not count either: with
// nothing to fall back on, trying it again would cost the whole query.
func (c *Caller) stateOf(route *shuntroute.Route, service string, isDown func(shuntroute.Server) bool) serviceState {
	now := time.Now()
	var candidates []shuntroute.Server
	var out serviceState
	limited := false
	for _, s := range c.config.View().Servers(service) {
		a := c.standing(route, s, now)
		if a.class != unusable {
			if at := c.config.RateLimiter.AvailableAt(s, now); at.After(now) {
				a = availability{unusable, whyLimited, at}
			}
		}
		switch {
		case a.class != unusable:
			candidates = append(candidates, s)
			continue
		case a.why == whyLimited:
			isDown = c.config.Balancer.RecentlyUnreachable
			limited = true
		}
		if !a.until.IsZero() && (out.until.IsZero() || a.until.Before(out.until)) {
			out.until = a.until
		}
	}
	out.askable = slices.ContainsFunc(candidates, func(s shuntroute.Server) bool { return !isDown(s) })
	out.down = !out.askable && !limited && len(candidates) > 0
	return out
}

// isWarm reports whether the server may get as many requests as there are: it is usable,
// listed and can be reached.
func (c *Caller) isWarm(s shuntroute.Server, now time.Time) bool {
	return c.mayConnect(s) && !s.Cold(now) && !c.config.Balancer.RecentlyUnreachable(s)
}
