package shuntroute

import (
	"slices"
	"time"
)

// WeightedService is one of the services among which a route's requests are
// divided.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services.
	Weight float64
}

// Route configures how requests for one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time for which a request is held; 0 means no limit.
	Timeout time.Duration
	// LatencyGoal is the response time beyond which an answer loses value for the
	// caller.
	LatencyGoal time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that may run one
	// request. On a sharded route it applies to each shard.
	MaxAttempts int
	// WeightedServices are the services of a route without shards; empty if Shards
	// is set.
	WeightedServices []WeightedService
	// Shards are the services that each hold one part of the index. A query is sent
	// to one backend server of each.
	Shards []string
	// TopRecords is the number of greatest records that a query returns.
	TopRecords int
	// MinCoverage is the minimum fraction of shards in an answer, from 0 to 1.
	MinCoverage float64
	// Regions are the regions whose servers may serve the route; empty means all.
	Regions []string
}

// Scatters reports whether requests of the route are sent to all of its shards.
func (r *Route) Scatters() bool { return len(r.Shards) > 0 }

// Allows reports whether a backend server in region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// PickService maps a point in [0, 1) to a service. Uniformly distributed points
// select each service in proportion to its weight.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	point *= total
	for _, s := range r.WeightedServices {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// Service is the published configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that a backend server accepts
	// from all VMs together.
	MaxConns int
	// ColdTime is how long a backend server counts as cold after it has started.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold backend server can
	// handle.
	ColdRate float64
}

// Limits bound the size and duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
