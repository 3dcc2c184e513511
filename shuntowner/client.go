package shuntowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntpeer"
)

const cancelTimeout = time.Second

// Caller calls methods of other daemons. *shuntpeer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// PendingBatch is a batch that has been sent.
type PendingBatch interface {
	// Cancel cancels the given attempts, or the whole batch if none are given.
	// Replies to cancelled attempts are still delivered.
	Cancel(attempts ...uint64)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Caller Caller
	// ProcessID identifies this process by the VM name and the start identity. It
	// makes call IDs unique.
	ProcessID string
	// Address returns the peer address of a VM.
	Address func(vm string) (string, bool)
	// VM is the name of this VM. Its batches are run by Local without a call.
	VM    string
	Local *Owner
}

// Client sends batches of sub-requests to owners.
type Client struct {
	config ClientConfig
	group  shuntgroup.Group
	calls  atomic.Uint64

	mu      sync.Mutex
	batches map[string]*remoteBatch
}

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, batches: map[string]*remoteBatch{}}
}

// Shutdown stops the sending of batches and waits until all batches have ended.
func (c *Client) Shutdown() { c.group.Close() }

// Send sends rs to a VM and returns at once. It calls deliver exactly once for
// each of rs, possibly from several goroutines.
func (c *Client) Send(vm string, rs []SubRequest, deliver func(SubReply)) PendingBatch {
	if vm == c.config.VM {
		return c.sendLocal(rs, deliver)
	}
	address, ok := c.config.Address(vm)
	if !ok {
		for _, r := range rs {
			deliver(r.NotRun(shuntoutcome.PeerLost))
		}
		return emptyBatch{}
	}
	b := &remoteBatch{
		client:  c,
		address: address,
		id:      fmt.Sprintf("%s.%d", c.config.ProcessID, c.calls.Add(1)),
		query:   rs[0].Query,
		deliver: deliver,
		pending: make(map[uint64]SubRequest, len(rs)),
	}
	for _, r := range rs {
		b.pending[r.Attempt] = r
	}
	c.mu.Lock()
	c.batches[b.id] = b
	c.mu.Unlock()
	started := c.group.Go(func() {
		b.run(rs)
		c.remove(b)
	})
	if !started {
		c.remove(b)
		b.deliverRest(func(r SubRequest) SubReply { return r.NotRun(shuntoutcome.ShuttingDown) })
	}
	return b
}

func (c *Client) remove(b *remoteBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.batches, b.id)
}

// BatchesSent returns the number of batches sent to other VMs.
func (c *Client) BatchesSent() uint64 { return c.calls.Load() }

// Replies returns the RPC service that receives the replies of owners.
func (c *Client) Replies() *Replies { return &Replies{c} }

// Replies is the RPC service that receives replies before the end of their batch.
type Replies struct{ client *Client }

// Deliver handles replies of a batch. It ignores them if the batch has ended.
func (r *Replies) Deliver(a DeliverArgs, _ *DeliverArgs) error {
	r.client.mu.Lock()
	b, ok := r.client.batches[a.Call]
	r.client.mu.Unlock()
	if ok {
		b.deliverReplies(a.Replies)
	}
	return nil
}

func (c *Client) sendLocal(rs []SubRequest, deliver func(SubReply)) PendingBatch {
	l := &localBatch{cancels: make(map[uint64]context.CancelFunc, len(rs))}
	for _, r := range rs {
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		l.cancels[r.Attempt] = cancel
		c.config.Local.RunBatch(ctx, []SubRequest{r}, func(p SubReply) {
			cancel()
			deliver(p)
		})
	}
	return l
}

// emptyBatch is a batch of which nothing was sent.
type emptyBatch struct{}

// Cancel implements PendingBatch. It does nothing.
func (emptyBatch) Cancel(...uint64) {}

// localBatch is a batch that runs on this VM.
type localBatch struct {
	// cancels is not modified after the batch has been returned.
	cancels map[uint64]context.CancelFunc
}

// Cancel implements PendingBatch.
func (l *localBatch) Cancel(attempts ...uint64) {
	if len(attempts) == 0 {
		for _, cancel := range l.cancels {
			cancel()
		}
		return
	}
	for _, n := range attempts {
		if cancel, ok := l.cancels[n]; ok {
			cancel()
		}
	}
}

// remoteBatch is a batch that runs on another VM.
type remoteBatch struct {
	client  *Client
	address string
	id      string
	query   string
	deliver func(SubReply)

	mu sync.Mutex
	// pending holds the sub-requests without a reply, by attempt.
	pending map[uint64]SubRequest
}

// Cancel implements PendingBatch.
func (b *remoteBatch) Cancel(attempts ...uint64) {
	b.client.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// The error is ignored: without the cancellation the owner only does
		// work that is no longer needed.
		_ = b.client.config.Caller.Call(ctx, b.address, MethodCancel, CancelArgs{Call: b.id, Attempts: attempts}, &CancelArgs{})
	})
}

func (b *remoteBatch) run(rs []SubRequest) {
	last := rs[0].Deadline
	for _, r := range rs {
		if r.Deadline.After(last) {
			last = r.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	var reply RunReply
	args := encodeRun(b.id, b.client.config.VM, rs, time.Now())
	err := b.client.config.Caller.Call(ctx, b.address, MethodRun, args, &reply)
	switch {
	case errors.Is(err, shuntpeer.ErrNotSent):
		b.deliverRest(func(r SubRequest) SubReply { return r.NotRun(shuntoutcome.PeerLost) })
		return
	case err == nil:
		b.deliverReplies(reply.Replies)
	case ctx.Err() != nil:
		b.Cancel()
		// The owner exceeded the deadline, which does not mean that it was lost.
		b.deliverRest(func(r SubRequest) SubReply { return r.Unknown(shuntoutcome.DeadlinePassed) })
		return
	}
	b.deliverRest(func(r SubRequest) SubReply { return r.Unknown(shuntoutcome.PeerLost) })
}

// deliverReplies delivers replies, but only the first one of each attempt.
func (b *remoteBatch) deliverReplies(ws []wireReply) {
	for _, w := range ws {
		b.mu.Lock()
		_, ok := b.pending[w.Attempt]
		delete(b.pending, w.Attempt)
		b.mu.Unlock()
		if ok {
			b.deliver(decodeReply(b.query, w))
		}
	}
}

// deliverRest delivers the result of reply for each sub-request without a reply.
func (b *remoteBatch) deliverRest(reply func(SubRequest) SubReply) {
	b.mu.Lock()
	rest := b.pending
	b.pending = map[uint64]SubRequest{}
	b.mu.Unlock()
	for _, r := range rest {
		b.deliver(reply(r))
	}
}
