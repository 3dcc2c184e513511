package shuntcall

import (
	"context"
	"maps"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// maxRelays is the number of VMs that are asked to serve a request, one after the
	// other while they decline.
	maxRelays = 2
	// liveConnWindow is how long after an answer a connection counts as alive on a VM that
	// has lost its links, and linkTrialInterval the time between two requests that are
	// tried there otherwise.
	liveConnWindow    = 500 * time.Millisecond
	linkTrialInterval = 200 * time.Millisecond
	// relayMemory is how long after another VM has served a request to a service this VM
	// relies on that while it does not reach the service's servers.
	relayMemory = 2 * time.Second
	// minRelayBackoff and maxRelayBackoff bound the time for which requests to a service are
	// not relayed after no other VM reached its servers either. The time doubles with
	// each failure in a row.
	minRelayBackoff = 500 * time.Millisecond
	maxRelayBackoff = 4 * time.Second
)

// RelayTargets returns the VMs that may serve a request of the route for this one, the
// best first.
func (c *Caller) RelayTargets(route *shuntroute.Route) []Delegate {
	var servers []shuntroute.Server
	byAddress := map[string]Delegate{}
	for _, d := range c.config.Fleet.Helpers() {
		if route.Allows(d.Region) {
			servers = append(servers, d.server())
			byAddress[d.Address] = d
		}
	}
	var out []Delegate
	var tried []shuntbalance.Incarnation
	for len(out) < maxRelays {
		s, ok := c.config.DelegateBalancer.Choose(servers, shuntbalance.ChooseOptions{Exclude: tried})
		if !ok {
			break
		}
		tried = append(tried, shuntbalance.IncarnationOf(s))
		out = append(out, byAddress[s.Address])
	}
	return out
}

// MayServe reports whether a request should be tried though this VM has lost its links and
// no other VM serves it: while connections that live on bring answers, and now and then if
// there may be any.
func (c *Caller) MayServe() bool {
	now := time.Now()
	if now.Sub(c.config.Balancer.LastAnswer()) < liveConnWindow {
		return true
	}
	if _, silent := c.config.Links.Lost(); silent {
		return false
	}
	tried := c.triedAt.Load()
	return now.UnixNano()-tried >= int64(linkTrialInterval) && c.triedAt.CompareAndSwap(tried, now.UnixNano())
}

// serviceRelays tells for which services other VMs can be asked, because they reach
// servers that this VM does not reach.
type serviceRelays struct {
	mu       sync.Mutex
	services map[string]serviceRelay
}

type serviceRelay struct {
	// servedAt is when another VM last served a request.
	servedAt time.Time
	// pausedUntil is when others are asked again after none served one.
	pausedUntil time.Time
	pause       time.Duration
}

// MayRelayService reports whether another VM should be asked for a service whose servers
// this VM does not reach.
func (c *Caller) MayRelayService(service string) bool {
	c.relays.mu.Lock()
	defer c.relays.mu.Unlock()
	return !time.Now().Before(c.relays.services[service].pausedUntil)
}

// RecordServiceRelay records whether another VM served a request for such a service.
func (c *Caller) RecordServiceRelay(service string, served bool) {
	now := time.Now()
	c.relays.mu.Lock()
	defer c.relays.mu.Unlock()
	if c.relays.services == nil {
		c.relays.services = map[string]serviceRelay{}
	}
	if served {
		c.relays.services[service] = serviceRelay{servedAt: now}
		return
	}
	pause := min(max(minRelayBackoff, 2*c.relays.services[service].pause), maxRelayBackoff)
	c.relays.services[service] = serviceRelay{pausedUntil: now.Add(pause), pause: pause}
}

// isDown returns whether servers of the service count as down.
func (c *Caller) isDown(service string) func(shuntroute.Server) bool {
	if isDown, relied := c.downWhileRelayed(service); relied {
		return isDown
	}
	return c.config.Balancer.Down
}

// downWhileRelayed returns whether servers of the service count as down while other VMs
// serve its requests; it returns false if they don't. A server that this VM could not reach
// is then down until a connection to it succeeds, so that no request has to try that.
func (c *Caller) downWhileRelayed(service string) (isDown func(shuntroute.Server) bool, relied bool) {
	c.relays.mu.Lock()
	servedAt := c.relays.services[service].servedAt
	c.relays.mu.Unlock()
	if time.Since(servedAt) > relayMemory {
		return nil, false
	}
	return func(s shuntroute.Server) bool {
		unreachable, again := c.config.Balancer.Unreachable(s)
		if again {
			c.config.Group.Go(func() { _ = c.connect(context.Background(), s) })
		}
		return unreachable
	}, true
}

// prune removes services that have not been relayed for a long time.
func (s *serviceRelays) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.services, func(_ string, r serviceRelay) bool {
		return now.Sub(r.servedAt) > relayMemory && now.Sub(r.pausedUntil) > 2*maxRelayBackoff
	})
}
