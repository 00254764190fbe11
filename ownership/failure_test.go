package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// maxOutage is the time within which a key must be served again after a loss (docs/design.md, 1.6).
const maxOutage = 3 * time.Second

// newStartedSim returns a sim in which all slots are served.
func newStartedSim(t *testing.T, scope config.GroupScope) *sim {
	t.Helper()
	s := newSim(t, 1, testConfig(scope, 64, 6, "a", "b", "c"), 3)
	s.run(4 * time.Second)
	is.New(t).Equal(s.served(), 64)
	return s
}

// requireServed runs for d and checks that all slots are served at the end and were never unserved for longer than
// limit.
func (s *sim) requireServed(t *testing.T, d, limit time.Duration) {
	t.Helper()
	longest, recovered := s.outage(d)
	t.Logf("longest time without full service: %v", longest)
	if !recovered || longest > limit {
		t.Fatalf("unserved for %v, recovered %v\n%v", longest, recovered, s.log[max(0, len(s.log)-40):])
	}
}

// decisionCount returns how many decisions were logged with a reason.
func (s *sim) decisionCount(r Reason) int { return s.decisions[r] }

// Guards against an empty table that is never filled, which leaves keys unserved, or filled twice, which gives keys
// two owners.
func TestEmptyTableIsSpread(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	is.New(t).Equal(s.decisionCount(ReasonSlotsSpread), 1)
}

// Guards against slots that stay unserved after their target crashed.
func TestTargetCrash(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	id, _ := s.owner(0)
	s.targets[id].down = true
	s.requireServed(t, 5*time.Second, maxOutage)
}

// Guards against a target that accepts an old renewal after a freeze. The target still considers its grant valid;
// without the check of the token's age it would accept a renewal that waited in its queue, while another target owns
// the slots.
func TestTargetFreezeAndReturn(t *testing.T) {
	for _, d := range []time.Duration{400 * time.Millisecond, 650 * time.Millisecond, time.Second, 5 * time.Second} {
		s := newStartedSim(t, config.ScopeDataCentre)
		id, _ := s.owner(0)
		s.targets[id].frozenUntil = s.now.Add(d)
		s.requireServed(t, 10*time.Second, maxOutage)
	}
}

// Guards against a restarted target that accepts a delayed grant of its former dispatcher: it has lost its epochs and
// cannot compare them.
func TestTargetRestart(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	id, before := s.owner(0)
	s.targets[id].restart()
	s.requireServed(t, 5*time.Second, maxOutage)
	_, after := s.owner(0)
	is.New(t).True(after.Epoch > before.Epoch)
}

// Guards against targets that stay unserved after their dispatcher was lost.
func TestVMLost(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	id, l := s.owner(0)
	s.stop(l.Holder.VM)
	s.requireServed(t, 5*time.Second, maxOutage)
	after, _ := s.owner(0)
	is.New(t).Equal(after, id) // the target keeps its slots
}

// Guards against leases that stay with a lost VM for ever when the VMs of a data centre fail one after another. Once
// one of two members is lost, no majority of the two can reply; without the rule that one of two is enough to block a
// majority, the leases of the second VM are never reassigned.
func TestVMsLostOneAfterAnother(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	id, l := s.owner(0)
	s.stop(l.Holder.VM)
	s.requireServed(t, 20*time.Second, maxOutage)
	_, l = s.owner(0)
	s.stop(l.Holder.VM)
	s.requireServed(t, 20*time.Second, maxOutage)
	after, _ := s.owner(0)
	is.New(t).Equal(after, id) // the target keeps its slots
}

// Guards against a VM that acts on its old permit after a pause longer than all timeouts, and against leases that are
// assigned to it again while it is paused.
func TestVMPaused(t *testing.T) {
	for _, d := range []time.Duration{450 * time.Millisecond, 1200 * time.Millisecond, 30 * time.Second} {
		s := newStartedSim(t, config.ScopeDataCentre)
		_, l := s.owner(0)
		s.process(l.Holder.VM).pausedUntil = s.now.Add(d)
		s.requireServed(t, 35*time.Second, maxOutage)
		is.New(t).True(s.decisionCount(ReasonDispatcherLost) <= 1)
	}
}

// Guards against an interruption when only the store is unreachable: the confirmations of the quorum group must
// suffice.
func TestVMCutFromStore(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	_, l := s.owner(0)
	s.cutStore[l.Holder.VM] = true
	s.requireServed(t, 10*time.Second, 20*time.Millisecond)
}

// Guards against an interruption in a data centre that is cut off, with scope data-centre, and when it is connected
// again.
func TestDataCentreCutOffKeepsKeys(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	s.cutOff("b", true)
	s.requireServed(t, 20*time.Second, 20*time.Millisecond)
	s.cutOff("b", false)
	s.requireServed(t, 20*time.Second, 20*time.Millisecond)
}

