package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasail.example/types"
)

// Quantiles summarises a distribution of times, in microseconds.
type Quantiles struct {
	P50  float64 `json:"p50Us"`
	P99  float64 `json:"p99Us"`
	P999 float64 `json:"p999Us"`
	Max  float64 `json:"maxUs"`
}

// quantilesOf returns the quantiles of h. They are 0 for an empty histogram, for which h.Max returns the width of the
// first bucket.
func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		P50:  micros(h.ValueAtPercentile(50)),
		P99:  micros(h.ValueAtPercentile(99)),
		P999: micros(h.ValueAtPercentile(99.9)),
		Max:  micros(h.Max()),
	}
}

// micros converts nanoseconds to microseconds.
func micros(ns int64) float64 { return float64(ns) / float64(time.Microsecond) }

// minus returns the differences of the quantiles, which are not the quantiles of the differences.
func (q Quantiles) minus(o Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - o.P50, P99: q.P99 - o.P99, P999: q.P999 - o.P999, Max: q.Max - o.Max}
}

// Row reports one class or path. Its times are those of calls that were done.
type Row struct {
	Name     string            `json:"name"`
	Calls    uint64            `json:"calls"`
	Outcomes map[string]uint64 `json:"outcomes"`
	Codes    map[string]uint64 `json:"codes"`
	// DonePerSecond is the rate of calls that were done.
	DonePerSecond float64 `json:"donePerSecond"`
	// Latency counts from the time at which a call was due.
	Latency Quantiles `json:"latency"`
	// CallTime counts from the time at which a call was sent.
	CallTime Quantiles `json:"callTime"`
	// RefusalTime is the call time of calls that were not run.
	RefusalTime Quantiles `json:"refusalTime"`
}

func newRow(name string, g *groupStats, seconds float64) Row {
	r := Row{Name: name, Outcomes: g.outcomes, Codes: g.codes}
	for _, n := range g.outcomes {
		r.Calls += n
	}
	if seconds > 0 {
		r.DonePerSecond = float64(g.outcomes[types.OutcomeDone.String()]) / seconds
	}
	r.Latency = quantilesOf(g.latency)
	r.CallTime = quantilesOf(g.callTime)
	r.RefusalTime = quantilesOf(g.refusal)
	return r
}

// Report is the result of a run, as it is printed.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Skipped counts calls that were not made because all workers were busy and the ring was full.
	Skipped uint64  `json:"skipped"`
	Rows    []Row   `json:"rows"`
	Outages Outages `json:"outages"`
	// Added is the call time of the gateway path minus that of the direct path. Only compare sets it.
	Added *Quantiles `json:"added,omitempty"`
}

// report returns a report without rows.
func (s *Stats) report() Report {
	return Report{Seconds: s.end.Sub(s.begin).Seconds(), Skipped: s.Skipped, Outages: s.outageTracker.report()}
}

// ByClass reports each class that was called, and all calls through gateways together.
func (s *Stats) ByClass() Report {
	r := s.report()
	for c, g := range s.classes {
		if row := newRow(types.Class(c).String(), g, r.Seconds); row.Calls > 0 {
			r.Rows = append(r.Rows, row)
		}
	}
	r.Rows = append(r.Rows, newRow("all", s.paths[PathGateway], r.Seconds))
	return r
}

// ByPath reports the gateway path, the direct path and their difference.
func (s *Stats) ByPath() Report {
	r := s.report()
	for p, g := range s.paths {
		r.Rows = append(r.Rows, newRow(Path(p).String(), g, r.Seconds))
	}
	added := r.Rows[PathGateway].CallTime.minus(r.Rows[PathDirect].CallTime)
	r.Added = &added
	return r
}

// Done returns the number of calls that were done in the row with the given name.
func (r Report) Done(name string) uint64 {
	i := slices.IndexFunc(r.Rows, func(row Row) bool { return row.Name == name })
	if i < 0 {
		return 0
	}
	return r.Rows[i].Outcomes[types.OutcomeDone.String()]
}

// PrintTable writes the report as a table for people, with times in microseconds.
func (r Report) PrintTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "µs\tcalls\tdone/s\tlatency p50\tp99\tp99.9\tcall p50\tp99\tp99.9\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%s\t%s\t\n", row.Name, row.Calls, row.DonePerSecond, formatQuantiles(row.Latency), formatQuantiles(row.CallTime))
	}
	if r.Added != nil {
		fmt.Fprintf(t, "gateway - direct\t\t\t\t\t\t%s\t\n", formatQuantiles(*r.Added))
	}
	if err := t.Flush(); err != nil {
		return types.WrapFault(types.CodeInternal, err, "print table")
	}
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s: %srefusal p99 %.0f µs\n", row.Name, formatCounts(row.Outcomes)+formatCounts(row.Codes), row.RefusalTime.P99)
	}
	fmt.Fprintf(w, "keys out of service: %d outages, p99 %.0f µs, longest %.0f µs, %d still out\n",
		r.Outages.Ended, r.Outages.Time.P99, r.Outages.Time.Max, r.Outages.Open)
	fmt.Fprintf(w, "%.2f s, %d calls skipped\n", r.Seconds, r.Skipped)
	return nil
}

// formatQuantiles returns three cells of the table.
func formatQuantiles(q Quantiles) string {
	return fmt.Sprintf("%.0f\t%.0f\t%.0f", q.P50, q.P99, q.P999)
}

// formatCounts returns "NAME=COUNT " for each entry, sorted by name.
func formatCounts(m map[string]uint64) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s=%d ", name, m[name])
	}
	return text
}

// PrintJSON writes the report as one line of JSON.
func (r Report) PrintJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return types.WrapFault(types.CodeInternal, err, "print report")
	}
	return nil
}
