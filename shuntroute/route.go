package shuntroute

import (
	"slices"
	"time"
)

// WeightedService is one of the services that the requests of a route are divided among.
type WeightedService struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is held; 0 means none.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer is of full use to the caller.
	LatencyGoal time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many backend servers may run one request, of each
	// shard where there are shards.
	MaxAttempts int
	// WeightedServices are the services of a forwarded route; empty where Shards are set.
	WeightedServices []WeightedService
	// Shards are the services that each hold a part of the index; a query goes
	// to one backend server of each.
	Shards []string
	// TopRecords is how many of the greatest records a query returns.
	TopRecords int
	// MinCoverage is the least share of shards, from 0 to 1, of an answer.
	MinCoverage float64
	// Regions are those that may serve the route; empty means all.
	Regions []string
}

// Scatters says whether requests of the route go to all of its shards.
func (r *Route) Scatters() bool { return len(r.Shards) > 0 }

// Allows says whether a backend server in region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// PickService returns the service for a point from 0 up to 1, without 1, so that
// points spread evenly give each share its weight.
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

// Service is what operators publish of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the most connections that a backend server accepts from all
	// VMs together.
	MaxConns int
	// ColdTime is how long a backend server is cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold backend server bears.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
