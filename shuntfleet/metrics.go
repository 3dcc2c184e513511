package shuntfleet

import (
	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntmetric"
)

var (
	docBeats          = shuntmetric.Doc{Name: "mulberryshunt_fleet_beats_total", Type: "Counter", Text: "Heartbeats sent.", Since: "0.1"}
	docBeatsLost      = shuntmetric.Doc{Name: "mulberryshunt_fleet_beats_lost_total", Type: "Counter", Text: "Heartbeats that got no reply in time.", Since: "0.1"}
	docFetches        = shuntmetric.Doc{Name: "mulberryshunt_fleet_fetches_total", Type: "Counter", Text: "Successful fetches of documents from another VM.", Since: "0.1"}
	docPlatformCalls  = shuntmetric.Doc{Name: "mulberryshunt_fleet_platform_calls_total", Type: "Counter", Text: "Calls to the platform. A watch counts as one call, however long it waits.", Since: "0.1"}
	docPlatformErrors = shuntmetric.Doc{Name: "mulberryshunt_fleet_platform_errors_total", Type: "Counter", Text: "Calls to the platform that failed.", Since: "0.1"}
	docStaleReads     = shuntmetric.Doc{Name: "mulberryshunt_fleet_stale_reads_total", Type: "Counter", Text: "Documents that the platform returned in an older version than it had announced.", Since: "0.1"}
)

// MetricDocs returns the descriptions of the metrics of this package.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{
		docBeats, docBeatsLost, docFetches, docPlatformCalls, docPlatformErrors, docStaleReads,
		docReady, docLivePeers, docOtherConfiguration, docLeases, docRefusals, docProblems,
	}
}

// Metrics holds the counters of this package.
type Metrics struct {
	Beats          *metrics.Counter
	BeatsLost      *metrics.Counter
	Fetches        *metrics.Counter
	PlatformCalls  *metrics.Counter
	PlatformErrors *metrics.Counter
	StaleReads     *metrics.Counter
}

// NewMetrics registers the counters in set. If set is nil, they are not
// exported.
func NewMetrics(set *metrics.Set) *Metrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &Metrics{
		Beats:          shuntmetric.Counter(set, docBeats, ""),
		BeatsLost:      shuntmetric.Counter(set, docBeatsLost, ""),
		Fetches:        shuntmetric.Counter(set, docFetches, ""),
		PlatformCalls:  shuntmetric.Counter(set, docPlatformCalls, ""),
		PlatformErrors: shuntmetric.Counter(set, docPlatformErrors, ""),
		StaleReads:     shuntmetric.Counter(set, docStaleReads, ""),
	}
}

var (
	docReady              = shuntmetric.Doc{Name: "mulberryshunt_fleet_ready", Type: "Gauge", Text: "1 when the VM accepts work, 0 while it starts or is isolated.", Since: "0.1"}
	docLivePeers          = shuntmetric.Doc{Name: "mulberryshunt_fleet_peers_live", Type: "Gauge", Text: "Other VMs heard from recently.", Since: "0.1"}
	docOtherConfiguration = shuntmetric.Doc{Name: "mulberryshunt_fleet_peers_other_configuration", Type: "Gauge", Text: "Live VMs whose configuration differs from this VM's.", Since: "0.1"}
	docLeases             = shuntmetric.Doc{Name: "mulberryshunt_fleet_leases_held", Type: "Gauge", Text: "Backend servers that this VM owns.", Since: "0.1"}
	docRefusals           = shuntmetric.Doc{Name: "mulberryshunt_fleet_documents_refused", Type: "Gauge", Text: "Documents whose newest version was refused.", Since: "0.1"}
	docProblems           = shuntmetric.Doc{Name: "mulberryshunt_fleet_workspaces_unresolved", Type: "Gauge", Text: "Workspaces whose documents can't be resolved.", Since: "0.1"}
)

// RegisterGauges registers the gauges of this package in set. They read the
// current view.
func RegisterGauges(set *metrics.Set, view func() *View) {
	gauge := func(d shuntmetric.Doc, read func(v *View) int) {
		shuntmetric.Gauge(set, d, "", func() float64 { return float64(read(view())) })
	}
	gauge(docReady, func(v *View) int {
		if v.AcceptsWork() {
			return 1
		}
		return 0
	})
	gauge(docLivePeers, func(v *View) int {
		return v.countPeers(func(Peer) bool { return true })
	})
	gauge(docOtherConfiguration, func(v *View) int {
		return v.countPeers(func(p Peer) bool { return p.Status.Digest != v.Self.Digest })
	})
	gauge(docLeases, (*View).OwnedCount)
	gauge(docRefusals, func(v *View) int { return len(v.Tree.Refusals()) })
	gauge(docProblems, func(v *View) int {
		n := 0
		for _, w := range v.Tree.Workspaces() {
			if v.Tree.Problem(w) != nil {
				n++
			}
		}
		return n
	})
}
