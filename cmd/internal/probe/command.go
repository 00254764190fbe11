package probe

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// common holds the flags of all verbs.
type common struct {
	configPath string
	gateways   string
}

func (c *common) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.configPath, "config", "", "generated configuration `FILE`")
	f.StringVar(&c.gateways, "gateways", "", "host:port of the gateways, separated by commas")
}

func (c *common) load() (config.Configuration, []string, error) {
	data, err := os.ReadFile(c.configPath)
	if err != nil {
		return config.Configuration{}, nil, types.WrapFault(types.CodeBadSettings, err, "read configuration")
	}
	cfg, err := loadConfiguration(data)
	if c.gateways == "" {
		return cfg, nil, types.NewFault(types.CodeBadSettings, "-gateways is required")
	}
	return cfg, strings.Split(c.gateways, ","), err
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sail-probe:", err)
	return subcommands.ExitFailure
}

// ReadyCommand waits until every gateway serves every service.
type ReadyCommand struct {
	common
	timeout time.Duration
}

// Name implements subcommands.Command.
func (*ReadyCommand) Name() string { return "ready" }

// Synopsis implements subcommands.Command.
func (*ReadyCommand) Synopsis() string { return "wait until every gateway serves every service" }

// Usage implements subcommands.Command.
func (*ReadyCommand) Usage() string { return "ready -config FILE -gateways LIST [-timeout 20s]\n" }

// SetFlags implements subcommands.Command.
func (c *ReadyCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.DurationVar(&c.timeout, "timeout", 20*time.Second, "how long to wait")
}

// Execute implements subcommands.Command.
func (c *ReadyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, gateways, err := c.load()
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := newCaller(len(gateways))
	defer client.close()
	for _, gateway := range gateways {
		for _, service := range cfg.Services {
			if err := waitServed(ctx, client, gateway, service); err != nil {
				return fail(err)
			}
		}
	}
	fmt.Printf("%d gateways serve %d services\n", len(gateways), len(cfg.Services))
	return subcommands.ExitSuccess
}

// retryInterval separates attempts while a service is not served yet.
const retryInterval = 50 * time.Millisecond

// waitServed asks for one key for each target, so that most slots have been asked for once.
func waitServed(ctx context.Context, client *caller, gateway string, service config.Service) error {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for n := 0; n < len(service.Targets); {
		r := client.call(ctx, job{gateway: gateway, service: service.Name, key: fmt.Sprintf("ready-%d", n)})
		if r.outcome == types.OutcomeDone.String() && r.wrong == "" {
			n++
			continue
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return types.NewFault(types.CodeTimeout, "%s does not serve %s: %s %s", gateway, service.Name, r.outcome, r.code)
		}
	}
	return nil
}

// LoadCommand sends requests and checks the answers.
type LoadCommand struct {
	common
	rate     int
	workers  int
	duration time.Duration
	seed     uint64
	name     string
	record   string
	maxGap   time.Duration
	keys     int
	maxKey   time.Duration
}

// Name implements subcommands.Command.
func (*LoadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*LoadCommand) Synopsis() string {
	return "send requests and check that each answer is the right one"
}

// Usage implements subcommands.Command.
func (*LoadCommand) Usage() string {
	return "load -config FILE -gateways LIST [-rate N] [-duration D] [-seed N] [-record FILE] [-max-gap D] [-max-key-gap D]\n" +
		"Exit status 1 when nothing was served, an answer is wrong, or a gap is longer than allowed.\n"
}

// SetFlags implements subcommands.Command.
func (c *LoadCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.IntVar(&c.rate, "rate", 200, "requests per second over all services")
	f.IntVar(&c.workers, "workers", 64, "requests in progress at once")
	f.DurationVar(&c.duration, "duration", 3*time.Second, "how long to send")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the choice of keys")
	f.DurationVar(&c.maxKey, "max-key-gap", 0, "longest time without a done answer for a key; 0 for no limit")
	f.IntVar(&c.keys, "keys", 200, "keys of each service")
	f.StringVar(&c.name, "name", "probe", "start of every request identifier")
	f.StringVar(&c.record, "record", "", "write the outcome of every write request to `FILE`")
	f.DurationVar(&c.maxGap, "max-gap", 0, "longest time without a done answer for a service; 0 for no limit")
}

