package shuntcall

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// minDelegatedShards is the minimum number of shards that are delegated.
	minDelegatedShards = 2
	// delegateConns is the maximum number of connections to another VM.
	delegateConns = 64
	// delegateSlots is the number of queries that the balancer assumes a VM can gather
	// at the same time.
	delegateSlots = 32
	// maxDelegateLatencyFraction is the fraction of the latency goal that a VM's
	// expected latency may take. Beyond it, the shards are queried directly.
	maxDelegateLatencyFraction = 0.6
	// initialNetworkTime is the assumed round-trip time to another region until it
	// has been measured. networkTimeWeight is the weight of a new measurement, and
	// networkTimeMargin is a safety margin.
	initialNetworkTime = 24 * time.Millisecond
	networkTimeWeight  = 0.2
	networkTimeMargin  = 2 * time.Millisecond
)

// Delegate is a VM in another region that gathers shards near it.
type Delegate struct {
	// Address is the host:port at which it accepts such requests.
	Address string
	Region  string
}

// server returns the delegate as a server for the balancer and the pool.
func (d Delegate) server() shuntroute.Server {
	return shuntroute.Server{ID: d.Address, Address: d.Address, Region: d.Region, Slots: delegateSlots}
}

// delegation is a set of shards and the VM that is to gather them.
type delegation struct {
	to     shuntroute.Server
	shards []string
}

// chooseDelegation chooses a VM in another region to gather shards without a server
// in this region. For indexes that are spread over regions, one message crosses
// regions instead of one per shard, and the servers there receive connections from
// fewer VMs. Routes that are restricted to regions are not delegated.
func (c *Caller) chooseDelegation(q Query) delegation {
	if q.Suspect || len(q.Route.Regions) > 0 {
		return delegation{}
	}
	remote := c.remoteShards(q)
	if len(remote) < minDelegatedShards {
		return delegation{}
	}
	var candidates []shuntroute.Server
	for _, d := range c.config.Fleet.Delegates() {
		candidates = append(candidates, d.server())
	}
	if len(candidates) == 0 {
		return delegation{}
	}
	to, ok := c.config.DelegateBalancer.Choose(candidates, shuntbalance.ChooseOptions{})
	if !ok || c.config.DelegateBalancer.ExpectedLatency(to) > time.Duration(maxDelegateLatencyFraction*float64(q.Route.LatencyGoal)) {
		return delegation{}
	}
	shards := slices.DeleteFunc(remote, func(shard string) bool { return !c.hasReachableServer(shard, to.Region) })
	if len(shards) < minDelegatedShards {
		return delegation{}
	}
	return delegation{to, shards}
}

// remoteShards returns the query's shards without a reachable server in this region.
func (c *Caller) remoteShards(q Query) []string {
	var out []string
	for _, shard := range q.Route.Shards {
		if !c.hasReachableServer(shard, c.config.Region) {
			out = append(out, shard)
		}
	}
	return out
}

// hasReachableServer reports whether the service has a warm, reachable server in the
// region.
func (c *Caller) hasReachableServer(service, region string) bool {
	now := time.Now()
	return slices.ContainsFunc(c.config.View().Servers(service), func(s shuntroute.Server) bool {
		return s.Region == region && !s.Cold(now) && s.DelistedAt.IsZero() && !c.config.Balancer.RecentlyUnreachable(s)
	})
}

// askDelegate has another VM gather the shards. If that VM certainly has not begun,
// this VM queries the shards itself. Otherwise the shards may already have had all
// their allowed attempts, so they are not queried again.
func (c *Caller) askDelegate(ctx context.Context, q Query, s Subset, d delegation, results chan<- shardResult) {
	sent := time.Now()
	due := time.Until(s.Due) - c.networkTimes.estimate(d.to.ID) - networkTimeMargin
	r := delegatedRequest(q, s, d.shards, due)
	a := c.config.DelegateBalancer.Begin(d.to)
	o := c.config.DelegatePool.Do(ctx, shuntupstream.Server{ID: d.to.ID, Address: d.to.Address, MaxConns: delegateConns}, true, r)
	c.config.DelegateBalancer.End(d.to, a, balancerResult(o))
	if !o.Status.MayHaveRun() {
		c.config.Metrics.delegated[Refused].Add(len(d.shards))
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"reason", errorText(o.Err))
		for _, shard := range d.shards {
			if !c.config.Group.Go(func() { results <- c.askShard(ctx, q, shard) }) {
				results <- shardResult{shards: 1, status: Refused, reason: "the process is ending"}
			}
		}
		return
	}
	e, work := parseDelegateReply(o, len(d.shards))
	c.config.Metrics.delegated[e.status].Add(len(d.shards))
	if e.status == Served {
		networkTime := time.Since(sent) - work
		c.networkTimes.add(d.to.ID, networkTime)
		e.elapsed += sent.Sub(q.Start) + networkTime
	} else {
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"code", o.Reply.Code, "reason", e.reason, "after", time.Since(sent).Milliseconds())
	}
	results <- e
}

// networkTimes holds the average network round-trip time to each VM.
type networkTimes struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

func (t *networkTimes) estimate(vm string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.times[vm]; ok {
		return d
	}
	return initialNetworkTime
}

func (t *networkTimes) add(vm string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = map[string]time.Duration{}
	}
	before, ok := t.times[vm]
	if !ok {
		before = d
	}
	t.times[vm] = before + time.Duration(networkTimeWeight*float64(d-before))
}
