// Command standin-target is a substitute for one or many targets, for tests and the demo.
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
	s := target.DefaultSettings()
	flag.StringVar(&s.Listen, "listen-base", "127.0.0.1:7100", "host:port of the first target; the others follow")
	count := flag.Int("count", 1, "number of targets")
	list := flag.String("targets", "", "JSON file with an array of target settings, instead of -listen-base and -count")
	flag.StringVar(&s.Service, "service", s.Service, "name of the service")
	flag.StringVar(&s.Name, "name", s.Name, "start of the targets' names")
	flag.IntVar(&s.Slots, "slots", s.Slots, "number of requests that run at once")
	flag.IntVar(&s.Connections, "connections", s.Connections, "number of open connections")
	flag.BoolVar(&s.ChecksGrants, "checks-grants", s.ChecksGrants, "refuse requests without a valid grant")
	flag.BoolVar(&s.Keyed, "keyed", s.Keyed, "refuse requests for slots outside the grant")
	flag.Float64Var(&s.ServiceMs, "service-ms", s.ServiceMs, "mean time that a request runs, in milliseconds")
	flag.Int64Var(&s.WarmMs, "warm-ms", s.WarmMs, "time until a cold target bears full load, in milliseconds")
	flag.StringVar(&s.ColdMode, "cold-mode", s.ColdMode, "fail or slow: requests above what a cold target bears")
	flag.Int64Var(&s.HealthLagMs, "health-lag-ms", s.HealthLagMs, "age of health answers, in milliseconds")
	flag.Int64Var(&s.LoadLagMs, "load-lag-ms", s.LoadLagMs, "age of load reports, in milliseconds")
	flag.BoolVar(&s.JournalReads, "journal-reads", s.JournalReads, "record GET and HEAD requests too")
	flag.IntVar(&s.JournalLimit, "journal-limit", s.JournalLimit, "number of requests that a journal holds")
	flag.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the first target; the others follow")
	flag.Parse()
	os.Exit(process.Run(func(ctx context.Context, g *duty.Group) error {
		return start(ctx, g, s, *list, *count)
	}))
}

func start(ctx context.Context, g *duty.Group, s target.Settings, list string, count int) error {
	targets, err := target.Series(s, count)
	if list != "" {
		targets, err = target.ReadList(list, s)
	}
	if err != nil {
		return err
	}
	started, err := target.Start(ctx, g, targets)
	for _, t := range started {
		fmt.Println("listening on", t.Address, t.Service, t.Name)
	}
	return err
}
