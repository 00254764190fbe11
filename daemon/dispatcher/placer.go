package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/placement"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	placerRingCapacity = 256
	// placerTick is how often the placement core is run.
	placerTick = 100 * time.Millisecond
	// reportExpiry is the age at which a report counts as missing. It allows for one lost report.
	reportExpiry = 2*reportInterval + time.Second
)

// placerInput is one element of the planner duty's ring. Each field may be empty.
type placerInput struct {
	config    *config.Configuration
	ops       *process.Operations
	documents []ownership.Document
	report    *peer.LoadReport
	// isLeader is set when the planner lease was gained (true) or lost (false).
	isLeader *bool
}

// placer runs the placement core. It tracks owners, loads and configuration at all times, but proposes moves only while
// this dispatcher holds the planner lease.
type placer struct {
	in      *ring.Ring[placerInput]
	out     *ring.Ring[leaseInput]
	log     *telemetry.Log
	metrics *telemetry.Metrics
	core    *placement.Core

	cfg *config.Configuration
	// ops holds the operators' decisions about VMs, targets and data centres.
	ops *process.Operations
	// conditions holds the last reported condition of each target.
	conditions map[types.TargetID]dispatch.Condition
	// vacant holds whether the lease of each target has no holder.
	vacant map[types.TargetID]bool
	// hotKeys holds the hot-key rows of each service by part of its slot table.
	hotKeys map[types.Service]map[uint16][]ownership.HotKey
	// reportedAt is when each target was last part of a report. A target without a recent report receives no keys: its
	// load is unknown, and its dispatcher may be lost.
	reportedAt map[types.TargetID]types.Instant
	// unreported holds whether each target has no report younger than reportExpiry.
	unreported map[types.TargetID]bool
	// moves and actions are buffers that are reused by each run of the placement core.
	moves   []placement.Action
	actions []placement.Action
}

func newPlacer(out *ring.Ring[leaseInput], log *telemetry.Log, metrics *telemetry.Metrics) *placer {
	return &placer{
		in:         ring.New[placerInput](placerRingCapacity),
		out:        out,
		log:        log,
		metrics:    metrics,
		core:       placement.New(),
		conditions: make(map[types.TargetID]dispatch.Condition),
		vacant:     make(map[types.TargetID]bool),
		reportedAt: make(map[types.TargetID]types.Instant),
		unreported: make(map[types.TargetID]bool),
		hotKeys:    make(map[types.Service]map[uint16][]ownership.HotKey),
	}
}

func (p *placer) duty() duty.Duty {
	return duty.Duty{
		Name: "planner",
		Run:  p.run,
		Stop: func(context.Context) error { p.in.Close(); return nil },
	}
}

