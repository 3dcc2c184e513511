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
	tickInterval  = 100 * time.Millisecond
	beatTimeout   = 400 * time.Millisecond
	fetchTimeout  = 3 * time.Second
	eventsWaiting = 256
)

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// RunnerConfig is what a Runner is made of.
type RunnerConfig struct {
	Control ControlConfig
	Caller  Caller
	Metrics *Metrics
	// OnConfiguration is called with each configuration that comes into force, on the
	// control goroutine; nil is allowed.
	OnConfiguration func(*shuntconfig.Tree)
}

// Runner runs a Control: the one goroutine that may touch it, and the messages
// that it wants sent.
type Runner struct {
	config  RunnerConfig
	control *Control
	view    atomic.Pointer[View]
	events  chan func(now time.Time)
	done    chan struct{}
	group   shuntgroup.Group
	// fetching is only used on the control goroutine.
	fetching bool
	tree     *shuntconfig.Tree
}

// NewRunner returns a Runner; Run starts it.
func NewRunner(c RunnerConfig) *Runner {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	r := &Runner{
		config: c,
		events: make(chan func(time.Time), eventsWaiting),
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

// View returns the view published last.
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

// step sends what is due. A pause of the whole process shows here as a late
// tick; Control works by the time it is given, so nothing else is needed.
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
				klog.V(1).InfoS("Fetch failed", "vm", vm, "reason", err.Error())
			}
			r.post(func(time.Time) { r.fetching = false })
		})
	}
}

func (r *Runner) send(ctx context.Context, o OutgoingBeat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	r.config.Metrics.Beats.Inc()
	var reply BeatReply
	if err := r.config.Caller.Call(ctx, o.Address, MethodBeat, o.Beat, &reply); err != nil {
		r.config.Metrics.BeatsLost.Inc()
		return
	}
	r.post(func(now time.Time) { r.control.HandleReply(o, reply, now) })
}

// post runs f on the control goroutine; it is dropped once Run has ended.
func (r *Runner) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// do runs f on the control goroutine and waits for it.
func (r *Runner) do(f func(now time.Time)) error {
	ran := make(chan struct{})
	r.post(func(now time.Time) {
		f(now)
		close(ran)
	})
	select {
	case <-ran:
		return nil
	case <-r.done:
		return errors.New("fleet control has ended")
	}
}

// fetch takes newer documents from a VM and reports whether there were any.
func (r *Runner) fetch(ctx context.Context, address string) (bool, error) {
	took := false
	for {
		var reply FetchReply
		if err := r.call(ctx, address, &reply); err != nil {
			return took, err
		}
		r.config.Metrics.Fetches.Inc()
		changed := false
		err := r.do(func(now time.Time) { changed = r.control.Apply(now, decodeDocuments(reply.Documents)...) })
		if err != nil {
			return took, err
		}
		took = took || changed
		if !reply.More || !changed {
			return took, nil
		}
	}
}

func (r *Runner) call(ctx context.Context, address string, reply *FetchReply) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return r.config.Caller.Call(ctx, address, MethodFetch, encodeVersions(r.View().Tree), reply)
}

// Apply brings documents into force.
func (r *Runner) Apply(docs ...shuntconfig.Document) error {
	return r.do(func(now time.Time) { r.control.Apply(now, docs...) })
}

// RecordPlatformResponse books that the platform answered.
func (r *Runner) RecordPlatformResponse() {
	r.post(func(now time.Time) { r.control.RecordPlatformResponse(now) })
}

// SetLeavingVMs takes over which VMs the platform lists as leaving.
func (r *Runner) SetLeavingVMs(vms map[string]bool) {
	r.post(func(time.Time) { r.control.SetLeavingVMs(vms) })
}

// MarkSynced books that the VM may serve.
func (r *Runner) MarkSynced() { r.post(func(time.Time) { r.control.MarkSynced() }) }

// SendSuspicions tells the other VMs at once of a content that crashes servers.
func (r *Runner) SendSuspicions() {
	r.post(func(now time.Time) { r.control.SendSuspicions(now) })
}

// Leave announces that the VM goes away.
func (r *Runner) Leave() { r.post(func(time.Time) { r.control.Leave() }) }

// Service answers the fleet's calls.
type Service struct{ runner *Runner }

// NewService returns the Service of r.
func NewService(r *Runner) *Service { return &Service{r} }

// Beat answers a heartbeat.
func (s *Service) Beat(b Beat, reply *BeatReply) error {
	return s.runner.do(func(now time.Time) { *reply = s.runner.control.HandleBeat(b, now) })
}

// Fetch answers with the documents that the caller lacks.
func (s *Service) Fetch(f Fetch, reply *FetchReply) error {
	*reply = newer(s.runner.View().Tree, f)
	return nil
}
