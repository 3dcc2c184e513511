package shuntconfig

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
	"time"
)

// Defaults of a service's warm-up.
const (
	DefaultInitialSlots     = 1
	DefaultWarmStepTime     = 250 * time.Millisecond
	DefaultWarmStepRequests = 4
)

const (
	maxWarmStepTime     = 10 * time.Minute
	maxWarmStepRequests = 10_000
	maxSlots            = 10_000
	maxConnections      = 100_000
	maxPort             = 65_535
)

// Service is one group of backend servers that hold the same shards.
type Service struct {
	Name string
	// Slots is how many requests one backend server works on at a time.
	Slots int
	// Connections is how many open connections one backend server accepts.
	Connections int
	// InitialSlots is how many requests at a time a freshly started backend
	// server bears.
	InitialSlots int
	// WarmStepTime and WarmStepRequests: a server that is warming up bears one
	// request more after it has spent this time, and served this many requests
	// for each that it bears, at its present level.
	WarmStepTime     time.Duration
	WarmStepRequests int
	Servers          []Server
	Snapshots        []Snapshot
}

// Server is one backend server.
type Server struct {
	Name    string
	Address string
	Zone    string
	// Draining marks a server that is leaving: it gets no new work.
	Draining bool
}

// SnapshotID names a snapshot of the index: its version, and the generation
// of the shard map over it.
type SnapshotID struct {
	Version    int64
	Generation int64
}

// Compare orders snapshots from old to new.
func (s SnapshotID) Compare(t SnapshotID) int {
	if c := cmp.Compare(s.Version, t.Version); c != 0 {
		return c
	}
	return cmp.Compare(s.Generation, t.Generation)
}

// String returns the form that the wire formats use, "version.generation".
func (s SnapshotID) String() string {
	return strconv.FormatInt(s.Version, 10) + "." + strconv.FormatInt(s.Generation, 10)
}

// ParseSnapshotID reads the form that String returns.
func ParseSnapshotID(s string) (SnapshotID, error) {
	var id SnapshotID
	var rest string
	n, _ := fmt.Sscanf(s, "%d.%d%s", &id.Version, &id.Generation, &rest)
	if n != 2 || id.String() != s {
		return SnapshotID{}, fmt.Errorf("snapshot %q is not version.generation", s)
	}
	return id, nil
}

// Snapshot is a snapshot that a service serves, with its shard map.
type Snapshot struct {
	ID     SnapshotID
	Shards []Shard
}

// Shard is one shard of a snapshot and the names of the servers that hold it.
type Shard struct {
	Name    string
	Servers []string
}

// WithSnapshots returns s with other snapshots.
func (s Service) WithSnapshots(ss ...Snapshot) Service {
	s.Snapshots = ss
	return s
}

// WithDraining returns s with one server marked as draining or not.
func (s Service) WithDraining(server string, draining bool) Service {
	out := make([]Server, len(s.Servers))
	copy(out, s.Servers)
	for i := range out {
		if out[i].Name == server {
			out[i].Draining = draining
		}
	}
	s.Servers = out
	return s
}

// WithServer returns s with v in the place of the server of that name, or added.
func (s Service) WithServer(v Server) Service {
	out := make([]Server, 0, len(s.Servers)+1)
	found := false
	for _, o := range s.Servers {
		if o.Name == v.Name {
			o = v
			found = true
		}
		out = append(out, o)
	}
	if !found {
		out = append(out, v)
	}
	s.Servers = out
	return s
}

func (s Service) check() error {
	k := MakeKey(KindService, s.Name)
	if err := checkRange(k, "Slots", int64(s.Slots), 1, maxSlots); err != nil {
		return err
	}
	if err := checkRange(k, "Connections", int64(s.Connections), 2, maxConnections); err != nil {
		return err
	}
	if err := checkRange(k, "ColdBears", int64(s.InitialSlots), 1, int64(s.Slots)); err != nil {
		return err
	}
	if err := checkRange(k, "WarmStepMilliseconds", s.WarmStepTime.Milliseconds(), 0, maxWarmStepTime.Milliseconds()); err != nil {
		return err
	}
	if err := checkRange(k, "WarmStepRequests", int64(s.WarmStepRequests), 1, maxWarmStepRequests); err != nil {
		return err
	}
	names := map[string]bool{}
	for _, v := range s.Servers {
		if err := checkName(k, "Servers.Name", v.Name); err != nil {
			return err
		}
		if names[v.Name] {
			return &FieldError{k, "Servers.Name", v.Name, "is there twice"}
		}
		names[v.Name] = true
		if err := checkAddress(k, "Servers.Address", v.Address); err != nil {
			return err
		}
		if err := checkName(k, "Servers.Zone", v.Zone); err != nil {
			return err
		}
	}
	return s.checkSnapshots(k, names)
}

func (s Service) checkSnapshots(k Key, servers map[string]bool) error {
	if len(s.Snapshots) == 0 {
		return &FieldError{k, "Snapshots", "", "is empty"}
	}
	ids := map[SnapshotID]bool{}
	for _, n := range s.Snapshots {
		if err := checkRange(k, "Snapshots.Version", n.ID.Version, 1, 1<<53); err != nil {
			return err
		}
		if ids[n.ID] {
			return &FieldError{k, "Snapshots.Version", n.ID.String(), "is there twice"}
		}
		ids[n.ID] = true
		if err := checkShards(k, n.Shards, servers); err != nil {
			return err
		}
	}
	return nil
}

func checkShards(k Key, shards []Shard, servers map[string]bool) error {
	if len(shards) == 0 {
		return &FieldError{k, "Snapshots.Shards", "", "is empty"}
	}
	names := map[string]bool{}
	for _, h := range shards {
		if err := checkName(k, "Snapshots.Shards.Name", h.Name); err != nil {
			return err
		}
		if names[h.Name] {
			return &FieldError{k, "Snapshots.Shards.Name", h.Name, "is there twice"}
		}
		names[h.Name] = true
		for _, v := range h.Servers {
			if !servers[v] {
				return &FieldError{k, "Snapshots.Shards.Servers", v, "is not among Servers"}
			}
		}
	}
	return nil
}

func checkAddress(k Key, field, a string) error {
	if len(a) > maxAddressBytes {
		return &FieldError{k, field, a, "is too long"}
	}
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return &FieldError{k, field, a, "is not host:port"}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{k, field, a, "has no IP number before the port"}
	}
	if p, err := strconv.Atoi(port); err != nil || p < 0 || p > maxPort {
		return &FieldError{k, field, a, "has a port outside 0 to 65535"}
	}
	return nil
}
