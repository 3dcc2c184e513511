package shuntowner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

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

// GateConfig is what a Gate is made of.
type GateConfig struct {
	Place     shuntconfig.ServerPlace
	Connector Connector
	Leases    Leases
	Policy    Policy
	Metrics   *Metrics
	// Start runs f on a goroutine of its own, unless the owner is at its end;
	// nil leaves out what is done ahead of need.
	Start func(f func()) bool
}

// Policy switches parts of the gate off, for baselines in experiments.
type Policy struct {
	// NoRamp takes every server as warm from the start.
	NoRamp bool
	// NoWindow leaves only the connection cap as a limit.
	NoWindow bool
	// Share, when above 1, divides the window among that many VMs.
	Share int
}

// Gate is the one way to a backend server. It keeps these bounds, however
// requests, restarts and lease changes fall:
//
//   - Requests on unconfirmed connections, those that have not answered yet,
//     are never more than the server bears cold. A restarted process can only
//     be reached over connections that it accepted itself, so whatever the
//     gate believes of the old process, the new one starts with a cold load.
//   - Requests in all are never more than the ramp, while cold, or the window.
//   - Open connections are never more than half of the server's cap.
type Gate struct {
	config GateConfig
	id     string

	mu    sync.Mutex
	place shuntconfig.ServerPlace
	// start is the identity of the server's process; life counts its changes.
	start  string
	past   []string
	life   uint64
	ramp   Ramp
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

// pooled is a connection with what the gate knows of it.
type pooled struct {
	conn Conn
	// life is the life that the connection is confirmed for; 0 before its
	// first reply.
	life     uint64
	lastUsed time.Time
}

// slot is the right to run one request, on conn or on a connection to be opened.
type slot struct {
	conn  *pooled
	fresh bool
	life  uint64
	cold  bool
	// until bounds the request's deadline; zero means no bound.
	until time.Time
}

// refusal says why a request got no slot.
type refusal struct {
	reason shuntoutcome.Reason
	owner  string
}

// NewGate returns a Gate that takes its server as cold.
func NewGate(c GateConfig) *Gate {
	g := &Gate{config: c, id: c.Place.ID(), place: c.Place, suspects: make(chan struct{}, 1)}
	if c.Metrics == nil {
		g.config.Metrics = NewMetrics(nil)
	}
	g.reset("first contact", time.Now())
	return g
}

// reset takes the server as cold and of an unknown life.
func (g *Gate) reset(why string, now time.Time) {
	g.ramp = NewRamp(RampConfig{
		Floor:        g.place.ColdBears,
		Ceiling:      Ceiling(g.place.Slots),
		StepTime:     g.place.WarmStepTime,
		StepRequests: g.place.WarmStepRequests,
	}, now)
	g.window = NewWindow(g.place.Slots)
	g.shedsInRow = 0
	g.coldWhy = why
	if g.config.Policy.NoRamp {
		g.ramp.step = g.ramp.config.Ceiling
	}
}

// Update takes over a changed publication of the server.
func (g *Gate) Update(p shuntconfig.ServerPlace) {
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
func (g *Gate) newLife() {
	g.life++
	g.dropIdle()
}

func (g *Gate) dropIdle() {
	for _, c := range append(g.idle, g.spare...) {
		_ = c.conn.Close()
		g.open--
	}
	g.idle, g.spare = nil, nil
}

// Run runs r on the server within its deadline and returns what became of it.
func (g *Gate) Run(ctx context.Context, r SubRequest) SubReply {
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
	if s.cold {
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
func (g *Gate) takeSuspect(ctx context.Context, r SubRequest) bool {
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

func (g *Gate) report(out SubReply, began time.Time) SubReply {
	out.Latency = time.Since(began)
	g.mu.Lock()
	out.InFlight = g.running + g.fresh + len(g.queue)
	out.Window = g.limit()
	g.mu.Unlock()
	return out
}

func (g *Gate) limit() int {
	if g.config.Policy.NoWindow {
		return g.place.Connections
	}
	n := g.window.Limit()
	if !g.ramp.Warm() {
		n = g.ramp.Limit()
	}
	if g.config.Policy.Share > 1 {
		n = max(1, n/g.config.Policy.Share)
	}
	return n
}

func (g *Gate) freshLimit() int {
	if g.config.Policy.NoRamp {
		return g.place.Connections
	}
	return g.place.ColdBears
}

func (g *Gate) openLimit() int {
	return max(1, g.place.Connections/connectionShare)
}

// acquire waits for a slot. It returns nil and the reason when r can't run.
func (g *Gate) acquire(ctx context.Context, r SubRequest) (*slot, refusal) {
	g.mu.Lock()
	now := time.Now()
	if no, bad := g.refuse(r, now); bad {
		g.mu.Unlock()
		return nil, no
	}
	if len(g.queue) == 0 {
		s, no := g.take(now)
		if s != nil || no.reason != shuntoutcome.None {
			g.mu.Unlock()
			return s, no
		}
	}
	w, no := g.enqueue(r)
	g.mu.Unlock()
	if w == nil {
		return nil, no
	}
	return g.wait(ctx, w)
}

// refuse says whether r can be refused before it queues.
func (g *Gate) refuse(r SubRequest, now time.Time) (refusal, bool) {
	if g.place.Draining {
		return refusal{reason: shuntoutcome.ServerLeaving}, true
	}
	if !now.Before(r.Deadline) {
		return refusal{reason: shuntoutcome.DeadlinePassed}, true
	}
	l := g.config.Leases.Lease(g.id, now)
	if !l.Held && (l.Owner != "" || !g.mayShare()) {
		g.leave(l)
		return refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}, true
	}
	return refusal{}, false
}

// leave closes what an owner keeps, once another VM is known to be the owner.
func (g *Gate) leave(l LeaseState) {
	if l.Owner == "" {
		return
	}
	g.dropIdle()
	g.refuseAll(shuntoutcome.NotOwner)
}

// mayShare says whether the server may get requests without a lease: only a
// warm one, and only over connections confirmed for its present life.
func (g *Gate) mayShare() bool {
	return g.ramp.Warm() && (len(g.idle) > 0 || g.running > 0)
}

// take returns a slot when there is room now. Without a slot, a reason other
// than None means that waiting is of no use.
func (g *Gate) take(now time.Time) (*slot, refusal) {
	l := g.config.Leases.Lease(g.id, now)
	limit := g.limit()
	if !l.Held && l.Owner != "" {
		return nil, refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}
	}
	if !l.Held {
		limit = max(1, limit/max(1, l.Voters))
	}
	if g.running+g.fresh >= limit {
		return nil, refusal{}
	}
	if c := g.takeLast(&g.idle, now); c != nil {
		g.running++
		s := &slot{conn: c, life: g.life, cold: !g.ramp.Warm()}
		if s.cold {
			s.until = l.Until.Add(-expiryMargin)
		}
		return s, refusal{}
	}
	if !l.Held {
		return nil, refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}
	}
	if g.fresh >= g.freshLimit() {
		return nil, refusal{}
	}
	if c := g.takeLast(&g.spare, now); c != nil {
		g.fresh++
		return &slot{conn: c, fresh: true, cold: true, until: l.Until.Add(-expiryMargin)}, refusal{}
	}
	if g.open >= g.openLimit() {
		return nil, refusal{}
	}
	if now.Before(g.dialAfter) {
		if g.running+g.fresh > 0 {
			return nil, refusal{}
		}
		return nil, refusal{reason: shuntoutcome.ConnectFailed}
	}
	g.fresh++
	g.open++
	return &slot{fresh: true, cold: true, until: l.Until.Add(-expiryMargin)}, refusal{}
}

// takeLast returns the connection used last, and closes those unused too long
// and those that the server has closed. A request must not find out: it could
// not be told from one that the server died of.
func (g *Gate) takeLast(from *[]*pooled, now time.Time) *pooled {
	for n := len(*from); n > 0; n = len(*from) {
		c := (*from)[n-1]
		*from = (*from)[:n-1]
		idle := now.Sub(c.lastUsed)
		if idle < idleLimit && (idle < aliveAfter || c.conn.Alive()) {
			return c
		}
		_ = c.conn.Close()
		g.open--
	}
	return nil
}

func (g *Gate) enqueue(r SubRequest) (*waiter, refusal) {
	g.arrived++
	w := &waiter{class: r.Class, deadline: r.Deadline.Add(-g.latency), sequence: g.arrived, ready: make(chan turn, 1)}
	if !time.Now().Before(w.deadline) {
		return nil, refusal{reason: shuntoutcome.QueueTimeout}
	}
	g.queue.add(w)
	if len(g.queue) <= queuePerSlot*g.place.Slots {
		return w, refusal{}
	}
	out := g.queue.worst()
	g.queue.remove(out)
	if out == w {
		return nil, refusal{reason: shuntoutcome.QueueFull}
	}
	out.ready <- turn{refusal: refusal{reason: shuntoutcome.QueueFull}}
	return w, refusal{}
}

func (g *Gate) wait(ctx context.Context, w *waiter) (*slot, refusal) {
	t := time.NewTimer(time.Until(w.deadline))
	defer t.Stop()
	why := shuntoutcome.QueueTimeout
	select {
	case x := <-w.ready:
		return x.slot, x.refusal
	case <-t.C:
	case <-ctx.Done():
		why = shuntoutcome.Cancelled
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if !removed {
		// The turn was given at the same moment; it must not be lost.
		x := <-w.ready
		return x.slot, x.refusal
	}
	return nil, refusal{reason: why}
}

// serveQueue gives slots to waiters while there is room.
func (g *Gate) serveQueue(now time.Time) {
	for {
		w := g.queue.first()
		if w == nil {
			return
		}
		s, no := g.take(now)
		if s == nil && no.reason == shuntoutcome.None {
			return
		}
		g.queue.takeFirst()
		w.ready <- turn{slot: s, refusal: no}
	}
}

func (g *Gate) refuseAll(why shuntoutcome.Reason) {
	for len(g.queue) > 0 {
		g.queue.takeFirst().ready <- turn{refusal: refusal{reason: why}}
	}
}

// connect opens the connection of s and reports whether it could.
func (g *Gate) connect(ctx context.Context, s *slot) bool {
	g.mu.Lock()
	address := g.place.Address
	g.mu.Unlock()
	c, err := g.config.Connector.Connect(ctx, address)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.dialBackoff = 0
		s.conn = &pooled{conn: c, lastUsed: now}
		return true
	}
	g.config.Metrics.ConnectFailures.Inc()
	g.fresh--
	g.open--
	if ctx.Err() == nil {
		g.connectFailed(err, now)
	}
	g.serveQueue(now)
	return false
}

func (g *Gate) connectFailed(err error, now time.Time) {
	g.dialBackoff = min(max(dialBackoffFirst, 2*g.dialBackoff), dialBackoffLimit)
	g.dialAfter = now.Add(g.dialBackoff)
	if g.running == 0 && len(g.idle) == 0 && g.start != "" {
		// Nothing of the known process answers any more.
		g.start = ""
		g.newLife()
		g.reset("connection refused", now)
		klog.InfoS("Backend server taken as cold", "server", g.id, "reason", "connection refused", "err", err.Error())
	}
}

// mayDispatch reads the lease once more.
func (g *Gate) mayDispatch(s *slot, now time.Time) (refusal, bool) {
	l := g.config.Leases.Lease(g.id, now)
	if l.Held {
		return refusal{}, true
	}
	if l.Owner == "" && !s.cold && !s.fresh {
		return refusal{}, true
	}
	return refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}, false
}

// giveBack returns a slot that was not used.
func (g *Gate) giveBack(s *slot) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uncount(s)
	if s.fresh || s.life != g.life {
		// An unconfirmed connection is not kept: nothing is known of its end.
		_ = s.conn.conn.Close()
		g.open--
	} else {
		g.idle = append(g.idle, s.conn)
	}
	g.serveQueue(now)
}

func (g *Gate) uncount(s *slot) {
	if s.fresh {
		g.fresh--
		return
	}
	g.running--
}