// Record is what Audit needs to know of a load.
type Record struct {
	Acknowledged []string `json:"acknowledged"`
	NotRun       []string `json:"notRun"`
}

// Execute implements subcommands.Command.
func (c *LoadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, gateways, err := c.load()
	if err != nil {
		return fail(err)
	}
	summary, err := Load{
		Configuration: cfg,
		Gateways:      gateways,
		PerSecond:     c.rate,
		Duration:      c.duration,
		Workers:       c.workers,
		Keys:          c.keys,
		Seed:          c.seed,
		Name:          c.name,
	}.Run(ctx)
	if err != nil {
		return fail(err)
	}
	summary.Print(os.Stdout)
	if err := c.writeRecord(summary); err != nil {
		return fail(err)
	}
	return c.verdict(summary)
}

func (c *LoadCommand) writeRecord(s *Summary) error {
	if c.record == "" {
		return nil
	}
	data, err := json.Marshal(Record{Acknowledged: s.Acknowledged, NotRun: s.NotRun})
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "encode record")
	}
	const mode = 0o644
	if err := os.WriteFile(c.record, data, mode); err != nil {
		return types.WrapFault(types.CodeInternal, err, "write record")
	}
	return nil
}

func (c *LoadCommand) verdict(s *Summary) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	complain := func(bad bool, format string, args ...any) {
		if bad {
			fmt.Printf("FAIL "+format+"\n", args...)
			status = subcommands.ExitFailure
		}
	}
	complain(s.Total(types.OutcomeDone) == 0, "no request was served")
	complain(s.Wrong() > 0, "%d answers do not belong to their requests", s.Wrong())
	complain(c.maxGap > 0 && s.LongestGap() > c.maxGap, "longest gap %s is over %s", s.LongestGap(), c.maxGap)
	complain(c.maxKey > 0 && s.LongestKeyGap() > c.maxKey, "longest gap of a key %s is over %s", s.LongestKeyGap(), c.maxKey)
	return status
}

// AuditCommand compares the journals of stand-in targets with the outcomes that callers got.
type AuditCommand struct {
	common
	records string
}

// Name implements subcommands.Command.
func (*AuditCommand) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*AuditCommand) Synopsis() string {
	return "check the stand-in targets' journals for requests that ran twice or were lost"
}

// Usage implements subcommands.Command.
func (*AuditCommand) Usage() string { return "audit -config FILE -gateways LIST -records FILE,...\n" }

// SetFlags implements subcommands.Command.
func (c *AuditCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.records, "records", "", "records of load, separated by commas")
}

// Execute implements subcommands.Command.
func (c *AuditCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, _, err := c.load()
	if err != nil {
		return fail(err)
	}
	runs, err := readJournals(ctx, cfg)
	if err != nil {
		return fail(err)
	}
	var all Record
	for _, path := range strings.Split(c.records, ",") {
		if err := appendRecord(&all, path); err != nil {
			return fail(err)
		}
	}
	return judge(all, runs)
}

func appendRecord(all *Record, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "read record")
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "decode record %s", path)
	}
	all.Acknowledged = append(all.Acknowledged, r.Acknowledged...)
	all.NotRun = append(all.NotRun, r.NotRun...)
	return nil
}

// judge counts the requests whose journal entries contradict what the caller was told.
func judge(r Record, runs map[string]int) subcommands.ExitStatus {
	doubled, lost, falseRefusals := 0, 0, 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	for _, id := range r.Acknowledged {
		if runs[id] == 0 {
			lost++
		}
	}
	for _, id := range r.NotRun {
		if runs[id] > 0 {
			falseRefusals++
		}
	}
	fmt.Printf("%d writes acknowledged, %d refused as not run; ran twice %d, lost %d, ran although refused %d\n",
		len(r.Acknowledged), len(r.NotRun), doubled, lost, falseRefusals)
	if doubled+lost+falseRefusals > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
