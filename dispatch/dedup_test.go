package dispatch

import (
	"testing"
	"time"

	"sequoiasail.example/types"
)

// Guards against a resend that runs the order a second time, before or after the first answer (R7).
func TestResendJoinsOrReceivesTheFirstAnswer(t *testing.T) {
	f := newFixture(t)
	first := f.request(f.order(unkeyedA, "o1"))
	joined := f.request(f.order(unkeyedA, "o1"))
	f.Equal(len(f.unresolved), 1)
	f.result(ResultAnswered)
	later := f.request(f.order(unkeyedA, "o1"))
	for _, h := range []Handle{first, joined, later} {
		f.outcome(h, types.OutcomeDone, "")
		f.Equal(f.replies[h].Replay, first)
	}
	f.Equal(f.actionCount[ActionSend], 1)
	f.advance(11 * time.Minute)
	f.Equal(f.actionCount[ActionForget], 3) // the first one's answer is deleted with the entry
	f.Equal(f.core.dedupTable.entries.used(), 0)
}

// Guards against replying to a request with the answer of another one that has the same identifier.
func TestReusedIdentifierIsRefused(t *testing.T) {
	f := newFixture(t)
	f.request(f.order(unkeyedA, "o1"))
	q := f.order(unkeyedA, "o1")
	q.Fingerprint++
	f.outcome(f.request(q), types.OutcomeNotRun, types.CodeRequestIDReused)
	q = f.order(unkeyedA, "o1")
	q.Caller = "another"
	f.request(q)
	f.Equal(len(f.unresolved), 2) // identifiers are per caller
}

// Guards against running an order again whose answer was lost, and against not running one that the target refused.
func TestResendAfterFailure(t *testing.T) {
	f := newFixture(t)
	for _, kind := range []ResultKind{ResultBroken, ResultTimedOut, ResultCutBody} {
		q := f.order(unkeyedA, name("o", int(kind)))
		f.request(q)
		f.result(kind)
		f.outcome(f.request(q), types.OutcomeUnknown, types.CodeAnswerLost)
		f.advance(time.Second)
	}
	f.Equal(f.actionCount[ActionSend], 3)
	f.core.targets[f.core.targetByID[unkeyedA]].budget.tokens = 0
	q := f.order(unkeyedA, "refused")
	h := f.request(q)
	f.result(ResultRefused)
	f.outcome(h, types.OutcomeNotRun, types.CodeTargetRefused)
	f.request(q)
	f.Equal(f.actionCount[ActionSend], 5)
}

// Guards against sending an order before a second dispatcher has stored its identifier, and against waiting forever for
// that.
func TestCopyBeforeSend(t *testing.T) {
	f := newFixture(t)
	f.step(Message{Kind: MessageRequest, Handle: 1, Request: f.order(unkeyedA, "o1")})
	f.Equal(f.actionCount[ActionStoreCopy], 1)
	f.Equal(len(f.unresolved), 0)
	f.step(Message{Kind: MessageCopyDone, Handle: 1, Stored: true})
	f.Equal(len(f.unresolved), 1)
	f.step(Message{Kind: MessageRequest, Handle: 2, Request: f.order(unkeyedA, "o2")})
	f.advance(copyTimeout)
	f.Equal(len(f.unresolved), 2)
}

// Guards against running orders that the former dispatcher may have sent, after a takeover without its entries (R7).
func TestTakeoverWithoutEntriesAnswersUnknown(t *testing.T) {
	f := newFixture(t)
	old := f.order(unkeyedA, "old")
	f.now = f.now.Add(10 * time.Second)
	l := Lease{Epoch: 9, ValidUntil: f.now.Add(time.Hour), WallMs: f.wall(), Warm: true}
	f.step(Message{Kind: MessageServe, Target: unkeyedA, Lease: l})
	old.LeaseEpoch = 9
	old.WallMs = f.wall() + 1000
	for _, age := range []int64{0, 9_000, 10_000, 10_000 + clockToleranceMs + clockSkewMs} {
		q := old
		q.MintedMs += age
		f.outcome(f.request(q), types.OutcomeUnknown, types.CodeRequestMemoryLost)
	}
	f.now = f.now.Add(time.Second)
	q := f.order(unkeyedA, "new")
	q.LeaseEpoch = 9
	f.request(q)
	f.Equal(len(f.unresolved), 1)
}

// Guards against running the resends of a moved slot at its next owner (R7).
func TestMovedSlotAnswersUnknown(t *testing.T) {
	f := newFixture(t)
	f.step(Message{Kind: MessageSlotOwned, Target: keyedA, Slot: SlotRow{Epoch: 4, CoveredSinceMs: startWall}})
	q := f.order(keyedA, "o1")
	q.SlotEpoch = 4
	f.outcome(f.request(q), types.OutcomeUnknown, types.CodeRequestMemoryLost)
}

