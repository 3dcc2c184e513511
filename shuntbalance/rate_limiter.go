package shuntbalance

import (
	"maps"
	"math"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// ClaimInterval is how often a VM claims its part of the limits.
	ClaimInterval = 250 * time.Millisecond
	// grantDuration is how long a grant is valid: some claims or grants may be lost.
	grantDuration = 4 * ClaimInterval
	// demandWeight is the weight of the last ClaimInterval in the demand.
	demandWeight = 0.15
	// negligibleDemand is the fraction of its share of a limit up to which a VM claims
	// nothing.
	negligibleDemand = 0.1
	// rateBucketDuration is the time for which unused rate accumulates in a VM's token
	// bucket. The bucket holds one request at least.
	rateBucketDuration = time.Second
	// minServerRate, in requests per second, replaces lower limits: only the replies of
	// a server tell when its limit ends.
	minServerRate = 0.2
	// maxServerRate, in requests per second, replaces higher limits, which bind no VM.
	maxServerRate = 1e6
	// limitHintMemory is how long a VM goes by a limit that another one was told.
	limitHintMemory = 10 * time.Second
	// limitHintSends is how often other VMs are told at once that a server names a limit.
	limitHintSends = 3
)

// RateClaim is what a VM claims of the limit that a server names.
type RateClaim struct {
	Server Incarnation
	// Region is the server's region.
	Region string
	// Limit is the limit that the server named, in requests per second from all VMs, and
	// Age the time since then.
	Limit float64
	Age   time.Duration
	// Demand is the number of requests per second for which the server is this VM's
	// first choice; 0 gives the claim up. Held is the rate that the VM has been granted.
	Demand float64
	Held   float64
}

// RateGrant allows a VM to send requests to a server that names a limit, at a rate in
// requests per second. It replaces the VM's earlier grant for the server.
type RateGrant struct {
	Server Incarnation
	Rate   float64
}

// LimitHint says that a server has told a VM its limit.
type LimitHint struct {
	Server Incarnation
	// Region is the server's region.
	Region string
	// Limit is the limit, in requests per second from all VMs, and Age the time since the
	// server last named it.
	Limit float64
	Age   time.Duration
}

// RateLimiterConfig configures a RateLimiter.
type RateLimiterConfig struct {
	// Share returns this VM's fraction, from 0 to 1, of limits that are divided without
	// regard to demand.
	Share func() float64
	// OnNews is called when a server has named a limit, here or to another VM. It may be
	// nil.
	OnNews func()
}

// RateLimiter keeps this VM within its part of the rate limits that backend servers in
// need name in their replies, to it or to other VMs. The part is what the VM responsible
// for a server has granted (see RateDivider), or without a valid grant a fixed share.
type RateLimiter struct {
	config RateLimiterConfig

	mu      sync.Mutex
	servers map[Incarnation]*limitedServer
	// unlimitedAt holds when servers told this VM that they have no limit any more.
	unlimitedAt map[Incarnation]time.Time
	// claimsAt is when Claims was last called.
	claimsAt time.Time
}

// limitedServer is the state of a server that names a limit.
type limitedServer struct {
	region string
	limit  float64
	// namedAt is when a reply last named the limit, to this VM or, if hinted is true, to
	// another one.
	namedAt time.Time
	hinted  bool
	// sends counts how often other VMs were told.
	sends        int
	granted      float64
	grantedUntil time.Time
	tokens       float64
	refilledAt   time.Time
	// wanted counts the requests since the last claims for which the server was the
	// first choice.
	wanted  int
	demand  float64
	claimed bool
}

// NewRateLimiter returns a limiter without limits.
func NewRateLimiter(c RateLimiterConfig) *RateLimiter {
	if c.OnNews == nil {
		c.OnNews = func() {}
	}
	return &RateLimiter{config: c, servers: map[Incarnation]*limitedServer{}, unlimitedAt: map[Incarnation]time.Time{}, claimsAt: time.Now()}
}

// Limit records that a reply of the server names a limit, in requests per second from
// all VMs together.
func (l *RateLimiter) Limit(s shuntroute.Server, perSecond float64) {
	now := time.Now()
	l.mu.Lock()
	r := l.getOrCreate(IncarnationOf(s), s.Region, now)
	r.namedAt, r.hinted = now, false
	limit := boundRate(perSecond)
	news := limit != r.limit
	if news {
		klog.InfoS("Backend server limits its rate", "server", s.ID, "service", s.Service, "perSecond", perSecond, "before", r.limit)
		r.limit, r.sends = limit, 0
	}
	l.mu.Unlock()
	if news {
		l.config.OnNews()
	}
}

func boundRate(perSecond float64) float64 { return min(max(minServerRate, perSecond), maxServerRate) }

// getOrCreate returns the state of a server that names a limit.
func (l *RateLimiter) getOrCreate(id Incarnation, region string, now time.Time) *limitedServer {
	r := l.servers[id]
	if r == nil {
		r = &limitedServer{region: region, refilledAt: now}
		l.servers[id] = r
	}
	return r
}

