package sailctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// print writes v as JSON if the flag -json is set, and calls human otherwise.
func (a *app) print(v any, human func()) error {
	if !a.json {
		human()
		return nil
	}
	e := json.NewEncoder(a.env.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot write the output")
	}
	return nil
}

// printf prints to standard output.
func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.env.Stdout, format, args...) }

// printTable prints rows in aligned columns below header, whose column names are separated by spaces.
func (a *app) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// printProgress prints which processes have not confirmed a change yet.
func (a *app) printProgress(p operator.Progress) {
	a.notef("%d of %d processes confirmed", p.Done, p.Total)
	for _, w := range p.Pending {
		a.notef("  %s", w)
	}
	if len(p.Unreachable) > 0 {
		a.notef("  no answer: %s", strings.Join(p.Unreachable, ", "))
	}
}

// formatAge returns the time since seen in readable form.
func formatAge(now time.Time, seen *time.Time) string {
	if seen == nil {
		return "never seen"
	}
	d := now.Sub(*seen)
	if d < time.Second {
		return "now"
	}
	return d.Truncate(time.Second).String() + " ago"
}

// orDash returns s, or "-" when it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
