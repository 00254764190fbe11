package load

import (
	"context"
	"math"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// Run makes the calls of a plan through the gateways.
func Run(ctx context.Context, plan Plan, options Options) (Report, error) {
	generator, err := newGenerator(plan)
	if err != nil {
		return Report{}, err
	}
	c := newClient(plan.Name, [pathCount]int{PathGateway: options.Workers}, options.Timeout)
	defer c.close()
	stats, err := run(ctx, options, c, generator.call)
	if err != nil {
		return Report{}, err
	}
	return stats.ByClass(), nil
}

// Compare makes every call of a plan twice, once through a gateway and once directly to the target that served its key
// before, and alternates which of the two goes first. The plan must have one service, whose targets do not check
// grants. All calls are lookups.
func Compare(ctx context.Context, plan Plan, options Options) (Report, error) {
	if len(plan.Services) != 1 || plan.Services[0].ChecksGrants {
		return Report{}, types.NewFault(types.CodeBadSettings, "compare needs one service that does not check grants")
	}
	plan.Mix = []Share{{Class: types.ClassLookup, Weight: 1}}
	generator, err := newGenerator(plan)
	if err != nil {
		return Report{}, err
	}
	connections := [pathCount]int{PathGateway: options.Workers, PathDirect: directConnections(plan.Services[0])}
	c := newClient(plan.Name, connections, options.Timeout)
	defer c.close()
	addresses, err := resolveTargets(ctx, c, plan)
	if err != nil {
		return Report{}, err
	}
	stats, err := run(ctx, options, c, alternate(generator, addresses))
	if err != nil {
		return Report{}, err
	}
	return stats.ByPath(), nil
}

// directConnections returns the number of connections to open to each target: half of what every target accepts, so
// that the other half is left to the dispatchers.
func directConnections(s config.Service) int {
	n := math.MaxInt
	for _, t := range s.Targets {
		n = min(n, t.Connections/2)
	}
	return max(n, 1)
}

// resolveTargets asks a gateway for each key of the plan and returns the address of the target that served it, by key.
func resolveTargets(ctx context.Context, c *client, plan Plan) (map[string]string, error) {
	byTarget := targetAddresses(plan.Services[0])
	byKey := map[string]string{}
	for n := range plan.Keys {
		x := call{address: plan.Gateways[0], service: plan.Services[0].Name, key: keyName(plan.Services[0].Name, uint64(n))}
		r := c.do(ctx, x)
		address, ok := byTarget[types.Target(r.servedBy)]
		if !ok {
			return nil, types.NewFault(types.CodeNoRoute, "key %s: %s %s from target %q", x.key, r.outcome, r.code, r.servedBy)
		}
		byKey[x.key] = address
	}
	return byKey, nil
}

// targetAddresses returns the addresses of the targets of a service by name.
func targetAddresses(s config.Service) map[types.Target]string {
	addresses := make(map[types.Target]string, len(s.Targets))
	for _, t := range s.Targets {
		addresses[t.Name] = t.Address
	}
	return addresses
}

// alternate returns a source of pairs of calls: each call of g through its gateway and directly to the target at
// addresses[key]. Every second pair starts with the direct one.
func alternate(g *generator, addresses map[string]string) callSource {
	var second call
	n := 0
	return func(due time.Time) call {
		n++
		if n%2 == 0 {
			second.due = due
			return second
		}
		gateway := g.call(due)
		direct := gateway
		direct.path = PathDirect
		direct.address = addresses[gateway.key]
		if n%4 == 3 {
			second = gateway
			return direct
		}
		second = direct
		return gateway
	}
}
