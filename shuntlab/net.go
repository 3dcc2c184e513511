// Package shuntlab runs the daemons' decisions in one process and in virtual
// time, for tests and measurements: real daemons over a network in memory and
// stand-in backend servers. It is for testing/synctest bubbles.
package shuntlab

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

// lostAfter is when a caller learns that a connection over a cut is dead.
const lostAfter = 1200 * time.Millisecond

// Network carries the calls between VMs in memory.
type Network struct {
	delay func(from, to string) time.Duration
	group sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	cut   map[pair]bool
}

type node struct {
	name, zone string
	receivers  map[string]any
}

type pair struct{ from, to string }

// NewNetwork returns a Net in which delay gives the one-way delay between zones.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{delay: delay, nodes: map[string]*node{}, cut: map[pair]bool{}}
}

// Add lets a daemon be called at address.
func (n *Network) Add(address, zone string, d *shuntdaemon.Daemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = &node{name: d.Name(), zone: zone, receivers: d.Receivers()}
}

// Remove makes calls to address fail as to a machine without the process.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetPartitioned loses all messages between two VMs, or carries them again.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair{a, b}] = cut
	n.cut[pair{b, a}] = cut
}

// Caller is one VM's end of a Net.
type Caller struct {
	net        *Network
	name, zone string
}

// Caller returns the end of the VM called name.
func (n *Network) Caller(name, zone string) *Caller { return &Caller{n, name, zone} }

// Call implements the callers of all packages.
func (c *Caller) Call(ctx context.Context, address, method string, args, reply any) error {
	c.net.mu.Lock()
	to, ok := c.net.nodes[address]
	cut := ok && c.net.cut[pair{c.name, to.name}]
	c.net.mu.Unlock()
	if !ok {
		return errors.Annotatef(shuntpeer.ErrNotSent, "%s refuses connections", address)
	}
	if cut {
		return lost(ctx)
	}
	delay := c.net.delay(c.zone, to.zone)
	done := make(chan error, 1)
	c.net.group.Go(func() {
		time.Sleep(delay)
		err := dispatch(to.receivers, method, args, reply, func(hand func()) {
			time.Sleep(delay)
			c.net.deliver(ctx, c.name, to.name, hand, done)
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

func lost(ctx context.Context) error {
	t := time.NewTimer(lostAfter)
	defer t.Stop()
	select {
	case <-t.C:
		return errors.New("connection lost")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver hands over a reply, unless the caller has gone or a cut came between.
func (n *Network) deliver(ctx context.Context, from, to string, hand func(), done chan<- error) {
	n.mu.Lock()
	cut := n.cut[pair{from, to}]
	n.mu.Unlock()
	if ctx.Err() != nil || cut {
		return
	}
	hand()
	done <- nil
}

// dispatch calls the receiver's method and hands its reply to deliver.
func dispatch(rs map[string]any, method string, args, reply any, deliver func(hand func())) error {
	switch method {
	case shuntfleet.MethodBeat:
		return call(rs[shuntfleet.ServiceName].(*shuntfleet.Service).Beat, args, reply, deliver)
	case shuntfleet.MethodFetch:
		return call(rs[shuntfleet.ServiceName].(*shuntfleet.Service).Fetch, args, reply, deliver)
	case shuntowner.MethodRun:
		return call(rs[shuntowner.ServiceName].(*shuntowner.Service).Run, args, reply, deliver)
	case shuntowner.MethodDeliver:
		return call(rs[shuntowner.ReplyServiceName].(*shuntowner.Replies).Deliver, args, reply, deliver)
	case shuntowner.MethodAdopt:
		return call(rs[shuntowner.ServiceName].(*shuntowner.Service).Adopt, args, reply, deliver)
	case shuntowner.MethodCancel:
		return call(rs[shuntowner.ServiceName].(*shuntowner.Service).Cancel, args, reply, deliver)
	case shuntentry.MethodForward:
		return call(rs[shuntentry.ServiceName].(forwarder).Forward, args, reply, deliver)
	}
	return errors.NotFoundf("method %q", method)
}

type forwarder interface {
	Forward(a shuntentry.ForwardArgs, reply *shuntentry.ForwardReply) error
}

func call[A, R any](f func(A, *R) error, args, reply any, deliver func(hand func())) error {
	var out R
	if err := f(args.(A), &out); err != nil {
		return err
	}
	deliver(func() { *reply.(*R) = out })
	return nil
}
