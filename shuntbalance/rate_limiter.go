package shuntbalance

import (
	"sync"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

// RateLimiter holds the rate limits that backend servers in need name in their
// replies.
type RateLimiter struct {
	mu sync.Mutex
	// limits are in requests per second.
	limits map[Incarnation]float64
}

// NewRateLimiter returns a limiter without limits.
func NewRateLimiter() *RateLimiter { return &RateLimiter{limits: map[Incarnation]float64{}} }

// Limit records that a reply of the server names a limit, in requests per second from
// all VMs together.
func (l *RateLimiter) Limit(s shuntroute.Server, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, limited := l.limits[IncarnationOf(s)]
	if limited && before == perSecond {
		return
	}
	l.limits[IncarnationOf(s)] = perSecond
	klog.InfoS("Backend server limits its rate", "server", s.ID, "service", s.Service, "perSecond", perSecond, "before", before, "limited", limited)
}

// Unlimit records that a reply of the server names no limit.
func (l *RateLimiter) Unlimit(s shuntroute.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, limited := l.limits[IncarnationOf(s)]
	if !limited {
		return
	}
	delete(l.limits, IncarnationOf(s))
	klog.InfoS("Backend server no longer limits its rate", "server", s.ID, "service", s.Service, "before", before)
}

// Limited reports whether the server names a limit.
func (l *RateLimiter) Limited(s shuntroute.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.limits[IncarnationOf(s)]
	return limited
}

// Count returns the number of servers that name a limit.
func (l *RateLimiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}
