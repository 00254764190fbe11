package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

var smallFleet = fleetSize{slots: 64, targets: 8, vms: 4}

// driver advances a Core and its clock, and records the actions by kind.
type driver struct {
	*routing.Core
	now       types.Instant
	forwards  []routing.Forward
	replies   []routing.Reply
	cancels   []routing.Cancel
	decisions []routing.Decision
}

func newDriver(c *routing.Core) *driver { return &driver{Core: c, now: types.Instant(time.Hour)} }

func (d *driver) record(actions []routing.Action) {
	for _, a := range actions {
		switch a.Kind {
		case routing.ActionForward:
			d.forwards = append(d.forwards, a.Forward)
		case routing.ActionReply:
			d.replies = append(d.replies, a.Reply)
		case routing.ActionCancel:
			d.cancels = append(d.cancels, a.Cancel)
		case routing.ActionDecision:
			d.decisions = append(d.decisions, a.Decision)
		}
	}
}

func (d *driver) step(m routing.Message) { d.record(d.Step(d.now, &m, nil)) }

// wait advances the clock by t in steps of at most 5 ms and handles the timers after each.
func (d *driver) wait(t time.Duration) {
	for end := d.now.Add(t); d.now < end; {
		d.now = min(end, d.now.Add(5*time.Millisecond))
		d.record(d.Tick(d.now, nil))
	}
}

func (d *driver) request(handle uint64, service types.Service, idempotent bool) {
	d.step(routing.Message{Kind: routing.KindRequest, Request: routing.Request{
		Handle: handle, Service: service, Key: types.KeyHash(handle), Idempotent: idempotent,
		Deadline: d.now.Add(10 * time.Second),
	}})
}

// answer ends the attempt of a Forward.
func (d *driver) answer(f routing.Forward, o types.Outcome, code types.Code) {
	d.step(routing.Message{Kind: routing.KindResult, Result: routing.Result{
		Handle: f.Handle, Attempt: f.Attempt, Outcome: o, Code: code, RetryAllowed: true,
	}})
}

func (d *driver) lastForward() routing.Forward { return d.forwards[len(d.forwards)-1] }

// Guards against repeated attempts over a route that the dispatcher has refused as stale.
func TestStaleRefusalWaitsForNewerRow(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.request(1, keyedService, false)
	d.answer(d.lastForward(), types.OutcomeNotRun, types.CodeStaleEpoch)
	d.wait(90 * time.Millisecond)
	is.Equal(len(d.forwards), 1)
	newer := table(smallFleet, 2)
	newer.Epochs[1] = 4
	d.step(routing.Message{Kind: routing.KindTable, Table: newer})
	is.Equal(len(d.forwards), 2)
	is.Equal(d.lastForward().SlotEpoch, types.Epoch(4))
}

// Guards against a failed request when the gateway's rows are newer than the dispatcher's.
func TestStaleRefusalIsRetriedWithoutNewerRow(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.request(1, keyedService, false)
	d.answer(d.lastForward(), types.OutcomeNotRun, types.CodeNotLeaseHolder)
	d.wait(150 * time.Millisecond)
	is.Equal(len(d.forwards), 2)
	d.answer(d.lastForward(), types.OutcomeDone, "")
	is.Equal(d.replies[0].Outcome, types.OutcomeDone)
}

// Guards against keys that stay unserved after a takeover, and against requests that are held longer than TakeoverWait.
func TestTakeoverHoldsRequests(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.step(routing.Message{Kind: routing.KindLinkDown, VM: vmName(1)})
	d.request(1, keyedService, false)
	is.Equal(len(d.forwards), 0)
	taken := leases(keyedService, smallFleet, 2)
	taken.Rows[1].VM = vmName(2)
	taken.Rows[1].Epoch = 8
	d.wait(2 * time.Second)
	d.step(routing.Message{Kind: routing.KindLeases, Leases: taken})
	is.Equal(len(d.forwards), 1)
	is.Equal(d.lastForward().VM, vmName(2))
	is.Equal(d.lastForward().LeaseEpoch, types.Epoch(8))
	d.step(routing.Message{Kind: routing.KindLinkDown, VM: vmName(2)})
	d.request(2, keyedService, false)
	d.wait(routing.TakeoverWait)
	is.Equal(d.replies[0], routing.Reply{Handle: 2, Outcome: types.OutcomeNotRun, Code: types.CodeNoRoute})
}

