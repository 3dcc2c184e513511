package shuntbalance

import (
	"sync"
	"time"
)

// coldSides is how many VMs may hold themselves in charge of one server at the
// same time, when VMs lose sight of each other: one in each of two sides.
const coldSides = 2

// coldWindow is longer than the second over which load on a cold server counts,
// by what the way to the server may vary.
const coldWindow = 1200 * time.Millisecond

// ColdLimiter bounds the requests to cold backend servers. One VM is in charge of
// each server; it stays within its part of what the server bears.
type ColdLimiter struct {
	mu      sync.Mutex
	servers map[Incarnation][]time.Time
}

// NewColdLimiter returns a gate that has let nothing through.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{servers: map[Incarnation][]time.Time{}} }

// Allow counts a request to a cold server that bears burst requests a second
// from all VMs together, and reports whether it may be sent.
func (g *ColdLimiter) Allow(s Incarnation, burst float64) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	sent := g.servers[s]
	for len(sent) > 0 && now.Sub(sent[0]) >= coldWindow {
		sent = sent[1:]
	}
	g.servers[s] = sent
	if len(sent)+1 > int(burst/coldSides) {
		return false
	}
	g.servers[s] = append(sent, now)
	return true
}

// Prune forgets servers that got nothing within the window.
func (g *ColdLimiter) Prune(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, sent := range g.servers {
		if len(sent) == 0 || now.Sub(sent[len(sent)-1]) > coldWindow {
			delete(g.servers, s)
		}
	}
}
