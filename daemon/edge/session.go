package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// sessionTTL is the time to live of the lease of this VM's entry.
	sessionTTL = 3 * time.Second
	// roleTTL is the time to live of the lease of the coordinator entry. It bounds how long a failed coordinator delays its
	// successor, which must renew the grants before they expire.
	roleTTL = 2 * time.Second
	// roleRenewInterval leaves time for two more attempts before the role expires. roleCallTimeout bounds each attempt.
	roleRenewInterval = 500 * time.Millisecond
	roleCallTimeout   = 400 * time.Millisecond
	// roleRetryDelay is the delay after a failed renewal of the role.
	roleRetryDelay = 100 * time.Millisecond
	// sessionRenewInterval leaves time for two more attempts before the lease expires.
	sessionRenewInterval = time.Second
	// watcherRenewInterval is the longest interval on VMs that watch the store for others; see watcherRenewal.
	watcherRenewInterval = 500 * time.Millisecond
	// sessionRetryDelay is the delay after a failed call.
	sessionRetryDelay = 300 * time.Millisecond
	// storeCallTimeout bounds a call to the store.
	storeCallTimeout = 800 * time.Millisecond
	// revokeTimeout bounds the revocation of the leases. It fits into closeMargin, so that a silent store does not keep the
	// process until it is killed.
	revokeTimeout = 150 * time.Millisecond
	// clockMargin is subtracted from the validity of the role to allow for clock differences.
	clockMargin = 200 * time.Millisecond
	// electionStep is the time between the candidacies of two VMs of consecutive rank, electionMaxDelay the longest delay.
	// The entry of the first candidate reaches the others within a step or two.
	electionStep     = 40 * time.Millisecond
	electionMaxDelay = 1200 * time.Millisecond
	// electionJitter spreads the candidacies while no other VMs are known.
	electionJitter = 500 * time.Millisecond
)

// session registers this VM in the store, renews its leases and stands for election as coordinator.
type session struct {
	store       store.Store
	entry       vmEntry
	in          *ring.Ring[coordinatorState]
	coordinator *ring.Ring[any]
	// storeCache is the ring of the store cache, which is told that the store answers. A full ring drops this message, because
	// other messages in it show the same.
	storeCache *ring.Ring[any]
	log        *telemetry.Log
	jitter     func(time.Duration) time.Duration
	now        func() types.Instant
	// entryTTL and roleTTL are the times to live of the two leases.
	entryTTL time.Duration
	roleTTL  time.Duration
	// watcherRenewal is the time between two renewals while this VM watches the store for others.
	watcherRenewal time.Duration

	// lease is the lease of the VM's entry, roleLease that of the coordinator entry; 0 for none.
	lease     store.LeaseID
	roleLease store.LeaseID
	// renewAt is when lease is renewed next.
	renewAt types.Instant
	// registered is true once the VM's entry has been written under lease.
	registered bool
	// renewalFailed is true if the latest renewal of the entry failed.
	renewalFailed bool
	// elected is true while this VM is the coordinator.
	elected bool
	// stopRequested is closed when the VM begins to stop: it then resigns as coordinator.
	stopRequested chan struct{}
	// resigned is true once the VM has begun to stop: it no longer stands for election.
	resigned bool
	// state is the latest known state of the coordinator entry.
	state coordinatorState
	// stateReceived is true once a first state has arrived from the store cache, watching while this VM watches the store for
	// others.
	stateReceived bool
	watching      bool
	// roleUntil is when the role's lease expires unless it is renewed.
	roleUntil types.Instant
	// campaignAt is the earliest time of the next candidacy.
	campaignAt types.Instant

	// storeEra returns the latest era of the store that a response to this VM has shown; nil means that there is only one. era is the
	// one that the state above belongs to, and eraBeganAt when it was first seen.
	storeEra   func() types.Era
	era        types.Era
	eraBeganAt types.Instant
	// notBefore is the earliest time of a candidacy in this era.
	notBefore types.Instant
	// continuing is true if this VM was the coordinator until the era began and no other one is known since. roleEnd is when the role
	// would have expired, and continueTime how long the VM tries.
	continuing   bool
	roleEnd      types.Instant
	continueTime time.Duration
}

