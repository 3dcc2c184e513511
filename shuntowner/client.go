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

// Caller calls other daemons; *shuntpeer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// PendingBatch is a batch on its way.
type PendingBatch interface {
	// Cancel ends the named attempts, or all when none are named. Their
	// replies still come.
	Cancel(attempts ...uint64)
}

// ClientConfig is what a Client is made of.
type ClientConfig struct {
	Caller Caller
	// ProcessID is this VM's name and start identity; it makes call names unique.
	ProcessID string
	// Address returns the peer address of a VM.
	Address func(vm string) (string, bool)
	// VM is this VM's name; Local runs the batches for it without a call.
	VM    string
	Local *Owner
}

// Client sends batches of sub-requests to owners.
type Client struct {
	config ClientConfig
	group  shuntgroup.Group
	calls  atomic.Uint64

	mu      sync.Mutex
	batches map[string]*batch
}

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, batches: map[string]*batch{}}
}

// Shutdown sends no more batches and waits until all have ended.
func (c *Client) Shutdown() { c.group.Close() }

// Send sends rs to a VM and returns at once. deliver is called once for each
// of rs, from several goroutines.
func (c *Client) Send(vm string, rs []SubRequest, deliver func(SubReply)) PendingBatch {
	if vm == c.config.VM {
		return c.sendLocal(rs, deliver)
	}
	address, ok := c.config.Address(vm)
	if !ok {
		for _, r := range rs {
			deliver(r.NotRun(shuntoutcome.PeerLost))
		}
		return noSent{}
	}
	b := &batch{
		client:  c,
		address: address,
		id:      fmt.Sprintf("%s.%d", c.config.ProcessID, c.calls.Add(1)),
		query:   rs[0].Query,
		deliver: deliver,
		waiting: make(map[uint64]SubRequest, len(rs)),
	}
	for _, r := range rs {
		b.waiting[r.Attempt] = r
	}
	c.mu.Lock()
	c.batches[b.id] = b
	c.mu.Unlock()
	started := c.group.Go(func() {
		b.run(rs)
		c.forget(b)
	})
	if !started {
		c.forget(b)
		b.end(func(r SubRequest) SubReply { return r.NotRun(shuntoutcome.ShuttingDown) })
	}
	return b
}

func (c *Client) forget(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.batches, b.id)
}

// BatchesSent returns the number of batches sent to other VMs.
func (c *Client) BatchesSent() uint64 { return c.calls.Load() }

// Replies returns the receiver of the replies that owners deliver.
func (c *Client) Replies() *Replies { return &Replies{c} }

// Replies receives what owners deliver before the end of a batch.
type Replies struct{ client *Client }

// Deliver takes replies of a running batch; those of an ended one are dropped.
func (p *Replies) Deliver(a DeliverArgs, _ *DeliverArgs) error {
	p.client.mu.Lock()
	b, ok := p.client.batches[a.Call]
	p.client.mu.Unlock()
	if ok {
		b.take(a.Replies)
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

type noSent struct{}

// Cancel implements Sent; there is nothing to cancel.
func (noSent) Cancel(...uint64) {}

type localBatch struct {
	// cancels is not changed after it is made.
	cancels map[uint64]context.CancelFunc
}

// Cancel implements Sent.
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

// batch is one call to an owner.
type batch struct {
	client  *Client
	address string
	id      string
	query   string
	deliver func(SubReply)

	mu sync.Mutex
	// waiting holds the sub-requests without a reply.
	waiting map[uint64]SubRequest
}

// Cancel implements Sent.
func (b *batch) Cancel(attempts ...uint64) {
	b.client.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// A cancel that is lost costs work that nobody waits for, nothing else.
		_ = b.client.config.Caller.Call(ctx, b.address, MethodCancel, CancelArgs{Call: b.id, Attempts: attempts}, &CancelArgs{})
	})
}

func (b *batch) run(rs []SubRequest) {
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
		b.end(func(r SubRequest) SubReply { return r.NotRun(shuntoutcome.PeerLost) })
		return
	case err == nil:
		b.take(reply.Replies)
	case ctx.Err() != nil:
		b.Cancel()
		// A late owner is not a lost one.
		b.end(func(r SubRequest) SubReply { return r.Unknown(shuntoutcome.DeadlinePassed) })
		return
	}
	b.end(func(r SubRequest) SubReply { return r.Unknown(shuntoutcome.PeerLost) })
}

// take delivers replies, each attempt's once.
func (b *batch) take(ws []wireReply) {
	for _, w := range ws {
		b.mu.Lock()
		_, ok := b.waiting[w.Attempt]
		delete(b.waiting, w.Attempt)
		b.mu.Unlock()
		if ok {
			b.deliver(decodeReply(b.query, w))
		}
	}
}

// end gives a reply for every sub-request that got none.
func (b *batch) end(reply func(SubRequest) SubReply) {
	b.mu.Lock()
	left := b.waiting
	b.waiting = map[uint64]SubRequest{}
	b.mu.Unlock()
	for _, r := range left {
		b.deliver(reply(r))
	}
}
