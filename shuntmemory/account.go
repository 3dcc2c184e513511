package shuntmemory

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// smallBytes is what a holder may take of the reserve, so that small requests are
	// served while large ones fill the account.
	smallBytes = 16 << 10
	// reserveFraction is the fraction of the limit that is the reserve.
	reserveFraction = 0.375
	// minStall is the shortest time without progress after which a holder may be evicted.
	// A peer that is sending or reading makes progress much more often.
	minStall = 250 * time.Millisecond
)

// ErrShort means that the account has no room, and that nothing else could be evicted.
var ErrShort = errors.New("the process is short of memory")

// errEnded is the error of a holder that was evicted or closed.
var errEnded = errors.Annotate(ErrShort, "evicted")

// Config configures an Account.
type Config struct {
	// Limit is the number of bytes that all holders may hold together; 0 means no limit.
	// Bodies can't take all of it: the reserve is kept for small requests and for work.
	Limit int64
}

// Account is the memory that a process holds for others. It is safe for concurrent use.
type Account struct {
	// limit includes the reserve.
	limit, reserve int64

	mu      sync.Mutex
	holders map[*Holder]struct{}
	used    int64
	counts  Counts
}

// Counts is a snapshot of an Account.
type Counts struct {
	// Used is the number of bytes held.
	Used int64
	// Evicted is the number of holders that were evicted so far, and Refused the number
	// of reservations that were refused.
	Evicted, Refused int64
}

// New returns an Account without holders.
func New(c Config) *Account {
	return &Account{limit: c.Limit, reserve: int64(reserveFraction * float64(c.Limit)), holders: map[*Holder]struct{}{}}
}

// Counts returns what the account holds and has refused.
func (a *Account) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Used = a.used
	return a.counts
}

// Open returns a Holder that holds nothing. The caller must close it.
func (a *Account) Open() *Holder {
	h := &Holder{account: a, movedAt: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Holder is a request, reply or answer for which memory is held. A nil Holder holds
// any amount without an account.
type Holder struct {
	account *Account

	// The fields below are guarded by account.mu.

	bytes int64
	// movedAt is when the holder was opened or last made progress.
	movedAt time.Time
	// evict ends what the holder stands for; nil if that must not be ended.
	evict func()
	ended bool
}

// Reserve takes n bytes more for what others send. If the account has no room, it evicts
// the holders that hold most and have stalled longest. If that does not help, or the holder
// itself was evicted or closed, it takes nothing and returns an error whose cause is ErrShort.
func (h *Holder) Reserve(n int64) error { return h.reserve(n, false) }

// ReserveWork is like Reserve, for work on a request that has been received. It may take of
// the reserve.
func (h *Holder) ReserveWork(n int64) error { return h.reserve(n, true) }

func (h *Holder) reserve(n int64, isWork bool) error {
	if h == nil {
		return nil
	}
	evictions, err := h.account.take(h, n, isWork, time.Now())
	for _, evict := range evictions {
		evict()
	}
	return err
}

// take implements Reserve and ReserveWork. It returns the functions that end the evicted
// holders, which must be called without the lock.
func (a *Account) take(h *Holder, n int64, isWork bool, now time.Time) (evictions []func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.ended {
		return nil, errEnded
	}
	limit := a.limit - a.reserve
	if isWork || h.bytes+n <= smallBytes {
		limit = a.limit
	}
	for a.limit > 0 && a.used+n > limit {
		worst := a.worst(now)
		if worst == nil || worst == h {
			a.counts.Refused++
			return evictions, errors.Trace(ErrShort)
		}
		evictions = append(evictions, worst.evict)
		a.counts.Evicted++
		a.end(worst)
	}
	h.add(n)
	return evictions, nil
}

// worst returns the holder with the greatest product of bytes and time without progress
// among those that may be evicted, or nil. The caller must hold a.mu.
func (a *Account) worst(now time.Time) *Holder {
	var worst *Holder
	most := 0.0
	for h := range a.holders {
		stall := now.Sub(h.movedAt)
		if h.evict == nil || stall < minStall {
			continue
		}
		if score := float64(h.bytes) * stall.Seconds(); score > most {
			worst, most = h, score
		}
	}
	return worst
}

// end removes a holder. The caller must hold a.mu.
func (a *Account) end(h *Holder) {
	a.used -= h.bytes
	h.bytes, h.ended = 0, true
	delete(a.holders, h)
}

// Add takes n bytes more, or gives bytes back if n is negative, even if the account has no
// room. A holder that has ended takes none.
func (h *Holder) Add(n int64) { h.update(func() { h.add(n) }) }

// Set makes the holder hold exactly n bytes, as Add does.
func (h *Holder) Set(n int64) { h.update(func() { h.add(n - h.bytes) }) }

// Moved records progress.
func (h *Holder) Moved() { h.update(func() { h.movedAt = time.Now() }) }

// SetEvict sets how the holder is evicted: evict must end what it stands for, without
// waiting, and may be called by any goroutine that reserves bytes. nil protects the holder.
// SetEvict also records progress.
func (h *Holder) SetEvict(evict func()) {
	h.update(func() { h.evict, h.movedAt = evict, time.Now() })
}

// Ended reports whether the holder has been evicted or closed.
func (h *Holder) Ended() (ended bool) {
	h.update(func() { ended = h.ended })
	return ended
}

// Close gives back what is held.
func (h *Holder) Close() {
	h.update(func() {
		if !h.ended {
			h.account.end(h)
		}
	})
}

// update runs f with the lock, unless h is nil.
func (h *Holder) update(f func()) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	f()
}

// add takes n bytes more unless the holder has ended. The caller must hold account.mu.
func (h *Holder) add(n int64) {
	if !h.ended {
		h.bytes += n
		h.account.used += n
	}
}
