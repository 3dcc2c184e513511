package shuntcatalog

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// Config configures a Catalog.
type Config struct {
	Decoder Decoder
	// DelistedGrace is how long a server without an entry is kept as a last
	// resort: the entry of a live server also expires while that server can't
	// reach the platform.
	DelistedGrace time.Duration
}

// drainedMemory is for how long a drained server is remembered. It must be longer than a
// copy can be old from which the platform's store is restored.
const drainedMemory = 2 * time.Minute

// drainedServer is the last report of a server that has begun to drain.
type drainedServer struct {
	startMillis int64
	sequence    int64
	value       []byte
	at          time.Time
}

// maxRetainedRemovals bounds the number of removals kept for other VMs.
const maxRetainedRemovals = 4096

// Catalog holds the newest known state of all records. It is not safe for
// concurrent use.
type Catalog struct {
	config   Config
	revision int64
	records  map[string]Record
	// removed holds the latest removals. Those up to compactedRevision may be missing:
	// they have been discarded, or were never seen.
	removed           []Record
	compactedRevision int64
	table             *shuntroute.Table
	// servers and zonesOutOfService are indexed by the key of the record.
	servers           map[string]shuntroute.Server
	zonesOutOfService map[string]string
	// zonesUnlisted holds when entries of zonesOutOfService were found to be missing from
	// a listing.
	zonesUnlisted map[string]time.Time
	// drained holds the last report of each incarnation of a server that has begun to
	// drain.
	drained map[string]drainedServer
	// keys holds the keys of the servers of each service.
	keys map[string]map[string]bool
	// view is the last view, or nil if it must be built anew. changed holds the
	// services whose servers have changed since.
	view    *shuntroute.View
	changed map[string]bool
}

// New returns an empty Catalog.
func New(c Config) *Catalog {
	return &Catalog{config: c, records: map[string]Record{}, servers: map[string]shuntroute.Server{}, zonesOutOfService: map[string]string{}, zonesUnlisted: map[string]time.Time{}, drained: map[string]drainedServer{},
		keys: map[string]map[string]bool{}, changed: map[string]bool{}}
}

// Revision returns the revision of the newest change applied.
func (c *Catalog) Revision() int64 { return c.revision }

