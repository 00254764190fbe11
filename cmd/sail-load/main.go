// Command sail-load sends requests through gateways at a fixed rate and measures their latencies.
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
