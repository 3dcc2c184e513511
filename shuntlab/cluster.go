package shuntlab

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntdaemon"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfake"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntload"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntplatform"
	"mulberryshunt.example/mulberryshunt/shuntquery"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	// firstListener is the port of a VM's first listener.
	firstListener = 81
	readyTime     = 20 * time.Second
	readyPoll     = 20 * time.Millisecond
)

// Config is what a Cluster is made of.
type Config struct {
	Estate shuntfake.Estate
	Seed   uint64
	// TailShare is the share of replies that take ten times as long.
	TailShare float64
	// Warm starts the backend servers warm.
	Warm bool
	// Poison is a query text that kills the server that runs it.
	Poison string
	// Templates replaces published templates by name.
	Templates   map[string]string
	OwnerPolicy shuntowner.Policy
	QueryPolicy shuntquery.Policy
	Admission   shuntentry.AdmissionConfig
	// NoGuard takes the guard against requests that crash servers away.
	NoGuard bool
	// Direct lets every VM send to every backend server itself; for baselines
	// without owners.
	Direct bool
	// WrapReader changes how a VM reads the platform; nil leaves it.
	WrapReader func(vm string, r shuntplatform.Reader) shuntplatform.Reader
	// WrapConnector changes a VM's connections to backend servers; nil leaves them.
	WrapConnector func(vm string, c shuntowner.Connector) shuntowner.Connector
}

// Cluster is an estate with its VMs, in virtual time.
type Cluster struct {
	Platform *shuntfake.Platform
	Log      *shuntfake.Log
	Network  *Network
	Backends map[string]*shuntfake.Backend
	Daemons  []*shuntdaemon.Daemon
	mu       sync.Mutex
	parted   bool

	config    Config
	random    *shuntrandom.Source
	fleet     shuntconfig.Fleet
	services  []shuntconfig.Service
	byAddress map[string]*shuntfake.Backend
}

// Start starts a Cluster and waits until every VM serves and every backend
// server has an owner. It must be called in a synctest bubble.
func Start(c Config) *Cluster {
	x := &Cluster{
		Platform:  shuntfake.NewPlatform(),
		Log:       shuntfake.NewLog(),
		Network:   NewNetwork(c.Estate.Delay),
		Backends:  map[string]*shuntfake.Backend{},
		config:    c,
		random:    shuntrandom.New(c.Seed + 1),
		byAddress: map[string]*shuntfake.Backend{},
	}
	x.startBackends()
	for n, t := range c.Templates {
		x.Platform.Publish(shuntconfig.MakeKey(shuntconfig.KindTemplate, n), []byte(t))
	}
	x.startFleet()
	x.WaitReady()
	return x
}

func (x *Cluster) startBackends() {
	n := 0
	addresses := map[string]string{}
	address := func(id string) string {
		if _, ok := addresses[id]; !ok {
			n++
			addresses[id] = fmt.Sprintf("10.1.%d.%d:80", n/200, n%200)
		}
		return addresses[id]
	}
	x.services = x.config.Estate.Services(address)
	for i, p := range shuntfake.ServerSpecs(x.services) {
		b := shuntfake.NewBackend(shuntfake.BackendConfig{
			Server:            p,
			Log:               x.Log,
			Seed:              x.config.Seed*1000 + uint64(i),
			MedianServiceTime: x.config.Estate.WorkspaceOf(p.Service).ServiceTime,
			TailFraction:      x.config.TailShare,
			CrashQuery:        x.config.Poison,
		})
		b.SetSnapshots(shuntfake.FirstSnapshot)
		if x.config.Warm {
			b.SetWarm()
		}
		x.Backends[p.ID()] = b
		x.byAddress[p.Address] = b
	}
	x.config.Estate.Publish(x.Platform, x.services)
}

func (x *Cluster) startFleet() {
	e := x.config.Estate
	x.fleet = e.Fleet(e.VMs, func(i int) string {
		return fmt.Sprintf("10.0.0.%d:%d", i/shuntfake.ListenersPerVM+1, firstListener+i%shuntfake.ListenersPerVM)
	})
	x.PublishFleet(x.fleet)
	x.Daemons = make([]*shuntdaemon.Daemon, len(x.fleet.VMs))
	for i := range x.fleet.VMs {
		x.StartVM(i)
	}
}

