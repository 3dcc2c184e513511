package shuntcluster

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
	// firstListenerPort is the port of a VM's first listener. Its other
	// listeners use the ports after it.
	firstListenerPort = 81
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Config configures a Cluster.
type Config struct {
	Estate shuntfake.Estate
	Seed   uint64
	// TailFraction is the fraction of replies that take ten times as long as usual.
	TailFraction float64
	// Warm starts the backend servers already warmed up.
	Warm bool
	// CrashQuery is a query text that crashes every server that runs it.
	CrashQuery string
	// Templates holds the bodies of templates, by name, that replace the
	// published ones.
	Templates   map[string]string
	OwnerPolicy shuntowner.Policy
	QueryPolicy shuntquery.Policy
	Admission   shuntentry.AdmissionConfig
	// NoGuard disables the guard against requests that crash servers.
	NoGuard bool
	// Direct makes every VM send directly to every backend server. It serves as
	// a baseline without server owners.
	Direct bool
	// WrapReader, if not nil, returns the Reader through which a VM reads the
	// platform; r is the default one.
	WrapReader func(vm string, r shuntplatform.Reader) shuntplatform.Reader
	// WrapConnector, if not nil, returns the Connector through which a VM reaches
	// backend servers; c is the default one.
	WrapConnector func(vm string, c shuntowner.Connector) shuntowner.Connector
}

// Cluster is an estate with its VMs and backend servers, running in one process
// and in virtual time.
type Cluster struct {
	Platform           *shuntfake.Platform
	Log                *shuntfake.Log
	Network            *Network
	Backends           map[string]*shuntfake.Backend
	Daemons            []*shuntdaemon.Daemon
	mu                 sync.Mutex
	regionsPartitioned bool

	config    Config
	random    *shuntrandom.Source
	fleet     shuntconfig.Fleet
	services  []shuntconfig.Service
	byAddress map[string]*shuntfake.Backend
}

// Start starts a Cluster and waits until every VM serves and every backend
// server has an owner, or for at most readyTimeout. It must be called in a
// synctest bubble.
func Start(config Config) *Cluster {
	c := &Cluster{
		Platform:  shuntfake.NewPlatform(),
		Log:       shuntfake.NewLog(),
		Network:   NewNetwork(config.Estate.Delay),
		Backends:  map[string]*shuntfake.Backend{},
		config:    config,
		random:    shuntrandom.New(config.Seed + 1),
		byAddress: map[string]*shuntfake.Backend{},
	}
	c.startBackends()
	for n, t := range config.Templates {
		c.Platform.Publish(shuntconfig.MakeKey(shuntconfig.KindTemplate, n), []byte(t))
	}
	c.startFleet()
	c.WaitReady()
	return c
}

func (c *Cluster) startBackends() {
	n := 0
	addresses := map[string]string{}
	address := func(id string) string {
		if _, ok := addresses[id]; !ok {
			n++
			addresses[id] = fmt.Sprintf("10.1.%d.%d:80", n/200, n%200)
		}
		return addresses[id]
	}
	c.services = c.config.Estate.Services(address)
	for i, p := range shuntfake.ServerSpecs(c.services) {
		b := shuntfake.NewBackend(shuntfake.BackendConfig{
			Server:            p,
			Log:               c.Log,
			Seed:              c.config.Seed*1000 + uint64(i),
			MedianServiceTime: c.config.Estate.WorkspaceOf(p.Service).ServiceTime,
			TailFraction:      c.config.TailFraction,
			CrashQuery:        c.config.CrashQuery,
		})
		b.SetSnapshots(shuntfake.FirstSnapshot)
		if c.config.Warm {
			b.SetWarm()
		}
		c.Backends[p.ID()] = b
		c.byAddress[p.Address] = b
	}
	c.config.Estate.Publish(c.Platform, c.services)
}

func (c *Cluster) startFleet() {
	e := c.config.Estate
	c.fleet = e.Fleet(e.VMs, func(i int) string {
		return fmt.Sprintf("10.0.0.%d:%d", i/shuntfake.ListenersPerVM+1, firstListenerPort+i%shuntfake.ListenersPerVM)
	})
	c.PublishFleet(c.fleet)
	c.Daemons = make([]*shuntdaemon.Daemon, len(c.fleet.VMs))
	for i := range c.fleet.VMs {
		c.StartVM(i)
	}
}

