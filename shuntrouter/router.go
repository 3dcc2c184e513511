package shuntrouter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntcatalog"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntmember"
	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// maintenanceInterval is how often expired connections and statistics are
// discarded, the load is published and missing connections are opened.
const maintenanceInterval = time.Second

// finalAnswerTime is how long before the end of a shutdown the requests under way are
// ended, to leave time for their answers.
const finalAnswerTime = 100 * time.Millisecond

const (
	// heldMemoryFraction is the fraction of the memory limit that requests, replies and
	// answers may take, and connMemoryFraction that of callers' connections.
	heldMemoryFraction = 1.0 / 5
	connMemoryFraction = 1.0 / 8
	// callerSocketFraction is the fraction of the sockets that callers' connections may
	// take. The others are for backend servers and other VMs.
	callerSocketFraction = 0.5
	// connBytes is the memory that a caller's connection takes without what its request
	// holds: buffers, a goroutine, and what has arrived and is not read yet.
	connBytes = 16<<10 + ReceiveBytes
)

// ReceiveBytes is the size that the receive buffers of callers' connections should have. What
// lies there counts as memory of the process.
const ReceiveBytes = 32 << 10

// Settings holds the settings of a Router.
type Settings struct {
	Name   string
	Zone   string
	Region string
	// PeerAddress is the address at which other VMs reach this one, over UDP and
	// TCP.
	PeerAddress netip.AddrPort
	// Capacity is the capacity of this VM in thousandths of a core.
	Capacity uint32
	// RegionByZone maps each availability zone to its region.
	RegionByZone map[string]string
	// RetryRatio, RetrySlack and RetryWindow bound the retries and hedges that all
	// VMs together send to a service: within the window, the ratio of its
	// requests plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack give the limit on requests per second to a cold
	// server: its service's ColdRate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// DrainTime is how long after a server has said that it is leaving it may get
	// requests.
	DrainTime time.Duration
	// DelistedGrace is how long a server without an entry is kept as a last resort.
	DelistedGrace time.Duration
	// WatchWait is how long a watch of the platform waits for changes.
	WatchWait time.Duration
	// MemoryBytes is the memory limit of the process, and Sockets the number of sockets
	// that it may open; 0 means no limit.
	MemoryBytes int64
	Sockets     int
	// ShutdownGrace is the time from the request to shut down until the process
	// is killed.
	ShutdownGrace time.Duration
}

// maxCallerConns returns the greatest number of callers' connections; 0 means no limit.
func (s Settings) maxCallerConns() int {
	byMemory := int(connMemoryFraction * float64(s.MemoryBytes) / connBytes)
	bySockets := int(callerSocketFraction * float64(s.Sockets))
	if byMemory == 0 || bySockets == 0 {
		return max(byMemory, bySockets)
	}
	return min(byMemory, bySockets)
}

