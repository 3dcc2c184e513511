package shuntowner

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// connectionDivisor limits an owner to this fraction of the connections that
	// a server accepts, so that after a handover the next owner can open as many.
	connectionDivisor = 2
	// maxIdleTime is how long an idle connection is kept. It is shorter than the
	// time after which firewalls and NAT gateways drop idle connections.
	maxIdleTime = 15 * time.Second
	// aliveCheckAfter is how long a connection must have been idle before it is
	// checked for liveness. Without it, each request on a busy connection would
	// need an additional system call.
	aliveCheckAfter = 10 * time.Millisecond
	// cancelGrace is how long after its deadline a cancelled request still counts
	// as in flight on a cold server, which may detect the deadline late.
	cancelGrace    = 100 * time.Millisecond
	queuePerSlot   = 32
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// shedsToCold is the number of consecutive sheds after which a warm server is
	// treated as cold.
	shedsToCold = 4
	// shedResetInterval is the minimum time between two such resets.
	shedResetInterval = time.Second
)

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	Server    shuntconfig.ServerSpec
	Connector Connector
	Leases    Leases
	Policy    Policy
	Metrics   *Metrics
	// Go runs f on a new goroutine and returns true, or returns false if the
	// owner is shutting down. If Go is nil, no spare connections are opened.
	Go func(f func()) bool
}

// Policy disables parts of the Dispatcher, for the baselines of experiments.
type Policy struct {
	// NoWarmUp treats every server as warm from the start.
	NoWarmUp bool
	// NoWindow leaves the maximum number of connections as the only limit.
	NoWindow bool
	// WindowDivisor, if greater than 1, is the number of VMs among which the
	// window is divided.
	WindowDivisor int
}

// Dispatcher sends requests to one backend server. All requests to the server go
// through it. Whatever the order of requests, server restarts and lease changes,
// it maintains these limits:
//
//   - The number of requests on unconfirmed connections, which have not carried
//     a reply yet, never exceeds the limit of a cold server. A restarted process
//     can only be reached over new connections, so it starts under a cold load
//     even if the Dispatcher still considers the old process to be running.
//   - The total number of requests never exceeds the warm-up limit while the
//     server is cold, or the window when it is warm.
//   - The number of open connections never exceeds half of the maximum that the
//     server accepts.
type Dispatcher struct {
	config DispatcherConfig
	id     string

	mu     sync.Mutex
	server shuntconfig.ServerSpec
	// start is the start identity of the server process, or "" if unknown.
	// pastStarts holds earlier ones. epoch is incremented with each new process.
	start      string
	pastStarts []string
	epoch      uint64
	warmUp     WarmUp
	window     Window
	// confirmed is the number of requests in flight on confirmed connections,
	// unconfirmed that on others. Requests count until they have ended, even if
	// the epoch has changed since: replies from an earlier process must not
	// lower the count of requests to the current one.
	confirmed   int
	unconfirmed int
	openConns   int
	idle        []*pooledConn
	// spare holds connections that were opened in advance and have not carried
	// a request.
	spare        []*pooledConn
	openingSpare bool
	closed       bool
	queue        waiters
	arrivals     uint64
	// suspectToken is full while a suspect is in flight.
	suspectToken chan struct{}

	// latency is a moving average over successful requests.
	latency          time.Duration
	dialAfter        time.Time
	dialBackoff      time.Duration
	consecutiveSheds int
	lastShedReset    time.Time
	lastReply        time.Time
	coldReason       string
}

// NewDispatcher returns a Dispatcher that treats its server as cold.
func NewDispatcher(c DispatcherConfig) *Dispatcher {
	d := &Dispatcher{config: c, id: c.Server.ID(), server: c.Server, suspectToken: make(chan struct{}, 1)}
	if c.Metrics == nil {
		d.config.Metrics = NewMetrics(nil)
	}
	d.reset("first contact", time.Now())
	return d
}

// reset treats the server as cold and restarts the warm-up and the window.
func (d *Dispatcher) reset(reason string, now time.Time) {
	d.warmUp = NewWarmUp(WarmUpConfig{
		InitialLimit: d.server.InitialSlots,
		FullLimit:    MaxInFlight(d.server.Slots),
		StepTime:     d.server.WarmStepTime,
		StepRequests: d.server.WarmStepRequests,
	}, now)
	d.window = NewWindow(d.server.Slots)
	d.consecutiveSheds = 0
	d.coldReason = reason
	if d.config.Policy.NoWarmUp {
		d.warmUp.step = d.warmUp.config.FullLimit
	}
}

