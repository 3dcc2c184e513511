package shuntrouter

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntmemory"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// defaultDeadline applies if neither the caller nor the route sets one.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes bounds a request body if no limit is published.
	defaultBodyBytes = 1 << 20
	// replyMargin is how long before the caller's deadline processing ends, to
	// leave time for the reply.
	replyMargin = 10 * time.Millisecond
	// maxUrgentPriority is the highest priority number of queries that are served
	// before others.
	maxUrgentPriority = 1
	// retriedMargin is how much shorter than the route's timeout the time left
	// must be for a request to count as a retry by the caller.
	retriedMargin = 30 * time.Millisecond
	// usualGoals is the multiple of the latency goal within which a request that may be
	// repeated is nearly always answered.
	usualGoals = 2.0
	// minRetryAfter and retryAfterJitter give the delay that refused callers are
	// asked to wait. The jitter keeps them from retrying all at once.
	minRetryAfter    = 50 * time.Millisecond
	retryAfterJitter = 150 * time.Millisecond
	// shortRetryAfter is how long callers are asked to wait while this VM is short of
	// memory: by then, what has stalled has been evicted.
	shortRetryAfter = 500 * time.Millisecond
	// lingerTime is how long a connection is read after a request on it was refused while
	// its body was arriving. Closing it earlier may lose the answer on the way.
	lingerTime = 500 * time.Millisecond
)

// Headers holds the names of the headers that callers and servers use.
type Headers struct {
	Upstream shuntupstream.Headers
	// ShardSignatures lists the signatures of the shards' replies in a merged
	// reply, and MissingShards is the number of shards missing from it.
	ShardSignatures string
	MissingShards   string
}

// hopByHopHeaders are not forwarded: they concern a single connection, or this VM
// sets them itself.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// implicitHeaders are the headers that net/http adds to a reply that lacks them.
var implicitHeaders = []string{"Date", "Content-Type"}

// splitCounters counts the requests of each route, to spread them evenly over the
// services of a route that splits its traffic.
type splitCounters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

// goldenRatio has multiples whose fractional parts are spread evenly between 0
// and 1.
const goldenRatio = 0.6180339887498949

// nextPoint returns a number between 0 and 1 for the route's next request.
func (s *splitCounters) nextPoint(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]uint64{}
	}
	s.counts[route]++
	p := float64(s.counts[route]) * goldenRatio
	return p - float64(uint64(p))
}

// request is a caller's request that is being served.
type request struct {
	id       string
	start    time.Time
	deadline time.Time
	route    *shuntroute.Route
	table    *shuntroute.Table
	upstream shuntupstream.Request
	// fingerprint identifies the content. suspect is set if servers may have
	// crashed because of it.
	fingerprint uint64
	suspect     bool
	// mayRelay is set if another VM may serve the request where this one reaches no
	// server.
	mayRelay bool
}

// ServeHTTP serves a caller's request.
func (r *Router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	arrived := time.Now()
	held, done, ok := r.conns.beginRequest(in)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer done()
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	id := in.Header.Get(r.config.Headers.Upstream.RequestID)
	view := r.follower.View()
	if view.Table == nil {
		r.replyUnavailable(w, id, "no routes are known yet", 0)
		return
	}
	if length, _ := headerSize(in); length > orDefault(view.Table.Limits().HeaderBytes, defaultHeaderBytes) {
		r.replyError(w, id, http.StatusRequestHeaderFieldsTooLarge, "the header is too long", view.Table.Version())
		return
	}
	route, ok := view.Table.Match(in.Host, in.URL.Path)
	if !ok {
		r.replyError(w, id, http.StatusNotFound, "no route", view.Table.Version())
		return
	}
	body, ok := r.readBody(w, in, id, view.Table, held)
	if !ok {
		return
	}
	q := r.newRequest(in, id, arrived, route, view.Table, body, held)
	caller, _, _ := strings.Cut(in.RemoteAddr, ":")
	identity := shuntcall.Identify(caller, q.upstream)
	q.fingerprint = identity.Content
	if r.endsBefore(q) {
		r.replyUnavailable(w, id, "this VM may end before the request", 0)
		return
	}
	ctx, cancel := r.requestContext(in, q)
	defer cancel()
	admission, release := r.caller.Admit(identity, route.Regions)
	switch {
	case admission.Refused != "":
		r.replyUnavailable(w, id, admission.Refused, admission.RetryAfter)
	case admission.Relay:
		if !r.relay(ctx, w, q, relaySuspect, []shuntcall.Delegate{admission.RelayTo}) {
			r.replyUnavailable(w, id, "the VM in charge of the suspect does not run it", 0)
		}
	case admission.Suspect:
		q.suspect = true
		r.serve(ctx, w, q, release)
	case r.caller.LinksLost():
		r.serveWithoutLinks(ctx, w, q)
	default:
		q.mayRelay = true
		r.serve(ctx, w, q, release)
	}
}

