package shuntcall

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// maxRequestsSent limits how often one call is sent to servers, including attempts
	// that are refused.
	maxRequestsSent = 5
	// declinedBackoff is the wait before servers are tried again after all of them
	// declined.
	declinedBackoff = 8 * time.Millisecond
	// hedgeReserve is the fraction of the retry budget that hedges leave for retries.
	hedgeReserve = 0.25
	// connWaitFraction is the fraction of the latency goal for which an attempt waits
	// while all of this VM's connections to a server are in use.
	connWaitFraction = 0.5
	// hedgeLatencyFactor is the multiple of a server's typical latency after which its
	// answer is late, and minHedgeDelay the least time before it counts as late.
	hedgeLatencyFactor = 3
	minHedgeDelay      = 10 * time.Millisecond
	// slowConnect is the time after which a server that has not accepted a connection is
	// unreachable for a while, though this VM may have stopped waiting: others accept
	// within a round trip.
	slowConnect = 40 * time.Millisecond
	// connReserve is the fraction of a server's connections that is left unused for
	// VMs that do not know of each other yet.
	connReserve = 0.2
)

// Why an attempt is made.
const (
	whyFirst = "First"
	whyHedge = "Hedge"
	whyRetry = "Retry"
)

// Fleet provides what a Caller needs to know about the other VMs.
type Fleet interface {
	// Share returns this VM's fraction of the limits of backend servers.
	Share() float64
	// IsResponsibleFor reports whether this VM is the one that sends requests to a
	// cold server.
	IsResponsibleFor(server string) bool
	// Delegates returns the other VMs that can gather shards for this one.
	Delegates() []Delegate
	// Helpers returns the other VMs that can serve requests for this one where it does
	// not reach the servers itself.
	Helpers() []Delegate
	// OthersLostLinks reports whether other VMs have lost their links to the backend
	// servers, and this VM may be asked to serve in their place.
	OthersLostLinks() bool
	// InCharge returns the one VM that runs the request with the fingerprint while it is a
	// suspect: one of the regions, or of any if there are none. self is true if that is
	// this VM. It returns false if there is none, as far as this VM can know.
	InCharge(fingerprint uint64, regions []string) (vm Delegate, self, ok bool)
}

// Config configures a Caller.
type Config struct {
	Pool     *shuntupstream.Pool
	Balancer *shuntbalance.Balancer
	// Self is this VM as others see it.
	Self Delegate
	// ShardsPerCore is the number of shards of a query that one core should query at
	// most. Wider queries are divided among the VMs of the region.
	ShardsPerCore float64
	// DelegatePool holds the connections to other VMs, and DelegateBalancer chooses
	// among those VMs.
	DelegatePool     *shuntupstream.Pool
	DelegateBalancer *shuntbalance.Balancer
	Budget           *shuntbalance.RetryBudget
	ColdLimiter      *shuntbalance.ColdLimiter
	// RateLimiter holds the limits that servers have named.
	RateLimiter *shuntbalance.RateLimiter
	// Links tells whether this VM reaches servers at all. It learns of all connections
	// that Pool opens.
	Links *shuntbalance.Links
	// Notices holds what servers say of themselves.
	Notices *shuntbalance.Notices
	// Throttle limits queries to overloaded indexes.
	Throttle *shuntbalance.Throttle
	Fleet    Fleet
	Group    *shuntgroup.Group
	// View returns the current view.
	View func() *shuntroute.View
	// ColdRate returns the number of requests per second that a cold server of the
	// service may receive from all VMs together.
	ColdRate func(shuntroute.Service) float64
	Headers  shuntupstream.Headers
	Metrics  *Metrics
	// Guard and CrashDetector protect servers from requests that crash them.
	Guard         *shuntguard.Guard
	CrashDetector *shuntguard.CrashDetector
}

// Caller sends requests to the servers of services.
type Caller struct {
	config       Config
	attempts     atomic.Uint64
	networkTimes networkTimes
	health       delegateHealth
	relays       serviceRelays
	// triedAt is when a request was last tried though this VM has lost its links.
	triedAt atomic.Int64
	// proving is true while servers are connected to until one is reached.
	proving atomic.Bool
}

// New returns a Caller.
func New(c Config) *Caller { return &Caller{config: c} }

// Attempts returns the number of attempts made so far.
func (c *Caller) Attempts() uint64 { return c.attempts.Load() }

