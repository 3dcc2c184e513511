package shuntowner

import (
	"context"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// slot permits one request to run, on conn or, if conn is nil, on a connection
// that is yet to be opened.
type slot struct {
	conn        *pooledConn
	unconfirmed bool
	// epoch is the epoch of the Dispatcher when the slot was acquired. It is only
	// set for confirmed connections.
	epoch uint64
	// cold means that the server was cold, or the connection unconfirmed, when
	// the slot was acquired.
	cold bool
	// uninterruptible means that the request is not cancelled when its caller no
	// longer waits. It is set without a lease, because then a closed connection
	// cannot be replaced.
	uninterruptible bool
	// maxDeadline limits the deadline of the request. Zero means no limit.
	maxDeadline time.Time
}

// refusal says why a request got no slot. owner is the VM that holds the lease,
// if known.
type refusal struct {
	reason shuntoutcome.Reason
	owner  string
}

// acquire waits for a slot. It returns nil and the reason if r cannot run.
func (d *Dispatcher) acquire(ctx context.Context, r SubRequest) (*slot, refusal) {
	d.mu.Lock()
	now := time.Now()
	if ref, refused := d.checkRefusal(r, now); refused {
		d.mu.Unlock()
		return nil, ref
	}
	if len(d.queue) == 0 {
		s, ref := d.tryAcquire(now)
		if s != nil || ref.reason != shuntoutcome.None {
			d.mu.Unlock()
			return s, ref
		}
	}
	w, ref := d.enqueue(r)
	d.mu.Unlock()
	if w == nil {
		return nil, ref
	}
	return d.wait(ctx, w)
}

// checkRefusal reports whether r must be refused before it is queued.
func (d *Dispatcher) checkRefusal(r SubRequest, now time.Time) (refusal, bool) {
	if d.server.Draining {
		return refusal{reason: shuntoutcome.ServerLeaving}, true
	}
	if !now.Before(r.Deadline) {
		return refusal{reason: shuntoutcome.DeadlinePassed}, true
	}
	l := d.config.Leases.Lease(d.id, now)
	if !l.Held && (l.Owner != "" || !d.mayRunWithoutLease()) {
		d.closeIfOwnedElsewhere(l)
		return refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}, true
	}
	return refusal{}, false
}

// closeIfOwnedElsewhere closes the idle connections and refuses the queued
// requests if another VM is known to be the owner.
func (d *Dispatcher) closeIfOwnedElsewhere(l LeaseState) {
	if l.Owner == "" {
		return
	}
	d.closeIdle()
	d.refuseQueued(shuntoutcome.NotOwner)
}

// mayRunWithoutLease reports whether the server may get requests without a
// lease. This is allowed only if the server is warm and there are connections
// that its current process has confirmed.
func (d *Dispatcher) mayRunWithoutLease() bool {
	return d.warmUp.Warm() && (len(d.idle) > 0 || d.confirmed > 0)
}

// tryAcquire returns a slot if one is available now. Without a slot, a reason
// other than None means that the request must not wait for one.
func (d *Dispatcher) tryAcquire(now time.Time) (*slot, refusal) {
	l := d.config.Leases.Lease(d.id, now)
	limit := d.limit()
	if !l.Held && l.Owner != "" {
		return nil, refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}
	}
	if !l.Held {
		limit = max(1, limit/max(1, l.CellSize))
	}
	if d.confirmed+d.unconfirmed >= limit {
		return nil, refusal{}
	}
	if c := d.popUsable(&d.idle, now, l.Held); c != nil {
		d.confirmed++
		s := &slot{conn: c, epoch: d.epoch, cold: !d.warmUp.Warm(), uninterruptible: !l.Held}
		if s.cold {
			s.maxDeadline = l.Until.Add(-maxClockSkew)
		}
		return s, refusal{}
	}
	if !l.Held {
		return nil, refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}
	}
	if d.unconfirmed >= d.unconfirmedLimit() {
		return nil, refusal{}
	}
	if c := d.popUsable(&d.spare, now, true); c != nil {
		d.unconfirmed++
		return &slot{conn: c, unconfirmed: true, cold: true, maxDeadline: l.Until.Add(-maxClockSkew)}, refusal{}
	}
	if d.openConns >= d.openLimit() {
		return nil, refusal{}
	}
	if now.Before(d.dialAfter) {
		if d.confirmed+d.unconfirmed > 0 {
			return nil, refusal{}
		}
		return nil, refusal{reason: shuntoutcome.ConnectFailed}
	}
	d.unconfirmed++
	d.openConns++
	return &slot{unconfirmed: true, cold: true, maxDeadline: l.Until.Add(-maxClockSkew)}, refusal{}
}

