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

// Names of the entry's calls between daemons.
const (
	ServiceName   = "Entry"
	MethodForward = ServiceName + ".Forward"
)

const (
	// explained is how many answers are kept for explain.
	explained = 512
	// forwardMargin is kept from the deadline for the way back.
	forwardMargin = 5 * time.Millisecond
	// maxQueries bounds the queries of one VM, and with them its memory.
	maxQueries = 4096
)

// Runner answers queries; *shuntquery.Coordinator implements it.
type Runner interface {
	Run(ctx context.Context, t *shuntconfig.Tree, q shuntquery.Query) shuntquery.Answer
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config is what a Front is made of.
type Config struct {
	VM        string
	Start     string
	View      func() *shuntfleet.View
	Runner    Runner
	Caller    Caller
	Metrics   *metrics.Set
	Admission AdmissionConfig
	// Random is the source of choices; nil takes a random seed.
	Random *shuntrandom.Source
}

// Frontend takes callers' requests, whatever they come by.
type Frontend struct {
	config  Config
	book    *shuntclaim.Registry[shuntquery.Answer]
	metrics *Metrics

	// refusing is set once the VM takes no new work.
	refusing atomic.Bool
	running  atomic.Int64
	group    sync.WaitGroup

	mu         sync.Mutex
	admissions map[string]*AdmissionLimiter
	recent     map[string]shuntquery.Answer
	order      []string
}

// NewFrontend returns a Front.
func NewFrontend(c Config) *Frontend {
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	return &Frontend{
		config:     c,
		book:       shuntclaim.NewRegistry[shuntquery.Answer](shuntclaim.Config{VM: c.VM, Start: c.Start}),
		metrics:    NewMetrics(c.Metrics),
		admissions: map[string]*AdmissionLimiter{},
		recent:     map[string]shuntquery.Answer{},
	}
}

// Load returns the number of queries that the VM works on.
func (f *Frontend) Load() int { return int(f.running.Load()) }

// StopAccepting makes the Front refuse new work from now on.
func (f *Frontend) StopAccepting() { f.refusing.Store(true) }

// IssueTickets returns n tickets of this VM.
func (f *Frontend) IssueTickets(n int) []string {
	ts := f.book.Issue(n)
	out := make([]string, len(ts))
	for i, t := range ts {
		out[i] = t.String()
	}
	return out
}

// Handle answers a caller's request. A wait of 0 takes the workspace's deadline.
func (f *Frontend) Handle(ctx context.Context, workspace, id string, r Request, wait time.Duration) shuntquery.Answer {
	began := time.Now()
	a := f.ask(ctx, workspace, id, r, wait)
	f.metrics.answered(workspace, a, time.Since(began))
	f.remember(a)
	klog.V(1).InfoS("Query answered", "query", id, "workspace", workspace, "outcome", a.Outcome, "reason", a.Reason,
		"answered", a.Answered, "total", a.Total, "sent", a.Sent, "hedges", a.Hedges, "retries", a.Retries, "took", time.Since(began))
	if len(a.Missing) > 0 {
		klog.V(1).InfoS("Shards missing", "query", id, "workspace", workspace, "vm", f.config.VM, "missing", describe(a))
	}
	return a
}

// describe tells of the missing shards of an answer, the first ones only.
func describe(a shuntquery.Answer) string {
	const most = 4
	var b strings.Builder
	for _, h := range a.Route {
		if h.Reason == shuntoutcome.None {
			continue
		}
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s at %s by %s, %d attempts, %v", h.Shard, h.Server, h.Owner, h.Attempts, h.Reason)
		if strings.Count(b.String(), ";") >= most-1 {
			break
		}
	}
	return b.String()
}

func (f *Frontend) ask(ctx context.Context, workspace, id string, r Request, wait time.Duration) shuntquery.Answer {
	q := shuntquery.Query{ID: id, Workspace: workspace, Body: []byte(r.Query), Idempotent: r.Idempotent, Limit: r.Limit}
	v := f.config.View()
	p := v.Tree.Plan(workspace)
	if p == nil {
		return refuseUnclaimed(q, r, shuntoutcome.NoWorkspace)
	}
	if wait <= 0 || wait > p.Workspace.Deadline {
		wait = p.Workspace.Deadline
	}
	q.Deadline = time.Now().Add(wait)
	if r.Idempotent {
		return f.admit(ctx, v, p.Workspace, q)
	}
	if r.Ticket == "" {
		return shuntquery.Refuse(q, shuntoutcome.NoTicket)
	}
	t, ok := shuntclaim.ParseTicket(r.Ticket)
	if !ok {
		return shuntquery.Refuse(q, shuntoutcome.BadTicket)
	}
	if !f.book.IssuedHere(t) {
		return f.forward(ctx, v, q, t)
	}
	return f.once(ctx, v, p.Workspace, q, t)
}

// refuseUnclaimed refuses a request before its ticket was looked at. One with a
// ticket may have run through another VM, so this VM can't say that it did not.
func refuseUnclaimed(q shuntquery.Query, r Request, why shuntoutcome.Reason) shuntquery.Answer {
	a := shuntquery.Refuse(q, why)
	if _, ok := shuntclaim.ParseTicket(r.Ticket); ok && !r.Idempotent {
		a.Outcome = shuntoutcome.Unknown
	}
	return a
}

// admit runs q if the VM takes work now.
func (f *Frontend) admit(ctx context.Context, v *shuntfleet.View, w shuntconfig.Workspace, q shuntquery.Query) shuntquery.Answer {
	// Counting comes before the look at refusing, so that a shutdown that
	// finds no query running has refused all that come later.
	n := f.running.Add(1)
	defer f.running.Add(-1)
	switch {
	case f.refusing.Load():
		return shuntquery.Refuse(q, shuntoutcome.ShuttingDown)
	case v.Isolated, !v.Self.Ready:
		return shuntquery.Refuse(q, shuntoutcome.Isolated)
	case n > maxQueries:
		return shuntquery.Refuse(q, shuntoutcome.Overloaded)
	}
	a := f.admission(w.Name)
	if why := a.Acquire(ctx, w, q.Deadline); why != shuntoutcome.None {
		klog.V(1).InfoS("Query not admitted", "query", q.ID, "workspace", w.Name, "reason", why, "limit", a.Limit())
		out := shuntquery.Refuse(q, why)
		out.RetryAfter = a.RetryAfter()
		return out
	}
	out := f.config.Runner.Run(ctx, v.Tree, q)
	a.Release(ResultOf(out.Outcome, out.Reason), time.Now())
	return out
}

func (f *Frontend) admission(workspace string) *AdmissionLimiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.admissions[workspace]
	if !ok {
		a = NewAdmissionLimiter(f.config.Admission)
		f.admissions[workspace] = a
	}
	return a
}

