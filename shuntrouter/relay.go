package shuntrouter

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

// Why another VM is asked to serve a request.
const (
	// relaySuspect: it is in charge of a request that may have crashed a server.
	relaySuspect = "Suspect"
	// relayLinks: this VM has lost its links to the backend servers.
	relayLinks = "LinksLost"
	// relayService: this VM reaches no server of the service or of too many shards.
	relayService = "ServiceUnreachable"
)

// reasonLinksLost is why a VM asks others to serve a request, or declines to do so.
const reasonLinksLost = "this VM has lost its links to the backend servers"

// relay has another VM serve a request and passes its reply on to the caller. VMs that
// decline are passed over; it returns false if all do, so that nothing has run.
func (r *Router) relay(ctx context.Context, w http.ResponseWriter, q request, why string, to []shuntcall.Delegate) bool {
	for _, vm := range to {
		o := r.caller.Relay(ctx, vm, shuntcall.RelayedRequest{Route: q.route, Version: q.table.Version(), Request: q.upstream, Fingerprint: q.fingerprint, Start: q.start})
		status := relayStatus(o)
		r.metrics.recordRelay(why, status)
		if status == shuntcall.Refused {
			klog.InfoS("Request not served by another VM", "request", q.id, "vm", vm.Address, "why", why, "status", o.Status, "reason", errorText(o.Err))
			continue
		}
		code := 0
		if status == shuntcall.Served {
			code = r.reply(w, q, o.Reply)
		} else {
			code = r.replyFailure(w, status, time.Time{})
		}
		if code == http.StatusOK {
			r.caller.RecordSuccess(q.fingerprint)
		}
		r.finish(q, status, code, 1, 0, vm.Address, why, status != shuntcall.Served)
		return true
	}
	return false
}

// relayUnreachable has another VM serve a request whose servers this VM does not reach.
// service is the first of its services. It returns false if no VM does.
func (r *Router) relayUnreachable(ctx context.Context, w http.ResponseWriter, q request, service string) bool {
	if !r.caller.MayRelayService(service) {
		return false
	}
	relayed := r.relay(ctx, w, q, relayService, r.caller.RelayTargets(q.route))
	r.caller.RecordServiceRelay(service, relayed)
	return relayed
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
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
	if table == nil || table.Version() < relayed.Version {
		r.decline(w, id, "this VM goes by older routes")
		return
	}
	route, ok := r.routeForPeer(w, in, id, table)
	if !ok {
		return
	}
	held := r.memory.Open()
	defer held.Close()
	body, ok := r.readBody(relayedWriter{w, r.config.Headers.Upstream.NotRun}, in, id, table, held)
	if !ok {
		return
	}
	q := r.newRequest(in, id, start, route, table, body, held)
	q.start = start.Add(-relayed.Elapsed)
	q.fingerprint = relayed.Fingerprint
	if r.endsBefore(q) {
		r.decline(w, id, "this VM may end before the request")
		return
	}
	ctx, cancel := r.requestContext(in, q)
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
