package sailctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"sequoiasail.example/settings/startup"
	"sequoiasail.example/transport/store"

	"sequoiasail.example/cmd/internal/operator"
)

const programName = "sailctl"

// Environment holds the arguments, streams, clock and write identifiers of one run of sailctl. Tests replace them.
type Environment struct {
	// Args are the command line arguments without the program name.
	Args           []string
	Stdout, Stderr io.Writer
	// Now returns the wall-clock time.
	Now func() time.Time
	// NewWriteID returns a generator of write identifiers for an operator.
	NewWriteID func(operator string) func() string
	// PollInterval is the time between two status polls while a command waits for the processes.
	PollInterval time.Duration
}

// Main runs sailctl with the arguments, streams, clock and signals of the process, and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, Environment{
		Args: os.Args[1:], Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now, NewWriteID: operator.RandomWriteID,
		PollInterval: operator.DefaultPollInterval,
	})
}

// Run runs one command line and returns the exit code.
func Run(ctx context.Context, env Environment) int {
	top := flag.NewFlagSet(programName, flag.ContinueOnError)
	top.SetOutput(env.Stderr)
	a := &app{env: env}
	top.StringVar(&a.settingsFile, "settings", os.Getenv("SAILCTL_SETTINGS"),
		"read the settings from `FILE` (JSON); default $SAILCTL_SETTINGS")
	top.BoolVar(&a.json, "json", false, "print JSON for scripts")
	checkSettings := top.Bool("check", false, "check the settings and exit")
	version := top.Bool("version", false, "print the version and exit")
	commander := a.commander(top)
	if err := top.Parse(env.Args); err != nil {
		if err == flag.ErrHelp {
			return ExitOK
		}
		return ExitRefused
	}
	switch {
	case *version:
		fmt.Fprintln(env.Stdout, startup.VersionLine(programName))
		return ExitOK
	case *checkSettings:
		return a.checkSettings()
	}
	return int(commander.Execute(ctx))
}

// commander returns the dispatcher for all subcommands.
func (a *app) commander(top *flag.FlagSet) *subcommands.Commander {
	c := subcommands.NewCommander(top, programName)
	c.Output, c.Error = a.env.Stdout, a.env.Stderr
	c.Register(c.HelpCommand(), "help")
	c.Register(c.FlagsCommand(), "help")
	for _, cmd := range a.allCommands() {
		c.Register(cmd, cmd.group)
	}
	explain := c.Explain
	c.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, exitHelp)
	}
	return c
}

// app holds the environment and the top-level flags, which all commands share.
type app struct {
	env          Environment
	settingsFile string
	json         bool
}

// checkSettings implements the flag -check.
func (a *app) checkSettings() int {
	var s Settings
	if err := startup.Read(a.settingsFile, &s); err != nil {
		startup.Report(a.env.Stderr, a.settingsFile, err)
		return ExitRefused
	}
	fmt.Fprintf(a.env.Stdout, "%s: settings are valid\n", a.settingsFile)
	return ExitOK
}

// session holds the settings and the connections to the store and the processes for one command.
type session struct {
	*operator.Operator
	settings Settings
	fleet    *operator.HTTPFleet
	store    *store.Layout
}

// openSession reads the settings, connects to the store and starts the duties that query the processes.
func (a *app) openSession(ctx context.Context) (*session, error) {
	s := &session{}
	if err := startup.Read(a.settingsFile, &s.settings); err != nil {
		return nil, err
	}
	operatorName := s.settings.Operator
	if operatorName == "" {
		operatorName = currentUser()
	}
	fleet, err := operator.StartFleet(ctx, s.settings.processes(), operator.FleetOptions{
		Timeout: s.settings.StatusTimeoutMs.Duration(), Now: a.env.Now, Identity: s.settings.identity(),
	})
	if err != nil {
		return nil, err
	}
	s.fleet = fleet
	s.store = store.Connect(string(s.settings.Store), programName+"-"+operatorName, s.settings.StoreTimeoutMs.Duration())
	s.Operator = &operator.Operator{
		Store: s.store, Fleet: fleet, Name: operatorName, Now: a.env.Now, NewWriteID: a.env.NewWriteID(operatorName),
	}
	return s, nil
}

// close stops the status queries and closes the connections.
func (s *session) close(ctx context.Context) {
	_ = s.fleet.Stop(context.WithoutCancel(ctx)) // an error here cannot affect the result, because queries only read
	s.store.Close()
}

// currentUser returns the name of the user who runs sailctl, the default name of the operator.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
