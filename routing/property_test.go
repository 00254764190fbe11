package routing_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

// checker sends random messages to a Core and checks every action against them.
type checker struct {
	*driver
	t        *rapid.T
	handles  uint64
	requests map[uint64]*checkedRequest
	linkDown map[types.VM]bool
	outAt    map[types.Target]types.Instant // when the target must get no more requests
	revision types.Revision                 // of the latest rows sent
}

// checkedRequest is a request with its attempts in progress by number, and the outcomes of its ended attempts.
type checkedRequest struct {
	idempotent bool
	pinned     types.Target
	replies    int
	open       map[uint8]routing.Forward
	ended      []types.Outcome
}

func (a *checker) check() {
	for _, f := range a.forwards {
		a.checkForward(f)
	}
	for _, r := range a.replies {
		q := a.requests[r.Handle]
		q.replies++
		if q.replies > 1 {
			a.t.Fatalf("request %d has %d replies", r.Handle, q.replies)
		}
		if r.Outcome == types.OutcomeNotRun && (len(q.open) > 0 || q.mayHaveRun()) {
			a.t.Fatalf("request %d is reported as not run after %v, %d open", r.Handle, q.ended, len(q.open))
		}
	}
	a.forwards, a.replies = a.forwards[:0], a.replies[:0]
}

func (q *checkedRequest) mayHaveRun() bool {
	for _, o := range q.ended {
		if o != types.OutcomeNotRun {
			return true
		}
	}
	return false
}

func (a *checker) checkForward(f routing.Forward) {
	q := a.requests[f.Handle]
	switch {
	case q.replies > 0:
		a.t.Fatalf("request %d is forwarded after its reply", f.Handle)
	case !q.idempotent && (len(q.open) > 0 || q.mayHaveRun()):
		a.t.Fatalf("request %d is forwarded again after %v, %d open", f.Handle, q.ended, len(q.open))
	case a.linkDown[f.VM]:
		a.t.Fatalf("request %d is forwarded over the broken link to %s", f.Handle, f.VM)
	case f.Remaining <= 0:
		a.t.Fatalf("request %d is forwarded after its deadline", f.Handle)
	}
	if at, leaving := a.outAt[f.Target.Target]; leaving && (a.now >= at || !q.allowedWhileDraining(f.Target)) {
		a.t.Fatalf("request %d is forwarded to %s, which is out of service", f.Handle, f.Target.Target)
	}
	q.open[f.Attempt] = f
}

// allowedWhileDraining reports whether a draining target may still take the request for DrainGrace: requests for its
// keys and requests pinned to it cannot run elsewhere.
func (q *checkedRequest) allowedWhileDraining(t types.TargetID) bool {
	return t.Service == keyedService || q.pinned == t.Target
}

func (a *checker) sendRequest() {
	a.handles++
	r := routing.Request{
		Handle: a.handles, Key: types.KeyHash(a.handles), Idempotent: rapid.Bool().Draw(a.t, "idempotent"),
		Service:  rapid.SampledFrom([]types.Service{keyedService, unkeyedService, "none"}).Draw(a.t, "service"),
		Deadline: a.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(a.t, "deadline")) * time.Millisecond),
		Pinned:   rapid.SampledFrom([]types.Target{"", "", targetName(1), "none"}).Draw(a.t, "pinned"),
	}
	a.requests[r.Handle] = &checkedRequest{idempotent: r.Idempotent, pinned: r.Pinned, open: map[uint8]routing.Forward{}}
	a.step(routing.Message{Kind: routing.KindRequest, Request: r})
}

