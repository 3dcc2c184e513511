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

// Names of the RPC services and methods. Run and Cancel are called on the owner,
// Deliver on the VM that called Run.
const (
	ServiceName      = "Owner"
	MethodRun        = ServiceName + ".Run"
	MethodCancel     = ServiceName + ".Cancel"
	ReplyServiceName = "Replies"
	MethodDeliver    = ReplyServiceName + ".Deliver"
	deliverTimeout   = 2 * time.Second
)

const (
	// replyBatchDelay is how long a reply waits for others, so that they share a
	// message. The last reply of a batch is sent at once, so the delay does not
	// add to the latency of a query, which ends with its slowest reply.
	replyBatchDelay = time.Millisecond
	maxBatchSize    = 4096
)

// wireSub is the encoding of a SubRequest. Left is the time until its deadline.
type wireSub struct {
	Attempt             uint64
	Server, Shard       string
	Version, Generation int64
	Left                time.Duration
}

// RunArgs starts a batch. The fields that are common to all its sub-requests are
// sent once.
type RunArgs struct {
	// Call is an ID that is unique among the calls of all VMs.
	Call string
	// VM is the caller, to which early replies are delivered.
	VM         string
	Query      string
	Class      int
	Idempotent bool
	Suspect    bool
	Body       []byte
	Subs       []wireSub
}

// CancelArgs cancels attempts of a running batch.
type CancelArgs struct {
	Call     string
	Attempts []uint64
}

// DeliverArgs carries replies of a batch that is still running.
type DeliverArgs struct {
	Call    string
	Replies []wireReply
}

// wireReply is the encoding of a SubReply.
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

// RunReply carries the replies that have not been delivered yet.
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

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Owner  *Owner
	Caller Caller
	// Address returns the peer address of a VM.
	Address func(vm string) (string, bool)
}

// Service is the RPC service of the owner.
//
// A call to Run lasts until the whole batch has ended, so that the caller notices
// at once when the owner is lost. Replies before the last ones are sent by calls
// to Deliver in the opposite direction, so that no reply waits until the caller
// asks for it.
type Service struct {
	config ServiceConfig

	delivered atomic.Uint64

	mu      sync.Mutex
	batches map[string]*runningBatch
}

// NewService returns a Service.
func NewService(c ServiceConfig) *Service {
	return &Service{config: c, batches: map[string]*runningBatch{}}
}

// runningBatch is the state of one call to Run.
type runningBatch struct {
	ctx    context.Context
	cancel context.CancelFunc
	// notify is signalled when a reply has been added. It has a buffer of one.
	notify chan struct{}

	mu    sync.Mutex
	ready []wireReply
	// undelivered holds replies that could not be sent before the last message.
	undelivered []wireReply
	remaining   int
	cancels     map[uint64]context.CancelFunc
}

// Run runs a batch and returns when all of its sub-requests have ended.
func (s *Service) Run(a RunArgs, reply *RunReply) error {
	if len(a.Subs) == 0 || len(a.Subs) > maxBatchSize {
		return errors.Errorf("batch has %d sub-requests; the number must be from 1 to %d", len(a.Subs), maxBatchSize)
	}
	b, err := s.register(a.Call, len(a.Subs))
	if err != nil {
		return err
	}
	defer s.unregister(a.Call, b)
	o := s.config.Owner
	o.config.Metrics.Batches.Inc()
	for _, r := range decodeRun(a, time.Now()) {
		ctx := b.attemptContext(r.Attempt)
		if !o.group.Go(func() { b.addReply(o.Run(ctx, r)) }) {
			b.addReply(r.NotRun(shuntoutcome.ShuttingDown))
		}
	}
	address, known := s.config.Address(a.VM)
	for {
		replies, remaining := b.nextReplies()
		if remaining == 0 {
			reply.Replies = replies
			return nil
		}
		if !known {
			b.keepForLast(replies)
			continue
		}
		if !o.group.Go(func() { s.deliver(address, a.Call, b, replies) }) {
			b.keepForLast(replies)
		}
	}
}

// Delivered returns the number of calls to Deliver.
func (s *Service) Delivered() uint64 { return s.delivered.Load() }

// deliver sends replies to the caller of Run. If that fails, they are sent with the
// last replies.
func (s *Service) deliver(address, id string, b *runningBatch, replies []wireReply) {
	s.delivered.Add(1)
	ctx, cancel := context.WithTimeout(b.ctx, deliverTimeout)
	defer cancel()
	if err := s.config.Caller.Call(ctx, address, MethodDeliver, DeliverArgs{Call: id, Replies: replies}, &DeliverArgs{}); err != nil {
		b.keepForLast(replies)
	}
}

// Cancel cancels attempts of a batch, or the whole batch if none are given.
func (s *Service) Cancel(a CancelArgs, _ *CancelArgs) error {
	s.mu.Lock()
	b, ok := s.batches[a.Call]
	s.mu.Unlock()
	if !ok {
		return nil
	}
	if len(a.Attempts) == 0 {
		b.cancel()
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range a.Attempts {
		if f, ok := b.cancels[n]; ok {
			f()
		}
	}
	return nil
}

func (s *Service) register(id string, remaining int) (*runningBatch, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &runningBatch{
		ctx:       ctx,
		cancel:    cancel,
		notify:    make(chan struct{}, 1),
		remaining: remaining,
		cancels:   map[uint64]context.CancelFunc{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.batches[id]; ok {
		cancel()
		return nil, errors.AlreadyExistsf("call %q", id)
	}
	s.batches[id] = b
	return b, nil
}

func (s *Service) unregister(id string, b *runningBatch) {
	b.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.batches, id)
}

// attemptContext returns the context of an attempt, which Cancel can cancel.
func (b *runningBatch) attemptContext(n uint64) context.Context {
	ctx, cancel := context.WithCancel(b.ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancels[n] = cancel
	return ctx
}

// addReply adds a reply and wakes nextReplies.
func (b *runningBatch) addReply(r SubReply) {
	b.mu.Lock()
	b.ready = append(b.ready, encodeReply(r))
	b.remaining--
	if cancel, ok := b.cancels[r.Attempt]; ok {
		cancel()
		delete(b.cancels, r.Attempt)
	}
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// keepForLast keeps replies for the last message.
func (b *runningBatch) keepForLast(replies []wireReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.undelivered = append(b.undelivered, replies...)
}

// nextReplies waits for replies and returns them with the number of outstanding
// ones. Unless it has the last reply, it first waits for replyBatchDelay.
func (b *runningBatch) nextReplies() ([]wireReply, int) {
	for {
		<-b.notify
		if b.remainingCount() > 0 {
			time.Sleep(replyBatchDelay)
		}
		// There are no replies if the previous call returned the one that caused
		// this notification.
		if out, remaining := b.takeReady(); len(out) > 0 || remaining == 0 {
			return out, remaining
		}
	}
}

func (b *runningBatch) takeReady() ([]wireReply, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.ready
	b.ready = nil
	if b.remaining == 0 {
		out = append(out, b.undelivered...)
		b.undelivered = nil
	}
	return out, b.remaining
}

func (b *runningBatch) remainingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}
