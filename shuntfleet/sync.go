package shuntfleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntplatform"
	"mulberryshunt.example/mulberryshunt/shuntrandom"
)

const (
	backoffFirst = 200 * time.Millisecond
	// backoffLimit keeps a change in force everywhere within ten seconds also
	// right after the platform has come back.
	backoffLimit = 8 * time.Second
	// directKeys is how many documents a VM reads from the platform by itself.
	// Of more it reads its share and has the others from other VMs, so that a
	// fleet that starts at once stays within the platform's rate.
	directKeys = 256
	// shareWait is how long it waits for the others before it reads on.
	shareWait = 5 * time.Second
	// sharePause paces the documents that it reads after that.
	sharePause = 200 * time.Millisecond
	pollPause  = 100 * time.Millisecond
	// pollVMsPause is the longest time between two readings of the VM list,
	// pollVMsAlone the same while no other VM is heard.
	pollVMsPause = 20 * time.Second
	pollVMsAlone = time.Second
	// staleTries is how often a document is read again when the platform
	// answers with an older one than it announced.
	staleTries = 5
)

// SyncerConfig is what a Sync is made of.
type SyncerConfig struct {
	Reader shuntplatform.Reader
	Runner *Runner
	// Seeds are peer addresses to ask before anything is known.
	Seeds   []string
	Metrics *Metrics
	// Random is the source of jitter; nil takes a random seed.
	Random *shuntrandom.Source
}

// Syncer keeps a VM's configuration up to date from the platform, and from other
// VMs at the start.
type Syncer struct {
	config SyncerConfig
}

// NewSyncer returns a Sync; Run starts it.
func NewSyncer(c SyncerConfig) *Syncer {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	return &Syncer{config: c}
}

// Run works until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	s.start(ctx)
	var revision int64
	wait := backoffFirst
	for ctx.Err() == nil {
		next, err := s.once(ctx, revision)
		if err == nil {
			revision = next
			wait = backoffFirst
			continue
		}
		s.config.Metrics.PlatformErrors.Inc()
		klog.V(1).InfoS("Platform can't be read", "reason", err.Error(), "nextTry", wait)
		// Full jitter: VMs that lost the platform together come back apart.
		shuntgroup.Pause(ctx, s.config.Random.Duration(wait))
		wait = min(2*wait, backoffLimit)
	}
}

// PollVMs reads the platform's list of VMs now and then until ctx ends: often
// while no other VM is heard, since then only the platform can tell this VM
// that it is not cut off.
func (s *Syncer) PollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		s.config.Metrics.PlatformCalls.Inc()
		vms, err := s.config.Reader.VMs(ctx)
		if err == nil {
			s.config.Runner.RecordPlatformResponse()
			s.config.Runner.SetLeavingVMs(leavingOf(vms))
		}
		every := pollVMsPause
		if !s.config.Runner.View().hearsPeers() {
			every = pollVMsAlone
		}
		shuntgroup.Pause(ctx, every/2+s.config.Random.Duration(every/2))
	}
}

func leavingOf(vms []shuntplatform.VMStatus) map[string]bool {
	out := map[string]bool{}
	for _, v := range vms {
		if v.State == shuntplatform.VMLeaving {
			out[v.Name] = true
		}
	}
	return out
}

// start learns the configuration from whoever answers first, and from every
// seed that can be reached, so that the VM starts with the highest versions.
func (s *Syncer) start(ctx context.Context) {
	wait := backoffFirst
	for ctx.Err() == nil {
		asked := s.askSeeds(ctx)
		_, err := s.once(ctx, 0)
		if err == nil || (asked && s.config.Runner.View().Tree.Fleet().Version > 0) {
			s.config.Runner.MarkSynced()
			return
		}
		klog.InfoS("No configuration yet", "reason", err.Error(), "nextTry", wait)
		shuntgroup.Pause(ctx, s.config.Random.Duration(wait))
		wait = min(2*wait, time.Second)
	}
}

func (s *Syncer) askSeeds(ctx context.Context) bool {
	asked := false
	for _, a := range s.config.Seeds {
		if _, err := s.config.Runner.fetch(ctx, a); err == nil {
			asked = true
		}
	}
	return asked
}

