package edge

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// expireInterval is how often missing registrations are looked at.
const expireInterval = 200 * time.Millisecond

// view is what the knowledge duty publishes for the front and the ready page.
type view struct {
	table *catalog.Table
	// complete is true once configuration, registrations and owners are known.
	complete bool
}

// knowledge owns what the store has told and passes changes on.
type knowledge struct {
	in        *ring.Ring[any]
	reads     *ring.Ring[ownerRead]
	audits    *ring.Ring[auditRequest]
	reports   *ring.Ring[report]
	mirrors   *ring.Ring[mirrorAsk]
	admission *ring.Ring[any]
	keeper    *ring.Ring[any]
	session   *ring.Ring[keeperSeen]
	peers     *ring.Ring[fleet]
	log       *telemetry.Log
	published atomic.Pointer[view]

	registry      *catalog.Registry
	configuration *catalog.Table
	vms           map[types.VM]vmEntry
	owners        map[types.Service]keyspace.Table
	// raw keeps the value of each registration, so that unchanged ones are not decoded again.
	raw        map[types.Target][]byte
	registered bool
	vm         types.VM
	// entry is that of this VM; gates open and close its watches.
	entry vmEntry
	// seeds are addresses of VMs that may answer when no other VM is known.
	seeds    []string
	gates    map[string]*ring.Ring[bool]
	watching watching
	keeperVM types.VM
	// seen is what the session was last told; nil before the store has told who the keeper is.
	seen *keeperSeen
	// turn rotates the VMs that are asked in place of the store.
	turn     int
	contents map[string]*contents
	// auditedAt is when the keeper last told what the store holds.
	auditedAt types.Instant
	// heardAt is when the keeper last told the version of the owners, readAt when they were last asked from the store.
	heardAt types.Instant
	// ownersAsked is when a neighbour was last asked for them.
	ownersAsked types.Instant
	readAt      map[types.Service]types.Instant
}

// keeperSeen tells the session who the store says is the keeper.
type keeperSeen struct {
	entry keeperEntry
	known bool
	// revision is the store's revision at which this was so.
	revision types.Revision
	// rank is the position of this VM among all, the largest first; VMs stand for election in this order.
	rank int
	// fleet is the number of VMs that are known.
	fleet int
	// watches is true while this VM watches the store for its data centre.
	watches bool
}

func newKnowledge() *knowledge {
	k := &knowledge{
		registry: catalog.NewRegistry(), vms: make(map[types.VM]vmEntry),
		owners: make(map[types.Service]keyspace.Table), raw: make(map[types.Target][]byte),
		readAt:   make(map[types.Service]types.Instant),
		contents: make(map[string]*contents), gates: make(map[string]*ring.Ring[bool]),
	}
	for _, prefix := range prefixes {
		k.contents[prefix] = newContents()
		k.gates[prefix] = ring.New[bool](1)
	}
	k.published.Store(&view{})
	return k
}

func (k *knowledge) duty() duty.Duty { return duty.Duty{Name: "knowledge", Run: k.run} }

func (k *knowledge) run(ctx context.Context) error {
	k.watching.startedAt = telemetry.Now()
	k.watching.storeAt = k.watching.startedAt
	k.decide(k.watching.startedAt)
	_ = k.gates[ownPrefix].Replace(true)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		k.in.Drain(func(m any) { k.handle(ctx, m) })
		select {
		case <-k.in.Ready():
		case <-tick.C:
			k.refresh(telemetry.Now())
			k.audit(telemetry.Now())
			k.askMirror(telemetry.Now())
			k.checkDoubts(telemetry.Now())
			k.decide(telemetry.Now())
			k.tellNeighbours(telemetry.Now(), false)
			if k.registry.Expire(telemetry.Now()) {
				k.tellTargets(ctx)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *knowledge) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case update:
		k.apply(ctx, m)
	case ownerChange:
		k.applyChange(ctx, m)
	case mirrorRead:
		k.answerMirror(telemetry.Now(), m)
		return
	case storeHeard:
		k.hearStore(telemetry.Now())
		return
	case toldDigest:
		k.hearDigest(telemetry.Now(), m.from, m.digest)
	case ownersFound:
		k.applyFound(ctx, m)
	}
	k.publish()
}

func (k *knowledge) apply(ctx context.Context, u update) {
	now := telemetry.Now()
	if u.prefix == ownerPrefix {
		k.applyMirroredOwners(ctx, u)
		return
	}
	c := k.contents[u.prefix]
	if c != nil && !u.mirrored {
		c.away = u.err != nil && types.CodeOf(u.err) != types.CodeNotFound
		if u.err == nil {
			k.hearStore(now)
		}
	}
	if u.err != nil {
		if u.prefix == platform.TargetPrefix && types.CodeOf(u.err) != types.CodeNotFound {
			k.registry.StoreAway()
		}
		return
	}
	if u.prefix == platform.TargetPrefix {
		k.registry.StoreBack()
		k.registry.Grace(now, u.graceLeft)
	}
	if u.mirrored {
		k.log.Info("another VM told what the store holds", log.Fields{"prefix": u.prefix, "revision": u.revision})
	}
	if c != nil {
		changed := c.apply(u)
		if u.audit || (changed && !u.mirrored) {
			k.tellDigest(ctx, u.prefix)
		}
		if !changed {
			return
		}
	}
	switch u.prefix {
	case platform.TargetPrefix:
		k.applyTargets(ctx, now, u)
	case platform.OperatorPrefix:
		k.applyOperator(ctx, u)
	default:
		k.applyOwn(ctx, u)
		k.decide(now)
	}
	k.tellNeighbours(now, !u.mirrored)
}

