package shuntcall

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
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

// detectCrash updates the crash detector with the outcome of an attempt. If the
// connection broke, the server is probed at once: it counts as crashed only if it
// cannot be reached.
func (c *Caller) detectCrash(in Call, s shuntroute.Server, o shuntupstream.Outcome) {
	switch o.Status {
	case shuntupstream.Answered, shuntupstream.Declined:
		c.config.CrashDetector.Reachable(s.ID)
	case shuntupstream.NotSent:
		c.recordCrash(s.ID)
	case shuntupstream.Broken:
		if c.config.CrashDetector.ConnectionLost(s.ID, in.Fingerprint) {
			c.config.Group.Go(func() { c.probe(s) })
		}
	}
}

func (c *Caller) probe(s shuntroute.Server) {
	err := c.config.Pool.Connect(context.Background(), shuntupstream.Server{ID: s.ID, Address: s.Address})
	if err == nil {
		c.config.CrashDetector.Reachable(s.ID)
		return
	}
	klog.InfoS("Backend server not reached after a broken connection", "server", s.ID, "service", s.Service, "reason", err.Error())
	c.recordCrash(s.ID)
}

func (c *Caller) recordCrash(server string) {
	for _, f := range c.config.CrashDetector.Unreachable(server) {
		suspect := c.config.Guard.IsSuspect(f)
		c.config.Guard.RecordCrash(f, server, suspect)
	}
}

// RecordSuccess records that a suspect request was served without a crash.
func (c *Caller) RecordSuccess(fingerprint uint64) { c.config.Guard.RecordSuccess(fingerprint) }
