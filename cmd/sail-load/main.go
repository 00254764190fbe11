// Command sail-load measures latencies under load at a fixed rate.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"sequoiasail.example/cmd/internal/load"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&load.RunCommand{}, "")
	subcommands.Register(&load.CompareCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
