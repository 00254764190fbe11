// Command sail-edge is the daemon of an entry VM on the users' platform. It accepts the requests of callers and sends
// them straight to the targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"sequoiasail.example/daemon/capacity"
	"sequoiasail.example/daemon/edge"
	"sequoiasail.example/platform"
	"sequoiasail.example/settings/startup"
	"sequoiasail.example/types"
)

func main() {
	var settings platform.Settings
	var own edge.OwnSettings
	platformFile := platform.SettingsFile()
	os.Exit(startup.Main(startup.Program{
		Name: "sail-edge",
		Base: &startup.Base{File: platformFile, Load: func(file string) (err error) {
			if file == "" {
				return types.NewFault(types.CodeBadSettings, "the environment names no settings file of the platform")
			}
			settings, err = edge.ReadSettings(file)
			return err
		}},
		Settings: &own,
		Run: func(ctx context.Context) error {
			signal.Ignore(syscall.SIGPIPE)
			if limit, known := capacity.RuntimeLimit(settings.MemoryBytes); known {
				debug.SetMemoryLimit(limit)
			}
			e := edge.New(settings, platformFile, os.Stdout)
			e.Own = own
			return e.Run(ctx)
		},
	}))
}