// ChangesSince returns the changes after the revision, for other VMs, or the
// full state if not all removals after it are known. The caller must not
// change the records' values.
func (c *Catalog) ChangesSince(revision int64) Delta {
	d := Delta{State: State{Revision: c.revision}, Full: revision < c.compactedRevision}
	for _, r := range c.records {
		switch {
		case r.Revision > revision:
			d.Records = append(d.Records, r)
		case d.Full:
			d.Unchanged = append(d.Unchanged, r)
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

// Replace sets the catalog to a full state and removes every record that is not
// part of it. It ignores a state older than the catalog and returns false.
func (c *Catalog) Replace(s State, now time.Time) bool { return c.replace(s, nil, now) }

// ApplyDelta applies changes that another VM knows. It returns false if it ignores
// them: they are older than the catalog, or rely on records that it does not have.
func (c *Catalog) ApplyDelta(d Delta, now time.Time) bool {
	if !d.Full {
		c.Apply(d.State, now)
		return true
	}
	for _, r := range d.Unchanged {
		if _, ok := c.records[r.Key]; !ok {
			klog.InfoS("State from another VM ignored: it lacks a record", "key", r.Key, "revision", d.Revision, "known", c.revision)
			return false
		}
	}
	return c.replace(d.State, d.Unchanged, now)
}

// replace implements Replace. unchanged are further records of the state that the
// catalog has.
func (c *Catalog) replace(s State, unchanged []Record, now time.Time) bool {
	if s.Revision < c.revision {
		klog.InfoS("Listing ignored: older than what is known", "revision", s.Revision, "known", c.revision, "records", len(s.Records))
		return false
	}
	listed := make(map[string]bool, len(s.Records)+len(unchanged))
	for _, r := range s.Records {
		listed[r.Key] = true
		c.put(r, now)
	}
	for _, r := range unchanged {
		listed[r.Key] = true
	}
	for key := range c.records {
		if !listed[key] {
			c.removeUnlisted(key, s.Revision, now)
		}
	}
	// Records that came and went before the state was taken are not known.
	c.revision, c.compactedRevision, c.removed = s.Revision, s.Revision, nil
	return true
}

// Apply applies changes and ignores those that are already known.
func (c *Catalog) Apply(s State, now time.Time) {
	for _, r := range s.Records {
		switch known, ok := c.records[r.Key]; {
		case r.Revision <= c.revision:
		case !r.Removed:
			c.put(r, now)
		case !ok || known.Revision < r.Revision:
			// Otherwise the record has come back since.
			c.remove(r.Key, r.Revision, now)
		}
	}
	c.revision = max(c.revision, s.Revision)
}

// put stores a record and what it decodes to. If it can't be decoded, or is older than
// what is known by its own account, the previous contents stay in force, and are what
// other VMs get.
func (c *Catalog) put(r Record, now time.Time) {
	old, known := c.records[r.Key]
	switch {
	case known && old.Revision >= r.Revision:
		return
	case !known || !bytes.Equal(old.Value, r.Value):
		if inForce := c.install(r, now); inForce != nil {
			r.Value = inForce
		} else if known {
			r.Value = old.Value
		}
	}
	c.records[r.Key] = r
}

// install puts the contents of a record into force. It returns the contents that are in
// force then, or nil if they are the previous ones.
func (c *Catalog) install(r Record, now time.Time) []byte {
	var decoded DecodedRecord
	var err error
	if !shuntgroup.Protect("record "+r.Key, func() { decoded, err = c.config.Decoder.Decode(r, now) }) {
		return nil
	}
	switch {
	case err != nil:
		klog.InfoS("Published record passed over", "key", r.Key, "revision", r.Revision, "reason", err.Error())
		return nil
	case decoded.Table != nil:
		if !c.putTable(decoded.Table, r.Revision) {
			return nil
		}
	case decoded.Server != nil:
		return c.putServer(r, *decoded.Server, now)
	case decoded.ZoneOutOfService != "":
		delete(c.zonesUnlisted, r.Key)
		c.zonesOutOfService[r.Key] = decoded.ZoneOutOfService
		c.view = nil
		klog.InfoS("Availability zone out of service", "zone", decoded.ZoneOutOfService, "revision", r.Revision)
	}
	return r.Value
}

// putTable installs a routing table. It returns false if a newer version is already in
// force.
func (c *Catalog) putTable(t *shuntroute.Table, revision int64) bool {
	if c.table != nil && t.Version() < c.table.Version() {
		klog.InfoS("Older routes ignored", "version", t.Version(), "inForce", c.table.Version(), "revision", revision)
		return false
	}
	if c.table == nil || t.Version() > c.table.Version() {
		c.table = t
		klog.InfoS("Routes in force", "version", t.Version(), "revision", revision)
	}
	return true
}

// putServer installs a server's report. It ignores reports from an earlier incarnation of
// the server and reports older than the newest one from the same incarnation. It returns
// the contents in force, as install does.
func (c *Catalog) putServer(r Record, s shuntroute.Server, now time.Time) []byte {
	old, known := c.servers[r.Key]
	drained, wasDrained := c.drained[r.Key]
	wasDrained = wasDrained && s.StartMillis == drained.startMillis && s.Sequence < drained.sequence
	if wasDrained || (known && (s.StartMillis < old.StartMillis || (s.StartMillis == old.StartMillis && s.Sequence < old.Sequence))) {
		klog.InfoS("Stale report from a backend server ignored", "server", s.ID, "born", s.StartMillis, "sequence", s.Sequence, "revision", r.Revision, "drained", wasDrained)
		if wasDrained {
			return drained.value
		}
		if !old.DelistedAt.IsZero() && s.StartMillis == old.StartMillis {
			// The server is listed again, and may have nothing newer to report.
			c.setServer(r.Key, old.WithDelistedAt(time.Time{}))
		}
		return nil
	}
	c.setServer(r.Key, s)
	if s.Draining {
		c.drained[r.Key] = drainedServer{s.StartMillis, s.Sequence, r.Value, now}
	}
	if !known || old.Draining != s.Draining || old.StartMillis != s.StartMillis || !old.DelistedAt.IsZero() {
		klog.InfoS("Backend server listed", "server", s.ID, "service", s.Service, "address", s.Address, "zone", s.Zone,
			"born", s.StartMillis, "draining", s.Draining, "coldUntil", time.Until(s.ColdUntil).Milliseconds(), "revision", r.Revision)
	}
	return r.Value
}

// removeUnlisted deletes a record that a listing lacks. A zone stays out of service for
// the grace period: if the store was restored from a copy, the entry may only have to be
// written again.
func (c *Catalog) removeUnlisted(key string, revision int64, now time.Time) {
	zone, isZone := c.zonesOutOfService[key]
	if !isZone {
		c.remove(key, revision, now)
		return
	}
	delete(c.records, key)
	c.zonesUnlisted[key] = now
	klog.InfoS("Entry of an availability zone out of service is missing", "zone", zone, "revision", revision)
}

// remove deletes a record. A server whose record is removed is marked as
// delisted and stays in the view until Expire discards it.
func (c *Catalog) remove(key string, revision int64, now time.Time) {
	delete(c.records, key)
	c.removed = append(c.removed, Record{Key: key, Revision: revision, Removed: true})
	if len(c.removed) > maxRetainedRemovals {
		c.compactedRevision = c.removed[0].Revision
		c.removed = c.removed[1:]
	}
	c.openZone(key)
	if s, ok := c.servers[key]; ok && s.DelistedAt.IsZero() {
		c.setServer(key, s.WithDelistedAt(now))
		klog.InfoS("Backend server's entry gone", "server", s.ID, "service", s.Service, "draining", s.Draining)
	}
}

// openZone puts the zone of a removed record, if it is one, back into service.
func (c *Catalog) openZone(key string) {
	if zone, ok := c.zonesOutOfService[key]; ok {
		delete(c.zonesOutOfService, key)
		delete(c.zonesUnlisted, key)
		c.view = nil
		klog.InfoS("Availability zone back in service", "zone", zone)
	}
}

// Expire discards delisted servers whose grace period has passed, puts zones back into
// service that have been missing for as long, and reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	changed := false
	for key, since := range c.zonesUnlisted {
		if now.Sub(since) >= c.config.DelistedGrace {
			c.openZone(key)
			changed = true
		}
	}
	for key, d := range c.drained {
		if _, known := c.servers[key]; !known && now.Sub(d.at) > drainedMemory {
			delete(c.drained, key)
		}
	}
	for key, s := range c.servers {
		if !s.DelistedAt.IsZero() && now.Sub(s.DelistedAt) >= c.config.DelistedGrace {
			c.deleteServer(key)
			changed = true
		}
	}
	return changed
}

// setServer stores a server under its key.
func (c *Catalog) setServer(key string, s shuntroute.Server) {
	c.deleteServer(key)
	c.servers[key] = s
	if c.keys[s.Service] == nil {
		c.keys[s.Service] = map[string]bool{}
	}
	c.keys[s.Service][key] = true
	c.changed[s.Service] = true
}

func (c *Catalog) deleteServer(key string) {
	s, ok := c.servers[key]
	if !ok {
		return
	}
	delete(c.servers, key)
	delete(c.keys[s.Service], key)
	if len(c.keys[s.Service]) == 0 {
		delete(c.keys, s.Service)
	}
	c.changed[s.Service] = true
}

// View returns a view of the current state. It works out again only the services whose
// servers have changed: a large fleet has hundreds, and its servers report all the time.
func (c *Catalog) View() *shuntroute.View {
	if c.view == nil {
		closedZones := make(map[string]bool, len(c.zonesOutOfService))
		for _, z := range c.zonesOutOfService {
			closedZones[z] = true
		}
		c.view = shuntroute.NewView(nil, 0, nil, closedZones)
		for service := range c.keys {
			c.changed[service] = true
		}
	}
	changed := make(map[string][]shuntroute.Server, len(c.changed))
	for service := range c.changed {
		changed[service] = c.serversOf(service)
	}
	clear(c.changed)
	c.view = c.view.WithChanges(c.table, c.revision, changed)
	return c.view
}

// serversOf returns the servers of the service in the order of their IDs.
func (c *Catalog) serversOf(service string) []shuntroute.Server {
	out := make([]shuntroute.Server, 0, len(c.keys[service]))
	for key := range c.keys[service] {
		out = append(out, c.servers[key])
	}
	slices.SortFunc(out, func(a, b shuntroute.Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}
