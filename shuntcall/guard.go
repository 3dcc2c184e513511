package shuntcall

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntbalance"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// Identify returns the fingerprints of a request. The content is what stays the same when
// a caller repeats it: the caller, the name of the host, the path and the body. The
// request ID, the method, the query string and how the host is written may differ from one
// time to the next.
func Identify(caller string, r shuntupstream.Request) shuntguard.Identity {
	path, _, _ := strings.Cut(r.Target, "?")
	return shuntguard.Identity{
		Content: hashOf(r.Body, caller, shuntroute.HostName(r.Host), path),
		// VMs of builds before protocol 1 go by this.
		Exact: hashOf(r.Body, caller, r.Method, r.Host, r.Target),
	}
}

func hashOf(body []byte, fields ...string) uint64 {
	d := xxhash.New()
	for _, s := range fields {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Admission tells whether and how a request may run.
type Admission struct {
	// Refused is the reason why the request may not run; empty if it may. RetryAfter is
	// how long it will not; 0 if that is not known.
	Refused    string
	RetryAfter time.Duration
	// Suspect is set if the request may have crashed a server. It is then sent to one
	// server only, one shard first.
	Suspect bool
	// Relay is set if the VM RelayTo is the one to run the request.
	Relay   bool
	RelayTo Delegate
}

// Admit decides whether the request with these fingerprints, to a route that is bound to the
// regions, may run. It protects the backend servers from callers that keep sending a
// request which crashes them. Of all VMs, one runs a suspect: if each of them tried it, a
// large fleet would lose a server each. The caller must call release when the request has
// ended, with whether a server may have run it without answering.
func (c *Caller) Admit(id shuntguard.Identity, regions []string) (a Admission, release func(lost bool)) {
	recordLost := func(lost bool) {
		if lost {
			c.config.Guard.RecordLost(id)
		}
	}
	c.config.Guard.Recognize(id)
	fingerprint := id.Content
	if _, suspected := c.config.Guard.Suspected(fingerprint); !suspected {
		return Admission{}, recordLost
	}
	if left := c.config.Guard.QuarantineLeft(fingerprint); left > 0 {
		return Admission{Refused: shuntoutcome.Quarantined.String(), RetryAfter: left}, recordLost
	}
	vm, self, ok := c.config.Fleet.InCharge(fingerprint, regions)
	switch {
	case !ok:
		return Admission{Refused: shuntoutcome.CrashSuspect.String()}, recordLost
	case !self:
		return Admission{Relay: true, RelayTo: vm}, recordLost
	}
	v := c.config.Guard.AdmitTrial(fingerprint)
	switch {
	case v.Refused != shuntoutcome.None || v.Wait != nil:
		return Admission{Refused: shuntoutcome.CrashSuspect.String(), RetryAfter: v.RetryAfter}, recordLost
	case v.Suspect:
		return Admission{Suspect: true}, func(lost bool) { c.config.Guard.EndTrial(fingerprint, lost) }
	}
	return Admission{}, recordLost
}

// silentAfter is how long a server that answers nothing may take for a request until it
// counts as possibly crashed when the request is given up.
const silentAfter = 250 * time.Millisecond

// detectCrash updates the crash detector with the outcome of an attempt that was begun at
// the given time. If the server may have crashed, that is found out.
func (c *Caller) detectCrash(ctx context.Context, in Call, s shuntroute.Server, o shuntupstream.Outcome, begun time.Time) {
	run := shuntguard.Run{Fingerprint: in.Fingerprint, Trial: in.SingleServer}
	switch o.Status {
	case shuntupstream.Answered, shuntupstream.Declined:
		c.config.CrashDetector.Reached(s.ID, begun)
	case shuntupstream.Misdirected:
		// Another process has the address, so the server has ended.
		if !c.endsAsPlanned(s) && c.config.CrashDetector.BeginCheck(s.ID) {
			c.endCheck(s, true)
		}
	case shuntupstream.Broken:
		c.config.CrashDetector.Lost(s.ID, run)
		c.checkCrash(s)
	case shuntupstream.Cancelled:
		c.config.CrashDetector.Lost(s.ID, run)
		if time.Since(begun) >= silentAfter && !c.config.Balancer.AnsweredAt(s).After(begun) {
			c.checkCrash(s)
		}
	case shuntupstream.NotSent:
		if ctx.Err() == nil {
			c.checkCrash(s)
		}
	}
}

// checkCrash finds out whether a server that has lost requests has crashed: it can't be
// reached, while other servers can, both before and after.
func (c *Caller) checkCrash(s shuntroute.Server) {
	if c.endsAsPlanned(s) || !c.config.CrashDetector.BeginCheck(s.ID) {
		return
	}
	if !c.config.Group.Go(func() { c.endCheck(s, c.hasCrashed(context.Background(), s)) }) {
		c.endCheck(s, false)
	}
}

// endsAsPlanned reports whether the server drains or leaves, so that its end is no crash.
func (c *Caller) endsAsPlanned(s shuntroute.Server) bool {
	said, why, _ := c.config.Notices.Standing(shuntbalance.IncarnationOf(s))
	if said != shuntbalance.Open && why == shuntbalance.WhyLeaving {
		return true
	}
	return !slices.ContainsFunc(c.config.View().Servers(s.Service), func(o shuntroute.Server) bool {
		return o.ID == s.ID && o.DelistedAt.IsZero()
	})
}

func (c *Caller) hasCrashed(ctx context.Context, s shuntroute.Server) bool {
	begun := time.Now()
	err := c.connect(ctx, s)
	if err == nil {
		return false
	}
	if !c.provesLinks(ctx, s, begun) {
		klog.InfoS("Neither a backend server that lost requests nor another one reached", "server", s.ID, "service", s.Service, "reason", err.Error())
		return false
	}
	// This VM's links may have been lost when the first connection failed.
	if err = c.connect(ctx, s); err != nil {
		klog.InfoS("Backend server that lost requests not reached", "server", s.ID, "service", s.Service, "reason", err.Error())
	}
	return err != nil
}

// endCheck ends the check of a server and records its crash, if it has crashed.
func (c *Caller) endCheck(s shuntroute.Server, crashed bool) {
	for _, r := range c.config.CrashDetector.EndCheck(s.ID, crashed) {
		c.config.Guard.RecordCrash(r.Fingerprint, s.ID, r.Trial)
	}
}

// IsSuspect reports whether the request with the fingerprint is a suspect or in
// quarantine.
func (c *Caller) IsSuspect(fingerprint uint64) bool { return c.config.Guard.IsSuspect(fingerprint) }

// RecordSuccess records that a suspect request was served without a crash.
func (c *Caller) RecordSuccess(fingerprint uint64) { c.config.Guard.RecordSuccess(fingerprint) }
