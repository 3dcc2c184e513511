package shuntowner

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// Names of the owner's calls between daemons.
const (
	ServiceName   = "Owner"
	MethodRun     = ServiceName + ".Run"
	MethodCollect = ServiceName + ".Collect"
	MethodCancel  = ServiceName + ".Cancel"
)

const (
	// linger is how long a reply waits for others to share a message with.
	linger = time.Millisecond
	// callKept is how long an owner keeps replies that nobody collects, past
	// the deadline of the call.
	callKept = 2 * time.Second
	maxBatch = 4096
)

// wireSub is a SubRequest between daemons. Deadlines travel as the time left.
type wireSub struct {
	Attempt             uint64
	Server, Shard       string
	Version, Generation int64
	Left                time.Duration
}

// RunArgs starts a batch. What all its sub-requests share is sent once.
type RunArgs struct {
	// Call is unique among all calls of all VMs.
	Call       string
	Query      string
	Class      int
	Idempotent bool
	Suspect    bool
	Body       []byte
	Subs       []wireSub
}

// CallArgs names a running batch.
type CallArgs struct {
	Call     string
	Attempts []uint64
}

// wireReply is a SubReply between daemons.
type wireReply struct {
	Attempt             uint64
	Server, Shard       string
	Version, Generation int64
	Outcome, Reason     uint8
	Rows                []byte
	Latency             time.Duration
	InFlight, Window    int
	Crashed             bool
	Owner               string
}

// RunReply carries the replies that are there; More says that others follow,
// to be fetched by Collect.
type RunReply struct {
	Replies []wireReply
	More    bool
}

func encodeReply(r SubReply) wireReply {
	return wireReply{
		Attempt:    r.Attempt,
		Server:     r.Server,
		Shard:      r.Shard,
		Version:    r.Snapshot.Version,
		Generation: r.Snapshot.Generation,
		Outcome:    uint8(r.Outcome),
		Reason:     uint8(r.Reason),
		Rows:       r.Rows,
		Latency:    r.Latency,
		InFlight:   r.InFlight,
		Window:     r.Window,
		Crashed:    r.Crashed,
		Owner:      r.Owner,
	}
}

func decodeReply(query string, w wireReply) SubReply {
	return SubReply{
		Query:    query,
		Attempt:  w.Attempt,
		Server:   w.Server,
		Shard:    w.Shard,
		Snapshot: shuntconfig.SnapshotID{Version: w.Version, Generation: w.Generation},
		Outcome:  shuntoutcome.Outcome(w.Outcome),
		Reason:   shuntoutcome.Reason(w.Reason),
		Rows:     w.Rows,
		Latency:  w.Latency,
		InFlight: w.InFlight,
		Window:   w.Window,
		Crashed:  w.Crashed,
		Owner:    w.Owner,
	}
}

func encodeRun(call string, rs []SubRequest, now time.Time) RunArgs {
	a := RunArgs{
		Call:       call,
		Query:      rs[0].Query,
		Class:      int(rs[0].Class),
		Idempotent: rs[0].Idempotent,
		Suspect:    rs[0].Suspect,
		Body:       rs[0].Body,
		Subs:       make([]wireSub, len(rs)),
	}
	for i, r := range rs {
		a.Subs[i] = wireSub{
			Attempt:    r.Attempt,
			Server:     r.Server,
			Shard:      r.Shard,
			Version:    r.Snapshot.Version,
			Generation: r.Snapshot.Generation,
			Left:       r.Deadline.Sub(now),
		}
	}
	return a
}

func decodeRun(a RunArgs, now time.Time) []SubRequest {
	out := make([]SubRequest, len(a.Subs))
	for i, s := range a.Subs {
		out[i] = SubRequest{
			Query:      a.Query,
			Attempt:    s.Attempt,
			Server:     s.Server,
			Shard:      s.Shard,
			Snapshot:   shuntconfig.SnapshotID{Version: s.Version, Generation: s.Generation},
			Class:      shuntconfig.Class(a.Class),
			Deadline:   now.Add(s.Left),
			Idempotent: a.Idempotent,
			Suspect:    a.Suspect,
			Body:       a.Body,
		}
	}
	return out
}

