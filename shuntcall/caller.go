package shuntcall

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// maxArrivals bounds how often one call reaches servers, refusals included.
	maxArrivals = 5
	// declinedPause is the wait before servers that all declined are asked again.
	declinedPause = 8 * time.Millisecond
	// hedgeReserve is the part of the retry budget that hedges leave to retries.
	hedgeReserve = 0.25
	// roomShare is the part of the goal for which an attempt waits while all of
	// this VM's connections to a server are in use.
	roomShare = 0.5
	// connReserve is the part of a server's connections left unused, for VMs
	// that do not know of each other yet.
	connReserve = 0.2
)

// Fleet is what a caller needs to know of the other VMs.
type Fleet interface {
	// Share returns this VM's part of the limits of backend servers.
	Share() float64
	// IsResponsibleFor says whether this VM is the one that sends to a cold server.
	IsResponsibleFor(server string) bool
	// Delegates returns the VMs of other regions that may gather shards there.
	Delegates() []Delegate
}

// Config is what a Caller is made of.
type Config struct {
	Pool     *shuntupstream.Pool
	Balancer *shuntbalance.Balancer
	// Region is that of this VM.
	Region string
	// DelegatePool holds the connections to other VMs, and Delegates what was
	// seen of them.
	DelegatePool     *shuntupstream.Pool
	DelegateBalancer *shuntbalance.Balancer
	Budget           *shuntbalance.RetryBudget
	ColdLimiter      *shuntbalance.ColdLimiter
	// Throttle bounds queries to indexes that are overloaded.
	Throttle *shuntbalance.Throttle
	Fleet    Fleet
	Group    *shuntgroup.Group
	// View returns the newest view.
	View func() *shuntroute.View
	// ColdRate returns how many requests a second a cold server of the service
	// may get from all VMs together.
	ColdRate func(shuntroute.Service) float64
	Headers  shuntupstream.Headers
	Metrics  *Metrics
	// Guard and Witness keep requests that crash servers away from them.
	Guard         *shuntguard.Guard
	CrashDetector *shuntguard.CrashDetector
}

// Caller sends requests to the servers of services.
type Caller struct {
	config   Config
	attempts atomic.Uint64
	travels  travels
}

// New returns a Caller.
func New(c Config) *Caller { return &Caller{config: c} }

// Attempts returns the number of attempts so far.
func (c *Caller) Attempts() uint64 { return c.attempts.Load() }

// Call is one request to one service.
type Call struct {
	Route   *shuntroute.Route
	Service shuntroute.Service
	Request shuntupstream.Request
	// HedgeAfter is after how long a second server is tried; 0 means never.
	HedgeAfter time.Duration
	// Fingerprint identifies the content. Single allows one server only.
	Fingerprint  uint64
	SingleServer bool
}

// CallStatus is how a call ended.
type CallStatus int

// The ends of a call.
const (
	// Served: Reply is a server's success.
	Served CallStatus = iota
	// Refused: no server ran the request, and none will.
	Refused
	// Faulted: the request may have run. Reply is a server's failure, if one came.
	Faulted
	// Expired: time ran out after the request had been sent.
	Expired
)

var endNames = map[CallStatus]string{Served: "Served", Refused: "Refused", Faulted: "Faulted", Expired: "Expired"}

// String returns the end's name.
func (e CallStatus) String() string { return endNames[e] }

// Result is the end of a call.
type Result struct {
	Status CallStatus
	Reply  shuntupstream.Reply
	// HasReply says whether Reply came from a server.
	HasReply bool
	Server   string
	// Latency is the time of the attempt that was answered.
	Latency time.Duration
	// Attempts counts the servers asked.
	Attempts int
	Reason   string
}

type attemptEnd struct {
	server  shuntroute.Server
	outcome shuntupstream.Outcome
	started time.Time
}

// call is the state of one running call.
type call struct {
	caller  *Caller
	call    Call
	ctx     context.Context
	ends    chan attemptEnd
	tried   []shuntbalance.Incarnation
	started time.Time
	open    int
	asked   int
	mayRun  int
	last    attemptEnd
	hasLast bool
}

