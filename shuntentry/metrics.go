package shuntentry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntmetric"
	"mulberryshunt.example/mulberryshunt/shuntquery"
)

var (
	docQueries  = shuntmetric.Doc{Name: "mulberryshunt_entry_queries_total", Labels: "Workspace, Outcome, Reason", Type: "Counter", Text: "Queries answered.", Since: "0.1"}
	docSeconds  = shuntmetric.Doc{Name: "mulberryshunt_entry_query_seconds", Labels: "Workspace", Type: "Histogram", Unit: "s", Text: "Time from a query's receipt to its answer.", Since: "0.1"}
	docAnswered = shuntmetric.Doc{Name: "mulberryshunt_entry_shards_answered_total", Labels: "Workspace", Type: "Counter", Text: "Shards merged into answers.", Since: "0.1"}
	docTotal    = shuntmetric.Doc{Name: "mulberryshunt_entry_shards_total", Labels: "Workspace", Type: "Counter", Text: "Shards of the pinned shard maps. Answered over this is the coverage.", Since: "0.1"}
	docSent     = shuntmetric.Doc{Name: "mulberryshunt_entry_subrequests_total", Labels: "Workspace", Type: "Counter", Text: "Sub-requests sent, hedges and retries included. This over the shards is the extra load.", Since: "0.1"}
	docForwards = shuntmetric.Doc{Name: "mulberryshunt_entry_forwards_total", Type: "Counter", Text: "Requests passed on to the VM that made their ticket.", Since: "0.1"}
	docRepeats  = shuntmetric.Doc{Name: "mulberryshunt_entry_repeats_total", Type: "Counter", Text: "Repeats of a ticket's request that were answered from the record.", Since: "0.1"}
)

// MetricDocs returns the documentation of this package's metrics.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{docQueries, docSeconds, docAnswered, docTotal, docSent, docForwards, docRepeats}
}

// Metrics holds the metrics of a Frontend.
type Metrics struct {
	Forwards *metrics.Counter
	Repeats  *metrics.Counter
	set      *metrics.Set
}

// NewMetrics registers the metrics in set. If set is nil, they are not exported.
func NewMetrics(set *metrics.Set) *Metrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &Metrics{
		Forwards: shuntmetric.Counter(set, docForwards, ""),
		Repeats:  shuntmetric.Counter(set, docRepeats, ""),
		set:      set,
	}
}

// unknownWorkspace is the label for workspaces that are not published. Otherwise
// callers could create any number of time series with made-up names.
const unknownWorkspace = "(unknown)"

func (m *Metrics) recordAnswer(workspace string, a shuntquery.Answer, elapsed time.Duration) {
	if a.Total == 0 && a.Reason.String() == "NoWorkspace" {
		workspace = unknownWorkspace
	}
	w := fmt.Sprintf("Workspace=%q", workspace)
	shuntmetric.Counter(m.set, docQueries, fmt.Sprintf("%s,Outcome=%q,Reason=%q", w, a.Outcome, a.Reason)).Inc()
	shuntmetric.Histogram(m.set, docSeconds, w).Update(elapsed.Seconds())
	shuntmetric.Counter(m.set, docAnswered, w).Add(a.Answered)
	shuntmetric.Counter(m.set, docTotal, w).Add(a.Total)
	shuntmetric.Counter(m.set, docSent, w).Add(a.Sent)
}
