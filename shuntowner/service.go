package shuntowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// Names of the owner's calls between daemons. Run and Cancel go to the owner,
// Deliver goes back to the VM that called Run.
const (
	ServiceName      = "Owner"
	MethodRun        = ServiceName + ".Run"
	MethodCancel     = ServiceName + ".Cancel"
	ReplyServiceName = "Replies"
	MethodDeliver    = ReplyServiceName + ".Deliver"
	deliverTimeout   = 2 * time.Second
)

const (
	// linger is how long a reply waits for others to share a message with. The
	// last reply of a batch never waits, and a query waits for its slowest.
	linger   = time.Millisecond
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
	Call string
	// VM is the caller, to which replies are delivered as they come.
	VM         string
	Query      string
	Class      int
	Idempotent bool
	Suspect    bool
	Body       []byte
	Subs       []wireSub
}

// CancelArgs ends attempts of a running batch.
type CancelArgs struct {
	Call     string
	Attempts []uint64
}

// DeliverArgs carries replies of a running batch that others are to follow.
type DeliverArgs struct {
	Call    string
	Replies []wireReply
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

// RunReply carries the replies that were not delivered before.
type RunReply struct {
	Replies []wireReply
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

func encodeRun(call, vm string, rs []SubRequest, now time.Time) RunArgs {
	a := RunArgs{
		Call:       call,
		VM:         vm,
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

// ServiceConfig is what a Service is made of.
type ServiceConfig struct {
	Owner  *Owner
	Caller Caller
	// Address returns the peer address of a VM.
	Address func(vm string) (string, bool)
}

// Service answers the owner's calls from other daemons.
//
// A call to Run lasts until the whole batch has ended, so that its caller
// learns at once when the owner is lost. Replies that come before the last are
// delivered by calls the other way: no reply waits for a message to fetch it.
type Service struct {
	config ServiceConfig

	delivered atomic.Uint64

	mu    sync.Mutex
	calls map[string]*call
}

// NewService returns a Service.
func NewService(c ServiceConfig) *Service {
	return &Service{config: c, calls: map[string]*call{}}
}

// call is one batch on its way.
type call struct {
	ctx    context.Context
	cancel context.CancelFunc
	// wake has a buffer of one; it is filled when replies came.
	wake chan struct{}

	mu    sync.Mutex
	ready []wireReply
	// kept are replies that could not be delivered.
	kept    []wireReply
	left    int
	cancels map[uint64]context.CancelFunc
}

// Run runs a batch.
func (s *Service) Run(a RunArgs, reply *RunReply) error {
	if len(a.Subs) == 0 || len(a.Subs) > maxBatch {
		return errors.Errorf("batch of %d sub-requests; the limit is %d", len(a.Subs), maxBatch)
	}
	c, err := s.open(a.Call, len(a.Subs))
	if err != nil {
		return err
	}
	defer s.forget(a.Call, c)
	o := s.config.Owner
	o.config.Metrics.Batches.Inc()
	for _, r := range decodeRun(a, time.Now()) {
		ctx := c.attempt(r.Attempt)
		if !o.group.Go(func() { c.add(o.Run(ctx, r)) }) {
			c.add(r.NotRun(shuntoutcome.ShuttingDown))
		}
	}
	address, known := s.config.Address(a.VM)
	for {
		replies, left := c.take()
		if left == 0 {
			reply.Replies = replies
			return nil
		}
		if !known {
			c.putBack(replies)
			continue
		}
		if !o.group.Go(func() { s.deliver(address, a.Call, c, replies) }) {
			c.putBack(replies)
		}
	}
}

// Delivered returns the number of messages with early replies.
func (s *Service) Delivered() uint64 { return s.delivered.Load() }

// deliver sends replies to the caller of Run. What can't be delivered goes
// with the last reply.
func (s *Service) deliver(address, id string, c *call, replies []wireReply) {
	s.delivered.Add(1)
	ctx, cancel := context.WithTimeout(c.ctx, deliverTimeout)
	defer cancel()
	if err := s.config.Caller.Call(ctx, address, MethodDeliver, DeliverArgs{Call: id, Replies: replies}, &DeliverArgs{}); err != nil {
		c.putBack(replies)
	}
}

// Cancel ends some attempts of a batch, or the whole when none are named.
func (s *Service) Cancel(a CancelArgs, _ *CancelArgs) error {
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

func (s *Service) open(id string, left int) (*call, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &call{
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		left:    left,
		cancels: map[uint64]context.CancelFunc{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.calls[id]; ok {
		cancel()
		return nil, errors.AlreadyExistsf("call %q", id)
	}
	s.calls[id] = c
	return c, nil
}

func (s *Service) forget(id string, c *call) {
	c.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// attempt returns the context of one attempt, which Cancel can end.
func (c *call) attempt(n uint64) context.Context {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[n] = cancel
	return ctx
}

// add books a reply and wakes the taker.
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

// putBack keeps replies for the last message.
func (c *call) putBack(replies []wireReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, replies...)
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
	if c.left == 0 {
		out = append(out, c.kept...)
		c.kept = nil
	}
	return out, c.left
}

func (c *call) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}
