package shuntentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"mulberryshunt.example/mulberryshunt/shuntoutcome"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// Paths, headers and limits of the HTTP interface for callers.
const (
	PathEntries       = "/v1/entries"
	PathTickets       = "/v1/tickets"
	PathQuery         = "/v1/workspaces/{Workspace}/query"
	HeaderDeadline    = "Deadline-Milliseconds"
	HeaderRequestID   = "Request-Id"
	MaxBodyBytes      = 1 << 20
	maxRequestIDBytes = 128
	maxRowLimit       = 100_000
	maxDeadlineMs     = 3_600_000
)

// Request is a caller's query.
type Request struct {
	// Query is passed to the backend servers unchanged.
	Query      string
	Idempotent bool
	// Ticket is required if Idempotent is false.
	Ticket string
	Limit  int
}

type wireRequest struct {
	Query      string
	Idempotent *bool
	Ticket     string
	Limit      int
}

// RequestError reports an invalid field of a caller's request.
type RequestError struct {
	Field, Value, Problem string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request: %s: %q %s", e.Field, e.Value, e.Problem)
}

// DecodeRequest decodes a caller's query and rejects unknown fields. Idempotent
// defaults to true.
func DecodeRequest(body []byte) (Request, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var w wireRequest
	if err := d.Decode(&w); err != nil {
		return Request{}, errors.Annotate(err, "request")
	}
	if _, err := d.Token(); err != io.EOF {
		return Request{}, &RequestError{"Body", "", "has more than one value"}
	}
	r := Request{Query: w.Query, Idempotent: w.Idempotent == nil || *w.Idempotent, Ticket: w.Ticket, Limit: w.Limit}
	if r.Limit < 0 || r.Limit > maxRowLimit {
		return Request{}, &RequestError{"Limit", fmt.Sprint(r.Limit), fmt.Sprintf("is not between 0 and %d", maxRowLimit)}
	}
	if r.Idempotent && r.Ticket != "" {
		return Request{}, &RequestError{"Ticket", r.Ticket, "is only for requests with Idempotent = false"}
	}
	return r, nil
}

// EncodeRequest encodes a caller's query.
func EncodeRequest(r Request) []byte {
	b, err := json.Marshal(wireRequest{Query: r.Query, Idempotent: &r.Idempotent, Ticket: r.Ticket, Limit: r.Limit})
	if err != nil {
		// Encoding strings, numbers and booleans can't fail.
		panic(err)
	}
	return b
}

type wireRow struct {
	Key   string
	Text  string
	Score float64
}

type wireMissing struct {
	Shard  string
	Reason string
}

type wireCoverage struct {
	Answered int
	Total    int
	Missing  []wireMissing
}

// WireAnswer is the JSON form of an answer.
type WireAnswer struct {
	RequestID              string
	Outcome                string
	Reason                 string
	Text                   string
	Snapshot               string
	Coverage               wireCoverage
	Rows                   []wireRow
	SubRequests            int
	RetryAfterMilliseconds int64
}

// EncodeAnswer converts an answer to its JSON form.
func EncodeAnswer(a shuntquery.Answer) WireAnswer {
	w := WireAnswer{
		RequestID:              a.ID,
		Outcome:                a.Outcome.String(),
		Reason:                 a.Reason.String(),
		Coverage:               wireCoverage{Answered: a.Answered, Total: a.Total, Missing: make([]wireMissing, len(a.Missing))},
		Rows:                   make([]wireRow, len(a.Rows)),
		SubRequests:            a.Sent,
		RetryAfterMilliseconds: a.RetryAfter.Milliseconds(),
	}
	if a.Reason != shuntoutcome.None {
		w.Text = a.Reason.Text()
	}
	if a.Snapshot.Version != 0 {
		w.Snapshot = a.Snapshot.String()
	}
	for i, m := range a.Missing {
		w.Coverage.Missing[i] = wireMissing{m.Shard, m.Reason.String()}
	}
	for i, r := range a.Rows {
		w.Rows[i] = wireRow(r)
	}
	return w
}

type wireEntry struct {
	Name, Address, Zone string
}

// WireEntries is the JSON form of the list of addresses.
type WireEntries struct {
	MaxAgeMilliseconds int64
	Entries            []wireEntry
}

// EncodeEntries converts the list of addresses to its JSON form.
func EncodeEntries(es []Entry) WireEntries {
	w := WireEntries{MaxAgeMilliseconds: EntriesMaxAge.Milliseconds(), Entries: make([]wireEntry, len(es))}
	for i, e := range es {
		w.Entries[i] = wireEntry(e)
	}
	return w
}

// WireTickets is the JSON form of a batch of tickets.
type WireTickets struct {
	Tickets              []string
	LifetimeMilliseconds int64
}

// ForwardArgs is a request with a ticket that is forwarded to the VM that issued
// the ticket.
type ForwardArgs struct {
	Workspace string
	RequestID string
	Query     string
	Ticket    string
	Limit     int
	Left      time.Duration
}

// ForwardReply is the answer of the VM that issued the ticket.
type ForwardReply struct {
	Answer shuntquery.Answer
}
