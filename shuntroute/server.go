package shuntroute

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// Server is the published state of one backend server.
type Server struct {
	ID string
	// StartMillis is when the process started, in milliseconds since the Unix
	// epoch. A different value for the same ID means that the server has restarted
	// and kept none of its earlier state.
	StartMillis int64
	Service     string
	// Address is the server's host:port.
	Address string
	Zone    string
	Region  string
	Slots   int
	// Draining servers receive no new requests.
	Draining bool
	// ColdUntil is when the server becomes warm, by the clock of this process.
	ColdUntil time.Time
	// Sequence increases with each report of one incarnation.
	Sequence int64
	// DelistedAt is when the server's entry was found to be removed; zero while the
	// server is listed.
	DelistedAt time.Time
}

// Cold reports whether the server is cold at now.
func (s Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// WithDelistedAt returns a copy of s with DelistedAt set to at.
func (s Server) WithDelistedAt(at time.Time) Server {
	s.DelistedAt = at
	return s
}

// View is an immutable snapshot of the published data that routing depends on.
// An update replaces the whole view.
type View struct {
	// Table is nil until a first table has been received.
	Table *Table
	// Revision is the revision of the newest change in the view.
	Revision     int64
	servers      map[string][]Server
	outOfService map[string]bool
}

// NewView returns a view of servers, leaving out draining servers and those in
// closed zones.
func NewView(t *Table, revision int64, servers []Server, closedZones map[string]bool) *View {
	v := &View{Table: t, Revision: revision, servers: map[string][]Server{}, outOfService: closedZones}
	for _, s := range servers {
		if !closedZones[s.Zone] && !s.Draining {
			v.servers[s.Service] = append(v.servers[s.Service], s)
		}
	}
	return v
}

// WithChanges returns a view with another table and revision in which the given
// services have these servers instead of the ones that they had. It leaves out draining
// servers and those in v's closed zones.
func (v *View) WithChanges(t *Table, revision int64, changed map[string][]Server) *View {
	out := &View{Table: t, Revision: revision, servers: maps.Clone(v.servers), outOfService: v.outOfService}
	for service, servers := range changed {
		kept := slices.DeleteFunc(servers, func(s Server) bool { return v.outOfService[s.Zone] || s.Draining })
		if len(kept) == 0 {
			delete(out.servers, service)
		} else {
			out.servers[service] = kept
		}
	}
	return out
}

// All iterates over the servers of all services that may receive requests.
func (v *View) All() iter.Seq[Server] {
	return func(yield func(Server) bool) {
		for _, servers := range v.servers {
			for _, s := range servers {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// CountByZone returns the number of servers in each availability zone.
func (v *View) CountByZone() map[string]int {
	out := map[string]int{}
	for s := range v.All() {
		out[s.Zone]++
	}
	return out
}

// Servers returns the backend servers of the service that may receive requests.
// The caller must not modify the slice.
func (v *View) Servers(service string) []Server { return v.servers[service] }
