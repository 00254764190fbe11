package edge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// versionInterval is how often the coordinator announces the versions of the owner tables that are in force.
const versionInterval = 500 * time.Millisecond

// coordinatorTick is how often the keyspace cores get a tick while this VM is the coordinator.
const coordinatorTick = 50 * time.Millisecond

// movingPerDatagram limits an announcement of moving ranges to one datagram of usual size.
const movingPerDatagram = 100

// Messages to the coordinator duty besides those of the keyspace core.
type (
	// targetList replaces the list of targets.
	targetList struct {
		targets []catalog.Listing
		// superseded lists the registrations whose address a newer target has taken over.
		superseded []catalog.Registration
	}
	// serviceList replaces the configured services.
	serviceList struct {
		services map[types.Service]catalog.Service
	}
	// requestedKeys reports the keys of recent requests.
	requestedKeys struct {
		service types.Service
		keys    []keyspace.Key
	}
	// tableRead is the result of reading an owner table from the store.
	tableRead struct {
		service types.Service
		loaded  keyspace.Loaded
		err     error
	}
	// tableWritten is the result of writing an owner table to the store.
	tableWritten struct {
		service   types.Service
		committed keyspace.Committed
	}
	// ownersKnown is a copy of an owner table, from this or another VM.
	ownersKnown struct {
		service types.Service
		table   keyspace.Table
	}
	// callDone is the result of one call to a target; last marks the end of its batch.
	callDone struct {
		service   types.Service
		completed keyspace.CallCompleted
		last      bool
	}
)

// callBatch is a batch of grant and release calls to one target. host is nil if its address is not known.
type callBatch struct {
	service types.Service
	batch   keyspace.CallBatch
	host    *forward.Host
	// roleEnd is when the coordinator role expires. No call may be sent later.
	roleEnd types.Instant
}

// keyedService is a service with keyed routing and its keyspace core.
type keyedService struct{ core *keyspace.Core }

// coordinator runs the keyspace cores, one for each keyed service, and performs their actions. The cores only act while this
// VM has the coordinator role.
type coordinator struct {
	// name identifies this process as the writer of owner tables.
	name     string
	settings keyspace.Settings
	// The rings: in is the duty's own, tableJobs is that of the table store, batches that of the grant callers, peers that of
	// the peer sender.
	in        *ring.Ring[any]
	tableJobs *ring.Ring[tableJob]
	batches   *ring.Ring[callBatch]
	peers     *ring.Ring[report]
	// admission is the ring of this VM's admission duty, which gets moving keys directly.
	admission *ring.Ring[any]
	// storeCache is the ring of this VM's store cache, which gets new owners directly.
	storeCache *ring.Ring[any]
	log        *telemetry.Log
	// nextVersionsAt is when the versions of the owner tables are announced next.
	nextVersionsAt types.Instant

	keyedServices map[types.Service]*keyedService
	targets       []catalog.Listing
	addresses     *targetAddresses
	// election is the latest message about this VM's role, which it has while elected is true.
	election keyspace.Elected
	elected  bool
	// era is the era of the store.
	era types.Era
}

func (c *coordinator) duty() duty.Duty { return duty.Duty{Name: "keeper", Run: c.run} }

