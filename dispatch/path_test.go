package dispatch

import (
	"testing"
	"time"

	"sequoiasail.example/types"
)

// Guards against a request that is not sent, gets no reply, or whose body is not deleted.
func TestRequestIsSentAndAnswered(t *testing.T) {
	f := newFixture(t)
	h := f.request(lookup(keyedA))
	f.Equal(len(f.unresolved), 1)
	f.True(f.unresolved[0].NewConnection)
	f.result(ResultAnswered)
	f.outcome(h, types.OutcomeDone, "")
	f.Equal(f.replies[h].Replay, h)
	f.Equal(f.actionCount[ActionForget], 1)
	f.True(f.core.Idle())
}

// Guards against sending after the lease ended or under another epoch (R1, R8).
func TestLeaseIsCheckedRightBeforeEachSend(t *testing.T) {
	f := newFixture(t)
	f.serve(keyedA, 8, 50*time.Millisecond, true)
	q := lookup(keyedA)
	stale := f.request(q)
	f.outcome(stale, types.OutcomeNotRun, types.CodeStaleEpoch)
	q.LeaseEpoch = 8
	q.Deadline = f.now.Add(time.Second)
	f.now = f.now.Add(50 * time.Millisecond) // the lease ends at this instant
	late := f.request(q)
	f.Equal(len(f.unresolved), 0)
	f.serve(keyedA, 8, 50*time.Millisecond, true) // renewed
	f.Equal(len(f.unresolved), 1)
	f.Equal(f.unresolved[0].ValidUntil, f.now.Add(50*time.Millisecond))
	f.result(ResultAnswered)
	f.outcome(late, types.OutcomeDone, "")
}

// Guards against sending a queued request after its slot went to another owner.
func TestSlotIsCheckedBeforeSend(t *testing.T) {
	f := newFixture(t)
	for range testSlots {
		f.request(lookup(keyedA))
	}
	queued := f.request(lookup(keyedA))
	f.step(Message{Kind: MessageSlotReleased, Target: keyedA, Slot: SlotRow{Slot: 0, Epoch: 3}})
	f.outcome(queued, types.OutcomeNotRun, types.CodeStaleEpoch)
	f.Equal(f.actionCount[ActionSlotIdle], 0)
	for range testSlots {
		f.result(ResultAnswered)
	}
	f.Equal(f.actionCount[ActionSlotIdle], 1) // only after the last result
}

// Guards against serving a key from its slot's owner after it became a hot key of another target.
func TestHotKeyRowOverridesItsSlot(t *testing.T) {
	f := newFixture(t)
	other := types.TargetID{Service: "mapa", Target: "b"}
	f.step(Message{Kind: MessageSlotOwned, Target: other, Slot: SlotRow{Hot: true, Key: 99, Epoch: 5}})
	q := lookup(keyedA)
	q.Key = 99
	f.outcome(f.request(q), types.OutcomeNotRun, types.CodeStaleEpoch)
	f.step(Message{Kind: MessageSlotReleased, Target: other, Slot: SlotRow{Hot: true, Key: 99, Epoch: 5, Removed: true}})
	f.request(q)
	f.Equal(len(f.unresolved), 1)
}

// Guards against more requests in flight than the target has slots.
func TestConcurrencyIsLimited(t *testing.T) {
	f := newFixture(t)
	for range testSlots + 3 {
		f.request(lookup(keyedA))
	}
	f.Equal(len(f.unresolved), testSlots)
	used := map[int]bool{}
	for _, s := range f.unresolved {
		used[s.Connection] = true
	}
	f.Equal(len(used), testSlots)
	f.result(ResultAnswered)
	f.Equal(len(f.unresolved), testSlots)
}

// Guards against a late result, or one of another connection, ending another attempt or request (R5).
func TestResultsOfOtherAttemptsAreDropped(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(keyedA))
	h := f.request(lookup(keyedA))
	first, second := f.unresolved[0], f.unresolved[1]
	crossed := second
	crossed.Connection = first.Connection
	f.resultOf(crossed, Result{Kind: ResultAnswered})
	late := second
	late.Attempt++
	f.resultOf(late, Result{Kind: ResultAnswered})
	f.Equal(len(f.replies), 0)
	f.Equal(f.out[len(f.out)-1].Reason, ReasonLateResult)
	f.resultOf(second, Result{Kind: ResultAnswered})
	f.outcome(h, types.OutcomeDone, "")
	f.resultOf(second, Result{Kind: ResultAnswered}) // a second time
	f.Equal(len(f.replies), 1)
}

// Guards against passing on a truncated body as a complete answer.
func TestCutBodyIsNoAnswer(t *testing.T) {
	f := newFixture(t)
	h := f.request(f.order(unkeyedA, "o1"))
	f.result(ResultCutBody)
	f.outcome(h, types.OutcomeUnknown, types.CodeTruncatedBody)
}

// Guards against sending new requests to a draining target, and against cancelling requests in flight (R8, R9).
func TestDrainFinishesWhatIsInFlight(t *testing.T) {
	for _, process := range []bool{false, true} {
		f := newFixture(t)
		var sent []Handle
		for range testSlots {
			sent = append(sent, f.request(lookup(keyedA)))
		}
		queued := f.request(lookup(keyedA))
		f.step(Message{Kind: MessageDrain, Drain: Drain{Target: keyedA, Process: process}})
		f.outcome(queued, types.OutcomeNotRun, types.CodeShuttingDown)
		f.outcome(f.request(lookup(keyedA)), types.OutcomeNotRun, types.CodeShuttingDown)
		for _, h := range sent {
			f.result(ResultAnswered)
			f.outcome(h, types.OutcomeDone, "")
		}
		f.True(f.core.Idle())
		last := f.out[len(f.out)-1]
		f.Equal(last.Condition, ConditionDrained)
		f.step(Message{Kind: MessageDrain, Drain: Drain{Target: keyedA, Process: process, Off: true}})
		f.request(lookup(keyedA))
		f.Equal(len(f.unresolved), 1)
	}
}

// Guards against holding connections to a target whose lease was lost: its next dispatcher needs them.
func TestLostLeaseClosesConnections(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(unkeyedA))
	f.request(lookup(unkeyedA))
	f.result(ResultAnswered)
	f.step(Message{Kind: MessageStopServing, Target: unkeyedA})
	f.Equal(f.actionCount[ActionCloseConnection], 1)
	f.result(ResultAnswered)
	f.Equal(f.actionCount[ActionCloseConnection], 2)
}

// Guards against a not-run reply to a cancelled lookup of which an attempt may have run (R6).
func TestCancelReportsWhetherARequestMayHaveRun(t *testing.T) {
	f := newFixture(t)
	var handles []Handle
	for range testSlots + 1 {
		handles = append(handles, f.request(lookup(keyedA)))
	}
	for _, h := range handles {
		f.step(Message{Kind: MessageCancel, Handle: h})
	}
	f.outcome(handles[0], types.OutcomeUnknown, types.CodeCancelled)
	f.outcome(handles[testSlots], types.OutcomeNotRun, types.CodeCancelled)
	f.Equal(f.actionCount[ActionCancelSend], testSlots)
	for range testSlots {
		f.result(ResultTimedOut)
	}
	f.True(f.core.Idle())
}