// popUsable removes and returns the most recently used connection of a list. It
// closes those that were idle for too long or that the server has closed. Using
// such a connection would fail the request in a way that looks like a crash of
// the server. Without a lease, a connection is used however long it was idle,
// because it cannot be replaced.
func (d *Dispatcher) popUsable(from *[]*pooledConn, now time.Time, held bool) *pooledConn {
	for n := len(*from); n > 0; n = len(*from) {
		c := (*from)[n-1]
		*from = (*from)[:n-1]
		idle := now.Sub(c.lastUsed)
		if (idle < maxIdleTime || !held) && (idle < aliveCheckAfter || c.conn.Alive()) {
			return c
		}
		_ = c.conn.Close()
		d.openConns--
	}
	return nil
}

func (d *Dispatcher) enqueue(r SubRequest) (*waiter, refusal) {
	d.arrivals++
	w := &waiter{class: r.Class, deadline: r.Deadline.Add(-d.latency), sequence: d.arrivals, result: make(chan waitResult, 1)}
	if !time.Now().Before(w.deadline) {
		return nil, refusal{reason: shuntoutcome.QueueTimeout}
	}
	d.queue.add(w)
	if len(d.queue) <= queuePerSlot*d.server.Slots {
		return w, refusal{}
	}
	out := d.queue.last()
	d.queue.remove(out)
	if out == w {
		return nil, refusal{reason: shuntoutcome.QueueFull}
	}
	out.result <- waitResult{refusal: refusal{reason: shuntoutcome.QueueFull}}
	return w, refusal{}
}

func (d *Dispatcher) wait(ctx context.Context, w *waiter) (*slot, refusal) {
	t := time.NewTimer(time.Until(w.deadline))
	defer t.Stop()
	cause := shuntoutcome.QueueTimeout
	select {
	case x := <-w.result:
		return x.slot, x.refusal
	case <-t.C:
	case <-ctx.Done():
		cause = shuntoutcome.Cancelled
	}
	d.mu.Lock()
	removed := d.queue.remove(w)
	d.mu.Unlock()
	if !removed {
		// The result was sent after the select ended. It may hold a slot, which
		// must not be lost.
		x := <-w.result
		return x.slot, x.refusal
	}
	return nil, refusal{reason: cause}
}

// serveQueue gives slots to queued requests while slots are available.
func (d *Dispatcher) serveQueue(now time.Time) {
	for {
		w := d.queue.first()
		if w == nil {
			return
		}
		s, ref := d.tryAcquire(now)
		if s == nil && ref.reason == shuntoutcome.None {
			return
		}
		d.queue.popFirst()
		w.result <- waitResult{slot: s, refusal: ref}
	}
}

func (d *Dispatcher) refuseQueued(cause shuntoutcome.Reason) {
	for len(d.queue) > 0 {
		d.queue.popFirst().result <- waitResult{refusal: refusal{reason: cause}}
	}
}

// mayDispatch checks the lease again after a slot was acquired.
func (d *Dispatcher) mayDispatch(s *slot, now time.Time) (refusal, bool) {
	l := d.config.Leases.Lease(d.id, now)
	if l.Held {
		return refusal{}, true
	}
	if l.Owner == "" && !s.cold && !s.unconfirmed {
		return refusal{}, true
	}
	return refusal{reason: shuntoutcome.NotOwner, owner: l.Owner}, false
}

// returnUnused returns a slot whose request was not sent.
func (d *Dispatcher) returnUnused(s *slot) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeInFlight(s)
	if s.unconfirmed || s.epoch != d.epoch {
		// Only connections that the current process has confirmed may be idle.
		_ = s.conn.conn.Close()
		d.openConns--
	} else {
		d.idle = append(d.idle, s.conn)
	}
	d.serveQueue(now)
}

func (d *Dispatcher) removeInFlight(s *slot) {
	if s.unconfirmed {
		d.unconfirmed--
		return
	}
	d.confirmed--
}
