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

// print writes v as JSON, or calls human.
func (a *app) print(v any, human func()) error {
	if !a.json {
		human()
		return nil
	}
	e := json.NewEncoder(a.env.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot print")
	}
	return nil
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.env.Stdout, format, args...) }

// printTable prints rows below a header.
func (a *app) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// printProgress prints how far a change has come.
func (a *app) printProgress(p operator.Progress) {
	a.notef("%d of %d processes confirmed", p.Done, p.Total)
	for _, w := range p.Pending {
		a.notef("  %s", w)
	}
	if len(p.Unreachable) > 0 {
		a.notef("  no answer: %s", strings.Join(p.Unreachable, ", "))
	}
}

// formatAge returns how long ago seen was, for people.
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
