package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// remindInterval is how often the keeper repeats which versions of the owners are in force.
const remindInterval = 500 * time.Millisecond

// keeperTick is how often time passes for the keyspace cores while this VM is the keeper.
const keeperTick = 50 * time.Millisecond

// Messages of the keeper duty besides those of the keyspace core.
type (
	// targetList replaces the targets.
	targetList struct {
		targets []catalog.Listing
		// superseded lists the targets whose address another one has.
		superseded []catalog.Registration
	}
	// serviceList replaces the services.
	serviceList struct {
		services map[types.Service]catalog.Service
	}
	// requestedKeys reports keys that were asked for.
	requestedKeys struct {
		service types.Service
		keys    []keyspace.Key
	}
	// tableRead answers a read of the owners.
	tableRead struct {
		service  types.Service
		loaded   keyspace.Loaded
		revision types.Revision
		err      error
	}
	// tableWritten answers a write of the owners.
	tableWritten struct {
		service  types.Service
		revision types.Revision
		err      error
	}
	// orderDone answers one call to a target; last marks the end of its batch.
	orderDone struct {
		service types.Service
		called  keyspace.CallCompleted
		last    bool
	}
)

// orderJob is a batch of calls to one target.
type orderJob struct {
	service types.Service
	batch   keyspace.CallBatch
	host    *forward.Host
	// until is when the role of the keeper ends: no call may leave later.
	until types.Instant
}

// ward is a keyed service with its core.
type ward struct {
	core     *keyspace.Core
	revision types.Revision
}

// keeper runs the keyspace cores.
type keeper struct {
	name     string
	settings keyspace.Settings
	in       *ring.Ring[any]
	stores   *ring.Ring[storeJob]
	orders   *ring.Ring[orderJob]
	peers    *ring.Ring[report]
	// admission of this VM hears of moving keys at once.
	admission *ring.Ring[any]
	// knowledge of this VM hears of new owners.
	knowledge *ring.Ring[any]
	log       *telemetry.Log
	remindAt  types.Instant

	wards   map[types.Service]*ward
	targets []catalog.Listing
	// addresses keeps those of targets that are gone from the store but may still hold keys.
	addresses map[keyspace.Owner]string
	hosts     map[string]*forward.Host
	term      keyspace.Elected
	elected   bool
}

func (k *keeper) duty() duty.Duty { return duty.Duty{Name: "keeper", Run: k.run} }

