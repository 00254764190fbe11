package dispatch

import (
	"testing"
	"time"

	"sequoiasail.example/types"
)

// Guards against retrying what may have run and must not run twice (R7).
func TestOnlySafeRequestsAreRetried(t *testing.T) {
	for kind := ResultRefused; kind < ResultKindCount; kind++ {
		f := newFixture(t)
		f.request(f.order(freeA, "o1"))
		f.result(kind)
		f.advance(time.Second)
		safe := kind == ResultRefused || kind == ResultNotWritten || kind == ResultNotStarted
		f.Equal(len(f.pending) == 1, safe)
		f = newFixture(t)
		f.request(lookup(freeA))
		f.result(kind)
		f.advance(time.Second)
		f.Equal(len(f.pending), 1) // idempotent
	}
}

// Guards against retries that multiply the load on a failing target.
func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	f := newFixture(t)
	const firsts = 1000
	for range firsts {
		q := lookup(freeA)
		q.Deadline = f.now.Add(time.Minute)
		f.request(q)
		for len(f.pending) > 0 {
			f.result(ResultCutBody)
			f.advance(time.Second)
		}
	}
	retries := f.count[ActionSend] - firsts
	f.True(retries <= firsts/5+budgetBurst)
	f.True(retries > firsts/10)
}

// Guards against retries at a fixed pace.
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
func TestUncertainAttemptIsNotForgotten(t *testing.T) {
	f := newFixture(t)
	q := lookup(freeA)
	q.Deadline = f.now.Add(time.Second)
	h := f.request(q)
	f.result(ResultBroken)
	f.advance(100 * time.Millisecond)
	f.result(ResultNotWritten)
	f.step(Message{Kind: MessageStopServing, Target: freeA})
	f.advance(time.Second)
	f.outcome(h, types.OutcomeUnknown, types.CodeNotLeaseHolder)
}

// kill breaks all sends in flight and lets the target come back with the next incarnation.
func (f *fixture) kill(incarnation types.Incarnation) {
	sends := f.pending
	f.pending = nil
	for _, s := range sends {
		f.resultOf(s, Result{Kind: ResultBroken, Load: LoadUnknown})
	}
	f.advance(100 * time.Millisecond)
	f.step(Message{Kind: MessageServe, Target: freeA, Lease: Lease{
		Epoch: 7, ValidUntil: f.now.Add(time.Hour), Incarnation: incarnation,
	}})
	f.advance(4 * time.Second)
}

func poison(f *fixture) Request {
	q := f.order(freeA, "p")
	f.next++
	q.ID, q.Fingerprint = types.RequestID(name("p", int(f.next))), 666
	return q
}

// Guards against one request taking down one target after another.
func TestPoisonIsQuarantinedAfterTwoDeaths(t *testing.T) {
	f := newFixture(t)
	f.request(poison(f))
	f.kill(2)
	f.request(poison(f))
	f.Equal(len(f.pending), 1)
	f.kill(3)
	f.outcome(f.request(poison(f)), types.OutcomeNotRun, types.CodeQuarantined)
	f.Equal(f.count[ActionAnnounceQuarantine], 2)
	f.advance(quarantineAge)
	q := poison(f)
	q.Deadline = f.now.Add(time.Second)
	f.request(q)
	f.Equal(len(f.pending), 1) // the quarantine has ended
}

// Guards against a frequent harmless request being quarantined because it is always in flight.
func TestAnsweredRequestIsExonerated(t *testing.T) {
	f := newFixture(t)
	for n := range types.Incarnation(4) {
		f.request(poison(f))
		f.request(poison(f)) // two in flight at one death count once
		f.kill(2 + n)
		f.request(poison(f))
		f.result(ResultAnswered)
	}
	f.Equal(len(f.core.suspects.byKey), 0)
}

// Guards against blaming a request for a death that it did not cause: its target answered after it broke.
func TestBrokenConnectionAloneIsNoDeath(t *testing.T) {
	f := newFixture(t)
	f.request(poison(f))
	f.result(ResultBroken)
	f.advance(reconnectMax)
	f.request(lookup(freeA))
	f.result(ResultAnswered)
	f.kill(2)
	f.Equal(len(f.core.suspects.byKey), 0)
}

// Guards against a restart using up the attempts of a request of which nothing was written.
func TestUnwrittenAttemptsAreNotCounted(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(freeA))
	for range 2 * maxAttempts {
		f.result(ResultNotWritten)
		f.advance(reconnectMax)
	}
	f.result(ResultRefused)
	f.advance(retryMax)
	f.Equal(len(f.pending), 1)
}

