package shuntoperator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mulberryshunt.example/mulberryshunt/shuntquery"
)

// Paths of the operators' HTTP interface, and the parameter of PathExplain.
const (
	PathStatus  = "/status"
	PathExplain = "/explain"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	ParamID     = "ID"
)

// HandlerConfig configures the operators' HTTP interface.
type HandlerConfig struct {
	Sources Sources
	// Explain returns the answer to the recent request with the given ID.
	Explain func(id string) (shuntquery.Answer, bool)
	Metrics *metrics.Set
}

// NewHandler returns the operators' HTTP interface.
func NewHandler(c HandlerConfig) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, NewStatus(c.Sources))
	})
	m.HandleFunc("GET "+PathExplain, func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get(ParamID)
		a, ok := c.Explain(id)
		if !ok {
			http.Error(w, fmt.Sprintf("request %q was not answered here lately", id), http.StatusNotFound)
			return
		}
		writeJSON(w, NewExplanation(a))
	})
	m.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		c.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	m.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		if v := c.Sources.View(); !v.AcceptsWork() {
			http.Error(w, "takes no work", http.StatusServiceUnavailable)
		}
	})
	return m
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		klog.V(2).InfoS("Failed to send a reply to an operator", "reason", err.Error())
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }
