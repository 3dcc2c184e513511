// Package shuntdaemon puts the parts of one VM together: the callers', peers'
// and operators' listeners, the fleet, the owner and the coordinator, from a
// start to a graceful end.
package shuntdaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntclaim"
	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoperator"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntpeer"
	"mulberryshunt.example/mulberryshunt/shuntplatform"
	"mulberryshunt.example/mulberryshunt/shuntquery"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	headerTimeout    = 5 * time.Second
	callerIdle       = 60 * time.Second
	maxHeaderBytes   = 16 << 10
	writeTimeout     = time.Hour + time.Minute
	operatorTimeout  = 30 * time.Second
	drainPoll        = 20 * time.Millisecond
	shutdownTimeout  = 10 * time.Second
	handoverPatience = 5 * time.Second
)

// Config is what a Daemon is made of.
type Config struct {
	Settings shuntconfig.Settings
	// Reader reads the platform; nil takes the one at Settings.PlatformAddress.
	Reader shuntplatform.Reader
	// Connector opens connections to backend servers; nil takes TCP.
	Connector shuntowner.Connector
	// Dial opens connections to other VMs; nil takes TCP.
	Dial shuntpeer.DialFunc
	// Caller, when not nil, takes the place of the connections to other VMs,
	// and the daemon then listens nowhere. For tests in virtual time.
	Caller Caller
	// Seed makes the choices repeatable; 0 takes a random seed.
	Seed uint64
	// Leases and Router take the places of the fleet's; nil takes those. For
	// baselines without owners.
	Leases shuntowner.Leases
	Router shuntquery.Router
	// Guard takes the place of the daemon's own, for the same purpose.
	Guard shuntquery.Guard
	// OwnerPolicy, QueryPolicy and Admission vary the decisions for experiments.
	OwnerPolicy shuntowner.Policy
	QueryPolicy shuntquery.Policy
	Admission   shuntentry.AdmissionConfig
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Daemon is one VM's part of the system.
type Daemon struct {
	config       Config
	start        string
	random       *shuntrandom.Source
	metrics      *metrics.Set
	guard        *shuntguard.Guard
	runner       *shuntfleet.Runner
	sync         *shuntfleet.Syncer
	router       *shuntfleet.Router
	owner        *shuntowner.Owner
	ownerCalls   *shuntowner.Service
	client       *shuntowner.Client
	coordinator  *shuntquery.Coordinator
	front        *shuntentry.Frontend
	pool         *shuntpeer.Pool
	fleetMetrics *shuntfleet.Metrics

	group  shuntgroup.Group
	cancel context.CancelFunc
	ends   []func(context.Context)
}

// New returns a Daemon that does nothing yet.
func New(c Config) *Daemon {
	d := &Daemon{config: c, start: shuntclaim.NewStart(), random: shuntrandom.New(c.Seed), metrics: metrics.NewSet()}
	if d.config.Dial == nil {
		d.config.Dial = shuntpeer.DialTCP
	}
	if d.config.Reader == nil {
		d.config.Reader = shuntplatform.NewClient(c.Settings.PlatformAddress)
	}
	if d.config.Connector == nil {
		d.config.Connector = shuntowner.HTTPConnector{Dial: shuntpeer.DialTCP}
	}
	if d.config.Caller == nil {
		d.pool = shuntpeer.NewPool(shuntpeer.PoolConfig{Key: []byte(c.Settings.PeerKey), Dial: d.config.Dial})
		d.config.Caller = d.pool
	}
	d.guard = shuntguard.New(shuntguard.Config{Metrics: d.metrics, OnCrash: func() { d.runner.SendSuspicions() }})
	d.makeFleet()
	d.makePath()
	shuntfleet.RegisterGauges(d.metrics, d.runner.View)
	return d
}

func (d *Daemon) makeFleet() {
	s := d.config.Settings
	m := shuntfleet.NewMetrics(d.metrics)
	d.fleetMetrics = m
	d.runner = shuntfleet.NewRunner(shuntfleet.RunnerConfig{
		Control: shuntfleet.ControlConfig{
			VM:         s.Name,
			Start:      d.start,
			Cell:       s.Cell,
			Idle:       func(server string) bool { return d.owner.Idle(server) },
			Load:       d.load,
			OnHandover: d.handOver,
			Guard:      d.guard,
			Random:     d.random,
		},
		Caller:  d.config.Caller,
		Metrics: m,
		OnConfiguration: func(t *shuntconfig.Tree) {
			d.owner.SetTree(t)
			d.coordinator.SetTree(t)
		},
	})
	d.sync = shuntfleet.NewSyncer(shuntfleet.SyncerConfig{
		Reader:  d.config.Reader,
		Runner:  d.runner,
		Seeds:   s.PeerAddresses,
		Metrics: m,
		Random:  d.random,
	})
	d.router = shuntfleet.NewRouter(d.runner.View)
}

// handOver sends a server's state to the VM that owns it next.
func (d *Daemon) handOver(server, vm string) {
	address, ok := d.peerAddress(vm)
	if !ok {
		return
	}
	d.group.Go(func() { d.owner.HandOver(context.Background(), d.config.Caller, address, server) })
}

// load returns the number of queries that the VM works on. The fleet is made
// before the front, and asks at once.
func (d *Daemon) load() int {
	if d.front == nil {
		return 0
	}
	return d.front.Load()
}

func (d *Daemon) makePath() {
	s := d.config.Settings
	if d.config.Leases == nil {
		d.config.Leases = leases{d.runner}
	}
	if d.config.Router == nil {
		d.config.Router = d.router
	}
	if d.config.Guard == nil {
		d.config.Guard = d.guard
	}
	d.owner = shuntowner.NewOwner(shuntowner.OwnerConfig{
		Connector: d.config.Connector,
		Leases:    d.config.Leases,
		Metrics:   shuntowner.NewMetrics(d.metrics),
		Policy:    d.config.OwnerPolicy,
	})
	d.ownerCalls = shuntowner.NewService(shuntowner.ServiceConfig{Owner: d.owner, Caller: d.config.Caller, Address: d.peerAddress})
	d.client = shuntowner.NewClient(shuntowner.ClientConfig{
		Caller:    d.config.Caller,
		ProcessID: s.Name + "." + d.start,
		Address:   d.peerAddress,
		VM:        s.Name,
		Local:     d.owner,
	})
	d.coordinator = shuntquery.NewCoordinator(shuntquery.CoordinatorConfig{
		Sender:  d.client,
		Router:  d.config.Router,
		Guard:   d.config.Guard,
		Metrics: shuntquery.NewMetrics(d.metrics),
		Policy:  d.config.QueryPolicy,
		Random:  d.random,
	})
	d.front = shuntentry.NewFrontend(shuntentry.Config{
		VM:        s.Name,
		Start:     d.start,
		View:      d.runner.View,
		Runner:    d.coordinator,
		Caller:    d.config.Caller,
		Metrics:   d.metrics,
		Admission: d.config.Admission,
		Random:    d.random,
	})
}

// leases reads the published view for the gates.
type leases struct{ runner *shuntfleet.Runner }

// Lease implements shuntowner.Leases.
func (l leases) Lease(server string, now time.Time) shuntowner.LeaseState {
	return l.runner.View().Lease(server, now)
}

func (d *Daemon) peerAddress(vm string) (string, bool) {
	v, ok := d.runner.View().Tree.Fleet().VM(vm)
	return v.PeerAddress, ok
}

// Frontend returns what answers callers.
func (d *Daemon) Frontend() *shuntentry.Frontend { return d.front }

// View returns the fleet as this VM sees it.
func (d *Daemon) View() *shuntfleet.View { return d.runner.View() }

// Owner returns the VM's gates.
func (d *Daemon) Owner() *shuntowner.Owner { return d.owner }

// Metrics returns the VM's counters.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// MessagesSent returns the number of messages of queries that the VM sent to
// others: batches, and early replies to batches.
func (d *Daemon) MessagesSent() float64 {
	return float64(d.client.BatchesSent() + d.ownerCalls.Delivered())
}

// HeartbeatsSent returns the number of heartbeats that the VM sent.
func (d *Daemon) HeartbeatsSent() float64 { return float64(d.fleetMetrics.Beats.Get()) }

// Name returns the VM's name.
func (d *Daemon) Name() string { return d.config.Settings.Name }

// Receivers returns the net/rpc receivers that other VMs call.
func (d *Daemon) Receivers() map[string]any {
	return map[string]any{
		shuntfleet.ServiceName:      shuntfleet.NewService(d.runner),
		shuntowner.ServiceName:      d.ownerCalls,
		shuntowner.ReplyServiceName: d.client.Replies(),
		shuntentry.ServiceName:      entryCalls{d.front},
	}
}

// entryCalls holds the one method of the Front that other VMs may call.
type entryCalls struct{ front *shuntentry.Frontend }

// Forward answers a request that another VM passed on.
func (e entryCalls) Forward(a shuntentry.ForwardArgs, reply *shuntentry.ForwardReply) error {
	return e.front.Forward(a, reply)
}

// StartMembership starts what needs no listener.
func (d *Daemon) StartMembership() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group.Go(func() { d.runner.Run(ctx) })
	d.group.Go(func() { d.sync.Run(ctx) })
	d.group.Go(func() { d.sync.PollVMs(ctx) })
}

