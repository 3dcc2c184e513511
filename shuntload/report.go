package shuntload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Report summarizes the answers of one workspace. P50Milliseconds,
// P99Milliseconds and P999Milliseconds are quantiles of the latency.
type Report struct {
	Workspace        string
	Queries          int
	P50Milliseconds  float64
	P99Milliseconds  float64
	P999Milliseconds float64
	Coverage         float64
	ExtraLoad        float64
	Outcomes         map[string]int
	Reasons          map[string]int
	Errors           int
}

// NewReport summarizes r.
func NewReport(r *Result) Report {
	milliseconds := func(quantile float64) float64 { return float64(r.Latencies.ValueAtQuantile(quantile)) / 1000 }
	return Report{
		Workspace:        r.Workspace,
		Queries:          r.Queries,
		P50Milliseconds:  milliseconds(50),
		P99Milliseconds:  milliseconds(99),
		P999Milliseconds: milliseconds(99.9),
		Coverage:         r.Coverage(),
		ExtraLoad:        r.ExtraLoad(),
		Outcomes:         r.Outcomes,
		Reasons:          r.Reasons,
		Errors:           r.Errors,
	}
}

// PrintReports writes reports as an aligned table, one row per workspace.
func PrintReports(out io.Writer, reports []Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workspace\tqueries\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\textra load\terrors\toutcomes\t")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.2f%%\t%d\t%s\t\n",
			r.Workspace, r.Queries, r.P50Milliseconds, r.P99Milliseconds, r.P999Milliseconds,
			r.Coverage, 100*r.ExtraLoad, r.Errors, formatCounts(r.Outcomes)+formatCounts(r.Reasons))
	}
	_ = table.Flush()
}

// formatCounts formats counts as "key=count" pairs, sorted by key.
func formatCounts(counts map[string]int) string {
	s := ""
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		s += fmt.Sprintf("%s=%d ", k, counts[k])
	}
	return s
}
