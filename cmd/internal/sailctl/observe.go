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

// groupObserve is the help group of the commands that only read.
const groupObserve = "observing"

func (a *app) statusCommand() *command {
	c := &command{
		name: "status", group: groupObserve, usage: "status",
		synopsis: "Print the state of the store and the processes and its age; works during a store outage",
	}
	c.run = func(ctx context.Context, args []string) int {
		if len(args) != 0 {
			return a.usage(c)
		}
		code := ExitOK
		sessionCode := a.withSession(ctx, func(s *session) error {
			last := loadSnapshot(s.settings.SnapshotFile)
			snapshot := s.Snapshot(ctx, last)
			if err := saveSnapshot(s.settings.SnapshotFile, snapshot); err != nil {
				a.notef("%s: cannot save the snapshot: %v", s.settings.SnapshotFile, err)
			}
			code = statusExitCode(snapshot)
			return a.print(snapshotJSON{snapshot, snapshot.InForce()}, func() { a.printSnapshot(snapshot) })
		})
		return max(sessionCode, code)
	}
	return c
}

// snapshotJSON is the JSON output of status.
type snapshotJSON struct {
	operator.Snapshot
	// InForce is true when the store and every process answer and every process follows the version that the store holds.
	InForce bool `json:"inForce"`
}

// statusExitCode returns the exit code of status, which tells scripts whether the store answers and whether every process
// follows its version.
func statusExitCode(snapshot operator.Snapshot) int {
	switch {
	case snapshot.Store.Error != "":
		return ExitStoreUnavailable
	case !snapshot.InForce():
		return ExitUnconfirmed
	}
	return ExitOK
}

func (a *app) printSnapshot(snapshot operator.Snapshot) {
	a.printStore(snapshot)
	a.printf("\n")
	a.printProcesses(snapshot)
}

func (a *app) printStore(snapshot operator.Snapshot) {
	switch {
	case snapshot.Store.Error != "" && snapshot.Store.SeenAt == nil:
		a.printf("store: no answer: %s\n", snapshot.Store.Error)
		return
	case snapshot.Store.Error != "":
		a.printf("store: no answer: %s\n", snapshot.Store.Error)
		a.printf("version %d, seen %s\n", snapshot.Store.Version, formatAge(snapshot.At, snapshot.Store.SeenAt))
	case snapshot.Store.Version == 0:
		a.printf("store: answers, no configuration yet\n")
	default:
		a.printf("store: answers, version %d\n", snapshot.Store.Version)
	}
	a.printOutOfService(snapshot.Store.Rows)
}

// printOutOfService lists the data centres, VMs and targets that are not in service.
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

func (a *app) printProcesses(snapshot operator.Snapshot) {
	rows := [][]string{}
	for _, v := range snapshot.Processes {
		rows = append(rows, processRow(snapshot.At, v))
	}
	a.printTable("PROCESS DC STATE CONFIG OPS LEASES SLOTS WAITING RUNNING SEEN", rows)
}

// processRow returns the table row for a process. Its columns are those of printProcesses.
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

// processState returns the state of a process whose status has been read at least once.
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
		synopsis: "Print every change of the configuration and the operators' rows as it happens",
	}
	c.flags = func(f *flag.FlagSet) {
		f.DurationVar(&limit, "for", 0, "stop after this time; 0 runs until interrupted")
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
