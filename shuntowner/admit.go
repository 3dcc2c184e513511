package shuntowner

import (
	"context"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// slot is the right to run one request, on conn or on a connection to be opened.
type slot struct {
	conn  *pooled
	fresh bool
	life  uint64
	cold  bool
	// kept: without a lease there is no other connection to be had, so this
	// one is not given up when its caller no longer waits.
	kept bool
	// until bounds the request's deadline; zero means no bound.
	until time.Time
}

// refusal says why a request got no slot.
type refusal struct {
	reason shuntoutcome.Reason
	owner  string
}

// acquire waits for a slot. It returns nil and the reason when r can't run.
func (g *Dispatcher) acquire(ctx context.Context, r SubRequest) (*slot, refusal) {
	g.mu.Lock()
	now := time.Now()
	if no, bad := g.refuse(r, now); bad {
		g.mu.Unlock()
		return nil, no
	}
	if len(g.queue) == 0 {
		s, no := g.take(now)
		if s != nil || no.reason != shuntoutcome.None {
			g.mu.Unlock()
			return s, no
		}
	}
	w, no := g.enqueue(r)
	g.mu.Unlock()
	if w == nil {
		return nil, no
	}
	return g.wait(ctx, w)
}

// refuse says whether r can be refused before it queues.
func (g *Dispatcher) refuse(r SubRequest, now time.Time) (refusal, bool) {
	if g.place.Draining {
		return refusal{reason: shuntoutcome.ServerLeaving}, true
	}
	if !now.Before(r.Deadline) {
		return refusal{reason: shuntoutcome.DeadlinePassed}, true
	}
	l := g.config.Leases.Lease(g.id, now)
	if !l.Held && (l.Owner != "" || !g.mayShare()) {
		g.leave(l)
		return refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}, true
	}
	return refusal{}, false
}

// leave closes what an owner keeps, once another VM is known to be the owner.
func (g *Dispatcher) leave(l LeaseState) {
	if l.Owner == "" {
		return
	}
	g.dropIdle()
	g.refuseAll(shuntoutcome.NotOwner)
}

// mayShare says whether the server may get requests without a lease: only a
// warm one, and only over connections confirmed for its present life.
func (g *Dispatcher) mayShare() bool {
	return g.ramp.Warm() && (len(g.idle) > 0 || g.running > 0)
}

// take returns a slot when there is room now. Without a slot, a reason other
// than None means that waiting is of no use.
func (g *Dispatcher) take(now time.Time) (*slot, refusal) {
	l := g.config.Leases.Lease(g.id, now)
	limit := g.limit()
	if !l.Held && l.Owner != "" {
		return nil, refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}
	}
	if !l.Held {
		limit = max(1, limit/max(1, l.CellSize))
	}
	if g.running+g.fresh >= limit {
		return nil, refusal{}
	}
	if c := g.takeLast(&g.idle, now, l.Held); c != nil {
		g.running++
		s := &slot{conn: c, life: g.life, cold: !g.ramp.Warm(), kept: !l.Held}
		if s.cold {
			s.until = l.Until.Add(-expiryMargin)
		}
		return s, refusal{}
	}
	if !l.Held {
		return nil, refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}
	}
	if g.fresh >= g.freshLimit() {
		return nil, refusal{}
	}
	if c := g.takeLast(&g.spare, now, true); c != nil {
		g.fresh++
		return &slot{conn: c, fresh: true, cold: true, until: l.Until.Add(-expiryMargin)}, refusal{}
	}
	if g.open >= g.openLimit() {
		return nil, refusal{}
	}
	if now.Before(g.dialAfter) {
		if g.running+g.fresh > 0 {
			return nil, refusal{}
		}
		return nil, refusal{reason: shuntoutcome.ConnectFailed}
	}
	g.fresh++
	g.open++
	return &slot{fresh: true, cold: true, until: l.Until.Add(-expiryMargin)}, refusal{}
}

// takeLast returns the connection used last, and closes those unused too long
// and those that the server has closed. A request must not find out: it could
// not be told from one that the server died of. Without a lease (held false) an
// old connection is better than none.
func (g *Dispatcher) takeLast(from *[]*pooled, now time.Time, held bool) *pooled {
	for n := len(*from); n > 0; n = len(*from) {
		c := (*from)[n-1]
		*from = (*from)[:n-1]
		idle := now.Sub(c.lastUsed)
		if (idle < idleLimit || !held) && (idle < aliveAfter || c.conn.Alive()) {
			return c
		}
		_ = c.conn.Close()
		g.open--
	}
	return nil
}

func (g *Dispatcher) enqueue(r SubRequest) (*waiter, refusal) {
	g.arrived++
	w := &waiter{class: r.Class, deadline: r.Deadline.Add(-g.latency), sequence: g.arrived, ready: make(chan turn, 1)}
	if !time.Now().Before(w.deadline) {
		return nil, refusal{reason: shuntoutcome.QueueTimeout}
	}
	g.queue.add(w)
	if len(g.queue) <= queuePerSlot*g.place.Slots {
		return w, refusal{}
	}
	out := g.queue.worst()
	g.queue.remove(out)
	if out == w {
		return nil, refusal{reason: shuntoutcome.QueueFull}
	}
	out.ready <- turn{refusal: refusal{reason: shuntoutcome.QueueFull}}
	return w, refusal{}
}

func (g *Dispatcher) wait(ctx context.Context, w *waiter) (*slot, refusal) {
	t := time.NewTimer(time.Until(w.deadline))
	defer t.Stop()
	why := shuntoutcome.QueueTimeout
	select {
	case x := <-w.ready:
		return x.slot, x.refusal
	case <-t.C:
	case <-ctx.Done():
		why = shuntoutcome.Cancelled
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if !removed {
		// The turn was given at the same moment; it must not be lost.
		x := <-w.ready
		return x.slot, x.refusal
	}
	return nil, refusal{reason: why}
}

// serveQueue gives slots to waiters while there is room.
func (g *Dispatcher) serveQueue(now time.Time) {
	for {
		w := g.queue.first()
		if w == nil {
			return
		}
		s, no := g.take(now)
		if s == nil && no.reason == shuntoutcome.None {
			return
		}
		g.queue.takeFirst()
		w.ready <- turn{slot: s, refusal: no}
	}
}

func (g *Dispatcher) refuseAll(why shuntoutcome.Reason) {
	for len(g.queue) > 0 {
		g.queue.takeFirst().ready <- turn{refusal: refusal{reason: why}}
	}
}

// mayDispatch reads the lease once more.
func (g *Dispatcher) mayDispatch(s *slot, now time.Time) (refusal, bool) {
	l := g.config.Leases.Lease(g.id, now)
	if l.Held {
		return refusal{}, true
	}
	if l.Owner == "" && !s.cold && !s.fresh {
		return refusal{}, true
	}
	return refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}, false
}

// giveBack returns a slot that was not used.
func (g *Dispatcher) giveBack(s *slot) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uncount(s)
	if s.fresh || s.life != g.life {
		// An unconfirmed connection is not kept: nothing is known of its end.
		_ = s.conn.conn.Close()
		g.open--
	} else {
		g.idle = append(g.idle, s.conn)
	}
	g.serveQueue(now)
}

func (g *Dispatcher) uncount(s *slot) {
	if s.fresh {
		g.fresh--
		return
	}
	g.running--
}