func (s *session) duty() duty.Duty { return duty.Duty{Name: "session", Run: s.run} }

func (s *session) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(s.renewDue(ctx))
		case <-s.in.Ready():
			era := s.era
			s.in.Drain(func(state coordinatorState) { s.updateState(ctx, state) })
			mayCampaign := s.mayCampaign()
			if mayCampaign {
				s.campaignAt = max(s.now().Add(s.campaignDelay()), s.notBefore)
			}
			switch {
			case s.era != era || s.continuing:
				timer.Reset(0)
			case mayCampaign:
				timer.Reset(s.campaignAt.Sub(s.now()))
			}
		case <-s.stopRequested:
			s.resign(ctx)
			s.stopRequested = nil
			timer.Reset(sessionRetryDelay)
		case <-ctx.Done():
			s.revokeLeases()
			return nil
		}
	}
}

// mayCampaign reports whether this VM may stand for election: the state is known and names no coordinator, or an earlier
// process of this VM.
func (s *session) mayCampaign() bool {
	return s.stateReceived && !s.elected && !s.resigned && (!s.state.present || s.isPredecessor(s.state.entry))
}

// campaignDelay returns the delay before a candidacy. It is shorter for larger VMs.
func (s *session) campaignDelay() time.Duration {
	if s.state.vmCount < 2 {
		return s.jitter(electionJitter) + time.Duration(float64(electionJitter)*max(0, 1-s.entry.Cores))
	}
	return min(time.Duration(s.state.rank)*electionStep, electionMaxDelay) + s.jitter(electionStep)
}

// isPredecessor reports whether the coordinator entry is of an earlier process of this VM, which has ended.
func (s *session) isPredecessor(c coordinatorEntry) bool {
	return c.VM == s.entry.VM && c.Incarnation < s.entry.Incarnation
}

// updateState takes a coordinator state from the store cache. The role ends when the store names another coordinator or none.
// It begins when a write whose answer was lost turns out to have succeeded.
func (s *session) updateState(ctx context.Context, next coordinatorState) {
	s.watching = next.watching
	s.checkEra()
	s.beginEra(next.revision.Era())
	if next.revision.Era() < s.era {
		return
	}
	s.stateReceived = true
	if next.revision < s.state.revision {
		return
	}
	s.state = next
	self := next.present && s.isSelf(next.entry)
	if next.ofEarlierEra && !s.continuing {
		s.notBefore = max(s.notBefore, s.eraBeganAt.Add(s.roleTTL))
	}
	switch {
	case s.continuing && next.present && !self:
		s.stopContinuing(ctx, "the store names another keeper")
	case s.elected && !self:
		s.loseRole(ctx, "the store names another keeper")
	case !s.elected && self && !s.resigned && s.now().Before(s.roleUntil):
		s.assumeRole(ctx)
	}
}

// isSelf reports whether a coordinator entry names this process.
func (s *session) isSelf(c coordinatorEntry) bool {
	return c.VM == s.entry.VM && c.Incarnation == s.entry.Incarnation
}

// assumeRole starts the coordinator role, which lasts until roleUntil. An earlier coordinator may still be active: also one whose
// entry was replaced by an earlier process of this VM.
func (s *session) assumeRole(ctx context.Context) {
	s.log.Info("elected keeper", log.Fields{"lease": s.lease, "continues": s.continuing})
	s.elected, s.continuing = true, false
	_ = s.coordinator.Put(ctx, keyspace.Elected{Until: s.roleUntil, Acquired: true, Era: s.era})
}

// loseRole ends the coordinator role.
func (s *session) loseRole(ctx context.Context, reason string) {
	s.elected = false
	s.log.Warn("no longer the keeper", log.Fields{"reason": reason})
	_ = s.coordinator.Put(ctx, keyspace.Deposed{})
}

