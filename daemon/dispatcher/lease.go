package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// leaseRingCapacity is small because a newer call about a target makes the older ones pointless.
const leaseRingCapacity = 16

// leaseSet keeps one lease duty for each target. It is owned by the ownership duty.
type leaseSet struct {
	out       *ring.Ring[leaseInput]
	metrics   *telemetry.Metrics
	addresses map[types.TargetID]string
	callers   map[types.TargetID]*leaseCaller
	group     *duty.Group
}

func newLeaseSet(out *ring.Ring[leaseInput], metrics *telemetry.Metrics) *leaseSet {
	return &leaseSet{
		out:       out,
		metrics:   metrics,
		addresses: make(map[types.TargetID]string),
		callers:   make(map[types.TargetID]*leaseCaller),
		group:     duty.NewGroup(),
	}
}

func (s *leaseSet) configure(c *config.Configuration) {
	for _, service := range c.Services {
		for _, t := range service.Targets {
			s.addresses[types.TargetID{Service: service.Name, Target: t.Name}] = t.Address
		}
	}
}

// call queues c for the target's duty, which is started on first use.
func (s *leaseSet) call(ctx context.Context, c ownership.TargetCall) {
	caller, ok := s.callers[c.Target]
	if !ok {
		caller = &leaseCaller{
			name:   "lease-" + c.Target.String(),
			client: target.NewHTTP(target.Options{Address: s.addresses[c.Target]}),
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

func (s *leaseSet) stop(ctx context.Context) { _ = s.group.Stop(context.WithoutCancel(ctx)) }

// leaseCaller makes the calls about one target's grant, one at a time and on its own connection.
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

func (l *leaseCaller) make(ctx context.Context, c ownership.TargetCall) ownership.CallResult {
	result := ownership.CallResult{Target: c.Target, Number: c.Number, Status: ownership.CallFailed}
	remaining := c.Deadline.Sub(telemetry.Now())
	if remaining <= 0 {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	answer, err := l.send(ctx, c)
	result.Status = statusOf(err)
	result.Token = ownership.Token(answer.Token)
	result.Incarnation = answer.Incarnation
	if result.Status == ownership.CallFailed {
		// A connection that gave no answer may have been lost by a middlebox; the next call opens another.
		l.client.CloseConnection()
	}
	return result
}

func (l *leaseCaller) send(ctx context.Context, c ownership.TargetCall) (target.GrantResponse, error) {
	authority := target.Fencing{LeaseEpoch: c.Epoch, Token: uint64(c.Token), Incarnation: c.Incarnation}
	ttl := time.Duration(c.TTLMs) * time.Millisecond
	switch c.Kind {
	case ownership.CallGrant:
		return l.client.Grant(ctx, grantRequest(authority, ttl, c.KeySet))
	case ownership.CallRenew:
		return l.client.Renew(ctx, target.RenewRequest{Fencing: authority, TTL: ttl})
	default:
		return l.client.Release(ctx, target.ReleaseRequest{Fencing: authority})
	}
}

func grantRequest(authority target.Fencing, ttl time.Duration, areas *ownership.KeySet) target.GrantRequest {
	g := target.GrantRequest{Fencing: authority, TTL: ttl}
	if areas == nil {
		return g
	}
	for _, s := range areas.Slots {
		g.Slots = append(g.Slots, target.SlotRange{Start: s.First, Count: s.Count, Epoch: s.Epoch})
	}
	g.Except = areas.Except
	for _, k := range areas.Keys {
		g.HotKeys = append(g.HotKeys, target.HotKey{Hash: k.Key, Epoch: k.Epoch})
	}
	return g
}

func statusOf(err error) ownership.CallStatus {
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
