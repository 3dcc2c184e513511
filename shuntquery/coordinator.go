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

// Sender sends a batch of sub-requests to the VM that owns their backend servers.
// It calls deliver for each reply.
type Sender interface {
	Send(vm string, rs []shuntowner.SubRequest, deliver func(shuntowner.SubReply)) shuntowner.PendingBatch
}

// Router finds the VM that owns a backend server.
type Router interface {
	Route(server string) (vm string, ok bool)
	// RecordOwner stores the owner of a server as another VM reported it.
	RecordOwner(server, vm string)
	// MarkUnreachable records that the connection to a VM failed.
	MarkUnreachable(vm string)
}

// Guard stops a request that crashes backend servers from reaching more of them.
// *shuntguard.Guard implements it.
type Guard interface {
	Admit(fingerprint uint64, c shuntconfig.Canary) shuntguard.Decision
	Release(fingerprint uint64)
	RecordCrash(fingerprint uint64, server string, suspect bool) shuntguard.Decision
	RecordSuccess(fingerprint uint64)
}

// Policy changes hedging and replica selection for experiments. The zero value
// is the production behavior.
type Policy struct {
	// NoHedge disables hedging.
	NoHedge bool
	// HedgeDelay, if positive, replaces the delay from the latency quantile.
	HedgeDelay time.Duration
	// UnlimitedHedges ignores the hedge budget.
	UnlimitedHedges bool
	// RandomReplica selects replicas at random instead of by expected latency.
	RandomReplica bool
}

// CoordinatorConfig holds the dependencies and options of a Coordinator.
type CoordinatorConfig struct {
	Sender  Sender
	Router  Router
	Guard   Guard
	Metrics *Metrics
	Policy  Policy
	// Random is the source of random numbers; nil means one with a random seed.
	Random *shuntrandom.Source
}

// Coordinator runs queries. Each query runs on the goroutine that calls Run.
type Coordinator struct {
	config   CoordinatorConfig
	replicas *ReplicaTracker
	// latencies maps a service to its *LatencyHistogram, and budgets maps a
	// workspace to its *budgets.
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

// SetTree removes the statistics of servers that are not in t.
func (c *Coordinator) SetTree(t *shuntconfig.Tree) { c.replicas.RemoveUnlisted(t) }

func (c *Coordinator) serviceLatencies(service string) *LatencyHistogram {
	if l, ok := c.latencies.Load(service); ok {
		return l.(*LatencyHistogram)
	}
	l, _ := c.latencies.LoadOrStore(service, &LatencyHistogram{})
	return l.(*LatencyHistogram)
}

// medianLatency returns the median latency of a service, or defaultLatency if
// there are too few samples.
func (c *Coordinator) medianLatency(service string) time.Duration {
	if d, ok := c.serviceLatencies(service).Quantile(0.5); ok {
		return d
	}
	return defaultLatency
}

func (c *Coordinator) workspaceBudgets(workspace string) *budgets {
	if b, ok := c.budgets.Load(workspace); ok {
		return b.(*budgets)
	}
	b, _ := c.budgets.LoadOrStore(workspace, &budgets{NewBudget(), NewBudget()})
	return b.(*budgets)
}

// Fingerprint returns a hash of a query's workspace and body. It must be the same
// on every VM because VMs exchange fingerprints.
func Fingerprint(q Query) uint64 {
	var h xxhash.Digest
	_, _ = h.WriteString(q.Workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// Run runs q with the configuration t. It returns by q's deadline.
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
		klog.V(1).InfoS("Query rejected by crash guard", "query", q.ID, "workspace", q.Workspace, "reason", v.Refused)
		return Refuse(q, v.Refused)
	}
	if v.Suspect {
		defer c.config.Guard.Release(fp)
	}
	return c.runWithRestarts(ctx, t, p, q, fp, v)
}

// admit asks the guard whether the query may run. A query that is suspected of
// crashing servers waits until no other query with its fingerprint is running.
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

// runWithRestarts runs q on the best available snapshot, and again on the next
// one if that snapshot disappears meanwhile. It uses each snapshot at most once.
func (c *Coordinator) runWithRestarts(ctx context.Context, t *shuntconfig.Tree, p *shuntconfig.Plan, q Query, fp uint64, v shuntguard.Decision) Answer {
	snaps := p.Snapshots
	var earlier Answer
	mayHaveRun := false
	for {
		s, ok := pinSnapshot(t.Fleet(), snaps, c.replicas, time.Now())
		if !ok {
			return Refuse(q, shuntoutcome.NoReplica)
		}
		out, restart := c.runOnSnapshot(ctx, t, p.Workspace, s, q, fp, v)
		out = out.withCosts(earlier)
		if !restart || len(snaps) == 1 || ctx.Err() != nil {
			return out.withEarlierRun(mayHaveRun)
		}
		klog.V(1).InfoS("Pinned snapshot no longer available, restarting query", "query", q.ID, "snapshot", s.ID)
		c.config.Metrics.Restarts.Inc()
		snaps = withoutSnapshot(snaps, s.ID)
		earlier = out
		mayHaveRun = mayHaveRun || out.Outcome != shuntoutcome.NotRun
	}
}

func withoutSnapshot(snaps []shuntconfig.PlanSnapshot, id shuntconfig.SnapshotID) []shuntconfig.PlanSnapshot {
	out := make([]shuntconfig.PlanSnapshot, 0, len(snaps))
	for _, s := range snaps {
		if s.ID != id {
			out = append(out, s)
		}
	}
	return out
}
