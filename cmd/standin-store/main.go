// Command standin-store is a substitute for the platform's key-value store, for tests and the demo.
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
	listen := flag.String("listen", "127.0.0.1:7070", "host:port of the store")
	history := flag.Int("history", store.DefaultHistory, "number of changes kept for watches")
	flag.Parse()
	os.Exit(process.Run(func(ctx context.Context, g *duty.Group) error {
		address, err := store.Start(ctx, g, store.Options{Listen: *listen, History: *history})
		if err == nil {
			fmt.Println("listening on", address)
		}
		return err
	}))
}
