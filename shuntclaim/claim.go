// Package shuntclaim keeps non-idempotent requests from running twice.
//
// Each such request carries a ticket. A ticket is made by one process and
// names its VM and its start identity; only that process, in that life, may
// run the request. It claims the ticket in memory before any work, keeps the
// claim until the ticket expires, and answers repeats with the recorded
// outcome. When the process is gone, so is the right to run the request, and
// the answer is Unknown for good. No shared state is needed.
package shuntclaim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

const (
	// TicketLifetime is how long a ticket is good for.
	TicketLifetime = 5 * time.Minute
	// MaxTicketBatch is the most tickets made at one asking.
	MaxTicketBatch = 64
	// maxClaims bounds the table; more claims are refused as Overloaded.
	maxClaims  = 1 << 15
	macBytes   = 16
	startBytes = 8
	keyBytes   = 32
	separator  = "~"
	ticketPart = 4
)

// Ticket is the right to run one non-idempotent request once.
type Ticket struct {
	// VM and Start name the process that made it.
	VM    string
	Start string
	// body is sequence and expiry, mac the proof over all.
	body, mac []byte
}

// ParseTicket reads the form that callers hold.
func ParseTicket(s string) (Ticket, bool) {
	p := strings.Split(s, separator)
	if len(p) != ticketPart {
		return Ticket{}, false
	}
	body, err := base64.RawURLEncoding.DecodeString(p[2])
	if err != nil || len(body) != 16 {
		return Ticket{}, false
	}
	mac, err := base64.RawURLEncoding.DecodeString(p[3])
	if err != nil || len(mac) != macBytes {
		return Ticket{}, false
	}
	return Ticket{VM: p[0], Start: p[1], body: body, mac: mac}, true
}

// String returns the form that callers hold.
func (t Ticket) String() string {
	e := base64.RawURLEncoding
	return strings.Join([]string{t.VM, t.Start, e.EncodeToString(t.body), e.EncodeToString(t.mac)}, separator)
}

func (t Ticket) sequence() uint64 { return binary.BigEndian.Uint64(t.body) }

// expiry is in nanoseconds on the maker's own monotonic clock since its start.
func (t Ticket) expiry() time.Duration { return time.Duration(binary.BigEndian.Uint64(t.body[8:])) }

// NewStart returns a random start identity.
func NewStart() string {
	b := make([]byte, startBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Config is what a Book is made of.
type Config struct {
	VM    string
	Start string
}

// Registry makes tickets and keeps the claims on them. A is the recorded answer.
type Registry[A any] struct {
	config Config
	key    []byte
	began  time.Time

	mu       sync.Mutex
	sequence uint64
	claims   map[uint64]*Claim[A]
	swept    time.Time
}

// Claim is the one run of a ticket's request.
type Claim[A any] struct {
	fingerprint uint64
	expiry      time.Duration
	// done is closed once answer is set.
	done   chan struct{}
	answer A
}

// Done is closed when the answer is recorded.
func (c *Claim[A]) Done() <-chan struct{} { return c.done }

// Answer returns the recorded answer. It must be called after Done is closed.
func (c *Claim[A]) Answer() A { return c.answer }

// NewRegistry returns a Book without claims.
func NewRegistry[A any](c Config) *Registry[A] {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key)
	now := time.Now()
	return &Registry[A]{config: c, key: key, began: now, swept: now, claims: map[uint64]*Claim[A]{}}
}

// Issue makes n tickets, at most MaxBatch.
func (b *Registry[A]) Issue(n int) []Ticket {
	n = max(1, min(n, MaxTicketBatch))
	b.mu.Lock()
	first := b.sequence + 1
	b.sequence += uint64(n)
	b.mu.Unlock()
	expiry := time.Since(b.began) + TicketLifetime
	out := make([]Ticket, n)
	for i := range out {
		out[i] = b.make(first+uint64(i), expiry)
	}
	return out
}

func (b *Registry[A]) make(sequence uint64, expiry time.Duration) Ticket {
	body := make([]byte, 16)
	binary.BigEndian.PutUint64(body, sequence)
	binary.BigEndian.PutUint64(body[8:], uint64(expiry))
	return Ticket{VM: b.config.VM, Start: b.config.Start, body: body, mac: b.mac(body)}
}

func (b *Registry[A]) mac(body []byte) []byte {
	m := hmac.New(sha256.New, b.key)
	m.Write([]byte(b.config.VM + separator + b.config.Start + separator))
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}

// IssuedHere says whether this process made t, or would have to.
func (b *Registry[A]) IssuedHere(t Ticket) bool {
	return t.VM == b.config.VM && t.Start == b.config.Start
}

// Claim claims t for the request with the given fingerprint. It returns
// (claim, true, None) when the caller must run the request and then call
// Record, (claim, false, None) when the request runs or ran already, and a
// reason when it must not run at all.
func (b *Registry[A]) Claim(t Ticket, fingerprint uint64) (*Claim[A], bool, shuntoutcome.Reason) {
	if !b.IssuedHere(t) || !hmac.Equal(t.mac, b.mac(t.body)) {
		return nil, false, shuntoutcome.BadTicket
	}
	now := time.Since(b.began)
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.claims[t.sequence()]; ok {
		if c.fingerprint != fingerprint {
			return nil, false, shuntoutcome.TicketUsed
		}
		return c, false, shuntoutcome.None
	}
	// The claim is kept past the expiry, so a ticket that is not in the table
	// and has not expired was certainly never claimed.
	if now >= t.expiry() {
		return nil, false, shuntoutcome.TicketExpired
	}
	b.sweep(now)
	if len(b.claims) >= maxClaims {
		return nil, false, shuntoutcome.Overloaded
	}
	c := &Claim[A]{fingerprint: fingerprint, expiry: t.expiry(), done: make(chan struct{})}
	b.claims[t.sequence()] = c
	return c, true, shuntoutcome.None
}

// Record sets the answer of c, for its repeats.
func (b *Registry[A]) Record(c *Claim[A], answer A) {
	c.answer = answer
	close(c.done)
}

// sweep drops claims whose tickets expired, at most once a second.
func (b *Registry[A]) sweep(now time.Duration) {
	t := b.began.Add(now)
	if t.Sub(b.swept) < time.Second {
		return
	}
	b.swept = t
	for n, c := range b.claims {
		if now >= c.expiry && c.finished() {
			delete(b.claims, n)
		}
	}
}

func (c *Claim[A]) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
