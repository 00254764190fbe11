package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// firstStartTime is how soon after the first start of a deployment the store must have answered for its era to be the one in which
	// the deployment begins: the first grants are sent later, so that an earlier era can't have had any. Without such an answer, a
	// coordinator that finds no owner table waits until the grants of an earlier era would have expired.
	firstStartTime = time.Second
	// vmGrace is how long VMs that the snapshot of a restored store lacks are kept in the list. Each registers again at its next
	// call of the store, after sessionRenewInterval at most.
	vmGrace = 2200 * time.Millisecond
	// ownersQueryTime is how long after the beginning of an era a new coordinator asks its neighbours for their owner tables, and
	// ownersQueryCount how many of them.
	ownersQueryTime  = 30 * time.Second
	ownersQueryCount = 3
)

// eraBegan tells the store cache that a response of the store has shown a new era.
type eraBegan struct{ era types.Era }

// deploymentBegan tells the coordinator duty that no grant is older than this era of the store.
type deploymentBegan struct{ era types.Era }

// eraObserver passes new eras from the store client to the store cache. The ring in only wakes it: calls that show two eras at the
// same time may put them in any order.
type eraObserver struct {
	in  *ring.Ring[types.Era]
	out *ring.Ring[any]
	era func() types.Era
}

func (o *eraObserver) duty() duty.Duty { return duty.Duty{Name: "store-era", Run: o.run} }

func (o *eraObserver) run(ctx context.Context) error {
	o.in.Serve(ctx, func(types.Era) error { return o.out.Put(ctx, eraBegan{era: o.era()}) })
	return nil
}

// beginEra takes a new era of the store. Watches list their prefixes again, and entries that the snapshot lacks are kept for their
// grace periods. The coordinator duty gets the known owners, from which it may have to start.
func (sc *storeCache) beginEra(ctx context.Context, now types.Instant, era types.Era) {
	if era <= sc.era {
		return
	}
	if sc.lastCoordinator == nil && !sc.registrationsRead && sc.configuration == nil {
		first := sc.firstStart && now.Sub(sc.watchState.startedAt) <= firstStartTime
		sc.log.Info("the store counts eras", log.Fields{"era": era, "firstStart": first})
		if first {
			sc.deliver(ctx, sc.coordinator, deploymentBegan{era: era})
		}
	} else {
		sc.log.Warn("the store has come back from an older snapshot", log.Fields{"era": era, "earlier": sc.era})
		sc.registry.BeginEra(now)
	}
	sc.era, sc.eraBeganAt = era, now
	for prefix, c := range sc.prefixCache {
		if c.following && c.knownRevision.Era() < era {
			sc.startWatch(prefix, c)
		}
	}
	sc.deliver(ctx, sc.coordinator, keyspace.EraBegan{Era: era})
	for s, t := range sc.owners {
		sc.deliver(ctx, sc.coordinator, ownersKnown{service: s, table: t})
	}
	sc.notifySession()
}

// era returns the era of an update with entries or changes.
func (u update) era() types.Era {
	if len(u.events) > 0 {
		return max(u.revision, u.events[0].Revision).Era()
	}
	return u.revision.Era()
}

// keepVMs puts the VMs of an earlier list that a snapshot lacks back into the list, during their grace period.
func (sc *storeCache) keepVMs(earlier map[types.VM]vmEntry) {
	if sc.era == 0 || sc.now().Sub(sc.eraBeganAt) >= vmGrace {
		return
	}
	for name, m := range earlier {
		if _, listed := sc.vms[name]; !listed {
			sc.vms[name] = m
			sc.keepsVMs = true
		}
	}
}

// expireVMs removes the VMs that were kept and have not registered again.
func (sc *storeCache) expireVMs(ctx context.Context, now types.Instant) {
	if !sc.keepsVMs || now.Sub(sc.eraBeganAt) < vmGrace {
		return
	}
	sc.keepsVMs = false
	for name := range sc.vms {
		if _, present := sc.prefixCache[daemonPrefix].entries[vmPrefix+string(name)]; !present {
			delete(sc.vms, name)
		}
	}
	sc.publishVMs(ctx)
}

