package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// Query is a caller's request.
type Query struct {
	ID        string
	Workspace string
	Body      []byte
	// Deadline is the caller's, already cut to the workspace's.
	Deadline   time.Time
	Idempotent bool
	// Limit is the most rows to return; 0 means all.
	Limit int
}

// Row is one line of an answer.
type Row struct {
	Key   string
	Text  string
	Score float64
}

// Missing is a shard that an answer lacks.
type Missing struct {
	Shard  string
	Reason shuntoutcome.Reason
}

// Answer is what a caller gets.
type Answer struct {
	ID       string
	Outcome  shuntoutcome.Outcome
	Reason   shuntoutcome.Reason
	Snapshot shuntconfig.SnapshotID
	Rows     []Row
	// Answered and Total count shards of the pinned shard map.
	Answered int
	Total    int
	Missing  []Missing
	// Sent counts the sub-requests sent, hedges and retries included.
	Sent    int
	Hedges  int
	Retries int
	// RetryAfter hints when a refused caller may ask again.
	RetryAfter time.Duration
	// Route tells how each shard was answered.
	Route []Hop
}

// Hop says which attempt answered a shard, or which was tried last.
type Hop struct {
	Shard    string
	Server   string
	Owner    string
	Attempts int
	Hedged   bool
	Reason   shuntoutcome.Reason
	Elapsed  time.Duration
}

// Refuse returns the answer that nothing of q ran.
func Refuse(q Query, why shuntoutcome.Reason) Answer {
	return Answer{ID: q.ID, Outcome: shuntoutcome.NotRun, Reason: why}
}

// Coverage returns the share of shards that answered.
func (a Answer) Coverage() float64 {
	if a.Total == 0 {
		return 0
	}
	return float64(a.Answered) / float64(a.Total)
}

// withCosts returns a with the work that an earlier snapshot cost added.
func (a Answer) withCosts(before Answer) Answer {
	a.Sent += before.Sent
	a.Hedges += before.Hedges
	a.Retries += before.Retries
	return a
}

// withEarlier returns a as it may be given when parts of the query ran on an
// earlier snapshot: then nothing may say that it did not run.
func (a Answer) withEarlier(ran bool) Answer {
	if ran && a.Outcome == shuntoutcome.NotRun {
		a.Outcome = shuntoutcome.Unknown
	}
	return a
}