// StartVM starts the daemon of the VM with the given index in Daemons and
// replaces the daemon stored there.
func (c *Cluster) StartVM(index int) {
	v := c.fleet.VMs[index]
	var connector shuntowner.Connector = &shuntfake.Connector{
		Zone:        v.Zone,
		Delay:       c.config.Estate.Delay,
		ConnectTime: connectionSetupTime,
		BackendAt:   func(a string) *shuntfake.Backend { return c.byAddress[a] },
		Partitioned: func(zone string) bool { return c.zonesPartitioned(v.Zone, zone) },
	}
	if c.config.WrapConnector != nil {
		connector = c.config.WrapConnector(v.Name, connector)
	}
	config := shuntdaemon.Config{
		Settings:    shuntconfig.Settings{Name: v.Name, Zone: v.Zone, Cell: v.Cell, PeerAddresses: c.fleet.PeerAddresses(v.Name)},
		Reader:      c.Platform,
		Connector:   connector,
		Caller:      c.Network.Caller(v.Name, v.Zone),
		Seed:        c.random.Uint64(),
		OwnerPolicy: c.config.OwnerPolicy,
		QueryPolicy: c.config.QueryPolicy,
		Admission:   c.config.Admission,
	}
	if c.config.WrapReader != nil {
		config.Reader = c.config.WrapReader(v.Name, config.Reader)
	}
	if c.config.NoGuard {
		config.Guard = noGuard{}
	}
	if c.config.Direct {
		config.Leases, config.Router = selfOwner{}, selfOwner{vm: v.Name}
	}
	d := shuntdaemon.New(config)
	c.mu.Lock()
	c.Daemons[index] = d
	c.mu.Unlock()
	c.Network.Add(v.PeerAddress, v.Zone, d)
	d.StartMembership()
}

// noGuard is a shuntquery.Guard that admits every request.
type noGuard struct{}

// Admit implements shuntquery.Guard.
func (noGuard) Admit(uint64, shuntconfig.Canary) shuntguard.Decision { return shuntguard.Decision{} }

// Release implements shuntquery.Guard.
func (noGuard) Release(uint64) {}

// RecordCrash implements shuntquery.Guard.
func (noGuard) RecordCrash(uint64, string, bool) shuntguard.Decision { return shuntguard.Decision{} }

// RecordSuccess implements shuntquery.Guard.
func (noGuard) RecordSuccess(uint64) {}

// selfOwner implements shuntowner.Leases and shuntquery.Router so that a VM
// regards itself as the owner of every server.
type selfOwner struct{ vm string }

// Lease implements shuntowner.Leases.
func (selfOwner) Lease(_ string, now time.Time) shuntowner.LeaseState {
	return shuntowner.LeaseState{Held: true, Until: now.Add(time.Hour), CellSize: 1}
}

// Route implements shuntquery.Router.
func (o selfOwner) Route(string) (string, bool) { return o.vm, true }

// RecordOwner implements shuntquery.Router.
func (selfOwner) RecordOwner(_, _ string) {}

// MarkUnreachable implements shuntquery.Router.
func (selfOwner) MarkUnreachable(string) {}

// connectionSetupTime is the time to set up a connection to a backend server, as
// in the estates' workspaces with many shards.
const connectionSetupTime = 6 * time.Millisecond

// CrashVM stops a VM's daemon without notice, as if the machine were lost.
func (c *Cluster) CrashVM(i int) {
	c.Network.Remove(c.fleet.VMs[i].PeerAddress)
	c.Daemons[i].Stop()
}

// PartitionRegions starts or ends a network partition between all regions. While
// it lasts, all traffic from one region to another is lost.
func (c *Cluster) PartitionRegions(partitioned bool) {
	c.mu.Lock()
	c.regionsPartitioned = partitioned
	c.mu.Unlock()
	for i, a := range c.fleet.VMs {
		for _, b := range c.fleet.VMs[:i] {
			if c.region(a.Zone) != c.region(b.Zone) {
				c.Network.SetPartitioned(a.Name, b.Name, partitioned)
			}
		}
	}
}

func (c *Cluster) region(zone string) string {
	z, _ := c.fleet.Zone(zone)
	return z.Region
}

func (c *Cluster) zonesPartitioned(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.regionsPartitioned && c.region(a) != c.region(b)
}

// ReplaceVM shuts a VM down gracefully and starts another one in its place.
func (c *Cluster) ReplaceVM(i int) {
	c.Daemons[i].Shutdown(context.Background())
	c.Network.Remove(c.fleet.VMs[i].PeerAddress)
	c.StartVM(i)
}

// Fleet returns the fleet as last published.
func (c *Cluster) Fleet() shuntconfig.Fleet { return c.fleet }

// Services returns the services as last published.
func (c *Cluster) Services() []shuntconfig.Service { return c.services }

