// Package shuntdaemon assembles the process that runs on each VM: the listeners
// for callers, peers and operators, the fleet membership, the owner and the
// query coordinator. It starts them and shuts them down gracefully.
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
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	// callerWriteTimeout exceeds the longest deadline of a request, one hour.
	callerWriteTimeout = time.Hour + time.Minute
	requestTimeout     = 30 * time.Second
	drainPollInterval  = 20 * time.Millisecond
	shutdownTimeout    = 10 * time.Second
	handoverTimeout    = 5 * time.Second
)

// Config holds the settings and dependencies of a Daemon.
type Config struct {
	Settings shuntconfig.Settings
	// Reader reads documents from the platform. If it is nil, the platform at
	// Settings.PlatformAddress is used.
	Reader shuntplatform.Reader
	// Connector opens connections to backend servers, by TCP if it is nil.
	Connector shuntowner.Connector
	// Dial opens connections to other VMs, by TCP if it is nil.
	Dial shuntpeer.DialFunc
	// Caller, if not nil, replaces the connections to other VMs. Tests in
	// virtual time set it; they start the daemon without listeners.
	Caller Caller
	// Seed makes random choices repeatable. If it is 0, the seed is random.
	Seed uint64
	// Leases and Router replace those of the fleet if they are not nil.
	// Baseline measurements without owners set them.
	Leases shuntowner.Leases
	Router shuntquery.Router
	// Guard replaces the daemon's own guard, for the same purpose.
	Guard shuntquery.Guard
	// OwnerPolicy, QueryPolicy and Admission change decisions in experiments.
	OwnerPolicy shuntowner.Policy
	QueryPolicy shuntquery.Policy
	Admission   shuntentry.AdmissionConfig
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Daemon is the process of one VM.
type Daemon struct {
	config       Config
	start        string
	random       *shuntrandom.Source
	metrics      *metrics.Set
	guard        *shuntguard.Guard
	runner       *shuntfleet.Runner
	syncer       *shuntfleet.Syncer
	router       *shuntfleet.Router
	owner        *shuntowner.Owner
	ownerService *shuntowner.Service
	client       *shuntowner.Client
	coordinator  *shuntquery.Coordinator
	frontend     *shuntentry.Frontend
	pool         *shuntpeer.Pool
	fleetMetrics *shuntfleet.Metrics

	group  shuntgroup.Group
	cancel context.CancelFunc
	// shutdownFuncs close the listeners, in the order in which they were opened.
	shutdownFuncs []func(context.Context)
}

// New returns a Daemon that has not been started.
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
	d.setUpMembership()
	d.setUpQueryPath()
	shuntfleet.RegisterGauges(d.metrics, d.runner.View)
	return d
}

func (d *Daemon) setUpMembership() {
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
	d.syncer = shuntfleet.NewSyncer(shuntfleet.SyncerConfig{
		Reader:  d.config.Reader,
		Runner:  d.runner,
		Seeds:   s.PeerAddresses,
		Metrics: m,
		Random:  d.random,
	})
	d.router = shuntfleet.NewRouter(d.runner.View)
}

// handOver sends the state of a backend server to the VM that will own it next.
func (d *Daemon) handOver(server, vm string) {
	address, ok := d.peerAddress(vm)
	if !ok {
		return
	}
	d.group.Go(func() { d.owner.HandOver(context.Background(), d.config.Caller, address, server) })
}

// load returns the number of queries in progress. It returns 0 before the
// frontend exists, because the membership is set up first and calls it at once.
func (d *Daemon) load() int {
	if d.frontend == nil {
		return 0
	}
	return d.frontend.Load()
}

