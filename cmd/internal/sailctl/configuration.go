package sailctl

import (
	"context"
	"flag"
	"strconv"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

const (
	// groupConfiguration is the help group of the commands that show or change the configuration.
	groupConfiguration = "configuration"
	// unsetVersion is the value of a version flag that was not given. 0 means that there is no version in force yet.
	unsetVersion = -1
	// writeTimeout bounds a write, including the attempts to find out its result after a lost answer.
	writeTimeout = 10 * time.Second
)

func (a *app) diffCommand() *command {
	from, to := int64(unsetVersion), int64(unsetVersion)
	c := &command{
		name: "diff", group: groupConfiguration, usage: "diff [-from VERSION] (ANSWERS | -to VERSION)",
		synopsis: "Print what a revision changes and which keys it moves, compared to the configuration in force",
	}
	c.flags = func(f *flag.FlagSet) {
		f.Int64Var(&from, "from", unsetVersion, "compare to this `VERSION` instead of the one in force")
		f.Int64Var(&to, "to", unsetVersion, "compare this `VERSION` of the history instead of answers")
	}
	c.run = func(ctx context.Context, args []string) int {
		if (len(args) == 1) == (to != unsetVersion) || len(args) > 1 {
			return a.usage(c)
		}
		var after config.Configuration
		if len(args) == 1 {
			var code int
			if after, code = a.generateFromFile(args[0]); code != ExitOK {
				return code
			}
		}
		return a.withSession(ctx, func(s *session) error {
			before, err := s.configuration(ctx, from)
			if err == nil && to != unsetVersion {
				after, err = s.configuration(ctx, to)
			}
			if err != nil {
				return err
			}
			return a.printDifference(before, config.Diff(before, after))
		})
	}
	return c
}

// generateFromFile generates the configuration from the answers in file. It prints any error and returns the exit code.
func (a *app) generateFromFile(file string) (config.Configuration, int) {
	answers, err := readAnswers(file)
	if err != nil {
		return config.Configuration{}, a.fail(file, err)
	}
	c, err := config.Generate(answers)
	if err != nil {
		return config.Configuration{}, a.fail(file, err)
	}
	return c, ExitOK
}

// configuration reads version v from the history, or the configuration in force when v is unsetVersion.
func (s *session) configuration(ctx context.Context, v int64) (config.Configuration, error) {
	if v == unsetVersion {
		now, err := s.Current(ctx)
		return now.Configuration, err
	}
	r, err := s.Record(ctx, types.Version(v))
	return r.Configuration, err
}

func (a *app) printDifference(before config.Configuration, d config.Difference) error {
	return a.print(struct {
		From types.Version `json:"from"`
		config.Difference
	}{before.Version, d}, func() {
		if d.Empty() {
			a.printf("no change from version %d\n", before.Version)
			return
		}
		rows := [][]string{}
		for _, c := range d.Changes {
			rows = append(rows, []string{c.Path, orDash(c.Before), orDash(c.After), c.Effect})
		}
		a.printf("from version %d\n", before.Version)
		a.printTable("VALUE BEFORE AFTER EFFECT", rows)
		for _, m := range d.Moves {
			a.printf("%s: at least %d of %d slots move: %s\n", m.Service, m.Slots, m.TableSlots, m.Why)
		}
	})
}

// applyFlags holds the flags of the commands that put a configuration in force.
type applyFlags struct {
	expect int64
	note   string
	wait   time.Duration
}

// register defines the flags on f.
func (w *applyFlags) register(f *flag.FlagSet) {
	f.Int64Var(&w.expect, "expect", unsetVersion, "the `VERSION` that must be in force, as seen by you; 0 for none (required)")
	f.StringVar(&w.note, "note", "", "the reason, for the history")
	f.DurationVar(&w.wait, "wait", 0, "wait this long until every process follows the version, and show progress")
}

func (a *app) applyCommand() *command {
	var w applyFlags
	c := &command{
		name: "apply", group: groupConfiguration, usage: "apply -expect VERSION [-note TEXT] [-wait DURATION] ANSWERS",
		synopsis: "Generate a configuration from answers and put it in force, if the expected version is in force",
		flags:    w.register,
	}
	c.run = func(ctx context.Context, args []string) int {
		if len(args) != 1 || w.expect < 0 {
			return a.usage(c)
		}
		generated, code := a.generateFromFile(args[0])
		if code != ExitOK {
			return code
		}
		return a.withSession(ctx, func(s *session) error {
			return a.applyAndWait(ctx, s, w, func(ctx context.Context) (operator.ApplyResult, error) {
				return s.Apply(ctx, operator.ApplyRequest{Configuration: generated, Expect: types.Version(w.expect), Note: w.note})
			})
		})
	}
	return c
}

func (a *app) reapplyCommand() *command {
	var w applyFlags
	c := &command{
		name: "reapply", group: groupConfiguration, usage: "reapply -expect VERSION [-note TEXT] [-wait DURATION] EARLIER-VERSION",
		synopsis: "Put the content of an earlier version in force as a new version",
		flags:    w.register,
	}
	c.run = func(ctx context.Context, args []string) int {
		if len(args) != 1 || w.expect < 0 {
			return a.usage(c)
		}
		earlier, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return a.usage(c)
		}
		return a.withSession(ctx, func(s *session) error {
			return a.applyAndWait(ctx, s, w, func(ctx context.Context) (operator.ApplyResult, error) {
				return s.Reapply(ctx, types.Version(earlier), types.Version(w.expect), w.note)
			})
		})
	}
	return c
}

