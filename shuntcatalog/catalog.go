package shuntcatalog

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// Config is what a Catalog is made of.
type Config struct {
	Decoder Decoder
	// LapseGrace is how long a server whose entry is gone stays a last choice:
	// entries also lapse while a live server can't reach the platform.
	LapseGrace time.Duration
}

// maxRemoved bounds the removals that are kept for other VMs.
const maxRemoved = 4096

// Catalog is the newest known state of all records. It is not safe for use by
// several goroutines.
type Catalog struct {
	config   Config
	revision int64
	records  map[string]Record
	// removed holds the latest removals; floor is the revision up to which they
	// may have been forgotten.
	removed []Record
	floor   int64
	table   *shuntroute.Table
	servers map[string]shuntroute.Server
	zones   map[string]string
}

// New returns an empty Catalog.
func New(c Config) *Catalog {
	return &Catalog{config: c, records: map[string]Record{}, servers: map[string]shuntroute.Server{}, zones: map[string]string{}}
}

// Revision is how far the catalog has followed.
func (c *Catalog) Revision() int64 { return c.revision }

// ChangesSince returns what changed after the revision, for other VMs. The records are
// shared.
func (c *Catalog) ChangesSince(revision int64) Delta {
	d := Delta{State: State{Revision: c.revision}, Full: revision < c.floor}
	for _, r := range c.records {
		if d.Full || r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	if d.Full {
		return d
	}
	for _, r := range c.removed {
		if r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Replace takes over a whole state: what it does not hold is gone. A state
// older than the catalog is passed over, and Replace returns false.
func (c *Catalog) Replace(s State, now time.Time) bool {
	if s.Revision < c.revision {
		return false
	}
	listed := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		listed[r.Key] = true
		c.put(r, now)
	}
	for key := range c.records {
		if !listed[key] {
			c.remove(key, s.Revision, now)
		}
	}
	c.revision = s.Revision
	return true
}

// Apply takes over changes.
func (c *Catalog) Apply(s State, now time.Time) {
	for _, r := range s.Records {
		if r.Revision <= c.revision {
			continue
		}
		if r.Removed {
			c.remove(r.Key, r.Revision, now)
		} else {
			c.put(r, now)
		}
	}
	c.revision = max(c.revision, s.Revision)
}

func (c *Catalog) put(r Record, now time.Time) {
	if old, ok := c.records[r.Key]; ok && old.Revision >= r.Revision {
		return
	}
	c.records[r.Key] = r
	f, err := c.config.Decoder.Decode(r, now)
	switch {
	case err != nil:
		klog.InfoS("Published record passed over", "key", r.Key, "revision", r.Revision, "reason", err.Error())
	case f.Table != nil:
		c.putTable(f.Table, r.Revision)
	case f.Server != nil:
		c.putServer(r.Key, *f.Server, r.Revision)
	case f.ZoneOutOfService != "":
		c.zones[r.Key] = f.ZoneOutOfService
		klog.InfoS("Availability zone taken out of service", "zone", f.ZoneOutOfService, "revision", r.Revision)
	}
}

// putTable never goes back to an older version.
func (c *Catalog) putTable(t *shuntroute.Table, revision int64) {
	if c.table != nil && t.Version() <= c.table.Version() {
		return
	}
	c.table = t
	klog.InfoS("Routes in force", "version", t.Version(), "revision", revision)
}

// putServer passes over reports of an earlier incarnation and reports that
// arrive after a later one of the same incarnation.
func (c *Catalog) putServer(key string, s shuntroute.Server, revision int64) {
	old, known := c.servers[key]
	if known && (s.StartMillis < old.StartMillis || (s.StartMillis == old.StartMillis && s.Sequence < old.Sequence)) {
		klog.InfoS("Stale report of a backend server passed over", "server", s.ID, "born", s.StartMillis, "sequence", s.Sequence, "revision", revision)
		return
	}
	c.servers[key] = s
	if !known || old.Draining != s.Draining || old.StartMillis != s.StartMillis || !old.DelistedAt.IsZero() {
		klog.InfoS("Backend server listed", "server", s.ID, "service", s.Service, "address", s.Address, "zone", s.Zone,
			"born", s.StartMillis, "draining", s.Draining, "coldUntil", time.Until(s.ColdUntil).Milliseconds(), "revision", revision)
	}
}

func (c *Catalog) remove(key string, revision int64, now time.Time) {
	delete(c.records, key)
	c.removed = append(c.removed, Record{Key: key, Revision: revision, Removed: true})
	if len(c.removed) > maxRemoved {
		c.floor = c.removed[0].Revision
		c.removed = c.removed[1:]
	}
	if zone, ok := c.zones[key]; ok {
		delete(c.zones, key)
		klog.InfoS("Availability zone back in service", "zone", zone)
	}
	if s, ok := c.servers[key]; ok && s.DelistedAt.IsZero() {
		c.servers[key] = s.WithDelistedAt(now)
		klog.InfoS("Backend server's entry gone", "server", s.ID, "service", s.Service, "draining", s.Draining)
	}
}

// Expire forgets lapsed servers whose grace is over, and reports whether there
// was one.
func (c *Catalog) Expire(now time.Time) bool {
	changed := false
	for key, s := range c.servers {
		if !s.DelistedAt.IsZero() && now.Sub(s.DelistedAt) >= c.config.LapseGrace {
			delete(c.servers, key)
			changed = true
		}
	}
	return changed
}

// View returns the present view.
func (c *Catalog) View() *shuntroute.View {
	servers := make([]shuntroute.Server, 0, len(c.servers))
	for _, s := range c.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b shuntroute.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	closed := make(map[string]bool, len(c.zones))
	for _, z := range c.zones {
		closed[z] = true
	}
	return shuntroute.NewView(c.table, c.revision, servers, closed)
}