// Do runs the call until it is served, can't be, or ctx ends.
func (c *Caller) Do(ctx context.Context, in Call) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.config.Budget.RecordRequest(in.Service.Name)
	r := &call{caller: c, call: in, ctx: ctx, started: time.Now(), ends: make(chan attemptEnd, maxArrivals)}
	if !r.launch("First") {
		return r.finish("no backend server can be asked")
	}
	return r.loop()
}

func (r *call) loop() Result {
	hedge := r.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case e := <-r.ends:
			r.open--
			if res, done := r.ended(e); done {
				return res
			}
		case <-hedge.C:
			if r.mayLaunch() && r.budget(hedgeReserve) {
				r.launch("Hedge")
			}
		case <-r.ctx.Done():
			r.collect()
			return r.finish(r.ctx.Err().Error())
		}
	}
}

// collect waits for attempts that the end of the context has ended, so that it
// is known whether any of them had been sent.
func (r *call) collect() {
	for r.open > 0 {
		e := <-r.ends
		r.open--
		if e.outcome.Status.MayHaveRun() {
			r.mayRun++
		}
	}
}

func (r *call) hedgeTimer() *time.Timer {
	if r.call.HedgeAfter <= 0 || !r.call.Route.Idempotent {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(r.call.HedgeAfter)
}

// ended handles the end of one attempt and reports whether the call is over.
func (r *call) ended(e attemptEnd) (Result, bool) {
	if e.outcome.Status == shuntupstream.Answered && r.success(e.outcome.Reply) {
		return Result{Status: Served, Reply: e.outcome.Reply, HasReply: true, Server: e.server.ID, Attempts: r.asked, Latency: time.Since(e.started)}, true
	}
	r.last, r.hasLast = e, true
	if e.outcome.Status.MayHaveRun() {
		r.mayRun++
	}
	klog.InfoS("Attempt failed", "request", r.call.Request.ID, "service", r.call.Service.Name, "server", e.server.ID,
		"status", e.outcome.Status, "code", e.outcome.Reply.Code, "reason", errorText(e.outcome.Err), "after", time.Since(e.started).Milliseconds(), "asked", r.asked)
	if e.outcome.Status == shuntupstream.Answered && final(e.outcome.Reply) {
		return r.finish("the server's answer is final"), true
	}
	if r.open > 0 && e.outcome.Status.MayHaveRun() {
		return Result{}, false
	}
	if r.retry(e) {
		return Result{}, false
	}
	if r.open > 0 {
		return Result{}, false
	}
	return r.finish("no further attempt"), true
}

// success says whether a reply is what the caller asked for: a success that the
// server has signed.
func (r *call) success(p shuntupstream.Reply) bool {
	return p.Code >= 200 && p.Code < 300 && p.Header.Get(r.caller.config.Headers.Signature) != ""
}

// final says whether another server would answer the same: the fault lies with
// the request.
func final(p shuntupstream.Reply) bool { return p.Code >= 300 && p.Code < 500 }

// passable says whether a server's failure may be passed on to the caller. A
// success without a signature is not the server's answer, and some statuses
// promise callers that the request has not run, which the server did not say.
func passable(p shuntupstream.Reply) bool {
	switch p.Code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return p.Code >= 300
}

// mayLaunch says whether one more attempt keeps the request's limits.
func (r *call) mayLaunch() bool {
	if r.call.SingleServer && r.open+r.mayRun > 0 {
		return false
	}
	if r.asked >= maxArrivals || r.open+r.mayRun >= r.call.Route.MaxAttempts {
		return false
	}
	return r.call.Route.Idempotent || (r.open == 0 && r.mayRun == 0)
}

func (r *call) budget(reserve float64) bool {
	return r.caller.config.Budget.Allow(r.call.Service.Name, reserve)
}

// retry makes one more attempt after e, at once where another server is left,
// and after a pause where all have declined.
func (r *call) retry(e attemptEnd) bool {
	if r.ctx.Err() != nil || !r.mayLaunch() {
		return false
	}
	free := e.outcome.Status == shuntupstream.NotSent || e.outcome.Status == shuntupstream.NoRoom
	if !free && !r.budget(0) {
		return false
	}
	if r.launch("Retry") {
		return true
	}
	if r.open > 0 || e.outcome.Status == shuntupstream.Misdirected || e.outcome.Status == shuntupstream.NotSent || e.outcome.Status.MayHaveRun() {
		return false
	}
	r.tried = nil
	t := time.NewTimer(declinedPause)
	defer t.Stop()
	select {
	case <-t.C:
		return r.launch("Retry")
	case <-r.ctx.Done():
		return false
	}
}

// launch starts an attempt at the best server left.
func (r *call) launch(why string) bool {
	s, ok := r.choose()
	if !ok {
		return false
	}
	r.tried = append(r.tried, shuntbalance.IncarnationOf(s))
	r.asked++
	r.open++
	if why != "First" {
		r.caller.config.Metrics.ExtraAttempts.Inc()
		klog.InfoS("Further attempt", "request", r.call.Request.ID, "service", r.call.Service.Name, "server", s.ID, "why", why, "asked", r.asked,
			"after", time.Since(r.started).Milliseconds(), "revision", r.caller.config.View().Revision)
	}
	if !r.caller.config.Group.Go(func() { r.ends <- r.caller.attempt(r.ctx, r.call, s) }) {
		r.open--
		return false
	}
	return true
}

// choose returns a warm server, or where there is none a cold one that bears
// the request.
func (r *call) choose() (shuntroute.Server, bool) {
	c := r.caller.config
	now := time.Now()
	all := c.View().Servers(r.call.Service.Name)
	warm := make([]shuntroute.Server, 0, len(all))
	var cold []shuntroute.Server
	for _, s := range all {
		switch {
		case !r.call.Route.Allows(s.Region):
		case s.Cold(now):
			cold = append(cold, s)
		default:
			warm = append(warm, s)
		}
	}
	if s, ok := c.Balancer.Choose(warm, shuntbalance.ChooseOptions{Exclude: r.tried}); ok {
		return s, true
	}
	cold = slices.DeleteFunc(cold, func(s shuntroute.Server) bool { return !c.Fleet.IsResponsibleFor(s.ID) })
	s, ok := c.Balancer.Choose(cold, shuntbalance.ChooseOptions{Exclude: r.tried})
	if !ok || !c.ColdLimiter.Allow(shuntbalance.IncarnationOf(s), c.ColdRate(r.call.Service)) {
		return shuntroute.Server{}, false
	}
	return s, true
}

func (c *Caller) attempt(ctx context.Context, in Call, s shuntroute.Server) attemptEnd {
	started := time.Now()
	c.attempts.Add(1)
	a := c.config.Balancer.Begin(s)
	share := float64(in.Service.MaxConns) * (1 - connReserve) * c.config.Fleet.Share()
	to := shuntupstream.Server{ID: s.ID, Address: s.Address, MaxConns: max(1, int(share)), CloseAfterUse: share < 1,
		MaxWait: time.Duration(roomShare * float64(in.Route.LatencyGoal))}
	o := c.config.Pool.Do(ctx, to, in.Route.Idempotent, in.Request)
	c.config.Balancer.End(s, a, boardResult(o))
	c.witness(in, s, o)
	c.config.Metrics.attempt(o, time.Since(started))
	return attemptEnd{server: s, outcome: o, started: started}
}

func boardResult(o shuntupstream.Outcome) shuntbalance.Result {
	switch o.Status {
	case shuntupstream.Answered:
		if o.Reply.Code >= 500 {
			return shuntbalance.Failed
		}
		return shuntbalance.Success
	case shuntupstream.Declined, shuntupstream.Broken:
		return shuntbalance.Failed
	case shuntupstream.Misdirected:
		return shuntbalance.AddressReused
	case shuntupstream.NotSent:
		return shuntbalance.Unreachable
	case shuntupstream.Cancelled:
		return shuntbalance.Abandoned
	}
	return shuntbalance.Inconclusive
}

// finish says how a call without a success ends. It may be said not to have run
// only where no attempt is open and none may have run.
func (r *call) finish(reason string) Result {
	res := Result{Attempts: r.asked, Reason: reason, Server: r.last.server.ID}
	switch {
	case r.open == 0 && r.mayRun == 0:
		res.Status = Refused
	case r.ctx.Err() != nil:
		res.Status = Expired
	default:
		res.Status = Faulted
	}
	if r.hasLast && r.last.outcome.Status == shuntupstream.Answered && passable(r.last.outcome.Reply) {
		res.Reply, res.HasReply = r.last.outcome.Reply, true
	}
	return res
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
