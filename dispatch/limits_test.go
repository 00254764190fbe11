package dispatch

import (
	"testing"
	"time"

	"sequoiasail.example/types"
)

// Guards against unbounded queues and against lookups taking the places of orders.
func TestQueuesAreBoundedPerClass(t *testing.T) {
	f := newFixture(t)
	for n := range testSlots + 8 {
		q := lookup(unkeyedA)
		q.Caller = types.Caller(name("c", n))
		f.request(q)
	}
	refused := f.request(lookup(unkeyedA))
	f.outcome(refused, types.OutcomeNotRun, types.CodeOverloaded)
	order := f.request(f.order(unkeyedA, "o1"))
	f.Equal(len(f.replies), 1)
	for range testSlots + 8 + 1 {
		f.result(ResultAnswered)
	}
	f.outcome(order, types.OutcomeDone, "")
}

// Guards against lookups starving orders, and orders starving lookups.
func TestClassesTakeTurns(t *testing.T) {
	f := newFixture(t)
	for n := range testSlots + 6 {
		q := lookup(unkeyedA)
		q.Caller = types.Caller(name("c", n))
		f.request(q)
	}
	f.request(f.order(unkeyedA, "o1"))
	f.result(ResultAnswered)
	f.result(ResultAnswered)
	f.Equal(f.core.targets[f.core.targetByID[unkeyedA]].classes[types.ClassOrder].queued, 0)
}

// Guards against one caller delaying all others, and against it taking all places.
func TestCallersTakeTurns(t *testing.T) {
	f := newFixture(t)
	greedy := lookup(unkeyedA)
	greedy.Caller = "greedy"
	for range 40 {
		f.request(greedy)
	}
	other := f.request(lookup(unkeyedA))
	f.result(ResultAnswered)
	f.result(ResultAnswered)
	f.Equal(f.unresolved[testSlots-1].Handle, other)
}

// Guards against refusing a request only at its deadline when it is clear earlier that it can't finish in time.
func TestRequestsThatWouldMissTheirDeadlineAreRefusedEarly(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(unkeyedA))
	f.result(ResultAnswered) // takes 10 ms
	for n := range testSlots + 4 {
		q := lookup(unkeyedA)
		q.Caller = types.Caller(name("c", n))
		f.request(q)
	}
	q := lookup(unkeyedA)
	q.Caller = "late"
	q.Deadline = f.now.Add(15 * time.Millisecond)
	f.outcome(f.request(q), types.OutcomeNotRun, types.CodeOverloaded)
	q.Deadline = f.now.Add(40 * time.Millisecond)
	queued := f.request(q)
	f.advance(35 * time.Millisecond)
	for range 5 {
		f.result(ResultAnswered)
	}
	f.outcome(queued, types.OutcomeNotRun, types.CodeOverloaded) // less than its 10 ms are left
}

// Guards against more load on a cold target than its ramp allows (R3), for each way of detecting a cold start.
func TestColdTargetIsRampedUp(t *testing.T) {
	triggers := map[string]func(f *fixture){
		"new incarnation": func(f *fixture) { f.answer(Result{Incarnation: 2, Load: LoadUnknown}) },
		"new lease": func(f *fixture) {
			f.serve(unkeyedA, 8, time.Hour, false)
			f.result(ResultAnswered)
		},
		"load report": func(f *fixture) {
			for range 30 {
				f.answer(Result{Load: testSlots})
				f.request(lookup(unkeyedA))
				f.advance(50 * time.Millisecond)
			}
			f.answer(Result{Load: 0})
		},
		"latency": func(f *fixture) {
			for range 40 {
				f.result(ResultAnswered)
				f.request(lookup(unkeyedA))
			}
			for range 2 * testSlots {
				f.answer(Result{Latency: 100 * time.Millisecond, Load: LoadUnknown})
				f.request(lookup(unkeyedA))
			}
			f.answer(Result{Latency: 100 * time.Millisecond, Load: LoadUnknown})
		},
	}
	for trigger, makeCold := range triggers {
		t.Run(trigger, func(t *testing.T) {
			f := newFixture(t)
			for range testSlots {
				f.request(lookup(unkeyedA))
			}
			makeCold(f)
			checkRamp(f)
		})
	}
}

