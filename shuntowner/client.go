package shuntowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntpeer"
)

const cancelTimeout = time.Second

// Caller calls other daemons; *shuntpeer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Sent is a batch on its way.
type Sent interface {
	// Cancel ends the named attempts, or all when none are named. Their
	// replies still come.
	Cancel(attempts ...uint64)
}

// ClientConfig is what a Client is made of.
type ClientConfig struct {
	Caller Caller
	// Self is this VM's name and start identity; it makes call names unique.
	Self string
	// Address returns the peer address of a VM.
	Address func(vm string) (string, bool)
	// Local runs the batches for the VM named LocalVM without a call.
	Local   *Owner
	LocalVM string
}

// Client sends batches of sub-requests to owners.
type Client struct {
	config ClientConfig
	group  sync.WaitGroup
	calls  atomic.Uint64
}

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c}
}

// Wait waits until all batches have ended.
func (c *Client) Wait() { c.group.Wait() }

// Send sends rs to a VM and returns at once. deliver is called once for each
// of rs, from several goroutines.
func (c *Client) Send(vm string, rs []SubRequest, deliver func(SubReply)) Sent {
	if vm == c.config.LocalVM {
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
		id:      fmt.Sprintf("%s.%d", c.config.Self, c.calls.Add(1)),
		deliver: deliver,
		waiting: make(map[uint64]SubRequest, len(rs)),
	}
	for _, r := range rs {
		b.waiting[r.Attempt] = r
	}
	c.group.Go(func() { b.run(rs) })
	return b
}

func (c *Client) sendLocal(rs []SubRequest, deliver func(SubReply)) Sent {
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

// batch is one call to an owner and the collects that follow it.
type batch struct {
	client  *Client
	address string
	id      string
	deliver func(SubReply)
	// waiting holds the sub-requests without a reply; only run uses it.
	waiting map[uint64]SubRequest
}

// Cancel implements Sent.
func (b *batch) Cancel(attempts ...uint64) {
	b.client.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// A cancel that is lost costs work that nobody waits for, nothing else.
		_ = b.client.config.Caller.Call(ctx, b.address, MethodCancel, CallArgs{Call: b.id, Attempts: attempts}, &CallArgs{})
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
	err := b.client.config.Caller.Call(ctx, b.address, MethodRun, encodeRun(b.id, rs, time.Now()), &reply)
	if errors.Is(err, shuntpeer.ErrNotSent) {
		b.end(func(r SubRequest) SubReply { return r.NotRun(shuntoutcome.PeerLost) })
		return
	}
	for err == nil {
		b.take(rs[0].Query, reply.Replies)
		if !reply.More {
			break
		}
		reply = RunReply{}
		err = b.client.config.Caller.Call(ctx, b.address, MethodCollect, CallArgs{Call: b.id}, &reply)
	}
	if ctx.Err() != nil {
		b.Cancel()
	}
	b.end(func(r SubRequest) SubReply { return r.Unknown(shuntoutcome.PeerLost) })
}

func (b *batch) take(query string, ws []wireReply) {
	for _, w := range ws {
		if _, ok := b.waiting[w.Attempt]; !ok {
			continue
		}
		delete(b.waiting, w.Attempt)
		b.deliver(decodeReply(query, w))
	}
}

func (b *batch) end(reply func(SubRequest) SubReply) {
	for _, r := range b.waiting {
		b.deliver(reply(r))
	}
}
