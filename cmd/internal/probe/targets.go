package probe

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// TargetsCommand is the targets subcommand, which prints the settings of stand-in targets for a configuration.
type TargetsCommand struct {
	configPath string
}

// Name implements subcommands.Command.
func (*TargetsCommand) Name() string { return "targets" }

// Synopsis implements subcommands.Command.
func (*TargetsCommand) Synopsis() string {
	return "print the -targets file of standin-target for a configuration"
}

// Usage implements subcommands.Command.
func (*TargetsCommand) Usage() string { return "targets -config FILE\n" }

// SetFlags implements subcommands.Command.
func (c *TargetsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.configPath, "config", "", "generated configuration `FILE`")
}

// standInTarget is the part of the settings of a stand-in target that the configuration determines.
type standInTarget struct {
	Service      types.Service `json:"service"`
	Name         types.Target  `json:"name"`
	Listen       string        `json:"listen"`
	Slots        int           `json:"slots"`
	Connections  int           `json:"connections"`
	ChecksGrants bool          `json:"checksGrants"`
	Keyed        bool          `json:"keyed"`
}

// Execute implements subcommands.Command.
func (c *TargetsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	data, err := os.ReadFile(c.configPath)
	if err != nil {
		return fail(err)
	}
	cfg, err := decodeConfiguration(data)
	if err != nil {
		return fail(err)
	}
	out, err := json.MarshalIndent(standInTargets(cfg), "", "  ")
	if err != nil {
		return fail(err)
	}
	fmt.Println(string(out))
	return subcommands.ExitSuccess
}

// standInTargets returns the settings of one stand-in target for each target of the configuration.
func standInTargets(cfg config.Configuration) []standInTarget {
	var out []standInTarget
	for _, service := range cfg.Services {
		for _, t := range service.Targets {
			out = append(out, standInTarget{
				Service:      service.Name,
				Name:         t.Name,
				Listen:       t.Address,
				Slots:        t.Slots,
				Connections:  t.Connections,
				ChecksGrants: service.ChecksGrants,
				Keyed:        service.Keyed,
			})
		}
	}
	return out
}