func (k *keeper) run(ctx context.Context) error {
	tick := time.NewTicker(keeperTick)
	defer tick.Stop()
	for {
		k.in.Drain(func(m any) { k.handle(ctx, m) })
		select {
		case <-k.in.Ready():
		case <-k.ticks(tick):
			now := telemetry.Now()
			k.remind(ctx, now)
			for s, w := range k.wards {
				k.perform(ctx, s, w, w.core.Tick(now))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// ticks is nil, so that nothing wakes up, while this VM is not the keeper.
func (k *keeper) ticks(t *time.Ticker) <-chan time.Time {
	if !k.elected {
		return nil
	}
	return t.C
}

func (k *keeper) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case keyspace.Elected:
		k.elected, k.term = true, m
		k.stepAll(ctx, m)
	case keyspace.Deposed:
		k.elected = false
		k.stepAll(ctx, m)
	case serviceList:
		k.setServices(ctx, m)
	case targetList:
		k.setTargets(ctx, m)
	case requestedKeys:
		k.step(ctx, m.service, keyspace.KeysRequested{Keys: m.keys})
	case admission.Sample:
		k.observe(ctx, m)
	case tableRead:
		k.read(ctx, m)
	case tableWritten:
		k.written(ctx, m)
	case orderDone:
		k.ordered(ctx, m)
	}
}

// observe passes an observation to the core of the target's service.
func (k *keeper) observe(ctx context.Context, m admission.Sample) {
	for _, t := range k.targets {
		if t.Target == m.Target {
			k.step(ctx, t.Service, keyspace.SpeedSample{Target: m.Target, Slowness: m.Slowness, Took: m.Took})
			return
		}
	}
}

func (k *keeper) stepAll(ctx context.Context, m keyspace.Message) {
	for s := range k.wards {
		k.step(ctx, s, m)
	}
}

func (k *keeper) step(ctx context.Context, s types.Service, m keyspace.Message) {
	if w := k.wards[s]; w != nil && (k.elected || isState(m)) {
		k.perform(ctx, s, w, w.core.Step(telemetry.Now(), m))
	}
}

// isState reports whether a core needs the message also while it is not the keeper's.
func isState(m keyspace.Message) bool {
	switch m.(type) {
	case keyspace.KeysRequested, keyspace.SpeedSample:
		return false
	}
	return true
}

func (k *keeper) setServices(ctx context.Context, m serviceList) {
	for name, s := range m.services {
		if !s.Keyed || k.wards[name] != nil {
			continue
		}
		k.wards[name] = &ward{core: keyspace.New(k.name, s.HealthPath, k.settings)}
		k.tellMembers(ctx, name)
		if k.elected {
			term := k.term
			term.Acquired = true
			k.step(ctx, name, term)
		}
	}
}

func (k *keeper) setTargets(ctx context.Context, m targetList) {
	k.targets = m.targets
	for _, t := range m.targets {
		k.addresses[ownerOf(t.Registration)] = t.Address
	}
	for s := range k.wards {
		k.tellMembers(ctx, s)
	}
	for _, r := range m.superseded {
		k.step(ctx, r.Service, keyspace.IncarnationEnded{Owner: ownerOf(r)})
	}
}

func ownerOf(r catalog.Registration) keyspace.Owner {
	return keyspace.Owner{Target: r.Target, Life: r.Life}
}

func (k *keeper) tellMembers(ctx context.Context, s types.Service) {
	var list []keyspace.Member
	for _, t := range k.targets {
		if t.Service == s {
			list = append(list, keyspace.Member{
				Owner: ownerOf(t.Registration), Slots: t.Slots, Usable: !t.Draining && !t.Evacuated, ColdUntil: t.ColdUntil,
			})
		}
	}
	k.step(ctx, s, keyspace.Members{Members: list})
}

func (k *keeper) read(ctx context.Context, m tableRead) {
	w := k.wards[m.service]
	if w == nil {
		return
	}
	if m.err != nil {
		k.log.Warn("owners of keys not read", log.Fields{"service": m.service, "error": m.err.Error()})
		k.step(ctx, m.service, keyspace.LoadFailed{})
		return
	}
	w.revision = m.revision
	k.step(ctx, m.service, m.loaded)
}

func (k *keeper) written(ctx context.Context, m tableWritten) {
	w := k.wards[m.service]
	if w == nil {
		return
	}
	if m.err == nil {
		w.revision = m.revision
	} else {
		k.log.Warn("owners of keys not written", log.Fields{"service": m.service, "error": m.err.Error()})
	}
	k.step(ctx, m.service, keyspace.Committed{Err: m.err})
}

func (k *keeper) ordered(ctx context.Context, m orderDone) {
	w := k.wards[m.service]
	if w == nil {
		return
	}
	k.step(ctx, m.service, m.called)
	if m.last {
		k.perform(ctx, m.service, w, w.core.BatchDone(telemetry.Now(), m.called.Call.Owner))
	}
}

func (k *keeper) perform(ctx context.Context, s types.Service, w *ward, actions []keyspace.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case keyspace.LoadTable:
			k.queueStore(ctx, storeJob{service: s})
		case keyspace.CommitTable:
			k.log.Info("owners of keys change", log.Fields{
				"service": s, "ranges": len(a.Table.Ranges), "nextFence": a.Table.NextFence, "overRevision": w.revision,
			})
			table := a.Table
			k.queueStore(ctx, storeJob{service: s, table: &table, expected: w.revision})
		case keyspace.CallBatch:
			k.order(ctx, s, a)
		case keyspace.RangesAssigned:
			k.own(ctx, s, a)
		case keyspace.Moving:
			k.log.Info("keys move", log.Fields{"service": s, "ranges": len(a.Ranges), "reason": a.Reason})
			k.announce(ctx, s, a)
		}
	}
}

// own tells all VMs about new owners. This VM's knowledge is told in the same way.
func (k *keeper) own(ctx context.Context, s types.Service, a keyspace.RangesAssigned) {
	o := ownerChange{service: s, base: a.Base, next: a.Next, ranges: a.Ranges}
	_ = k.knowledge.Put(ctx, o)
	for _, part := range o.parts() {
		_ = k.peers.Put(ctx, report{to: toAll, owners: []ownerChange{part}})
	}
}

// remind repeats the versions of the owners, so that a VM that missed a change reads the table.
func (k *keeper) remind(ctx context.Context, now types.Instant) {
	if now.Before(k.remindAt) {
		return
	}
	k.remindAt = now.Add(remindInterval)
	r := report{to: toAll}
	for s, w := range k.wards {
		if t, ok := w.core.Table(); ok {
			r.owners = append(r.owners, ownerChange{service: s, base: t.NextFence, next: t.NextFence})
		}
	}
	if len(r.owners) > 0 {
		_ = k.peers.Put(ctx, r)
	}
}

func (k *keeper) queueStore(ctx context.Context, j storeJob) { _ = k.stores.Put(ctx, j) }

func (k *keeper) announce(ctx context.Context, s types.Service, m keyspace.Moving) {
	_ = k.admission.Put(ctx, admission.Moving{Service: s, Ranges: m.Ranges})
	_ = k.peers.Put(ctx, report{to: toAll, moving: map[types.Service][]keyspace.Range{s: m.Ranges}})
}

// order passes a batch on. The address of an owner that was never registered while this VM runs is not known: its calls
// fail without being sent.
func (k *keeper) order(ctx context.Context, s types.Service, b keyspace.CallBatch) {
	address := k.addresses[b.Owner]
	host := k.hosts[address]
	if host == nil && address != "" {
		host = platform.NewOrderHost(address)
		k.hosts[address] = host
	}
	_ = k.orders.Put(ctx, orderJob{service: s, batch: b, host: host, until: k.term.Until})
}
