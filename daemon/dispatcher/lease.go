package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// leaseRingCapacity is small because a newer call for a target supersedes the older ones.
const leaseRingCapacity = 16

// leaseCallers runs one lease duty for each target. It is used by the ownership duty only.
type leaseCallers struct {
	out       *ring.Ring[leaseInput]
	metrics   *telemetry.Metrics
	budget    *forward.Budget
	addresses map[types.TargetID]string
	callers   map[types.TargetID]*leaseCaller
	group     *duty.Group
}

func newLeaseCallers(out *ring.Ring[leaseInput], metrics *telemetry.Metrics, budget *forward.Budget) *leaseCallers {
	return &leaseCallers{
		out:       out,
		metrics:   metrics,
		budget:    budget,
		addresses: make(map[types.TargetID]string),
		callers:   make(map[types.TargetID]*leaseCaller),
		group:     duty.NewGroup(),
	}
}

// configure updates the addresses of the targets.
func (s *leaseCallers) configure(c *config.Configuration) {
	for _, service := range c.Services {
		for _, t := range service.Targets {
			s.addresses[types.TargetID{Service: service.Name, Target: t.Name}] = t.Address
		}
	}
}

// enqueue queues c for the lease duty of its target and starts that duty on first use.
func (s *leaseCallers) enqueue(ctx context.Context, c ownership.TargetCall) {
	caller, ok := s.callers[c.Target]
	if !ok {
		caller = &leaseCaller{
			name:   "lease-" + c.Target.String(),
			client: target.NewHTTP(target.Options{Address: s.addresses[c.Target], Budget: s.budget}),
			in:     ring.New[ownership.TargetCall](leaseRingCapacity),
			out:    s.out,
		}
		if err := s.group.Launch(context.WithoutCancel(ctx), caller.duty()); err != nil {
			return
		}
		s.metrics.Ring(caller.name, caller.in)
		s.callers[c.Target] = caller
	}
	_ = caller.in.Replace(c)
}

func (s *leaseCallers) stop(ctx context.Context) { _ = s.group.Stop(context.WithoutCancel(ctx)) }

// leaseCaller grants, renews and releases one target's grant. It makes one call at a time, on its own connection.
type leaseCaller struct {
	name   string
	client target.Client
	in     *ring.Ring[ownership.TargetCall]
	out    *ring.Ring[leaseInput]
}

func (l *leaseCaller) duty() duty.Duty {
	return duty.Duty{
		Name: l.name,
		Run:  l.run,
		Stop: func(context.Context) error { l.in.Close(); return nil },
	}
}

func (l *leaseCaller) run(ctx context.Context) error {
	defer l.client.CloseConnection()
	l.in.Serve(ctx, func(c ownership.TargetCall) error {
		message := ownership.Message{Kind: ownership.KindCallResult, Call: l.make(ctx, c)}
		return l.out.Put(ctx, leaseInput{message: message})
	})
	return nil
}

// make makes one call and waits for its result, at most until the deadline of the call.
func (l *leaseCaller) make(ctx context.Context, c ownership.TargetCall) ownership.CallResult {
	result := ownership.CallResult{Target: c.Target, Number: c.Number, Status: ownership.CallFailed}
	remaining := c.Deadline.Sub(telemetry.Now())
	if remaining <= 0 {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	response, err := l.send(ctx, c)
	result.Status = callStatus(err)
	result.Token = ownership.Token(response.Token)
	result.Incarnation = response.Incarnation
	if result.Status == ownership.CallFailed {
		// A middlebox may have dropped the state of a connection without a response; the next call opens another.
		l.client.CloseConnection()
	}
	return result
}

func (l *leaseCaller) send(ctx context.Context, c ownership.TargetCall) (target.GrantResponse, error) {
	fencing := target.Fencing{LeaseEpoch: c.Epoch, Token: uint64(c.Token), Incarnation: c.Incarnation}
	ttl := time.Duration(c.TTLMs) * time.Millisecond
	switch c.Kind {
	case ownership.CallGrant:
		return l.client.Grant(ctx, grantRequest(fencing, ttl, c.KeySet))
	case ownership.CallRenew:
		return l.client.Renew(ctx, target.RenewRequest{Fencing: fencing, TTL: ttl})
	default:
		return l.client.Release(ctx, target.ReleaseRequest{Fencing: fencing})
	}
}

func grantRequest(fencing target.Fencing, ttl time.Duration, keySet *ownership.KeySet) target.GrantRequest {
	g := target.GrantRequest{Fencing: fencing, TTL: ttl}
	if keySet == nil {
		return g
	}
	for _, s := range keySet.Slots {
		g.Slots = append(g.Slots, target.SlotRange{Start: s.First, Count: s.Count, Epoch: s.Epoch})
	}
	g.Except = keySet.Except
	for _, k := range keySet.Keys {
		g.HotKeys = append(g.HotKeys, target.HotKey{Hash: k.Key, Epoch: k.Epoch})
	}
	return g
}

func callStatus(err error) ownership.CallStatus {
	if err == nil {
		return ownership.CallAccepted
	}
	switch types.CodeOf(err) {
	case types.CodeStaleToken:
		return ownership.CallStaleToken
	case types.CodeStaleEpoch:
		return ownership.CallStaleEpoch
	case types.CodeNotLeaseHolder:
		return ownership.CallExpired
	default:
		return ownership.CallFailed
	}
}