// Guards against keys that stay unserved in a data centre that is cut off, with scope all: other data centres must
// take them over.
func TestDataCentreCutOffMovesKeys(t *testing.T) {
	s := newStartedSim(t, config.ScopeAll)
	s.cutOff("b", true)
	s.requireServed(t, 20*time.Second, maxOutage)
	for slot := range types.Slot(64) {
		id, _ := s.owner(slot)
		is.New(t).True(s.dataCentre(id) != "b")
	}
	s.cutOff("b", false)
	s.requireServed(t, 20*time.Second, 20*time.Millisecond)
}

// Guards against a takeover of a lost data centre's keys before operators declare it lost, with scope data-centre, and
// against keys that stay unserved after it.
func TestDataCentreDeclaredLost(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	for _, p := range s.processes {
		if p.DataCentre == "b" {
			s.stop(p.VM)
		}
	}
	for id, target := range s.targets {
		target.down = s.dataCentre(id) == "b"
	}
	_, recovered := s.outage(10 * time.Second)
	is.New(t).True(!recovered)
	for _, p := range s.processes {
		s.step(p, Message{Kind: KindDataCentreDeclaredLost, DataCentre: "b"})
	}
	longest, recovered := s.outage(5 * time.Second)
	t.Logf("served again %v after the declaration", longest)
	is.New(t).True(recovered)
	is.New(t).True(longest < maxOutage)
}

// Guards against leases that move or expire while the store is down: the quorum groups confirm the permits.
func TestStoreDownForAnHour(t *testing.T) {
	s := newSim(t, 1, testConfig(config.ScopeDataCentre, 64, 2, "a"), 3)
	s.run(4 * time.Second)
	s.storeDown = true
	s.requireServed(t, time.Hour, 20*time.Millisecond)
	s.storeDown = false
	s.requireServed(t, 10*time.Second, 20*time.Millisecond)
}

// Guards against an interruption when the store takes seconds to answer: such late answers extend no permit, so the
// confirmations of the quorum group must suffice.
func TestStoreSlowBySeconds(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	s.storeDelay = 3 * time.Second
	s.requireServed(t, time.Minute, 20*time.Millisecond)
	s.storeDelay = 0
	s.requireServed(t, 10*time.Second, 20*time.Millisecond)
}

// Guards against a takeover that stalls when the answer of a write is lost: the document must be read back, because
// the write may or may not have taken effect.
func TestLostCASAnswers(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	s.loseCAS = 0.7
	_, l := s.owner(0)
	s.stop(l.Holder.VM)
	s.requireServed(t, 20*time.Second, 10*time.Second)
	is.New(t).True(s.decisionCount(ReasonAnswerLost) > 0)
	s.loseCAS = 0
	s.requireServed(t, 10*time.Second, maxOutage)
}

// Guards against conflicting changes by a planner whose store lease expired while it was paused: when it resumes, it
// still considers its lease valid.
func TestPlannerLeaseExpiresWhilePaused(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	p := s.planner()
	id, _ := s.owner(0)
	p.pausedUntil = s.now.Add(4 * time.Second)
	s.requireServed(t, 3*time.Second, maxOutage)
	s.targets[id].down = true // both the new planner and the resumed one detect it
	s.requireServed(t, 10*time.Second, maxOutage)
}

// Guards against double changes when two planners handle the same losses at the same time: only one of them may change
// each row.
func TestTwoPlanners(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	s.planners = 3
	s.run(time.Second)
	id, _ := s.owner(0)
	_, l := s.owner(63)
	s.targets[id].down = true
	s.stop(l.Holder.VM)
	s.requireServed(t, 10*time.Second, maxOutage)
	is.New(t).True(s.decisionCount(ReasonWriteConflict) > 0)
}

// Guards against quorum groups that do not follow when all VMs are replaced one after another, as in a rollout: the
// permits would end with the last member of the first list.
func TestAllVMsReplaced(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	var longest time.Duration
	for _, p := range slices.Clone(s.processes) {
		p.State = MemberLeaving
		gap, _ := s.outage(2 * time.Second)
		longest = max(longest, gap)
		s.stop(p.VM)
		p.State = MemberTerminated
		s.start("new-"+p.VM, p.DataCentre, 1)
		gap, _ = s.outage(2 * time.Second)
		longest = max(longest, gap)
	}
	t.Logf("longest time without full service: %v", longest)
	is.New(t).True(longest < time.Second) // no gap over 1 s on a planned departure
	s.storeDown = true
	s.requireServed(t, 5*time.Second, 20*time.Millisecond)
}

// Guards against lost assignments when all VMs restart at once, and against groups that cannot form again from the new
// incarnations.
func TestAllVMsLostAtOnce(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	owner, _ := s.owner(0)
	for _, p := range slices.Clone(s.processes) {
		s.stop(p.VM)
		p.State = MemberTerminated
		s.start(p.VM, p.DataCentre, 2)
	}
	s.requireServed(t, 10*time.Second, maxOutage)
	after, _ := s.owner(0)
	is.New(t).Equal(after, owner)
	s.storeDown = true
	s.requireServed(t, 5*time.Second, 20*time.Millisecond)
}

// Guards against slots that stay unserved when a target and its dispatcher are lost together.
func TestTargetAndVMLost(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	id, l := s.owner(0)
	s.targets[id].down = true
	s.stop(l.Holder.VM)
	s.requireServed(t, 10*time.Second, maxOutage)
}