func (k *knowledge) publish() {
	v := &view{table: k.configuration, complete: k.configuration != nil && k.registered}
	if v.table != nil {
		for name, s := range v.table.Services() {
			v.complete = v.complete && (!s.Keyed || len(k.owners[name].Ranges) > 0)
		}
	}
	k.published.Store(v)
}

func (k *knowledge) applyTargets(ctx context.Context, now types.Instant, u update) {
	if u.snapshot {
		var list []catalog.Registration
		for _, e := range u.entries {
			if r, ok := k.register(e); ok {
				list = append(list, r)
			}
		}
		k.registry.Replace(now, list)
		k.registered = true
	}
	for _, e := range u.events {
		t, ok := platform.RegisteredTarget(e.Key)
		if !ok {
			continue
		}
		if e.Deleted {
			k.log.Info("target gone", log.Fields{"target": t, "revision": e.Revision})
			delete(k.raw, t)
			k.registry.Remove(now, t)
			continue
		}
		if bytes.Equal(k.raw[t], e.Value) {
			continue
		}
		if r, ok := k.register(e.Entry); ok {
			k.registry.Put(now, r)
		} else {
			k.registry.Remove(now, t)
		}
	}
	k.tellTargets(ctx)
}

// register decodes a registration. One that can't be read names no target to use.
func (k *knowledge) register(e store.Entry) (catalog.Registration, bool) {
	t, ok := platform.RegisteredTarget(e.Key)
	if !ok {
		return catalog.Registration{}, false
	}
	seen := bytes.Equal(k.raw[t], e.Value)
	k.raw[t] = e.Value
	r, err := platform.DecodeRegistration(t, e.Value)
	if err != nil {
		if !seen {
			k.log.Warn("registration ignored", log.Fields{"target": t, "revision": e.Revision, "error": err.Error()})
		}
		return r, false
	}
	if !seen {
		k.log.Info("target registered", log.Fields{
			"target": t, "life": r.Life, "service": r.Service, "address": r.Address, "dataCentre": r.DataCentre,
			"draining": r.Draining, "coldFor": r.ColdFor.String(), "revision": e.Revision,
		})
	}
	return r, true
}

func (k *knowledge) tellTargets(ctx context.Context) {
	list := k.registry.List()
	k.pass(ctx, k.admission, admission.Targets{Targets: list})
	k.pass(ctx, k.keeper, targetList{targets: list, superseded: k.registry.Superseded()})
}

// pass hands a message to another duty. The only failure is the end of the process.
func (k *knowledge) pass(ctx context.Context, to *ring.Ring[any], m any) { _ = to.Put(ctx, m) }

func (k *knowledge) applyOperator(ctx context.Context, u update) {
	if u.snapshot {
		var out []types.DataCentre
		for _, e := range u.entries {
			if d, ok := platform.EvacuatedDataCentre(e.Key); ok {
				out = append(out, d)
			}
			k.configure(ctx, e)
		}
		k.registry.ReplaceEvacuations(out)
	}
	for _, e := range u.events {
		if d, ok := platform.EvacuatedDataCentre(e.Key); ok {
			k.log.Info("data centre evacuation", log.Fields{"dataCentre": d, "out": !e.Deleted, "revision": e.Revision})
			k.registry.Evacuate(d, !e.Deleted)
			continue
		}
		if !e.Deleted {
			k.configure(ctx, e.Entry)
		}
	}
	k.tellTargets(ctx)
}

// configure takes a configuration into force unless it is older than the present one.
func (k *knowledge) configure(ctx context.Context, e store.Entry) {
	if !platform.IsConfiguration(e.Key) {
		return
	}
	c, err := platform.DecodeConfiguration(e.Value)
	if err != nil {
		k.log.Warn("configuration ignored", log.Fields{"revision": e.Revision, "error": err.Error()})
		return
	}
	if k.configuration != nil && c.Version <= k.configuration.Version() {
		return
	}
	k.configuration = catalog.NewTable(c)
	k.log.Info("configuration in force", log.Fields{"version": c.Version, "routes": len(c.Routes), "revision": e.Revision})
	k.pass(ctx, k.admission, admission.Services{Services: c.Services})
	k.pass(ctx, k.keeper, serviceList{services: c.Services})
	for name, t := range k.owners {
		k.pass(ctx, k.admission, admission.Owners{Service: name, Table: t})
	}
}
