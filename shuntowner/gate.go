package shuntowner

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// connectionShare: an owner uses at most one part in this many of a
	// server's connections, so that the next owner has as many at a handover.
	connectionShare = 2
	// idleLimit is how long an unused connection is kept. Middle boxes forget
	// connections after longer than this.
	idleLimit = 15 * time.Second
	// aliveAfter is how long a connection must have been idle before it is
	// looked at: a busy one would cost a system call for each request.
	aliveAfter = 10 * time.Millisecond
	// closeGrace is how long a closed request still counts against a cold
	// server after its deadline; the server may notice late.
	closeGrace       = 100 * time.Millisecond
	queuePerSlot     = 32
	dialBackoffFirst = 50 * time.Millisecond
	dialBackoffLimit = 2 * time.Second
	// coldSheds is how many sheds in a row make a warm server count as cold.
	coldSheds = 4
	// coldSuspectPause is the least time between two such verdicts.
	coldSuspectPause = time.Second
)

// DispatcherConfig is what a Gate is made of.
type DispatcherConfig struct {
	Place     shuntconfig.ServerPlace
	Connector Connector
	Leases    Leases
	Policy    Policy
	Metrics   *Metrics
	// Go runs f on a goroutine of its own, unless the owner is at its end;
	// nil leaves out what is done ahead of need.
	Go func(f func()) bool
}

// Policy switches parts of the gate off, for baselines in experiments.
type Policy struct {
	// NoWarmUp takes every server as warm from the start.
	NoWarmUp bool
	// NoWindow leaves only the connection cap as a limit.
	NoWindow bool
	// WindowDivisor, when above 1, divides the window among that many VMs.
	WindowDivisor int
}

// Dispatcher is the one way to a backend server. It keeps these bounds, however
// requests, restarts and lease changes fall:
//
//   - Requests on unconfirmed connections, those that have not answered yet,
//     are never more than the server bears cold. A restarted process can only
//     be reached over connections that it accepted itself, so whatever the
//     gate believes of the old process, the new one starts with a cold load.
//   - Requests in all are never more than the ramp, while cold, or the window.
//   - Open connections are never more than half of the server's cap.
type Dispatcher struct {
	config DispatcherConfig
	id     string

	mu    sync.Mutex
	place shuntconfig.ServerPlace
	// start is the identity of the server's process; life counts its changes.
	start  string
	past   []string
	life   uint64
	ramp   WarmUp
	window Window
	// running counts requests on confirmed connections, fresh those on
	// unconfirmed ones. Each counts until it has ended, also when its life is
	// over: late news of an earlier life must not hide what runs now.
	running int
	fresh   int
	open    int
	idle    []*pooled
	// spare are connections opened ahead of need that have carried nothing.
	spare   []*pooled
	filling bool
	closed  bool
	queue   waiters
	arrived uint64
	// suspects holds one token; the suspect in flight has it.
	suspects chan struct{}

	latency       time.Duration
	dialAfter     time.Time
	dialBackoff   time.Duration
	shedsInRow    int
	lastSuspicion time.Time
	lastProgress  time.Time
	coldWhy       string
}

// NewDispatcher returns a Gate that takes its server as cold.
func NewDispatcher(c DispatcherConfig) *Dispatcher {
	g := &Dispatcher{config: c, id: c.Place.ID(), place: c.Place, suspects: make(chan struct{}, 1)}
	if c.Metrics == nil {
		g.config.Metrics = NewMetrics(nil)
	}
	g.reset("first contact", time.Now())
	return g
}

// reset takes the server as cold and of an unknown life.
func (g *Dispatcher) reset(why string, now time.Time) {
	g.ramp = NewWarmUp(WarmUpConfig{
		InitialLimit: g.place.ColdBears,
		FullLimit:    MaxInFlight(g.place.Slots),
		StepTime:     g.place.WarmStepTime,
		StepRequests: g.place.WarmStepRequests,
	}, now)
	g.window = NewWindow(g.place.Slots)
	g.shedsInRow = 0
	g.coldWhy = why
	if g.config.Policy.NoWarmUp {
		g.ramp.step = g.ramp.config.FullLimit
	}
}

