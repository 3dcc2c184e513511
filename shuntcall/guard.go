package shuntcall

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// Fingerprint identifies the content of a request, whatever its ID.
func Fingerprint(caller string, r shuntupstream.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{caller, r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Admission is how a request may run.
type Admission struct {
	// Refused says why it may not run at all; empty where it may.
	Refused string
	// Suspect requests may have crashed a server: they run on one server only.
	Suspect bool
}

// Admit says whether a content may run. It answers callers who send a request
// that crashes backend servers again and again. release must be called at the
// end of the run.
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

// witness notes what an attempt shows of its server's life. A server on which a
// connection broke is tried at once: only if it can't be reached has it died.
func (c *Caller) witness(in Call, s shuntroute.Server, o shuntupstream.Outcome) {
	switch o.Status {
	case shuntupstream.Answered, shuntupstream.Declined:
		c.config.CrashDetector.Reachable(s.ID)
	case shuntupstream.NotSent:
		c.dead(s.ID)
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
	c.dead(s.ID)
}

func (c *Caller) dead(server string) {
	for _, f := range c.config.CrashDetector.Unreachable(server) {
		suspect := c.config.Guard.IsSuspect(f)
		c.config.Guard.RecordCrash(f, server, suspect)
	}
}

// RecordSuccess books that a suspect was served without harm.
func (c *Caller) RecordSuccess(fingerprint uint64) { c.config.Guard.RecordSuccess(fingerprint) }
