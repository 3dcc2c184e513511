package shuntowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// pooledConn is a connection of a Dispatcher.
type pooledConn struct {
	conn Conn
	// epoch is the process epoch in which a reply on the connection confirmed it,
	// and 0 before its first reply.
	epoch    uint64
	lastUsed time.Time
}

func (d *Dispatcher) closeIdle() {
	for _, c := range append(d.idle, d.spare...) {
		_ = c.conn.Close()
		d.openConns--
	}
	d.idle, d.spare = nil, nil
}

// connect opens the connection of s and reports whether it succeeded.
func (d *Dispatcher) connect(ctx context.Context, s *slot) bool {
	d.mu.Lock()
	address := d.server.Address
	d.mu.Unlock()
	c, err := d.config.Connector.Connect(ctx, address)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.dialBackoff = 0
		s.conn = &pooledConn{conn: c, lastUsed: now}
		return true
	}
	d.config.Metrics.ConnectFailures.Inc()
	d.unconfirmed--
	d.openConns--
	if ctx.Err() == nil {
		d.recordConnectFailure(err, now)
	}
	d.serveQueue(now)
	return false
}

func (d *Dispatcher) recordConnectFailure(err error, now time.Time) {
	d.dialBackoff = min(max(minDialBackoff, 2*d.dialBackoff), maxDialBackoff)
	d.dialAfter = now.Add(d.dialBackoff)
	if d.confirmed == 0 && len(d.idle) == 0 && d.start != "" {
		// No connection to the known process is left, so it has probably ended.
		d.start = ""
		d.newEpoch()
		d.reset("connection refused", now)
		klog.InfoS("Backend server treated as cold", "server", d.id, "reason", "connection refused", "err", err.Error())
	}
}
