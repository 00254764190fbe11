// Command sail-gateway accepts callers' requests and routes them to dispatchers.
package main

import (
	"context"
	"os"

	"sequoiasail.example/daemon/gateway"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/settings/startup"
)

func main() {
	s := &gateway.Settings{}
	os.Exit(startup.Main(startup.Program{
		Name:     "sail-gateway",
		Settings: s,
		Run:      func(ctx context.Context) error { return gateway.New(s, process.Options{}).Run(ctx) },
	}))
}