// serveWithoutLinks serves a request while this VM has lost its links to the backend
// servers: through other VMs, or on connections that live on.
func (r *Router) serveWithoutLinks(ctx context.Context, w http.ResponseWriter, q request) {
	if r.relay(ctx, w, q, relayLinks, r.caller.RelayTargets(q.route)) {
		return
	}
	if !r.caller.MayServe() {
		r.replyUnavailable(w, q.id, reasonLinksLost, 0)
		return
	}
	r.serve(ctx, w, q, func(bool) {})
}

// serve serves an admitted request. It calls release when the request has ended, with
// whether a server may have run it without answering.
func (r *Router) serve(ctx context.Context, w http.ResponseWriter, q request, release func(lost bool)) {
	lost := true
	defer func() { release(lost) }()
	if q.route.Scatters() {
		lost = r.scatter(ctx, w, q)
	} else {
		lost = r.forward(ctx, w, q)
	}
}

// endsBefore reports whether this VM may end before the request. The caller can then try
// another VM, which it could not if a request that must not run twice were cut.
func (r *Router) endsBefore(q request) bool {
	end := r.endsAt.Load()
	if end == nil {
		return false
	}
	need := q.deadline.Sub(q.start)
	if usual := time.Duration(usualGoals * float64(q.route.LatencyGoal)); q.route.Idempotent && usual > 0 {
		need = min(need, usual)
	}
	return time.Until(*end) < need
}