func (c *coordinator) run(ctx context.Context) error {
	tick := time.NewTicker(coordinatorTick)
	defer tick.Stop()
	for {
		c.in.Drain(func(m any) { c.handle(ctx, m) })
		select {
		case <-c.in.Ready():
		case <-c.tickChannel(tick):
			now := telemetry.Now()
			c.announceVersions(ctx, now)
			for s, ks := range c.keyedServices {
				c.perform(ctx, s, ks, ks.core.Tick(now))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tickChannel returns the ticker's channel, or nil while this VM is not the coordinator, so that the duty doesn't wake up.
func (c *coordinator) tickChannel(t *time.Ticker) <-chan time.Time {
	if !c.elected {
		return nil
	}
	return t.C
}

func (c *coordinator) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case keyspace.Elected:
		if m.Era < c.era {
			return
		}
		c.era = m.Era
		c.elected, c.election = true, m
		c.stepAll(ctx, m)
	case deploymentBegan:
		// The configuration is not known yet, so there is no core.
		c.settings.FirstEra = m.era
	case keyspace.EraBegan:
		if m.Era <= c.era {
			return
		}
		c.era, c.elected = m.Era, false
		c.stepAll(ctx, m)
	case ownersKnown:
		c.step(ctx, m.service, keyspace.TableKnown{Table: m.table})
	case keyspace.Deposed:
		c.elected = false
		c.stepAll(ctx, m)
	case serviceList:
		c.setServices(ctx, m)
	case targetList:
		c.setTargets(ctx, telemetry.Now(), m)
	case requestedKeys:
		c.step(ctx, m.service, keyspace.KeysRequested{Keys: m.keys})
	case admission.Sample:
		c.observe(ctx, m)
	case tableRead:
		c.handleTableRead(ctx, m)
	case tableWritten:
		c.handleTableWritten(ctx, m)
	case callDone:
		c.handleCallDone(ctx, m)
	}
}

// observe passes a sample to the core of the target's service.
func (c *coordinator) observe(ctx context.Context, m admission.Sample) {
	for _, t := range c.targets {
		if t.Target == m.Target {
			c.step(ctx, t.Service, keyspace.SpeedSample{Target: m.Target, Slowness: m.Slowness, ResponseTime: m.ResponseTime})
			return
		}
	}
}

func (c *coordinator) stepAll(ctx context.Context, m keyspace.Message) {
	for s := range c.keyedServices {
		c.step(ctx, s, m)
	}
}

// step passes a message to the core of a service and performs the resulting actions.
func (c *coordinator) step(ctx context.Context, s types.Service, m keyspace.Message) {
	if ks := c.keyedServices[s]; ks != nil && (c.elected || changesState(m)) {
		c.perform(ctx, s, ks, ks.core.Step(telemetry.Now(), m))
	}
}

// changesState reports whether a core needs the message also while this VM is not the coordinator. Load measurements are
// dropped then.
func changesState(m keyspace.Message) bool {
	switch m.(type) {
	case keyspace.KeysRequested, keyspace.SpeedSample:
		return false
	}
	return true
}

func (c *coordinator) setServices(ctx context.Context, m serviceList) {
	for name, s := range m.services {
		if !s.Keyed || c.keyedServices[name] != nil {
			continue
		}
		c.keyedServices[name] = &keyedService{core: keyspace.New(c.name, s.HealthPath, c.settings)}
		c.step(ctx, name, keyspace.EraBegan{Era: c.era})
		c.updateMembers(ctx, name)
		if c.elected {
			election := c.election
			election.Acquired = true
			c.step(ctx, name, election)
		}
	}
}

func (c *coordinator) setTargets(ctx context.Context, now types.Instant, m targetList) {
	c.targets = m.targets
	c.addresses.update(now, m.targets)
	for s := range c.keyedServices {
		c.updateMembers(ctx, s)
	}
	for _, r := range m.superseded {
		c.step(ctx, r.Service, keyspace.IncarnationEnded{Owner: ownerOf(r)})
	}
}

// ownerOf returns the owner of keys that a registration stands for.
func ownerOf(r catalog.Registration) keyspace.Owner {
	return keyspace.Owner{Target: r.Target, Incarnation: r.Incarnation}
}

// updateMembers passes the current targets of a service to its core.
func (c *coordinator) updateMembers(ctx context.Context, s types.Service) {
	var list []keyspace.Member
	for _, t := range c.targets {
		if t.Service == s {
			list = append(list, keyspace.Member{
				Owner: ownerOf(t.Registration), Slots: t.Slots, Usable: !t.Draining && !t.Evacuated, ColdUntil: t.ColdUntil,
			})
		}
	}
	c.step(ctx, s, keyspace.Members{Members: list})
}

func (c *coordinator) handleTableRead(ctx context.Context, m tableRead) {
	if m.err != nil {
		c.log.Warn("owners of keys not read", log.Fields{"service": m.service, "error": m.err.Error()})
		if types.CodeOf(m.err) != types.CodeBadConfiguration {
			c.step(ctx, m.service, keyspace.LoadFailed{Command: m.loaded.Command})
			return
		}
		c.step(ctx, m.service, keyspace.TableDamaged{
			Command: m.loaded.Command, Revision: m.loaded.Revision, FenceFloor: fenceFloor(m.loaded.Revision.Era(), time.Now()),
		})
		return
	}
	c.log.Info("owners of keys read", log.Fields{
		"service": m.service, "found": m.loaded.Found, "revision": m.loaded.Revision, "writer": m.loaded.Table.Writer,
		"ranges": len(m.loaded.Table.Ranges), "nextFence": m.loaded.Table.NextFence,
	})
	m.loaded.FenceFloor = fenceFloor(m.loaded.Revision.Era(), time.Now())
	c.step(ctx, m.service, m.loaded)
}

// fenceFloor returns a fencing token above all assigned before now. Tokens count assignments from 1 or from an earlier floor, and
// there is less than one assignment per millisecond. The floors of different eras are FirstEpoch apart, so that a floor is also above
// one that a clock ahead of this one gave in an earlier era.
func fenceFloor(era types.Era, now time.Time) types.Epoch {
	return era.FirstEpoch() + types.Epoch(now.UnixMilli())
}

func (c *coordinator) handleTableWritten(ctx context.Context, m tableWritten) {
	if err := m.committed.Err; err != nil {
		c.log.Warn("owners of keys not written", log.Fields{"service": m.service, "error": err.Error()})
	}
	c.step(ctx, m.service, m.committed)
}

func (c *coordinator) handleCallDone(ctx context.Context, m callDone) {
	ks := c.keyedServices[m.service]
	if ks == nil {
		return
	}
	c.step(ctx, m.service, m.completed)
	if m.last {
		c.perform(ctx, m.service, ks, ks.core.BatchDone(telemetry.Now(), m.completed.Call))
	}
}

// perform executes the actions of the core of a service.
func (c *coordinator) perform(ctx context.Context, s types.Service, ks *keyedService, actions []keyspace.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case keyspace.LoadTable:
			c.queueTableJob(ctx, tableJob{service: s, command: a.Command})
		case keyspace.CommitTable:
			c.log.Info("owners of keys change", log.Fields{
				"service": s, "ranges": len(a.Table.Ranges), "nextFence": a.Table.NextFence, "overRevision": a.Expected,
				"writer": a.Table.Writer,
			})
			table := a.Table
			c.queueTableJob(ctx, tableJob{service: s, command: a.Command, table: &table, expected: a.Expected})
		case keyspace.CallBatch:
			c.queueBatch(ctx, s, a)
		case keyspace.RangesAssigned:
			c.publishOwners(ctx, s, a)
		case keyspace.KeysMoving:
			if !a.Repeated {
				c.log.Info("keys move", log.Fields{"service": s, "ranges": len(a.Ranges), "reason": a.Reason})
			}
			c.announceMoving(ctx, s, a)
		case keyspace.ResultDropped:
			c.log.Warn("outdated result of the store dropped", log.Fields{"service": s, "result": a.Result, "command": a.Command})
		case keyspace.ExpiryAwaited:
			c.log.Warn("no grants until those of earlier eras of the store have expired", log.Fields{"service": s, "wait": a.Wait.String()})
		case keyspace.CommitRefused:
			if len(a.Cancelled) > 0 {
				c.log.Info("moves of keys cancelled", rangeFields(s, a.Cancelled))
			}
			if len(a.Waiting) > 0 {
				c.log.Warn("released keys wait for the store", rangeFields(s, a.Waiting))
			}
		}
	}
}

