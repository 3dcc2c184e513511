package shuntrouter

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntroute"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

const (
	// defaultDeadline holds where neither the caller nor the route gives one.
	defaultDeadline = 30 * time.Second
	// defaultBody bounds a body where the limits don't.
	defaultBody = 1 << 20
	// replyMargin is how long before the caller's deadline the last answer
	// leaves.
	replyMargin = 10 * time.Millisecond
	// urgentPriority is the rank up to which queries go before others.
	urgentPriority = 1
	// returnedMargin is how much less than the route's timeout a caller has left
	// that has been refused before.
	returnedMargin = 30 * time.Millisecond
	// retryAfterLeast and retryAfterSpread are the pause that refused callers
	// are asked to make; the spread keeps them from returning all at once.
	retryAfterLeast  = 50 * time.Millisecond
	retryAfterSpread = 150 * time.Millisecond
)

// Headers are the names of the headers that callers and servers use.
type Headers struct {
	Upstream shuntupstream.Headers
	// ShardSignatures lists the signatures of the parts of an answer, and
	// MissingParts counts the shards that are left out.
	ShardSignatures string
	MissingShards   string
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// addedHeaders are those that net/http would add to an answer without them.
var addedHeaders = []string{"Date", "Content-Type"}

// splits counts the requests of divided routes, so that each share gets its
// part evenly.
type splits struct {
	mu     sync.Mutex
	counts map[string]uint64
}

// goldenRatio spreads the multiples of itself evenly between 0 and 1.
const goldenRatio = 0.6180339887498949

func (s *splits) point(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]uint64{}
	}
	s.counts[route]++
	p := float64(s.counts[route]) * goldenRatio
	return p - float64(uint64(p))
}

// request is one caller's request on its way.
type request struct {
	id       string
	start    time.Time
	deadline time.Time
	route    *shuntroute.Route
	table    *shuntroute.Table
	upstream shuntupstream.Request
	// fingerprint identifies the content; servers may have died under a suspect.
	fingerprint uint64
	suspect     bool
}

// ServeHTTP answers callers.
func (r *Router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	start := time.Now()
	if !r.conns.begin(in.Context()) {
		panic(http.ErrAbortHandler)
	}
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	id := in.Header.Get(r.config.Headers.Upstream.RequestID)
	view := r.follower.View()
	if view.Table == nil {
		r.refuse(w, id, "no routes are known yet")
		return
	}
	if headerBytes(in) > orDefault(view.Table.Limits().HeaderBytes, defaultHeaderBytes) {
		r.fail(w, id, http.StatusRequestHeaderFieldsTooLarge, "the header is too long", view.Table.Version())
		return
	}
	route, ok := view.Table.Match(in.Host, in.URL.Path)
	if !ok {
		r.fail(w, id, http.StatusNotFound, "no route", view.Table.Version())
		return
	}
	body, ok := r.readBody(w, in, id, view.Table)
	if !ok {
		return
	}
	q := r.request(in, id, start, route, view.Table, body)
	caller, _, _ := strings.Cut(in.RemoteAddr, ":")
	q.fingerprint = shuntcall.Fingerprint(caller, q.upstream)
	admission, release := r.caller.Admit(q.fingerprint)
	defer release()
	if admission.Refused != "" {
		r.refuse(w, id, admission.Refused)
		return
	}
	q.suspect = admission.Suspect
	ctx, cancel := context.WithDeadline(in.Context(), q.deadline.Add(-replyMargin))
	defer cancel()
	if route.Scatters() {
		r.scatter(ctx, w, q)
		return
	}
	r.forward(ctx, w, q)
}

// request returns what goes on to servers.
func (r *Router) request(in *http.Request, id string, start time.Time, route *shuntroute.Route, t *shuntroute.Table, body []byte) request {
	q := request{id: id, start: start, route: route, table: t}
	q.deadline = r.deadline(in, route, start)
	q.upstream = shuntupstream.Request{
		Method: in.Method, Target: in.RequestURI, Host: in.Host, Header: r.endToEnd(in.Header), Body: body, ID: id, Deadline: q.deadline,
	}
	return q
}

func (r *Router) readBody(w http.ResponseWriter, in *http.Request, id string, t *shuntroute.Table) ([]byte, bool) {
	limit := int64(orDefault(t.Limits().BodyBytes, defaultBody))
	if in.ContentLength == 0 {
		return nil, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, limit))
	if err == nil {
		return body, true
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		r.fail(w, id, http.StatusRequestEntityTooLarge, "the body is too long", t.Version())
		return nil, false
	}
	klog.InfoS("Request not read", "request", id, "reason", err.Error())
	panic(http.ErrAbortHandler)
}

