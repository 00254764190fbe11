package sailctl

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"sequoiasail.example/config"

	"sequoiasail.example/cmd/internal/operator"
)

const groupObserve = "observing"

func (a *app) statusCommand() *command {
	c := &command{
		name: "status", group: groupObserve, usage: "status",
		synopsis: "Print what store and processes say, also while the store is down, and how old that is",
	}
	c.run = func(ctx context.Context, args []string) int {
		if len(args) != 0 {
			return a.usage(c)
		}
		code := ExitOK
		opened := a.withSession(ctx, func(s *session) error {
			last := loadSnapshot(s.settings.SnapshotFile)
			p := s.Snapshot(ctx, last)
			if err := saveSnapshot(s.settings.SnapshotFile, p); err != nil {
				a.notef("%s: cannot keep the snapshot: %v", s.settings.SnapshotFile, err)
			}
			code = statusExitCode(p)
			return a.print(snapshotJSON{p, p.InForce()}, func() { a.printSnapshot(p) })
		})
		return max(opened, code)
	}
	return c
}

// snapshotJSON is a snapshot for scripts.
type snapshotJSON struct {
	operator.Snapshot
	// InForce is true when every process follows the version that the store holds.
	InForce bool `json:"inForce"`
}

// statusExitCode returns the exit code for scripts: whether the store answers and its version is in force everywhere.
func statusExitCode(p operator.Snapshot) int {
	switch {
	case p.Store.Error != "":
		return ExitStoreUnavailable
	case !p.InForce():
		return ExitUnconfirmed
	}
	return ExitOK
}

func (a *app) printSnapshot(p operator.Snapshot) {
	a.printStore(p)
	a.printf("\n")
	a.printProcesses(p)
}

func (a *app) printStore(p operator.Snapshot) {
	switch {
	case p.Store.Error != "" && p.Store.SeenAt == nil:
		a.printf("store: no answer: %s\n", p.Store.Error)
		return
	case p.Store.Error != "":
		a.printf("store: no answer: %s\n", p.Store.Error)
		a.printf("version %d, seen %s\n", p.Store.Version, formatAge(p.At, p.Store.SeenAt))
	case p.Store.Version == 0:
		a.printf("store: answers, no configuration yet\n")
	default:
		a.printf("store: answers, version %d\n", p.Store.Version)
	}
	a.printOutOfService(p.Store.Rows)
}

// printOutOfService lists what is not in service.
func (a *app) printOutOfService(rows map[string]config.OpsRow) {
	lines := [][]string{}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		if r := rows[key]; !r.State.AcceptsNewWork() {
			lines = append(lines, []string{key, string(r.State), r.Operator, r.At, orDash(r.Note)})
		}
	}
	if len(lines) == 0 {
		a.printf("everything is in service\n")
		return
	}
	a.printf("\n")
	a.printTable("ROW STATE OPERATOR AT NOTE", lines)
}

func (a *app) printProcesses(p operator.Snapshot) {
	rows := [][]string{}
	for _, v := range p.Processes {
		rows = append(rows, processRow(p.At, v))
	}
	a.printTable("PROCESS DC STATE CONFIG OPS LEASES SLOTS WAITING RUNNING SEEN", rows)
}

func processRow(now time.Time, v operator.ProcessView) []string {
	if v.Status == nil {
		return []string{v.Process, "-", "no answer", "-", "-", "-", "-", "-", "-", formatAge(now, v.SeenAt)}
	}
	s := v.Status
	slots, waiting, inFlight := 0, 0, 0
	for _, l := range s.Leases {
		slots += l.Slots
	}
	for _, q := range s.Queues {
		waiting += q.Waiting
		inFlight += q.InFlight
	}
	return []string{
		v.Process, s.DataCentre, processState(v), strconv.FormatUint(s.ConfigVersion, 10), strconv.FormatUint(s.OpsRevision, 10),
		strconv.Itoa(len(s.Leases)), strconv.Itoa(slots), strconv.Itoa(waiting), strconv.Itoa(inFlight), formatAge(now, v.SeenAt),
	}
}

func processState(v operator.ProcessView) string {
	switch {
	case v.Error != "":
		return "no answer"
	case v.Status.Draining:
		return "draining"
	case !v.Status.Ready:
		return "starting"
	case v.Status.Planner:
		return "ready, planner"
	}
	return "ready"
}

func (a *app) watchCommand() *command {
	var limit time.Duration
	c := &command{
		name: "watch", group: groupObserve, usage: "watch [-for DURATION]",
		synopsis: "Print every change of configuration and operators' rows as it happens",
	}
	c.flags = func(f *flag.FlagSet) {
		f.DurationVar(&limit, "for", 0, "stop after this time; 0 goes on until interrupted")
	}
	c.run = func(ctx context.Context, args []string) int {
		if len(args) != 0 {
			return a.usage(c)
		}
		if limit > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, limit)
			defer cancel()
		}
		return a.withSession(ctx, func(s *session) error { return s.Watch(ctx, a.printWatchEvent) })
	}
	return c
}

func (a *app) printWatchEvent(n operator.WatchEvent) {
	_ = a.print(n, func() {
		what := n.Text
		if n.Key != "" {
			what = fmt.Sprintf("%s version %d: %s", n.Key, n.Version, n.Text)
		}
		a.printf("%s  %s\n", n.At.UTC().Format(time.RFC3339), what)
	})
}
