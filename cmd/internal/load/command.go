package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// flags holds the flags that the run and compare subcommands share.
type flags struct {
	configPath string
	gateways   string
	services   string
	keys       int
	skew       float64
	seed       uint64
	name       string
	json       string
	options    Options
}

// register declares the flags in s.
func (f *flags) register(s *flag.FlagSet) {
	s.StringVar(&f.configPath, "config", "", "generated configuration `FILE`")
	s.StringVar(&f.gateways, "gateways", "", "host:port of the gateways, separated by commas")
	s.StringVar(&f.services, "services", "", "names of the services, separated by commas; all when empty")
	s.IntVar(&f.keys, "keys", 1000, "number of keys of each service")
	s.Float64Var(&f.skew, "skew", DefaultSkew, "exponent of the Zipf distribution of keys; 0 calls all equally often")
	s.Uint64Var(&f.seed, "seed", 1, "seed of the choice of class, service and key")
	s.StringVar(&f.name, "name", fmt.Sprintf("load-%d", os.Getpid()), "prefix of all request identifiers")
	s.StringVar(&f.json, "json", "-", "write the report as JSON to `FILE`; - for the standard output")
	s.IntVar(&f.options.PerSecond, "rate", 1000, "calls per second")
	s.DurationVar(&f.options.Duration, "duration", 5*time.Second, "how long to make calls")
	s.IntVar(&f.options.Workers, "workers", 256, "calls in progress at once")
	s.DurationVar(&f.options.Timeout, "timeout", 5*time.Second, "time limit for one call")
}

// plan reads the configuration and returns the plan that the flags describe, without its mix.
func (f *flags) plan() (Plan, error) {
	data, err := os.ReadFile(f.configPath)
	if err != nil {
		return Plan{}, types.WrapFault(types.CodeBadSettings, err, "read configuration")
	}
	services, err := decodeServices(data, f.services)
	if err != nil {
		return Plan{}, err
	}
	if f.gateways == "" {
		return Plan{}, types.NewFault(types.CodeBadSettings, "-gateways is required")
	}
	return Plan{
		Services: services,
		Gateways: strings.Split(f.gateways, ","),
		Keys:     f.keys,
		Skew:     f.skew,
		Seed:     f.seed,
		Name:     f.name,
	}, nil
}

// decodeServices returns the services of a configuration whose names are in the list, or all for an empty list.
func decodeServices(data []byte, names string) ([]config.Service, error) {
	var c config.Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, types.WrapFault(types.CodeBadConfiguration, err, "decode configuration")
	}
	if names == "" {
		return c.Services, nil
	}
	var selected []config.Service
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(c.Services, func(s config.Service) bool { return string(s.Name) == name })
		if i < 0 {
			return nil, types.NewFault(types.CodeUnknownService, "no service %q in the configuration", name)
		}
		selected = append(selected, c.Services[i])
	}
	return selected, nil
}

// finish prints the report, unless err is set, and returns the exit status: failure for an error, or if one of the named
// rows has no call that was done.
func (f *flags) finish(r Report, err error, rows ...string) subcommands.ExitStatus {
	if err == nil {
		err = f.print(r)
	}
	for _, name := range rows {
		if err == nil && r.Done(name) == 0 {
			err = types.NewFault(types.CodeTargetFailed, "no call of %s was done", name)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sail-load:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// print writes the table to the standard output and the JSON report to where the -json flag says.
func (f *flags) print(r Report) error {
	if err := r.PrintTable(os.Stdout); err != nil {
		return err
	}
	if f.json == "-" {
		return r.PrintJSON(os.Stdout)
	}
	file, err := os.Create(f.json)
	if err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "write report")
	}
	defer file.Close()
	return r.PrintJSON(file)
}

// RunCommand is the run subcommand, which makes calls through gateways.
type RunCommand struct {
	flags
	mix string
}

// Name implements subcommands.Command.
func (*RunCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*RunCommand) Synopsis() string { return "make calls at a fixed rate through gateways" }

// Usage implements subcommands.Command.
func (*RunCommand) Usage() string { return "run -config FILE -gateways LIST [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *RunCommand) SetFlags(s *flag.FlagSet) {
	c.register(s)
	s.StringVar(&c.mix, "mix", "lookup=1", "relative shares of the classes, such as lookup=70,order=25,confirmation=5")
}

// Execute implements subcommands.Command.
func (c *RunCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := c.run(ctx)
	return c.finish(report, err, "all")
}

func (c *RunCommand) run(ctx context.Context) (Report, error) {
	plan, err := c.plan()
	if err != nil {
		return Report{}, err
	}
	if plan.Mix, err = ParseMix(c.mix); err != nil {
		return Report{}, err
	}
	return Run(ctx, plan, c.options)
}

// CompareCommand is the compare subcommand, which compares calls through gateways with direct calls to the same
// targets.
type CompareCommand struct {
	flags
}

// Name implements subcommands.Command.
func (*CompareCommand) Name() string { return "compare" }

// Synopsis implements subcommands.Command.
func (*CompareCommand) Synopsis() string {
	return "alternate between gateways and direct calls to the same targets"
}

// Usage implements subcommands.Command.
func (*CompareCommand) Usage() string {
	return "compare -config FILE -gateways LIST -services NAME [flags]\n" +
		"The targets of the service must not check grants. The rate counts both paths.\n"
}

// SetFlags implements subcommands.Command.
func (c *CompareCommand) SetFlags(s *flag.FlagSet) { c.register(s) }

// Execute implements subcommands.Command.
func (c *CompareCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := c.compare(ctx)
	return c.finish(report, err, PathGateway.String(), PathDirect.String())
}

func (c *CompareCommand) compare(ctx context.Context) (Report, error) {
	plan, err := c.plan()
	if err != nil {
		return Report{}, err
	}
	return Compare(ctx, plan, c.options)
}
