package shuntroute

import (
	"iter"
	"time"
)

// Server is what is published of one backend server.
type Server struct {
	ID string
	// StartMillis is the start of the process, in milliseconds since 1970. The same ID
	// with another Born is another incarnation, which knows nothing of the first.
	StartMillis int64
	Service     string
	// Address is host:port.
	Address string
	Zone    string
	Region  string
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// ColdUntil is when the server is warm, by this process's clock.
	ColdUntil time.Time
	// Sequence grows with each report of one incarnation.
	Sequence int64
	// DelistedAt is when the entry was seen to be gone; zero while it is listed.
	DelistedAt time.Time
}

// Cold says whether the server is cold at now.
func (s Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// WithDelistedAt returns s as lapsed since at.
func (s Server) WithDelistedAt(at time.Time) Server {
	s.DelistedAt = at
	return s
}

// View is everything published that routing goes by, at one moment. It is
// immutable; a new one replaces it as a whole.
type View struct {
	// Table is nil until the first one is known.
	Table *Table
	// Revision is that of the newest change in the view.
	Revision int64
	servers  map[string][]Server
	closed   map[string]bool
}

// NewView returns a view of servers, without those of the closed zones.
func NewView(t *Table, revision int64, servers []Server, closedZones map[string]bool) *View {
	v := &View{Table: t, Revision: revision, servers: map[string][]Server{}, closed: closedZones}
	for _, s := range servers {
		if !closedZones[s.Zone] && !s.Draining {
			v.servers[s.Service] = append(v.servers[s.Service], s)
		}
	}
	return v
}

// All returns the servers of all services that may get requests.
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

// Servers returns the backend servers of the service that may get requests.
// The slice must not be changed.
func (v *View) Servers(service string) []Server { return v.servers[service] }