// Guards against an unbounded number of held requests while a target is not served.
func TestHeldRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	for i := range smallFleet.vms {
		d.step(routing.Message{Kind: routing.KindLinkDown, VM: vmName(i)})
	}
	for i := range uint64(routing.MaxWaiting + 5) {
		d.request(i, keyedService, false)
	}
	is.Equal(len(d.replies), 5)
	is.Equal(d.replies[0].Code, types.CodeOverloaded)
	is.Equal(d.replies[0].Outcome, types.OutcomeNotRun)
}

// Guards against a retry storm: while everything fails, retries stay within their share of first attempts.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	const requests = 2000
	answered := 0
	for i := range uint64(requests) {
		d.request(i, unkeyedService, true)
		d.wait(5 * time.Millisecond)
		for ; answered < len(d.forwards); answered++ {
			d.answer(d.forwards[answered], types.OutcomeUnknown, types.CodeTargetFailed)
		}
	}
	is.True(len(d.forwards) > requests)           // there are retries
	is.True(len(d.forwards) <= requests*11/10+11) // RetryShare is 0.1, the initial budget 10
}

// Guards against a second run of a non-idempotent request whose first attempt may have run.
func TestUnknownOrderIsNotRetried(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.request(1, unkeyedService, false)
	d.answer(d.lastForward(), types.OutcomeUnknown, types.CodeTargetFailed)
	d.wait(11 * time.Second)
	is.Equal(len(d.forwards), 1)
	is.Equal(d.replies, []routing.Reply{{
		Handle: 1, Attempt: 1, Outcome: types.OutcomeUnknown, Code: types.CodeTargetFailed,
	}})
}

// Guards against outcome not-run while an attempt may still run, after the deadline and after a cancellation.
func TestActiveAttemptIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.request(1, keyedService, false)
	d.request(2, keyedService, false)
	d.step(routing.Message{Kind: routing.KindCancel, Handle: 2})
	d.wait(11 * time.Second)
	is.Equal(len(d.replies), 2)
	for _, r := range d.replies {
		is.Equal(r.Outcome, types.OutcomeUnknown)
	}
	is.Equal(len(d.cancels), 2)
}

// Guards against a late answer of a cancelled attempt that ends another request.
func TestLateResultIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.request(1, keyedService, false)
	late := d.lastForward()
	d.step(routing.Message{Kind: routing.KindCancel, Handle: 1})
	d.request(2, keyedService, false)
	d.answer(late, types.OutcomeDone, "")
	d.answer(routing.Forward{Handle: 2, Attempt: 9}, types.OutcomeDone, "")
	is.Equal(len(d.replies), 1)
}

// Guards against ejecting so many targets that the others are overloaded.
func TestEjectionIsCapped(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	answered := 0
	for i := range uint64(500) {
		d.request(i, unkeyedService, false)
		for ; answered < len(d.forwards); answered++ {
			d.answer(d.forwards[answered], types.OutcomeUnknown, types.CodeTargetFailed)
		}
	}
	ejected := map[types.TargetID]bool{}
	for _, n := range d.decisions {
		if n.Reason == routing.ReasonEjected {
			ejected[n.Target] = true
		}
	}
	is.Equal(len(ejected), 2) // EjectShare is 0.25 of 8 targets
}

// Guards against requests to a draining data centre: at once for services without keys, after DrainGrace for keyed ones.
func TestDrainingDataCentreGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	out := &routing.Operations{Revision: 5, DataCentres: []routing.DataCentreState{{centreName(0), routing.StateDraining}}}
	d.step(routing.Message{Kind: routing.KindOperations, Operations: out})
	for i := range uint64(200) {
		d.request(1000+i, unkeyedService, true)
		is.True(centreOf(d.lastForward().Target.Target) != centreName(0))
	}
	d.request(8, keyedService, false) // slot 8 belongs to target 0 in dc-0
	is.Equal(d.lastForward().Target.Target, targetName(0))
	d.wait(routing.DrainGrace)
	before := len(d.forwards)
	d.request(16, keyedService, false)
	is.Equal(len(d.forwards), before)
	older := &routing.Operations{Revision: 4}
	d.step(routing.Message{Kind: routing.KindOperations, Operations: older})
	is.Equal(len(d.forwards), before)
}

