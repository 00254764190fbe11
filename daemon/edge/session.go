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
	// sessionTTL is the time to live of the lease of a VM's entry.
	sessionTTL = 3 * time.Second
	// roleTTL is the same for the role of the keeper. It bounds how long a lost keeper delays its successor, who must renew
	// the grants before they run out.
	roleTTL = 2 * time.Second
	// roleRenewal leaves two more tries before the role ends, roleCall bounds each.
	roleRenewal = 500 * time.Millisecond
	roleCall    = 400 * time.Millisecond
	// roleRetry is how long a failed renewal of the role waits for the next.
	roleRetry = 100 * time.Millisecond
	// sessionRenewal leaves two more tries before the lease ends.
	sessionRenewal = time.Second
	// watcherRenewal is the same on VMs that watch the store for others: the answers show that it is not cut off.
	watcherRenewal = 500 * time.Millisecond
	// sessionRetry is how long a failed call waits for the next.
	sessionRetry = 300 * time.Millisecond
	// sessionCall bounds a call of the session.
	sessionCall = 800 * time.Millisecond
	// sessionEnd bounds the last call, within the stop time of the process.
	sessionEnd = 300 * time.Millisecond
	// sessionMargin is taken off the validity of the role for differences between the clocks.
	sessionMargin = 200 * time.Millisecond
	// electionStep is the time between the tries of two VMs to become the keeper, electionLimit the longest wait. The
	// entry of the first is known to the others within a step or two.
	electionStep  = 40 * time.Millisecond
	electionLimit = 1200 * time.Millisecond
	// electionSpread spreads the tries while the other VMs are not known yet.
	electionSpread = 500 * time.Millisecond
)

// session keeps the lease of this VM, its entry and the role of the keeper.
type session struct {
	store  store.Store
	entry  vmEntry
	in     *ring.Ring[keeperSeen]
	keeper *ring.Ring[any]
	// knowledge hears that the store answers; a full ring holds answers of the store itself.
	knowledge *ring.Ring[any]
	log       *telemetry.Log
	jitter    func(time.Duration) time.Duration
	ttl       time.Duration
	roleTTL   time.Duration

	// lease is that of the VM's entry, role that of the keeper's; 0 for none.
	lease      store.LeaseID
	role       store.LeaseID
	renewAt    types.Instant
	registered bool
	elected    bool
	// leaving is closed when the VM begins to stop: it gives the role of the keeper up.
	leaving chan struct{}
	stopped bool
	seen    keeperSeen
	// heard is true once the store has told who the keeper is, watches while this VM watches the store for others.
	heard      bool
	watches    bool
	validUntil types.Instant
	standAt    types.Instant
}

func (s *session) duty() duty.Duty { return duty.Duty{Name: "session", Run: s.run} }

func (s *session) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(s.round(ctx))
		case <-s.in.Ready():
			s.in.Drain(func(k keeperSeen) { s.see(ctx, k) })
			if s.mayStand() {
				wait := s.electionWait()
				s.standAt = telemetry.Now().Add(wait)
				timer.Reset(wait)
			}
		case <-s.leaving:
			s.leave(ctx)
			s.leaving = nil
			timer.Reset(sessionRetry)
		case <-ctx.Done():
			s.end()
			return nil
		}
	}
}

func (s *session) mayStand() bool {
	return s.heard && !s.elected && !s.stopped && (!s.seen.known || s.succeeds(s.seen.entry))
}

// electionWait lets the larger VMs try first.
func (s *session) electionWait() time.Duration {
	if s.seen.fleet < 2 {
		return s.jitter(electionSpread) + time.Duration(float64(electionSpread)*max(0, 1-s.entry.Cores))
	}
	return min(time.Duration(s.seen.rank)*electionStep, electionLimit) + s.jitter(electionStep)
}

// succeeds reports whether the keeper is an earlier process of this VM, which has ended.
func (s *session) succeeds(k keeperEntry) bool {
	return k.VM == s.entry.VM && k.Incarnation < s.entry.Incarnation
}

// see takes what the store says of the keeper. The role ends when the store names another keeper or none, and begins
// when a write without an answer turns out to have named this VM.
func (s *session) see(ctx context.Context, k keeperSeen) {
	s.heard, s.watches = true, k.watches
	if k.revision < s.seen.revision {
		return
	}
	s.seen = k
	own := k.known && s.isOwn(k.entry)
	switch {
	case s.elected && !own:
		s.depose(ctx, "the store names another keeper")
	case !s.elected && own && !s.stopped && telemetry.Now().Before(s.validUntil):
		s.begin(ctx, s.validUntil, false)
	}
}

func (s *session) isOwn(k keeperEntry) bool {
	return k.VM == s.entry.VM && k.Incarnation == s.entry.Incarnation
}

// begin takes the role of the keeper.
func (s *session) begin(ctx context.Context, until types.Instant, alone bool) {
	s.elected = true
	s.log.Info("elected keeper", log.Fields{"lease": s.lease})
	_ = s.keeper.Put(ctx, keyspace.Elected{Until: until, Acquired: true, NoPredecessor: alone})
}

