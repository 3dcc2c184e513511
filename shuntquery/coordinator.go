package shuntquery

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

// Sender sends sub-requests to the VMs that own their servers.
type Sender interface {
	Send(vm string, rs []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) shuntowner.PendingBatch
}

// Router says which VM owns a backend server.
type Router interface {
	Route(server string) (vm string, ok bool)
	// RecordOwner takes over a VM's word that another one owns a server.
	RecordOwner(server, vm string)
	// MarkUnreachable books that a VM could not be reached.
	MarkUnreachable(vm string)
}

// Guard keeps requests that crash servers from the rest of them;
// *shuntguard.Guard implements it.
type Guard interface {
	Admit(fingerprint uint64, c shuntconfig.Canary) shuntguard.Decision
	Release(fingerprint uint64)
	RecordCrash(fingerprint uint64, server string, suspect bool) shuntguard.Decision
	RecordSuccess(fingerprint uint64)
}

// Policy holds what experiments vary; the zero value is the product's way.
type Policy struct {
	// NoHedge sends no second attempt for slow replies.
	NoHedge bool
	// HedgeDelay, when positive, is a fixed delay in the place of the quantile.
	HedgeDelay time.Duration
	// UnlimitedHedges lifts the hedge budget.
	UnlimitedHedges bool
	// RandomReplica ignores what is known of the replicas.
	RandomReplica bool
}

// CoordinatorConfig is what a Coordinator is made of.
type CoordinatorConfig struct {
	Sender  Sender
	Router  Router
	Guard   Guard
	Metrics *Metrics
	Policy  Policy
	// Random is the source of choices; nil takes a random seed.
	Random *shuntrandom.Source
}

// Coordinator runs queries. Each query runs on the goroutine of its caller.
type Coordinator struct {
	config   CoordinatorConfig
	replicas *ReplicaTracker
	// latencies holds *Latencies by service, budgets *budgets by workspace.
	latencies sync.Map
	budgets   sync.Map
}

type budgets struct {
	hedge, retry *Budget
}

// NewCoordinator returns a Coordinator.
func NewCoordinator(c CoordinatorConfig) *Coordinator {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	return &Coordinator{config: c, replicas: NewReplicaTracker(c.Random)}
}

// SetTree forgets what is no longer published.
func (c *Coordinator) SetTree(t *shuntconfig.Tree) { c.replicas.RemoveUnlisted(t) }

func (c *Coordinator) latenciesOf(service string) *LatencyHistogram {
	if l, ok := c.latencies.Load(service); ok {
		return l.(*LatencyHistogram)
	}
	l, _ := c.latencies.LoadOrStore(service, &LatencyHistogram{})
	return l.(*LatencyHistogram)
}

// typical returns the median latency of a service.
func (c *Coordinator) typical(service string) time.Duration {
	if d, ok := c.latenciesOf(service).Quantile(0.5); ok {
		return d
	}
	return firstLatency
}

func (c *Coordinator) budgetsOf(workspace string) *budgets {
	if b, ok := c.budgets.Load(workspace); ok {
		return b.(*budgets)
	}
	b, _ := c.budgets.LoadOrStore(workspace, &budgets{NewBudget(), NewBudget()})
	return b.(*budgets)
}

// Fingerprint identifies the content of a query, whoever sends it. It is the
// same on every VM, since fingerprints travel between them.
func Fingerprint(q Query) uint64 {
	var h xxhash.Digest
	_, _ = h.WriteString(q.Workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// Run answers q by the configuration t. It returns by q's deadline.
func (c *Coordinator) Run(ctx context.Context, t *shuntconfig.Tree, q Query) Answer {
	p := t.Plan(q.Workspace)
	if p == nil {
		return Refuse(q, shuntoutcome.NoWorkspace)
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	fp := Fingerprint(q)
	v := c.admit(ctx, fp, p.Workspace.Canary)
	if v.Refused != shuntoutcome.None {
		klog.V(1).InfoS("Query refused by the guard", "query", q.ID, "workspace", q.Workspace, "reason", v.Refused)
		return Refuse(q, v.Refused)
	}
	if v.Suspect {
		defer c.config.Guard.Release(fp)
	}
	return c.runAll(ctx, t, p, q, fp, v)
}

// admit asks the guard, and waits while another run of the same suspect is on.
func (c *Coordinator) admit(ctx context.Context, fp uint64, canary shuntconfig.Canary) shuntguard.Decision {
	for {
		v := c.config.Guard.Admit(fp, canary)
		if v.Wait == nil {
			return v
		}
		select {
		case <-v.Wait:
		case <-ctx.Done():
			return shuntguard.Decision{Refused: shuntoutcome.CrashSuspect}
		}
	}
}

// runAll runs q on the newest usable snapshot, and on the next when that one
// disappears meanwhile. Each snapshot is tried at most once.
func (c *Coordinator) runAll(ctx context.Context, t *shuntconfig.Tree, p *shuntconfig.Plan, q Query, fp uint64, v shuntguard.Decision) Answer {
	snaps := p.Snapshots
	var before Answer
	ran := false
	for {
		s, ok := pin(t.Fleet(), snaps, c.replicas, time.Now())
		if !ok {
			return Refuse(q, shuntoutcome.NoReplica)
		}
		out, again := c.runOn(ctx, t, p.Workspace, s, q, fp, v)
		out = out.withCosts(before)
		if !again || len(snaps) == 1 || ctx.Err() != nil {
			return out.withEarlier(ran)
		}
		klog.V(1).InfoS("Pinned snapshot is gone; starting again", "query", q.ID, "snapshot", s.ID)
		c.config.Metrics.Restarts.Inc()
		snaps = without(snaps, s.ID)
		before = out
		ran = ran || out.Outcome != shuntoutcome.NotRun
	}
}

func without(snaps []shuntconfig.PlanSnapshot, id shuntconfig.SnapshotID) []shuntconfig.PlanSnapshot {
	out := make([]shuntconfig.PlanSnapshot, 0, len(snaps))
	for _, s := range snaps {
		if s.ID != id {
			out = append(out, s)
		}
	}
	return out
}
