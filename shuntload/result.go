package shuntload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulberryshunt.example/mulberryshunt/shuntclient"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

const (
	minLatencyMicroseconds   = 1
	maxLatencyMicroseconds   = 60_000_000
	latencySignificantDigits = 3
)

// Result collects the answers to the queries of one workspace.
type Result struct {
	Workspace string
	Queries   int
	Outcomes  map[string]int
	// Reasons counts the reasons of answers whose outcome is not Complete.
	Reasons map[string]int
	// Errors is the number of queries that got no answer.
	Errors int
	// AnsweredShards and Shards are the shards that answered and the shards
	// queried, summed over all answers.
	AnsweredShards int
	Shards         int
	// SubRequests is the number of requests sent to backend servers.
	SubRequests int
	// Latencies are in microseconds, measured from the time at which each query
	// was scheduled. They don't include queries that got no answer.
	Latencies *hdrhistogram.Histogram
	// LastError is the most recent error, or "" if there was none.
	LastError string
}

// NewResult returns an empty Result.
func NewResult(workspace string) *Result {
	return &Result{
		Workspace: workspace,
		Outcomes:  map[string]int{},
		Reasons:   map[string]int{},
		Latencies: hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, latencySignificantDigits),
	}
}

// AddHTTPAnswer records an answer that a client received over HTTP, with its
// latency since the scheduled time of the query.
func (r *Result) AddHTTPAnswer(a shuntclient.Answer, latency time.Duration) {
	r.add(a.Outcome, a.Reason, latency)
	r.AnsweredShards += a.Coverage.Answered
	r.Shards += a.Coverage.Total
	r.SubRequests += a.SubRequests
}

// AddAnswer records an answer obtained in process, without HTTP, with its
// latency since the scheduled time of the query.
func (r *Result) AddAnswer(a shuntquery.Answer, latency time.Duration) {
	r.add(a.Outcome.String(), a.Reason.String(), latency)
	r.AnsweredShards += a.Answered
	r.Shards += a.Total
	r.SubRequests += a.Sent
}

func (r *Result) add(outcome, reason string, latency time.Duration) {
	r.Queries++
	r.Outcomes[outcome]++
	if outcome != "Complete" {
		r.Reasons[reason]++
	}
	_ = r.Latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicroseconds))
}

// Coverage returns the fraction of shards that answered, over all answers.
func (r *Result) Coverage() float64 {
	if r.Shards == 0 {
		return 0
	}
	return float64(r.AnsweredShards) / float64(r.Shards)
}

// ExtraLoad returns the number of sub-requests beyond one per shard, as a
// fraction of the number of shards.
func (r *Result) ExtraLoad() float64 {
	if r.Shards == 0 {
		return 0
	}
	return max(0, float64(r.SubRequests)/float64(r.Shards)-1)
}

// AddError records a query that got no answer.
func (r *Result) AddError(err error) {
	r.Queries++
	r.Errors++
	r.LastError = err.Error()
}
