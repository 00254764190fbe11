package dispatch

import (
	"testing"
	"time"

	"sequoiasail.example/types"
)

// Guards against retrying non-idempotent requests that may have run (R7).
func TestOnlySafeRequestsAreRetried(t *testing.T) {
	for kind := ResultRefused; kind < ResultKindCount; kind++ {
		f := newFixture(t)
		f.request(f.order(unkeyedA, "o1"))
		f.result(kind)
		f.advance(time.Second)
		safe := kind == ResultRefused || kind == ResultNotWritten || kind == ResultNotStarted
		f.Equal(len(f.unresolved) == 1, safe)
		f = newFixture(t)
		f.request(lookup(unkeyedA))
		f.result(kind)
		f.advance(time.Second)
		f.Equal(len(f.unresolved), 1) // idempotent
	}
}

// Guards against retries that multiply the load on a failing target.
func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	f := newFixture(t)
	const requests = 1000
	for range requests {
		q := lookup(unkeyedA)
		q.Deadline = f.now.Add(time.Minute)
		f.request(q)
		for len(f.unresolved) > 0 {
			f.result(ResultCutBody)
			f.advance(time.Second)
		}
	}
	retries := f.actionCount[ActionSend] - requests
	f.True(retries <= requests/5+budgetBurst)
	f.True(retries > requests/10)
}

// Guards against retries at fixed intervals.
func TestRetryDelayGrowsWithJitter(t *testing.T) {
	f := newFixture(t)
	seen := map[time.Duration]bool{}
	for n := 1; n <= 12; n++ {
		full := min(retryBase<<(n-1), retryMax)
		for range 20 {
			d := jittered(retryBase, retryMax, n, f.core.random)
			f.True(d >= full/2 && d <= full)
			seen[d] = true
		}
	}
	f.True(len(seen) > 200)
}

// Guards against a not-run reply for a lookup whose first attempt may have run (R6).
func TestEarlierAttemptMakesTheOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	q := lookup(unkeyedA)
	q.Deadline = f.now.Add(time.Second)
	h := f.request(q)
	f.result(ResultBroken)
	f.advance(100 * time.Millisecond)
	f.result(ResultNotWritten)
	f.step(Message{Kind: MessageStopServing, Target: unkeyedA})
	f.advance(time.Second)
	f.outcome(h, types.OutcomeUnknown, types.CodeNotLeaseHolder)
}

// crashTarget breaks all sends in flight and reports the target's restart with the given incarnation.
func (f *fixture) crashTarget(incarnation types.Incarnation) {
	sends := f.unresolved
	f.unresolved = nil
	for _, s := range sends {
		f.resultOf(s, Result{Kind: ResultBroken, Load: LoadUnknown})
	}
	f.advance(100 * time.Millisecond)
	f.step(Message{Kind: MessageServe, Target: unkeyedA, Lease: Lease{
		Epoch: 7, ValidUntil: f.now.Add(time.Hour), Incarnation: incarnation,
	}})
	f.advance(4 * time.Second)
}

// poisonRequest returns a new order with the fingerprint of a request that crashes its target.
func poisonRequest(f *fixture) Request {
	q := f.order(unkeyedA, "p")
	f.lastHandle++
	q.ID, q.Fingerprint = types.RequestID(name("p", int(f.lastHandle))), 666
	return q
}

// Guards against a request that crashes its targets being sent to one after another.
func TestPoisonIsQuarantinedAfterTwoDeaths(t *testing.T) {
	f := newFixture(t)
	f.request(poisonRequest(f))
	f.crashTarget(2)
	f.request(poisonRequest(f))
	f.Equal(len(f.unresolved), 1)
	f.crashTarget(3)
	f.outcome(f.request(poisonRequest(f)), types.OutcomeNotRun, types.CodeQuarantined)
	f.Equal(f.actionCount[ActionAnnounceQuarantine], 2)
	f.advance(quarantineAge)
	q := poisonRequest(f)
	q.Deadline = f.now.Add(time.Second)
	f.request(q)
	f.Equal(len(f.unresolved), 1) // the quarantine has ended
}

// Guards against quarantining a frequent harmless request that is in flight at every death.
func TestAnswerClearsASuspectFingerprint(t *testing.T) {
	f := newFixture(t)
	for n := range types.Incarnation(4) {
		f.request(poisonRequest(f))
		f.request(poisonRequest(f)) // two in flight at one death count once
		f.crashTarget(2 + n)
		f.request(poisonRequest(f))
		f.result(ResultAnswered)
	}
	f.Equal(len(f.core.suspects.byKey), 0)
}

// Guards against counting a death against a request that did not cause it: its target answered after the request broke.
func TestBrokenConnectionAloneIsNoDeath(t *testing.T) {
	f := newFixture(t)
	f.request(poisonRequest(f))
	f.result(ResultBroken)
	f.advance(reconnectMax)
	f.request(lookup(unkeyedA))
	f.result(ResultAnswered)
	f.crashTarget(2)
	f.Equal(len(f.core.suspects.byKey), 0)
}