// Config configures a Router.
type Config struct {
	Settings Settings
	Headers  Headers
	Source   shuntcatalog.Source
	Decoder  shuntcatalog.Decoder
	// Seeds returns the addresses of VMs through which to join the fleet.
	Seeds   func() []netip.AddrPort
	Group   *shuntgroup.Group
	Metrics *metrics.Set
	// Dial opens connections to backend servers. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Router forwards callers' requests to backend servers.
type Router struct {
	config Config
	// ctx ends when the router stops.
	ctx      context.Context
	follower *shuntcatalog.Follower
	node     *shuntmember.Node
	pool     *shuntupstream.Pool
	// delegatePool holds the connections to VMs of other regions that query
	// shards for this one; delegateBalancer chooses between those VMs.
	delegatePool     *shuntupstream.Pool
	delegateBalancer *shuntbalance.Balancer
	balancer         *shuntbalance.Balancer
	coldLimiter      *shuntbalance.ColdLimiter
	rateLimiter      *shuntbalance.RateLimiter
	throttle         *shuntbalance.Throttle
	notices          *shuntbalance.Notices
	guard            *shuntguard.Guard
	caller           *shuntcall.Caller
	random           *shuntrandom.Source
	metrics          *routerMetrics
	splitCounters    splitCounters
	conns            *callerConns
	// memory accounts for all that is held for callers, backend servers and other VMs.
	memory *shuntmemory.Account
	// peerServer serves requests from other VMs; nil if it could not be started.
	peerServer atomic.Pointer[http.Server]
	leaving    atomic.Bool
	// endsAt is when requests under way are ended, once the VM is leaving. ending is done
	// then.
	endsAt      atomic.Pointer[time.Time]
	ending      context.Context
	endRequests context.CancelFunc
}

// New returns a Router that has not been started.
func New(c Config) *Router {
	s := c.Settings
	memory := shuntmemory.New(shuntmemory.Config{Limit: int64(heldMemoryFraction * float64(s.MemoryBytes))})
	links := shuntbalance.NewLinks()
	r := &Router{
		config: c,
		random: shuntrandom.New(0),
		pool: shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: c.Headers.Upstream, Dial: c.Dial, Group: c.Group,
			OnDial: func(s shuntupstream.Server, begun time.Time, err error) { links.Dialed(s.ID, begun, err == nil) }}),
		balancer:         shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: s.Region}),
		delegatePool:     shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: c.Headers.Upstream, Group: c.Group}),
		delegateBalancer: shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: s.Region}),
		coldLimiter:      shuntbalance.NewColdLimiter(),
		throttle:         shuntbalance.NewThrottle(),
		metrics:          newRouterMetrics(c.Metrics),
		memory:           memory,
		conns:            newCallerConns(callerConnsConfig{MaxConns: s.maxCallerConns(), Memory: memory}),
	}
	r.notices = shuntbalance.NewNotices(shuntbalance.NoticesConfig{DrainTime: s.DrainTime, Turn: func(server string) float64 { return r.node.Snapshot().Turn(server) }, OnNews: func() { r.node.LeavingChanged() }})
	r.guard = shuntguard.New(shuntguard.Config{Metrics: c.Metrics, Random: r.random, OnNews: func() { r.node.SuspicionsChanged() }})
	r.ending, r.endRequests = context.WithCancel(context.Background())
	r.rateLimiter = shuntbalance.NewRateLimiter(shuntbalance.RateLimiterConfig{Share: func() float64 { return r.node.Share() }, OnNews: func() { r.node.LimitsChanged() }})
	registerGauges(c.Metrics, r)
	r.node = shuntmember.NewNode(shuntmember.Config{
		Address: s.PeerAddress, Zone: s.Zone, Capacity: s.Capacity, Seeds: c.Seeds, Group: c.Group, Random: r.random,
		RegionOf:     func(zone string) string { return s.RegionByZone[zone] },
		Guard:        r.guard,
		OlderGuard:   r.guard.Older(),
		Notices:      r.notices,
		RateLimits:   r.rateLimiter,
		ChangesSince: func(revision int64) shuntcatalog.Delta { return r.follower.ChangesSince(r.ctx, revision) },
	})
	r.follower = shuntcatalog.NewFollower(shuntcatalog.FollowerConfig{
		Catalog: shuntcatalog.New(shuntcatalog.Config{Decoder: c.Decoder, DelistedGrace: s.DelistedGrace}),
		Source:  c.Source, Peers: r.node, Group: c.Group, Random: r.random, WatchWait: s.WatchWait, OnView: r.publishView,
		OnPlatformReachable: func(ok bool) { r.node.Update(func(m *shuntmember.MemberList) { m.SetPlatformReachable(ok) }) },
	})
	r.caller = shuntcall.New(shuntcall.Config{
		Pool: r.pool, Balancer: r.balancer, ColdLimiter: r.coldLimiter, RateLimiter: r.rateLimiter, Links: links, Fleet: fleet{r.node, s.RegionByZone},
		Self: shuntcall.Delegate{Address: shardAddress(s.PeerAddress).String(), Region: s.Region, Zone: s.Zone, Cores: cores(s.Capacity)}, ShardsPerCore: shuntmember.ShardsPerCore,
		DelegatePool: r.delegatePool, DelegateBalancer: r.delegateBalancer, Group: c.Group, View: r.follower.View, Headers: c.Headers.Upstream,
		Budget: shuntbalance.NewRetryBudget(shuntbalance.RetryBudgetConfig{
			Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow, Share: r.node.Share,
		}),
		ColdRate:      func(v shuntroute.Service) float64 { return v.ColdRate*s.ColdFactor + s.ColdSlack },
		Throttle:      r.throttle,
		Notices:       r.notices,
		Metrics:       shuntcall.NewMetrics(c.Metrics),
		Guard:         r.guard,
		CrashDetector: shuntguard.NewCrashDetector(),
	})
	return r
}