// renewDue renews the leases that are due, stands for election if that is due, and returns the time until the next call.
func (s *session) renewDue(ctx context.Context) time.Duration {
	s.checkEra()
	if s.elected && s.renewRole(ctx) != nil {
		return roleRetryDelay
	}
	if s.continuing {
		if s.continueRole(ctx); s.continuing {
			return roleRetryDelay
		}
	}
	if !s.now().Before(s.renewAt) {
		err := s.renew(ctx)
		s.noteRenewal(err)
		if err != nil {
			return sessionRetryDelay + s.jitter(sessionRetryDelay/3)
		}
		s.renewAt = s.now().Add(s.renewInterval())
	}
	if s.resigned {
		s.resign(ctx)
		return sessionRetryDelay
	}
	if s.mayCampaign() && !s.now().Before(max(s.campaignAt, s.notBefore)) {
		s.campaign(ctx)
	}
	if s.elected {
		return roleRenewInterval
	}
	next := s.renewAt
	if s.era > 0 && s.mayCampaign() {
		next = min(next, max(s.campaignAt, s.notBefore))
	}
	return max(0, next.Sub(s.now()))
}

// renewInterval returns the time between two renewals of the entry's lease.
func (s *session) renewInterval() time.Duration {
	if s.watching {
		return s.watcherRenewal
	}
	return sessionRenewInterval
}

// renewRole renews the lease of the role. After a failure it is retried before anything else. Without renewal the role
// expires.
func (s *session) renewRole(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	sent := s.now()
	err := s.store.KeepAlive(callCtx, s.roleLease)
	switch {
	case s.checkEra():
		return nil
	case err == nil:
		s.extendRole(ctx, sent)
		_ = s.storeCache.TryPut(storeAnswered{sentAt: sent})
	case types.CodeOf(err) == types.CodeNotFound:
		s.roleLease = 0
		s.loseRole(ctx, "its lease has expired")
		return nil
	default:
		s.log.Warn("failed to renew the lease of the keeper", log.Fields{"left": s.roleUntil.Sub(s.now()).String(), "error": err.Error()})
	}
	return err
}

// noteRenewal logs the first of several failures in a row to renew this VM's entry. A long series has one line, because each VM
// repeats the call until the store answers.
func (s *session) noteRenewal(err error) {
	if err != nil && !s.renewalFailed {
		s.log.Warn("failed to renew the entry of this VM", log.Fields{"error": err.Error()})
	}
	s.renewalFailed = err != nil
}

// renew requests or renews the lease of this VM's entry, and writes the entry if it is missing.
func (s *session) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := s.now()
	if s.lease == 0 {
		id, err := s.store.GrantLease(ctx, s.entryTTL)
		s.checkEra()
		if err != nil {
			return err
		}
		s.lease, s.registered = id, false
	} else if err := s.store.KeepAlive(ctx, s.lease); err != nil {
		s.checkEra()
		if types.CodeOf(err) == types.CodeNotFound {
			s.lease = 0
		}
		return err
	}
	_ = s.storeCache.TryPut(storeAnswered{sentAt: sent})
	if s.registered {
		return nil
	}
	return s.register(ctx)
}

// extendRole extends the validity of the role after a call for its lease that was sent at the given time, and tells the
// coordinator duty.
func (s *session) extendRole(ctx context.Context, sent types.Instant) {
	s.roleUntil = sent.Add(s.roleTTL - clockMargin)
	if s.elected {
		_ = s.coordinator.Put(ctx, keyspace.Elected{Until: s.roleUntil, Era: s.era})
	}
}

// register writes the entry of this VM and replaces one of an earlier incarnation.
func (s *session) register(ctx context.Context) error {
	key := vmPrefix + string(s.entry.VM)
	w := store.Write{Key: key, Value: encodeJSON(s.entry), Lease: s.lease}
	_, err := s.store.CAS(ctx, w)
	if types.CodeOf(err) == types.CodeConflict {
		var old store.Entry
		if old, err = s.store.Get(ctx, key); err != nil {
			return err
		}
		w.Expected = old.Revision
		_, err = s.store.CAS(ctx, w)
	}
	if err != nil {
		if types.CodeOf(err) == types.CodeNotFound {
			s.lease = 0
		}
		return err
	}
	s.registered = true
	s.log.Info("VM registered", log.Fields{"incarnation": s.entry.Incarnation, "lease": s.lease})
	return nil
}