// Start listens and starts everything. It returns once all listeners are open.
func (d *Daemon) Start() error {
	s := d.config.Settings
	listeners, err := listenAll(s.PeerListen, s.OperatorListen, s.CallerListen)
	if err != nil {
		return err
	}
	peers, err := shuntpeer.NewServer(shuntpeer.ServerConfig{Key: []byte(s.PeerKey), Receivers: d.Receivers()})
	if err != nil {
		return errors.Annotate(err, "peer calls")
	}
	d.StartMembership()
	d.servePeers(peers, listeners[0])
	d.serveHTTP("operators", listeners[1], &http.Server{
		Handler:           d.OperatorHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       operatorTimeout,
		WriteTimeout:      operatorTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
	d.serveHTTP("callers", listeners[2], callerServer(d.front.Handler()))
	klog.InfoS("VM started", "vm", s.Name, "zone", s.Zone, "callers", s.CallerListen, "peers", s.PeerListen, "operators", s.OperatorListen)
	return nil
}

// callerServer returns the bounded server of the callers' interface.
func callerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       operatorTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// OperatorHandler returns the operators' HTTP interface.
func (d *Daemon) OperatorHandler() http.Handler {
	return shuntoperator.NewHandler(shuntoperator.HandlerConfig{
		Sources: shuntoperator.Sources{View: d.runner.View, Dispatchers: d.owner.States, Limits: d.front.AdmissionLimits},
		Explain: d.front.Explain,
		Metrics: d.metrics,
	})
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	out := make([]net.Listener, 0, len(addresses))
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range out {
				_ = o.Close()
			}
			return nil, errors.Annotatef(err, "listen on %s", a)
		}
		out = append(out, l)
	}
	return out, nil
}