func (p *placer) run(ctx context.Context) error {
	tick := time.NewTicker(placerTick)
	defer tick.Stop()
	for {
		select {
		case <-p.in.Ready():
			p.in.Drain(p.apply)
		case <-tick.C:
			if err := p.plan(ctx); err != nil {
				return nil
			}
		case <-p.in.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *placer) apply(m placerInput) {
	if m.isLeader != nil {
		p.step(placement.Message{Kind: placement.KindLeader, Leader: *m.isLeader})
	}
	if m.config != nil {
		p.removeServices(m.config)
		p.cfg = m.config
	}
	if m.ops != nil {
		p.ops = m.ops
	}
	changed := m.config != nil || m.ops != nil
	if m.report != nil {
		changed = p.applyReport(m.report) || changed
	}
	for _, d := range m.documents {
		changed = p.applyDocument(d) || changed
	}
	if changed {
		p.installTargets()
	}
}

// takeReport queues a load report. It may be called from any goroutine. A report is dropped when the ring is full; the
// next one replaces it.
func (p *placer) takeReport(r *peer.LoadReport) { _ = p.in.TryPut(placerInput{report: r}) }

func (p *placer) step(m placement.Message) {
	p.core.Step(telemetry.Now(), &m, nil)
}

// removeServices removes the services that next no longer lists from the placement core.
func (p *placer) removeServices(next *config.Configuration) {
	if p.cfg == nil {
		return
	}
	for _, s := range p.cfg.Services {
		removed := !slices.ContainsFunc(next.Services, func(n config.Service) bool { return n.Name == s.Name })
		if removed {
			p.step(placement.Message{Kind: placement.KindRemoveService, Service: s.Name})
		}
	}
}

// installTargets passes the targets of the keyed services and their states to the placement core.
func (p *placer) installTargets() {
	if p.cfg == nil {
		return
	}
	for _, s := range p.cfg.Services {
		if !s.Keyed {
			continue
		}
		targets := &placement.Targets{Service: s.Name, Slots: s.Slots}
		for _, t := range s.Targets {
			targets.Rows = append(targets.Rows, placement.Target{
				Name:   t.Name,
				Weight: t.Weight,
				State:  p.targetState(types.TargetID{Service: s.Name, Target: t.Name}, t.DataCentre),
			})
		}
		p.step(placement.Message{Kind: placement.KindTargets, Targets: targets})
	}
}

func (p *placer) targetState(id types.TargetID, dc types.DataCentre) placement.State {
	switch {
	case p.ops.TargetState(id) != config.OpsIn, p.ops.DataCentreState(dc) != config.OpsIn:
		return placement.StateDraining
	case p.vacant[id]:
		return placement.StateLost
	case p.unreported[id]:
		return placement.StateStraggler
	}
	switch p.conditions[id] {
	case dispatch.ConditionCold:
		return placement.StateCold
	case dispatch.ConditionStraggler:
		return placement.StateStraggler
	default:
		return placement.StateActive
	}
}

// applyReport passes the loads of a report to the placement core, and reports whether a target's condition changed.
func (p *placer) applyReport(r *peer.LoadReport) bool {
	changed := false
	for _, t := range r.Targets {
		condition := dispatch.Condition(t.Condition)
		changed = changed || p.conditions[t.Target] != condition
		p.conditions[t.Target] = condition
		p.reportedAt[t.Target] = telemetry.Now()
		load := &placement.Load{Service: t.Target.Service, Target: t.Target.Target, Slots: t.Slots, Loads: t.Loads, Rest: t.Rest}
		for i := range t.Keys {
			load.Keys = append(load.Keys, placement.KeyLoad{Key: t.Keys[i], Load: t.KeyLoads[i]})
		}
		if p.isKeyed(t.Target.Service) {
			p.step(placement.Message{Kind: placement.KindLoad, Load: load})
		}
	}
	return changed
}

func (p *placer) isKeyed(name types.Service) bool {
	return p.cfg != nil && slices.ContainsFunc(p.cfg.Services, func(s config.Service) bool {
		return s.Name == name && s.Keyed
	})
}

// applyDocument applies a newer document, and reports whether a target's lease became vacant or was assigned.
func (p *placer) applyDocument(d ownership.Document) bool {
	switch {
	case d.Slots != nil:
		p.installOwners(d)
		return false
	case d.Leases != nil:
		return p.applyLeases(d)
	default:
		return false
	}
}

func (p *placer) applyLeases(d ownership.Document) bool {
	changed := false
	for _, l := range d.Leases.Leases {
		id := types.TargetID{Service: d.Key.Service, Target: l.Target}
		vacant := l.State == ownership.LeaseVacant
		changed = changed || p.vacant[id] != vacant
		p.vacant[id] = vacant
	}
	return changed
}

// installOwners passes the slot owners and hot keys of a document to the placement core.
func (p *placer) installOwners(d ownership.Document) {
	list := process.ListOwners(d.Slots, func(s ownership.SlotState) bool { return s != ownership.SlotFree })
	p.step(placement.Message{Kind: placement.KindOwners, Owners: &placement.Owners{
		Service:   d.Key.Service,
		Revision:  types.Revision(d.Slots.Epoch),
		FirstSlot: types.Slot(uint32(d.Key.Part) * ownership.SlotsPerDocument),
		Targets:   list.Targets,
		Owners:    list.Owners,
	}})
	p.installHotKeys(d)
}

func (p *placer) installHotKeys(d ownership.Document) {
	parts := p.hotKeys[d.Key.Service]
	if parts == nil {
		parts = make(map[uint16][]ownership.HotKey)
		p.hotKeys[d.Key.Service] = parts
	}
	parts[d.Key.Part] = d.Slots.HotKeys
	rows := &placement.HotKeys{Service: d.Key.Service, Revision: d.Store}
	for _, part := range parts {
		for _, row := range part {
			rows.Rows = append(rows.Rows, placement.HotKey{Key: row.Key, Owner: row.Owner})
		}
	}
	p.step(placement.Message{Kind: placement.KindHotKeys, HotKeys: rows})
}

// plan runs the placement core and sends the complete lists of desired moves and hot keys to the ownership duty, where
// they replace the earlier lists.
func (p *placer) plan(ctx context.Context) error {
	if p.refreshUnreported() {
		p.installTargets()
	}
	p.actions = p.core.Tick(telemetry.Now(), p.actions[:0])
	services := make(map[types.Service]bool)
	for i := range p.actions {
		services[p.actions[i].Service] = true
		p.logDecision(&p.actions[i])
	}
	for service := range services {
		if err := p.send(ctx, service); err != nil {
			return err
		}
	}
	return nil
}

// refreshUnreported updates which targets have no recent report, and reports whether that changed.
func (p *placer) refreshUnreported() bool {
	if p.cfg == nil {
		return false
	}
	now := telemetry.Now()
	changed := false
	for _, s := range p.cfg.Services {
		if !s.Keyed {
			continue
		}
		for _, t := range s.Targets {
			id := types.TargetID{Service: s.Name, Target: t.Name}
			at, known := p.reportedAt[id]
			unreported := !known || now.Sub(at) > reportExpiry
			changed = changed || p.unreported[id] != unreported
			p.unreported[id] = unreported
		}
	}
	return changed
}

// send sends the desired moves and hot keys of a service to the ownership duty.
func (p *placer) send(ctx context.Context, service types.Service) error {
	p.moves = p.core.Moves(service, p.moves[:0])
	moves := ownership.Moves{Service: service}
	for i := range p.moves {
		moves.Moves = append(moves.Moves, ownershipMove(&p.moves[i]))
	}
	keys := ownership.HotKeys{Service: service, Keys: p.core.DesiredHotKeys(telemetry.Now(), service, nil)}
	slices.Sort(keys.Keys)
	if err := p.out.Put(ctx, leaseInput{message: ownership.Message{Kind: ownership.KindMoves, Moves: moves}}); err != nil {
		return err
	}
	return p.out.Put(ctx, leaseInput{message: ownership.Message{Kind: ownership.KindHotKeys, HotKeys: keys}})
}

func ownershipMove(a *placement.Action) ownership.Move {
	if a.Kind == placement.ActionMoveKey {
		return ownership.Move{Key: a.Key, From: a.From, To: a.To}
	}
	return ownership.Move{First: a.First, Count: uint32(a.Last-a.First) + 1, From: a.From, To: a.To}
}

func (p *placer) logDecision(a *placement.Action) {
	p.metrics.Counter(fmt.Sprintf("sail_placement_moves_total{service=%q,reason=%q}", a.Service, a.Reason)).Inc()
	p.log.LogDecision(telemetry.Decision{
		Kind:    "placement",
		Service: string(a.Service),
		KeyHash: uint64(a.Key),
		Target:  string(a.To),
		Reason:  a.Reason.String(),
		Detail:  a.Kind.String() + " from " + string(a.From),
	})
}