func centreOf(t types.Target) types.DataCentre {
	var i int
	_, _ = fmt.Sscanf(string(t), "t-%d", &i)
	return centreName(i)
}

// Guards against rows and configurations that are replaced by an older version.
func TestOlderVersionsAreIgnored(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.step(routing.Message{Kind: routing.KindTable, Table: table(smallFleet, 9)})
	older := table(smallFleet, 8)
	clear(older.Epochs)
	d.step(routing.Message{Kind: routing.KindTable, Table: older})
	old := leases(keyedService, smallFleet, 0)
	old.Rows = nil
	d.step(routing.Message{Kind: routing.KindLeases, Leases: old})
	d.step(routing.Message{Kind: routing.KindConfiguration, Configuration: &config.Configuration{}})
	d.request(1, keyedService, false)
	is.Equal(len(d.forwards), 1)
	is.Equal(d.lastForward().SlotEpoch, types.Epoch(3))
}

// Guards against routing by a lease that an earlier incarnation of the dispatcher held.
func TestLeaseOfEarlierIncarnationIsNotUsed(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	restarted := members(smallFleet)
	restarted.Revision = 2
	restarted.Rows[1].Incarnation = 2
	d.step(routing.Message{Kind: routing.KindMembers, Members: restarted})
	d.request(1, keyedService, false)
	is.Equal(len(d.forwards), 0)
}

// Guards against an answer that arrives after the caller has stopped waiting.
func TestForwardDeadlineLeavesResponseMargin(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	d.request(1, keyedService, true)
	is.True(d.lastForward().Remaining < 10*time.Second)
	d.step(routing.Message{Kind: routing.KindRequest, Request: routing.Request{
		Handle: 2, Service: keyedService, Deadline: d.now.Add(time.Millisecond),
	}})
	is.Equal(d.replies[0].Code, types.CodeDeadlineExceeded)
	is.Equal(d.replies[0].Outcome, types.OutcomeNotRun)
}

// Guards against a pinned request that runs at another target and reads older state.
func TestPinnedRequestRunsOnlyOnItsTarget(t *testing.T) {
	is := is.New(t)
	d := newDriver(newReadyCore(smallFleet))
	r := routing.Request{Handle: 1, Service: unkeyedService, Pinned: targetName(5), Deadline: d.now.Add(time.Second)}
	d.step(routing.Message{Kind: routing.KindRequest, Request: r})
	is.Equal(d.lastForward().Target.Target, targetName(5))
	gone := &routing.Operations{Revision: 1, Targets: []routing.TargetState{
		{types.TargetID{Service: unkeyedService, Target: targetName(5)}, routing.StateOutOfService},
	}}
	d.step(routing.Message{Kind: routing.KindOperations, Operations: gone})
	r.Handle = 2
	d.step(routing.Message{Kind: routing.KindRequest, Request: r})
	is.Equal(d.replies[0].Code, types.CodeNoRoute)
}

// Guards against heap allocation for each decision, which would add garbage collection to the request path.
func TestDecisionsDoNotAllocate(t *testing.T) {
	for _, service := range []types.Service{keyedService, unkeyedService} {
		d := newDriver(newReadyCore(smallFleet))
		out := make([]routing.Action, 0, 8)
		handle := uint64(0)
		random := rand.New(rand.NewPCG(1, 1))
		allocs := testing.AllocsPerRun(5000, func() {
			handle++
			d.now = d.now.Add(time.Millisecond)
			m := routing.Message{Kind: routing.KindRequest, Request: routing.Request{
				Handle: handle, Service: service, Key: types.KeyHash(random.Uint64()), Idempotent: true,
				Deadline: d.now.Add(time.Second),
			}}
			out = d.Step(d.now, &m, out[:0])
			m = routing.Message{Kind: routing.KindResult, Result: routing.Result{
				Handle: handle, Attempt: 1, Outcome: types.OutcomeDone,
			}}
			out = d.Step(d.now, &m, out[:0])
			out = d.Tick(d.now, out[:0])
		})
		if allocs != 0 {
			t.Errorf("%s: %v allocations for each request", service, allocs)
		}
	}
}