// deadline is when the request must be answered: the caller's deadline or the
// route's timeout, whichever is first.
func (r *Router) deadline(in *http.Request, route *shuntroute.Route, start time.Time) time.Time {
	wait := defaultDeadline
	if ms, err := strconv.ParseInt(in.Header.Get(r.config.Headers.Upstream.Deadline), 10, 64); err == nil && ms > 0 {
		wait = time.Duration(ms) * time.Millisecond
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return start.Add(wait)
}

// endToEnd returns the caller's headers without those of one connection and
// those that this VM sets itself.
func (r *Router) endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	u := r.config.Headers.Upstream
	for _, name := range []string{u.RequestID, u.Deadline, u.Instance} {
		out.Del(name)
	}
	return out
}

func (r *Router) forward(ctx context.Context, w http.ResponseWriter, q request) {
	name := q.route.PickService(r.splits.point(q.route.Name))
	service, ok := q.table.Service(name)
	if !ok {
		service = shuntroute.Service{Name: name, MaxConns: 1}
	}
	res := r.caller.Forward(ctx, q.route, service, q.upstream, q.fingerprint, q.suspect)
	code := r.reply(w, q, res)
	r.logEnd(q, res.Status, code, res.Attempts, 0, res.Server, res.Reason)
}

// reply sends the server's own answer, or a failure of this VM's own.
func (r *Router) reply(w http.ResponseWriter, q request, res shuntcall.Result) int {
	if !res.HasReply {
		return r.failure(w, res.Status)
	}
	h := w.Header()
	for name, values := range res.Reply.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if r.leaving.Load() {
		h.Set("Connection", "close")
	}
	for _, name := range addedHeaders {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(res.Reply.Body)))
	if length := res.Reply.Header.Get("Content-Length"); q.upstream.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(res.Reply.Code)
	r.write(w, q.id, res.Reply.Body)
	return res.Reply.Code
}

func (r *Router) scatter(ctx context.Context, w http.ResponseWriter, q request) {
	a := r.caller.Scatter(ctx, shuntcall.Query{Route: q.route, Table: q.table, Request: q.upstream, Start: q.start,
		Fingerprint: q.fingerprint, Suspect: q.suspect, Urgent: q.route.Priority <= urgentPriority, Retried: r.returned(q)})
	code := http.StatusOK
	if a.Status == shuntcall.Served {
		r.replyParts(w, q, a)
	} else {
		code = r.failure(w, a.Status)
	}
	r.logEnd(q, a.Status, code, a.Attempts, a.Missing, "", a.Reason)
}

// returned says whether the caller has probably been refused before: it then has
// less time left than the route gives it.
func (r *Router) returned(q request) bool {
	return q.route.Timeout > 0 && q.deadline.Sub(q.start) < q.route.Timeout-returnedMargin
}

func (r *Router) replyParts(w http.ResponseWriter, q request, a shuntcall.Answer) {
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

// failure answers for a request that no server served. Only a request that has
// not run is refused with a promise.
func (r *Router) failure(w http.ResponseWriter, end shuntcall.CallStatus) int {
	code := http.StatusBadGateway
	switch end {
	case shuntcall.Refused:
		w.Header().Set("Retry-After", r.retryAfter())
		code = http.StatusServiceUnavailable
	case shuntcall.Expired:
		code = http.StatusGatewayTimeout
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
	return code
}

func (r *Router) retryAfter() string {
	d := retryAfterLeast + r.random.Duration(retryAfterSpread)
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// refuse answers for a request that has not run and never will.
func (r *Router) refuse(w http.ResponseWriter, id, reason string) {
	w.Header().Set("Retry-After", r.retryAfter())
	r.fail(w, id, http.StatusServiceUnavailable, reason, 0)
}

func (r *Router) fail(w http.ResponseWriter, id string, code int, reason string, version int64) {
	klog.InfoS("Request not served", "request", id, "code", code, "reason", reason, "version", version)
	r.metrics.end(shuntcall.Refused, 0)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(code)
}

func (r *Router) write(w http.ResponseWriter, id string, body []byte) {
	if _, err := w.Write(body); err != nil {
		klog.InfoS("Answer not sent", "request", id, "reason", err.Error())
	}
}

func (r *Router) logEnd(q request, end shuntcall.CallStatus, code, attempts, missing int, server, reason string) {
	if q.suspect && end == shuntcall.Served {
		r.caller.RecordSuccess(q.fingerprint)
	}
	took := time.Since(q.start)
	r.metrics.end(end, took)
	klog.InfoS("Request ended", "request", q.id, "route", q.route.Name, "version", q.table.Version(), "end", end, "code", code,
		"took", took.Milliseconds(), "attempts", attempts, "missing", missing, "server", server, "reason", reason)
}