// PublishFleet publishes a Fleet document and records in the log which backend
// servers are in zones that are out of service.
func (c *Cluster) PublishFleet(f shuntconfig.Fleet) {
	c.fleet = f
	c.Log.SetZonesInService(f, c.Backends, time.Now())
	c.Platform.Publish(shuntconfig.FleetKey, shuntconfig.EncodeFleet(f))
}

// PublishService publishes a changed service and records in the log which of its
// servers are out of service.
func (c *Cluster) PublishService(s shuntconfig.Service) {
	for i := range c.services {
		if c.services[i].Name == s.Name {
			c.services[i] = s
		}
	}
	now := time.Now()
	for _, v := range s.Servers {
		c.Log.SetInService(shuntconfig.ServerID(s.Name, v.Name), !v.Draining && c.fleet.ZoneInService(v.Zone), now)
	}
	c.Platform.Publish(shuntconfig.MakeKey(shuntconfig.KindService, s.Name), shuntconfig.EncodeService(s))
}

// WaitReady waits until every VM serves and every backend server has an owner.
// It returns false if that has not happened after readyTimeout.
func (c *Cluster) WaitReady() bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if c.ready() {
			return true
		}
	}
	return false
}

func (c *Cluster) ready() bool {
	return shuntdaemon.AllReady(c.Daemons, slices.Collect(maps.Keys(c.Backends)))
}

// Stop stops all daemons. When it returns, all goroutines that they started have
// ended.
func (c *Cluster) Stop() {
	var g sync.WaitGroup
	for _, d := range c.Daemons {
		g.Go(d.Stop)
	}
	g.Wait()
	c.Network.group.Wait()
}

// entryDaemon returns the daemon of a random VM among those that callers are told
// to send their queries to.
func (c *Cluster) entryDaemon() *shuntdaemon.Daemon {
	for range c.Daemons {
		d := c.daemonAt(c.random.IntN(len(c.Daemons)))
		if entries := shuntentry.Entries(d.View(), "", "", c.random); len(entries) > 0 {
			return c.daemonByName(entries[c.random.IntN(len(entries))].Name)
		}
	}
	return c.daemonAt(0)
}

func (c *Cluster) daemonAt(i int) *shuntdaemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Daemons[i]
}

func (c *Cluster) daemonByName(name string) *shuntdaemon.Daemon {
	for i := range c.Daemons {
		if d := c.daemonAt(i); d.Name() == name {
			return d
		}
	}
	return nil
}

// Query sends an idempotent query through a serving VM and checks the answer.
func (c *Cluster) Query(workspace, id, text string) shuntquery.Answer {
	return c.QueryVia(c.entryDaemon(), workspace, id, shuntentry.Request{Query: text, Idempotent: true})
}

// QueryVia sends a request through the VM of d and checks the answer.
func (c *Cluster) QueryVia(d *shuntdaemon.Daemon, workspace, id string, r shuntentry.Request) shuntquery.Answer {
	delay := c.config.Estate.ClientDelay
	time.Sleep(delay)
	a := d.Frontend().Handle(context.Background(), workspace, id, r, 0)
	time.Sleep(delay)
	snapshot := ""
	if a.Snapshot.Version != 0 {
		snapshot = a.Snapshot.String()
	}
	c.Log.CheckAnswer(a.Outcome.String(), snapshot, a.Answered, a.Rows, id, r.Query)
	return a
}

// Workload describes open-loop load on one workspace.
type Workload struct {
	Workspace string
	// Rate is the average number of queries per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// OnAnswer, if not nil, is called for each answer. Calls don't overlap. due is
	// the time at which the query was scheduled.
	OnAnswer func(due time.Time, a shuntquery.Answer)
}

// Run sends the queries of a workload and returns the collected answers.
func (c *Cluster) Run(w Workload) *shuntload.Result {
	ctx, cancel := context.WithTimeout(context.Background(), w.Duration)
	defer cancel()
	r := shuntload.NewResult(w.Workspace)
	var mu sync.Mutex
	shuntload.OpenLoop(ctx, w.Rate, w.Seed+c.config.Seed, func(n int, due time.Time) {
		id := fmt.Sprintf("%s-%d-%d", w.Workspace, w.Seed, n)
		a := c.Query(w.Workspace, id, "find "+id)
		latency := time.Since(due)
		mu.Lock()
		defer mu.Unlock()
		r.AddAnswer(a, latency)
		if w.OnAnswer != nil {
			w.OnAnswer(due, a)
		}
	})
	return r
}

// RunAll runs several workloads at the same time.
func (c *Cluster) RunAll(workloads ...Workload) []*shuntload.Result {
	results := make([]*shuntload.Result, len(workloads))
	var g sync.WaitGroup
	for i, w := range workloads {
		g.Go(func() { results[i] = c.Run(w) })
	}
	g.Wait()
	return results
}
