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
	// serviceTimeSigma is the sigma of the lognormal service time.
	serviceTimeSigma = 0.35
	// coldSlowdown is the factor by which a cold server is slower.
	coldSlowdown = 2.0
	// crashDowntime is how long a server refuses connections after a crash.
	crashDowntime = 300 * time.Millisecond
	// tailSlowdown is the factor by which the requests selected by
	// BackendConfig.TailFraction take longer.
	tailSlowdown = 10.0
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	Server shuntconfig.ServerSpec
	Log    *Log
	Seed   uint64
	// MedianServiceTime is the median time that a warm server takes for a
	// request, not counting the requests selected by TailFraction.
	MedianServiceTime time.Duration
	// TailFraction is the fraction of requests that take tailSlowdown times as
	// long.
	TailFraction float64
	// RowBytes is the number of padding bytes in the text of each row.
	RowBytes int
	// Rows is the number of rows of each answer; 0 means 1.
	Rows int
	// CrashQuery is a query text that crashes any server that runs it; empty
	// means none.
	CrashQuery string
}

// Backend simulates one backend server: request slots, a connection limit, a
// cold start with a limit on requests in flight, load shedding, draining,
// snapshots, deadlines and cancellation.
type Backend struct {
	config BackendConfig

	mu   sync.Mutex
	rand *rand.Rand
	// epoch is the number of the current process; it changes with each restart.
	// Requests of an earlier epoch no longer count.
	epoch     int
	downUntil time.Time
	conns     map[*backendConn]bool
	snapshots map[shuntconfig.SnapshotID]bool
	// inFlight counts the admitted requests; busySlots counts those that occupy
	// a slot.
	inFlight  int
	busySlots int
	// slotFreed is closed and replaced whenever a slot is freed.
	slotFreed chan struct{}
	// warmUpLimit is the number of requests in flight that the server tolerates
	// while it is cold, limitSetAt the time of the last change to it, and
	// servedAtLimit the number of requests completed since then.
	warmUpLimit   int
	limitSetAt    time.Time
	servedAtLimit int
	slowdown      float64
	draining      bool
	hung          bool
	corruption    Corruption
}

// Corruption selects the field that a server falsifies in its replies.
type Corruption int

// Values of Corruption.
const (
	CorruptNone Corruption = iota
	// CorruptSnapshot makes replies state another snapshot.
	CorruptSnapshot
	// CorruptAttempt makes replies state another attempt.
	CorruptAttempt
	// CorruptShard makes replies state another shard.
	CorruptShard
)

// NewBackend returns a Backend that has just started and is cold.
func NewBackend(c BackendConfig) *Backend {
	b := &Backend{
		config:    c,
		rand:      rand.New(rand.NewPCG(c.Seed, 1)),
		conns:     map[*backendConn]bool{},
		snapshots: map[shuntconfig.SnapshotID]bool{},
		slotFreed: make(chan struct{}),
		slowdown:  1,
		epoch:     1,
	}
	b.resetWarmUp(time.Now())
	return b
}

// Zone returns the availability zone of the server.
func (b *Backend) Zone() string { return b.config.Server.Zone }

// ID returns the server's ID.
func (b *Backend) ID() string { return b.config.Server.ID() }

func (b *Backend) resetWarmUp(now time.Time) {
	b.warmUpLimit = b.config.Server.InitialSlots
	b.limitSetAt = now
	b.servedAtLimit = 0
}

func (b *Backend) warm() bool { return b.warmUpLimit >= shuntowner.MaxInFlight(b.config.Server.Slots) }

// SetWarm ends the server's warm-up at once.
func (b *Backend) SetWarm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmUpLimit = shuntowner.MaxInFlight(b.config.Server.Slots)
}

// IsWarm reports whether the server's warm-up has ended.
func (b *Backend) IsWarm() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.warm()
}

