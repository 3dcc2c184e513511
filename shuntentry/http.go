package shuntentry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntclaim"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

const (
	jsonType = "application/json"
)

// Handler returns the callers' HTTP interface.
func (f *Frontend) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+PathEntries, f.serveEntries)
	m.HandleFunc("POST "+PathTickets, f.serveTickets)
	m.HandleFunc("POST "+PathQuery, f.serveQuery)
	return f.closing(m)
}

// closing asks callers of a leaving VM to close their connections after the
// answer. Closing idle ones from this end could cut a request on its way.
func (f *Frontend) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.config.View().Self.Leaving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Frontend) serveEntries(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	es := Entries(f.config.View(), q.Get("Zone"), q.Get("Region"), f.config.Random)
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(EntriesMaxAge.Seconds())))
	reply(w, http.StatusOK, EncodeEntries(es))
}

func (f *Frontend) serveTickets(w http.ResponseWriter, r *http.Request) {
	n := 1
	if s := r.URL.Query().Get("Count"); s != "" {
		var err error
		if n, err = strconv.Atoi(s); err != nil || n < 1 {
			badRequest(w, "", &RequestError{"Count", s, "is not a whole number above 0"})
			return
		}
	}
	reply(w, http.StatusOK, WireTickets{Tickets: f.IssueTickets(n), LifetimeMilliseconds: shuntclaim.TicketLifetime.Milliseconds()})
}

func (f *Frontend) serveQuery(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = ulid.Make().String()
	}
	if len(id) > maxIDBytes {
		badRequest(w, "", &RequestError{HeaderRequestID, id[:maxIDBytes], fmt.Sprintf("is longer than %d bytes", maxIDBytes)})
		return
	}
	wait, err := deadlineOf(r)
	if err != nil {
		badRequest(w, id, err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		badRequest(w, id, &RequestError{"Body", "", fmt.Sprintf("can't be read, or is longer than %d bytes: %v", MaxBodyBytes, err)})
		return
	}
	req, err := DecodeRequest(body)
	if err != nil {
		badRequest(w, id, err)
		return
	}
	a := f.Handle(r.Context(), r.PathValue("Workspace"), id, req, wait)
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(a.RetryAfter.Seconds()))))
	}
	reply(w, statusOf(a), EncodeAnswer(a))
}

func deadlineOf(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderDeadline)
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 1 || n > maxDeadlineMs {
		return 0, &RequestError{HeaderDeadline, s, fmt.Sprintf("is not between 1 and %d", maxDeadlineMs)}
	}
	return time.Duration(n) * time.Millisecond, nil
}

// statusOf returns the HTTP status that tells most about a.
func statusOf(a shuntquery.Answer) int {
	switch {
	case a.Outcome == shuntoutcome.Complete, a.Outcome == shuntoutcome.Partial:
		return http.StatusOK
	case a.Outcome == shuntoutcome.Unknown:
		return http.StatusGatewayTimeout
	case a.Reason == shuntoutcome.NoWorkspace:
		return http.StatusNotFound
	case a.Reason == shuntoutcome.NoTicket, a.Reason == shuntoutcome.BadTicket, a.Reason == shuntoutcome.TicketUsed:
		return http.StatusBadRequest
	case a.Reason == shuntoutcome.Overloaded:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func badRequest(w http.ResponseWriter, id string, err error) {
	a := EncodeAnswer(shuntquery.Refuse(shuntquery.Query{ID: id}, shuntoutcome.BadRequest))
	a.Text = err.Error()
	reply(w, http.StatusBadRequest, a)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(2).InfoS("Reply not sent", "reason", err.Error())
	}
}