func (s *session) depose(ctx context.Context, reason string) {
	s.elected = false
	s.log.Warn("no longer the keeper", log.Fields{"reason": reason})
	_ = s.keeper.Put(ctx, keyspace.Deposed{})
}

// round renews what is due and returns the time until the next round.
func (s *session) round(ctx context.Context) time.Duration {
	if s.elected && s.renewRole(ctx) != nil {
		return roleRetry
	}
	if !telemetry.Now().Before(s.renewAt) {
		if err := s.renew(ctx); err != nil {
			return sessionRetry + s.jitter(sessionRetry/3)
		}
		s.renewAt = telemetry.Now().Add(s.renewal())
	}
	if s.stopped {
		s.leave(ctx)
		return sessionRetry
	}
	if s.mayStand() && !telemetry.Now().Before(s.standAt) {
		s.stand(ctx)
	}
	if s.elected {
		return roleRenewal
	}
	return max(0, s.renewAt.Sub(telemetry.Now()))
}

// renewal is the time between two renewals of the lease of the entry.
func (s *session) renewal() time.Duration {
	if s.watches {
		return watcherRenewal
	}
	return sessionRenewal
}

// renewRole renews the lease of the role. A failure is repeated before anything else; the role ends by itself.
func (s *session) renewRole(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, roleCall)
	defer cancel()
	sent := telemetry.Now()
	err := s.store.KeepAlive(callCtx, s.role)
	switch {
	case err == nil:
		s.extend(ctx, sent)
		_ = s.knowledge.TryPut(storeHeard{})
	case types.CodeOf(err) == types.CodeNotFound:
		s.role = 0
		s.depose(ctx, "its lease has ended")
		return nil
	default:
		s.log.Warn("role of the keeper not renewed", log.Fields{"left": s.validUntil.Sub(telemetry.Now()).String(), "error": err.Error()})
	}
	return err
}

func (s *session) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	if s.lease == 0 {
		id, err := s.store.GrantLease(ctx, s.ttl)
		if err != nil {
			return err
		}
		s.lease, s.registered = id, false
	} else if err := s.store.KeepAlive(ctx, s.lease); err != nil {
		if types.CodeOf(err) == types.CodeNotFound {
			s.lease = 0
		}
		return err
	}
	_ = s.knowledge.TryPut(storeHeard{})
	if s.registered {
		return nil
	}
	return s.register(ctx)
}

// extend notes how long the role holds after a call for its lease that was sent at a time, and tells the keeper duty.
func (s *session) extend(ctx context.Context, sent types.Instant) {
	s.validUntil = sent.Add(s.roleTTL - sessionMargin)
	if s.elected {
		_ = s.keeper.Put(ctx, keyspace.Elected{Until: s.validUntil})
	}
}

// register writes the entry of this VM, over one of an earlier incarnation if need be.
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

// stand tries to become the keeper. The loser, and the winner whose answer was lost, learn the result from the watch.
func (s *session) stand(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	sent := telemetry.Now()
	if s.role == 0 || s.store.KeepAlive(ctx, s.role) != nil {
		var err error
		if s.role, err = s.store.GrantLease(ctx, s.roleTTL); err != nil {
			s.log.Info("not elected", log.Fields{"error": err.Error()})
			return
		}
	}
	s.extend(ctx, sent)
	k := keeperEntry{VM: s.entry.VM, Incarnation: s.entry.Incarnation}
	w := store.Write{Key: keeperKey, Value: encodeJSON(k), Lease: s.role}
	succeeds := s.seen.known
	if succeeds {
		w.Expected = s.seen.revision
	}
	revision, err := s.store.CAS(ctx, w)
	if err != nil {
		s.log.Info("not elected", log.Fields{"error": err.Error()})
		return
	}
	s.seen = keeperSeen{entry: k, known: true, revision: revision}
	s.begin(ctx, s.validUntil, succeeds)
}

// leave gives the role of the keeper to another VM at the beginning of a planned stop. While the store does not answer,
// nobody could take it: then this VM keeps it to the end, and the grants hold on after that.
func (s *session) leave(ctx context.Context) {
	s.stopped = true
	if !s.elected {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	e, err := s.store.Get(ctx, keeperKey)
	if err == nil {
		_, err = s.store.CAS(ctx, store.Write{Key: keeperKey, Expected: e.Revision, Delete: true})
	}
	if err != nil {
		s.log.Warn("still the keeper, its entry can't be removed", log.Fields{"error": err.Error()})
		return
	}
	s.depose(ctx, "the VM stops")
}

// end removes the entries of this VM.
func (s *session) end() {
	ctx, cancel := context.WithTimeout(context.Background(), sessionEnd)
	defer cancel()
	for _, id := range []store.LeaseID{s.lease, s.role} {
		if id == 0 {
			continue
		}
		if err := s.store.RevokeLease(ctx, id); err != nil {
			s.log.Warn("lease not ended, it runs out", log.Fields{"error": err.Error()})
		}
	}
}
