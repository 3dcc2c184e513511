package shuntfake

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntowner"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// Timing of a stand-in backend server.
const (
	// serviceSpread is the sigma of the lognormal service time.
	serviceSpread = 0.35
	// coldSlowdown is how much longer a request takes while a server is cold.
	coldSlowdown = 2.0
	// restartTime is how long a server that fell over refuses connections.
	restartTime = 300 * time.Millisecond
	// tailChance and tailFactor: now and then a reply is much slower.
	tailFactor = 10.0
)

// BackendConfig is what a Backend is made of.
type BackendConfig struct {
	Server            shuntconfig.ServerSpec
	Log               *Log
	Seed              uint64
	MedianServiceTime time.Duration
	TailFraction      float64
	// RowBytes pads the text of each row.
	RowBytes int
	// Rows is the number of rows of each answer; 0 means 1.
	Rows int
	// CrashQuery is a query text that kills the server that runs it.
	CrashQuery string
}

// Backend is a stand-in for one backend server: it has slots, a cap on
// connections, a cold start with a bound on its load, shedding, draining,
// snapshots, deadlines and cancellation.
type Backend struct {
	config BackendConfig

	mu        sync.Mutex
	rand      *rand.Rand
	life      int
	downUntil time.Time
	conns     map[*backendConn]bool
	snapshots map[shuntconfig.SnapshotID]bool
	inFlight  int
	working   int
	freed     chan struct{}
	level     int
	levelAt   time.Time
	served    int
	slow      float64
	draining  bool
	silenced  bool
	garble    Corruption
}

// Corruption makes a server answer wrongly.
type Corruption int

// The ways to garble a reply.
const (
	CorruptNone Corruption = iota
	// CorruptSnapshot: rows of another snapshot, said so.
	CorruptSnapshot
	// CorruptAttempt: the reply of another attempt.
	CorruptAttempt
	// CorruptShard: the reply of another shard.
	CorruptShard
)

// NewBackend returns a Backend that has just started, and is cold.
func NewBackend(c BackendConfig) *Backend {
	b := &Backend{
		config:    c,
		rand:      rand.New(rand.NewPCG(c.Seed, 1)),
		conns:     map[*backendConn]bool{},
		snapshots: map[shuntconfig.SnapshotID]bool{},
		freed:     make(chan struct{}),
		slow:      1,
		life:      1,
	}
	b.cool(time.Now())
	return b
}

// Zone returns the availability zone of the server.
func (b *Backend) Zone() string { return b.config.Server.Zone }

// ID returns the server's ID.
func (b *Backend) ID() string { return b.config.Server.ID() }

func (b *Backend) cool(now time.Time) {
	b.level = b.config.Server.InitialSlots
	b.levelAt = now
	b.served = 0
}

func (b *Backend) warm() bool { return b.level >= shuntowner.MaxInFlight(b.config.Server.Slots) }

// SetWarm makes the server warm at once.
func (b *Backend) SetWarm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = shuntowner.MaxInFlight(b.config.Server.Slots)
}

// IsWarm says whether the server is warm.
func (b *Backend) IsWarm() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.warm()
}

// Restart kills the process and starts it again, cold, after down.
func (b *Backend) Restart(down time.Duration) {
	now := time.Now()
	b.mu.Lock()
	conns := b.die(now, down)
	b.mu.Unlock()
	closeAll(conns)
}

// die ends the life of the process and returns its connections, to be closed
// without the lock.
func (b *Backend) die(now time.Time, down time.Duration) []*backendConn {
	b.life++
	b.downUntil = now.Add(down)
	b.cool(b.downUntil)
	b.inFlight, b.working = 0, 0
	conns := make([]*backendConn, 0, len(b.conns))
	for c := range b.conns {
		conns = append(conns, c)
	}
	b.conns = map[*backendConn]bool{}
	close(b.freed)
	b.freed = make(chan struct{})
	return conns
}

func closeAll(cs []*backendConn) {
	for _, c := range cs {
		c.kill(errors.New("connection reset"))
	}
}

// SetSlowdown makes the server take factor times as long.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = factor
}

// SetDraining makes the server refuse new work.
func (b *Backend) SetDraining(d bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = d
}

// SetCorruption makes the server answer wrongly.
func (b *Backend) SetCorruption(g Corruption) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garble = g
}

// SetSnapshots sets the snapshots that the server holds.
func (b *Backend) SetSnapshots(ids ...shuntconfig.SnapshotID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshots = map[shuntconfig.SnapshotID]bool{}
	for _, id := range ids {
		b.snapshots[id] = true
	}
}

// HangConnections makes all present connections silent for good. New ones work.
func (b *Backend) HangConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.silent.Store(true)
	}
}

// Connections returns the number of open connections.
func (b *Backend) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Start returns the identity of the server's present process.
func (b *Backend) start() string { return fmt.Sprintf("%s#%d", b.config.Server.Name, b.life) }

// accept admits a connection.
func (b *Backend) accept(c *backendConn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.downUntil) {
		return errors.New("connection refused")
	}
	if len(b.conns) >= b.config.Server.Connections {
		b.config.Log.AddViolation(func(v *Violations) { v.CapOverruns++ }, "%s: more than %d connections", b.ID(), b.config.Server.Connections)
		return errors.New("connection refused: too many")
	}
	c.life = b.life
	b.conns[c] = true
	return nil
}

