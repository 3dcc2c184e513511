package shuntquery

import (
	"time"

	"mulberryshunt.example/mulberryshunt/shuntconfig"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

// Query is a caller's request, which runs on all shards of a workspace.
type Query struct {
	ID        string
	Workspace string
	Body      []byte
	// Deadline is the earlier of the caller's and the workspace's deadline.
	Deadline   time.Time
	Idempotent bool
	// Limit is the maximum number of rows to return; 0 means no limit.
	Limit int
}

// Row is one row of an answer.
type Row struct {
	Key   string
	Text  string
	Score float64
}

// Missing is a shard without a result in an answer, and the reason why.
type Missing struct {
	Shard  string
	Reason shuntoutcome.Reason
}

// Answer is the merged result of a query.
type Answer struct {
	ID       string
	Outcome  shuntoutcome.Outcome
	Reason   shuntoutcome.Reason
	Snapshot shuntconfig.SnapshotID
	Rows     []Row
	// Answered and Total count shards of the pinned snapshot.
	Answered int
	Total    int
	Missing  []Missing
	// Sent is the number of sub-requests sent, including hedges and retries.
	Sent    int
	Hedges  int
	Retries int
	// RetryAfter is how long a refused caller should wait before a retry;
	// 0 gives no advice.
	RetryAfter time.Duration
	// Route holds one Hop for each shard.
	Route []Hop
}

// Hop describes the attempt that answered a shard, or the last attempt if none did.
type Hop struct {
	Shard    string
	Server   string
	Owner    string
	Attempts int
	Hedged   bool
	Reason   shuntoutcome.Reason
	Elapsed  time.Duration
}

// Refuse returns an answer with the outcome NotRun: no part of q ran.
func Refuse(q Query, reason shuntoutcome.Reason) Answer {
	return Answer{ID: q.ID, Outcome: shuntoutcome.NotRun, Reason: reason}
}

// Coverage returns the fraction of shards that answered.
func (a Answer) Coverage() float64 {
	if a.Total == 0 {
		return 0
	}
	return float64(a.Answered) / float64(a.Total)
}

// withCosts adds the attempts made on an earlier snapshot to the counts of a.
func (a Answer) withCosts(earlier Answer) Answer {
	a.Sent += earlier.Sent
	a.Hedges += earlier.Hedges
	a.Retries += earlier.Retries
	return a
}

// withEarlierRun changes the outcome NotRun to Unknown if parts of the query may
// have run on an earlier snapshot.
func (a Answer) withEarlierRun(mayHaveRun bool) Answer {
	if mayHaveRun && a.Outcome == shuntoutcome.NotRun {
		a.Outcome = shuntoutcome.Unknown
	}
	return a
}
