package shuntowner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntmetric"
	"mulberryshunt.example/mulberryshunt/shuntoutcome"
)

var (
	docRefused           = shuntmetric.Doc{Name: "mulberryshunt_owner_refused_total", Labels: "Reason", Type: "Counter", Text: "Sub-requests that the owner refused without sending them to the backend server.", Since: "0.1"}
	docSheds             = shuntmetric.Doc{Name: "mulberryshunt_owner_sheds_total", Type: "Counter", Text: "Sub-requests that a backend server refused because it was overloaded.", Since: "0.1"}
	docColdStarts        = shuntmetric.Doc{Name: "mulberryshunt_owner_cold_starts_total", Type: "Counter", Text: "Restarts of backend servers, detected by a new start identity.", Since: "0.1"}
	docConnectFail       = shuntmetric.Doc{Name: "mulberryshunt_owner_connect_failures_total", Type: "Counter", Text: "Connections to backend servers that could not be opened.", Since: "0.1"}
	docLostConnections   = shuntmetric.Doc{Name: "mulberryshunt_owner_connections_lost_total", Type: "Counter", Text: "Connections that broke with a request in flight.", Since: "0.1"}
	docSilent            = shuntmetric.Doc{Name: "mulberryshunt_owner_silent_connections_total", Type: "Counter", Text: "Connections on which no reply came while other connections to the same server carried replies.", Since: "0.1"}
	docMismatchedReplies = shuntmetric.Doc{Name: "mulberryshunt_owner_mismatched_replies_total", Type: "Counter", Text: "Replies dropped because they belonged to another request.", Since: "0.1"}
	docBatches           = shuntmetric.Doc{Name: "mulberryshunt_owner_batches_total", Type: "Counter", Text: "Batches of sub-requests received from entry VMs.", Since: "0.1"}
	docSubRequests       = shuntmetric.Doc{Name: "mulberryshunt_owner_subrequests_total", Type: "Counter", Text: "Sub-requests received.", Since: "0.1"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{
		docBatches, docSubRequests, docRefused, docSheds, docColdStarts,
		docConnectFail, docLostConnections, docSilent, docMismatchedReplies,
	}
}

// Metrics holds the counters of this package.
type Metrics struct {
	Batches           *metrics.Counter
	SubRequests       *metrics.Counter
	Sheds             *metrics.Counter
	ColdStarts        *metrics.Counter
	ConnectFailures   *metrics.Counter
	LostConnections   *metrics.Counter
	SilentConnections *metrics.Counter
	MismatchedReplies *metrics.Counter

	set *metrics.Set
}

// NewMetrics registers the counters in set. If set is nil, they are not exported.
func NewMetrics(set *metrics.Set) *Metrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &Metrics{
		Batches:           shuntmetric.Counter(set, docBatches, ""),
		SubRequests:       shuntmetric.Counter(set, docSubRequests, ""),
		Sheds:             shuntmetric.Counter(set, docSheds, ""),
		ColdStarts:        shuntmetric.Counter(set, docColdStarts, ""),
		ConnectFailures:   shuntmetric.Counter(set, docConnectFail, ""),
		LostConnections:   shuntmetric.Counter(set, docLostConnections, ""),
		SilentConnections: shuntmetric.Counter(set, docSilent, ""),
		MismatchedReplies: shuntmetric.Counter(set, docMismatchedReplies, ""),
		set:               set,
	}
}

func (m *Metrics) countRefused(reason shuntoutcome.Reason) {
	shuntmetric.Counter(m.set, docRefused, fmt.Sprintf("Reason=%q", reason)).Inc()
}
