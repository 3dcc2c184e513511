package shuntroute

import (
	"cmp"
	"slices"
	"strings"
)

// TableConfig holds the contents of a Table.
type TableConfig struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is one version of the routes, services and limits. It is immutable.
type Table struct {
	version  int64
	limits   Limits
	hosts    map[string][]*Route
	services map[string]Service
}

// NewTable returns a table with the contents of c.
func NewTable(c TableConfig) *Table {
	t := &Table{version: c.Version, limits: c.Limits, hosts: map[string][]*Route{}, services: map[string]Service{}}
	for _, r := range c.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], &r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the table's version, which increases with each published table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with that name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of the host with the longest prefix of path. A port in
// host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Width returns the number of shards of the widest queries.
func (t *Table) Width() int {
	width := 0
	for _, routes := range t.hosts {
		for _, r := range routes {
			width = max(width, len(r.Shards))
		}
	}
	return width
}

// Regions returns the union of the regions to which the host's routes are
// restricted, or nil if any route of the host is unrestricted.
func (t *Table) Regions(host string) []string {
	var out []string
	for _, r := range t.hosts[HostName(host)] {
		if len(r.Regions) == 0 {
			return nil
		}
		for _, v := range r.Regions {
			if !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

// HostName returns the name by which routes are found, given the Host header of a request:
// without a port, in lower case.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
