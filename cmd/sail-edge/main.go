// Command sail-edge is the daemon of an entry VM on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sequoiasail.example/daemon/edge"
	"sequoiasail.example/platform"
	"sequoiasail.example/settings/startup"
)

func main() { os.Exit(run()) }

func run() int {
	file := flag.String("settings", platform.SettingsFile(), "read the settings from `FILE` (JSON)")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(startup.VersionLine("sail-edge"))
		return startup.ExitOK
	}
	settings, err := read(*file)
	if err != nil {
		startup.Report(os.Stderr, *file, err)
		return startup.ExitSettings
	}
	if *check {
		fmt.Printf("%s: settings are valid\n", *file)
		return startup.ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	if err := edge.New(settings, *file, os.Stdout).Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "sail-edge: %v\n", err)
		return startup.ExitFailed
	}
	return startup.ExitOK
}

func read(file string) (platform.Settings, error) {
	data, err := startup.ReadFile(file)
	if err != nil {
		return platform.Settings{}, err
	}
	return platform.DecodeSettings(data)
}
