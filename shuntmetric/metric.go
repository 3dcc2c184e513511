// Package shuntmetric ties each metric to its description, so that the metrics
// page is generated from the tables that the code counts by.
package shuntmetric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Doc describes one metric.
type Doc struct {
	Name string
	// Labels are the names of its labels, separated by commas.
	Labels string
	Type   string
	Unit   string
	Text   string
	Since  string
}

// Counter returns the counter of d in set, with label pairs such as `Reason="Shed"`.
func Counter(set *metrics.Set, d Doc, labels string) *metrics.Counter {
	return set.GetOrCreateCounter(name(d, labels))
}

// Histogram returns the histogram of d in set.
func Histogram(set *metrics.Set, d Doc, labels string) *metrics.Histogram {
	return set.GetOrCreateHistogram(name(d, labels))
}

// Gauge registers the gauge of d in set; read is called at each collection.
func Gauge(set *metrics.Set, d Doc, labels string, read func() float64) {
	set.GetOrCreateGauge(name(d, labels), read)
}

func name(d Doc, labels string) string {
	if labels == "" {
		return d.Name
	}
	return fmt.Sprintf("%s{%s}", d.Name, labels)
}
