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
	contentTypeJSON = "application/json"
)

// Handler returns the HTTP handler for callers.
func (f *Frontend) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+PathEntries, f.serveEntries)
	m.HandleFunc("POST "+PathTickets, f.serveTickets)
	m.HandleFunc("POST "+PathQuery, f.serveQuery)
	return f.closeWhenLeaving(m)
}

// closeWhenLeaving makes callers close their connections after a response while
// the VM is leaving. If the VM closed idle connections itself, it could lose a
// request in transit.
func (f *Frontend) closeWhenLeaving(next http.Handler) http.Handler {
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
	writeJSON(w, http.StatusOK, EncodeEntries(es))
}

func (f *Frontend) serveTickets(w http.ResponseWriter, r *http.Request) {
	n := 1
	if s := r.URL.Query().Get("Count"); s != "" {
		var err error
		if n, err = strconv.Atoi(s); err != nil || n < 1 {
			writeBadRequest(w, "", &RequestError{"Count", s, "is not a whole number above 0"})
			return
		}
	}
	writeJSON(w, http.StatusOK, WireTickets{Tickets: f.IssueTickets(n), LifetimeMilliseconds: shuntclaim.TicketLifetime.Milliseconds()})
}

func (f *Frontend) serveQuery(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = ulid.Make().String()
	}
	if len(id) > maxRequestIDBytes {
		writeBadRequest(w, "", &RequestError{HeaderRequestID, id[:maxRequestIDBytes], fmt.Sprintf("is longer than %d bytes", maxRequestIDBytes)})
		return
	}
	wait, err := parseDeadline(r)
	if err != nil {
		writeBadRequest(w, id, err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		writeBadRequest(w, id, &RequestError{"Body", "", fmt.Sprintf("can't be read, or is longer than %d bytes: %v", MaxBodyBytes, err)})
		return
	}
	req, err := DecodeRequest(body)
	if err != nil {
		writeBadRequest(w, id, err)
		return
	}
	a := f.Handle(r.Context(), r.PathValue("Workspace"), id, req, wait)
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(a.RetryAfter.Seconds()))))
	}
	writeJSON(w, httpStatus(a), EncodeAnswer(a))
}

// parseDeadline returns the time limit in the Deadline-Milliseconds header, or 0 if
// there is none.
func parseDeadline(r *http.Request) (time.Duration, error) {
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

// httpStatus returns the HTTP status code for an answer.
func httpStatus(a shuntquery.Answer) int {
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

func writeBadRequest(w http.ResponseWriter, id string, err error) {
	a := EncodeAnswer(shuntquery.Refuse(shuntquery.Query{ID: id}, shuntoutcome.BadRequest))
	a.Text = err.Error()
	writeJSON(w, http.StatusBadRequest, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(2).InfoS("Could not write HTTP response", "reason", err.Error())
	}
}