// once runs a non-idempotent request under its ticket, or answers a repeat
// with what was recorded.
func (f *Frontend) once(ctx context.Context, v *shuntfleet.View, w shuntconfig.Workspace, q shuntquery.Query, t shuntclaim.Ticket) shuntquery.Answer {
	c, mine, why := f.book.Claim(t, shuntquery.Fingerprint(q))
	switch {
	case why == shuntoutcome.TicketExpired:
		// The claim may have been taken and dropped since.
		return shuntquery.Answer{ID: q.ID, Outcome: shuntoutcome.Unknown, Reason: why}
	case why != shuntoutcome.None:
		return shuntquery.Refuse(q, why)
	case mine:
		// The run outlives its caller: a caller that goes away and asks
		// again is answered with what became of it.
		a := f.admit(context.WithoutCancel(ctx), v, w, q)
		f.book.Record(c, a)
		return a
	}
	f.metrics.Repeats.Inc()
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	select {
	case <-c.Done():
		a := c.Answer()
		a.ID = q.ID
		return a
	case <-ctx.Done():
		return shuntquery.Answer{ID: q.ID, Outcome: shuntoutcome.Unknown, Reason: shuntoutcome.DeadlinePassed}
	}
}

// forward passes a request to the VM that made its ticket. Whatever keeps the
// answer away, the request may have run there, now or before.
func (f *Frontend) forward(ctx context.Context, v *shuntfleet.View, q shuntquery.Query, t shuntclaim.Ticket) shuntquery.Answer {
	unknown := shuntquery.Answer{ID: q.ID, Outcome: shuntoutcome.Unknown, Reason: shuntoutcome.HomeGone}
	vm, ok := v.Tree.Fleet().VM(t.VM)
	if !ok || t.VM == f.config.VM {
		return unknown
	}
	f.metrics.Forwards.Inc()
	klog.V(1).InfoS("Request forwarded to its ticket's VM", "query", q.ID, "vm", t.VM)
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

// Forward answers a request that another VM passed on.
func (f *Frontend) Forward(a ForwardArgs, reply *ForwardReply) error {
	r := Request{Query: a.Query, Ticket: a.Ticket, Limit: a.Limit}
	t, ok := shuntclaim.ParseTicket(a.Ticket)
	if !ok || !f.book.IssuedHere(t) {
		// A further hop could never end; the process that made it is gone.
		reply.Answer = shuntquery.Answer{ID: a.RequestID, Outcome: shuntoutcome.Unknown, Reason: shuntoutcome.HomeGone}
		return nil
	}
	reply.Answer = f.Handle(context.Background(), a.Workspace, a.RequestID, r, a.Left)
	return nil
}

// remember keeps an answer's route for explain.
func (f *Frontend) remember(a shuntquery.Answer) {
	a.Rows = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.recent[a.ID]; !ok {
		f.order = append(f.order, a.ID)
	}
	f.recent[a.ID] = a
	if len(f.order) > explained {
		delete(f.recent, f.order[0])
		f.order = f.order[1:]
	}
}

// Explain returns an answer given lately, without its rows.
func (f *Frontend) Explain(id string) (shuntquery.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.recent[id]
	return a, ok
}

// AdmissionLimits returns the admission limit of each workspace that was asked for.
func (f *Frontend) AdmissionLimits() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.admissions))
	for n, a := range f.admissions {
		out[n] = a.Limit()
	}
	return out
}
