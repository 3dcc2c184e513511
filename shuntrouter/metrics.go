package shuntrouter

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntmetric"
)

var (
	docRequests = shuntmetric.Doc{Name: "mulberryshunt_router_requests_total", Labels: "End", Type: "Counter", Text: "Callers' requests, by how they ended.", Since: "0.2"}
	docOpened   = shuntmetric.Doc{Name: "mulberryshunt_router_connections_opened_total", Type: "Gauge", Text: "Connections to backend servers opened since the start.", Since: "0.2"}
	docRevision = shuntmetric.Doc{Name: "mulberryshunt_router_revision", Type: "Gauge", Text: "How far the VM has followed what is published.", Since: "0.2"}
	docSeconds  = shuntmetric.Doc{Name: "mulberryshunt_router_seconds", Labels: "End", Type: "Histogram", Unit: "seconds", Text: "Time from a request's arrival to its answer.", Since: "0.2"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{docRequests, docSeconds, docOpened, docRevision}
}

// registerGauges registers what is read when metrics are collected.
func registerGauges(set *metrics.Set, r *Router) {
	shuntmetric.Gauge(set, docOpened, "", func() float64 { return float64(r.pool.ConnectionsOpened()) })
	shuntmetric.Gauge(set, docRevision, "", func() float64 { return float64(r.follower.View().Revision) })
}

type frontMetrics struct {
	requests map[shuntcall.CallStatus]*metrics.Counter
	seconds  map[shuntcall.CallStatus]*metrics.Histogram
}

func newFrontMetrics(set *metrics.Set) *frontMetrics {
	m := &frontMetrics{requests: map[shuntcall.CallStatus]*metrics.Counter{}, seconds: map[shuntcall.CallStatus]*metrics.Histogram{}}
	for e := shuntcall.Served; e <= shuntcall.Expired; e++ {
		label := fmt.Sprintf("End=%q", e)
		m.requests[e] = shuntmetric.Counter(set, docRequests, label)
		m.seconds[e] = shuntmetric.Histogram(set, docSeconds, label)
	}
	return m
}

func (m *frontMetrics) end(e shuntcall.CallStatus, took time.Duration) {
	m.requests[e].Inc()
	m.seconds[e].Update(took.Seconds())
}
