package probe

import (
	"context"
	"flag"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"sequoiasail.example/types"
)

// FaultCommand is the fault subcommand, which sets the faults that a stand-in injects.
type FaultCommand struct {
	address string
	faults  string
}

// Name implements subcommands.Command.
func (*FaultCommand) Name() string { return "fault" }

// Synopsis implements subcommands.Command.
func (*FaultCommand) Synopsis() string { return "set the faults of a stand-in store or target" }

// Usage implements subcommands.Command.
func (*FaultCommand) Usage() string { return "fault -address HOST:PORT -json FAULTS\n" }

// SetFlags implements subcommands.Command.
func (c *FaultCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "host:port of the stand-in")
	f.StringVar(&c.faults, "json", "{}", "faults; each call replaces all of them")
}

// Execute implements subcommands.Command.
func (c *FaultCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	url := "http://" + c.address + "/faults"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(c.faults))
	if err != nil {
		return fail(err)
	}
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fail(types.NewFault(types.CodeBadRequest, "the stand-in answered status %d", response.StatusCode))
	}
	return subcommands.ExitSuccess
}
