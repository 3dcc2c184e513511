package shuntentry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntclaim"
	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

// RPC names for calls between daemons.
const (
	ServiceName   = "Entry"
	MethodForward = ServiceName + ".Forward"
)

const (
	// maxRecentAnswers is the number of answers kept for Explain.
	maxRecentAnswers = 512
	// forwardMargin is the part of the deadline reserved for the reply of a
	// forwarded request.
	forwardMargin = 5 * time.Millisecond
	// maxQueries limits the concurrent queries on one VM to bound its memory.
	maxQueries = 4096
)

// Runner runs queries. *shuntquery.Coordinator implements it.
type Runner interface {
	Run(ctx context.Context, t *shuntconfig.Tree, q shuntquery.Query) shuntquery.Answer
}

// Caller makes RPC calls to other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config holds the dependencies and options of a Frontend.
type Config struct {
	VM        string
	Start     string
	View      func() *shuntfleet.View
	Runner    Runner
	Caller    Caller
	Metrics   *metrics.Set
	Admission AdmissionConfig
	// Random is the source of random numbers; nil means one with a random seed.
	Random *shuntrandom.Source
}

// Frontend handles callers' requests, from HTTP or forwarded by other VMs.
type Frontend struct {
	config   Config
	registry *shuntclaim.Registry[shuntquery.Answer]
	metrics  *Metrics

	// stopped is set once the VM accepts no new requests.
	stopped atomic.Bool
	running atomic.Int64
	group   sync.WaitGroup

	mu          sync.Mutex
	limiters    map[string]*AdmissionLimiter
	recent      map[string]shuntquery.Answer
	recentOrder []string
}

// NewFrontend returns a Frontend.
func NewFrontend(c Config) *Frontend {
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	return &Frontend{
		config:   c,
		registry: shuntclaim.NewRegistry[shuntquery.Answer](shuntclaim.Config{VM: c.VM, Start: c.Start}),
		metrics:  NewMetrics(c.Metrics),
		limiters: map[string]*AdmissionLimiter{},
		recent:   map[string]shuntquery.Answer{},
	}
}

// Load returns the number of queries in progress, including queued ones.
func (f *Frontend) Load() int { return int(f.running.Load()) }

// StopAccepting makes the Frontend refuse all further queries.
func (f *Frontend) StopAccepting() { f.stopped.Store(true) }

// IssueTickets returns n new tickets, or the maximum batch size if n is larger.
func (f *Frontend) IssueTickets(n int) []string {
	ts := f.registry.Issue(n)
	out := make([]string, len(ts))
	for i, t := range ts {
		out[i] = t.String()
	}
	return out
}

// Handle answers a caller's request within wait. A wait of 0, or one longer than
// the workspace's deadline, means the workspace's deadline.
func (f *Frontend) Handle(ctx context.Context, workspace, id string, r Request, wait time.Duration) shuntquery.Answer {
	start := time.Now()
	a := f.route(ctx, workspace, id, r, wait)
	f.metrics.recordAnswer(workspace, a, time.Since(start))
	f.recordRecent(a)
	klog.V(1).InfoS("Query answered", "query", id, "workspace", workspace, "outcome", a.Outcome, "reason", a.Reason,
		"answered", a.Answered, "total", a.Total, "sent", a.Sent, "hedges", a.Hedges, "retries", a.Retries, "took", time.Since(start))
	if len(a.Missing) > 0 {
		klog.V(1).InfoS("Shards missing", "query", id, "workspace", workspace, "vm", f.config.VM, "missing", describeMissing(a))
	}
	return a
}

// describeMissing describes the first few missing shards of an answer for the log.
func describeMissing(a shuntquery.Answer) string {
	const maxShards = 4
	var b strings.Builder
	for _, h := range a.Route {
		if h.Reason == shuntoutcome.None {
			continue
		}
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s at %s by %s, %d attempts, %v", h.Shard, h.Server, h.Owner, h.Attempts, h.Reason)
		if strings.Count(b.String(), ";") >= maxShards-1 {
			break
		}
	}
	return b.String()
}

// route runs an idempotent request here. A request with a ticket runs on the VM
// that issued the ticket.
func (f *Frontend) route(ctx context.Context, workspace, id string, r Request, wait time.Duration) shuntquery.Answer {
	q := shuntquery.Query{ID: id, Workspace: workspace, Body: []byte(r.Query), Idempotent: r.Idempotent, Limit: r.Limit}
	v := f.config.View()
	p := v.Tree.Plan(workspace)
	if p == nil {
		return refuseBeforeClaim(q, r, shuntoutcome.NoWorkspace)
	}
	if wait <= 0 || wait > p.Workspace.Deadline {
		wait = p.Workspace.Deadline
	}
	q.Deadline = time.Now().Add(wait)
	if r.Idempotent {
		return f.runAdmitted(ctx, v, p.Workspace, q)
	}
	if r.Ticket == "" {
		return shuntquery.Refuse(q, shuntoutcome.NoTicket)
	}
	t, ok := shuntclaim.ParseTicket(r.Ticket)
	if !ok {
		return shuntquery.Refuse(q, shuntoutcome.BadTicket)
	}
	if !f.registry.IssuedHere(t) {
		return f.forward(ctx, v, q, t)
	}
	return f.runOnce(ctx, v, p.Workspace, q, t)
}

// refuseBeforeClaim refuses a request whose ticket was not checked yet. A request
// with a ticket may already have run on another VM, so its outcome is Unknown.
func refuseBeforeClaim(q shuntquery.Query, r Request, reason shuntoutcome.Reason) shuntquery.Answer {
	a := shuntquery.Refuse(q, reason)
	if _, ok := shuntclaim.ParseTicket(r.Ticket); ok && !r.Idempotent {
		a.Outcome = shuntoutcome.Unknown
	}
	return a
}

