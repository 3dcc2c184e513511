package shuntcall

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// stalledFraction is the fraction of the latency goal after the due time at which
	// a VM that has answered nothing meanwhile is given up: the caller can still try
	// again elsewhere. A VM that answers others only waits for more shards.
	stalledFraction = 0.5
	// initialNetworkTime is the assumed round-trip time to another region until it
	// has been measured, and initialLocalTime that within this region.
	// networkTimeWeight is the weight of a new measurement, and networkTimeMargin is a
	// safety margin.
	initialNetworkTime = 24 * time.Millisecond
	initialLocalTime   = 4 * time.Millisecond
	networkTimeWeight  = 0.2
	networkTimeMargin  = 2 * time.Millisecond
)

// Delegate is a VM that gathers shards for others.
type Delegate struct {
	// Address is the host:port at which it accepts such requests.
	Address string
	Region  string
	Zone    string
	// Cores is its processor capacity.
	Cores float64
}

// server returns the delegate as a server for the balancer and the pool.
func (d Delegate) server() shuntroute.Server {
	return shuntroute.Server{ID: d.Address, Address: d.Address, Region: d.Region, Zone: d.Zone, Slots: delegateSlots}
}

// delegation is a set of shards and the VM that is to gather them.
type delegation struct {
	to     shuntroute.Server
	shards []string
}

// divide decides which shards of a query other VMs gather; this VM queries all
// others. Queries that may crash servers and routes that are restricted to regions
// are not divided.
func (c *Caller) divide(q Query) []delegation {
	if q.Suspect || len(q.Route.Regions) > 0 {
		return nil
	}
	var out []delegation
	zones := c.localZones(q)
	if d := c.chooseRemote(q, zones); len(d.shards) > 0 {
		out = append(out, d)
	}
	return append(out, c.divideLocal(zones)...)
}

// localZones returns, for each shard with a warm, reachable server in this region,
// the availability zone of such a server.
func (c *Caller) localZones(q Query) map[string]string {
	out := make(map[string]string, len(q.Route.Shards))
	for _, shard := range q.Route.Shards {
		if zone, ok := c.reachableZone(shard, c.config.Self.Region); ok {
			out[shard] = zone
		}
	}
	return out
}

// reachableZone returns the zone of a warm, reachable server of the service in the
// region, preferably this VM's zone. It returns false if there is none.
func (c *Caller) reachableZone(service, region string) (zone string, ok bool) {
	now := time.Now()
	for _, s := range c.config.View().Servers(service) {
		if s.Region != region || !c.isWarm(s, now) {
			continue
		}
		if zone, ok = s.Zone, true; zone == c.config.Self.Zone {
			return zone, true
		}
	}
	return zone, ok
}

// limited reports whether all servers of the shard that can be reached limit their
// rate. This VM queries such shards itself: only a VM that has a part of the limits of
// all shards can tell in advance whether a query can be served.
func (c *Caller) limited(shard string) bool {
	limited := false
	for _, s := range c.config.View().Servers(shard) {
		switch {
		case c.config.RateLimiter.Limited(s):
			limited = true
		case !c.config.Balancer.RecentlyUnreachable(s):
			return false
		}
	}
	return limited
}

// chooseRemote chooses a VM in another region to gather the shards that have no
// server in this one. For indexes that are spread over regions, one message crosses
// regions instead of one per shard, and the servers there receive connections from
// fewer VMs.
func (c *Caller) chooseRemote(q Query, localZones map[string]string) delegation {
	remote := slices.DeleteFunc(slices.Clone(q.Route.Shards), func(shard string) bool {
		_, local := localZones[shard]
		return local || c.limited(shard)
	})
	if len(remote) < minDelegatedShards {
		return delegation{}
	}
	var candidates []shuntroute.Server
	for _, d := range c.config.Fleet.Delegates() {
		if d.Region != c.config.Self.Region {
			candidates = append(candidates, d.server())
		}
	}
	if len(candidates) == 0 {
		return delegation{}
	}
	to, ok := c.config.DelegateBalancer.Choose(candidates, shuntbalance.ChooseOptions{})
	if !ok || c.config.DelegateBalancer.ExpectedLatency(to) > time.Duration(maxDelegateLatencyFraction*float64(q.Route.LatencyGoal)) {
		return delegation{}
	}
	shards := slices.DeleteFunc(remote, func(shard string) bool {
		_, ok := c.reachableZone(shard, to.Region)
		return !ok
	})
	if len(shards) < minDelegatedShards {
		return delegation{}
	}
	return delegation{to, shards}
}

