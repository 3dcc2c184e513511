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
	// leastDelegated is how many shards are worth a message to another VM.
	leastDelegated = 2
	// delegateConns is how many connections a VM keeps to another one.
	delegateConns = 64
	// delegateSlots is how many queries a VM gathers at once before it is held
	// for busy.
	delegateSlots = 32
	// slowDelegate is the part of the goal beyond which another VM is not waited
	// for: then the shards are asked directly.
	slowDelegate = 0.6
	// firstTravel is taken for the way to another region and back until it has
	// been measured; travelWeight is the weight of a new measurement, and
	// travelMargin is kept beside it.
	firstTravel  = 24 * time.Millisecond
	travelWeight = 0.2
	travelMargin = 2 * time.Millisecond
)

// Delegate is a VM of another region that gathers shards near it.
type Delegate struct {
	// Address is where it takes such requests, host:port.
	Address string
	Region  string
}

// server returns the delegate as one that can be chosen and connected to.
func (d Delegate) server() shuntroute.Server {
	return shuntroute.Server{ID: d.Address, Address: d.Address, Region: d.Region, Slots: delegateSlots}
}

// delegation is what another VM is to gather.
type delegation struct {
	to     shuntroute.Server
	shards []string
}

// delegation picks the VM of another region that gathers shards which have no
// server in this one. It answers indexes that are spread over regions: one
// message instead of one for each shard goes the long way, and the servers there
// see fewer VMs. Routes bound to regions are not passed on.
func (c *Caller) delegation(q Query) delegation {
	if q.Suspect || len(q.Route.Regions) > 0 {
		return delegation{}
	}
	far := c.farShards(q)
	if len(far) < leastDelegated {
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
	if !ok || c.config.DelegateBalancer.ExpectedLatency(to) > time.Duration(slowDelegate*float64(q.Route.LatencyGoal)) {
		return delegation{}
	}
	shards := slices.DeleteFunc(far, func(shard string) bool { return !c.serves(shard, to.Region) })
	if len(shards) < leastDelegated {
		return delegation{}
	}
	return delegation{to, shards}
}

// farShards returns the query's shards that no server of this region serves.
func (c *Caller) farShards(q Query) []string {
	var out []string
	for _, shard := range q.Route.Shards {
		if !c.serves(shard, c.config.Region) {
			out = append(out, shard)
		}
	}
	return out
}

// serves says whether a warm server of the service in the region can be reached.
func (c *Caller) serves(service, region string) bool {
	now := time.Now()
	return slices.ContainsFunc(c.config.View().Servers(service), func(s shuntroute.Server) bool {
		return s.Region == region && !s.Cold(now) && s.DelistedAt.IsZero() && !c.config.Balancer.RecentlyUnreachable(s)
	})
}

// askDelegate lets another VM gather the shards. Where it certainly has not
// begun, this VM asks them itself; where it may have, they have had their
// attempts.
func (c *Caller) askDelegate(ctx context.Context, q Query, s Subset, d delegation, ends chan<- arrival) {
	sent := time.Now()
	due := time.Until(s.Due) - c.travels.of(d.to.ID) - travelMargin
	r := delegatedRequest(q, s, d.shards, due)
	a := c.config.DelegateBalancer.Begin(d.to)
	o := c.config.DelegatePool.Do(ctx, shuntupstream.Server{ID: d.to.ID, Address: d.to.Address, MaxConns: delegateConns}, true, r)
	c.config.DelegateBalancer.End(d.to, a, boardResult(o))
	if !o.Status.MayHaveRun() {
		c.config.Metrics.delegated[Refused].Add(len(d.shards))
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"reason", errorText(o.Err))
		for _, shard := range d.shards {
			if !c.config.Group.Go(func() { ends <- c.askShard(ctx, q, shard) }) {
				ends <- arrival{shards: 1, end: Refused, reason: "the process is ending"}
			}
		}
		return
	}
	e, work := delegateArrival(o, len(d.shards))
	c.config.Metrics.delegated[e.end].Add(len(d.shards))
	if e.end == Served {
		travel := time.Since(sent) - work
		c.travels.add(d.to.ID, travel)
		e.in += sent.Sub(q.Start) + travel
	} else {
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"code", o.Reply.Code, "reason", e.reason, "after", time.Since(sent).Milliseconds())
	}
	ends <- e
}

// travels are the times on the way to other VMs and back.
type travels struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

func (t *travels) of(vm string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.times[vm]; ok {
		return d
	}
	return firstTravel
}

func (t *travels) add(vm string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = map[string]time.Duration{}
	}
	before, ok := t.times[vm]
	if !ok {
		before = d
	}
	t.times[vm] = before + time.Duration(travelWeight*float64(d-before))
}