// runAdmitted runs q if the VM accepts queries and the workspace's limit permits it.
func (f *Frontend) runAdmitted(ctx context.Context, v *shuntfleet.View, w shuntconfig.Workspace, q shuntquery.Query) shuntquery.Answer {
	// The query must be counted before stopped is read. Then a shutdown that
	// finds no running query can be sure that all later ones are refused.
	n := f.running.Add(1)
	defer f.running.Add(-1)
	switch {
	case f.stopped.Load():
		return shuntquery.Refuse(q, shuntoutcome.ShuttingDown)
	case v.Isolated, !v.Self.Ready:
		return shuntquery.Refuse(q, shuntoutcome.Isolated)
	case n > maxQueries:
		return shuntquery.Refuse(q, shuntoutcome.Overloaded)
	}
	a := f.limiter(w.Name)
	if reason := a.Acquire(ctx, w, q.Deadline); reason != shuntoutcome.None {
		klog.V(1).InfoS("Query not admitted", "query", q.ID, "workspace", w.Name, "reason", reason, "limit", a.Limit())
		out := shuntquery.Refuse(q, reason)
		out.RetryAfter = a.RetryAfter()
		return out
	}
	out := f.config.Runner.Run(ctx, v.Tree, q)
	a.Release(ResultOf(out.Outcome, out.Reason), time.Now())
	return out
}

func (f *Frontend) limiter(workspace string) *AdmissionLimiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.limiters[workspace]
	if !ok {
		a = NewAdmissionLimiter(f.config.Admission)
		f.limiters[workspace] = a
	}
	return a
}

// runOnce runs a non-idempotent request if its ticket is unused. A repeat of the
// request gets the recorded answer.
func (f *Frontend) runOnce(ctx context.Context, v *shuntfleet.View, w shuntconfig.Workspace, q shuntquery.Query, t shuntclaim.Ticket) shuntquery.Answer {
	claim, first, reason := f.registry.Claim(t, shuntquery.Fingerprint(q))
	switch {
	case reason == shuntoutcome.TicketExpired:
		// The request may have run before its claim expired.
		return shuntquery.Answer{ID: q.ID, Outcome: shuntoutcome.Unknown, Reason: reason}
	case reason != shuntoutcome.None:
		return shuntquery.Refuse(q, reason)
	case first:
		// The query continues when its caller disconnects, so that a caller
		// that repeats the request gets its answer.
		a := f.runAdmitted(context.WithoutCancel(ctx), v, w, q)
		f.registry.Record(claim, a)
		return a
	}
	f.metrics.Repeats.Inc()
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	select {
	case <-claim.Done():
		a := claim.Answer()
		a.ID = q.ID
		return a
	case <-ctx.Done():
		return shuntquery.Answer{ID: q.ID, Outcome: shuntoutcome.Unknown, Reason: shuntoutcome.DeadlinePassed}
	}
}

// forward sends a request to the VM that issued its ticket. If no answer arrives,
// the outcome is Unknown, because the request may have run there now or earlier.
func (f *Frontend) forward(ctx context.Context, v *shuntfleet.View, q shuntquery.Query, t shuntclaim.Ticket) shuntquery.Answer {
	unknown := shuntquery.Answer{ID: q.ID, Outcome: shuntoutcome.Unknown, Reason: shuntoutcome.HomeGone}
	vm, ok := v.Tree.Fleet().VM(t.VM)
	if !ok || t.VM == f.config.VM {
		return unknown
	}
	f.metrics.Forwards.Inc()
	klog.V(1).InfoS("Forwarding request to VM that issued its ticket", "query", q.ID, "vm", t.VM)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	var reply ForwardReply
	err := f.config.Caller.Call(ctx, vm.PeerAddress, MethodForward, ForwardArgs{
		Workspace: q.Workspace,
		RequestID: q.ID,
		Query:     string(q.Body),
		Ticket:    t.String(),
		Limit:     q.Limit,
		Left:      time.Until(q.Deadline) - forwardMargin,
	}, &reply)
	if err != nil {
		return unknown
	}
	return reply.Answer
}

// Forward handles a request that another VM forwarded.
func (f *Frontend) Forward(a ForwardArgs, reply *ForwardReply) error {
	r := Request{Query: a.Query, Ticket: a.Ticket, Limit: a.Limit}
	t, ok := shuntclaim.ParseTicket(a.Ticket)
	if !ok || !f.registry.IssuedHere(t) {
		// The process that issued the ticket is gone. Forwarding again could
		// loop forever.
		reply.Answer = shuntquery.Answer{ID: a.RequestID, Outcome: shuntoutcome.Unknown, Reason: shuntoutcome.HomeGone}
		return nil
	}
	reply.Answer = f.Handle(context.Background(), a.Workspace, a.RequestID, r, a.Left)
	return nil
}

// recordRecent stores an answer without its rows for Explain.
func (f *Frontend) recordRecent(a shuntquery.Answer) {
	a.Rows = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.recent[a.ID]; !ok {
		f.recentOrder = append(f.recentOrder, a.ID)
	}
	f.recent[a.ID] = a
	if len(f.recentOrder) > maxRecentAnswers {
		delete(f.recent, f.recentOrder[0])
		f.recentOrder = f.recentOrder[1:]
	}
}

// Explain returns a recent answer without its rows.
func (f *Frontend) Explain(id string) (shuntquery.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.recent[id]
	return a, ok
}

// AdmissionLimits returns the current admission limit of each workspace that has
// had queries.
func (f *Frontend) AdmissionLimits() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.limiters))
	for n, a := range f.limiters {
		out[n] = a.Limit()
	}
	return out
}