// Update takes over a changed publication of the server.
func (g *Dispatcher) Update(p shuntconfig.ServerPlace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.place == p {
		return
	}
	moved := g.place.Address != p.Address
	resized := g.place.Slots != p.Slots || g.place.ColdBears != p.ColdBears
	g.place = p
	if moved {
		g.start = ""
		g.newLife()
	}
	if moved || resized {
		g.reset("published anew", time.Now())
	}
	if p.Draining {
		g.refuseAll(shuntoutcome.ServerLeaving)
	}
}

// newLife forgets the connections of the life before.
func (g *Dispatcher) newLife() {
	g.life++
	g.dropIdle()
}

// Run runs r on the server within its deadline and returns what became of it.
func (g *Dispatcher) Run(ctx context.Context, r SubRequest) SubReply {
	began := time.Now()
	if r.Suspect {
		if !g.takeSuspect(ctx, r) {
			return g.report(r.NotRun(shuntoutcome.CrashSuspect), began)
		}
		defer func() { <-g.suspects }()
	}
	s, no := g.acquire(ctx, r)
	if s == nil {
		g.config.Metrics.refused(no.reason)
		out := r.NotRun(no.reason)
		out.Owner = no.owner
		return g.report(out, began)
	}
	if s.conn == nil && !g.connect(ctx, s) {
		return g.report(r.NotRun(shuntoutcome.ConnectFailed), began)
	}
	late := shuntoutcome.DeadlinePassed
	if !s.until.IsZero() && r.Deadline.After(s.until) {
		r.Deadline = s.until
		// The lease is too near its end to start work on a cold server.
		late = shuntoutcome.NotOwner
	}
	// The lease and the deadline are read again right before the dispatch: a
	// paused process wakes here with old facts.
	now := time.Now()
	if !now.Before(r.Deadline) {
		g.giveBack(s)
		return g.report(r.NotRun(late), began)
	}
	if no, ok := g.mayDispatch(s, now); !ok {
		g.giveBack(s)
		out := r.NotRun(no.reason)
		out.Owner = no.owner
		return g.report(out, began)
	}
	if s.cold || s.kept {
		// Closing the connection would free nothing: the request counts until
		// the server has certainly given it up. Its answer is worth more, as
		// it confirms the connection.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := s.conn.conn.Do(ctx, r)
	return g.report(g.settle(s, r, resp, err, now), began)
}

// takeSuspect waits for the turn of a suspect, within its deadline.
func (g *Dispatcher) takeSuspect(ctx context.Context, r SubRequest) bool {
	t := time.NewTimer(time.Until(r.Deadline))
	defer t.Stop()
	select {
	case g.suspects <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (g *Dispatcher) report(out SubReply, began time.Time) SubReply {
	out.Latency = time.Since(began)
	g.mu.Lock()
	out.InFlight = g.running + g.fresh + len(g.queue)
	out.Window = g.limit()
	g.mu.Unlock()
	return out
}

func (g *Dispatcher) limit() int {
	if g.config.Policy.NoWindow {
		return g.place.Connections
	}
	n := g.window.Limit()
	if !g.ramp.Warm() {
		n = g.ramp.Limit()
	}
	if g.config.Policy.WindowDivisor > 1 {
		n = max(1, n/g.config.Policy.WindowDivisor)
	}
	return n
}

func (g *Dispatcher) freshLimit() int {
	if g.config.Policy.NoWarmUp {
		return g.place.Connections
	}
	return g.place.ColdBears
}

func (g *Dispatcher) openLimit() int {
	return max(1, g.place.Connections/connectionShare)
}