// applyAndWait calls write, prints its result and, if w.wait is set, waits until every process follows the new version.
func (a *app) applyAndWait(
	ctx context.Context, s *session, w applyFlags, write func(context.Context) (operator.ApplyResult, error),
) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	out, err := write(bounded)
	if err != nil {
		return err
	}
	if err := a.print(out, func() { a.printApplyResult(out) }); err != nil {
		return err
	}
	if w.wait == 0 {
		return nil
	}
	bounded, cancel = context.WithTimeout(ctx, w.wait)
	defer cancel()
	_, err = s.AwaitVersion(bounded, out.Version, a.env.PollInterval, a.printProgress)
	return err
}

func (a *app) printApplyResult(out operator.ApplyResult) {
	switch {
	case out.Unchanged:
		a.printf("version %d has this content already; nothing was written\n", out.Version)
	case out.ReplacedBy != 0:
		a.printf("version %d was accepted and has since been replaced by version %d\n", out.Version, out.ReplacedBy)
	default:
		a.printf("version %d accepted\n", out.Version)
	}
	if out.RecordMissing {
		a.notef("the history record of version %d could not be written; the next apply writes it", out.Version)
	}
}

func (a *app) historyCommand() *command {
	var count int
	c := &command{
		name: "history", group: groupConfiguration, usage: "history [-n COUNT]",
		synopsis: "List the newest versions with operator, time and note",
	}
	c.flags = func(f *flag.FlagSet) { f.IntVar(&count, "n", 20, "number of versions") }
	c.run = func(ctx context.Context, args []string) int {
		if len(args) != 0 || count < 1 {
			return a.usage(c)
		}
		return a.withSession(ctx, func(s *session) error {
			records, err := s.History(ctx, count)
			if err != nil {
				return err
			}
			return a.print(records, func() { a.printHistory(records) })
		})
	}
	return c
}

func (a *app) printHistory(records []config.Record) {
	rows := [][]string{}
	for _, r := range records {
		note := r.Note
		if r.ReapplyOf != 0 {
			note = "reapplies " + strconv.FormatUint(uint64(r.ReapplyOf), 10) + " " + note
		}
		rows = append(rows, []string{strconv.FormatUint(uint64(r.Version), 10), orDash(r.At), orDash(r.Operator), orDash(note)})
	}
	a.printTable("VERSION AT OPERATOR NOTE", rows)
}