// Start joins the fleet, follows the platform and runs the router's goroutines
// until ctx ends.
func (r *Router) Start(ctx context.Context) error {
	r.ctx = ctx
	if err := r.node.Start(ctx); err != nil {
		return errors.Trace(err)
	}
	r.follower.Start(ctx)
	r.config.Group.Go(func() { r.maintain(ctx) })
	r.config.Group.Go(func() { r.preconnect(ctx) })
	r.config.Group.Go(func() {
		r.caller.WatchLinks(ctx, func(lost bool) { r.node.Update(func(m *shuntmember.MemberList) { m.SetLinksLost(lost) }) })
	})
	r.config.Group.Go(func() { r.enforceLimits(ctx) })
	r.listenDelegated(ctx)
	context.AfterFunc(ctx, r.endRequests)
	klog.InfoS("Router started", "vm", r.config.Settings.Name, "zone", r.config.Settings.Zone, "peer", r.config.Settings.PeerAddress, "protocol", shuntmember.Protocol)
	return nil
}

// publishView tells the other VMs about the current view.
func (r *Router) publishView(v *shuntroute.View) {
	byZone, width := v.CountByZone(), 0
	if v.Table != nil {
		width = v.Table.Width()
	}
	r.node.Update(func(m *shuntmember.MemberList) {
		m.SetQueryWidth(width)
		m.SetRevision(v.Revision)
		m.SetServing(v.Table != nil)
		m.SetServerCounts(byZone)
	})
}

// maintain periodically publishes the load of this VM and discards expired
// connections and statistics, until ctx ends.
func (r *Router) maintain(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for before := uint64(0); ; {
		select {
		case now := <-t.C:
			total := r.caller.Attempts()
			load := uint32(float64(total-before) / maintenanceInterval.Seconds())
			before = total
			r.node.Update(func(m *shuntmember.MemberList) { m.SetLoad(load) })
			r.pool.CloseExpired(now)
			r.balancer.Prune(now)
			r.delegatePool.CloseExpired(now)
			r.delegateBalancer.Prune(now)
			r.caller.Prune(now)
			r.coldLimiter.Prune(now)
			r.rateLimiter.Prune(now)
			r.notices.Prune(now)
			r.throttle.Prune(now)
		case <-ctx.Done():
			return
		}
	}
}

// preconnect keeps a connection open to each warm server while callers are sent to
// this VM. It prepares for sudden load, on a VM that has just become an entry or
// on an index that has just been resharded. Connections are opened one at a time,
// since each briefly takes up a slot of its server.
func (r *Router) preconnect(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if !r.node.Snapshot().IsEntry() {
			continue
		}
		for s := range r.follower.View().All() {
			if err := r.caller.EnsureConnected(ctx, s); err != nil {
				klog.V(1).InfoS("Failed to open a connection in advance", "server", s.ID, "reason", err.Error())
			}
		}
	}
}

// Ready reports whether callers may be sent to this VM.
func (r *Router) Ready() bool { return !r.leaving.Load() && r.follower.View().Table != nil }

// Leave marks this VM as no longer ready and tells the other VMs. Requests that are still
// under way shortly before grace has passed get a final answer then, and from now on those
// that may take longer are refused.
func (r *Router) Leave(grace time.Duration) {
	end := time.Now().Add(grace - finalAnswerTime)
	r.endsAt.Store(&end)
	r.leaving.Store(true)
	r.node.Update(func(m *shuntmember.MemberList) { m.SetLeaving() })
	time.AfterFunc(time.Until(end), r.endRequests)
}

// EntryAddresses returns the addresses of the VMs to which callers in the region
// should connect for the host: the entries of the region or else of the regions
// to which the host's routes are bound, or else all entries. If there are none, it
// returns the address of this VM, unless that is shutting down.
func (r *Router) EntryAddresses(host, region string) []netip.Addr {
	regions := []string{region}
	if t := r.follower.View().Table; t != nil {
		regions = append(regions, t.Regions(host)...)
	}
	var out []netip.Addr
	for _, a := range r.node.Snapshot().Entries(regions...) {
		out = append(out, a.Addr())
	}
	if len(out) == 0 && !r.leaving.Load() {
		out = append(out, r.config.Settings.PeerAddress.Addr())
	}
	return out
}