// divideLocal divides the shards with a server in this region among its entries, if
// they are too many for this VM: it would send the last attempts only after the
// first have been answered. Each shard is in the charge of one VM, near its servers,
// so that this VM knows the servers well, and its connections are used often.
func (c *Caller) divideLocal(localZones map[string]string) []delegation {
	if float64(len(localZones)) <= c.config.ShardsPerCore*c.config.Self.Cores {
		return nil
	}
	vms := []Delegate{c.config.Self}
	now := time.Now()
	for _, d := range c.config.Fleet.Delegates() {
		if d.Region == c.config.Self.Region && c.health.usable(d.Address, now) {
			vms = append(vms, d)
		}
	}
	byAddress := map[string]*delegation{}
	for shard, zone := range localZones {
		vm := inCharge(shard, zone, vms)
		if vm.Address == c.config.Self.Address {
			continue
		}
		d := byAddress[vm.Address]
		if d == nil {
			d = &delegation{to: vm.server()}
			byAddress[vm.Address] = d
		}
		d.shards = append(d.shards, shard)
	}
	var out []delegation
	for _, d := range byAddress {
		if len(d.shards) >= minDelegatedShards {
			out = append(out, *d)
		}
	}
	return out
}

// inCharge returns the VM that is in charge of a shard whose server is in the zone:
// by weighted rendezvous hashing among the VMs of the zone, or among all if there is
// none.
func inCharge(shard, zone string, vms []Delegate) Delegate {
	anyZone := !slices.ContainsFunc(vms, func(d Delegate) bool { return d.Zone == zone })
	var best Delegate
	bestScore := -1.0
	for _, d := range vms {
		if !anyZone && d.Zone != zone {
			continue
		}
		// The hash becomes a number above 0 and below 1.
		point := (float64(xxhash.Sum64String(shard+" "+d.Address)>>11) + 0.5) / (1 << 53)
		if score := -d.Cores / math.Log(point); score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// askDelegate has another VM gather the shards. If that VM certainly has not begun,
// this VM queries the shards itself. Otherwise the shards may already have had all
// their allowed attempts, so they are not queried again.
func (c *Caller) askDelegate(ctx context.Context, q Query, g *queryState, d delegation, results chan<- shardResult) {
	s := g.subset
	sent := time.Now()
	due := time.Until(s.Due) - c.networkTimes.estimate(d.to.ID, c.initialTimeTo(d.to.Region)) - networkTimeMargin
	r := delegatedRequest(q, s, d.shards, due)
	a := c.config.DelegateBalancer.Begin(d.to)
	open := c.health.begin(d.to.ID, s.Due)
	partCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(time.Until(s.Due)+time.Duration(stalledFraction*float64(q.Route.LatencyGoal)), func() {
		if !c.health.heardSince(d.to.ID, sent) {
			cancel()
		}
	})
	defer stalled.Stop()
	o := c.config.DelegatePool.Do(partCtx, shuntupstream.Server{ID: d.to.ID, Address: d.to.Address, MaxConns: delegateConns}, true, r)
	c.health.end(d.to.ID, open, time.Now(), o.Status == shuntupstream.Answered, o.Status == shuntupstream.Cancelled)
	c.config.DelegateBalancer.End(d.to, a, balancerResult(partCtx, o, time.Since(sent)))
	if !o.Status.MayHaveRun() {
		c.config.Metrics.delegated[Refused].Add(len(d.shards))
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"reason", errorText(o.Err))
		if c.mergeSuspicion(q.Fingerprint, o.Reply.Header) {
			results <- shardResult{shards: len(d.shards), status: Refused, reason: "suspected of crashing backend servers"}
			return
		}
		if err := q.Request.Held.ReserveWork(int64(len(d.shards)) * shardBytes); err != nil {
			results <- shardResult{shards: len(d.shards), status: Refused, reason: err.Error()}
			return
		}
		for _, shard := range d.shards {
			if !c.config.Group.Go(func() { results <- c.askShard(ctx, q, g.gate, shard) }) {
				results <- shardResult{shards: 1, status: Refused, reason: "the process is ending"}
			}
		}
		return
	}
	e, work := parseDelegateReply(o, d.to.ID, len(d.shards))
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

// initialTimeTo returns the assumed round-trip time to a VM of the region until it has been
// measured.
func (c *Caller) initialTimeTo(region string) time.Duration {
	if region == c.config.Self.Region {
		return initialLocalTime
	}
	return initialNetworkTime
}

// networkTimes holds the average network round-trip time to each VM.
type networkTimes struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

// estimate returns the average time to the VM, or initial if none was measured.
func (t *networkTimes) estimate(vm string, initial time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.times[vm]; ok {
		return d
	}
	return initial
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
