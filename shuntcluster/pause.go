package shuntcluster

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// Pauser simulates the effect of a paused process on a VM's requests to backend
// servers: a request that passed all checks before the pause is sent after it,
// without another check of the time.
type Pauser struct {
	mu    sync.Mutex
	until time.Time
}

// Pause starts a pause that lasts for d.
func (p *Pauser) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// wait waits until the current pause ends. It returns false if there is none.
func (p *Pauser) wait() bool {
	p.mu.Lock()
	d := time.Until(p.until)
	p.mu.Unlock()
	if d <= 0 {
		return false
	}
	time.Sleep(d)
	return true
}

// WrapConnector returns a Connector that delays connection attempts and requests
// through c until the current pause has ended.
func (p *Pauser) WrapConnector(c shuntowner.Connector) shuntowner.Connector {
	return pausedConnector{p, c}
}

type pausedConnector struct {
	pauser *Pauser
	inner  shuntowner.Connector
}

// Connect implements shuntowner.Connector.
func (c pausedConnector) Connect(ctx context.Context, address string) (shuntowner.Conn, error) {
	c.pauser.wait()
	conn, err := c.inner.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return pausedConn{c.pauser, conn}, nil
}

type pausedConn struct {
	pauser *Pauser
	shuntowner.Conn
}

// Do implements shuntowner.Conn.
func (c pausedConn) Do(ctx context.Context, r shuntowner.SubRequest) (shuntowner.Response, error) {
	if !c.pauser.wait() {
		return c.Conn.Do(ctx, r)
	}
	// The process was paused just before the write, after all checks. The request
	// is therefore sent even if ctx has ended during the pause.
	lateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	return c.Conn.Do(lateCtx, r)
}

// PauseVM pauses a whole VM for d: its requests to backend servers, which must go
// through p, are delayed, and its messages to and from other VMs are lost.
func (c *Cluster) PauseVM(i int, p *Pauser, d time.Duration) {
	name := c.Daemons[i].Name()
	p.Pause(d)
	for _, o := range c.fleet.VMs {
		if o.Name != name {
			c.Network.SetPartitioned(name, o.Name, true)
		}
	}
	time.AfterFunc(d, func() {
		for _, o := range c.fleet.VMs {
			c.Network.SetPartitioned(name, o.Name, false)
		}
	})
}