// once lists the keys, when revision is 0, or waits for a change after it, and
// reads what is new. It returns the revision that it has read.
func (s *Syncer) once(ctx context.Context, revision int64) (int64, error) {
	keys, next, err := s.changes(ctx, revision)
	if err != nil {
		return 0, err
	}
	s.config.Runner.RecordPlatformResponse()
	if next < revision {
		// An older answer than the one before: the reader behind it is stale.
		// What it names as new is older than what is known, and is ignored.
		shuntgroup.Pause(ctx, backoffFirst)
		return revision, nil
	}
	return next, s.read(ctx, keys)
}

func (s *Syncer) changes(ctx context.Context, revision int64) ([]shuntplatform.KeyVersion, int64, error) {
	s.config.Metrics.PlatformCalls.Inc()
	if revision == 0 {
		l, err := s.config.Reader.List(ctx)
		return l.Keys, l.Revision, err
	}
	w, err := s.config.Reader.Watch(ctx, revision)
	return w.Keys, w.Revision, err
}

// read brings the named documents into force.
func (s *Syncer) read(ctx context.Context, keys []shuntplatform.KeyVersion) error {
	missing := s.missing(keys)
	if len(missing) > directKeys {
		return s.readShare(ctx, missing)
	}
	return s.readAll(ctx, missing)
}

// missing returns those of keys that the VM lacks, the Fleet document first.
func (s *Syncer) missing(keys []shuntplatform.KeyVersion) []shuntplatform.KeyVersion {
	t := s.config.Runner.View().Tree
	var out []shuntplatform.KeyVersion
	for _, k := range keys {
		d, _ := t.Document(k.Key)
		if k.Version <= d.Version || k.Version <= t.Refusals()[k.Key].Version {
			continue
		}
		out = append(out, k)
		if k.Key == shuntconfig.FleetKey {
			out[0], out[len(out)-1] = out[len(out)-1], out[0]
		}
	}
	return out
}

func (s *Syncer) readAll(ctx context.Context, keys []shuntplatform.KeyVersion) error {
	docs := make([]shuntconfig.Document, 0, len(keys))
	for _, k := range keys {
		d, err := s.get(ctx, k)
		if err != nil {
			return err
		}
		docs = append(docs, d)
	}
	if len(docs) == 0 {
		return nil
	}
	return s.config.Runner.Apply(docs...)
}

// get reads a document of at least the announced version.
func (s *Syncer) get(ctx context.Context, k shuntplatform.KeyVersion) (shuntconfig.Document, error) {
	for n := 1; ; n++ {
		s.config.Metrics.PlatformCalls.Inc()
		d, err := s.config.Reader.Get(ctx, k.Key)
		if err != nil || d.Version >= k.Version || n == staleTries {
			return d, err
		}
		s.config.Metrics.StaleReads.Inc()
		klog.V(1).InfoS("Platform gave an older document than it announced", "key", k.Key, "announced", k.Version, "got", d.Version)
		shuntgroup.Pause(ctx, pollPause<<n)
	}
}

// readShare reads this VM's share of many documents, waits for the other VMs
// to spread theirs, and then reads what is still missing, slowly.
func (s *Syncer) readShare(ctx context.Context, keys []shuntplatform.KeyVersion) error {
	if err := s.readAll(ctx, keys[:1]); err != nil {
		return err
	}
	vms := names(s.config.Runner.View().Tree.Fleet().VMs)
	self := s.config.Runner.config.Control.VM
	var mine []shuntplatform.KeyVersion
	for _, k := range keys[1:] {
		if len(vms) < 2 || choose(vms, string(k.Key)) == self {
			mine = append(mine, k)
		}
	}
	if err := s.readAll(ctx, mine); err != nil {
		return err
	}
	for end := time.Now().Add(shareWait); time.Now().Before(end) && ctx.Err() == nil; shuntgroup.Pause(ctx, pollPause) {
		if len(s.missing(keys)) == 0 {
			return nil
		}
	}
	for left := s.missing(keys); len(left) > 0; left = s.missing(left) {
		if err := s.readAll(ctx, left[:1]); err != nil {
			return err
		}
		left = left[1:]
		shuntgroup.Pause(ctx, s.config.Random.Duration(2*sharePause))
	}
	return nil
}