// StartVM starts the daemon of a VM by its number, in place of one before it.
func (x *Cluster) StartVM(i int) {
	v := x.fleet.VMs[i]
	var connector shuntowner.Connector = &shuntfake.Connector{
		Zone:        v.Zone,
		Delay:       x.config.Estate.Delay,
		ConnectTime: connectionSetup,
		BackendAt:   func(a string) *shuntfake.Backend { return x.byAddress[a] },
		Partitioned: func(zone string) bool { return x.cutBetween(v.Zone, zone) },
	}
	if x.config.WrapConnector != nil {
		connector = x.config.WrapConnector(v.Name, connector)
	}
	c := shuntdaemon.Config{
		Settings:    shuntconfig.Settings{Name: v.Name, Zone: v.Zone, Cell: v.Cell, PeerAddresses: x.fleet.PeerAddresses(v.Name)},
		Reader:      x.Platform,
		Connector:   connector,
		Caller:      x.Network.Caller(v.Name, v.Zone),
		Seed:        x.random.Uint64(),
		OwnerPolicy: x.config.OwnerPolicy,
		QueryPolicy: x.config.QueryPolicy,
		Admission:   x.config.Admission,
	}
	if x.config.WrapReader != nil {
		c.Reader = x.config.WrapReader(v.Name, c.Reader)
	}
	if x.config.NoGuard {
		c.Guard = noGuard{}
	}
	if x.config.Direct {
		c.Leases, c.Router = direct{}, direct{vm: v.Name}
	}
	d := shuntdaemon.New(c)
	x.mu.Lock()
	x.Daemons[i] = d
	x.mu.Unlock()
	x.Network.Add(v.PeerAddress, v.Zone, d)
	d.StartMembership()
}

// noGuard lets everything through.
type noGuard struct{}

// Admit implements shuntquery.Guard.
func (noGuard) Admit(uint64, shuntconfig.Canary) shuntguard.Decision { return shuntguard.Decision{} }

// Release implements shuntquery.Guard.
func (noGuard) Release(uint64) {}

// RecordCrash implements shuntquery.Guard.
func (noGuard) RecordCrash(uint64, string, bool) shuntguard.Decision { return shuntguard.Decision{} }

// RecordSuccess implements shuntquery.Guard.
func (noGuard) RecordSuccess(uint64) {}

// direct makes a VM the owner of every server in its own eyes.
type direct struct{ vm string }

// Lease implements shuntowner.Leases.
func (direct) Lease(_ string, now time.Time) shuntowner.LeaseState {
	return shuntowner.LeaseState{Held: true, Until: now.Add(time.Hour), CellSize: 1}
}

// Route implements shuntquery.Router.
func (d direct) Route(string) (string, bool) { return d.vm, true }

// RecordOwner implements shuntquery.Router.
func (direct) RecordOwner(_, _ string) {}

// MarkUnreachable implements shuntquery.Router.
func (direct) MarkUnreachable(string) {}

// connectionSetup is what a new connection takes at the wide workspaces.
const connectionSetup = 6 * time.Millisecond

// CrashVM ends a VM's daemon as a lost machine would.
func (x *Cluster) CrashVM(i int) {
	x.Network.Remove(x.fleet.VMs[i].PeerAddress)
	x.Daemons[i].Stop()
}

// PartitionRegions loses all that goes from one region to another, or carries it again.
func (x *Cluster) PartitionRegions(parted bool) {
	x.mu.Lock()
	x.parted = parted
	x.mu.Unlock()
	for i, a := range x.fleet.VMs {
		for _, b := range x.fleet.VMs[:i] {
			if x.region(a.Zone) != x.region(b.Zone) {
				x.Network.SetPartitioned(a.Name, b.Name, parted)
			}
		}
	}
}

func (x *Cluster) region(zone string) string {
	z, _ := x.fleet.Zone(zone)
	return z.Region
}

func (x *Cluster) cutBetween(a, b string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.parted && x.region(a) != x.region(b)
}

// ReplaceVM lets a VM leave gracefully and starts another one in its place.
func (x *Cluster) ReplaceVM(i int) {
	x.Daemons[i].Shutdown(context.Background())
	x.Network.Remove(x.fleet.VMs[i].PeerAddress)
	x.StartVM(i)
}

// Fleet returns the fleet as published last.
func (x *Cluster) Fleet() shuntconfig.Fleet { return x.fleet }

// Services returns the services as published last.
func (x *Cluster) Services() []shuntconfig.Service { return x.services }

