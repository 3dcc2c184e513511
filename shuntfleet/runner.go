package shuntfleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
)

const (
	tickInterval     = 100 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	fetchTimeout     = 3 * time.Second
	eventQueueSize   = 256
)

// Caller makes RPC calls to other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Control ControlConfig
	Caller  Caller
	Metrics *Metrics
	// OnConfiguration is called on the control goroutine with each
	// configuration that is put into force. It may be nil.
	OnConfiguration func(*shuntconfig.Tree)
}

// Runner runs a Control on a single goroutine and sends and receives its
// messages.
type Runner struct {
	config  RunnerConfig
	control *Control
	view    atomic.Pointer[View]
	events  chan func(now time.Time)
	done    chan struct{}
	group   shuntgroup.Group
	// fetching and tree are only used on the control goroutine.
	fetching bool
	tree     *shuntconfig.Tree
}

// NewRunner returns a Runner that Run starts.
func NewRunner(c RunnerConfig) *Runner {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	r := &Runner{
		config: c,
		events: make(chan func(time.Time), eventQueueSize),
		done:   make(chan struct{}),
	}
	c.Control.OnView = r.publish
	r.control = NewControl(c.Control, time.Now())
	r.tree = r.control.Tree()
	r.view.Store(r.control.View())
	return r
}

func (r *Runner) publish(v *View) {
	r.view.Store(v)
	if v.Tree == r.tree {
		return
	}
	r.tree = v.Tree
	if r.config.OnConfiguration != nil {
		r.config.OnConfiguration(v.Tree)
	}
}

// View returns the most recently published view.
func (r *Runner) View() *View { return r.view.Load() }

// Run runs the control goroutine until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.group.Close()
	defer close(r.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.events:
			f(time.Now())
			if !r.control.HeartbeatDue(time.Now()) {
				continue
			}
		case <-t.C:
		}
		r.step(ctx)
	}
}

// step sends the heartbeats that are due and starts a fetch if one is needed.
// If the whole process was paused, the tick is late. This needs no special
// handling because Control only uses the time that is passed to it.
func (r *Runner) step(ctx context.Context) {
	now := time.Now()
	for _, o := range r.control.Tick(now) {
		r.group.Go(func() { r.send(ctx, o) })
	}
	if r.fetching {
		return
	}
	if vm, address, ok := r.control.FetchSource(now); ok {
		r.fetching = true
		r.group.Go(func() {
			_, err := r.fetch(ctx, address)
			if err != nil {
				klog.V(1).InfoS("Fetching documents from another VM failed", "vm", vm, "reason", err.Error())
			}
			r.post(func(time.Time) { r.fetching = false })
		})
	}
}

func (r *Runner) send(ctx context.Context, o OutgoingBeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r.config.Metrics.Beats.Inc()
	var reply BeatReply
	if err := r.config.Caller.Call(ctx, o.Address, MethodBeat, o.Beat, &reply); err != nil {
		r.config.Metrics.BeatsLost.Inc()
		return
	}
	r.post(func(now time.Time) { r.control.HandleReply(o, reply, now) })
}

// post queues f for the control goroutine. It drops f if Run has returned.
func (r *Runner) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// runAndWait runs f on the control goroutine and waits until it returns.
func (r *Runner) runAndWait(f func(now time.Time)) error {
	finished := make(chan struct{})
	r.post(func(now time.Time) {
		f(now)
		close(finished)
	})
	select {
	case <-finished:
		return nil
	case <-r.done:
		return errors.New("the fleet control goroutine has stopped")
	}
}

// fetch fetches and applies newer documents from a VM and reports whether there
// were any.
func (r *Runner) fetch(ctx context.Context, address string) (bool, error) {
	applied := false
	for {
		var reply FetchReply
		if err := r.callFetch(ctx, address, &reply); err != nil {
			return applied, err
		}
		r.config.Metrics.Fetches.Inc()
		changed := false
		err := r.runAndWait(func(now time.Time) { changed = r.control.Apply(now, decodeDocuments(reply.Documents)...) })
		if err != nil {
			return applied, err
		}
		applied = applied || changed
		if !reply.More || !changed {
			return applied, nil
		}
	}
}

func (r *Runner) callFetch(ctx context.Context, address string, reply *FetchReply) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return r.config.Caller.Call(ctx, address, MethodFetch, newFetch(r.View().Tree), reply)
}

// Apply puts documents into force that are newer than the current ones.
func (r *Runner) Apply(docs ...shuntconfig.Document) error {
	return r.runAndWait(func(now time.Time) { r.control.Apply(now, docs...) })
}

// RecordPlatformResponse records that the platform answered.
func (r *Runner) RecordPlatformResponse() {
	r.post(func(now time.Time) { r.control.RecordPlatformResponse(now) })
}

// SetLeavingVMs sets the VMs that the platform lists as leaving.
func (r *Runner) SetLeavingVMs(vms map[string]bool) {
	r.post(func(time.Time) { r.control.SetLeavingVMs(vms) })
}

// MarkSynced records that the VM may serve.
func (r *Runner) MarkSynced() { r.post(func(time.Time) { r.control.MarkSynced() }) }

// SendSuspicions sends the guard's suspicions to other VMs immediately.
func (r *Runner) SendSuspicions() {
	r.post(func(now time.Time) { r.control.SendSuspicions(now) })
}

// Leave marks this VM as leaving, which its heartbeats then announce.
func (r *Runner) Leave() { r.post(func(time.Time) { r.control.Leave() }) }

// Service handles the RPC calls of other daemons.
type Service struct{ runner *Runner }

// NewService returns the Service of r.
func NewService(r *Runner) *Service { return &Service{r} }

// Beat handles a heartbeat.
func (s *Service) Beat(b Beat, reply *BeatReply) error {
	return s.runner.runAndWait(func(now time.Time) { *reply = s.runner.control.HandleBeat(b, now) })
}

// Fetch returns the documents that the caller lacks.
func (s *Service) Fetch(f Fetch, reply *FetchReply) error {
	*reply = newerDocuments(s.runner.View().Tree, f)
	return nil
}
