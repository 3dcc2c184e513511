package shuntquery

import (
	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntmetric"
)

var (
	docBatches        = shuntmetric.Doc{Name: "mulberryshunt_query_batches_total", Type: "Counter", Text: "Batches sent to owner VMs.", Since: "0.1"}
	docHedges         = shuntmetric.Doc{Name: "mulberryshunt_query_hedges_total", Type: "Counter", Text: "Second attempts sent for slow shards.", Since: "0.1"}
	docHedgesDenied   = shuntmetric.Doc{Name: "mulberryshunt_query_hedges_denied_total", Type: "Counter", Text: "Hedges that were due while the budget was empty.", Since: "0.1"}
	docRetries        = shuntmetric.Doc{Name: "mulberryshunt_query_retries_total", Type: "Counter", Text: "Attempts sent again after a failure.", Since: "0.1"}
	docRetriesDenied  = shuntmetric.Doc{Name: "mulberryshunt_query_retries_denied_total", Type: "Counter", Text: "Retries that were due while the budget was empty.", Since: "0.1"}
	docLateReplies    = shuntmetric.Doc{Name: "mulberryshunt_query_late_replies_total", Type: "Counter", Text: "Replies that came after their query had ended and were dropped.", Since: "0.1"}
	docForeignReplies = shuntmetric.Doc{Name: "mulberryshunt_query_foreign_replies_total", Type: "Counter", Text: "Replies of another query, attempt, shard or snapshot that were dropped.", Since: "0.1"}
	docRestarts       = shuntmetric.Doc{Name: "mulberryshunt_query_restarts_total", Type: "Counter", Text: "Queries started again because their pinned snapshot disappeared.", Since: "0.1"}
)

// MetricDocs returns the documentation of this package's metrics.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{
		docBatches, docHedges, docHedgesDenied, docRetries, docRetriesDenied,
		docLateReplies, docForeignReplies, docRestarts,
	}
}

// Metrics holds the counters of a Coordinator.
type Metrics struct {
	Batches        *metrics.Counter
	Hedges         *metrics.Counter
	HedgesDenied   *metrics.Counter
	Retries        *metrics.Counter
	RetriesDenied  *metrics.Counter
	LateReplies    *metrics.Counter
	ForeignReplies *metrics.Counter
	Restarts       *metrics.Counter
}

// NewMetrics registers the counters in set. If set is nil, the counters are not
// exported.
func NewMetrics(set *metrics.Set) *Metrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &Metrics{
		Batches:        shuntmetric.Counter(set, docBatches, ""),
		Hedges:         shuntmetric.Counter(set, docHedges, ""),
		HedgesDenied:   shuntmetric.Counter(set, docHedgesDenied, ""),
		Retries:        shuntmetric.Counter(set, docRetries, ""),
		RetriesDenied:  shuntmetric.Counter(set, docRetriesDenied, ""),
		LateReplies:    shuntmetric.Counter(set, docLateReplies, ""),
		ForeignReplies: shuntmetric.Counter(set, docForeignReplies, ""),
		Restarts:       shuntmetric.Counter(set, docRestarts, ""),
	}
}
