package sailctl

import (
	"context"
	"flag"
	"slices"
	"strings"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// groupService is the help group of the commands that change the service state of data centres, VMs and targets.
const groupService = "taking out of and into service"

func (a *app) dataCentreCommand() *command {
	return a.opsCommand("dc", "NAME", "data centre", map[string]config.OpsState{"out": config.OpsOut, "in": config.OpsIn},
		func(name string) string { return config.DataCentreKey(types.DataCentre(name)) })
}

func (a *app) vmCommand() *command {
	return a.opsCommand("vm", "NAME", "VM", map[string]config.OpsState{"out": config.OpsOut, "in": config.OpsIn},
		func(name string) string { return config.VMKey(types.VM(name)) })
}

func (a *app) targetCommand() *command {
	states := map[string]config.OpsState{"drain": config.OpsDraining, "return": config.OpsIn}
	return a.opsCommand("target", "SERVICE/NAME", "target", states, func(name string) string {
		service, target, _ := strings.Cut(name, "/")
		return config.TargetKey(types.TargetID{Service: types.Service(service), Target: types.Target(target)})
	})
}

// opsFlags holds the flags of the commands that take a data centre, VM or target out of service or return it.
type opsFlags struct {
	note  string
	wait  time.Duration
	force bool
}

// register defines the flags on f.
func (o *opsFlags) register(f *flag.FlagSet) {
	f.StringVar(&o.note, "note", "", "the reason, for the other operators")
	f.DurationVar(&o.wait, "wait", 30*time.Second,
		"wait this long until every process has seen the decision and no process has work for it; 0 does not wait")
	f.BoolVar(&o.force, "force", false, "write the row even if a service would have no target left, the row is damaged or lost, or the VM is not in the settings")
}

// opsCommand returns the subcommand that writes rows of one kind. verbs maps each verb to the state that it writes, and
// key returns the row key for a name.
func (a *app) opsCommand(kind, argument, noun string, verbs map[string]config.OpsState, key func(string) string) *command {
	var o opsFlags
	names := []string{}
	for verb := range verbs {
		names = append(names, verb)
	}
	slices.Sort(names)
	choice := strings.Join(names, "|")
	c := &command{
		name: kind, group: groupService, usage: kind + " " + choice + " [-note TEXT] [-wait DURATION] [-force] " + argument,
		synopsis: "Take a " + noun + " out of service or bring it back, and wait until it is done",
		details:  formatFlags(o.register),
	}
	c.run = func(ctx context.Context, args []string) int {
		if len(args) == 0 {
			return a.usage(c)
		}
		state, known := verbs[args[0]]
		rest, ok := a.parseFlags(c, args[1:], o.register)
		if !known || !ok || len(rest) != 1 {
			return a.usage(c)
		}
		d := operator.Decision{Key: key(rest[0]), State: state, Note: o.note, Force: o.force}
		if _, _, err := config.SplitOpsKey(d.Key); err != nil {
			return a.fail("", types.WrapFault(types.CodeBadRequest, err, "%q is not the name of a %s", rest[0], noun))
		}
		return a.withSession(ctx, func(s *session) error {
			if err := s.checkVM(d); err != nil {
				return err
			}
			return a.decideAndWait(ctx, s, d, o.wait)
		})
	}
	return c
}

// formatFlags returns the help text for the flags that register defines.
func formatFlags(register func(*flag.FlagSet)) string {
	var text strings.Builder
	f := flag.NewFlagSet("", flag.ContinueOnError)
	f.SetOutput(&text)
	register(f)
	f.PrintDefaults()
	return text.String()
}

// checkVM returns a not-found fault for a VM that is not in the settings, unless d is forced. The configuration does not
// list VMs, so a row for a misspelled VM would be accepted and have no effect.
func (s *session) checkVM(d operator.Decision) error {
	kind, vm, _ := config.SplitOpsKey(d.Key)
	if kind != config.OpsVM || d.Force {
		return nil
	}
	for _, p := range s.settings.Processes {
		if string(p.VM) == vm {
			return nil
		}
	}
	return types.NewFault(types.CodeNotFound, "no process of a VM named %q in the settings; -force writes the row anyway", vm)
}

// parseFlags parses the flags after the verb, which may be before or after the name, and returns the other arguments.
func (a *app) parseFlags(c *command, args []string, register func(*flag.FlagSet)) (rest []string, ok bool) {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(a.env.Stderr)
	register(f)
	for len(args) > 0 {
		if f.Parse(args) != nil {
			return nil, false
		}
		args = f.Args()
		if len(args) > 0 {
			rest = append(rest, args[0])
			args = args[1:]
		}
	}
	return rest, true
}

// decideAndWait writes d, prints the result and, if wait is not 0, waits until every process has confirmed the decision.
func (a *app) decideAndWait(ctx context.Context, s *session, d operator.Decision, wait time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	out, err := s.Decide(bounded, d)
	if types.CodeOf(err) == types.CodeBadConfiguration && !d.Force {
		a.notef("nothing was changed; -force does it all the same:")
	}
	if err != nil {
		return err
	}
	if err := a.print(out, func() { a.printDecisionResult(out) }); err != nil {
		return err
	}
	if wait == 0 || out.ReplacedBy != nil {
		return nil
	}
	bounded, cancel = context.WithTimeout(ctx, wait)
	defer cancel()
	_, err = s.AwaitDecision(bounded, out, a.env.PollInterval, a.printProgress)
	return err
}

func (a *app) printDecisionResult(out operator.DecisionResult) {
	switch {
	case out.Unchanged:
		a.printf("%s is %s already; nothing was written\n", out.Key, out.State)
	case out.ReplacedBy != nil:
		a.printf("%s was set to %s, and %s has since set it to %s\n", out.Key, out.State, out.ReplacedBy.Operator,
			out.ReplacedBy.State)
	default:
		a.printf("%s is %s\n", out.Key, out.State)
	}
}
