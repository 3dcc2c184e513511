package shuntowner

import (
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	latencyWeight = 8
	// silentFactor: a connection that gave nothing for this many times the
	// usual latency, while others answered, makes older idle ones suspect.
	silentFactor = 4
)

// settle books the end of a dispatched request and returns its reply.
func (g *Gate) settle(s *slot, r SubRequest, resp Response, err error, sent time.Time) SubReply {
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
func (g *Gate) mismatch(s *slot, r SubRequest) SubReply {
	g.config.Metrics.Mismatches.Inc()
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
func (g *Gate) confirm(s *slot, start string, now time.Time) {
	if start == g.start {
		if s.fresh {
			// The request counts as fresh until uncount; only the
			// connection is confirmed.
			s.conn.life = g.life
		}
		return
	}
	if !s.fresh {
		// A confirmed connection can't reach another process.
		klog.InfoS("Backend server changed its identity on an open connection", "server", g.id)
	}
	known := g.start != ""
	g.start = start
	if !s.fresh && s.life == g.life {
		g.running--
	}
	g.newLife()
	s.conn.life = g.life
	if !s.fresh {
		s.life = g.life
		g.running++
	}
	if known {
		g.config.Metrics.ColdStarts.Inc()
		g.reset("restarted", now)
		klog.InfoS("Backend server taken as cold", "server", g.id, "reason", "restarted")
	}
}

// keep puts the connection of a finished request back among the idle ones.
func (g *Gate) keep(s *slot, now time.Time) {
	s.conn.lastUsed = now
	if s.conn.life == g.life && g.life != 0 {
		g.idle = append(g.idle, s.conn)
		return
	}
	_ = s.conn.conn.Close()
	g.open--
}

func (g *Gate) success(latency time.Duration, now time.Time) {
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

func (g *Gate) shed(now time.Time) {
	g.config.Metrics.Sheds.Inc()
	g.shedsInRow++
	if !g.ramp.Warm() {
		g.ramp = g.ramp.WithSetback(now)
		return
	}
	g.window = g.window.WithShed(now)
	if g.shedsInRow >= coldSheds && now.Sub(g.lastSuspicion) > coldSuspectPause && !g.config.Policy.NoRamp {
		g.lastSuspicion = now
		g.reset("sheds in a row", now)
		klog.InfoS("Backend server taken as cold", "server", g.id, "reason", "sheds in a row")
	}
}

// settleError books a request whose connection failed, broke or was closed.
func (g *Gate) settleError(s *slot, r SubRequest, err error, sent, now time.Time) SubReply {
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
	if ce.Silent {
		g.silent(sent, now)
		if now.Before(r.Deadline) {
			return r.Unknown(shuntoutcome.Cancelled)
		}
		return r.Unknown(shuntoutcome.DeadlinePassed)
	}
	g.config.Metrics.Losses.Inc()
	// Where one connection breaks, the process behind it may be gone, and the
	// idle ones with it. Requests that can't be repeated must not find out.
	g.dropIdle()
	out := r.Unknown(shuntoutcome.ConnectionLost)
	out.Crashed = true
	return out
}

// hold keeps a closed request counted against a cold server until the server
// must have given it up by its own deadline check.
func (g *Gate) hold(s *slot, r SubRequest, now time.Time) {
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
func (g *Gate) silent(sent, now time.Time) {
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