func (a *checker) sendResults() {
	for h := uint64(1); h <= a.handles; h++ {
		q := a.requests[h]
		for n := range uint8(routing.MaxAttempts + 1) {
			f, open := q.open[n]
			if !open || rapid.IntRange(0, 2).Draw(a.t, "later") == 0 {
				continue
			}
			delete(q.open, n)
			o := rapid.SampledFrom([]types.Outcome{types.OutcomeDone, types.OutcomeNotRun, types.OutcomeUnknown}).Draw(a.t, "outcome")
			q.ended = append(q.ended, o)
			code := rapid.SampledFrom([]types.Code{
				types.CodeStaleEpoch, types.CodeNotLeaseHolder, types.CodeOverloaded, types.CodePeerUnavailable,
			}).Draw(a.t, "code")
			a.step(routing.Message{Kind: routing.KindResult, Result: routing.Result{
				Handle: f.Handle, Attempt: f.Attempt, Outcome: o, Code: code,
				RetryAllowed: rapid.IntRange(0, 3).Draw(a.t, "retry") > 0,
			}})
			a.check()
			break
		}
	}
}

// waitAndCheck advances the time in small steps, so that each action is checked at the time at which it is taken.
func (a *checker) waitAndCheck(d time.Duration) {
	for end := a.now.Add(d); a.now < end; {
		a.wait(min(end.Sub(a.now), 5*time.Millisecond))
		a.check()
	}
}

func (a *checker) toggleLink() {
	vm := vmName(rapid.IntRange(0, smallFleet.vms-1).Draw(a.t, "vm"))
	a.linkDown[vm] = !a.linkDown[vm]
	kind := routing.KindLinkUp
	if a.linkDown[vm] {
		kind = routing.KindLinkDown
	}
	a.step(routing.Message{Kind: kind, VM: vm})
}

func (a *checker) changeOperations() {
	a.revision++
	o := &routing.Operations{Revision: a.revision}
	before := a.outAt
	a.outAt = map[types.Target]types.Instant{}
	for i := range smallFleet.targets {
		s := rapid.SampledFrom([]routing.State{routing.StateInService, routing.StateInService, routing.StateDraining, routing.StateOutOfService}).Draw(a.t, "state")
		if s == routing.StateInService {
			continue
		}
		end := a.now
		if s == routing.StateDraining {
			end = a.now.Add(routing.DrainGrace)
		}
		if at, already := before[targetName(i)]; already {
			end = min(end, at)
		}
		a.outAt[targetName(i)] = end
		for _, service := range []types.Service{keyedService, unkeyedService} {
			o.Targets = append(o.Targets, routing.TargetState{Target: types.TargetID{Service: service, Target: targetName(i)}, State: s})
		}
	}
	a.step(routing.Message{Kind: routing.KindOperations, Operations: o})
}

func (a *checker) changeLeases() {
	a.revision++
	l := leases(keyedService, smallFleet, a.revision)
	for i := range l.Rows {
		l.Rows[i].VM = vmName(rapid.IntRange(0, smallFleet.vms-1).Draw(a.t, "holder"))
		l.Rows[i].Epoch = types.Epoch(a.revision)
		l.Rows[i].Active = rapid.Bool().Draw(a.t, "active")
	}
	a.step(routing.Message{Kind: routing.KindLeases, Leases: l})
}

// Guards against lost and duplicate replies, second runs, wrong not-run answers and requests to targets that are out of
// service, under random sequences of events.
func TestRandomEventSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &checker{
			driver: newDriver(newReadyCore(smallFleet)), t: t, requests: map[uint64]*checkedRequest{}, linkDown: map[types.VM]bool{},
			outAt: map[types.Target]types.Instant{}, revision: 1,
		}
		actions := []func(){a.sendRequest, a.sendRequest, a.sendResults, a.sendResults, a.toggleLink, a.changeOperations, a.changeLeases}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			a.check()
			a.waitAndCheck(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond)
		}
		a.waitAndCheck(6 * time.Second)
		for h, q := range a.requests {
			if q.replies != 1 {
				t.Fatalf("request %d has %d replies", h, q.replies)
			}
		}
		if a.InProgress() != 0 {
			t.Fatalf("%d requests are still held", a.InProgress())
		}
	})
}
