package shuntrouter

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// relay has another VM serve a request and passes its reply on to the caller.
func (r *Router) relay(ctx context.Context, w http.ResponseWriter, q request, to shuntcall.Delegate) {
	o := r.caller.Relay(ctx, to, q.route.Idempotent, q.upstream, q.fingerprint, q.start)
	status, code := relayStatus(o), 0
	if status == shuntcall.Served {
		if o.Reply.Code == http.StatusOK {
			r.caller.RecordSuccess(q.fingerprint)
		}
		code = r.reply(w, q, o.Reply)
	} else {
		code = r.replyFailure(w, status)
	}
	reason := "served by another VM"
	if o.Err != nil {
		reason = o.Err.Error()
	}
	r.finish(q, status, code, 1, 0, to.Address, reason, false)
}

// relayStatus returns how a request ended that another VM was to serve. What that VM
// answers is passed on as it is.
func relayStatus(o shuntupstream.Outcome) shuntcall.CallStatus {
	switch {
	case o.Status == shuntupstream.Answered:
		return shuntcall.Served
	case !o.Status.MayHaveRun():
		return shuntcall.Refused
	case o.Status == shuntupstream.Cancelled:
		return shuntcall.Expired
	}
	return shuntcall.Faulted
}

// serveRelayed serves a request that another VM relays, as if it came from a caller. The
// reply says whether nothing has run.
func (r *Router) serveRelayed(w http.ResponseWriter, in *http.Request, id string, start time.Time) {
	relayed, err := shuntcall.ReadRelayed(in.Header)
	if err != nil {
		r.decline(w, id, err.Error())
		return
	}
	table := r.follower.View().Table
	if r.leaving.Load() || table == nil {
		r.decline(w, id, "this VM ends or knows no routes")
		return
	}
	route, ok := table.Match(in.Host, in.URL.Path)
	if !ok {
		r.decline(w, id, "no route")
		return
	}
	body, ok := r.readBody(w, in, id, table)
	if !ok {
		return
	}
	q := r.newRequest(in, id, start.Add(-relayed.Elapsed), route, table, body)
	q.deadline = q.deadline.Add(relayed.Elapsed)
	q.upstream.Deadline = q.deadline
	q.fingerprint = relayed.Fingerprint
	ctx, cancel := context.WithDeadline(in.Context(), q.deadline.Add(-replyMargin))
	defer cancel()
	admission, release := r.caller.AdmitRelayed(relayed, route.Regions)
	if admission.Refused != "" {
		r.caller.WriteSuspicion(w.Header(), q.fingerprint)
		r.decline(w, id, admission.Refused)
		return
	}
	q.suspect = admission.Suspect
	klog.V(1).InfoS("Request relayed by another VM", "request", id, "vm", in.RemoteAddr, "suspect", q.suspect)
	r.serve(ctx, relayedWriter{w, r.config.Headers.Upstream.NotRun}, q, release)
}

// relayedWriter marks replies that promise that the request has not run for another VM.
type relayedWriter struct {
	http.ResponseWriter
	notRun string
}

// WriteHeader implements http.ResponseWriter.
func (w relayedWriter) WriteHeader(code int) {
	if code == http.StatusServiceUnavailable {
		w.Header().Set(w.notRun, "1")
	}
	w.ResponseWriter.WriteHeader(code)
}
