// Command standin-store is a substitute for the platform's key-value store, for tests and the demo. It can inject
// faults.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"sequoiasail.example/duty"
	"sequoiasail.example/standin/process"
	"sequoiasail.example/standin/store"
)

func main() {
	options := store.AddFlags(flag.CommandLine)
	flag.Parse()
	os.Exit(process.Run(func(ctx context.Context, g *duty.Group) error {
		address, err := store.Start(ctx, g, *options)
		if err == nil {
			fmt.Println("listening on", address)
		}
		return err
	}))
}