// requestContext returns a context that ends shortly before the request's deadline, or
// when this VM ends its requests.
func (r *Router) requestContext(in *http.Request, q request) (context.Context, context.CancelFunc) {
	deadline := q.deadline
	if end := r.endsAt.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	ctx, cancel := context.WithDeadline(in.Context(), deadline.Add(-replyMargin))
	stop := context.AfterFunc(r.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// newRequest returns the request to be served for in, whose header arrived at the given time
// and whose body has been read.
func (r *Router) newRequest(in *http.Request, id string, arrived time.Time, route *shuntroute.Route, t *shuntroute.Table, body []byte, held *shuntmemory.Holder) request {
	q := request{id: id, start: arrived, route: route, table: t}
	if in.ContentLength != 0 {
		q.start = time.Now()
	}
	q.deadline = r.deadline(in, route, arrived, q.start)
	deadline := q.deadline
	if end := r.endsAt.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	q.upstream = shuntupstream.Request{
		Method: in.Method, Target: in.RequestURI, Host: in.Host, Header: r.endToEnd(in.Header), Body: body, ID: id, Deadline: deadline, Held: held,
	}
	return q
}

// maxBody returns the greatest length of a request's body.
func maxBody(t *shuntroute.Table) int64 {
	return int64(orDefault(t.Limits().BodyBytes, defaultBodyBytes))
}

// readBody reads the body of a request. If the body exceeds the limit, or this VM is short
// of memory, it replies to the caller and returns false.
func (r *Router) readBody(w http.ResponseWriter, in *http.Request, id string, t *shuntroute.Table, held *shuntmemory.Holder) ([]byte, bool) {
	if in.ContentLength == 0 {
		return nil, true
	}
	limit := maxBody(t)
	body, err := shuntmemory.Read(http.MaxBytesReader(w, in.Body, limit), shuntmemory.ReadConfig{Holder: held, Length: in.ContentLength, MaxLength: limit})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && r.conns.beginServing(in.Context()):
		return body, true
	case errors.As(err, &tooLarge), errors.Is(err, shuntmemory.ErrTooLong):
		r.replyError(w, id, http.StatusRequestEntityTooLarge, "the body is too long", t.Version())
	case errors.Is(err, shuntmemory.ErrShort), held.Ended():
		r.refuseBody(w, id)
	default:
		klog.InfoS("Failed to read a request", "request", id, "reason", fmt.Sprint(err))
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

// refuseBody refuses a request whose body this VM has no memory for. What is still to come
// of the body is not waited for.
func (r *Router) refuseBody(w http.ResponseWriter, id string) {
	// The error is ignored: connections that have no deadlines are not those of callers.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	w.Header().Set("Connection", "close")
	r.replyUnavailable(w, id, "short of memory", shortRetryAfter)
}

// deadline returns the time by which the request must be answered: the caller's deadline
// after its header arrived, or the end of the route's timeout after it was received,
// whichever comes first.
func (r *Router) deadline(in *http.Request, route *shuntroute.Route, arrived, received time.Time) time.Time {
	timeout := orDefault(route.Timeout, defaultDeadline)
	out := received.Add(timeout)
	if ms, err := strconv.ParseInt(in.Header.Get(r.config.Headers.Upstream.Deadline), 10, 64); err == nil && ms > 0 {
		if end := arrived.Add(time.Duration(ms) * time.Millisecond); end.Before(out) {
			return end
		}
	}
	return out
}

// endToEnd returns the caller's headers without the hop-by-hop headers and those
// that this VM sets itself.
func (r *Router) endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	u := r.config.Headers.Upstream
	for _, name := range []string{u.RequestID, u.Deadline, u.Instance} {
		out.Del(name)
	}
	return out
}

// forward serves a request by forwarding it to one service. It returns whether a server
// may have run the request without answering.
func (r *Router) forward(ctx context.Context, w http.ResponseWriter, q request) (lost bool) {
	name := q.route.PickService(r.splitCounters.nextPoint(q.route.Name))
	service, ok := q.table.Service(name)
	if !ok {
		service = shuntroute.Service{Name: name, MaxConns: 1}
	}
	res := r.caller.Forward(ctx, q.route, service, q.upstream, q.fingerprint, q.suspect)
	if res.Unreachable && q.mayRelay && r.relayUnreachable(ctx, w, q, name) {
		return false
	}
	code := http.StatusOK
	if res.HasReply {
		code = r.reply(w, q, res.Reply)
	} else {
		code = r.replyFailure(w, res.Status, res.RetryAt)
	}
	r.finish(q, res.Status, code, res.Attempts, 0, res.Server, res.Reason, res.Lost)
	return res.Lost
}

// reply sends a server's reply and returns its status code.
func (r *Router) reply(w http.ResponseWriter, q request, reply shuntupstream.Reply) int {
	h := w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if r.leaving.Load() {
		h.Set("Connection", "close")
	}
	for _, name := range implicitHeaders {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if length := reply.Header.Get("Content-Length"); q.upstream.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(reply.Code)
	r.write(w, q.id, reply.Body)
	return reply.Code
}

// scatter serves a query by sending it to all shards and merging their replies. It returns
// whether a server may have run the query without answering.
func (r *Router) scatter(ctx context.Context, w http.ResponseWriter, q request) (lost bool) {
	a := r.caller.Scatter(ctx, shuntcall.Query{Route: q.route, Table: q.table, Request: q.upstream, Start: q.start,
		Fingerprint: q.fingerprint, Suspect: q.suspect, Urgent: q.route.Priority <= maxUrgentPriority, Retried: r.isRetried(q)})
	if a.Unreachable && q.mayRelay && r.relayUnreachable(ctx, w, q, q.route.Shards[0]) {
		return false
	}
	code := http.StatusOK
	if a.Status == shuntcall.Served {
		r.replyMerged(w, q, a)
	} else {
		code = r.replyFailure(w, a.Status, a.RetryAt)
	}
	r.finish(q, a.Status, code, a.Attempts, a.Missing, "", a.Reason, a.Lost)
	return a.Lost
}

// isRetried reports whether the caller has probably been refused before: it then
// has less time left than the route's timeout.
func (r *Router) isRetried(q request) bool {
	return q.route.Timeout > 0 && q.deadline.Sub(q.start) < q.route.Timeout-retriedMargin
}

// replyMerged sends the merged records of the shards.
func (r *Router) replyMerged(w http.ResponseWriter, q request, a shuntcall.Answer) {
	body := shuntcall.MergeTopRecords(a.Bodies, q.route.TopRecords)
	h := w.Header()
	h.Set(r.config.Headers.Upstream.RequestID, q.id)
	h.Set(r.config.Headers.ShardSignatures, strings.Join(a.Signatures, ", "))
	h.Set(r.config.Headers.MissingShards, strconv.Itoa(a.Missing))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	r.write(w, q.id, body)
}

// replyFailure replies to a request that no server served, and returns the status
// code. It replies 503 with Retry-After only if the request has not run. retryAt is when it
// may be served; zero if that is not known.
func (r *Router) replyFailure(w http.ResponseWriter, end shuntcall.CallStatus, retryAt time.Time) int {
	code := http.StatusBadGateway
	switch end {
	case shuntcall.Refused:
		w.Header().Set("Retry-After", r.retryAfter(time.Until(retryAt)))
		code = http.StatusServiceUnavailable
	case shuntcall.Expired:
		code = http.StatusGatewayTimeout
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
	return code
}

// retryAfter returns a delay of at least d in seconds with jitter.
func (r *Router) retryAfter(d time.Duration) string {
	d = max(d, minRetryAfter) + r.random.Duration(retryAfterJitter)
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// replyUnavailable replies to a request that has not run and will not run.
// after is how long that is so at least; 0 if that is not known.
func (r *Router) replyUnavailable(w http.ResponseWriter, id, reason string, after time.Duration) {
	w.Header().Set("Retry-After", r.retryAfter(after))
	r.replyError(w, id, http.StatusServiceUnavailable, reason, 0)
}

// replyError replies with an error status to a request that has not run.
func (r *Router) replyError(w http.ResponseWriter, id string, code int, reason string, version int64) {
	klog.InfoS("Request not served", "request", id, "code", code, "reason", reason, "version", version)
	r.metrics.recordRequest(shuntcall.Refused, 0)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
}

func (r *Router) write(w http.ResponseWriter, id string, body []byte) {
	if _, err := w.Write(body); err != nil {
		klog.InfoS("Failed to send a reply", "request", id, "reason", err.Error())
	}
}

// finish logs and counts a request that has ended.
func (r *Router) finish(q request, end shuntcall.CallStatus, code, attempts, missing int, server, reason string, lost bool) {
	if q.suspect && end == shuntcall.Served && !lost {
		r.caller.RecordSuccess(q.fingerprint)
	}
	took := time.Since(q.start)
	r.metrics.recordRequest(end, took)
	klog.InfoS("Request ended", "request", q.id, "route", q.route.Name, "version", q.table.Version(), "end", end, "code", code,
		"took", took.Milliseconds(), "attempts", attempts, "missing", missing, "server", server, "reason", reason)
}