// campaign tries to write the coordinator entry. A VM that loses, or whose answer is lost, learns the result from the watch.
func (s *session) campaign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if !s.continuing && !s.state.present && s.roleLease == 0 && s.coordinatorExists(ctx) {
		return
	}
	sent := s.now()
	if err := s.holdRoleLease(ctx); s.checkEra() {
		return
	} else if err != nil {
		s.log.Info("not elected", log.Fields{"error": err.Error()})
		return
	}
	s.extendRole(ctx, sent)
	own := coordinatorEntry{VM: s.entry.VM, Incarnation: s.entry.Incarnation, Era: s.era}
	w := store.Write{Key: coordinatorKey, Value: encodeJSON(own), Lease: s.roleLease}
	w.Expected = s.state.invalidRevision
	if s.state.present {
		// The entry is that of an earlier process of this VM, which has ended; see mayCampaign.
		w.Expected = s.state.revision
	}
	revision, err := s.store.CAS(ctx, w)
	if s.checkEra() {
		return
	}
	if err != nil {
		s.log.Info("not elected", log.Fields{"error": err.Error()})
		return
	}
	s.state = coordinatorState{entry: own, present: true, revision: revision}
	s.assumeRole(ctx)
}

// holdRoleLease renews the lease of the role, or requests one if there is none. After a failed renewal the lease may still be
// valid, and an earlier write of the coordinator entry that got no answer may be carried out under it. With a second lease this VM
// would renew that one, and act as the coordinator after the entry has been removed with the first.
func (s *session) holdRoleLease(ctx context.Context) (err error) {
	if s.roleLease != 0 {
		if err = s.store.KeepAlive(ctx, s.roleLease); err == nil || types.CodeOf(err) != types.CodeNotFound {
			return err
		}
	}
	s.roleLease, err = s.store.GrantLease(ctx, s.roleTTL)
	return err
}

// coordinatorExists reports whether the store names a coordinator that this VM does not know yet. When many VMs start together,
// most learn of the first one only after they have become candidates; this read saves them the lease and the write.
func (s *session) coordinatorExists(ctx context.Context) bool {
	e, err := s.store.Get(ctx, coordinatorKey)
	if err != nil || e.Revision == s.state.invalidRevision {
		return false
	}
	s.log.Info("not elected", log.Fields{"error": "the store names a coordinator", "revision": e.Revision})
	return true
}

// resign revokes the lease of the role at the beginning of a planned stop, which removes the coordinator entry, so that another VM
// can take the role. A revocation without an answer may be repeated and may be carried out late: it never removes the entry of
// another VM, and this VM can't renew its role after it. While the store does not answer, no VM could take the role: this VM then
// keeps it until it stops, and the grants stay valid for their time to live after that.
func (s *session) resign(ctx context.Context) {
	s.resigned, s.continuing = true, false
	if s.roleLease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := s.store.RevokeLease(ctx, s.roleLease); err != nil && types.CodeOf(err) != types.CodeNotFound {
		s.log.Warn("failed to revoke the lease of the keeper", log.Fields{"elected": s.elected, "error": err.Error()})
		return
	}
	s.roleLease = 0
	if s.elected {
		s.loseRole(ctx, "the VM is stopping")
		_ = s.storeCache.TryPut(roleResigned{})
	}
}

// revokeLeases revokes the leases of this VM, which removes its entries.
func (s *session) revokeLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	for _, id := range []store.LeaseID{s.lease, s.roleLease} {
		if id == 0 {
			continue
		}
		if err := s.store.RevokeLease(ctx, id); err != nil {
			s.log.Warn("failed to revoke a lease, it will expire", log.Fields{"error": err.Error()})
		}
	}
}