// Restart terminates the process. A new one, which is cold, accepts connections
// after down.
func (b *Backend) Restart(down time.Duration) {
	now := time.Now()
	b.mu.Lock()
	conns := b.terminate(now, down)
	b.mu.Unlock()
	resetConns(conns)
}

// terminate ends the current process and returns its connections, which the
// caller must close after releasing b.mu.
func (b *Backend) terminate(now time.Time, down time.Duration) []*backendConn {
	b.epoch++
	b.downUntil = now.Add(down)
	b.resetWarmUp(b.downUntil)
	b.inFlight, b.busySlots = 0, 0
	conns := make([]*backendConn, 0, len(b.conns))
	for c := range b.conns {
		conns = append(conns, c)
	}
	b.conns = map[*backendConn]bool{}
	close(b.slotFreed)
	b.slotFreed = make(chan struct{})
	return conns
}

func resetConns(cs []*backendConn) {
	for _, c := range cs {
		c.kill(errors.New("connection reset"))
	}
}

// SetSlowdown multiplies the server's service time by factor.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = factor
}

// SetDraining makes the server reject new requests, or accept them again.
func (b *Backend) SetDraining(d bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = d
}

// SetCorruption makes the server falsify its replies as c says.
func (b *Backend) SetCorruption(c Corruption) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.corruption = c
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

// HangConnections makes all open connections stop replying without being closed.
// Connections opened later work normally.
func (b *Backend) HangConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.hung.Store(true)
	}
}

// Connections returns the number of open connections.
func (b *Backend) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// start returns the ID of the server's current process.
func (b *Backend) start() string { return fmt.Sprintf("%s#%d", b.config.Server.Name, b.epoch) }

// accept registers a connection, or refuses it while the server is down or at
// its connection limit.
func (b *Backend) accept(c *backendConn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.downUntil) {
		return errors.New("connection refused")
	}
	if len(b.conns) >= b.config.Server.Connections {
		b.config.Log.AddViolation(func(v *Violations) { v.CapOverruns++ }, "%s: more than %d connections", b.ID(), b.config.Server.Connections)
		return errors.New("connection refused: connection limit reached")
	}
	c.epoch = b.epoch
	b.conns[c] = true
	return nil
}

func (b *Backend) removeConn(c *backendConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// admit counts a request as in flight and returns StatusDone, or returns another
// status and doesn't run the request. It also returns the current epoch,
// or -1 if the process that accepted the connection has ended. A request that
// exceeds a cold server's warm-up limit crashes the process, which gives -1 too. An
// expired request is rejected first: it costs the server no work.
func (b *Backend) admit(c *backendConn, r shuntowner.SubRequest) (shuntowner.Status, int) {
	now := time.Now()
	b.config.Log.recordArrival(b.ID(), now)
	b.mu.Lock()
	if c.epoch != b.epoch {
		b.mu.Unlock()
		return shuntowner.StatusFault, -1
	}
	if !now.Before(r.Deadline) {
		defer b.mu.Unlock()
		return shuntowner.StatusExpired, b.epoch
	}
	if !b.warm() && b.inFlight >= b.warmUpLimit {
		b.config.Log.AddViolation(func(v *Violations) { v.ColdOverruns++ }, "%s: %d in flight at level %d, life %d", b.ID(), b.inFlight+1, b.warmUpLimit, b.epoch)
		conns := b.terminate(now, crashDowntime)
		b.mu.Unlock()
		resetConns(conns)
		return shuntowner.StatusFault, -1
	}
	defer b.mu.Unlock()
	switch {
	case b.draining:
		return shuntowner.StatusLeaving, b.epoch
	case !b.snapshots[r.Snapshot]:
		return shuntowner.StatusSnapshotGone, b.epoch
	case b.inFlight >= 2*b.config.Server.Slots:
		b.config.Log.recordShed()
		return shuntowner.StatusShed, b.epoch
	}
	b.inFlight++
	return shuntowner.StatusDone, b.epoch
}

// finish counts an admitted request as ended. A request that ran in full counts
// towards raising the warm-up limit.
func (b *Backend) finish(epoch int, ran bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch != b.epoch {
		return
	}
	b.inFlight--
	if !ran || b.warm() {
		return
	}
	b.servedAtLimit++
	p := b.config.Server
	if b.servedAtLimit >= p.WarmStepRequests*b.warmUpLimit && now.Sub(b.limitSetAt) >= p.WarmStepTime {
		b.warmUpLimit++
		b.limitSetAt = now
		b.servedAtLimit = 0
	}
}

// acquireSlot waits for a free slot. It returns false when ctx ends or the process
// restarts first.
func (b *Backend) acquireSlot(ctx context.Context, epoch int) bool {
	for {
		b.mu.Lock()
		if b.epoch != epoch {
			b.mu.Unlock()
			return false
		}
		if b.busySlots < b.config.Server.Slots {
			b.busySlots++
			b.mu.Unlock()
			return true
		}
		slotFreed := b.slotFreed
		b.mu.Unlock()
		select {
		case <-slotFreed:
		case <-ctx.Done():
			return false
		}
	}
}

func (b *Backend) releaseSlot(epoch int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch != b.epoch {
		return
	}
	b.busySlots--
	close(b.slotFreed)
	b.slotFreed = make(chan struct{})
}

func (b *Backend) serviceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := b.slowdown * math.Exp(serviceTimeSigma*b.rand.NormFloat64())
	if b.rand.Float64() < b.config.TailFraction {
		factor *= tailSlowdown
	}
	if !b.warm() {
		factor *= coldSlowdown
	}
	return time.Duration(factor * float64(b.config.MedianServiceTime))
}

