package shuntowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// pooled is a connection with what the gate knows of it.
type pooled struct {
	conn Conn
	// life is the life that the connection is confirmed for; 0 before its
	// first reply.
	life     uint64
	lastUsed time.Time
}

func (g *Dispatcher) dropIdle() {
	for _, c := range append(g.idle, g.spare...) {
		_ = c.conn.Close()
		g.open--
	}
	g.idle, g.spare = nil, nil
}

// connect opens the connection of s and reports whether it could.
func (g *Dispatcher) connect(ctx context.Context, s *slot) bool {
	g.mu.Lock()
	address := g.place.Address
	g.mu.Unlock()
	c, err := g.config.Connector.Connect(ctx, address)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.dialBackoff = 0
		s.conn = &pooled{conn: c, lastUsed: now}
		return true
	}
	g.config.Metrics.ConnectFailures.Inc()
	g.fresh--
	g.open--
	if ctx.Err() == nil {
		g.connectFailed(err, now)
	}
	g.serveQueue(now)
	return false
}

func (g *Dispatcher) connectFailed(err error, now time.Time) {
	g.dialBackoff = min(max(dialBackoffFirst, 2*g.dialBackoff), dialBackoffLimit)
	g.dialAfter = now.Add(g.dialBackoff)
	if g.running == 0 && len(g.idle) == 0 && g.start != "" {
		// Nothing of the known process answers any more.
		g.start = ""
		g.newLife()
		g.reset("connection refused", now)
		klog.InfoS("Backend server taken as cold", "server", g.id, "reason", "connection refused", "err", err.Error())
	}
}