// Update applies a changed configuration of the server.
func (d *Dispatcher) Update(p shuntconfig.ServerSpec) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server == p {
		return
	}
	moved := d.server.Address != p.Address
	resized := d.server.Slots != p.Slots || d.server.InitialSlots != p.InitialSlots
	d.server = p
	if moved {
		d.start = ""
		d.newEpoch()
	}
	if moved || resized {
		d.reset("published anew", time.Now())
	}
	if p.Draining {
		d.refuseQueued(shuntoutcome.ServerLeaving)
	}
}

// newEpoch starts a new epoch and closes the idle connections of the previous one.
func (d *Dispatcher) newEpoch() {
	d.epoch++
	d.closeIdle()
}

// Run runs r on the server within its deadline and returns the reply.
func (d *Dispatcher) Run(ctx context.Context, r SubRequest) SubReply {
	startTime := time.Now()
	if r.Suspect {
		if !d.acquireSuspectToken(ctx, r) {
			return d.withMeasurements(r.NotRun(shuntoutcome.CrashSuspect), startTime)
		}
		defer func() { <-d.suspectToken }()
	}
	s, ref := d.acquire(ctx, r)
	if s == nil {
		d.config.Metrics.countRefused(ref.reason)
		out := r.NotRun(ref.reason)
		out.Owner = ref.owner
		return d.withMeasurements(out, startTime)
	}
	if s.conn == nil && !d.connect(ctx, s) {
		return d.withMeasurements(r.NotRun(shuntoutcome.ConnectFailed), startTime)
	}
	late := shuntoutcome.DeadlinePassed
	if !s.maxDeadline.IsZero() && r.Deadline.After(s.maxDeadline) {
		r.Deadline = s.maxDeadline
		// If this deadline has passed, the lease ends too soon to start work on
		// a cold server.
		late = shuntoutcome.NotOwner
	}
	// The lease and the deadline are checked again immediately before sending,
	// because the process may have been suspended since the first check.
	now := time.Now()
	if !now.Before(r.Deadline) {
		d.returnUnused(s)
		return d.withMeasurements(r.NotRun(late), startTime)
	}
	if ref, ok := d.mayDispatch(s, now); !ok {
		d.returnUnused(s)
		out := r.NotRun(ref.reason)
		out.Owner = ref.owner
		return d.withMeasurements(out, startTime)
	}
	if s.cold || s.uninterruptible {
		// Cancelling would not free the slot: on a cold server, the request
		// counts until its deadline has passed, and without a lease the
		// connection could not be replaced. The reply, however, confirms the
		// connection.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := s.conn.conn.Do(ctx, r)
	return d.withMeasurements(d.complete(s, r, resp, err, now), startTime)
}

// acquireSuspectToken waits until no other suspect is in flight. It returns false
// if r ends first, by its deadline or by cancellation.
func (d *Dispatcher) acquireSuspectToken(ctx context.Context, r SubRequest) bool {
	t := time.NewTimer(time.Until(r.Deadline))
	defer t.Stop()
	select {
	case d.suspectToken <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// withMeasurements adds the latency and the load of the server to a reply.
func (d *Dispatcher) withMeasurements(out SubReply, startTime time.Time) SubReply {
	out.Latency = time.Since(startTime)
	d.mu.Lock()
	out.InFlight = d.confirmed + d.unconfirmed + len(d.queue)
	out.Window = d.limit()
	d.mu.Unlock()
	return out
}

func (d *Dispatcher) limit() int {
	if d.config.Policy.NoWindow {
		return d.server.Connections
	}
	n := d.window.Limit()
	if !d.warmUp.Warm() {
		n = d.warmUp.Limit()
	}
	if d.config.Policy.WindowDivisor > 1 {
		n = max(1, n/d.config.Policy.WindowDivisor)
	}
	return n
}

func (d *Dispatcher) unconfirmedLimit() int {
	if d.config.Policy.NoWarmUp {
		return d.server.Connections
	}
	return d.server.InitialSlots
}

func (d *Dispatcher) openLimit() int {
	return max(1, d.server.Connections/connectionDivisor)
}
