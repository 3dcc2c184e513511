package shuntcall

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntmetric"
	"mulberryshunt.example/mulberryshunt/shuntupstream"
)

var (
	docAttempts  = shuntmetric.Doc{Name: "mulberryshunt_upstream_attempts_total", Labels: "Status", Type: "Counter", Text: "Attempts at backend servers, by how they ended.", Since: "0.2"}
	docExtra     = shuntmetric.Doc{Name: "mulberryshunt_upstream_extra_total", Type: "Counter", Text: "Attempts beyond the first of a request at a service: hedges and retries.", Since: "0.2"}
	docDelegated = shuntmetric.Doc{Name: "mulberryshunt_shards_delegated_total", Labels: "End", Type: "Counter", Text: "Shards that a VM of another region was asked to gather, by how that ended; Refused ones were then asked directly.", Since: "0.3"}
	docLimited   = shuntmetric.Doc{Name: "mulberryshunt_limited_attempts_total", Labels: "Why", Type: "Counter", Text: "Attempts at backend servers that limit their rate, by why they were made.", Since: "0.4"}
	docHeldBack  = shuntmetric.Doc{Name: "mulberryshunt_rate_limited_total", Type: "Counter", Text: "Times that a request could not go to a backend server because of the server's rate limit. It then went to another one or was refused.", Since: "0.4"}
	docLatency   = shuntmetric.Doc{Name: "mulberryshunt_upstream_seconds", Type: "Histogram", Unit: "seconds", Text: "Time of attempts that were answered.", Since: "0.2"}
)

// MetricDocs returns the documentation of this package's metrics.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{docAttempts, docExtra, docDelegated, docLimited, docHeldBack, docLatency}
}

// Metrics holds the metrics of attempts and delegations.
type Metrics struct {
	ExtraAttempts *metrics.Counter
	HeldBack      *metrics.Counter
	delegated     map[CallStatus]*metrics.Counter
	latency       *metrics.Histogram
	statuses      map[shuntupstream.Status]*metrics.Counter
	limited       map[string]*metrics.Counter
}

// NewMetrics registers the metrics in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		ExtraAttempts: shuntmetric.Counter(set, docExtra, ""),
		HeldBack:      shuntmetric.Counter(set, docHeldBack, ""),
		latency:       shuntmetric.Histogram(set, docLatency, ""),
		statuses:      map[shuntupstream.Status]*metrics.Counter{},
		delegated:     map[CallStatus]*metrics.Counter{},
		limited:       map[string]*metrics.Counter{},
	}
	for _, why := range []string{whyFirst, whyHedge, whyRetry} {
		m.limited[why] = shuntmetric.Counter(set, docLimited, fmt.Sprintf("Why=%q", why))
	}
	for _, e := range []CallStatus{Served, Refused, Faulted} {
		m.delegated[e] = shuntmetric.Counter(set, docDelegated, fmt.Sprintf("End=%q", e))
	}
	for s := shuntupstream.Answered; s <= shuntupstream.Cancelled; s++ {
		m.statuses[s] = shuntmetric.Counter(set, docAttempts, fmt.Sprintf("Status=%q", s))
	}
	return m
}

func (m *Metrics) attempt(o shuntupstream.Outcome, took time.Duration) {
	m.statuses[o.Status].Inc()
	if o.Status == shuntupstream.Answered {
		m.latency.Update(took.Seconds())
	}
}
