package dispatcher

import (
	"context"
	"time"

	"sequoiasail.example/daemon/process"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// plannerTTL is the time to live of the planner lease.
	plannerTTL = 2 * time.Second
	// plannerInterval is how often the lease is renewed, or its acquisition is tried.
	plannerInterval    = 500 * time.Millisecond
	plannerCallTimeout = 400 * time.Millisecond
)

// plannerLease acquires and renews the planner lease, a store lease that at most one dispatcher holds. The lease only
// avoids conflicting writes: every change of the ownership documents is a compare-and-swap, so two planners are safe.
type plannerLease struct {
	store   store.Store
	self    ownership.Self
	out     *ring.Ring[leaseInput]
	placer  *placer
	log     *telemetry.Log
	writeID func() string
	// keyAbsent holds whether the planner key is absent from the store, as last seen by the store watch.
	keyAbsent *ring.Ring[bool]

	// lease is the store lease that holds the planner key, 0 while this dispatcher does not hold the planner lease.
	lease store.LeaseID
	// renewedAt is when the last successful acquisition or renewal was started.
	renewedAt types.Instant
	// available is true when the planner lease may be acquired: the planner key was absent when last seen.
	available bool
}

func (p *plannerLease) duty() duty.Duty {
	p.keyAbsent = ring.New[bool](1)
	return duty.Duty{
		Name: "planner-lease",
		Run:  p.run,
		Stop: func(context.Context) error { p.keyAbsent.Close(); return nil },
	}
}

func (p *plannerLease) run(ctx context.Context) error {
	tick := time.NewTicker(plannerInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.keyAbsent.Ready():
			if v, ok := p.keyAbsent.TryGet(); ok {
				p.available = v
			}
		case <-tick.C:
		case <-p.keyAbsent.Done():
			p.release(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := p.advance(ctx); err != nil {
			return nil
		}
	}
}

// advance renews the planner lease, or tries to acquire it.
func (p *plannerLease) advance(ctx context.Context) error {
	if p.lease != 0 {
		return p.renew(ctx)
	}
	if !p.available || !p.acquire(ctx) {
		return nil
	}
	p.log.Info("planner lease gained", nil)
	return p.notify(ctx, ownership.KindPlannerGained)
}

func (p *plannerLease) acquire(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
	defer cancel()
	now := telemetry.Now()
	lease, err := p.store.GrantLease(ctx, plannerTTL)
	if err != nil {
		return false
	}
	_, err = p.store.CAS(ctx, store.Write{
		Key:     process.PlannerKey,
		Value:   []byte(p.self.VM),
		Lease:   lease,
		WriteID: p.writeID(),
	})
	if err != nil {
		p.available = false
		_ = p.store.RevokeLease(ctx, lease)
		return false
	}
	p.lease = lease
	p.renewedAt = now
	return true
}

func (p *plannerLease) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
	defer cancel()
	now := telemetry.Now()
	err := p.store.KeepAlive(callCtx, p.lease)
	if err == nil {
		p.renewedAt = now
		return nil
	}
	if types.CodeOf(err) != types.CodeNotFound && now.Sub(p.renewedAt) < plannerTTL {
		return nil
	}
	p.lease = 0
	p.available = types.CodeOf(err) == types.CodeNotFound
	p.log.Info("planner lease lost", nil)
	return p.notify(ctx, ownership.KindPlannerLost)
}

func (p *plannerLease) release(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
	defer cancel()
	_ = p.store.RevokeLease(ctx, p.lease)
}

// notify tells the planner and ownership duties that the planner lease was gained or lost.
func (p *plannerLease) notify(ctx context.Context, kind ownership.MessageKind) error {
	isLeader := kind == ownership.KindPlannerGained
	if err := p.placer.in.Put(ctx, placerInput{isLeader: &isLeader}); err != nil {
		return err
	}
	return p.out.Put(ctx, leaseInput{message: ownership.Message{Kind: kind}})
}
