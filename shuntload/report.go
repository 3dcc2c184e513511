package shuntload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Report is what the callers of one workspace saw.
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

// NewReport sums a result up.
func NewReport(r *Result) Report {
	ms := func(q float64) float64 { return float64(r.Latencies.ValueAtQuantile(q)) / 1000 }
	return Report{
		Workspace:        r.Workspace,
		Queries:          r.Queries,
		P50Milliseconds:  ms(50),
		P99Milliseconds:  ms(99),
		P999Milliseconds: ms(99.9),
		Coverage:         r.Coverage(),
		ExtraLoad:        r.ExtraLoad(),
		Outcomes:         r.Outcomes,
		Reasons:          r.Reasons,
		Errors:           r.Errors,
	}
}

// PrintReports writes a table for people.
func PrintReports(out io.Writer, rs []Report) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workspace\tqueries\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\textra load\terrors\toutcomes\t")
	for _, w := range rs {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.2f%%\t%d\t%s\t\n",
			w.Workspace, w.Queries, w.P50Milliseconds, w.P99Milliseconds, w.P999Milliseconds,
			w.Coverage, 100*w.ExtraLoad, w.Errors, counts(w.Outcomes)+counts(w.Reasons))
	}
	_ = t.Flush()
}

// counts writes a map of counts in a fixed order.
func counts(m map[string]int) string {
	s := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s += fmt.Sprintf("%s=%d ", k, m[k])
	}
	return s
}