// queryOwners asks neighbours for their owner tables if this VM becomes the coordinator soon after the beginning of an era.
func (sc *storeCache) queryOwners(now types.Instant) {
	if sc.era == 0 || now.Sub(sc.eraBeganAt) >= ownersQueryTime {
		return
	}
	neighbours := sc.neighbours()
	for _, m := range neighbours[:min(len(neighbours), ownersQueryCount)] {
		sc.queueMirrorRequest(ownerPrefix, m.MirrorAddress)
	}
}

// coordinatorStateOf returns the state that a coordinator entry stands for, and the fault of an invalid one. An entry that names
// nobody, or that was written in an earlier era than that of the store, counts as none, and candidates replace it.
func coordinatorStateOf(e store.Entry) (coordinatorState, error) {
	entry, err := decodeCoordinatorEntry(e.Value)
	if err != nil {
		return coordinatorState{invalidRevision: e.Revision, revision: e.Revision}, err
	}
	if entry.Era < e.Revision.Era() {
		return coordinatorState{invalidRevision: e.Revision, revision: e.Revision, ofEarlierEra: true}, nil
	}
	return coordinatorState{entry: entry, present: true, revision: e.Revision}, nil
}

// checkEra ends what belongs to an earlier era if a response to this VM has shown a new one. It reports whether it has.
func (s *session) checkEra() bool {
	if s.storeEra == nil {
		return false
	}
	return s.beginEra(s.storeEra())
}

// beginEra ends the leases and the role of the era before. A VM that was the coordinator until now knows every move and continues: it
// stands for election at once. Any other VM that knows of a coordinator waits until that one's role has expired, because the
// coordinator may not have seen the new era yet.
func (s *session) beginEra(era types.Era) bool {
	if era <= s.era {
		return false
	}
	now := s.now()
	if s.elected {
		s.roleEnd = s.roleUntil
	}
	s.continuing = (s.elected || s.continuing) && now.Before(s.roleEnd) && !s.resigned
	if s.lease != 0 || s.elected {
		s.log.Warn("leases of an earlier era of the store end", log.Fields{"era": era, "keeper": s.elected, "continuing": s.continuing})
	}
	s.era, s.eraBeganAt, s.notBefore = era, now, now
	if s.state.present && !s.continuing {
		s.notBefore = now.Add(s.roleTTL)
	}
	revision, _ := types.NewRevision(era, 0)
	s.state = coordinatorState{revision: revision, rank: s.state.rank, vmCount: s.state.vmCount}
	s.stateReceived, s.elected, s.registered = false, false, false
	s.lease, s.roleLease, s.roleUntil, s.renewAt = 0, 0, 0, now
	return true
}

// continueRole stands for election again after the beginning of an era. It gives up when another VM has the role, or after
// continueTime: the coordinator duty could not go on from what it knows any more.
func (s *session) continueRole(ctx context.Context) {
	if s.now().Sub(s.eraBeganAt) >= s.continueTime {
		s.stopContinuing(ctx, "no answer of the store")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	e, err := s.store.Get(callCtx, coordinatorKey)
	if s.checkEra() || (err != nil && types.CodeOf(err) != types.CodeNotFound) {
		return
	}
	state := coordinatorState{revision: e.Revision}
	if err == nil {
		// An entry that can't be read is logged by the store cache.
		state, _ = coordinatorStateOf(e)
	}
	if state.present && !s.isSelf(state.entry) {
		s.stopContinuing(ctx, "the store names another keeper")
		return
	}
	state.rank, state.vmCount = s.state.rank, s.state.vmCount
	s.state = state
	if !state.present {
		s.campaign(ctx)
		return
	}
	// An earlier candidacy got no answer.
	sent := s.now()
	if s.roleLease != 0 && s.store.KeepAlive(callCtx, s.roleLease) == nil && !s.checkEra() {
		s.extendRole(ctx, sent)
		s.assumeRole(ctx)
	}
}

// stopContinuing ends what continuing has kept.
func (s *session) stopContinuing(ctx context.Context, reason string) {
	s.continuing = false
	s.loseRole(ctx, reason)
}
