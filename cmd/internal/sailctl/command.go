package sailctl

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"sequoiasail.example/types"
)

// command describes one subcommand. It implements subcommands.Command.
type command struct {
	name, group, synopsis, usage string
	// details is shown after the synopsis in the help. Optional.
	details string
	// flags defines the flags of the subcommand. Optional.
	flags func(*flag.FlagSet)
	// run executes the subcommand and returns the exit code.
	run func(ctx context.Context, args []string) int
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return programName + " " + c.usage + "\n\n" + c.synopsis + ".\n" + c.details + exitHelp + "\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitStatus(c.run(ctx, f.Args()))
}

// usage reports invalid arguments for c and returns the exit code.
func (a *app) usage(c *command) int {
	return a.fail("", types.NewFault(types.CodeBadRequest, "usage: %s %s", programName, c.usage))
}

func (a *app) allCommands() []*command {
	return []*command{
		a.checkCommand(), a.generateCommand(), a.explainCommand(), a.diffCommand(), a.applyCommand(), a.reapplyCommand(),
		a.historyCommand(), a.statusCommand(), a.watchCommand(), a.traceCommand(),
		a.dataCentreCommand(), a.vmCommand(), a.targetCommand(),
	}
}

// withSession opens a session, calls run with it, prints its error and returns the exit code.
func (a *app) withSession(ctx context.Context, run func(*session) error) int {
	s, err := a.openSession(ctx)
	if err != nil {
		return a.fail(a.settingsFile, err)
	}
	defer s.close(ctx)
	if err := run(s); err != nil {
		return a.fail("", err)
	}
	return ExitOK
}

// notef prints a line to standard error, for messages that are not part of the result.
func (a *app) notef(format string, args ...any) { fmt.Fprintf(a.env.Stderr, format+"\n", args...) }
