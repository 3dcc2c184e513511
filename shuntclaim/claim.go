// Package shuntclaim prevents non-idempotent requests from running twice.
//
// Each such request carries a ticket. A ticket names the VM and the start
// identity of the process that issued it, and only that process may run the
// request. The process claims the ticket in memory before it does any work,
// keeps the claim at least until the ticket expires, and answers repeated
// requests with the recorded answer. After the process has ended, no other
// process may run the request, and its outcome stays Unknown. No shared state is
// needed.
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
	// TicketLifetime is the time from the issue of a ticket to its expiry.
	TicketLifetime = 5 * time.Minute
	// MaxTicketBatch is the maximum number of tickets that one call issues.
	MaxTicketBatch = 64
	// maxClaims limits the number of claims in memory. Beyond it, Claim returns
	// Overloaded.
	maxClaims   = 1 << 15
	macBytes    = 16
	startBytes  = 8
	keyBytes    = 32
	separator   = "~"
	ticketParts = 4
)

// Ticket authorizes a single run of one non-idempotent request.
type Ticket struct {
	// VM and Start identify the process that issued the ticket.
	VM    string
	Start string
	// body holds the sequence number and the expiry, each 8 bytes in big-endian
	// order. mac authenticates VM, Start and body.
	body, mac []byte
}

// ParseTicket parses the string form of a ticket. It does not check the MAC,
// which only the issuer can do.
func ParseTicket(s string) (Ticket, bool) {
	p := strings.Split(s, separator)
	if len(p) != ticketParts {
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

// String returns the form in which callers receive and send the ticket.
func (t Ticket) String() string {
	e := base64.RawURLEncoding
	return strings.Join([]string{t.VM, t.Start, e.EncodeToString(t.body), e.EncodeToString(t.mac)}, separator)
}

func (t Ticket) sequence() uint64 { return binary.BigEndian.Uint64(t.body) }

// expiry returns the expiry time as the time since the issuer's registry was
// created, on the issuer's monotonic clock.
func (t Ticket) expiry() time.Duration { return time.Duration(binary.BigEndian.Uint64(t.body[8:])) }

// NewStart returns a random start identity, which distinguishes a process from
// earlier processes of the same VM.
func NewStart() string {
	b := make([]byte, startBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Config identifies the process that issues the tickets of a Registry.
type Config struct {
	VM    string
	Start string
}

// Registry issues tickets and stores the claims on them. A is the type of the
// recorded answers.
type Registry[A any] struct {
	config  Config
	key     []byte
	created time.Time

	mu          sync.Mutex
	sequence    uint64
	claims      map[uint64]*Claim[A]
	lastRemoval time.Time
}

// Claim represents the single run of a ticket's request.
type Claim[A any] struct {
	fingerprint uint64
	expiry      time.Duration
	// done is closed once answer is set.
	done   chan struct{}
	answer A
}

// Done returns a channel that is closed when the answer has been recorded.
func (c *Claim[A]) Done() <-chan struct{} { return c.done }

// Answer returns the recorded answer. It must be called after Done is closed.
func (c *Claim[A]) Answer() A { return c.answer }

// NewRegistry returns a Registry without claims and with a random MAC key.
func NewRegistry[A any](c Config) *Registry[A] {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key)
	now := time.Now()
	return &Registry[A]{config: c, key: key, created: now, lastRemoval: now, claims: map[uint64]*Claim[A]{}}
}

// Issue returns n new tickets, but at least 1 and at most MaxTicketBatch.
func (r *Registry[A]) Issue(n int) []Ticket {
	n = max(1, min(n, MaxTicketBatch))
	r.mu.Lock()
	first := r.sequence + 1
	r.sequence += uint64(n)
	r.mu.Unlock()
	expiry := time.Since(r.created) + TicketLifetime
	out := make([]Ticket, n)
	for i := range out {
		out[i] = r.newTicket(first+uint64(i), expiry)
	}
	return out
}

func (r *Registry[A]) newTicket(sequence uint64, expiry time.Duration) Ticket {
	body := make([]byte, 16)
	binary.BigEndian.PutUint64(body, sequence)
	binary.BigEndian.PutUint64(body[8:], uint64(expiry))
	return Ticket{VM: r.config.VM, Start: r.config.Start, body: body, mac: r.mac(body)}
}

func (r *Registry[A]) mac(body []byte) []byte {
	m := hmac.New(sha256.New, r.key)
	m.Write([]byte(r.config.VM + separator + r.config.Start + separator))
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}

// IssuedHere reports whether t names this process as its issuer. It does not
// check the MAC.
func (r *Registry[A]) IssuedHere(t Ticket) bool {
	return t.VM == r.config.VM && t.Start == r.config.Start
}

// Claim claims t for the request with the given fingerprint. It returns
// (claim, true, None) when the caller must run the request and then call
// Record, (claim, false, None) when the request is running or has already run,
// and a reason other than None when the request must not run.
func (r *Registry[A]) Claim(t Ticket, fingerprint uint64) (*Claim[A], bool, shuntoutcome.Reason) {
	if !r.IssuedHere(t) || !hmac.Equal(t.mac, r.mac(t.body)) {
		return nil, false, shuntoutcome.BadTicket
	}
	now := time.Since(r.created)
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.claims[t.sequence()]; ok {
		if c.fingerprint != fingerprint {
			return nil, false, shuntoutcome.TicketUsed
		}
		return c, false, shuntoutcome.None
	}
	// Claims are kept until after the expiry, so a ticket without a claim that
	// has not expired was never claimed.
	if now >= t.expiry() {
		return nil, false, shuntoutcome.TicketExpired
	}
	r.removeExpired(now)
	if len(r.claims) >= maxClaims {
		return nil, false, shuntoutcome.Overloaded
	}
	c := &Claim[A]{fingerprint: fingerprint, expiry: t.expiry(), done: make(chan struct{})}
	r.claims[t.sequence()] = c
	return c, true, shuntoutcome.None
}

// Record sets the answer of c, which repeated requests then get.
func (r *Registry[A]) Record(c *Claim[A], answer A) {
	c.answer = answer
	close(c.done)
}

// removeExpired removes the finished claims whose tickets have expired. It does
// so at most once a second.
func (r *Registry[A]) removeExpired(now time.Duration) {
	t := r.created.Add(now)
	if t.Sub(r.lastRemoval) < time.Second {
		return
	}
	r.lastRemoval = t
	for n, c := range r.claims {
		if now >= c.expiry && c.finished() {
			delete(r.claims, n)
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
