package shuntbalance

import (
	"sync"
	"time"
)

// MaxColdSenders is the number of VMs that may consider themselves responsible
// for the same server at a time: one on each side of a network partition.
const MaxColdSenders = 2

// coldWindow is longer than the second over which the load on a cold server is
// limited, to allow for variation in network latency.
const coldWindow = 1200 * time.Millisecond

// ColdLimiter limits the requests to cold backend servers. One VM is responsible
// for each server and stays within its share of the server's limit.
type ColdLimiter struct {
	mu      sync.Mutex
	servers map[Incarnation][]time.Time
}

// NewColdLimiter returns a limiter without recorded requests.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{servers: map[Incarnation][]time.Time{}} }

// Allow reports whether a request may be sent to a cold server, and if so counts
// it. burst is the number of requests per second that the server can handle from
// all VMs together.
func (g *ColdLimiter) Allow(s Incarnation, burst float64) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	sent := g.servers[s]
	for len(sent) > 0 && now.Sub(sent[0]) >= coldWindow {
		sent = sent[1:]
	}
	g.servers[s] = sent
	if len(sent)+1 > int(burst/MaxColdSenders) {
		return false
	}
	g.servers[s] = append(sent, now)
	return true
}

// Prune removes servers to which nothing was sent within the window.
func (g *ColdLimiter) Prune(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, sent := range g.servers {
		if len(sent) == 0 || now.Sub(sent[len(sent)-1]) > coldWindow {
			delete(g.servers, s)
		}
	}
}
