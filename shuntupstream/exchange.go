package shuntupstream

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntmemory"
)

// Headers holds the names of the headers that this package sets or reads.
type Headers struct {
	// RequestID identifies a request of a caller. The reply must have the same
	// value.
	RequestID string
	// Deadline is the time left until the deadline, in milliseconds.
	Deadline string
	// Instance is the ID of the server for which the request is meant.
	Instance string
	// NotRun marks a reply from a server that did not run the request.
	NotRun string
	// Signature proves that the server ran the request.
	Signature string
	// RateLimit is the number of requests per second that a server in need accepts
	// from all VMs together. Servers send it only as long as it applies.
	RateLimit string
	// Leaving is set by a server that is about to leave.
	Leaving string
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	// Header holds the end-to-end headers of the caller's request.
	Header http.Header
	Body   []byte
	ID     string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// SentOn holds the connections on which the request was sent before, from the outcomes
	// of these exchanges. It is not sent on them again: a second copy of the earlier reply
	// may arrive there late, and has the same ID.
	SentOn []uint64
	// Held holds the memory of the reply. The caller gives it back when the reply is no
	// longer needed.
	Held *shuntmemory.Holder
}

// Status describes how an exchange ended.
type Status int

// The possible values of Status.
const (
	// Answered: the server sent a complete reply.
	Answered Status = iota
	// Declined: the server replied that it did not run the request.
	Declined
	// Misdirected: a different server now has the address; the request did not
	// run.
	Misdirected
	// NotSent: no byte of the request was sent.
	NotSent
	// NoRoom: nothing was sent because all connections to the server were in use.
	NoRoom
	// Broken: the request was sent, in part or in full, but no complete reply
	// came; it may have run.
	Broken
	// Cancelled: the context ended before the reply came; the request may have
	// run.
	Cancelled
)

var statusNames = map[Status]string{Answered: "Answered", Declined: "Declined", Misdirected: "Misdirected", NotSent: "NotSent", NoRoom: "NoRoom", Broken: "Broken", Cancelled: "Cancelled"}

// String returns the name of the status.
func (s Status) String() string { return statusNames[s] }

// MayHaveRun reports whether the server may have run the request.
func (s Status) MayHaveRun() bool { return s == Answered || s == Broken || s == Cancelled }

// Reply is a server's complete reply.
type Reply struct {
	Code   int
	Header http.Header
	Body   []byte
	// Held is the number of bytes that the request's holder holds for the reply.
	Held int64
}

// RateLimit returns the limit in requests per second that the reply states. named is
// false if it states none.
func (r Reply) RateLimit(h Headers) (perSecond float64, named bool, err error) {
	text := r.Header.Get(h.RateLimit)
	if text == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false, errors.Errorf("%s: %q is not a rate", h.RateLimit, text)
	}
	return perSecond, true, nil
}

// Leaving reports whether the server says that it is about to leave.
func (r Reply) Leaving(h Headers) bool {
	text := r.Header.Get(h.Leaving)
	return text != "" && text != "0"
}

// Pause returns how long the server wants no requests from this VM. asked is false if it
// does not say so: only a server that is unavailable can.
func (r Reply) Pause() (d time.Duration, asked bool, err error) {
	text := r.Header.Get("Retry-After")
	if r.Code != http.StatusServiceUnavailable || text == "" {
		return 0, false, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false, errors.Errorf("Retry-After: %q is not a time in seconds", text)
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second)), true, nil
}

// maxPauseSeconds is the longest pause that a time.Duration need hold.
const maxPauseSeconds = 1e9

// Outcome is the result of an exchange.
type Outcome struct {
	Status Status
	Reply  Reply
	// Conn identifies the connection among those of the pool; 0 if there was none.
	Conn uint64
	// Err is the reason why there is no reply, or nil if there is one.
	Err error
}
