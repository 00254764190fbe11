package target

import (
	"context"
	"flag"

	"sequoiasail.example/duty"
)

// Arguments holds the values of the flags of cmd/standin-target.
type Arguments struct {
	// settings are those of all targets, before Series or ReadList adapts them to each.
	settings Settings
	count    int
	// list is the path of a file with the settings of each target. If it is empty, count targets are started.
	list string
	// controlAddress is the host:port of the control page, empty for none.
	controlAddress string
}

// AddFlags defines the flags in f and returns the arguments that they set.
func AddFlags(f *flag.FlagSet) *Arguments {
	a := &Arguments{settings: DefaultSettings()}
	s := &a.settings
	f.StringVar(&s.Listen, "listen-base", "127.0.0.1:7100", "host:port of the first target; the others use the ports that follow")
	f.IntVar(&a.count, "count", 1, "number of targets")
	f.StringVar(&a.list, "targets", "", "JSON `FILE` with an array of settings, instead of -listen-base and -count")
	f.StringVar(&a.controlAddress, "control", "", "host:port of the control page for all targets; none if empty")
	f.StringVar(&s.Service, "service", s.Service, "name of the service")
	f.StringVar(&s.Name, "name", s.Name, "prefix of the targets' names")
	f.IntVar(&s.Slots, "slots", s.Slots, "largest number of requests that run at once")
	f.IntVar(&s.Connections, "connections", s.Connections, "largest number of open connections")
	f.BoolVar(&s.ChecksGrants, "checks-grants", s.ChecksGrants, "refuse requests without a valid grant")
	f.BoolVar(&s.Keyed, "keyed", s.Keyed, "refuse requests for hash slots outside the grant")
	f.Float64Var(&s.ServiceMs, "service-ms", s.ServiceMs, "mean run time of a request, in milliseconds")
	f.Int64Var(&s.WarmMs, "warm-ms", s.WarmMs, "duration of the warm-up of a cold target, in milliseconds")
	f.StringVar(&s.ColdMode, "cold-mode", s.ColdMode, "fail or slow: requests above the capacity of a cold target")
	f.Int64Var(&s.HealthLagMs, "health-lag-ms", s.HealthLagMs, "age of health answers, in milliseconds")
	f.Int64Var(&s.LoadLagMs, "load-lag-ms", s.LoadLagMs, "age of load reports, in milliseconds")
	f.BoolVar(&s.JournalReads, "journal-reads", s.JournalReads, "record GET and HEAD requests too")
	f.IntVar(&s.JournalLimit, "journal-limit", s.JournalLimit, "number of requests that a journal holds")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of the first target; the others use the seeds that follow")
	return a
}

// Start starts the targets that the flags describe.
func (a *Arguments) Start(ctx context.Context, g *duty.Group) ([]Started, error) {
	list, err := Series(a.settings, a.count)
	if a.list != "" {
		list, err = ReadList(a.list, a.settings)
	}
	if err != nil {
		return nil, err
	}
	return Start(ctx, g, list, a.controlAddress)
}
