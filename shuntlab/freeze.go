package shuntlab

import (
	"context"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntowner"
)

// Freezer stops a VM's requests to backend servers as a paused process does: a
// request that passed all checks before the pause is sent after it, with no
// further look at the time.
type Freezer struct {
	mu    sync.Mutex
	until time.Time
}

// Freeze pauses for d from now on.
func (f *Freezer) Freeze(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = time.Now().Add(d)
}

// wait waits for the end of a pause and reports whether there was one.
func (f *Freezer) wait() bool {
	f.mu.Lock()
	d := time.Until(f.until)
	f.mu.Unlock()
	if d <= 0 {
		return false
	}
	time.Sleep(d)
	return true
}

// Wrap returns c as a VM under f sees it.
func (f *Freezer) Wrap(c shuntowner.Connector) shuntowner.Connector {
	return frozenConnector{f, c}
}

type frozenConnector struct {
	freezer *Freezer
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
	freezer *Freezer
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

// Pause stops a whole VM for d: its requests to backend servers wait, and its
// messages to other VMs are lost.
func (x *Cluster) Pause(i int, f *Freezer, d time.Duration) {
	name := x.Daemons[i].Name()
	f.Freeze(d)
	for _, o := range x.fleet.VMs {
		if o.Name != name {
			x.Net.Cut(name, o.Name, true)
		}
	}
	time.AfterFunc(d, func() {
		for _, o := range x.fleet.VMs {
			x.Net.Cut(name, o.Name, false)
		}
	})
}
