// Command standin-target runs substitutes for one or more targets, for tests and the demo. They can inject faults.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"sequoiasail.example/duty"
	"sequoiasail.example/standin/process"
	"sequoiasail.example/standin/target"
)

func main() {
	arguments := target.AddFlags(flag.CommandLine)
	flag.Parse()
	os.Exit(process.Run(func(ctx context.Context, g *duty.Group) error {
		started, err := arguments.Start(ctx, g)
		for _, t := range started {
			fmt.Println("listening on", t.Address, t.Service, t.Name)
		}
		return err
	}))
}
