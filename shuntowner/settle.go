package shuntowner

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	latencyWeight = 8
	// silentFactor: a connection that gave nothing for this many times the
	// usual latency, while others answered, makes older idle ones suspect.
	silentFactor = 4
	// pastLives is how many earlier start identities are remembered.
	pastLives = 8
)

// settle books the end of a dispatched request and returns its reply.
func (g *Dispatcher) settle(s *slot, r SubRequest, resp Response, err error, sent time.Time) SubReply {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.serveQueue(now)
	if err != nil {
		return g.settleError(s, r, err, sent, now)
	}
	g.lastProgress = now
	g.confirm(s, resp.Start, now)
	g.uncount(s)
	g.keep(s, now)
	if resp.Query != r.Query || resp.Attempt != r.Attempt || resp.Shard != r.Shard {
		return g.mismatch(s, r)
	}
	switch resp.Status {
	case StatusShed:
		g.shed(now)
		return r.NotRun(shuntoutcome.Shed)
	case StatusSnapshotGone:
		return r.NotRun(shuntoutcome.SnapshotGone)
	case StatusExpired:
		return r.NotRun(shuntoutcome.DeadlinePassed)
	case StatusLeaving:
		return r.NotRun(shuntoutcome.ServerLeaving)
	case StatusFault:
		return r.Unknown(shuntoutcome.ServerFault)
	}
	g.success(now.Sub(sent), now)
	if resp.Snapshot != r.Snapshot {
		// Rows of another snapshot must never be merged.
		return r.Unknown(shuntoutcome.ReplyMismatch)
	}
	out := r.reply(shuntoutcome.Complete, shuntoutcome.None)
	out.Rows = resp.Rows
	return out
}

// mismatch drops a connection whose replies belong to other requests: all that
// follows on it would be shifted too.
func (g *Dispatcher) mismatch(s *slot, r SubRequest) SubReply {
	g.config.Metrics.MismatchedReplies.Inc()
	klog.InfoS("Reply of another request dropped", "server", g.id, "query", r.Query, "shard", r.Shard, "attempt", r.Attempt)
	for i, c := range g.idle {
		if c == s.conn {
			g.idle = append(g.idle[:i], g.idle[i+1:]...)
			_ = c.conn.Close()
			g.open--
			break
		}
	}
	return r.Unknown(shuntoutcome.ReplyMismatch)
}

// confirm ties the connection to the life of the process that answered on it.
// A reply may still come from a process that has died since: its bytes were on
// their way while another connection already reached the next process. It
// tells nothing of the present life, and its connection is of no use.
func (g *Dispatcher) confirm(s *slot, start string, now time.Time) {
	switch {
	case !s.fresh && s.life != g.life, slices.Contains(g.past, start):
		return
	case start == g.start:
		s.conn.life = g.life
		return
	}
	known := g.start != ""
	if known {
		g.past = append(g.past, g.start)
		if len(g.past) > pastLives {
			g.past = g.past[1:]
		}
	}
	g.start = start
	g.newLife()
	s.conn.life = g.life
	// The ramp starts here also after a first contact or a refused connection:
	// until this reply nothing says since when the process runs.
	if !known {
		g.reset(g.coldWhy, now)
		return
	}
	g.config.Metrics.ColdStarts.Inc()
	g.reset("restarted", now)
	klog.InfoS("Backend server taken as cold", "server", g.id, "reason", "restarted")
}

// keep puts the connection of a finished request back among the idle ones.
func (g *Dispatcher) keep(s *slot, now time.Time) {
	s.conn.lastUsed = now
	if s.conn.life == g.life && g.life != 0 {
		g.idle = append(g.idle, s.conn)
		return
	}
	_ = s.conn.conn.Close()
	g.open--
}

func (g *Dispatcher) success(latency time.Duration, now time.Time) {
	g.shedsInRow = 0
	g.latency += (latency - g.latency) / latencyWeight
	if !g.ramp.Warm() {
		g.ramp = g.ramp.WithSuccess(now)
		if g.ramp.Warm() {
			g.coldWhy = ""
			klog.InfoS("Backend server is warm", "server", g.id)
		}
		return
	}
	g.window = g.window.WithSuccess(latency, g.running+g.fresh+1, now)
}