// Guards against counting attempts of which nothing was written, which a target's restart would use up.
func TestUnwrittenAttemptsAreNotCounted(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(unkeyedA))
	for range 2 * maxAttempts {
		f.result(ResultNotWritten)
		f.advance(reconnectMax)
	}
	f.result(ResultRefused)
	f.advance(retryMax)
	f.Equal(len(f.unresolved), 1)
}

// Guards against taking an attempt that was not started for a failure of the target, and against a busy loop of retries.
func TestAttemptThatWasNotStartedIsNoFailure(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(unkeyedA))
	f.result(ResultNotStarted)
	target := f.core.targets[f.core.targetByID[unkeyedA]]
	f.True(!target.backoff.failing())
	f.Equal(target.condition, ConditionHealthy)
	f.Equal(len(f.unresolved), 0) // not at once
	f.advance(retryBase)
	f.Equal(len(f.unresolved), 1)
}

// Guards against missing a request that crashes targets of several dispatchers, each of which counts one death.
func TestDeathsReportedByPeersCount(t *testing.T) {
	f := newFixture(t)
	q := Quarantine{From: "vm-2", Service: "objednavky", Fingerprint: 666, Deaths: 1}
	f.step(Message{Kind: MessageQuarantined, Quarantine: q})
	f.step(Message{Kind: MessageQuarantined, Quarantine: q}) // repeated
	f.request(poisonRequest(f))
	f.Equal(len(f.unresolved), 1)
	f.crashTarget(2)
	f.outcome(f.request(poisonRequest(f)), types.OutcomeNotRun, types.CodeQuarantined)
}

// Guards against unbounded growth of the suspects table.
func TestQuarantineIsBounded(t *testing.T) {
	f := newFixture(t)
	for n := range Fingerprint(3 * maxSuspects) {
		q := Quarantine{From: "vm-2", Service: "objednavky", Fingerprint: 1 + n, Deaths: 2}
		f.step(Message{Kind: MessageQuarantined, Quarantine: q})
	}
	f.Equal(len(f.core.suspects.byKey), maxSuspects)
}

// Guards against a long order in flight preventing the probe of a target after another connection broke.
func TestFailingTargetIsProbedWhileAnOrderRuns(t *testing.T) {
	f := newFixture(t)
	f.request(f.order(unkeyedA, "long"))
	f.request(lookup(unkeyedA))
	f.resultOf(f.unresolved[1], Result{Kind: ResultBroken})
	f.request(lookup(unkeyedA))
	f.advance(reconnectMax)
	f.Equal(len(f.unresolved), 3) // the order, the broken lookup and one probe
}

// Guards against sending all queued orders to a frozen target, where each of them ends as unknown.
func TestFrozenTargetGetsOneProbeAtATime(t *testing.T) {
	f := newFixture(t)
	for n := range testSlots + 6 {
		q := f.order(unkeyedA, name("o", n))
		if n < testSlots {
			q.Deadline = f.now.Add(time.Second)
		}
		f.request(q)
	}
	f.advance(time.Second)
	for range testSlots {
		f.result(ResultTimedOut)
	}
	f.advance(time.Second)
	f.Equal(f.actionCount[ActionSend], testSlots+1)
	f.result(ResultAnswered) // the target runs again
	f.advance(4 * time.Second)
	f.Equal(f.actionCount[ActionSend], 2*testSlots+1)
}

// Guards against a half-open connection that occupies its slot and lets one request after another time out.
func TestSilentConnectionIsClosedWhenANewOneAnswers(t *testing.T) {
	f := newFixture(t)
	for range testSlots {
		f.request(lookup(unkeyedA))
	}
	for range testSlots {
		f.result(ResultAnswered)
	}
	f.request(f.order(unkeyedA, "silent"))
	silent := f.unresolved[0]
	f.advance(progressDefault)
	f.Equal(f.actionCount[ActionCancelSend], 0) // no new connection has answered yet
	f.request(lookup(unkeyedA))
	f.advance(reconnectBase)
	f.True(f.unresolved[1].NewConnection) // connections as old as the silent one are not reused
	f.resultOf(f.unresolved[1], Result{Latency: time.Millisecond, Load: LoadUnknown})
	f.Equal(f.actionCount[ActionCancelSend], 1)
	f.Equal(f.actionCount[ActionCloseConnection], 2) // idle ones as old as the silent one; the fourth was replaced
	f.resultOf(silent, Result{Kind: ResultTimedOut})
	f.outcome(silent.Handle, types.OutcomeUnknown, types.CodeTargetFailed)
}

// Guards against lookups that wait until their deadlines when all connections have gone silent.
func TestSilentLookupMovesToANewConnection(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(unkeyedA))
	f.result(ResultAnswered)
	h := f.request(lookup(unkeyedA))
	f.advance(progressMin)
	f.Equal(f.actionCount[ActionCancelSend], 1)
	f.result(ResultTimedOut)
	f.advance(retryMax)
	f.True(f.unresolved[0].NewConnection)
	f.result(ResultAnswered)
	f.outcome(h, types.OutcomeDone, "")
}
