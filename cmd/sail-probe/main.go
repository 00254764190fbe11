// Command sail-probe sends requests through gateways and checks that callers get the right answers.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"sequoiasail.example/cmd/internal/probe"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&probe.ReadyCommand{}, "")
	subcommands.Register(&probe.LoadCommand{}, "")
	subcommands.Register(&probe.AuditCommand{}, "")
	subcommands.Register(&probe.TargetsCommand{}, "")
	subcommands.Register(&probe.FaultCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