func (g *Dispatcher) shed(now time.Time) {
	g.config.Metrics.Sheds.Inc()
	g.shedsInRow++
	if !g.ramp.Warm() {
		g.ramp = g.ramp.WithShed(now)
		return
	}
	g.window = g.window.WithShed(now)
	if g.shedsInRow >= coldSheds && now.Sub(g.lastSuspicion) > coldSuspectPause && !g.config.Policy.NoWarmUp {
		g.lastSuspicion = now
		g.reset("sheds in a row", now)
		klog.InfoS("Backend server taken as cold", "server", g.id, "reason", "sheds in a row")
	}
}

// settleError books a request whose connection failed, broke or was closed.
func (g *Dispatcher) settleError(s *slot, r SubRequest, err error, sent, now time.Time) SubReply {
	_ = s.conn.conn.Close()
	g.open--
	ce, ok := err.(*ConnError)
	if !ok {
		ce = &ConnError{Sent: true, Err: err}
	}
	if !ce.Sent {
		g.uncount(s)
		return r.NotRun(shuntoutcome.Cancelled)
	}
	g.hold(s, r, now)
	if ce.Interrupted {
		g.silent(sent, now)
		g.refill(now)
		if now.Before(r.Deadline) {
			return r.Unknown(shuntoutcome.Cancelled)
		}
		return r.Unknown(shuntoutcome.DeadlinePassed)
	}
	g.config.Metrics.LostConnections.Inc()
	// Where one connection breaks, the process behind it may be gone, and the
	// idle ones with it. Requests that can't be repeated must not find out.
	g.dropIdle()
	out := r.Unknown(shuntoutcome.ConnectionLost)
	out.Crashed = true
	return out
}

// refill opens a connection in place of one that was closed, so that the next
// request need not wait for it. It carries nothing until it is needed, and
// then counts as unconfirmed like any other.
func (g *Dispatcher) refill(now time.Time) {
	if g.config.Go == nil || g.filling || len(g.spare) > 0 || g.open >= g.openLimit() || now.Before(g.dialAfter) {
		return
	}
	if !g.config.Leases.Lease(g.id, now).Held {
		return
	}
	address := g.place.Address
	if g.config.Go(func() { g.fill(address) }) {
		g.filling = true
		g.open++
	}
}

func (g *Dispatcher) fill(address string) {
	c, err := g.config.Connector.Connect(context.Background(), address)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.filling = false
	switch {
	case err != nil:
		g.open--
		g.config.Metrics.ConnectFailures.Inc()
		g.connectFailed(err, now)
		return
	case g.closed || address != g.place.Address || !g.config.Leases.Lease(g.id, now).Held:
		g.open--
		_ = c.Close()
		return
	}
	g.spare = append(g.spare, &pooled{conn: c, lastUsed: now})
	g.serveQueue(now)
}

// hold keeps a closed request counted against a cold server until the server
// must have given it up by its own deadline check.
func (g *Dispatcher) hold(s *slot, r SubRequest, now time.Time) {
	if !s.cold {
		g.uncount(s)
		return
	}
	time.AfterFunc(r.Deadline.Sub(now)+closeGrace, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.uncount(s)
		g.serveQueue(time.Now())
	})
}

// silent closes the idle connections that were last used before a request
// that got no answer was sent, when the server answered others meanwhile:
// whatever forgot the one connection may have forgotten them too.
func (g *Dispatcher) silent(sent, now time.Time) {
	if now.Sub(sent) < silentFactor*g.latency || g.lastProgress.Before(sent) {
		return
	}
	g.config.Metrics.SilentConnections.Inc()
	klog.V(1).InfoS("Connection went silent; closed it", "server", g.id, "waited", now.Sub(sent))
	kept := g.idle[:0]
	for _, c := range g.idle {
		if c.lastUsed.Before(sent) {
			_ = c.conn.Close()
			g.open--
			continue
		}
		kept = append(kept, c)
	}
	g.idle = kept
}
