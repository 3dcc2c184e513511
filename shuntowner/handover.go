package shuntowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// MethodAdopt is the RPC method that sends the state of a server to its next
// owner.
const MethodAdopt = ServiceName + ".Adopt"

const adoptTimeout = time.Second

// AdoptArgs is the state of a server that its next owner can continue with. It
// may arrive at any time. It only applies to the process with the given start
// identity, and the connections of the next owner remain unconfirmed until that
// process has replied on them.
type AdoptArgs struct {
	Server string
	Start  string
	Ramp   int
}

// HandOver sends the state of a server to the VM with the given address.
func (o *Owner) HandOver(ctx context.Context, c Caller, address, server string) {
	o.mu.Lock()
	d, ok := o.dispatchers[server]
	o.mu.Unlock()
	if !ok {
		return
	}
	s := d.State()
	if s.Start == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	args := AdoptArgs{Server: server, Start: s.Start, Ramp: s.WarmUpLimit}
	if err := c.Call(ctx, address, MethodAdopt, args, &AdoptArgs{}); err != nil {
		klog.V(1).InfoS("Handover failed; the next owner treats the server as cold", "server", server, "reason", err.Error())
	}
}

// Adopt applies the state that the previous owner of a server sent.
func (s *Service) Adopt(a AdoptArgs, _ *AdoptArgs) error {
	if d := s.config.Owner.dispatcher(a.Server); d != nil {
		d.adopt(a)
	}
	return nil
}

func (d *Dispatcher) adopt(a AdoptArgs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.start != "" && d.start != a.Start {
		return
	}
	if d.start == "" {
		d.start = a.Start
		d.epoch++
	}
	d.warmUp = d.warmUp.withStep(a.Ramp, time.Now())
	if d.warmUp.Warm() {
		d.coldReason = ""
	}
	klog.V(1).InfoS("Adopted warm-up state of previous owner", "server", d.id, "start", a.Start, "ramp", a.Ramp)
	d.serveQueue(time.Now())
}

// withStep returns the warm-up at the limit that the previous owner had reached, if
// that is higher. The time and the successes of the step count from now, because
// it is not known when the previous owner reached it.
func (w WarmUp) withStep(step int, now time.Time) WarmUp {
	step = min(step, w.config.FullLimit)
	if step <= w.step {
		return w
	}
	w.step = step
	w.successes = 0
	w.stepStart = now
	return w
}
