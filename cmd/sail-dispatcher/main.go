// Command sail-dispatcher holds target leases and sends requests to targets.
package main

import (
	"context"
	"os"

	"sequoiasail.example/daemon/dispatcher"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/settings/startup"
)

func main() {
	s := &dispatcher.Settings{}
	os.Exit(startup.Main(startup.Program{
		Name:     "sail-dispatcher",
		Settings: s,
		Run: func(ctx context.Context) error {
			d, err := dispatcher.New(s, process.Options{})
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}))
}
