package load

import (
	"context"
	"math"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Run makes the calls of plan through the gateways.
func Run(ctx context.Context, plan Plan, pace Pace) (Report, error) {
	planner, err := newPlanner(plan)
	if err != nil {
		return Report{}, err
	}
	c := newCaller(plan.Name, [pathCount]int{PathGateway: pace.Workers}, pace.Timeout)
	defer c.close()
	figures, err := run(ctx, pace, c, planner.call)
	if err != nil {
		return Report{}, err
	}
	return figures.ByClass(), nil
}

// Compare makes every call of plan twice, once through a gateway and once to the target that served its key before,
// with either first in turn. The plan must have one service, whose targets do not check grants, and only lookups.
func Compare(ctx context.Context, plan Plan, pace Pace) (Report, error) {
	if len(plan.Services) != 1 || plan.Services[0].ChecksGrants {
		return Report{}, types.NewFault(types.CodeBadSettings, "compare needs one service that does not check grants")
	}
	plan.Mix = []Share{{Class: types.ClassLookup, Part: 1}}
	planner, err := newPlanner(plan)
	if err != nil {
		return Report{}, err
	}
	connections := [pathCount]int{PathGateway: pace.Workers, PathDirect: directConnections(plan.Services[0])}
	c := newCaller(plan.Name, connections, pace.Timeout)
	defer c.close()
	targets, err := learn(ctx, c, plan)
	if err != nil {
		return Report{}, err
	}
	figures, err := run(ctx, pace, c, alternate(planner, targets))
	if err != nil {
		return Report{}, err
	}
	return figures.ByPath(), nil
}

// directConnections leaves half of the connections that every target accepts to the dispatchers.
func directConnections(s config.Service) int {
	n := math.MaxInt
	for _, t := range s.Targets {
		n = min(n, t.Connections/2)
	}
	return max(n, 1)
}

// learn asks the gateways who serves each key, and returns the addresses of the targets by key.
func learn(ctx context.Context, c *caller, plan Plan) (map[string]string, error) {
	addresses := addressesOf(plan.Services[0])
	found := map[string]string{}
	for n := range plan.Keys {
		x := call{address: plan.Gateways[0], service: plan.Services[0].Name, key: keyOf(plan.Services[0].Name, uint64(n))}
		r := c.do(ctx, x)
		address, ok := addresses[types.Target(r.servedBy)]
		if !ok {
			return nil, types.NewFault(types.CodeNoRoute, "key %s: %s %s from target %q", x.key, r.outcome, r.code, r.servedBy)
		}
		found[x.key] = address
	}
	return found, nil
}

func addressesOf(s config.Service) map[types.Target]string {
	found := make(map[types.Target]string, len(s.Targets))
	for _, t := range s.Targets {
		found[t.Name] = t.Address
	}
	return found
}

// alternate returns the two calls of each pair one after the other. Every second pair starts with the direct one.
func alternate(p *planner, targets map[string]string) source {
	var held call
	n := 0
	return func(due time.Time) call {
		n++
		if n%2 == 0 {
			held.due = due
			return held
		}
		gateway := p.call(due)
		direct := gateway
		direct.path = PathDirect
		direct.address = targets[gateway.key]
		if n%4 == 3 {
			held = gateway
			return direct
		}
		held = direct
		return gateway
	}
}
