package shuntrouter

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntcall"
	"mulberryshunt.example/mulberryshunt/shuntgroup"
	"mulberryshunt.example/mulberryshunt/shuntmetric"
)

var (
	docRequests = shuntmetric.Doc{Name: "mulberryshunt_router_requests_total", Labels: "End", Type: "Counter", Text: "Requests from callers, by how they ended.", Since: "0.2"}
	docOpened   = shuntmetric.Doc{Name: "mulberryshunt_router_connections_opened_total", Type: "Gauge", Text: "Connections to backend servers opened since the start.", Since: "0.2"}
	docRevision = shuntmetric.Doc{Name: "mulberryshunt_router_revision", Type: "Gauge", Text: "Revision of the newest published change that the VM has applied.", Since: "0.2"}
	docPanics   = shuntmetric.Doc{Name: "mulberryshunt_router_panics_total", Type: "Gauge", Text: "Panics caught since the start; each lost one request, message or record.", Since: "0.3"}
	docLimited  = shuntmetric.Doc{Name: "mulberryshunt_router_limited_servers", Type: "Gauge", Text: "Backend servers that limit their rate of requests.", Since: "0.4"}
	docLeaving  = shuntmetric.Doc{Name: "mulberryshunt_router_leaving_servers", Type: "Gauge", Text: "Backend servers that have said, to this VM or another one, that they are leaving.", Since: "0.5"}
	docPaused   = shuntmetric.Doc{Name: "mulberryshunt_router_paused_servers", Type: "Gauge", Text: "Backend servers that want no requests from this VM for a time.", Since: "0.5"}
	docRelayed  = shuntmetric.Doc{Name: "mulberryshunt_router_relayed_total", Labels: "Why, End", Type: "Counter", Text: "Requests that another VM was asked to serve, by why and how that ended; after Refused the next VM was asked.", Since: "0.5"}
	docLinks    = shuntmetric.Doc{Name: "mulberryshunt_router_links_lost", Type: "Gauge", Text: "1 while the VM has lost its links to the backend servers, else 0.", Since: "0.5"}
	docOlder    = shuntmetric.Doc{Name: "mulberryshunt_router_older_vms", Type: "Gauge", Text: "Other VMs alive that run a build before protocol 1.", Since: "0.6"}
	docHeld     = shuntmetric.Doc{Name: "mulberryshunt_router_held_bytes", Type: "Gauge", Unit: "bytes", Text: "Memory held for requests, replies and answers, by the account of the process.", Since: "0.7"}
	docEvicted  = shuntmetric.Doc{Name: "mulberryshunt_router_evicted_total", Type: "Gauge", Text: "Requests and answers that were given up for their memory since the start.", Since: "0.7"}
	docShort    = shuntmetric.Doc{Name: "mulberryshunt_router_short_total", Type: "Gauge", Text: "Times that there was no memory for a part of a request or reply since the start.", Since: "0.7"}
	docConns    = shuntmetric.Doc{Name: "mulberryshunt_router_caller_connections", Type: "Gauge", Text: "Connections from callers, also to the directory and the readiness check.", Since: "0.7"}
	docClosed   = shuntmetric.Doc{Name: "mulberryshunt_router_caller_connections_closed_total", Type: "Gauge", Text: "Connections from callers that were closed for their memory or to make room for others since the start.", Since: "0.7"}
	docSeconds  = shuntmetric.Doc{Name: "mulberryshunt_router_seconds", Labels: "End", Type: "Histogram", Unit: "seconds", Text: "Time from the arrival of a request to its reply.", Since: "0.2"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{docRequests, docSeconds, docOpened, docRevision, docPanics, docLimited, docRelayed, docLinks, docLeaving, docPaused, docOlder, docHeld, docEvicted, docShort, docConns, docClosed}
}

// registerGauges registers the metrics that are read at collection time.
func registerGauges(set *metrics.Set, r *Router) {
	shuntmetric.Gauge(set, docOpened, "", func() float64 { return float64(r.pool.ConnectionsOpened()) })
	shuntmetric.Gauge(set, docPanics, "", func() float64 { return float64(shuntgroup.Panics()) })
	shuntmetric.Gauge(set, docLimited, "", func() float64 { return float64(r.rateLimiter.Count()) })
	shuntmetric.Gauge(set, docLeaving, "", func() float64 {
		leaving, _ := r.notices.Counts()
		return float64(leaving)
	})
	shuntmetric.Gauge(set, docPaused, "", func() float64 {
		_, paused := r.notices.Counts()
		return float64(paused)
	})
	shuntmetric.Gauge(set, docLinks, "", func() float64 {
		if r.caller.LinksLost() {
			return 1
		}
		return 0
	})
	shuntmetric.Gauge(set, docOlder, "", func() float64 { return float64(r.node.Snapshot().Older()) })
	shuntmetric.Gauge(set, docHeld, "", func() float64 { return float64(r.memory.Counts().Used) })
	shuntmetric.Gauge(set, docEvicted, "", func() float64 { return float64(r.memory.Counts().Evicted) })
	shuntmetric.Gauge(set, docShort, "", func() float64 { return float64(r.memory.Counts().Refused) })
	shuntmetric.Gauge(set, docConns, "", func() float64 { return float64(r.conns.counts().open) })
	shuntmetric.Gauge(set, docClosed, "", func() float64 { return float64(r.conns.counts().closed) })
	shuntmetric.Gauge(set, docRevision, "", func() float64 { return float64(r.follower.View().Revision) })
}

// routerMetrics holds the metrics of requests by their status.
type routerMetrics struct {
	requests map[shuntcall.CallStatus]*metrics.Counter
	seconds  map[shuntcall.CallStatus]*metrics.Histogram
	relayed  map[relayOutcome]*metrics.Counter
}

// relayOutcome is why and how a request was relayed.
type relayOutcome struct {
	why string
	end shuntcall.CallStatus
}

func newRouterMetrics(set *metrics.Set) *routerMetrics {
	m := &routerMetrics{requests: map[shuntcall.CallStatus]*metrics.Counter{}, seconds: map[shuntcall.CallStatus]*metrics.Histogram{}, relayed: map[relayOutcome]*metrics.Counter{}}
	for e := shuntcall.Served; e <= shuntcall.Expired; e++ {
		label := fmt.Sprintf("End=%q", e)
		m.requests[e] = shuntmetric.Counter(set, docRequests, label)
		m.seconds[e] = shuntmetric.Histogram(set, docSeconds, label)
		for _, why := range []string{relaySuspect, relayLinks, relayService} {
			m.relayed[relayOutcome{why, e}] = shuntmetric.Counter(set, docRelayed, fmt.Sprintf("Why=%q,End=%q", why, e))
		}
	}
	return m
}

// recordRequest counts a request that has ended.
func (m *routerMetrics) recordRequest(e shuntcall.CallStatus, took time.Duration) {
	m.requests[e].Inc()
	m.seconds[e].Update(took.Seconds())
}

// recordRelay counts a request that another VM was asked to serve.
func (m *routerMetrics) recordRelay(why string, end shuntcall.CallStatus) {
	m.relayed[relayOutcome{why, end}].Inc()
}
