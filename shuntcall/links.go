package shuntcall

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// linkProofTimeout is how long a VM tries to reach some backend server to find out
	// whether it has lost its own links, and linkProbeInterval the time between two tries.
	linkProofTimeout  = time.Second
	linkProbeInterval = 100 * time.Millisecond
	// linkCheckInterval is how often this VM looks for signs that it has lost its links.
	// doubtInterval is the time between two rounds of probes while there are such signs,
	// and lostLinkInterval that while it has lost them.
	linkCheckInterval = 100 * time.Millisecond
	doubtInterval     = 250 * time.Millisecond
	lostLinkInterval  = 300 * time.Millisecond
	// precautionInterval is the time between two rounds of probes on a VM that sees no
	// such sign, while others have lost their links.
	precautionInterval = 2 * time.Second
	// minSilentServers is the number of servers that must have requests open for
	// linkSilence, with no answer from any server meanwhile.
	minSilentServers = 2
	linkSilence      = 150 * time.Millisecond
	// probesPerZone and maxProbes limit the servers that are probed in a round. The others
	// follow the firstProbes if these don't all accept within probePatience.
	probesPerZone = 2
	maxProbes     = 8
	firstProbes   = 2
	probePatience = 100 * time.Millisecond
)

// provesLinks reports whether this VM reaches a server other than s from since on, so that
// it has not lost its own links. Where s is the only server there is, it returns true.
func (c *Caller) provesLinks(ctx context.Context, s shuntroute.Server, since time.Time) bool {
	var others []shuntroute.Server
	for o := range c.config.View().All() {
		if o.ID != s.ID && c.mayConnect(o) {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, linkProofTimeout)
	defer cancel()
	if c.proving.CompareAndSwap(false, true) {
		if !c.config.Group.Go(func() {
			defer c.proving.Store(false)
			c.connectToAny(ctx, others, s.ID, since)
		}) {
			return false
		}
	}
	for {
		ok, changed := c.config.Links.ReachedOther(s.ID, since)
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// connectToAny connects to one server after the other until another than except is
// reached. The order of the servers, which is that of a map, differs from call to call.
func (c *Caller) connectToAny(ctx context.Context, servers []shuntroute.Server, except string, since time.Time) {
	for n := 0; ctx.Err() == nil; n++ {
		if ok, _ := c.config.Links.ReachedOther(except, since); ok {
			return
		}
		s := servers[n%len(servers)]
		c.config.Group.Go(func() { _ = c.connect(ctx, s) })
		shuntgroup.Pause(ctx, linkProbeInterval)
	}
}

// connect opens a connection to the server and keeps it.
func (c *Caller) connect(ctx context.Context, s shuntroute.Server) error {
	begun := time.Now()
	err := c.config.Pool.Connect(ctx, poolServer(s))
	c.recordConnection(ctx, s, begun, err)
	return err
}

// EnsureConnected opens a connection to the server if there is none, and the server may get
// requests.
func (c *Caller) EnsureConnected(ctx context.Context, s shuntroute.Server) error {
	if !c.isWarm(s, time.Now()) {
		return nil
	}
	begun := time.Now()
	tried, err := c.config.Pool.EnsureConnected(ctx, poolServer(s))
	if tried {
		c.recordConnection(ctx, s, begun, err)
	}
	return err
}

func poolServer(s shuntroute.Server) shuntupstream.Server {
	return shuntupstream.Server{ID: s.ID, Address: s.Address}
}

// recordConnection records what the end of an attempt to open a connection says about the
// server.
func (c *Caller) recordConnection(ctx context.Context, s shuntroute.Server, begun time.Time, err error) {
	if err == nil {
		c.config.CrashDetector.Reached(s.ID, begun)
	}
	if ctx.Err() == nil {
		c.config.Balancer.RecordConnection(s, err == nil)
	}
}

// LinksLost reports whether this VM has lost its own links to the backend servers.
func (c *Caller) LinksLost() bool {
	lost, _ := c.config.Links.Lost()
	return lost
}

// WatchLinks finds out whether this VM has lost its own links to the backend servers, and
// calls changed when that changes, until ctx ends.
func (c *Caller) WatchLinks(ctx context.Context, changed func(lost bool)) {
	var probedAt time.Time
	for ctx.Err() == nil {
		shuntgroup.Pause(ctx, linkCheckInterval)
		now := time.Now()
		if !c.shouldProbe(now, probedAt) {
			continue
		}
		probedAt = now
		result := c.probeServers(ctx)
		if ctx.Err() != nil || !c.config.Links.Conclude(result) {
			continue
		}
		lost := c.LinksLost()
		klog.InfoS("Links to the backend servers", "lost", lost, "probed", result.Probed, "accepted", result.Accepted, "timedOut", result.TimedOut, "took", time.Since(now).Milliseconds())
		if !lost {
			// Their failures were this VM's own.
			c.config.Balancer.ForgetFailures()
		}
		changed(lost)
	}
}

// shouldProbe reports whether servers should be probed now. probedAt is when that was last
// done.
func (c *Caller) shouldProbe(now, probedAt time.Time) bool {
	switch {
	case c.LinksLost():
		return now.Sub(probedAt) >= lostLinkInterval
	case c.config.Links.Doubtful(now) || c.config.Balancer.AllSilent(minSilentServers, linkSilence):
		return now.Sub(probedAt) >= doubtInterval
	}
	return c.config.Fleet.OthersLostLinks() && now.Sub(probedAt) >= precautionInterval
}

// probeServers connects to some servers. It tries most of them only if the first few don't
// all accept soon.
func (c *Caller) probeServers(ctx context.Context) (out shuntbalance.ProbeResult) {
	servers := c.serversToProbe()
	results := make(chan error, len(servers))
	first := min(len(servers), firstProbes)
	c.connectToAll(ctx, servers[:first], results)
	patience := time.NewTimer(probePatience)
	defer patience.Stop()
	out.Probed = first
	for ended := 0; ended < out.Probed; {
		select {
		case err := <-results:
			ended++
			switch {
			case err == nil:
				out.Accepted++
			case os.IsTimeout(errors.Cause(err)) || errors.Is(err, context.DeadlineExceeded):
				out.TimedOut++
			}
			if ended < first || (out.Accepted == first && !c.LinksLost()) {
				continue
			}
		case <-patience.C:
		}
		c.connectToAll(ctx, servers[out.Probed:], results)
		out.Probed = len(servers)
	}
	return out
}

// connectToAll connects to the servers at the same time and sends the errors, or nil, to
// results.
func (c *Caller) connectToAll(ctx context.Context, servers []shuntroute.Server, results chan<- error) {
	for _, s := range servers {
		if !c.config.Group.Go(func() { results <- c.connect(ctx, s) }) {
			results <- context.Canceled
		}
	}
}

// serversToProbe returns some servers of each zone, those first that answered last: these
// are the least likely to be down themselves.
func (c *Caller) serversToProbe() []shuntroute.Server {
	byZone := map[string][]shuntroute.Server{}
	for s := range c.config.View().All() {
		if c.mayConnect(s) {
			byZone[s.Zone] = append(byZone[s.Zone], s)
		}
	}
	var out []shuntroute.Server
	for n := range probesPerZone {
		// The order of the zones, which is that of a map, differs from call to call.
		for zone, servers := range byZone {
			if n == 0 {
				c.sortByAnswer(servers)
			}
			if n < len(servers) && len(out) < maxProbes {
				out = append(out, byZone[zone][n])
			}
		}
	}
	return out
}

// mayConnect reports whether the server is there for all that is known, and may be bothered.
func (c *Caller) mayConnect(s shuntroute.Server) bool {
	said, _, _ := c.config.Notices.Standing(shuntbalance.IncarnationOf(s))
	return said == shuntbalance.Open && s.DelistedAt.IsZero()
}

// sortByAnswer sorts servers by when they last answered, the latest first.
func (c *Caller) sortByAnswer(servers []shuntroute.Server) {
	answered := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		answered[s.ID] = c.config.Balancer.AnsweredAt(s)
	}
	slices.SortFunc(servers, func(a, b shuntroute.Server) int { return answered[b.ID].Compare(answered[a.ID]) })
}