// checkRamp checks the limit after a cold start that has just been detected.
func checkRamp(f *fixture) {
	target := f.core.targets[f.core.targetByID[unkeyedA]]
	f.Equal(target.condition, ConditionCold)
	f.Equal(target.limit(f.now), 1)
	before := target.inFlight // sent before the cold start was detected
	for n, want := range []int{1, 2, 3, 4} {
		f.Equal(target.limit(f.now.Add(time.Duration(n)*time.Second)), want)
		f.Equal(target.limit(f.now.Add(time.Duration(n+1)*time.Second-1)), min(want, testSlots))
	}
	for f.now.Before(target.ramp.start.Add(target.ramp.duration)) {
		q := lookup(unkeyedA)
		q.LeaseEpoch = target.lease.Epoch
		f.request(q)
		f.True(target.inFlight <= max(target.limit(f.now), before))
		before = min(before, target.inFlight)
		f.result(ResultAnswered)
		f.advance(20 * time.Millisecond)
	}
	f.True(f.actionCount[ActionSend] > 100)
	f.advance(time.Second)
	f.Equal(target.condition, ConditionHealthy)
}

// Guards against an unchanged concurrency limit for a target that sheds load.
func TestRefusingTargetGetsLess(t *testing.T) {
	f := newFixture(t)
	f.request(lookup(unkeyedA))
	f.result(ResultRefused)
	f.Equal(f.core.targets[f.core.targetByID[unkeyedA]].limit(f.now), testSlots/2)
}

// Guards against an undetected straggler, whose own reports are those of a healthy target.
func TestStragglerIsReported(t *testing.T) {
	f := newFixture(t)
	var ids []types.TargetID
	for _, target := range []types.Target{"a", "b", "c", "d"} {
		id := types.TargetID{Service: "objednavky", Target: target}
		f.serve(id, 7, time.Hour, true)
		ids = append(ids, id)
	}
	reported := map[types.TargetID]Condition{}
	round := func(slow time.Duration) {
		for _, id := range ids {
			f.request(lookup(id))
			latency := 10 * time.Millisecond
			if id == unkeyedA {
				latency = slow
			}
			f.answer(Result{Latency: latency, Load: LoadUnknown})
			for _, a := range f.out {
				if a.Kind == ActionReportTarget {
					reported[a.Target] = a.Condition
				}
			}
		}
	}
	for range 20 {
		round(100 * time.Millisecond)
	}
	f.Equal(reported, map[types.TargetID]Condition{unkeyedA: ConditionStraggler})
	for range 60 {
		round(10 * time.Millisecond)
	}
	f.Equal(reported, map[types.TargetID]Condition{unkeyedA: ConditionHealthy})
}

// Guards against orders that are accepted without memory for their identifiers and answers, and against a resend that is refused as not
// run because memory is short although its first send has run.
func TestOrdersAreRefusedWithoutMemory(t *testing.T) {
	f := newFixture(t)
	first := f.order(unkeyedA, "o1")
	f.request(first)
	f.result(ResultAnswered)
	f.advance(time.Millisecond)
	first.NoMemory = true
	f.outcome(f.request(first), types.OutcomeDone, "")
	second := f.order(unkeyedA, "o2")
	second.NoMemory = true
	f.outcome(f.request(second), types.OutcomeNotRun, types.CodeOverloaded)
	q := lookup(unkeyedA)
	q.NoMemory = true
	h := f.request(q)
	f.result(ResultAnswered)
	f.outcome(h, types.OutcomeDone, "")
}