// Guards against running orders whose identifiers are older than the deduplication window, or dated so far ahead that a
// takeover can't tell whether they were sent before it.
func TestIdentifiersThatAreNotCoveredAreNotSent(t *testing.T) {
	f := newFixture(t)
	f.advance(20 * time.Minute)
	q := f.order(unkeyedA, "old")
	q.Deadline = f.now.Add(time.Minute)
	q.MintedMs -= 600_000
	f.outcome(f.request(q), types.OutcomeUnknown, types.CodeRequestMemoryLost)
	q.ID, q.MintedMs = "ahead", f.wall()+clockToleranceMs+1
	f.outcome(f.request(q), types.OutcomeNotRun, types.CodeBadDeadline)
	l := Lease{Epoch: 8, ValidUntil: f.now.Add(time.Hour), WallMs: f.wall()}
	f.step(Message{Kind: MessageServe, Target: unkeyedA, Lease: l})
	q.ID, q.LeaseEpoch = "just-after-takeover", 8 // a dispatcher with a faster clock may have accepted it
	f.outcome(f.request(q), types.OutcomeUnknown, types.CodeBadDeadline)
	f.Equal(len(f.unresolved), 0)
}

// Guards against a not-run reply for an identifier that another dispatcher may have sent (R6).
func TestRefusalsWithoutCoverageAreNotReportedAsNotRun(t *testing.T) {
	f := newFixture(t)
	foreign := types.TargetID{Service: "objednavky", Target: "b"}
	f.outcome(f.request(f.order(foreign, "o1")), types.OutcomeUnknown, types.CodeNotLeaseHolder)
	f.outcome(f.request(lookup(foreign)), types.OutcomeNotRun, types.CodeNotLeaseHolder)
	q := f.order(unkeyedA, "o2")
	f.request(q)
	f.result(ResultAnswered)
	f.step(Message{Kind: MessageDrain, Drain: Drain{Process: true}})
	f.outcome(f.request(q), types.OutcomeDone, "") // from the table, not refused
}

// Guards against losing the answers of a crashed dispatcher that were copied here.
func TestCopiedEntriesAnswerResends(t *testing.T) {
	f := newFixture(t)
	entry := func(id string, s EntryState) Entry {
		q := f.order(unkeyedA, id)
		return Entry{Service: "objednavky", Caller: q.Caller, ID: q.ID, Fingerprint: q.Fingerprint, Class: q.Class, State: s}
	}
	f.step(Message{Kind: MessageCopyStored, Entry: entry("sent", EntrySent)})
	f.step(Message{Kind: MessageCopyStored, Handle: 900, Entry: entry("answered", EntryAnswered)})
	f.step(Message{Kind: MessageCopyStored, Entry: entry("answered", EntrySent)}) // late
	f.step(Message{Kind: MessageCopyStored, Entry: entry("refused", EntrySent)})
	f.step(Message{Kind: MessageCopyStored, Entry: entry("refused", EntryNotRun)})
	f.outcome(f.request(f.order(unkeyedA, "sent")), types.OutcomeUnknown, types.CodeAnswerLost)
	h := f.request(f.order(unkeyedA, "answered"))
	f.outcome(h, types.OutcomeDone, "")
	f.Equal(f.replies[h].Replay, Handle(900))
	f.request(f.order(unkeyedA, "refused"))
	f.Equal(len(f.unresolved), 1)
}

// Guards against cancelling an order in flight because its caller disconnected: the resend needs its answer.
func TestCancelledOrderGoesOn(t *testing.T) {
	f := newFixture(t)
	first := f.request(f.order(unkeyedA, "o1"))
	f.step(Message{Kind: MessageCancel, Handle: first})
	f.outcome(first, types.OutcomeUnknown, types.CodeCancelled)
	f.Equal(f.actionCount[ActionCancelSend], 0)
	resend := f.request(f.order(unkeyedA, "o1"))
	f.result(ResultAnswered)
	f.outcome(resend, types.OutcomeDone, "")
	f.Equal(f.actionCount[ActionSend], 1)
}

// Guards against ending a resend with a later deadline when the first request, which is queued, reaches its deadline.
func TestResendOutlivesTheFirstDeadline(t *testing.T) {
	f := newFixture(t)
	for range testSlots {
		f.request(lookup(unkeyedA))
	}
	q := f.order(unkeyedA, "o1")
	q.Deadline = f.now.Add(time.Second)
	first := f.request(q)
	q.Deadline = f.now.Add(time.Minute)
	resend := f.request(q)
	f.advance(time.Second)
	f.outcome(first, types.OutcomeUnknown, types.CodeDeadlineExceeded)
	for range testSlots + 1 {
		f.result(ResultAnswered)
	}
	f.outcome(resend, types.OutcomeDone, "")
	f.True(f.core.Idle())
}