// Prune discards what is known of VMs that are no longer used as delegates, and of requests
// that were lost some time ago.
func (c *Caller) Prune(now time.Time) {
	c.health.prune(now)
	c.relays.prune(now)
	c.config.CrashDetector.Prune(now)
}

// Call is one request to one service.
type Call struct {
	Route   *shuntroute.Route
	Service shuntroute.Service
	Request shuntupstream.Request
	// HedgeAfter is the time after which a second server is tried; 0 disables hedging.
	// With HedgeByLatency, that is earlier if the first server usually answers faster.
	HedgeAfter     time.Duration
	HedgeByLatency bool
	// Fingerprint identifies the content of the request. SingleServer allows the
	// request to run on one server only.
	Fingerprint  uint64
	SingleServer bool
	// gate is common to the shards of a query; nil if there are none.
	gate *retryGate
}

// CallStatus is the final status of a call.
type CallStatus int

// The statuses of calls.
const (
	// Served means that Reply is a successful response.
	Served CallStatus = iota
	// Refused means that no server ran the request and none will.
	Refused
	// Faulted means that the request may have run. Reply is a server's error response,
	// if there was one.
	Faulted
	// Expired means that the context ended after the request may have been sent.
	Expired
)

var callStatusNames = map[CallStatus]string{Served: "Served", Refused: "Refused", Faulted: "Faulted", Expired: "Expired"}

// String returns the name of the status.
func (e CallStatus) String() string { return callStatusNames[e] }

// Result is the result of a call.
type Result struct {
	Status CallStatus
	Reply  shuntupstream.Reply
	// HasReply reports whether Reply came from a server.
	HasReply bool
	Server   string
	// Latency is the duration of the successful attempt.
	Latency time.Duration
	// Attempts is the number of attempts made.
	Attempts int
	Reason   string
	// Lost is true if a server may have run the request and has not answered.
	Lost bool
	// Unreachable is true if the request was refused only because this VM reached no
	// server. Others may.
	Unreachable bool
	// RetryAt is when a refused request may be served; zero if that is not known.
	RetryAt time.Time
}

type attemptResult struct {
	server  shuntroute.Server
	outcome shuntupstream.Outcome
	started time.Time
}

// call is the state of a running call.
type call struct {
	caller  *Caller
	call    Call
	ctx     context.Context
	results chan attemptResult
	tried   []shuntbalance.Incarnation
	// sentOn holds the connections on which the request was sent.
	sentOn     []uint64
	started    time.Time
	open       int
	attempts   int
	mayHaveRun int
	// lost is true if an attempt that may have run got no answer.
	lost bool
	// unreachable is true while all attempts have failed to reach their server.
	unreachable bool
	// decides is true while this call is the one for which others wait at the gate.
	decides bool
	last    attemptResult
	hasLast bool
}

// Do runs the call until it succeeds, cannot succeed, or ctx ends.
func (c *Caller) Do(ctx context.Context, in Call) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.config.Budget.RecordRequest(in.Service.Name)
	r := &call{caller: c, call: in, ctx: ctx, started: time.Now(), results: make(chan attemptResult, maxRequestsSent)}
	first, ok := r.choose(false)
	if !ok || !r.launch(whyFirst, first) {
		return r.finish("no backend server can be asked")
	}
	r.unreachable = true
	return r.loop(first)
}

func (r *call) loop(first shuntroute.Server) Result {
	defer r.leaveGate(gateOpen)
	hedge := r.hedgeTimer(first)
	defer hedge.Stop()
	for {
		select {
		case e := <-r.results:
			r.open--
			if res, done := r.handleResult(e); done {
				return res
			}
		case <-hedge.C:
			r.hedge()
		case <-r.ctx.Done():
			r.drain()
			return r.finish(r.ctx.Err().Error())
		}
	}
}

// drain waits for the attempts that the end of the context has cancelled, to find
// out whether any of them may have run.
func (r *call) drain() {
	for r.open > 0 {
		e := <-r.results
		r.open--
		r.count(e)
	}
}

// count records whether the request may have run in an attempt without success.
func (r *call) count(e attemptResult) {
	if e.outcome.Status.MayHaveRun() {
		r.mayHaveRun++
		r.lost = r.lost || e.outcome.Status != shuntupstream.Answered
	}
}

