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
	plannerTTL         = 2 * time.Second
	plannerInterval    = 500 * time.Millisecond
	plannerCallTimeout = 400 * time.Millisecond
)

// plannerLease competes for the planner lease. Holding it only avoids needless conflicts: every change of the table is
// a compare-and-swap, so two planners are safe.
type plannerLease struct {
	store   store.Store
	self    ownership.Self
	out     *ring.Ring[leaseInput]
	placer  *placer
	log     *telemetry.Log
	writeID func() string
	// vacant holds the newest word of the store watch on whether the key is absent.
	vacant *ring.Ring[bool]

	lease     store.LeaseID
	renewedAt types.Instant
	free      bool
}

func (p *plannerLease) duty() duty.Duty {
	p.vacant = ring.New[bool](1)
	return duty.Duty{
		Name: "planner-lease",
		Run:  p.run,
		Stop: func(context.Context) error { p.vacant.Close(); return nil },
	}
}

func (p *plannerLease) run(ctx context.Context) error {
	tick := time.NewTicker(plannerInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.vacant.Ready():
			if v, ok := p.vacant.TryGet(); ok {
				p.free = v
			}
		case <-tick.C:
		case <-p.vacant.Done():
			p.resign(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := p.advance(ctx); err != nil {
			return nil
		}
	}
}

func (p *plannerLease) advance(ctx context.Context) error {
	if p.lease != 0 {
		return p.renew(ctx)
	}
	if !p.free || !p.acquire(ctx) {
		return nil
	}
	p.log.Info("planner lease gained", nil)
	return p.tell(ctx, ownership.KindPlannerGained)
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
		p.free = false
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
	p.free = types.CodeOf(err) == types.CodeNotFound
	p.log.Info("planner lease lost", nil)
	return p.tell(ctx, ownership.KindPlannerLost)
}

func (p *plannerLease) resign(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
	defer cancel()
	_ = p.store.RevokeLease(ctx, p.lease)
}

func (p *plannerLease) tell(ctx context.Context, kind ownership.MessageKind) error {
	lead := kind == ownership.KindPlannerGained
	if err := p.placer.in.Put(ctx, placerInput{lead: &lead}); err != nil {
		return err
	}
	return p.out.Put(ctx, leaseInput{message: ownership.Message{Kind: kind}})
}
