package shuntfleet

import (
	"github.com/VictoriaMetrics/metrics"

	"mulberryshunt.example/mulberryshunt/shuntmetric"
)

var (
	docBeats          = shuntmetric.Doc{Name: "mulberryshunt_fleet_beats_total", Type: "Counter", Text: "Heartbeats sent.", Since: "0.1"}
	docBeatsLost      = shuntmetric.Doc{Name: "mulberryshunt_fleet_beats_lost_total", Type: "Counter", Text: "Heartbeats that got no reply in time.", Since: "0.1"}
	docFetches        = shuntmetric.Doc{Name: "mulberryshunt_fleet_fetches_total", Type: "Counter", Text: "Times that documents were taken from another VM.", Since: "0.1"}
	docPlatformCalls  = shuntmetric.Doc{Name: "mulberryshunt_fleet_platform_calls_total", Type: "Counter", Text: "Calls to the platform, a waiting watch counted as one.", Since: "0.1"}
	docPlatformErrors = shuntmetric.Doc{Name: "mulberryshunt_fleet_platform_errors_total", Type: "Counter", Text: "Calls to the platform that failed.", Since: "0.1"}
	docStaleReads     = shuntmetric.Doc{Name: "mulberryshunt_fleet_stale_reads_total", Type: "Counter", Text: "Documents that the platform gave in an older version than it had announced.", Since: "0.1"}
)

// MetricDocs describes the metrics of this package.
func MetricDocs() []shuntmetric.Doc {
	return []shuntmetric.Doc{docBeats, docBeatsLost, docFetches, docPlatformCalls, docPlatformErrors, docStaleReads}
}

// Metrics counts what the fleet's part of a VM does.
type Metrics struct {
	Beats          *metrics.Counter
	BeatsLost      *metrics.Counter
	Fetches        *metrics.Counter
	PlatformCalls  *metrics.Counter
	PlatformErrors *metrics.Counter
	StaleReads     *metrics.Counter
}

// NewMetrics returns counters in set; a nil set gives counters nobody reads.
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