func (r *call) hedgeTimer(first shuntroute.Server) *time.Timer {
	if r.call.HedgeAfter <= 0 || !r.call.Route.Idempotent {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	after := r.call.HedgeAfter
	if r.call.HedgeByLatency {
		after = min(after, max(minHedgeDelay, hedgeLatencyFactor*r.caller.config.Balancer.TypicalLatency(first)))
	}
	return time.NewTimer(after)
}

// hedge tries a second server if there is one that can be reached; the budget is not
// spent on others.
func (r *call) hedge() {
	if !r.mayLaunch() {
		return
	}
	s, ok := r.choose(true)
	if !ok {
		return
	}
	if !r.takeBudget(hedgeReserve) {
		r.giveBack(s)
		return
	}
	r.launch(whyHedge, s)
}

// handleResult processes the result of one attempt and reports whether the call is
// over.
func (r *call) handleResult(e attemptResult) (Result, bool) {
	switch e.outcome.Status {
	case shuntupstream.Answered, shuntupstream.Declined:
		r.leaveGate(gateAnswered)
	case shuntupstream.Broken:
		r.leaveGate(gateBroken)
	}
	if e.outcome.Status == shuntupstream.Answered && r.isSuccess(e.outcome.Reply) {
		return Result{Status: Served, Reply: e.outcome.Reply, HasReply: true, Server: e.server.ID, Attempts: r.attempts, Latency: time.Since(e.started)}, true
	}
	// Only the last failure may be passed on.
	r.call.Request.Held.Add(-r.last.outcome.Reply.Held)
	r.last, r.hasLast = e, true
	r.sentOn = append(r.sentOn, e.outcome.Conn)
	r.unreachable = r.unreachable && e.outcome.Status == shuntupstream.NotSent
	r.count(e)
	klog.InfoS("Attempt failed", "request", r.call.Request.ID, "service", r.call.Service.Name, "server", e.server.ID,
		"status", e.outcome.Status, "code", e.outcome.Reply.Code, "reason", errorText(e.outcome.Err), "after", time.Since(e.started).Milliseconds(), "asked", r.attempts)
	if e.outcome.Status == shuntupstream.Answered && isFinal(e.outcome.Reply) {
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

// isSuccess reports whether a response is successful and signed by the server.
func (r *call) isSuccess(p shuntupstream.Reply) bool {
	return p.Code >= 200 && p.Code < 300 && p.Header.Get(r.caller.config.Headers.Signature) != ""
}

// isFinal reports whether the request itself is at fault, so that other servers
// would answer the same.
func isFinal(p shuntupstream.Reply) bool { return p.Code >= 300 && p.Code < 500 }

// canPassOn reports whether a server's error response may be passed on to the
// caller. An unsigned success did not come from the server itself, and some status
// codes tell callers that the request has not run, which the server did not say.
func canPassOn(p shuntupstream.Reply) bool {
	switch p.Code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return p.Code >= 300
}

// mayLaunch reports whether the request's limits allow one more attempt.
func (r *call) mayLaunch() bool {
	if r.call.SingleServer && r.open+r.mayHaveRun > 0 {
		return false
	}
	if r.attempts >= maxRequestsSent || r.open+r.mayHaveRun >= r.call.Route.MaxAttempts {
		return false
	}
	return r.call.Route.Idempotent || (r.open == 0 && r.mayHaveRun == 0)
}

func (r *call) takeBudget(reserve float64) bool {
	return r.caller.config.Budget.Allow(r.call.Service.Name, reserve)
}

// retry makes one more attempt after the failed attempt e: immediately if an untried
// server is left, or after a backoff if all servers have declined.
func (r *call) retry(e attemptResult) bool {
	if r.ctx.Err() != nil || !r.mayLaunch() {
		return false
	}
	free := e.outcome.Status == shuntupstream.NotSent || e.outcome.Status == shuntupstream.NoRoom
	s, ok := r.choose(true)
	mayRetry := (e.outcome.Status != shuntupstream.Broken || !ok || r.enterGate()) && (free || r.takeBudget(0))
	if ok && !mayRetry {
		r.giveBack(s)
	}
	if !mayRetry {
		return false
	}
	if ok {
		return r.launch(whyRetry, s)
	}
	if r.open > 0 || e.outcome.Status == shuntupstream.Misdirected || e.outcome.Status == shuntupstream.NotSent || e.outcome.Status.MayHaveRun() {
		return false
	}
	r.tried = nil
	t := time.NewTimer(declinedBackoff)
	defer t.Stop()
	select {
	case <-t.C:
		s, ok := r.choose(false)
		return ok && r.launch(whyRetry, s)
	case <-r.ctx.Done():
		return false
	}
}

// enterGate reports whether another server may be tried after a connection broke, as far
// as the other shards of the query are concerned.
func (r *call) enterGate() bool {
	decides, ok := r.call.gate.enter(r.ctx)
	r.decides = decides
	return ok
}

// leaveGate tells the other shards of the query how this one has ended, if they wait for it.
func (r *call) leaveGate(v gateVerdict) {
	if r.decides {
		r.decides = false
		r.call.gate.leave(v)
	}
}

// launch starts an attempt at the server.
func (r *call) launch(why string, s shuntroute.Server) bool {
	r.tried = append(r.tried, shuntbalance.IncarnationOf(s))
	r.attempts++
	r.open++
	if r.caller.config.RateLimiter.Limited(s) {
		r.caller.config.Metrics.limited[why].Inc()
	}
	if why != whyFirst {
		r.caller.config.Metrics.ExtraAttempts.Inc()
		klog.InfoS("Further attempt", "request", r.call.Request.ID, "service", r.call.Service.Name, "server", s.ID, "why", why, "asked", r.attempts,
			"after", time.Since(r.started).Milliseconds(), "revision", r.caller.config.View().Revision)
	}
	in := r.call
	in.Request.SentOn = slices.Clone(r.sentOn)
	if !r.caller.config.Group.Go(func() {
		// A panic loses the answer, so the request may have run.
		result := attemptResult{server: s, outcome: shuntupstream.Outcome{Status: shuntupstream.Broken, Err: errPanicked}, started: time.Now()}
		shuntgroup.Protect("attempt", func() { result = r.caller.attempt(r.ctx, in, s) })
		r.results <- result
	}) {
		r.open--
		r.giveBack(s)
		return false
	}
	return true
}

// choose returns the best remaining server whose limits allow the request, of the class
// that is asked most readily. reachable excludes servers that were recently unreachable.
// The request counts for the limits of the server that is returned.
func (r *call) choose(reachable bool) (shuntroute.Server, bool) {
	classes := r.caller.byClass(r.call.Route, r.call.Service.Name)
	for class, servers := range classes[:unusable] {
		if s, ok := r.chooseAllowed(servers, serverClass(class), reachable); ok {
			return s, true
		}
	}
	return shuntroute.Server{}, false
}

// chooseAllowed returns the best remaining server whose limits allow the request.
func (r *call) chooseAllowed(servers []shuntroute.Server, class serverClass, reachable bool) (shuntroute.Server, bool) {
	exclude := r.tried
	for {
		s, ok := r.caller.config.Balancer.Choose(servers, shuntbalance.ChooseOptions{Exclude: exclude, Reachable: reachable})
		if !ok || r.take(s, class) {
			return s, ok
		}
		exclude = append(slices.Clone(exclude), shuntbalance.IncarnationOf(s))
	}
}

// take reports whether the server's limits allow the request, and if so counts it.
func (r *call) take(s shuntroute.Server, class serverClass) bool {
	c := r.caller.config
	id := shuntbalance.IncarnationOf(s)
	if !c.RateLimiter.Take(s) {
		c.Metrics.HeldBack.Inc()
		return false
	}
	// A leaving server may be cold too.
	cold := class == coldOwn || (class == leaving && s.Cold(time.Now()))
	switch {
	case cold && !c.ColdLimiter.Allow(id, c.ColdRate(r.call.Service)):
	case !c.Notices.Take(id):
	case r.call.SingleServer && !c.CrashDetector.BeginTrial(s.ID):
		c.Notices.End(id, time.Now(), false)
	default:
		return true
	}
	c.RateLimiter.Refund(s)
	return false
}

// giveBack takes back a request that take has counted and that was not sent.
func (r *call) giveBack(s shuntroute.Server) {
	c := r.caller.config
	c.RateLimiter.Refund(s)
	c.Notices.End(shuntbalance.IncarnationOf(s), time.Now(), false)
	if r.call.SingleServer {
		c.CrashDetector.EndTrial(s.ID)
	}
}

func (c *Caller) attempt(ctx context.Context, in Call, s shuntroute.Server) attemptResult {
	started := time.Now()
	c.attempts.Add(1)
	a := c.config.Balancer.Begin(s)
	share := float64(in.Service.MaxConns) * (1 - connReserve) * c.config.Fleet.Share()
	to := shuntupstream.Server{ID: s.ID, Address: s.Address, MaxConns: max(1, int(share)), CloseAfterUse: share < 1,
		MaxWait: time.Duration(connWaitFraction * float64(in.Route.LatencyGoal))}
	o := c.config.Pool.Do(ctx, to, in.Route.Idempotent, in.Request)
	sent := o.Status != shuntupstream.NotSent && o.Status != shuntupstream.NoRoom
	if !sent {
		c.config.RateLimiter.Refund(s)
	}
	result := balancerResult(ctx, o, time.Since(started))
	if c.observeNotices(s, o, started) {
		// The pause is enough; after it the server is as good as before.
		result = shuntbalance.Inconclusive
	}
	c.config.Notices.End(shuntbalance.IncarnationOf(s), started, sent)
	if in.SingleServer {
		c.config.CrashDetector.EndTrial(s.ID)
	}
	c.config.Balancer.End(s, a, result)
	c.detectCrash(ctx, in, s, o, started)
	c.observeLimit(s, o)
	c.config.Metrics.attempt(o, time.Since(started))
	return attemptResult{server: s, outcome: o, started: started}
}

// observeLimit records whether the server limits its rate of requests. A reply from
// another server at the same address says nothing about it.
func (c *Caller) observeLimit(s shuntroute.Server, o shuntupstream.Outcome) {
	if o.Status != shuntupstream.Answered && o.Status != shuntupstream.Declined {
		return
	}
	perSecond, named, err := o.Reply.RateLimit(c.config.Headers)
	switch {
	case err != nil:
		klog.InfoS("Rate limit of a backend server not understood", "server", s.ID, "service", s.Service, "reason", err.Error())
	case named:
		c.config.RateLimiter.Limit(s, perSecond)
	default:
		c.config.RateLimiter.Unlimit(s)
	}
}

// observeNotices records whether the server says that it is leaving, or wants no requests
// for a time, which it returns. An answer from another server at the same address says
// nothing about it.
func (c *Caller) observeNotices(s shuntroute.Server, o shuntupstream.Outcome, begun time.Time) (paused bool) {
	if o.Status != shuntupstream.Answered && o.Status != shuntupstream.Declined {
		return false
	}
	c.config.Notices.Answered(s, begun, o.Reply.Leaving(c.config.Headers))
	d, asked, err := o.Reply.Pause()
	if err != nil {
		c.config.Notices.Misunderstood(s, err)
	}
	if asked {
		c.config.Notices.Pause(s, d)
	}
	return asked
}

// balancerResult returns what the outcome of an exchange says about the server. ctx is
// that of the exchange, and took its duration.
func balancerResult(ctx context.Context, o shuntupstream.Outcome, took time.Duration) shuntbalance.Result {
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
		if ctx.Err() != nil && took < slowConnect {
			// This VM stopped waiting before that said anything about the server.
			return shuntbalance.Abandoned
		}
		return shuntbalance.Unreachable
	case shuntupstream.Cancelled:
		return shuntbalance.Abandoned
	}
	return shuntbalance.Inconclusive
}

// finish returns the result of a call without a success. The request is reported as
// not run only if no attempt is open and none may have run.
func (r *call) finish(reason string) Result {
	res := Result{Attempts: r.attempts, Reason: reason, Server: r.last.server.ID, Lost: r.lost || r.open > 0}
	switch {
	case r.open == 0 && r.mayHaveRun == 0:
		res.Status = Refused
		res.RetryAt = r.caller.stateOf(r.call.Route, r.call.Service.Name, r.caller.config.Balancer.Down).until
		res.Unreachable = r.unreachable && r.ctx.Err() == nil
	case r.ctx.Err() != nil:
		res.Status = Expired
	default:
		res.Status = Faulted
	}
	if r.hasLast && r.last.outcome.Status == shuntupstream.Answered && canPassOn(r.last.outcome.Reply) {
		res.Reply, res.HasReply = r.last.outcome.Reply, true
	}
	return res
}

// errPanicked is the reason of an attempt that ended with a panic.
var errPanicked = errors.New("the attempt panicked")

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
