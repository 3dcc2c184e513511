package shuntowner

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// latencyDivisor is the inverse of the weight of a new value in the moving
	// average of the latency.
	latencyDivisor = 8
	// silentLatencyFactor is the multiple of the average latency after which a
	// request without a reply makes idle connections suspect, if the server replied
	// on other connections meanwhile.
	silentLatencyFactor = 4
	// maxPastStarts limits the number of earlier start identities kept.
	maxPastStarts = 8
)

// complete updates the state at the end of a request and returns its reply.
func (d *Dispatcher) complete(s *slot, r SubRequest, resp Response, err error, sent time.Time) SubReply {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.serveQueue(now)
	if err != nil {
		return d.completeWithError(s, r, err, sent, now)
	}
	d.lastReply = now
	d.confirmConn(s, resp.Start, now)
	d.removeInFlight(s)
	d.returnToIdle(s, now)
	if resp.Query != r.Query || resp.Attempt != r.Attempt || resp.Shard != r.Shard {
		return d.dropMismatched(s, r)
	}
	switch resp.Status {
	case StatusShed:
		d.recordShed(now)
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
	d.recordSuccess(now.Sub(sent), now)
	if resp.Snapshot != r.Snapshot {
		// Rows of different snapshots must not be merged.
		return r.Unknown(shuntoutcome.ReplyMismatch)
	}
	out := r.reply(shuntoutcome.Complete, shuntoutcome.None)
	out.Rows = resp.Rows
	return out
}

// dropMismatched closes a connection that carried the reply to another request,
// because all further replies on it would be mismatched too.
func (d *Dispatcher) dropMismatched(s *slot, r SubRequest) SubReply {
	d.config.Metrics.MismatchedReplies.Inc()
	klog.InfoS("Dropped reply that belongs to another request", "server", d.id, "query", r.Query, "shard", r.Shard, "attempt", r.Attempt)
	for i, c := range d.idle {
		if c == s.conn {
			d.idle = append(d.idle[:i], d.idle[i+1:]...)
			_ = c.conn.Close()
			d.openConns--
			break
		}
	}
	return r.Unknown(shuntoutcome.ReplyMismatch)
}

// confirmConn marks the connection as confirmed by the process that replied. A
// reply may also come from an earlier process: it may still have been in transit
// when another connection already reached the next process. Such a reply says
// nothing about the current process, and its connection is of no use.
func (d *Dispatcher) confirmConn(s *slot, start string, now time.Time) {
	switch {
	case !s.unconfirmed && s.epoch != d.epoch, slices.Contains(d.pastStarts, start):
		return
	case start == d.start:
		s.conn.epoch = d.epoch
		return
	}
	known := d.start != ""
	if known {
		d.pastStarts = append(d.pastStarts, d.start)
		if len(d.pastStarts) > maxPastStarts {
			d.pastStarts = d.pastStarts[1:]
		}
	}
	d.start = start
	d.newEpoch()
	s.conn.epoch = d.epoch
	// The warm-up also restarts after first contact and after a refused
	// connection, because before this reply it was not known since when the
	// process has been running.
	if !known {
		d.reset(d.coldReason, now)
		return
	}
	d.config.Metrics.ColdStarts.Inc()
	d.reset("restarted", now)
	klog.InfoS("Backend server treated as cold", "server", d.id, "reason", "restarted")
}

// returnToIdle adds the connection of a completed request to the idle ones, or
// closes it if the current process has not confirmed it.
func (d *Dispatcher) returnToIdle(s *slot, now time.Time) {
	s.conn.lastUsed = now
	if s.conn.epoch == d.epoch && d.epoch != 0 {
		d.idle = append(d.idle, s.conn)
		return
	}
	_ = s.conn.conn.Close()
	d.openConns--
}

func (d *Dispatcher) recordSuccess(latency time.Duration, now time.Time) {
	d.consecutiveSheds = 0
	d.latency += (latency - d.latency) / latencyDivisor
	if !d.warmUp.Warm() {
		d.warmUp = d.warmUp.WithSuccess(now)
		if d.warmUp.Warm() {
			d.coldReason = ""
			klog.InfoS("Backend server is warm", "server", d.id)
		}
		return
	}
	d.window = d.window.WithSuccess(latency, d.confirmed+d.unconfirmed+1, now)
}

func (d *Dispatcher) recordShed(now time.Time) {
	d.config.Metrics.Sheds.Inc()
	d.consecutiveSheds++
	if !d.warmUp.Warm() {
		d.warmUp = d.warmUp.WithShed(now)
		return
	}
	d.window = d.window.WithShed(now)
	if d.consecutiveSheds >= shedsToCold && now.Sub(d.lastShedReset) > shedResetInterval && !d.config.Policy.NoWarmUp {
		d.lastShedReset = now
		d.reset("sheds in a row", now)
		klog.InfoS("Backend server treated as cold", "server", d.id, "reason", "sheds in a row")
	}
}

// completeWithError handles a request whose connection broke or was closed.
func (d *Dispatcher) completeWithError(s *slot, r SubRequest, err error, sent, now time.Time) SubReply {
	_ = s.conn.conn.Close()
	d.openConns--
	ce, ok := err.(*ConnError)
	if !ok {
		ce = &ConnError{Sent: true, Err: err}
	}
	if !ce.Sent {
		d.removeInFlight(s)
		return r.NotRun(shuntoutcome.Cancelled)
	}
	d.removeInFlightLater(s, r, now)
	if ce.Interrupted {
		d.closeStale(sent, now)
		d.startSpare(now)
		if now.Before(r.Deadline) {
			return r.Unknown(shuntoutcome.Cancelled)
		}
		return r.Unknown(shuntoutcome.DeadlinePassed)
	}
	d.config.Metrics.LostConnections.Inc()
	// The server process may have ended, and then the idle connections are broken
	// too. Non-idempotent requests must not be sent on them, because they could
	// not be retried.
	d.closeIdle()
	out := r.Unknown(shuntoutcome.ConnectionLost)
	out.Crashed = true
	return out
}

// startSpare starts to open a connection in place of one that was closed, so that
// the next request need not wait for it. The connection counts as unconfirmed when
// it is first used.
func (d *Dispatcher) startSpare(now time.Time) {
	if d.config.Go == nil || d.openingSpare || len(d.spare) > 0 || d.openConns >= d.openLimit() || now.Before(d.dialAfter) {
		return
	}
	if !d.config.Leases.Lease(d.id, now).Held {
		return
	}
	address := d.server.Address
	if d.config.Go(func() { d.connectSpare(address) }) {
		d.openingSpare = true
		d.openConns++
	}
}

// connectSpare opens a spare connection.
func (d *Dispatcher) connectSpare(address string) {
	c, err := d.config.Connector.Connect(context.Background(), address)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openingSpare = false
	switch {
	case err != nil:
		d.openConns--
		d.config.Metrics.ConnectFailures.Inc()
		d.recordConnectFailure(err, now)
		return
	case d.closed || address != d.server.Address || !d.config.Leases.Lease(d.id, now).Held:
		d.openConns--
		_ = c.Close()
		return
	}
	d.spare = append(d.spare, &pooledConn{conn: c, lastUsed: now})
	d.serveQueue(now)
}

// removeInFlightLater ends the count of a cancelled request as in flight. On a cold
// server, this is delayed until the server must have stopped the request because
// of its deadline.
func (d *Dispatcher) removeInFlightLater(s *slot, r SubRequest, now time.Time) {
	if !s.cold {
		d.removeInFlight(s)
		return
	}
	time.AfterFunc(r.Deadline.Sub(now)+cancelGrace, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.removeInFlight(s)
		d.serveQueue(time.Now())
	})
}

// closeStale handles a request without a reply that was sent at the given time. If
// the server replied on other connections since then, whatever dropped this
// connection, such as a firewall, may have dropped others too. closeStale therefore
// closes the idle connections that were last used before that time.
func (d *Dispatcher) closeStale(sent, now time.Time) {
	if now.Sub(sent) < silentLatencyFactor*d.latency || d.lastReply.Before(sent) {
		return
	}
	d.config.Metrics.SilentConnections.Inc()
	klog.V(1).InfoS("No reply on connection; closing older idle connections", "server", d.id, "waited", now.Sub(sent))
	kept := d.idle[:0]
	for _, c := range d.idle {
		if c.lastUsed.Before(sent) {
			_ = c.conn.Close()
			d.openConns--
			continue
		}
		kept = append(kept, c)
	}
	d.idle = kept
}