func (d *Daemon) servePeers(s *shuntpeer.Server, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	d.ends = append(d.ends, func(context.Context) { cancel() })
	d.group.Go(func() {
		if err := s.Serve(ctx, l); err != nil {
			klog.ErrorS(err, "Peers are no longer served")
		}
	})
}

func (d *Daemon) serveHTTP(what string, l net.Listener, s *http.Server) {
	d.ends = append(d.ends, func(ctx context.Context) {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	})
	d.group.Go(func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Listener failed", "for", what)
		}
	})
}

// Shutdown leaves the fleet without cutting a request: it announces that the
// VM leaves, goes on for as long as callers may still hold its address, hands
// its servers over, refuses new work, waits for all that runs, and stops. ctx
// bounds the wait.
func (d *Daemon) Shutdown(ctx context.Context) {
	klog.InfoS("VM is leaving", "vm", d.Name())
	d.runner.Leave()
	shuntgroup.Pause(ctx, shuntentry.EntriesMaxAge+shuntentry.ShutdownMargin)
	d.front.StopAccepting()
	d.waitFor(ctx, func() bool { return d.front.Load() == 0 })
	bounded, cancel := context.WithTimeout(ctx, handoverPatience)
	defer cancel()
	// Where no other VM can take the servers, they are let go at the end.
	d.waitFor(bounded, func() bool { return d.runner.View().OwnedCount() == 0 && d.owner.InFlight() == 0 })
	d.Stop()
	klog.InfoS("VM has left", "vm", d.Name())
}

func (d *Daemon) waitFor(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		shuntgroup.Pause(ctx, drainPoll)
	}
}

// Stop ends everything at once, as a crash would for the others.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// The callers' listener was opened last and is closed first.
	for i := len(d.ends) - 1; i >= 0; i-- {
		d.ends[i](ctx)
	}
	d.cancel()
	d.owner.Close()
	if d.pool != nil {
		d.pool.Close()
	}
	d.client.Shutdown()
	d.owner.Shutdown()
	d.group.Close()
}