// Service answers the owner's calls from other daemons.
type Service struct {
	owner *Owner

	mu    sync.Mutex
	calls map[string]*call
}

// NewService returns the Service of o.
func NewService(o *Owner) *Service {
	return &Service{owner: o, calls: map[string]*call{}}
}

// call is one batch on its way.
type call struct {
	ctx    context.Context
	cancel context.CancelFunc
	expire *time.Timer
	// wake has a buffer of one; it is filled when replies came.
	wake chan struct{}

	mu      sync.Mutex
	ready   []wireReply
	left    int
	cancels map[uint64]context.CancelFunc
}

// Run starts a batch and returns its first replies.
func (s *Service) Run(a RunArgs, reply *RunReply) error {
	if len(a.Subs) == 0 || len(a.Subs) > maxBatch {
		return errors.Errorf("batch of %d sub-requests; the limit is %d", len(a.Subs), maxBatch)
	}
	rs := decodeRun(a, time.Now())
	c, err := s.open(a.Call, rs)
	if err != nil {
		return err
	}
	s.owner.config.Metrics.Batches.Inc()
	for _, r := range rs {
		ctx := c.attempt(r.Attempt)
		s.owner.group.Go(func() { c.add(s.owner.Run(ctx, r)) })
	}
	s.collect(a.Call, c, reply)
	return nil
}

// Collect returns further replies of a batch.
func (s *Service) Collect(a CallArgs, reply *RunReply) error {
	s.mu.Lock()
	c, ok := s.calls[a.Call]
	s.mu.Unlock()
	if !ok {
		return errors.NotFoundf("call %q", a.Call)
	}
	s.collect(a.Call, c, reply)
	return nil
}

// Cancel ends some attempts of a batch, or the whole when none are named.
func (s *Service) Cancel(a CallArgs, _ *CallArgs) error {
	s.mu.Lock()
	c, ok := s.calls[a.Call]
	s.mu.Unlock()
	if !ok {
		return nil
	}
	if len(a.Attempts) == 0 {
		c.cancel()
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range a.Attempts {
		if f, ok := c.cancels[n]; ok {
			f()
		}
	}
	return nil
}

func (s *Service) open(id string, rs []SubRequest) (*call, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &call{
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		left:    len(rs),
		cancels: map[uint64]context.CancelFunc{},
	}
	last := rs[0].Deadline
	for _, r := range rs {
		if r.Deadline.After(last) {
			last = r.Deadline
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.calls[id]; ok {
		cancel()
		return nil, errors.AlreadyExistsf("call %q", id)
	}
	s.calls[id] = c
	c.expire = time.AfterFunc(time.Until(last)+callKept, func() { s.forget(id, c) })
	return c, nil
}

func (s *Service) forget(id string, c *call) {
	c.expire.Stop()
	c.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

func (s *Service) collect(id string, c *call, reply *RunReply) {
	replies, left := c.take()
	reply.Replies = replies
	reply.More = left > 0
	if left == 0 {
		s.forget(id, c)
	}
}

// attempt returns the context of one attempt, which Cancel can end.
func (c *call) attempt(n uint64) context.Context {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[n] = cancel
	return ctx
}

// add books a reply and wakes the collector.
func (c *call) add(r SubReply) {
	c.mu.Lock()
	c.ready = append(c.ready, encodeReply(r))
	c.left--
	if cancel, ok := c.cancels[r.Attempt]; ok {
		cancel()
		delete(c.cancels, r.Attempt)
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take waits for replies, lets others join them for a moment, and returns them
// with the number that are still to come.
func (c *call) take() ([]wireReply, int) {
	for {
		<-c.wake
		if c.pending() > 0 {
			time.Sleep(linger)
		}
		// A wake-up whose reply went with the message before finds nothing.
		if out, left := c.drain(); len(out) > 0 || left == 0 {
			return out, left
		}
	}
}

func (c *call) drain() ([]wireReply, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.ready
	c.ready = nil
	return out, c.left
}

func (c *call) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}
