package shuntcall

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// Headers of requests that another VM serves as a whole, and of its replies.
const (
	headerRelayed   = "Shunt-Relayed"
	headerElapsed   = "Shunt-Elapsed-Us"
	headerSuspicion = "Shunt-Suspicion"
)

// RelayedRequest is a request that another VM is to serve.
type RelayedRequest struct {
	Route *shuntroute.Route
	// Version is that of the routes by which this VM goes. The other VM must not go by
	// older ones.
	Version     int64
	Request     shuntupstream.Request
	Fingerprint uint64
	// Start is when the request arrived.
	Start time.Time
}

// Relayed is what a VM tells another one about a request that it relays.
type Relayed struct {
	// Version is that of the routes by which the other VM goes.
	Version int64
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Elapsed is the time since the request arrived from its caller.
	Elapsed time.Duration
	// Suspicion is what is known about the request if it is a suspect.
	Suspicion *shuntguard.Suspicion
}

// Relay has another VM serve a request as a whole. The outcome is as that of an exchange
// with a backend server; its reply is the one for the caller.
func (c *Caller) Relay(ctx context.Context, to Delegate, q RelayedRequest) shuntupstream.Outcome {
	d := to.server()
	sent := time.Now()
	elapsed := sent.Sub(q.Start) + c.networkTimes.estimate(d.ID, c.initialTimeTo(d.Region))
	r := q.Request
	r.Header = r.Header.Clone()
	r.Header.Set(headerRelayed, "1")
	r.Header.Set(headerVersion, strconv.FormatInt(q.Version, 10))
	r.Header.Set(headerFingerprint, strconv.FormatUint(q.Fingerprint, 16))
	r.Header.Set(headerElapsed, strconv.FormatInt(elapsed.Microseconds(), 10))
	c.WriteSuspicion(r.Header, q.Fingerprint)
	a := c.config.DelegateBalancer.Begin(d)
	o := c.config.DelegatePool.Do(ctx, shuntupstream.Server{ID: d.ID, Address: d.Address, MaxConns: delegateConns}, q.Route.Idempotent, r)
	c.config.DelegateBalancer.End(d, a, balancerResult(ctx, o, time.Since(sent)))
	c.mergeSuspicion(q.Fingerprint, o.Reply.Header)
	for _, name := range []string{c.config.Headers.NotRun, headerSuspicion} {
		o.Reply.Header.Del(name)
	}
	return o
}

// mergeSuspicion takes over what another VM's reply says about a request, and reports
// whether it says that the request is a suspect.
func (c *Caller) mergeSuspicion(fingerprint uint64, h http.Header) bool {
	s, ok := parseSuspicion(fingerprint, h.Get(headerSuspicion))
	if ok {
		c.config.Guard.Merge([]shuntguard.Suspicion{s})
	}
	return ok
}

// IsRelayed reports whether the headers are those of a request that another VM relays.
func IsRelayed(h http.Header) bool { return h.Get(headerRelayed) != "" }

// ReadRelayed parses the headers of a request that another VM relays and removes them.
func ReadRelayed(h http.Header) (Relayed, error) {
	fingerprint, err := strconv.ParseUint(h.Get(headerFingerprint), 16, 64)
	if err != nil {
		return Relayed{}, errors.Trace(err)
	}
	elapsed, err := strconv.ParseInt(h.Get(headerElapsed), 10, 64)
	if err != nil || elapsed < 0 {
		return Relayed{}, errors.Errorf("%s: %q is not a time", headerElapsed, h.Get(headerElapsed))
	}
	version, err := strconv.ParseInt(h.Get(headerVersion), 10, 64)
	if err != nil {
		return Relayed{}, errors.Trace(err)
	}
	out := Relayed{Version: version, Fingerprint: fingerprint, Elapsed: time.Duration(elapsed) * time.Microsecond}
	if s, ok := parseSuspicion(fingerprint, h.Get(headerSuspicion)); ok {
		out.Suspicion = &s
	}
	for _, name := range []string{headerRelayed, headerVersion, headerFingerprint, headerElapsed, headerSuspicion} {
		h.Del(name)
	}
	return out, nil
}

// AdmitRelayed decides whether a request that another VM relays may run here. It is
// refused if this VM would relay it too.
func (c *Caller) AdmitRelayed(r Relayed, regions []string) (a Admission, release func(lost bool)) {
	if r.Suspicion != nil {
		c.config.Guard.Merge([]shuntguard.Suspicion{*r.Suspicion})
	}
	a, release = c.Admit(shuntguard.Identity{Content: r.Fingerprint}, regions)
	if a.Relay {
		a = Admission{Refused: "another VM is in charge"}
	}
	return a, release
}

// WriteSuspicion sets the header that tells another VM what is known about a request, if
// it is a suspect.
func (c *Caller) WriteSuspicion(h http.Header, fingerprint uint64) {
	if s, ok := c.config.Guard.Suspected(fingerprint); ok {
		h.Set(headerSuspicion, formatSuspicion(s))
	}
}

func formatSuspicion(s shuntguard.Suspicion) string {
	return fmt.Sprintf("%d %d", s.Strikes, s.Age.Milliseconds())
}

func parseSuspicion(fingerprint uint64, text string) (shuntguard.Suspicion, bool) {
	var strikes int
	var age int64
	if n, err := fmt.Sscanf(text, "%d %d", &strikes, &age); n != 2 || err != nil || age < 0 || age > maxSuspicionAge.Milliseconds() {
		return shuntguard.Suspicion{}, false
	}
	return shuntguard.Suspicion{Fingerprint: fingerprint, Strikes: strikes, Age: time.Duration(age) * time.Millisecond}, true
}

// maxSuspicionAge bounds the age of a suspicion that is taken over from another VM.
const maxSuspicionAge = 24 * time.Hour
