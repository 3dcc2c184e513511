package shuntcall

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// leastDelegated is how many shards are worth a message to another VM.
	leastDelegated = 2
	// delegateConns is how many connections a VM keeps to another one.
	delegateConns = 64
	// delegateSlots is how many queries a VM gathers at once before it is held
	// for busy.
	delegateSlots = 32
	// slowDelegate is the part of the goal beyond which another VM is not waited
	// for: then the shards are asked directly.
	slowDelegate = 0.6
	// firstTravel is taken for the way to another region and back until it has
	// been measured; travelWeight is the weight of a new measurement, and
	// travelMargin is kept beside it.
	firstTravel  = 24 * time.Millisecond
	travelWeight = 0.2
	travelMargin = 2 * time.Millisecond
)

// Headers of requests between VMs.
const (
	headerShards      = "Shunt-Shards"
	headerVersion     = "Shunt-Version"
	headerNeed        = "Shunt-Need"
	headerDue         = "Shunt-Due-Ms"
	headerFingerprint = "Shunt-Fingerprint"
	headerSignatures  = "Shunt-Signatures"
	headerWork        = "Shunt-Work-Us"
	headerMiddle      = "Shunt-Middle-Us"
	headerIn          = "Shunt-In-Us"
	headerAttempts    = "Shunt-Attempts"
)

// Delegate is a VM of another region that gathers shards near it.
type Delegate struct {
	// Address is where it takes such requests, host:port.
	Address string
	Region  string
}

// server returns the delegate as one that can be chosen and connected to.
func (d Delegate) server() shuntroute.Server {
	return shuntroute.Server{ID: d.Address, Address: d.Address, Region: d.Region, Slots: delegateSlots}
}

// delegation is what another VM is to gather.
type delegation struct {
	to     shuntroute.Server
	shards []string
}

// delegation picks the VM of another region that gathers shards which have no
// server in this one. It answers indexes that are spread over regions: one
// message instead of one for each shard goes the long way, and the servers there
// see fewer VMs. Routes bound to regions are not passed on.
func (c *Caller) delegation(q Query) delegation {
	if q.Suspect || len(q.Route.Regions) > 0 {
		return delegation{}
	}
	far := c.farShards(q)
	if len(far) < leastDelegated {
		return delegation{}
	}
	var candidates []shuntroute.Server
	for _, d := range c.config.Fleet.Delegates() {
		candidates = append(candidates, d.server())
	}
	if len(candidates) == 0 {
		return delegation{}
	}
	to, ok := c.config.Delegates.Choose(candidates, shuntbalance.Choice{})
	if !ok || c.config.Delegates.Expected(to) > time.Duration(slowDelegate*float64(q.Route.Goal)) {
		return delegation{}
	}
	shards := slices.DeleteFunc(far, func(shard string) bool { return !c.serves(shard, to.Region) })
	if len(shards) < leastDelegated {
		return delegation{}
	}
	return delegation{to, shards}
}

// farShards returns the query's shards that no server of this region serves.
func (c *Caller) farShards(q Query) []string {
	var out []string
	for _, shard := range q.Route.Shards {
		if !c.serves(shard, c.config.Region) {
			out = append(out, shard)
		}
	}
	return out
}

// serves says whether a warm server of the service in the region can be reached.
func (c *Caller) serves(service, region string) bool {
	now := time.Now()
	return slices.ContainsFunc(c.config.View().Servers(service), func(s shuntroute.Server) bool {
		return s.Region == region && !s.Cold(now) && s.LapsedAt.IsZero() && !c.config.Board.Down(s)
	})
}

// askDelegate lets another VM gather the shards. Where it certainly has not
// begun, this VM asks them itself; where it may have, they have had their
// attempts.
func (c *Caller) askDelegate(ctx context.Context, q Query, s Subset, d delegation, ends chan<- arrival) {
	sent := time.Now()
	r := q.Request
	r.Header = r.Header.Clone()
	var numbers []string
	for _, shard := range d.shards {
		numbers = append(numbers, strconv.Itoa(slices.Index(q.Route.Shards, shard)))
	}
	due := time.Until(s.Due) - c.travels.of(d.to.ID) - travelMargin
	// The other shards may all be in: then this many may be missing here.
	need := max(1, len(d.shards)-(len(s.Shards)-s.Need))
	r.Header.Set(headerShards, strings.Join(numbers, ","))
	r.Header.Set(headerVersion, strconv.FormatInt(q.Table.Version(), 10))
	r.Header.Set(headerNeed, strconv.Itoa(need))
	r.Header.Set(headerDue, strconv.FormatInt(max(0, due.Milliseconds()), 10))
	r.Header.Set(headerFingerprint, strconv.FormatUint(q.Fingerprint, 16))
	a := c.config.Delegates.Begin(d.to)
	o := c.config.DelegatePool.Do(ctx, shuntupstream.Server{ID: d.to.ID, Address: d.to.Address, MaxConns: delegateConns}, true, r)
	c.config.Delegates.End(d.to, a, boardResult(o))
	if !o.Status.MayHaveRun() {
		c.config.Metrics.delegated[Refused].Add(len(d.shards))
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"reason", errorText(o.Err))
		for _, shard := range d.shards {
			if !c.config.Group.Go(func() { ends <- c.askShard(ctx, q, shard) }) {
				ends <- arrival{shards: 1, end: Refused, reason: "the process is ending"}
			}
		}
		return
	}
	e, work := delegateArrival(o, len(d.shards))
	c.config.Metrics.delegated[e.end].Add(len(d.shards))
	if e.end == Served {
		travel := time.Since(sent) - work
		c.travels.add(d.to.ID, travel)
		e.in += sent.Sub(q.Start) + travel
	}
	if e.end != Served {
		klog.InfoS("Shards not gathered by another VM", "request", q.Request.ID, "vm", d.to.ID, "region", d.to.Region, "shards", len(d.shards), "status", o.Status,
			"code", o.Reply.Code, "reason", e.reason, "after", time.Since(sent).Milliseconds())
	}
	ends <- e
}

