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
	minBackoff = 200 * time.Millisecond
	// maxBackoff is short enough that a change is in force everywhere within
	// ten seconds even if it was published right after the platform has
	// recovered.
	maxBackoff = 8 * time.Second
	// maxDirectReads is the number of missing documents up to which a VM reads
	// all of them from the platform. If more are missing, it reads its share
	// and gets the others from other VMs, so that a fleet whose VMs start at
	// the same time stays within the platform's rate limit.
	maxDirectReads = 256
	// peerWait is how long a VM waits for the documents that other VMs read
	// before it reads the remaining ones itself.
	peerWait = 5 * time.Second
	// readPause is the average pause between these reads.
	readPause    = 200 * time.Millisecond
	pollInterval = 100 * time.Millisecond
	// maxVMPollInterval is the longest time between two reads of the VM list.
	// isolatedVMPollInterval replaces it while no other VM is live.
	maxVMPollInterval      = 20 * time.Second
	isolatedVMPollInterval = time.Second
	// maxReadAttempts is how many times a document is read while the platform
	// returns an older version than it announced.
	maxReadAttempts = 5
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Reader shuntplatform.Reader
	Runner *Runner
	// Seeds are the peer addresses to fetch documents from at the start, when
	// no other VM is known.
	Seeds   []string
	Metrics *Metrics
	// Random is the source of jitter. If it is nil, a randomly seeded source is
	// used.
	Random *shuntrandom.Source
}

// Syncer keeps a VM's configuration up to date from the platform. At the start
// it also reads it from other VMs.
type Syncer struct {
	config SyncerConfig
}

// NewSyncer returns a Syncer that Run starts.
func NewSyncer(c SyncerConfig) *Syncer {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.Random == nil {
		c.Random = shuntrandom.New(0)
	}
	return &Syncer{config: c}
}

// Run loads the configuration and follows its changes until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	s.loadInitial(ctx)
	var revision int64
	wait := minBackoff
	for ctx.Err() == nil {
		next, err := s.syncOnce(ctx, revision)
		if err == nil {
			revision = next
			wait = minBackoff
			continue
		}
		s.config.Metrics.PlatformErrors.Inc()
		klog.V(1).InfoS("Reading from the platform failed", "reason", err.Error(), "nextTry", wait)
		// Full jitter prevents VMs that lost the platform at the same time from
		// retrying at the same time.
		shuntgroup.Pause(ctx, s.config.Random.Duration(wait))
		wait = min(2*wait, maxBackoff)
	}
}

// PollVMs reads the platform's list of VMs periodically until ctx ends. It
// polls more often while no other VM is live, since then only the platform's
// answers show that this VM is not isolated.
func (s *Syncer) PollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		s.config.Metrics.PlatformCalls.Inc()
		vms, err := s.config.Reader.VMs(ctx)
		if err == nil {
			s.config.Runner.RecordPlatformResponse()
			s.config.Runner.SetLeavingVMs(leavingVMs(vms))
		}
		interval := maxVMPollInterval
		if !s.config.Runner.View().hasLivePeer() {
			interval = isolatedVMPollInterval
		}
		shuntgroup.Pause(ctx, interval/2+s.config.Random.Duration(interval/2))
	}
}

func leavingVMs(vms []shuntplatform.VMStatus) map[string]bool {
	out := map[string]bool{}
	for _, v := range vms {
		if v.State == shuntplatform.VMLeaving {
			out[v.Name] = true
		}
	}
	return out
}

// loadInitial loads the configuration from every seed that can be reached and
// from the platform, so that the VM starts with the highest versions. It
// retries until the platform has answered or a seed has provided a Fleet
// document.
func (s *Syncer) loadInitial(ctx context.Context) {
	wait := minBackoff
	for ctx.Err() == nil {
		reached := s.fetchFromSeeds(ctx)
		_, err := s.syncOnce(ctx, 0)
		if err == nil || (reached && s.config.Runner.View().Tree.Fleet().Version > 0) {
			s.config.Runner.MarkSynced()
			return
		}
		klog.InfoS("No configuration yet", "reason", err.Error(), "nextTry", wait)
		shuntgroup.Pause(ctx, s.config.Random.Duration(wait))
		wait = min(2*wait, time.Second)
	}
}

func (s *Syncer) fetchFromSeeds(ctx context.Context) bool {
	reached := false
	for _, a := range s.config.Seeds {
		if _, err := s.config.Runner.fetch(ctx, a); err == nil {
			reached = true
		}
	}
	return reached
}

// syncOnce lists all keys if revision is 0, otherwise it waits for a change
// after revision. It reads the new documents and returns the revision that it
// has read up to.
func (s *Syncer) syncOnce(ctx context.Context, revision int64) (int64, error) {
	keys, next, err := s.changes(ctx, revision)
	if err != nil {
		return 0, err
	}
	s.config.Runner.RecordPlatformResponse()
	if next < revision {
		// The revision is lower than the previous one, so the answer comes from
		// a stale replica of the platform. It can't list anything new and is
		// ignored.
		shuntgroup.Pause(ctx, minBackoff)
		return revision, nil
	}
	return next, s.readMissing(ctx, keys)
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

// readMissing reads the documents of keys that this VM lacks and puts them into
// force.
func (s *Syncer) readMissing(ctx context.Context, keys []shuntplatform.KeyVersion) error {
	missing := s.missing(keys)
	if len(missing) > maxDirectReads {
		return s.readShare(ctx, missing)
	}
	return s.readAll(ctx, missing)
}

// missing returns those of keys that are newer than the documents of this VM,
// including refused ones. The Fleet document comes first.
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
		d, err := s.readDocument(ctx, k)
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

// readDocument reads a document. It retries while the platform returns an older
// version than it announced.
func (s *Syncer) readDocument(ctx context.Context, k shuntplatform.KeyVersion) (shuntconfig.Document, error) {
	for n := 1; ; n++ {
		s.config.Metrics.PlatformCalls.Inc()
		d, err := s.config.Reader.Get(ctx, k.Key)
		if err != nil || d.Version >= k.Version || n == maxReadAttempts {
			return d, err
		}
		s.config.Metrics.StaleReads.Inc()
		klog.V(1).InfoS("Platform returned an older document than it announced", "key", k.Key, "announced", k.Version, "got", d.Version)
		shuntgroup.Pause(ctx, pollInterval<<n)
	}
}

// readShare reads this VM's share of many documents, waits until other VMs
// distribute theirs, and then slowly reads those that are still missing.
func (s *Syncer) readShare(ctx context.Context, keys []shuntplatform.KeyVersion) error {
	if err := s.readAll(ctx, keys[:1]); err != nil {
		return err
	}
	vms := vmNames(s.config.Runner.View().Tree.Fleet().VMs)
	self := s.config.Runner.config.Control.VM
	var share []shuntplatform.KeyVersion
	for _, k := range keys[1:] {
		if len(vms) < 2 || chooseNode(vms, string(k.Key)) == self {
			share = append(share, k)
		}
	}
	if err := s.readAll(ctx, share); err != nil {
		return err
	}
	for end := time.Now().Add(peerWait); time.Now().Before(end) && ctx.Err() == nil; shuntgroup.Pause(ctx, pollInterval) {
		if len(s.missing(keys)) == 0 {
			return nil
		}
	}
	for remaining := s.missing(keys); len(remaining) > 0; remaining = s.missing(remaining) {
		if err := s.readAll(ctx, remaining[:1]); err != nil {
			return err
		}
		remaining = remaining[1:]
		shuntgroup.Pause(ctx, s.config.Random.Duration(2*readPause))
	}
	return nil
}