// PublishFleet publishes a Fleet document and books which servers are out.
func (x *Cluster) PublishFleet(f shuntconfig.Fleet) {
	x.fleet = f
	x.Log.SetZonesInService(f, x.Backends, time.Now())
	x.Platform.Publish(shuntconfig.FleetKey, shuntconfig.EncodeFleet(f))
}

// PublishService publishes a changed service.
func (x *Cluster) PublishService(s shuntconfig.Service) {
	for i := range x.services {
		if x.services[i].Name == s.Name {
			x.services[i] = s
		}
	}
	now := time.Now()
	for _, v := range s.Servers {
		x.Log.SetInService(shuntconfig.ServerID(s.Name, v.Name), !v.Draining && x.fleet.ZoneInService(v.Zone), now)
	}
	x.Platform.Publish(shuntconfig.MakeKey(shuntconfig.KindService, s.Name), shuntconfig.EncodeService(s))
}

// WaitReady waits until every VM serves and every backend server has an owner,
// and reports whether that came to be.
func (x *Cluster) WaitReady() bool {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(readyPoll) {
		if x.ready() {
			return true
		}
	}
	return false
}

func (x *Cluster) ready() bool {
	return shuntdaemon.AllReady(x.Daemons, slices.Collect(maps.Keys(x.Backends)))
}

// Stop ends all daemons. Everything that they started has ended when it returns.
func (x *Cluster) Stop() {
	var g sync.WaitGroup
	for _, d := range x.Daemons {
		g.Go(d.Stop)
	}
	g.Wait()
	x.Network.group.Wait()
}

// entry returns a VM that callers would be told to use.
func (x *Cluster) entry() *shuntdaemon.Daemon {
	for range x.Daemons {
		d := x.at(x.random.IntN(len(x.Daemons)))
		if es := shuntentry.Entries(d.View(), "", "", x.random); len(es) > 0 {
			return x.daemon(es[x.random.IntN(len(es))].Name)
		}
	}
	return x.at(0)
}

func (x *Cluster) at(i int) *shuntdaemon.Daemon {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Daemons[i]
}

func (x *Cluster) daemon(name string) *shuntdaemon.Daemon {
	for i := range x.Daemons {
		if d := x.at(i); d.Name() == name {
			return d
		}
	}
	return nil
}

// Query sends an idempotent query through a VM that serves, and checks its answer.
func (x *Cluster) Query(workspace, id, text string) shuntquery.Answer {
	return x.QueryVia(x.entry(), workspace, id, shuntentry.Request{Query: text, Idempotent: true})
}

// QueryVia sends a request through one VM and checks its answer.
func (x *Cluster) QueryVia(d *shuntdaemon.Daemon, workspace, id string, r shuntentry.Request) shuntquery.Answer {
	delay := x.config.Estate.ClientDelay
	time.Sleep(delay)
	a := d.Frontend().Handle(context.Background(), workspace, id, r, 0)
	time.Sleep(delay)
	snapshot := ""
	if a.Snapshot.Version != 0 {
		snapshot = a.Snapshot.String()
	}
	x.Log.CheckAnswer(a.Outcome.String(), snapshot, a.Answered, a.Rows, id, r.Query)
	return a
}

// Workload is an open-loop load on one workspace.
type Workload struct {
	Workspace string
	// Rate is in queries a second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// OnAnswer, when not nil, is told each answer.
	OnAnswer func(due time.Time, a shuntquery.Answer)
}

// Run sends a stream and sums its answers up.
func (x *Cluster) Run(s Workload) *shuntload.Result {
	ctx, cancel := context.WithTimeout(context.Background(), s.Duration)
	defer cancel()
	r := shuntload.NewResult(s.Workspace)
	var mu sync.Mutex
	shuntload.OpenLoop(ctx, s.Rate, s.Seed+x.config.Seed, func(n int, due time.Time) {
		id := fmt.Sprintf("%s-%d-%d", s.Workspace, s.Seed, n)
		a := x.Query(s.Workspace, id, "find "+id)
		took := time.Since(due)
		mu.Lock()
		defer mu.Unlock()
		r.AddAnswer(a, took)
		if s.OnAnswer != nil {
			s.OnAnswer(due, a)
		}
	})
	return r
}

// RunAll sends several streams at once.
func (x *Cluster) RunAll(ss ...Workload) []*shuntload.Result {
	out := make([]*shuntload.Result, len(ss))
	var g sync.WaitGroup
	for i, s := range ss {
		g.Go(func() { out[i] = x.Run(s) })
	}
	g.Wait()
	return out
}