// delegateArrival reads what another VM answered for a number of shards, and how
// long it worked on them.
func delegateArrival(o shuntupstream.Outcome, shards int) (arrival, time.Duration) {
	out := arrival{shards: shards, end: Faulted, reason: errorText(o.Err)}
	if o.Status != shuntupstream.Answered {
		return out, 0
	}
	h := o.Reply.Header
	work, workErr := strconv.ParseInt(h.Get(headerWork), 10, 64)
	middle, middleErr := strconv.ParseInt(h.Get(headerMiddle), 10, 64)
	in, inErr := strconv.ParseInt(h.Get(headerIn), 10, 64)
	attempts, attemptsErr := strconv.Atoi(h.Get(headerAttempts))
	if o.Reply.Code != http.StatusOK || workErr != nil || middleErr != nil || inErr != nil || attemptsErr != nil {
		out.reason = "another VM answered " + strconv.Itoa(o.Reply.Code)
		return out, 0
	}
	signatures := strings.Split(h.Get(headerSignatures), ",")
	if len(signatures) > shards {
		out.reason = "another VM answered for more shards"
		return out, 0
	}
	out.end, out.signatures, out.bodies = Served, signatures, [][]byte{o.Reply.Body}
	out.took, out.in, out.attempts = time.Duration(middle)*time.Microsecond, time.Duration(in)*time.Microsecond, attempts
	if len(signatures) < shards {
		out.reason = "missing at another VM"
	}
	return out, time.Duration(work) * time.Microsecond
}

// Delegated is a part of a query that another VM passed on.
type Delegated struct {
	Version     int64
	Fingerprint uint64
	Need        int
	Due         time.Duration
	// Numbers are the places of the shards in the route.
	Numbers []int
}

// ReadDelegated reads the headers of a request from another VM, and removes
// them.
func ReadDelegated(h http.Header) (Delegated, error) {
	version, err1 := strconv.ParseInt(h.Get(headerVersion), 10, 64)
	fingerprint, err2 := strconv.ParseUint(h.Get(headerFingerprint), 16, 64)
	need, err3 := strconv.Atoi(h.Get(headerNeed))
	due, err4 := strconv.ParseInt(h.Get(headerDue), 10, 64)
	d := Delegated{Version: version, Fingerprint: fingerprint, Need: need, Due: time.Duration(due) * time.Millisecond}
	for text := range strings.SplitSeq(h.Get(headerShards), ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return Delegated{}, errors.Annotate(err, headerShards)
		}
		d.Numbers = append(d.Numbers, n)
	}
	for _, err := range []error{err1, err2, err3, err4} {
		if err != nil {
			return Delegated{}, errors.Trace(err)
		}
	}
	for _, name := range []string{headerShards, headerVersion, headerNeed, headerDue, headerFingerprint} {
		h.Del(name)
	}
	return d, nil
}

// Subset returns the shards of the route that are meant, false where it has
// not so many.
func (d Delegated) Subset(r *shuntroute.Route, start time.Time) (Subset, bool) {
	s := Subset{Need: d.Need, Due: start.Add(d.Due)}
	for _, n := range d.Numbers {
		if n < 0 || n >= len(r.Shards) {
			return Subset{}, false
		}
		s.Shards = append(s.Shards, r.Shards[n])
	}
	return s, true
}

// WriteDelegated writes the headers of the answer to another VM.
func WriteDelegated(h http.Header, a Answer, work time.Duration) {
	h.Set(headerSignatures, strings.Join(a.Signatures, ","))
	h.Set(headerWork, strconv.FormatInt(work.Microseconds(), 10))
	h.Set(headerMiddle, strconv.FormatInt(a.Took.Microseconds(), 10))
	h.Set(headerIn, strconv.FormatInt(a.In.Microseconds(), 10))
	h.Set(headerAttempts, strconv.Itoa(a.Attempts))
}

// travels are the times on the way to other VMs and back.
type travels struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

func (t *travels) of(vm string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.times[vm]; ok {
		return d
	}
	return firstTravel
}

func (t *travels) add(vm string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = map[string]time.Duration{}
	}
	before, ok := t.times[vm]
	if !ok {
		before = d
	}
	t.times[vm] = before + time.Duration(travelWeight*float64(d-before))
}