func (b *Backend) forget(c *backendConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// admit counts a request in; a verdict other than StatusDone says that it was
// not run. It returns the process's life, or -1 when the server just died of it.
func (b *Backend) admit(c *backendConn, r shuntowner.SubRequest) (shuntowner.Status, int) {
	now := time.Now()
	b.config.Log.arrived(b.ID(), now)
	b.mu.Lock()
	if c.life != b.life {
		b.mu.Unlock()
		return shuntowner.StatusFault, -1
	}
	if !b.warm() && b.inFlight >= b.level {
		b.config.Log.AddViolation(func(v *Violations) { v.ColdOverruns++ }, "%s: %d in flight at level %d, life %d", b.ID(), b.inFlight+1, b.level, b.life)
		conns := b.die(now, restartTime)
		b.mu.Unlock()
		closeAll(conns)
		return shuntowner.StatusFault, -1
	}
	defer b.mu.Unlock()
	switch {
	case b.draining:
		return shuntowner.StatusLeaving, b.life
	case !now.Before(r.Deadline):
		return shuntowner.StatusExpired, b.life
	case !b.snapshots[r.Snapshot]:
		return shuntowner.StatusSnapshotGone, b.life
	case b.inFlight >= 2*b.config.Server.Slots:
		b.config.Log.shed()
		return shuntowner.StatusShed, b.life
	}
	b.inFlight++
	return shuntowner.StatusDone, b.life
}

func (b *Backend) leave(life int, ran bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if life != b.life {
		return
	}
	b.inFlight--
	if !ran || b.warm() {
		return
	}
	b.served++
	p := b.config.Server
	if b.served >= p.WarmStepRequests*b.level && now.Sub(b.levelAt) >= p.WarmStepTime {
		b.level++
		b.levelAt = now
		b.served = 0
	}
}

// slot waits for one of the server's slots.
func (b *Backend) slot(ctx context.Context, life int) bool {
	for {
		b.mu.Lock()
		if b.life != life {
			b.mu.Unlock()
			return false
		}
		if b.working < b.config.Server.Slots {
			b.working++
			b.mu.Unlock()
			return true
		}
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (b *Backend) release(life int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if life != b.life {
		return
	}
	b.working--
	close(b.freed)
	b.freed = make(chan struct{})
}

func (b *Backend) serviceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.slow * math.Exp(serviceSpread*b.rand.NormFloat64())
	if b.rand.Float64() < b.config.TailFraction {
		f *= tailFactor
	}
	if !b.warm() {
		f *= coldSlowdown
	}
	return time.Duration(f * float64(b.config.MedianServiceTime))
}

// handle serves one request. It returns false when the process died of it or
// during it.
func (b *Backend) handle(ctx context.Context, c *backendConn, r shuntowner.SubRequest) (shuntowner.Response, bool) {
	status, life := b.admit(c, r)
	if life < 0 {
		return shuntowner.Response{}, false
	}
	out := shuntowner.Response{
		Status:   status,
		Start:    fmt.Sprintf("%s#%d", b.config.Server.Name, life),
		Query:    r.Query,
		Attempt:  r.Attempt,
		Shard:    r.Shard,
		Snapshot: r.Snapshot,
	}
	if status != shuntowner.StatusDone {
		return out, true
	}
	ran := b.work(ctx, life, r)
	b.leave(life, ran)
	if !ran {
		// Cancelled or expired while it waited or ran.
		out.Status = shuntowner.StatusFault
		return out, b.alive(life)
	}
	if b.config.CrashQuery != "" && string(r.Body) == b.config.CrashQuery {
		b.config.Log.crashed()
		b.Restart(restartTime)
		return out, false
	}
	out.Rows = b.rows(r)
	return b.garbled(out), b.alive(life)
}

func (b *Backend) alive(life int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life == life
}

// work takes a slot and the service time, and logs the run.
func (b *Backend) work(ctx context.Context, life int, r shuntowner.SubRequest) bool {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if !b.slot(ctx, life) {
		return false
	}
	defer b.release(life)
	b.config.Log.ran(Run{Server: b.ID(), Query: r.Query, Attempt: r.Attempt, Shard: r.Shard, Snapshot: r.Snapshot, At: time.Now()})
	t := time.NewTimer(b.serviceTime())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// rows makes rows that tell which request, shard and snapshot they are of.
func (b *Backend) rows(r shuntowner.SubRequest) []byte {
	n := max(1, b.config.Rows)
	rows := make([]shuntquery.Row, n)
	for i := range rows {
		rows[i] = shuntquery.Row{
			Key:   fmt.Sprintf("%s:%d", r.Shard, i),
			Text:  rowText(r.Snapshot, string(r.Body)) + padding(b.config.RowBytes),
			Score: float64(n - i),
		}
	}
	return shuntquery.EncodeRows(rows)
}

func rowText(s shuntconfig.SnapshotID, body string) string {
	return s.String() + "|" + body + "|"
}

func padding(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'x'
	}
	return string(b)
}

func (b *Backend) garbled(out shuntowner.Response) shuntowner.Response {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.garble {
	case CorruptSnapshot:
		out.Snapshot.Version++
	case CorruptAttempt:
		out.Attempt++
	case CorruptShard:
		out.Shard += "-other"
	}
	return out
}
