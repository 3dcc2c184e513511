// Package shuntmetric creates metrics from their descriptions, so that the
// metrics page can be generated from the same tables that the code uses.
package shuntmetric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Doc describes one metric.
type Doc struct {
	Name string
	// Labels are the names of the metric's labels, separated by commas.
	Labels string
	Type   string
	Unit   string
	Text   string
	Since  string
}

// Counter returns the counter that d describes, registered in set. labels are
// pairs of names and values such as `Reason="Shed"`.
func Counter(set *metrics.Set, d Doc, labels string) *metrics.Counter {
	return set.GetOrCreateCounter(seriesName(d, labels))
}

// Histogram returns the histogram that d describes, registered in set.
func Histogram(set *metrics.Set, d Doc, labels string) *metrics.Histogram {
	return set.GetOrCreateHistogram(seriesName(d, labels))
}

// Gauge registers the gauge that d describes in set. Its value is read at each
// collection.
func Gauge(set *metrics.Set, d Doc, labels string, read func() float64) {
	set.GetOrCreateGauge(seriesName(d, labels), read)
}

// seriesName returns the name of the metric with its labels, as the metrics
// package expects it.
func seriesName(d Doc, labels string) string {
	if labels == "" {
		return d.Name
	}
	return fmt.Sprintf("%s{%s}", d.Name, labels)
}
