package shuntowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// MethodAdopt hands a server's state to the VM that owns it next.
const MethodAdopt = ServiceName + ".Adopt"

const adoptTimeout = time.Second

// AdoptArgs is what the next owner of a server can go on from. It is safe at
// any time, however late: it only counts for the life of the process that it
// names, and the next owner's connections are unconfirmed until that process
// has answered on them.
type AdoptArgs struct {
	Server string
	Start  string
	Ramp   int
}

// HandOver sends the state of a server to the VM at address.
func (o *Owner) HandOver(ctx context.Context, c Caller, address, server string) {
	o.mu.Lock()
	g, ok := o.gates[server]
	o.mu.Unlock()
	if !ok {
		return
	}
	s := g.State()
	if s.Start == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	args := AdoptArgs{Server: server, Start: s.Start, Ramp: s.WarmUpLimit}
	if err := c.Call(ctx, address, MethodAdopt, args, &AdoptArgs{}); err != nil {
		klog.V(1).InfoS("State not handed over; the next owner starts cold", "server", server, "reason", err.Error())
	}
}

// Adopt takes over a server's state from its owner before.
func (s *Service) Adopt(a AdoptArgs, _ *AdoptArgs) error {
	if g := s.config.Owner.gate(a.Server); g != nil {
		g.adopt(a)
	}
	return nil
}

func (g *Dispatcher) adopt(a AdoptArgs) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.start != "" && g.start != a.Start {
		return
	}
	if g.start == "" {
		g.start = a.Start
		g.life++
	}
	g.ramp = g.ramp.withStep(a.Ramp, time.Now())
	if g.ramp.Warm() {
		g.coldWhy = ""
	}
	klog.V(1).InfoS("State adopted", "server", g.id, "start", a.Start, "ramp", a.Ramp)
	g.serveQueue(time.Now())
}

// withStep returns the ramp at a step that the owner before had reached. Its
// time and successes count from now: when the owner before got there is not known.
func (r WarmUp) withStep(step int, now time.Time) WarmUp {
	step = min(step, r.config.FullLimit)
	if step <= r.step {
		return r
	}
	r.step = step
	r.successes = 0
	r.since = now
	return r
}
