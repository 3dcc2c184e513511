package shuntlab

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// Pauser stops a VM's requests to backend servers as a paused process does: a
// request that passed all checks before the pause is sent after it, with no
// further look at the time.
type Pauser struct {
	mu    sync.Mutex
	until time.Time
}

// Pause pauses for d from now on.
func (f *Pauser) Pause(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = time.Now().Add(d)
}

// wait waits for the end of a pause and reports whether there was one.
func (f *Pauser) wait() bool {
	f.mu.Lock()
	d := time.Until(f.until)
	f.mu.Unlock()
	if d <= 0 {
		return false
	}
	time.Sleep(d)
	return true
}

// WrapConnector returns c as a VM under f sees it.
func (f *Pauser) WrapConnector(c shuntowner.Connector) shuntowner.Connector {
	return frozenConnector{f, c}
}

type frozenConnector struct {
	freezer *Pauser
	inner   shuntowner.Connector
}

// Connect implements shuntowner.Connector.
func (c frozenConnector) Connect(ctx context.Context, address string) (shuntowner.Conn, error) {
	c.freezer.wait()
	conn, err := c.inner.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return frozenConn{c.freezer, conn}, nil
}

type frozenConn struct {
	freezer *Pauser
	shuntowner.Conn
}

// Do implements shuntowner.Conn.
func (c frozenConn) Do(ctx context.Context, r shuntowner.SubRequest) (shuntowner.Response, error) {
	if !c.freezer.wait() {
		return c.Conn.Do(ctx, r)
	}
	// The write was under way; the context is only looked at after it.
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	return c.Conn.Do(late, r)
}

// PauseVM stops a whole VM for d: its requests to backend servers wait, and its
// messages to other VMs are lost.
func (x *Cluster) PauseVM(i int, f *Pauser, d time.Duration) {
	name := x.Daemons[i].Name()
	f.Pause(d)
	for _, o := range x.fleet.VMs {
		if o.Name != name {
			x.Network.SetPartitioned(name, o.Name, true)
		}
	}
	time.AfterFunc(d, func() {
		for _, o := range x.fleet.VMs {
			x.Network.SetPartitioned(name, o.Name, false)
		}
	})
}