// Guards against slots that stay unserved when a target is lost while its dispatcher is cut off from the store and
// cannot write the lease vacant.
func TestTargetLostAndVMCutFromStore(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	id, l := s.owner(0)
	s.cutStore[l.Holder.VM] = true
	s.run(200 * time.Millisecond)
	s.targets[id].down = true
	s.requireServed(t, 10*time.Second, maxOutage)
}

// Guards against a VM that restarts while the store is down and confirms permits as the member that its former
// incarnation was. The leases of that incarnation wait for the store.
func TestVMRestartsDuringStoreOutage(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	_, l := s.owner(0)
	s.storeDown = true
	s.run(2 * time.Second)
	s.stop(l.Holder.VM)
	s.start(l.Holder.VM, s.process(l.Holder.VM).DataCentre, 2)
	s.run(10 * time.Second)
	is.New(t).True(s.served() >= 48) // the other dispatchers' targets
	s.storeDown = false
	s.requireServed(t, 10*time.Second, maxOutage)
}

// Guards against a takeover from a dispatcher that is wrongly suspected and still has a permit from the store. Without
// the wait after the revocation two dispatchers would send to one target.
func TestFalseSuspicion(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	_, l := s.owner(0)
	p := s.process(l.Holder.VM)
	p.messagesLost = true
	s.run(560 * time.Millisecond)
	s.cutStore[l.Holder.VM] = true
	s.requireServed(t, 5*time.Second, maxOutage)
	is.New(t).Equal(s.decisionCount(ReasonDispatcherLost), 1)
}

// Guards against slots that are given away while a target whose answers are lost may still serve them: it may have
// accepted the last renewal and continues until its grant expires, also when the suspicion timeout is shorter.
func TestTargetAnswersLost(t *testing.T) {
	cfg := testConfig(config.ScopeDataCentre, 64, 6, "a", "b", "c")
	cfg.Ownership.SuspicionMs = 300
	s := newSim(t, 1, cfg, 3)
	s.run(4 * time.Second)
	id, _ := s.owner(0)
	s.targets[id].answersLost = true
	s.requireServed(t, 5*time.Second, maxOutage)
}

// Guards against a slot that moves while a request for it is in flight, however long the request takes.
func TestMoveWaitsForDrain(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	from, _ := s.owner(0)
	to, _ := s.owner(63)
	s.drainDelay = 800 * time.Millisecond
	move := Moves{Service: "mapa", Moves: []Move{{First: 0, Count: 4, From: from.Target, To: to.Target}}}
	s.step(s.planner(), Message{Kind: KindMoves, Moves: move})
	s.run(700 * time.Millisecond)
	is.New(t).Equal(s.decisionCount(ReasonReleased), 0)
	s.run(time.Second)
	is.New(t).Equal(s.decisionCount(ReasonReleased), 1)
}

// Guards against a planned move that grants the slots to the next owner before their release, or that interrupts them
// for long.
func TestPlannedMove(t *testing.T) {
	s := newStartedSim(t, config.ScopeDataCentre)
	from, _ := s.owner(0)
	to, _ := s.owner(63)
	move := Moves{Service: "mapa", Moves: []Move{{First: 0, Count: 4, From: from.Target, To: to.Target}}}
	s.step(s.planner(), Message{Kind: KindMoves, Moves: move})
	s.requireServed(t, 2*time.Second, 200*time.Millisecond)
	for slot := range types.Slot(4) {
		now, _ := s.owner(slot)
		is.New(t).Equal(now, to)
	}
}

// Guards against a hot key that does not move independently of its slot, or does not return to it when it is no longer
// hot.
func TestHotKey(t *testing.T) {
	is := is.New(t)
	s := newStartedSim(t, config.ScopeDataCentre)
	key := types.KeyHash(64 * 1000) // slot 0
	from, _ := s.owner(0)
	to, _ := s.owner(63)
	s.step(s.planner(), Message{Kind: KindHotKeys, HotKeys: HotKeys{Service: "mapa", Keys: []types.KeyHash{key}}})
	s.requireServed(t, time.Second, 20*time.Millisecond)
	s.step(s.planner(), Message{Kind: KindMoves, Moves: Moves{
		Service: "mapa", Moves: []Move{{Key: key, From: from.Target, To: to.Target}},
	}})
	s.requireServed(t, time.Second, 20*time.Millisecond)
	is.True(s.targets[to].keys.HasKey(key, 0))
	is.True(!s.targets[from].keys.HasKey(key, 0))
	s.step(s.planner(), Message{Kind: KindMoves, Moves: Moves{Service: "mapa"}})
	s.step(s.planner(), Message{Kind: KindHotKeys, HotKeys: HotKeys{Service: "mapa"}})
	s.requireServed(t, time.Second, 20*time.Millisecond)
	is.True(s.targets[from].keys.HasKey(key, 0))
	is.Equal(len(s.docs[SlotsKey("mapa", 0)].Slots.HotKeys), 0)
}