// Unlimit records that a reply of the server names no limit.
func (l *RateLimiter) Unlimit(s shuntroute.Server) {
	id := IncarnationOf(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.servers[id]; r != nil {
		delete(l.servers, id)
		l.unlimitedAt[id] = time.Now()
		klog.InfoS("Backend server no longer limits its rate", "server", s.ID, "service", s.Service, "before", r.limit)
	}
}

// Take reports whether a request may be sent to the server, and if so counts it.
func (l *RateLimiter) Take(s shuntroute.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.servers[IncarnationOf(s)]
	if r == nil {
		return true
	}
	r.wanted++
	l.refill(r, time.Now())
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Refund takes back a request that Take has counted and that was not sent.
func (l *RateLimiter) Refund(s shuntroute.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.servers[IncarnationOf(s)]; r != nil {
		r.tokens++
		l.refill(r, time.Now())
	}
}

// AvailableAt returns when a request may be sent to the server: now, or when its limit
// allows the next one.
func (l *RateLimiter) AvailableAt(s shuntroute.Server, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.servers[IncarnationOf(s)]
	if r == nil {
		return now
	}
	l.refill(r, now)
	if r.tokens >= 1 {
		return now
	}
	rate := l.rate(r, now)
	if rate <= 0 {
		return now.Add(grantDuration)
	}
	return now.Add(time.Duration((1 - r.tokens) / rate * float64(time.Second)))
}

// Want records a request that would have been sent to the server but for its limit.
func (l *RateLimiter) Want(s shuntroute.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.servers[IncarnationOf(s)]; r != nil {
		r.wanted++
	}
}

// rate returns the rate that this VM may use, in requests per second.
func (l *RateLimiter) rate(r *limitedServer, now time.Time) float64 {
	if now.Before(r.grantedUntil) {
		return min(r.granted, r.limit)
	}
	return l.config.Share() * r.limit
}

func (l *RateLimiter) refill(r *limitedServer, now time.Time) {
	rate := l.rate(r, now)
	size := max(1, rate*rateBucketDuration.Seconds())
	r.tokens = min(size, r.tokens+rate*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
}

// Limited reports whether the server names a limit.
func (l *RateLimiter) Limited(s shuntroute.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[IncarnationOf(s)] != nil
}

// Count returns the number of servers that name a limit.
func (l *RateLimiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servers)
}

// Claims returns what this VM claims of the servers' limits. It must be called once in
// each ClaimInterval.
func (l *RateLimiter) Claims(now time.Time) []RateClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := max(ClaimInterval, now.Sub(l.claimsAt))
	l.claimsAt = now
	var out []RateClaim
	for id, r := range l.servers {
		r.demand += demandWeight * (float64(r.wanted)/elapsed.Seconds() - r.demand)
		r.wanted = 0
		c := RateClaim{Server: id, Region: r.region, Limit: r.limit, Age: now.Sub(r.namedAt), Demand: r.demand}
		if now.Before(r.grantedUntil) {
			c.Held = r.granted
		}
		if r.demand < negligibleDemand*l.config.Share()*r.limit {
			if !r.claimed {
				continue
			}
			c.Demand = 0
		}
		r.claimed = c.Demand > 0
		out = append(out, c)
	}
	return out
}

// Grant puts a grant into force.
func (l *RateLimiter) Grant(g RateGrant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.servers[g.Server]; r != nil && r.claimed {
		l.refill(r, now)
		r.granted, r.grantedUntil = g.Rate, now.Add(grantDuration)
	}
}

// Export returns up to limit servers that name limits, for other VMs, those that were told
// least often first.
func (l *RateLimiter) Export(limit int) []LimitHint { return l.export(limit, math.MaxInt) }

// News returns those that other VMs may not know yet.
func (l *RateLimiter) News(limit int) []LimitHint { return l.export(limit, limitHintSends) }

func (l *RateLimiter) export(limit, maxSends int) []LimitHint {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []Incarnation
	for id, r := range l.servers {
		if r.sends < maxSends && now.Sub(r.namedAt) < limitHintMemory {
			ids = append(ids, id)
		}
	}
	ids = leastSent(ids, limit, func(id Incarnation) (int, time.Time) { return l.servers[id].sends, l.servers[id].namedAt })
	out := make([]LimitHint, len(ids))
	for i, id := range ids {
		r := l.servers[id]
		r.sends++
		out[i] = LimitHint{Server: id, Region: r.region, Limit: r.limit, Age: now.Sub(r.namedAt)}
	}
	return out
}

// Merge adds limits that servers have told other VMs. What a server tells this VM goes
// before.
func (l *RateLimiter) Merge(hints []LimitHint) {
	now := time.Now()
	news := false
	l.mu.Lock()
	for _, h := range hints {
		if h.Age >= 0 && h.Age < limitHintMemory && h.Limit > 0 {
			news = l.merge(h, now) || news
		}
	}
	l.mu.Unlock()
	if news {
		l.config.OnNews()
	}
}

// merge adds one limit and reports whether that is news.
func (l *RateLimiter) merge(h LimitHint, now time.Time) (news bool) {
	namedAt := now.Add(-h.Age)
	known := l.servers[h.Server]
	told := known != nil && !known.hinted
	outdated := (known != nil && !namedAt.After(known.namedAt)) || !namedAt.After(l.unlimitedAt[h.Server])
	if told || outdated {
		return false
	}
	r := l.getOrCreate(h.Server, h.Region, now)
	r.namedAt, r.hinted = namedAt, true
	limit := boundRate(h.Limit)
	if limit == r.limit {
		return false
	}
	klog.V(1).InfoS("Backend server limits its rate, as another VM was told", "server", h.Server.ID, "perSecond", limit, "before", r.limit, "age", h.Age.Milliseconds())
	r.limit, r.sends = limit, 0
	return true
}

// Prune removes servers whose limit has not been confirmed for a long time.
func (l *RateLimiter) Prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.servers, func(_ Incarnation, r *limitedServer) bool {
		return now.Sub(r.namedAt) > pruneAfter || (r.hinted && now.Sub(r.namedAt) > limitHintMemory)
	})
	maps.DeleteFunc(l.unlimitedAt, func(_ Incarnation, at time.Time) bool { return now.Sub(at) > limitHintMemory })
}
