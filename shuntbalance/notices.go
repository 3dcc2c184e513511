package shuntbalance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntroute"
)

const (
	// maxPause bounds the time for which a server may want nothing: one answer must not
	// take it out for ever.
	maxPause = 2 * time.Minute
	// resumeSpread is the time over which VMs come back to a server after a pause, one
	// after the other, so that it does not get the first requests of all at once.
	resumeSpread = 400 * time.Millisecond
	// leavingMargin is how long before the end of the drain time a leaving server gets its
	// last request.
	leavingMargin = 500 * time.Millisecond
	// leavingMemory is how long a server counts as leaving after its last answer that said
	// so. It has ended by then, or was wrong.
	leavingMemory = 2 * time.Minute
	// hintMemory is how long a VM goes by what another one has heard from a server.
	hintMemory = 30 * time.Second
	// noticeSends is how often a notice is told to other VMs at once.
	noticeSends = 3
)

// Standing is how far a server may be asked, as it has said itself.
type Standing int

// The standings of servers.
const (
	// Open servers may be asked.
	Open Standing = iota
	// LastResort servers are leaving; they are asked only if no other server can be.
	LastResort
	// Closed servers must not be asked.
	Closed
)

// Why a server is not Open.
const (
	WhyLeaving = "Leaving"
	WhyPaused  = "Paused"
)

// NoticesConfig configures Notices.
type NoticesConfig struct {
	// DrainTime is how long after a server has said that it is leaving it may get
	// requests.
	DrainTime time.Duration
	// Turn returns this VM's place, from 0 to below 1, in the order in which VMs come back
	// to a server after a pause. If nil, this VM is the first.
	Turn func(server string) float64
	// OnNews is called when a server has said that it is leaving, here or to another VM.
	// It may be nil.
	OnNews func()
}

// Notices holds what backend servers say of themselves in their answers: that they are
// leaving, and that they want nothing from this VM for a time.
type Notices struct {
	config NoticesConfig

	mu      sync.Mutex
	servers map[Incarnation]*notice
}

type notice struct {
	// leavingAt is when the server first told this VM that it is leaving, and hintedAt
	// when it told another one.
	leavingAt time.Time
	hintedAt  time.Time
	// resumesAt is when a pause is over; zero if there is none. triedAt is when the first
	// request after it was allowed; zero if none is open.
	resumesAt time.Time
	triedAt   time.Time
	// misunderstood is true once that has been logged.
	misunderstood bool
	updatedAt     time.Time
	// sends counts how often other VMs were told.
	sends int
}

// NewNotices returns Notices without any.
func NewNotices(c NoticesConfig) *Notices {
	if c.OnNews == nil {
		c.OnNews = func() {}
	}
	if c.Turn == nil {
		c.Turn = func(string) float64 { return 0 }
	}
	return &Notices{config: c, servers: map[Incarnation]*notice{}}
}

func (n *Notices) notice(id Incarnation, now time.Time) *notice {
	r := n.servers[id]
	if r == nil {
		r = &notice{}
		n.servers[id] = r
	}
	r.updatedAt = now
	return r
}

// Answered records whether an answer to a request, begun at the given time, says that the
// server is leaving. An answer that doesn't takes an earlier one back.
func (n *Notices) Answered(s shuntroute.Server, begun time.Time, leaving bool) {
	now := time.Now()
	id := IncarnationOf(s)
	n.mu.Lock()
	r := n.servers[id]
	news := false
	switch {
	case leaving && (r == nil || r.leavingAt.IsZero()):
		r = n.notice(id, now)
		r.leavingAt, r.sends, news = now, 0, true
		klog.InfoS("Backend server says that it is leaving", "server", s.ID, "service", s.Service, "hintedBefore", !r.hintedAt.IsZero())
	case leaving:
		r.updatedAt = now
	case r != nil && r.saidBefore(begun):
		klog.InfoS("Backend server no longer says that it is leaving", "server", s.ID, "service", s.Service)
		r.leavingAt, r.hintedAt = time.Time{}, time.Time{}
	}
	n.mu.Unlock()
	if news {
		n.config.OnNews()
	}
}

// saidBefore reports whether the server was known to be leaving before the time.
func (r *notice) saidBefore(begun time.Time) bool {
	at := r.leavingAt
	if at.IsZero() {
		at = r.hintedAt
	}
	return !at.IsZero() && at.Before(begun)
}

// Pause records that the server wants nothing from this VM for d.
func (n *Notices) Pause(s shuntroute.Server, d time.Duration) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.notice(IncarnationOf(s), now)
	if d > maxPause {
		klog.InfoS("Pause of a backend server cut", "server", s.ID, "service", s.Service, "for", d, "to", maxPause)
		d = maxPause
	}
	until := now.Add(d)
	if !until.After(r.resumesAt) {
		return
	}
	r.resumesAt = until.Add(time.Duration(n.config.Turn(s.ID) * float64(resumeSpread)))
	klog.InfoS("Backend server wants no requests", "server", s.ID, "service", s.Service, "for", d.Milliseconds(), "resumes", r.resumesAt.Sub(now).Milliseconds())
}

// Misunderstood logs, once for each server, that what it asked for could not be understood.
func (n *Notices) Misunderstood(s shuntroute.Server, reason error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.notice(IncarnationOf(s), time.Now()); !r.misunderstood {
		r.misunderstood = true
		klog.InfoS("Pause of a backend server not understood", "server", s.ID, "service", s.Service, "reason", reason.Error())
	}
}