// loggedRanges bounds the ranges that one log line names.
const loggedRanges = 40

// rangeFields returns the log fields that name ranges of a service with their owners.
func rangeFields(s types.Service, ranges []keyspace.Range) log.Fields {
	var keys strings.Builder
	for i, r := range ranges[:min(len(ranges), loggedRanges)] {
		if i > 0 {
			keys.WriteByte(' ')
		}
		fmt.Fprintf(&keys, "%d-%d:%s", r.From, r.To, r.Owner.Target)
	}
	return log.Fields{"service": s, "ranges": len(ranges), "keys": keys.String()}
}

// publishOwners sends new owners to this VM's store cache and to all other VMs.
func (c *coordinator) publishOwners(ctx context.Context, s types.Service, a keyspace.RangesAssigned) {
	o := ownerChange{service: s, base: a.Base, next: a.Next, ranges: a.Ranges}
	_ = c.storeCache.Put(ctx, o)
	for _, part := range o.parts() {
		_ = c.peers.Put(ctx, report{to: toAll, owners: []ownerChange{part}})
	}
}

// announceVersions sends the versions of the owner tables to all VMs, so that a VM that missed a change reads the table.
func (c *coordinator) announceVersions(ctx context.Context, now types.Instant) {
	if now.Before(c.nextVersionsAt) {
		return
	}
	c.nextVersionsAt = now.Add(versionInterval)
	r := report{to: toAll}
	for s, ks := range c.keyedServices {
		if t, ok := ks.core.Table(); ok {
			r.owners = append(r.owners, ownerChange{service: s, base: t.NextFence, next: t.NextFence})
		}
	}
	if len(r.owners) > 0 {
		_ = c.peers.Put(ctx, r)
	}
}

func (c *coordinator) queueTableJob(ctx context.Context, j tableJob) { _ = c.tableJobs.Put(ctx, j) }

// announceMoving sends the ranges that change owner to this VM's admission and to all other VMs.
func (c *coordinator) announceMoving(ctx context.Context, s types.Service, m keyspace.KeysMoving) {
	_ = c.admission.Put(ctx, admission.KeysMoving{Service: s, Ranges: m.Ranges})
	for part := range slices.Chunk(m.Ranges, movingPerDatagram) {
		_ = c.peers.Put(ctx, report{to: toAll, moving: map[types.Service][]keyspace.Range{s: part}})
	}
}

// queueBatch queues a batch for the grant callers. The address of an owner is not known if it was not registered while this
// process ran, or left too long ago; its calls then fail without being sent.
func (c *coordinator) queueBatch(ctx context.Context, s types.Service, b keyspace.CallBatch) {
	_ = c.batches.Put(ctx, callBatch{service: s, batch: b, host: c.addresses.host(b.Owner), roleEnd: c.election.Until})
}
