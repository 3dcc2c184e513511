package shuntrouter

import (
	"context"
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
	"mulberryshunt.example/mulberryshunt/shuntrandom"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// sweepInterval is how often idle connections and old records are dropped.
const sweepInterval = time.Second

// Settings are what a router starts with.
type Settings struct {
	Name   string
	Zone   string
	Region string
	// PeerAddress is this VM's address for other VMs, datagrams and connections.
	PeerAddress netip.AddrPort
	// Capacity is what this VM can carry, in thousandths of a core.
	Capacity uint32
	// RegionByZone gives the region of each availability zone.
	RegionByZone map[string]string
	// RetryRatio, RetrySlack and RetryWindow bound extra attempts at a service,
	// from all VMs together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack give what a cold server bears in a second: its
	// rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// LapseGrace is how long a server whose entry is gone stays a last choice.
	LapseGrace time.Duration
	// WatchWait is how long one watch of the platform waits.
	WatchWait time.Duration
	// ShutdownGrace is the time from the order to end until the process is killed.
	ShutdownGrace time.Duration
}

// Config is what a Router is made of.
type Config struct {
	Settings Settings
	Headers  Headers
	Source   shuntcatalog.Source
	Decoder  shuntcatalog.Decoder
	// Seeds returns the other VMs' addresses that are tried first.
	Seeds   func() []netip.AddrPort
	Group   *shuntgroup.Group
	Metrics *metrics.Set
}

// Router forwards callers' requests.
type Router struct {
	config Config
	// ctx ends with the router.
	ctx      context.Context
	follower *shuntcatalog.Follower
	node     *shuntmember.Node
	pool     *shuntupstream.Pool
	// peers and delegates are the connections to other VMs that gather shards,
	// and what was seen of them.
	peers     *shuntupstream.Pool
	delegates *shuntbalance.Balancer
	board     *shuntbalance.Balancer
	cold      *shuntbalance.ColdLimiter
	throttle  *shuntbalance.Throttle
	caller    *shuntcall.Caller
	random    *shuntrandom.Source
	metrics   *frontMetrics
	splits    splits
	conns     *callerConns
	leaving   atomic.Bool
}

// New returns a router that has not started.
func New(c Config) *Router {
	s := c.Settings
	r := &Router{
		config:    c,
		random:    shuntrandom.New(0),
		pool:      shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: c.Headers.Upstream, Group: c.Group}),
		board:     shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: s.Region}),
		peers:     shuntupstream.NewPool(shuntupstream.PoolConfig{Headers: c.Headers.Upstream, Group: c.Group}),
		delegates: shuntbalance.NewBalancer(shuntbalance.BalancerConfig{Region: s.Region}),
		cold:      shuntbalance.NewColdLimiter(),
		throttle:  shuntbalance.NewThrottle(),
		metrics:   newFrontMetrics(c.Metrics),
		conns:     newCallerConns(),
	}
	guard := shuntguard.New(shuntguard.Config{Metrics: c.Metrics})
	registerGauges(c.Metrics, r)
	r.node = shuntmember.NewNode(shuntmember.Config{
		Address: s.PeerAddress, Zone: s.Zone, Capacity: s.Capacity, Seeds: c.Seeds, Group: c.Group, Random: r.random,
		RegionOf:     func(zone string) string { return s.RegionByZone[zone] },
		Guard:        guard,
		ChangesSince: func(revision int64) shuntcatalog.Delta { return r.follower.ChangesSince(r.ctx, revision) },
	})
	r.follower = shuntcatalog.NewFollower(shuntcatalog.FollowerConfig{
		Catalog: shuntcatalog.New(shuntcatalog.Config{Decoder: c.Decoder, LapseGrace: s.LapseGrace}),
		Source:  c.Source, Peers: r.node, Group: c.Group, Random: r.random, WatchWait: s.WatchWait, OnView: r.viewChanged,
		OnPlatformReachable: func(reads bool) { r.node.Update(func(m *shuntmember.MemberList) { m.SetPlatformReachable(reads) }) },
	})
	r.caller = shuntcall.New(shuntcall.Config{
		Pool: r.pool, Balancer: r.board, ColdLimiter: r.cold, Fleet: fleet{r.node, s.Region}, Region: s.Region,
		DelegatePool: r.peers, DelegateBalancer: r.delegates, Group: c.Group, View: r.follower.View, Headers: c.Headers.Upstream,
		Budget: shuntbalance.NewRetryBudget(shuntbalance.RetryBudgetConfig{
			Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow, Share: r.node.Share,
		}),
		ColdRate:      func(v shuntroute.Service) float64 { return v.ColdRate*s.ColdFactor + s.ColdSlack },
		Throttle:      r.throttle,
		Metrics:       shuntcall.NewMetrics(c.Metrics),
		Guard:         guard,
		CrashDetector: shuntguard.NewCrashDetector(),
	})
	return r
}

// Start joins the fleet and follows the platform until ctx ends.
func (r *Router) Start(ctx context.Context) error {
	r.ctx = ctx
	if err := r.node.Start(ctx); err != nil {
		return errors.Trace(err)
	}
	r.follower.Start(ctx)
	r.config.Group.Go(func() { r.sweep(ctx) })
	r.config.Group.Go(func() { r.warm(ctx) })
	r.config.Group.Go(func() { r.enforceLimits(ctx) })
	r.serveShards(ctx)
	klog.InfoS("Router started", "vm", r.config.Settings.Name, "zone", r.config.Settings.Zone, "peer", r.config.Settings.PeerAddress)
	return nil
}

func (r *Router) viewChanged(v *shuntroute.View) {
	byZone := v.CountByZone()
	r.node.Update(func(m *shuntmember.MemberList) {
		m.SetRevision(v.Revision)
		m.SetServing(v.Table != nil)
		m.SetServerCounts(byZone)
	})
}

func (r *Router) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for before := uint64(0); ; {
		select {
		case now := <-t.C:
			total := r.caller.Attempts()
			load := uint32(float64(total-before) / sweepInterval.Seconds())
			before = total
			r.node.Update(func(m *shuntmember.MemberList) { m.SetLoad(load) })
			r.pool.CloseExpired(now)
			r.board.Prune(now)
			r.peers.CloseExpired(now)
			r.delegates.Prune(now)
			r.cold.Prune(now)
			r.throttle.Prune(now)
		case <-ctx.Done():
			return
		}
	}
}

// warm keeps a connection to each warm server while callers are sent to this
// VM: it answers load that sets in at once, on a VM that has just become an
// entry or on an index that was just divided anew. One connection is opened at
// a time, since each holds a slot of the server for a moment.
func (r *Router) warm(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
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
			if s.Cold(time.Now()) || !s.DelistedAt.IsZero() || r.board.RecentlyUnreachable(s) {
				continue
			}
			if err := r.pool.EnsureConnected(ctx, shuntupstream.Server{ID: s.ID, Address: s.Address}); err != nil {
				klog.V(1).InfoS("Connection not opened ahead", "server", s.ID, "reason", err.Error())
			}
		}
	}
}

// Ready says whether callers are to be sent to this VM.
func (r *Router) Ready() bool { return !r.leaving.Load() && r.follower.View().Table != nil }

// Leave makes the VM no longer ready, and tells the others.
func (r *Router) Leave() {
	r.leaving.Store(true)
	r.node.Update(func(m *shuntmember.MemberList) { m.SetLeaving() })
}

// EntryAddresses returns the VMs that callers in the region are to connect to for the
// host: those of the region, else those of the regions that the host's routes
// are bound to, else all.
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
