// Package shuntcluster runs real daemons in one process and in virtual time, with an
// in-memory network and fake backend servers, for tests and measurements. It must
// be used in testing/synctest bubbles.
package shuntcluster

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntdaemon"
	"mulberryshunt.example/mulberryshunt/shuntentry"
	"mulberryshunt.example/mulberryshunt/shuntfleet"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntpeer"
)

// connectionLossTimeout is the time after which a caller notices that a
// connection across a network partition is dead.
const connectionLossTimeout = 1200 * time.Millisecond

// Network carries RPC calls between VMs in memory.
type Network struct {
	delay func(from, to string) time.Duration
	group sync.WaitGroup

	mu          sync.Mutex
	nodes       map[string]*node
	partitioned map[link]bool
}

type node struct {
	name, zone string
	receivers  map[string]any
}

// link identifies one direction of the traffic between two VMs.
type link struct{ from, to string }

// NewNetwork returns an empty Network. delay returns the one-way delay between two
// zones.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{delay: delay, nodes: map[string]*node{}, partitioned: map[link]bool{}}
}

// Add makes d reachable at address.
func (n *Network) Add(address, zone string, d *shuntdaemon.Daemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = &node{name: d.Name(), zone: zone, receivers: d.Receivers()}
}

// Remove makes calls to address fail, as if no process listened there.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetPartitioned sets whether all messages between two VMs are lost.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[link{a, b}] = partitioned
	n.partitioned[link{b, a}] = partitioned
}

// Caller makes calls over a Network on behalf of one VM.
type Caller struct {
	network    *Network
	name, zone string
}

// Caller returns a Caller for the named VM in the given zone.
func (n *Network) Caller(name, zone string) *Caller { return &Caller{n, name, zone} }

// Call implements the caller interfaces of the packages that call other VMs.
func (c *Caller) Call(ctx context.Context, address, method string, args, reply any) error {
	c.network.mu.Lock()
	to, ok := c.network.nodes[address]
	partitioned := ok && c.network.partitioned[link{c.name, to.name}]
	c.network.mu.Unlock()
	if !ok {
		return errors.Annotatef(shuntpeer.ErrNotSent, "%s refuses connections", address)
	}
	if partitioned {
		return awaitConnectionLoss(ctx)
	}
	delay := c.network.delay(c.zone, to.zone)
	done := make(chan error, 1)
	c.network.group.Go(func() {
		time.Sleep(delay)
		err := dispatch(to.receivers, method, args, reply, func(setReply func()) {
			time.Sleep(delay)
			c.network.deliver(ctx, c.name, to.name, setReply, done)
		})
		if err != nil {
			done <- err
		}
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitConnectionLoss waits until a connection across a partition is noticed as
// dead, or ctx ends, and returns the error.
func awaitConnectionLoss(ctx context.Context) error {
	t := time.NewTimer(connectionLossTimeout)
	defer t.Stop()
	select {
	case <-t.C:
		return errors.New("connection lost")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver passes a reply to the caller with setReply, unless the caller's context
// has ended or the two VMs have been partitioned.
func (n *Network) deliver(ctx context.Context, from, to string, setReply func(), done chan<- error) {
	n.mu.Lock()
	partitioned := n.partitioned[link{from, to}]
	n.mu.Unlock()
	if ctx.Err() != nil || partitioned {
		return
	}
	setReply()
	done <- nil
}

// dispatch calls the named method on its receiver. If the method succeeds, it
// calls deliver with a function that copies the result to reply.
func dispatch(receivers map[string]any, method string, args, reply any, deliver func(setReply func())) error {
	switch method {
	case shuntfleet.MethodBeat:
		return callMethod(receivers[shuntfleet.ServiceName].(*shuntfleet.Service).Beat, args, reply, deliver)
	case shuntfleet.MethodFetch:
		return callMethod(receivers[shuntfleet.ServiceName].(*shuntfleet.Service).Fetch, args, reply, deliver)
	case shuntowner.MethodRun:
		return callMethod(receivers[shuntowner.ServiceName].(*shuntowner.Service).Run, args, reply, deliver)
	case shuntowner.MethodDeliver:
		return callMethod(receivers[shuntowner.ReplyServiceName].(*shuntowner.Replies).Deliver, args, reply, deliver)
	case shuntowner.MethodAdopt:
		return callMethod(receivers[shuntowner.ServiceName].(*shuntowner.Service).Adopt, args, reply, deliver)
	case shuntowner.MethodCancel:
		return callMethod(receivers[shuntowner.ServiceName].(*shuntowner.Service).Cancel, args, reply, deliver)
	case shuntentry.MethodForward:
		return callMethod(receivers[shuntentry.ServiceName].(forwarder).Forward, args, reply, deliver)
	}
	return errors.NotFoundf("method %q", method)
}

type forwarder interface {
	Forward(a shuntentry.ForwardArgs, reply *shuntentry.ForwardReply) error
}

// callMethod calls f and, if it succeeds, deliver.
func callMethod[A, R any](f func(A, *R) error, args, reply any, deliver func(setReply func())) error {
	var out R
	if err := f(args.(A), &out); err != nil {
		return err
	}
	deliver(func() { *reply.(*R) = out })
	return nil
}
