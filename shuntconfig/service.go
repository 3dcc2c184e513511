package shuntconfig

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
	"time"
)

// Defaults for the warm-up of backend servers.
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

// Service is a group of backend servers that hold the same shards.
type Service struct {
	Name string
	// Slots is the number of requests that one backend server processes
	// concurrently.
	Slots int
	// Connections is the maximum number of open connections that one backend
	// server accepts.
	Connections int
	// InitialSlots is the number of concurrent requests that a newly started
	// backend server can handle. Documents call it ColdBears.
	InitialSlots int
	// WarmStepTime and WarmStepRequests control the warm-up of a server. Its
	// limit of concurrent requests rises by one after it has spent
	// WarmStepTime at the current limit and served WarmStepRequests times
	// that limit.
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
	// Draining is set for a server that is being removed: it gets no new work.
	Draining bool
}

// SnapshotID identifies a snapshot of the index by the version of the index and
// the generation of its shard map.
type SnapshotID struct {
	Version    int64
	Generation int64
}

// Compare orders snapshots from oldest to newest. Its result is like that of
// cmp.Compare.
func (s SnapshotID) Compare(t SnapshotID) int {
	if c := cmp.Compare(s.Version, t.Version); c != 0 {
		return c
	}
	return cmp.Compare(s.Generation, t.Generation)
}

// String returns s as "version.generation", the form in messages between
// processes.
func (s SnapshotID) String() string {
	return strconv.FormatInt(s.Version, 10) + "." + strconv.FormatInt(s.Generation, 10)
}

// ParseSnapshotID parses the form that String returns.
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

// WithSnapshots returns a copy of s that serves the given snapshots.
func (s Service) WithSnapshots(snapshots ...Snapshot) Service {
	s.Snapshots = snapshots
	return s
}

// WithDraining returns a copy of s with Draining of the named server set to
// draining.
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

// WithServer returns a copy of s in which server replaces the server of the same
// name, or is added if there is none.
func (s Service) WithServer(server Server) Service {
	out := make([]Server, 0, len(s.Servers)+1)
	found := false
	for _, existing := range s.Servers {
		if existing.Name == server.Name {
			existing = server
			found = true
		}
		out = append(out, existing)
	}
	if !found {
		out = append(out, server)
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
	for _, server := range s.Servers {
		if err := checkName(k, "Servers.Name", server.Name); err != nil {
			return err
		}
		if names[server.Name] {
			return &FieldError{k, "Servers.Name", server.Name, "is there twice"}
		}
		names[server.Name] = true
		if err := checkAddress(k, "Servers.Address", server.Address); err != nil {
			return err
		}
		if err := checkName(k, "Servers.Zone", server.Zone); err != nil {
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
	for _, snapshot := range s.Snapshots {
		if err := checkRange(k, "Snapshots.Version", snapshot.ID.Version, 1, 1<<53); err != nil {
			return err
		}
		if ids[snapshot.ID] {
			return &FieldError{k, "Snapshots.Version", snapshot.ID.String(), "is there twice"}
		}
		ids[snapshot.ID] = true
		if err := checkShards(k, snapshot.Shards, servers); err != nil {
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
	for _, shard := range shards {
		if err := checkName(k, "Snapshots.Shards.Name", shard.Name); err != nil {
			return err
		}
		if names[shard.Name] {
			return &FieldError{k, "Snapshots.Shards.Name", shard.Name, "is there twice"}
		}
		names[shard.Name] = true
		for _, server := range shard.Servers {
			if !servers[server] {
				return &FieldError{k, "Snapshots.Shards.Servers", server, "is not among Servers"}
			}
		}
	}
	return nil
}

func checkAddress(k Key, field, address string) error {
	if len(address) > maxAddressBytes {
		return &FieldError{k, field, address, "is too long"}
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &FieldError{k, field, address, "is not host:port"}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{k, field, address, "has no IP number before the port"}
	}
	if p, err := strconv.Atoi(port); err != nil || p < 0 || p > maxPort {
		return &FieldError{k, field, address, "has a port outside 0 to 65535"}
	}
	return nil
}
