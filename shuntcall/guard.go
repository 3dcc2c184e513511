package shuntcall

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntguard"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// Fingerprint returns a hash of what stays the same when a caller repeats a request:
// the caller, the host, the path and the body. The request ID and the query string may
// differ from one time to the next.
func Fingerprint(caller string, r shuntupstream.Request) uint64 {
	path, _, _ := strings.Cut(r.Target, "?")
	d := xxhash.New()
	for _, s := range []string{caller, r.Host, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Admission tells whether and how a request may run.
type Admission struct {
	// Refused is the reason why the request may not run; empty if it may.
	Refused string
	// Suspect is set if the request may have crashed a server. It is then sent to one
	// server only.
	Suspect bool
}

// Admit decides whether the request with this fingerprint may run. It protects the
// backend servers from callers that keep sending a request which crashes them. The
// caller must call release when the request has ended.
func (c *Caller) Admit(fingerprint uint64) (a Admission, release func()) {
	v := c.config.Guard.Admit(fingerprint, shuntconfig.CanaryNever)
	switch {
	case v.Refused != shuntoutcome.None:
		return Admission{Refused: v.Refused.String()}, func() {}
	case v.Wait != nil:
		return Admission{Refused: shuntoutcome.CrashSuspect.String()}, func() {}
	case v.Suspect:
		return Admission{Suspect: true}, func() { c.config.Guard.Release(fingerprint) }
	}
	return Admission{}, func() {}
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
		c.reached(s, begun)
	case shuntupstream.Misdirected:
		// Another process has the address, so the server has ended.
		if c.config.CrashDetector.BeginCheck(s.ID) {
			c.endCheck(s, true)
		}
	case shuntupstream.Broken:
		c.config.CrashDetector.Lost(s.ID, run)
		c.checkCrash(s)
	case shuntupstream.Cancelled:
		c.config.CrashDetector.Lost(s.ID, run)
		if time.Since(begun) >= silentAfter && !c.config.Balancer.AnsweredSince(s, begun) {
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
	if !c.config.CrashDetector.BeginCheck(s.ID) {
		return
	}
	if !c.config.Group.Go(func() { c.endCheck(s, c.hasCrashed(context.Background(), s)) }) {
		c.endCheck(s, false)
	}
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

// RecordSuccess records that a suspect request was served without a crash.
func (c *Caller) RecordSuccess(fingerprint uint64) { c.config.Guard.RecordSuccess(fingerprint) }
