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

// commonFlags holds the flags that the ready, load and audit subcommands share.
type commonFlags struct {
	configPath string
	gateways   string
}

// setFlags declares the flags in f.
func (c *commonFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.configPath, "config", "", "generated configuration `FILE`")
	f.StringVar(&c.gateways, "gateways", "", "host:port of the gateways, separated by commas")
}

// read returns the configuration and the addresses of the gateways that the flags name.
func (c *commonFlags) read() (config.Configuration, []string, error) {
	data, err := os.ReadFile(c.configPath)
	if err != nil {
		return config.Configuration{}, nil, types.WrapFault(types.CodeBadSettings, err, "read configuration")
	}
	cfg, err := decodeConfiguration(data)
	if c.gateways == "" {
		return cfg, nil, types.NewFault(types.CodeBadSettings, "-gateways is required")
	}
	return cfg, strings.Split(c.gateways, ","), err
}

// fail prints err and returns the exit status of a failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sail-probe:", err)
	return subcommands.ExitFailure
}

// ReadyCommand is the ready subcommand, which waits until every gateway serves every service.
type ReadyCommand struct {
	commonFlags
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
	cfg, gateways, err := c.read()
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := newGatewayClient(len(gateways))
	defer client.close()
	for _, gateway := range gateways {
		for _, service := range cfg.Services {
			if err := waitUntilServed(ctx, client, gateway, service); err != nil {
				return fail(err)
			}
		}
	}
	fmt.Printf("%d gateways serve %d services\n", len(gateways), len(cfg.Services))
	return subcommands.ExitSuccess
}

// retryInterval is the time between attempts while a service is not served yet.
const retryInterval = 50 * time.Millisecond

// waitUntilServed requests as many keys as the service has targets, one after the other, and repeats each request until
// its answer is the right one. The keys are only a sample: some targets may get no request, and others several.
func waitUntilServed(ctx context.Context, client *gatewayClient, gateway string, service config.Service) error {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for n := 0; n < len(service.Targets); {
		r := client.call(ctx, job{gateway: gateway, service: service.Name, key: fmt.Sprintf("ready-%d", n)})
		if r.outcome == types.OutcomeDone.String() && r.mismatch == "" {
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

// LoadCommand is the load subcommand, which sends requests and checks the answers.
type LoadCommand struct {
	commonFlags
	rate      int
	workers   int
	duration  time.Duration
	seed      uint64
	name      string
	record    string
	maxGap    time.Duration
	keys      int
	maxKeyGap time.Duration
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
	f.DurationVar(&c.duration, "duration", 3*time.Second, "how long to send requests")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the choice of keys")
	f.DurationVar(&c.maxKeyGap, "max-key-gap", 0, "longest time without a done answer for a key; 0 for no limit")
	f.IntVar(&c.keys, "keys", 200, "keys of each service")
	f.StringVar(&c.name, "name", "probe", "prefix of all request identifiers")
	f.StringVar(&c.record, "record", "", "write the identifiers of the writes that were done or not run to `FILE`")
	f.DurationVar(&c.maxGap, "max-gap", 0, "longest time without a done answer for a service; 0 for no limit")
}

// Record lists the identifiers of the write requests of a load by outcome. Writes with the outcome unknown are left
// out. The load subcommand writes it for the audit subcommand.
type Record struct {
	// Acknowledged lists the writes with the outcome done.
	Acknowledged []string `json:"acknowledged"`
	// NotRun lists the writes with the outcome not run.
	NotRun []string `json:"notRun"`
}

// Execute implements subcommands.Command.
func (c *LoadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, gateways, err := c.read()
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
	return c.exitStatus(summary)
}

// writeRecord writes the record of the load to the file that the -record flag names, if any.
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

// exitStatus prints each check that failed and returns the exit status.
func (c *LoadCommand) exitStatus(s *Summary) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	failIf := func(failed bool, format string, args ...any) {
		if failed {
			fmt.Printf("FAIL "+format+"\n", args...)
			status = subcommands.ExitFailure
		}
	}
	failIf(s.Total(types.OutcomeDone) == 0, "no request was served")
	failIf(s.WrongAnswers() > 0, "%d answers do not belong to their requests", s.WrongAnswers())
	failIf(c.maxGap > 0 && s.LongestGap() > c.maxGap, "longest gap %s is over %s", s.LongestGap(), c.maxGap)
	failIf(c.maxKeyGap > 0 && s.LongestKeyGap() > c.maxKeyGap, "longest gap of a key %s is over %s", s.LongestKeyGap(), c.maxKeyGap)
	return status
}

// AuditCommand is the audit subcommand, which compares the journals of stand-in targets with the outcomes that callers
// got.
type AuditCommand struct {
	commonFlags
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
	f.StringVar(&c.records, "records", "", "files written by load -record, separated by commas")
}

// Execute implements subcommands.Command.
func (c *AuditCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, _, err := c.read()
	if err != nil {
		return fail(err)
	}
	executions, err := readJournals(ctx, cfg)
	if err != nil {
		return fail(err)
	}
	var all Record
	for _, path := range strings.Split(c.records, ",") {
		if err := appendRecord(&all, path); err != nil {
			return fail(err)
		}
	}
	return auditRecord(all, executions)
}

// appendRecord adds the record in the file at path to all.
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

// auditRecord counts the requests whose executions contradict the outcomes that callers got, prints the counts and
// returns the exit status. executions tells by request identifier how often a request took effect.
func auditRecord(r Record, executions map[string]int) subcommands.ExitStatus {
	duplicated, lost, ranAfterRefusal := 0, 0, 0
	for _, n := range executions {
		if n > 1 {
			duplicated++
		}
	}
	for _, id := range r.Acknowledged {
		if executions[id] == 0 {
			lost++
		}
	}
	for _, id := range r.NotRun {
		if executions[id] > 0 {
			ranAfterRefusal++
		}
	}
	fmt.Printf("%d writes acknowledged, %d refused as not run; ran twice %d, lost %d, ran although refused %d\n",
		len(r.Acknowledged), len(r.NotRun), duplicated, lost, ranAfterRefusal)
	if duplicated+lost+ranAfterRefusal > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
