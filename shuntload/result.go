package shuntload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulberryshunt.example/mulberryshunt/shuntcaller"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

const (
	histogramLow    = 1
	histogramHigh   = 60_000_000
	histogramDigits = 3
)

// Result is what the callers of one workspace saw.
type Result struct {
	Workspace      string
	Queries        int
	Outcomes       map[string]int
	Reasons        map[string]int
	Errors         int
	AnsweredShards int
	Shards         int
	SubRequests    int
	// Latencies are in microseconds, from the time that a query was due.
	Latencies *hdrhistogram.Histogram
	// LastError is the newest error; "" when there was none.
	LastError string
}

// NewResult returns a Result without queries.
func NewResult(workspace string) *Result {
	return &Result{
		Workspace: workspace,
		Outcomes:  map[string]int{},
		Reasons:   map[string]int{},
		Latencies: hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
	}
}

// AddHTTPAnswer books an answer that came took after the query was due.
func (r *Result) AddHTTPAnswer(a shuntcaller.Answer, took time.Duration) {
	r.add(a.Outcome, a.Reason, took)
	r.AnsweredShards += a.Coverage.Answered
	r.Shards += a.Coverage.Total
	r.SubRequests += a.SubRequests
}

// AddAnswer books an answer that did not travel over HTTP.
func (r *Result) AddAnswer(a shuntquery.Answer, took time.Duration) {
	r.add(a.Outcome.String(), a.Reason.String(), took)
	r.AnsweredShards += a.Answered
	r.Shards += a.Total
	r.SubRequests += a.Sent
}

func (r *Result) add(outcome, reason string, took time.Duration) {
	r.Queries++
	r.Outcomes[outcome]++
	if outcome != "Complete" {
		r.Reasons[reason]++
	}
	_ = r.Latencies.RecordValue(min(took.Microseconds(), histogramHigh))
}

// Coverage returns the share of shards that answered, over all answers.
func (r *Result) Coverage() float64 {
	if r.Shards == 0 {
		return 0
	}
	return float64(r.AnsweredShards) / float64(r.Shards)
}

// ExtraLoad returns the sub-requests sent beyond one a shard, as a share.
func (r *Result) ExtraLoad() float64 {
	if r.Shards == 0 {
		return 0
	}
	return max(0, float64(r.SubRequests)/float64(r.Shards)-1)
}

// AddError books a query that got no answer.
func (r *Result) AddError(err error) {
	r.Queries++
	r.Errors++
	r.LastError = err.Error()
}