// handle serves one request. It returns false when the process ended before or
// during the request.
func (b *Backend) handle(ctx context.Context, c *backendConn, r shuntowner.SubRequest) (shuntowner.Response, bool) {
	status, epoch := b.admit(c, r)
	if epoch < 0 {
		return shuntowner.Response{}, false
	}
	resp := shuntowner.Response{
		Status:   status,
		Start:    fmt.Sprintf("%s#%d", b.config.Server.Name, epoch),
		Query:    r.Query,
		Attempt:  r.Attempt,
		Shard:    r.Shard,
		Snapshot: r.Snapshot,
	}
	if status != shuntowner.StatusDone {
		return resp, true
	}
	ran := b.execute(ctx, epoch, r)
	b.finish(epoch, ran)
	if !ran {
		// The request was cancelled, or its deadline passed, while it waited or
		// ran.
		resp.Status = shuntowner.StatusFault
		return resp, b.isRunning(epoch)
	}
	if b.config.CrashQuery != "" && string(r.Body) == b.config.CrashQuery {
		b.config.Log.recordCrash()
		b.Restart(crashDowntime)
		return resp, false
	}
	resp.Rows = b.makeRows(r)
	return b.corrupt(resp), b.isRunning(epoch)
}

func (b *Backend) isRunning(epoch int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch == epoch
}

// execute occupies a slot for the service time and records the run. It returns
// false when the request didn't complete.
func (b *Backend) execute(ctx context.Context, epoch int, r shuntowner.SubRequest) bool {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if !b.acquireSlot(ctx, epoch) {
		return false
	}
	defer b.releaseSlot(epoch)
	b.config.Log.recordRun(Run{Server: b.ID(), Query: r.Query, Attempt: r.Attempt, Shard: r.Shard, Snapshot: r.Snapshot, At: time.Now()})
	t := time.NewTimer(b.serviceTime())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// makeRows returns rows that contain the request's text, shard and snapshot, for
// Log.CheckAnswer.
func (b *Backend) makeRows(r shuntowner.SubRequest) []byte {
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

func (b *Backend) corrupt(resp shuntowner.Response) shuntowner.Response {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.corruption {
	case CorruptSnapshot:
		resp.Snapshot.Version++
	case CorruptAttempt:
		resp.Attempt++
	case CorruptShard:
		resp.Shard += "-other"
	}
	return resp
}