// Standing returns how far the server may be asked now. If it is not Open, it returns why,
// and until when, if that is known.
func (n *Notices) Standing(id Incarnation) (standing Standing, why string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.servers[id]
	if r == nil {
		return Open, "", time.Time{}
	}
	now := time.Now()
	leaving := r.leavingStanding(now, n.config.DrainTime)
	switch {
	case leaving == Closed:
		return Closed, WhyLeaving, time.Time{}
	case now.Before(r.resumesAt):
		return Closed, WhyPaused, r.resumesAt
	case !r.triedAt.IsZero():
		return Closed, WhyPaused, time.Time{}
	case leaving == LastResort:
		return LastResort, WhyLeaving, time.Time{}
	}
	return Open, "", time.Time{}
}

func (r *notice) leavingStanding(now time.Time, drainTime time.Duration) Standing {
	switch {
	case !r.leavingAt.IsZero() && now.Sub(r.updatedAt) > leavingMemory:
		return Open
	case !r.leavingAt.IsZero() && now.Sub(r.leavingAt) >= drainTime-leavingMargin:
		return Closed
	case !r.leavingAt.IsZero() || (!r.hintedAt.IsZero() && now.Sub(r.hintedAt) < hintMemory):
		return LastResort
	}
	return Open
}

// Take reports whether a request may be sent to the server. After a pause, only the first
// one may until it has ended.
func (n *Notices) Take(id Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.servers[id]
	if r == nil || r.resumesAt.IsZero() {
		return true
	}
	now := time.Now()
	if !r.triedAt.IsZero() || now.Before(r.resumesAt) {
		return false
	}
	r.triedAt = now
	return true
}

// End records the end of a request that Take has allowed and that was begun at the given
// time. sent is false if it did not reach the server.
func (n *Notices) End(id Incarnation, begun time.Time, sent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.servers[id]
	if r == nil || r.triedAt.IsZero() || begun.Before(r.triedAt) {
		return
	}
	r.triedAt = time.Time{}
	if sent && !time.Now().Before(r.resumesAt) {
		r.resumesAt = time.Time{}
	}
}

// LeavingHint says that a server has told a VM that it is leaving.
type LeavingHint struct {
	Server Incarnation
	// Age is the time since then.
	Age time.Duration
}

// Export returns up to limit servers that are leaving, for other VMs, those that were told
// least often first.
func (n *Notices) Export(limit int) []LeavingHint { return n.export(limit, math.MaxInt) }

// News returns those that other VMs may not know yet.
func (n *Notices) News(limit int) []LeavingHint { return n.export(limit, noticeSends) }

func (n *Notices) export(limit, maxSends int) []LeavingHint {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []Incarnation
	for id, r := range n.servers {
		if at := r.heardAt(); !at.IsZero() && now.Sub(at) < hintMemory && r.sends < maxSends {
			ids = append(ids, id)
		}
	}
	ids = leastSent(ids, limit, func(id Incarnation) (int, time.Time) { return n.servers[id].sends, n.servers[id].heardAt() })
	out := make([]LeavingHint, len(ids))
	for i, id := range ids {
		n.servers[id].sends++
		out[i] = LeavingHint{Server: id, Age: now.Sub(n.servers[id].heardAt())}
	}
	return out
}

// leastSent returns up to limit of the servers: those of which other VMs were told least
// often, and among them the latest. about returns how often that was, and when this VM
// learned of it.
func leastSent(ids []Incarnation, limit int, about func(Incarnation) (sends int, at time.Time)) []Incarnation {
	slices.SortFunc(ids, func(a, b Incarnation) int {
		sendsA, atA := about(a)
		sendsB, atB := about(b)
		if c := cmp.Compare(sendsA, sendsB); c != 0 {
			return c
		}
		return atB.Compare(atA)
	})
	return ids[:min(len(ids), limit)]
}

// heardAt returns when the server first told this VM or another one that it is leaving;
// zero if it has not.
func (r *notice) heardAt() time.Time {
	if r.hintedAt.IsZero() || (!r.leavingAt.IsZero() && r.leavingAt.Before(r.hintedAt)) {
		return r.leavingAt
	}
	return r.hintedAt
}

// Merge adds what servers have told other VMs.
func (n *Notices) Merge(hints []LeavingHint) {
	now := time.Now()
	news := false
	n.mu.Lock()
	for _, h := range hints {
		if h.Age < 0 || h.Age >= hintMemory {
			continue
		}
		r := n.notice(h.Server, now)
		if r.hintedAt.IsZero() && r.leavingAt.IsZero() {
			r.sends, news = 0, true
			r.hintedAt = now.Add(-h.Age)
			klog.V(1).InfoS("Backend server is leaving, as another VM heard", "server", h.Server.ID, "age", h.Age.Milliseconds())
		}
	}
	n.mu.Unlock()
	if news {
		n.config.OnNews()
	}
}

// Counts returns the number of servers that are leaving and of those that want no requests.
func (n *Notices) Counts() (leaving, paused int) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.servers {
		if r.leavingStanding(now, n.config.DrainTime) != Open {
			leaving++
		}
		if now.Before(r.resumesAt) {
			paused++
		}
	}
	return leaving, paused
}

// Prune removes what is too old to matter.
func (n *Notices) Prune(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, r := range n.servers {
		if now.Sub(r.updatedAt) > leavingMemory && now.After(r.resumesAt) {
			delete(n.servers, id)
		}
	}
}
