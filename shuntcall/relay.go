package shuntcall

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
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

// maxRelays is the number of VMs that are asked to serve a request, one after the other
// while they decline.
const maxRelays = 2

// Relayed is what a VM tells another one about a request that it relays.
type Relayed struct {
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Elapsed is the time since the request arrived from its caller.
	Elapsed time.Duration
	// Suspicion is what is known about the request if it is a suspect.
	Suspicion *shuntguard.Suspicion
}

// Relay has another VM serve a request as a whole. The outcome is as that of an exchange
// with a backend server; its reply is the one for the caller.
func (c *Caller) Relay(ctx context.Context, to Delegate, idempotent bool, r shuntupstream.Request, fingerprint uint64, start time.Time) shuntupstream.Outcome {
	d := to.server()
	r.Header = r.Header.Clone()
	r.Header.Set(headerRelayed, "1")
	r.Header.Set(headerFingerprint, strconv.FormatUint(fingerprint, 16))
	r.Header.Set(headerElapsed, strconv.FormatInt((time.Since(start)+c.networkTimes.estimate(d.ID, c.initialTimeTo(d.Region))).Microseconds(), 10))
	if s, ok := c.config.Guard.Suspected(fingerprint); ok {
		r.Header.Set(headerSuspicion, formatSuspicion(s))
	}
	sent := time.Now()
	a := c.config.DelegateBalancer.Begin(d)
	o := c.config.DelegatePool.Do(ctx, shuntupstream.Server{ID: d.ID, Address: d.Address, MaxConns: delegateConns}, idempotent, r)
	c.config.DelegateBalancer.End(d, a, balancerResult(ctx, o, time.Since(sent)))
	c.mergeSuspicion(fingerprint, o.Reply.Header)
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
	out := Relayed{Fingerprint: fingerprint, Elapsed: time.Duration(elapsed) * time.Microsecond}
	if s, ok := parseSuspicion(fingerprint, h.Get(headerSuspicion)); ok {
		out.Suspicion = &s
	}
	for _, name := range []string{headerRelayed, headerFingerprint, headerElapsed, headerSuspicion} {
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
	a, release = c.Admit(r.Fingerprint, regions)
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

// MayServe reports whether a request should be tried though this VM has lost its links and
// no other VM serves it: while connections that live on bring answers, and now and then if
// there may be any.
func (c *Caller) MayServe() bool {
	now := time.Now()
	if now.Sub(c.config.Balancer.LastAnswer()) < liveConnWindow {
		return true
	}
	if _, silent := c.config.Links.Lost(); silent {
		return false
	}
	tried := c.triedAt.Load()
	return now.UnixNano()-tried >= int64(linkTrialInterval) && c.triedAt.CompareAndSwap(tried, now.UnixNano())
}

const (
	// liveConnWindow is how long after an answer a connection counts as alive on a VM that
	// has lost its links, and linkTrialInterval the time between two requests that are
	// tried there otherwise.
	liveConnWindow    = 500 * time.Millisecond
	linkTrialInterval = 200 * time.Millisecond
	// relayMemory is how long after another VM has served a request to a service this VM
	// relies on that while it does not reach the service's servers.
	relayMemory = 2 * time.Second
	// minRelayBackoff and maxRelayBackoff bound the time for which requests to a service are
	// not relayed after no other VM reached its servers either. The time doubles with
	// each failure in a row.
	minRelayBackoff = 500 * time.Millisecond
	maxRelayBackoff = 4 * time.Second
)

// serviceRelays tells for which services other VMs can be asked, because they reach
// servers that this VM does not reach.
type serviceRelays struct {
	mu       sync.Mutex
	services map[string]serviceRelay
}

type serviceRelay struct {
	// servedAt is when another VM last served a request.
	servedAt time.Time
	// pausedUntil is when others are asked again after none served one.
	pausedUntil time.Time
	pause       time.Duration
}

// MayRelayService reports whether another VM should be asked for a service whose servers
// this VM does not reach.
func (c *Caller) MayRelayService(service string) bool {
	c.relays.mu.Lock()
	defer c.relays.mu.Unlock()
	return !time.Now().Before(c.relays.services[service].pausedUntil)
}

// RecordServiceRelay records whether another VM served a request for such a service.
func (c *Caller) RecordServiceRelay(service string, served bool) {
	now := time.Now()
	c.relays.mu.Lock()
	defer c.relays.mu.Unlock()
	if c.relays.services == nil {
		c.relays.services = map[string]serviceRelay{}
	}
	if served {
		c.relays.services[service] = serviceRelay{servedAt: now}
		return
	}
	pause := min(max(minRelayBackoff, 2*c.relays.services[service].pause), maxRelayBackoff)
	c.relays.services[service] = serviceRelay{pausedUntil: now.Add(pause), pause: pause}
}

// isDown returns whether servers of the service count as down.
func (c *Caller) isDown(service string) func(shuntroute.Server) bool {
	if isDown, relied := c.downWhileRelayed(service); relied {
		return isDown
	}
	return c.config.Balancer.Down
}

// downWhileRelayed returns whether servers of the service count as down while other VMs
// serve its requests; it returns false if they don't. A server that this VM could not reach
// is then down until a connection to it succeeds, so that no request has to try that.
func (c *Caller) downWhileRelayed(service string) (isDown func(shuntroute.Server) bool, relied bool) {
	c.relays.mu.Lock()
	servedAt := c.relays.services[service].servedAt
	c.relays.mu.Unlock()
	if time.Since(servedAt) > relayMemory {
		return nil, false
	}
	return func(s shuntroute.Server) bool {
		unreachable, again := c.config.Balancer.Unreachable(s)
		if again {
			c.config.Group.Go(func() { _ = c.connect(context.Background(), s) })
		}
		return unreachable
	}, true
}

// prune removes services that have not been relayed for a long time.
func (s *serviceRelays) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.services, func(_ string, r serviceRelay) bool {
		return now.Sub(r.servedAt) > relayMemory && now.Sub(r.pausedUntil) > 2*maxRelayBackoff
	})
}