func (d *Daemon) setUpQueryPath() {
	s := d.config.Settings
	if d.config.Leases == nil {
		d.config.Leases = viewLeases{d.runner}
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
	d.ownerService = shuntowner.NewService(shuntowner.ServiceConfig{Owner: d.owner, Caller: d.config.Caller, Address: d.peerAddress})
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
	d.frontend = shuntentry.NewFrontend(shuntentry.Config{
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

// viewLeases implements shuntowner.Leases by reading the published view.
type viewLeases struct{ runner *shuntfleet.Runner }

// Lease implements shuntowner.Leases.
func (l viewLeases) Lease(server string, now time.Time) shuntowner.LeaseState {
	return l.runner.View().Lease(server, now)
}

func (d *Daemon) peerAddress(vm string) (string, bool) {
	v, ok := d.runner.View().Tree.Fleet().VM(vm)
	return v.PeerAddress, ok
}

// Frontend returns the part that answers callers.
func (d *Daemon) Frontend() *shuntentry.Frontend { return d.frontend }

// View returns this VM's current view of the fleet.
func (d *Daemon) View() *shuntfleet.View { return d.runner.View() }

// Owner returns the part that dispatches sub-requests to owned backend servers.
func (d *Daemon) Owner() *shuntowner.Owner { return d.owner }

// Metrics returns the VM's metrics.
func (d *Daemon) Metrics() *metrics.Set { return d.metrics }

// MessagesSent returns the number of query messages that this VM has sent to
// other VMs: batches, and early replies to batches.
func (d *Daemon) MessagesSent() float64 {
	return float64(d.client.BatchesSent() + d.ownerService.Delivered())
}

// HeartbeatsSent returns the number of heartbeats that this VM has sent.
func (d *Daemon) HeartbeatsSent() float64 { return float64(d.fleetMetrics.Beats.Get()) }

// Name returns the VM's name.
func (d *Daemon) Name() string { return d.config.Settings.Name }

// Receivers returns the net/rpc receivers that other VMs call, by service name.
func (d *Daemon) Receivers() map[string]any {
	return map[string]any{
		shuntfleet.ServiceName:      shuntfleet.NewService(d.runner),
		shuntowner.ServiceName:      d.ownerService,
		shuntowner.ReplyServiceName: d.client.Replies(),
		shuntentry.ServiceName:      entryCalls{d.frontend},
	}
}

// entryCalls exposes the only method of the Frontend that other VMs may call.
type entryCalls struct{ frontend *shuntentry.Frontend }

// Forward answers a request that another VM has forwarded.
func (e entryCalls) Forward(a shuntentry.ForwardArgs, reply *shuntentry.ForwardReply) error {
	return e.frontend.Forward(a, reply)
}

// StartMembership starts the fleet membership and the reading of documents,
// which need no listener.
func (d *Daemon) StartMembership() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group.Go(func() { d.runner.Run(ctx) })
	d.group.Go(func() { d.syncer.Run(ctx) })
	d.group.Go(func() { d.syncer.PollVMs(ctx) })
}

// Start opens the listeners and starts all parts. It returns once all listeners
// are open.
func (d *Daemon) Start() error {
	s := d.config.Settings
	listeners, err := listenAll(s.PeerListen, s.OperatorListen, s.CallerListen)
	if err != nil {
		return err
	}
	peers, err := shuntpeer.NewServer(shuntpeer.ServerConfig{Key: []byte(s.PeerKey), Receivers: d.Receivers()})
	if err != nil {
		return errors.Annotate(err, "set up the server for peer calls")
	}
	d.StartMembership()
	d.servePeers(peers, listeners[0])
	d.serveHTTP("operators", listeners[1], &http.Server{
		Handler:           d.OperatorHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
	d.serveHTTP("callers", listeners[2], newCallerServer(d.frontend.Handler()))
	klog.InfoS("VM started", "vm", s.Name, "zone", s.Zone, "callers", s.CallerListen, "peers", s.PeerListen, "operators", s.OperatorListen)
	return nil
}

// newCallerServer returns the HTTP server of the callers' interface, with limits
// on time and header size.
func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      callerWriteTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// OperatorHandler returns the handler of the operators' HTTP interface.
func (d *Daemon) OperatorHandler() http.Handler {
	return shuntoperator.NewHandler(shuntoperator.HandlerConfig{
		Sources: shuntoperator.Sources{View: d.runner.View, Dispatchers: d.owner.States, Limits: d.frontend.AdmissionLimits},
		Explain: d.frontend.Explain,
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
	d.shutdownFuncs = append(d.shutdownFuncs, func(context.Context) { cancel() })
	d.group.Go(func() {
		if err := s.Serve(ctx, l); err != nil {
			klog.ErrorS(err, "Serving peer calls failed")
		}
	})
}

func (d *Daemon) serveHTTP(audience string, l net.Listener, s *http.Server) {
	d.shutdownFuncs = append(d.shutdownFuncs, func(ctx context.Context) {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	})
	d.group.Go(func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Listener failed", "for", audience)
		}
	})
}

// Shutdown leaves the fleet without interrupting a request. It announces that
// the VM is leaving, so that other VMs take over its backend servers, and keeps
// accepting requests while callers may still have its address cached. Then it
// refuses new requests, waits for running requests and the handover to finish,
// and stops. If ctx ends first, Shutdown stops without waiting any longer.
func (d *Daemon) Shutdown(ctx context.Context) {
	klog.InfoS("VM is leaving", "vm", d.Name())
	d.runner.Leave()
	shuntgroup.Pause(ctx, shuntentry.EntriesMaxAge+shuntentry.ShutdownMargin)
	d.frontend.StopAccepting()
	d.waitFor(ctx, func() bool { return d.frontend.Load() == 0 })
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	// If no other VM can take over the servers, they are given up when the wait
	// times out.
	d.waitFor(bounded, func() bool { return d.runner.View().OwnedCount() == 0 && d.owner.InFlight() == 0 })
	d.Stop()
	klog.InfoS("VM has left", "vm", d.Name())
}

func (d *Daemon) waitFor(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		shuntgroup.Pause(ctx, drainPollInterval)
	}
}

// Stop stops all parts without announcing it. Other VMs see this as a crash.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// Listeners close in reverse order: the callers' listener was opened last and
	// closes first.
	for i := len(d.shutdownFuncs) - 1; i >= 0; i-- {
		d.shutdownFuncs[i](ctx)
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
