package dispatch

import (
	"testing"
	"time"

	"sequoiasail.example/types"
)

// setTestHomes sends the set of homes before and returns two identifiers: one whose home is target a in both sets, and
// one whose home moves to target a when the set changes to after.
func setTestHomes(f *fixture, before, after []types.Target) (stays, moves string) {
	f.step(Message{Kind: MessageHomes, Target: unkeyedA, Homes: before, Lease: Lease{WallMs: f.wall() - 60_000}})
	for n := 0; stays == "" || moves == ""; n++ {
		id := name("o", n)
		was := NewHomes(before).Of("crew", types.RequestID(id))
		switch {
		case was == "a":
			stays = id
		case NewHomes(after).Of("crew", types.RequestID(id)) == "a":
			moves = id
		}
	}
	return stays, moves
}

// Guards against a second run of an order that is resent to another target of a service without keys (R7): that target's
// dispatcher has no entry of the first send.
func TestIdentifierHasOneHome(t *testing.T) {
	f := newFixture(t)
	before, after := []types.Target{"a", "b", "c"}, []types.Target{"a", "c"}
	stays, moves := setTestHomes(f, before, after)
	f.outcome(f.request(f.order(unkeyedA, moves)), types.OutcomeUnknown, types.CodeStaleEpoch)
	f.request(f.order(unkeyedA, stays))
	f.Equal(len(f.unresolved), 1)
	f.result(ResultAnswered)
	old := f.order(unkeyedA, moves)
	f.step(Message{Kind: MessageHomes, Target: unkeyedA, Homes: after, Lease: Lease{WallMs: f.wall()}})
	f.outcome(f.request(old), types.OutcomeUnknown, types.CodeRequestMemoryLost) // target b may have run it
	f.now = f.now.Add(1200 * time.Millisecond)                                   // lag, clock tolerance and skew
	f.outcome(f.request(f.order(unkeyedA, moves)), types.OutcomeUnknown, types.CodeRequestMemoryLost)
	f.now = f.now.Add(time.Millisecond)
	f.request(f.order(unkeyedA, moves))
	f.Equal(len(f.unresolved), 1)
}

// Guards against a queued order being sent after its home has moved.
func TestHomeIsCheckedBeforeSend(t *testing.T) {
	f := newFixture(t)
	stays, _ := setTestHomes(f, []types.Target{"a", "b", "c"}, []types.Target{"a", "c"})
	for range testSlots {
		f.request(lookup(unkeyedA))
	}
	h := f.request(f.order(unkeyedA, stays))
	f.step(Message{Kind: MessageHomes, Target: unkeyedA, Homes: []types.Target{"b"}, Lease: Lease{WallMs: f.wall()}})
	f.result(ResultAnswered)
	f.outcome(h, types.OutcomeNotRun, types.CodeStaleEpoch)
}

// Guards against an uneven division of identifiers among homes, and against moving identifiers of the other targets when
// one target is removed.
func TestHomesAreSpread(t *testing.T) {
	f := newFixture(t)
	all := []types.Target{"a", "b", "c", "d", "e", "f", "g", "h"}
	count := map[types.Target]int{}
	const ids = 8000
	moved := 0
	for n := range ids {
		id := types.RequestID(name("o", n))
		h := NewHomes(all).Of("crew", id)
		count[h]++
		if h != "h" && NewHomes(all[:7]).Of("crew", id) != h {
			moved++
		}
	}
	f.Equal(moved, 0)
	for _, n := range count {
		f.True(n > ids/8*4/5 && n < ids/8*6/5)
	}
}

// Guards against two dispatchers both running an order that was sent to one and resent to the other.
func TestOnlyOneDispatcherSendsAnOrder(t *testing.T) {
	unkeyedB := types.TargetID{Service: "objednavky", Target: "b"}
	one, two := newFixture(t), newFixture(t)
	two.step(Message{Kind: MessageStopServing, Target: unkeyedA})
	two.serve(unkeyedB, 7, time.Hour, true)
	for _, f := range []*fixture{one, two} {
		l := Lease{WallMs: startWall - 60_000}
		f.step(Message{Kind: MessageHomes, Target: unkeyedA, Homes: []types.Target{"b", "a"}, Lease: l})
	}
	for n := range 200 {
		one.unresolved, two.unresolved = nil, nil
		one.request(one.order(unkeyedA, name("o", n)))
		two.request(two.order(unkeyedB, name("o", n)))
		one.Equal(len(one.unresolved)+len(two.unresolved), 1)
		for _, f := range []*fixture{one, two} {
			if len(f.unresolved) > 0 {
				f.result(ResultAnswered)
			}
		}
	}
}
