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

// OwnerConfig is what an Owner is made of.
type OwnerConfig struct {
	Connector Connector
	Leases    Leases
	Metrics   *Metrics
	Policy    Policy
}

// Owner keeps the gates of the backend servers that this VM has worked with.
type Owner struct {
	config OwnerConfig
	group  shuntgroup.Group
	tree   atomic.Pointer[shuntconfig.Tree]

	mu    sync.Mutex
	gates map[string]*Dispatcher
}

// NewOwner returns an Owner without gates.
func NewOwner(c OwnerConfig) *Owner {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	o := &Owner{config: c, gates: map[string]*Dispatcher{}}
	o.tree.Store(shuntconfig.NewTree())
	return o
}

// SetTree puts a configuration in force.
func (o *Owner) SetTree(t *shuntconfig.Tree) {
	o.tree.Store(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, g := range o.gates {
		if p, ok := t.Server(id); ok {
			g.Update(withZone(t, p))
			continue
		}
		g.Close()
		delete(o.gates, id)
	}
}

// withZone marks the server as draining when its zone is out of service.
func withZone(t *shuntconfig.Tree, p shuntconfig.ServerPlace) shuntconfig.ServerPlace {
	if z, ok := t.Fleet().Zone(p.Zone); ok && !z.InService {
		p.Draining = true
	}
	return p
}

func (o *Owner) gate(id string) *Dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g, ok := o.gates[id]; ok {
		return g
	}
	t := o.tree.Load()
	p, ok := t.Server(id)
	if !ok {
		return nil
	}
	g := NewDispatcher(DispatcherConfig{
		Place:     withZone(t, p),
		Connector: o.config.Connector,
		Leases:    o.config.Leases,
		Policy:    o.config.Policy,
		Metrics:   o.config.Metrics,
		Go:        func(f func()) bool { return o.group.Go(f) },
	})
	o.gates[id] = g
	return g
}

// Run runs one sub-request and returns what became of it.
func (o *Owner) Run(ctx context.Context, r SubRequest) SubReply {
	o.config.Metrics.SubRequests.Inc()
	g := o.gate(r.Server)
	if g == nil {
		return r.NotRun(shuntoutcome.NoReplica)
	}
	return g.Run(ctx, r)
}

// RunBatch starts all of rs and calls deliver once for each, from several
// goroutines. It returns at once; Wait waits for all.
func (o *Owner) RunBatch(ctx context.Context, rs []SubRequest, deliver func(SubReply)) {
	o.config.Metrics.Batches.Inc()
	for _, r := range rs {
		if !o.group.Go(func() { deliver(o.Run(ctx, r)) }) {
			deliver(r.NotRun(shuntoutcome.ShuttingDown))
		}
	}
}

// Shutdown takes no more sub-requests and waits until none runs.
func (o *Owner) Shutdown() { o.group.Close() }

// DispatcherState is the state of a gate for operators and for a handover.
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

// Close closes the idle connections and refuses what waits.
func (g *Dispatcher) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.dropIdle()
	g.refuseAll(shuntoutcome.ServerLeaving)
}

// State returns the gate's state.
func (g *Dispatcher) State() DispatcherState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return DispatcherState{
		Server:          g.id,
		Start:           g.start,
		Warm:            g.ramp.Warm(),
		ColdReason:      g.coldWhy,
		Window:          g.limit(),
		WarmUpLimit:     g.ramp.Limit(),
		InFlight:        g.running + g.fresh,
		Queued:          len(g.queue),
		OpenConnections: g.open,
		Latency:         g.latency,
	}
}

// States returns the states of all gates, by server.
func (o *Owner) States() []DispatcherState {
	o.mu.Lock()
	gates := slices.Collect(maps.Values(o.gates))
	o.mu.Unlock()
	out := make([]DispatcherState, len(gates))
	for i, g := range gates {
		out[i] = g.State()
	}
	slices.SortFunc(out, func(a, b DispatcherState) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return out
}

// Close closes all gates.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.gates {
		g.Close()
	}
}

// Idle says whether no request is in flight at a server.
func (o *Owner) Idle(server string) bool {
	o.mu.Lock()
	g, ok := o.gates[server]
	o.mu.Unlock()
	return !ok || g.inFlight() == 0
}

// InFlight returns the number of requests in flight at all servers.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	gates := slices.Collect(maps.Values(o.gates))
	o.mu.Unlock()
	n := 0
	for _, g := range gates {
		n += g.inFlight()
	}
	return n
}

func (g *Dispatcher) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running + g.fresh
}