// Guards against taking a cancelled attempt for a dead target, and against trying again in a loop.
func TestAttemptThatWasNotStartedIsNoFailure(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(freeA))
	f.result(ResultNotStarted)
	target := f.core.targets[f.core.targetByID[freeA]]
	f.True(!target.backoff.failing())
	f.Equal(target.condition, ConditionHealthy)
	f.Equal(len(f.pending), 0) // not at once
	f.advance(retryBase)
	f.Equal(len(f.pending), 1)
}

// Guards against deaths that are spread over the targets of several dispatchers.
func TestPeersDeathsCount(t *testing.T) {
	f := newFixture(t)
	q := Quarantine{From: "vm-2", Service: "objednavky", Fingerprint: 666, Deaths: 1}
	f.step(Message{Kind: MessageQuarantined, Quarantine: q})
	f.step(Message{Kind: MessageQuarantined, Quarantine: q}) // repeated
	f.request(poison(f))
	f.Equal(len(f.pending), 1)
	f.kill(2)
	f.outcome(f.request(poison(f)), types.OutcomeNotRun, types.CodeQuarantined)
}

// Guards against a quarantine that grows without bound.
func TestQuarantineIsBounded(t *testing.T) {
	f := newFixture(t)
	for n := range Fingerprint(3 * suspectLimit) {
		q := Quarantine{From: "vm-2", Service: "objednavky", Fingerprint: 1 + n, Deaths: 2}
		f.step(Message{Kind: MessageQuarantined, Quarantine: q})
	}
	f.Equal(len(f.core.suspects.byKey), suspectLimit)
}

// Guards against a long order in flight keeping a target from being probed after another connection broke.
func TestFailingTargetIsProbedWhileAnOrderRuns(t *testing.T) {
	f := newFixture(t)
	f.request(f.order(freeA, "long"))
	f.request(lookup(freeA))
	f.resultOf(f.pending[1], Result{Kind: ResultBroken})
	f.request(lookup(freeA))
	f.advance(reconnectMax)
	f.Equal(len(f.pending), 3) // the order, the broken lookup and one probe
}

// Guards against a frozen target swallowing all waiting orders, each of which ends as unknown.
func TestFrozenTargetGetsOneProbeAtATime(t *testing.T) {
	f := newFixture(t)
	for n := range testSlots + 6 {
		q := f.order(freeA, name("o", n))
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
	f.Equal(f.count[ActionSend], testSlots+1)
	f.result(ResultAnswered) // thawed
	f.advance(4 * time.Second)
	f.Equal(f.count[ActionSend], 2*testSlots+1)
}

// Guards against a half-open connection that holds its slot and swallows one request after another.
func TestSilentConnectionIsClosedWhenAFreshOneAnswers(t *testing.T) {
	f := newFixture(t)
	for range testSlots {
		f.request(lookup(freeA))
	}
	for range testSlots {
		f.result(ResultAnswered)
	}
	f.request(f.order(freeA, "silent"))
	silent := f.pending[0]
	f.advance(progressDefault)
	f.Equal(f.count[ActionCancelSend], 0) // nothing shows yet that fresh ones answer
	f.request(lookup(freeA))
	f.advance(reconnectBase)
	f.True(f.pending[1].Fresh) // connections as old as the silent one are not trusted
	f.resultOf(f.pending[1], Result{Latency: time.Millisecond, Load: LoadUnknown})
	f.Equal(f.count[ActionCancelSend], 1)
	f.Equal(f.count[ActionCloseConnection], 2) // idle ones as old as the silent one; the fourth was replaced
	f.resultOf(silent, Result{Kind: ResultTimedOut})
	f.outcome(silent.Handle, types.OutcomeUnknown, types.CodeTargetFailed)
}

// Guards against all lookups waiting for their deadlines when every connection went silent.
func TestSilentLookupMovesToAFreshConnection(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(freeA))
	f.result(ResultAnswered)
	h := f.request(lookup(freeA))
	f.advance(progressMin)
	f.Equal(f.count[ActionCancelSend], 1)
	f.result(ResultTimedOut)
	f.advance(retryMax)
	f.True(f.pending[0].Fresh)
	f.result(ResultAnswered)
	f.outcome(h, types.OutcomeDone, "")
}
