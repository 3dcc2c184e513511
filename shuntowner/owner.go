package shuntowner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Connector Connector
	Leases    Leases
	Metrics   *Metrics
	Policy    Policy
}

// Owner holds the Dispatchers of the backend servers that this VM has sent
// requests to or received the state of.
type Owner struct {
	config OwnerConfig
	group  shuntgroup.Group
	tree   atomic.Pointer[shuntconfig.Tree]

	mu          sync.Mutex
	dispatchers map[string]*Dispatcher
}

// NewOwner returns an Owner without Dispatchers.
func NewOwner(c OwnerConfig) *Owner {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	o := &Owner{config: c, dispatchers: map[string]*Dispatcher{}}
	o.tree.Store(shuntconfig.NewTree())
	return o
}

// SetTree applies a new configuration. It updates the Dispatchers and closes those
// of servers that are no longer listed.
func (o *Owner) SetTree(t *shuntconfig.Tree) {
	o.tree.Store(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, d := range o.dispatchers {
		if p, ok := t.Server(id); ok {
			d.Update(withZoneDraining(t, p))
			continue
		}
		d.Close()
		delete(o.dispatchers, id)
	}
}

// withZoneDraining marks a server as draining if its zone is out of service.
func withZoneDraining(t *shuntconfig.Tree, p shuntconfig.ServerSpec) shuntconfig.ServerSpec {
	if z, ok := t.Fleet().Zone(p.Zone); ok && !z.InService {
		p.Draining = true
	}
	return p
}

// dispatcher returns the Dispatcher of a server and creates it if necessary. It
// returns nil if the server is not in the configuration.
func (o *Owner) dispatcher(id string) *Dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	if d, ok := o.dispatchers[id]; ok {
		return d
	}
	t := o.tree.Load()
	p, ok := t.Server(id)
	if !ok {
		return nil
	}
	d := NewDispatcher(DispatcherConfig{
		Server:    withZoneDraining(t, p),
		Connector: o.config.Connector,
		Leases:    o.config.Leases,
		Policy:    o.config.Policy,
		Metrics:   o.config.Metrics,
		Go:        func(f func()) bool { return o.group.Go(f) },
	})
	o.dispatchers[id] = d
	return d
}

// Run runs one sub-request and returns its reply.
func (o *Owner) Run(ctx context.Context, r SubRequest) SubReply {
	o.config.Metrics.SubRequests.Inc()
	d := o.dispatcher(r.Server)
	if d == nil {
		return r.NotRun(shuntoutcome.NoReplica)
	}
	return d.Run(ctx, r)
}

// RunBatch starts all of rs and returns at once. It calls deliver exactly once for
// each of rs, possibly from several goroutines. Shutdown waits for them.
func (o *Owner) RunBatch(ctx context.Context, rs []SubRequest, deliver func(SubReply)) {
	o.config.Metrics.Batches.Inc()
	for _, r := range rs {
		if !o.group.Go(func() { deliver(o.Run(ctx, r)) }) {
			deliver(r.NotRun(shuntoutcome.ShuttingDown))
		}
	}
}

// Shutdown refuses further sub-requests and waits until the running ones have
// ended.
func (o *Owner) Shutdown() { o.group.Close() }

// DispatcherState describes a Dispatcher, for operators and for handovers.
type DispatcherState struct {
	Server          string
	Start           string
	Warm            bool
	ColdReason      string
	Window          int
	WarmUpLimit     int
	InFlight        int
	Queued          int
	OpenConnections int
	Latency         time.Duration
}

// Close closes the idle connections and refuses the queued requests.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.closeIdle()
	d.refuseQueued(shuntoutcome.ServerLeaving)
}

// State returns the current state.
func (d *Dispatcher) State() DispatcherState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return DispatcherState{
		Server:          d.id,
		Start:           d.start,
		Warm:            d.warmUp.Warm(),
		ColdReason:      d.coldReason,
		Window:          d.limit(),
		WarmUpLimit:     d.warmUp.Limit(),
		InFlight:        d.confirmed + d.unconfirmed,
		Queued:          len(d.queue),
		OpenConnections: d.openConns,
		Latency:         d.latency,
	}
}

// States returns the states of all Dispatchers, sorted by server.
func (o *Owner) States() []DispatcherState {
	o.mu.Lock()
	dispatchers := slices.Collect(maps.Values(o.dispatchers))
	o.mu.Unlock()
	out := make([]DispatcherState, len(dispatchers))
	for i, d := range dispatchers {
		out[i] = d.State()
	}
	slices.SortFunc(out, func(a, b DispatcherState) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return out
}

// Close closes all Dispatchers.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.dispatchers {
		d.Close()
	}
}

// Idle reports whether no request is in flight on a server.
func (o *Owner) Idle(server string) bool {
	o.mu.Lock()
	d, ok := o.dispatchers[server]
	o.mu.Unlock()
	return !ok || d.inFlight() == 0
}

// InFlight returns the number of requests in flight on all servers.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	dispatchers := slices.Collect(maps.Values(o.dispatchers))
	o.mu.Unlock()
	n := 0
	for _, d := range dispatchers {
		n += d.inFlight()
	}
	return n
}

func (d *Dispatcher) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed + d.unconfirmed
}
