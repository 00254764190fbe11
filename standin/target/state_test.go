package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// tokenSpread covers tokens that are issued at the same time: each is one nanosecond later than the one before.
const tokenSpread = time.Microsecond

// clockedState is a target whose clock is set by the test.
type clockedState struct {
	*is.I
	*state
	now time.Time
}

func newClockedState(t *testing.T, change func(*Settings)) *clockedState {
	s := DefaultSettings()
	s.WarmMs = 0
	if change != nil {
		change(&s)
	}
	c := &clockedState{I: is.New(t), now: time.Unix(0, 0)}
	c.state = newState(c.now, s, 1, func(time.Duration) {})
	c.Tick(c.now)
	return c
}

// advance moves the clock forward by d and performs the actions that are due.
func (c *clockedState) advance(d time.Duration) {
	c.now = c.now.Add(d)
	c.Tick(c.now)
}

func (c *clockedState) send(m message) chan answer {
	m.reply = make(chan answer, 1)
	c.Step(c.now, m)
	return m.reply
}

// ask performs a call that must be answered at once and returns the answer.
func (c *clockedState) ask(m message) answer {
	c.Helper()
	reply := c.send(m)
	c.Equal(len(reply), 1)
	return <-reply
}

// fencing returns the fencing fields of a call, with a token that the target has just issued.
func (c *clockedState) fencing(epoch types.Epoch) target.Fencing {
	return withToken(epoch, c.grantState.issueToken(c.now))
}

func withToken(epoch types.Epoch, a target.GrantResponse) target.Fencing {
	return target.Fencing{LeaseEpoch: epoch, Token: a.Token, Incarnation: a.Incarnation}
}

func (c *clockedState) grant(fence target.Fencing, ttl time.Duration) answer {
	c.Helper()
	slots := []target.SlotRange{{Start: 0, Count: 4}}
	return c.ask(message{kind: kindGrant, grant: target.GrantRequest{Fencing: fence, Slots: slots, TTL: ttl}})
}

func (c *clockedState) renew(fence target.Fencing, ttl time.Duration) answer {
	c.Helper()
	return c.ask(message{kind: kindRenew, renew: target.RenewRequest{Fencing: fence, TTL: ttl}})
}

// post returns the message of a POST request for key k.
func post(id types.RequestID) message {
	return message{kind: kindRequest, request: request{id: id, key: "k", slot: 1, leaseEpoch: 1, method: "POST"}}
}

func (c *clockedState) post(id types.RequestID) chan answer { return c.send(post(id)) }

// faultCode returns the code of the fault with which a call was refused or a request failed.
func (c *clockedState) faultCode(a answer) types.Code {
	c.Helper()
	c.True(a.fault != nil)
	return a.fault.Code
}

// issued returns the token in the answer to an accepted call.
func (c *clockedState) issued(a answer) target.GrantResponse {
	c.Helper()
	c.Equal(a.fault, nil)
	return a.body.(target.GrantResponse)
}

// Guards against a renewal whose time counts from its arrival. A delayed one would then last longer than a new lease
// holder waits.
func TestRenewalCountsFromTheIssueOfTheToken(t *testing.T) {
	c := newClockedState(t, nil)
	first := c.issued(c.grant(c.fencing(1), time.Second))
	c.advance(600 * time.Millisecond)
	c.issued(c.renew(withToken(1, first), time.Second))
	c.advance(400*time.Millisecond + tokenSpread)
	c.Equal(c.faultCode(c.ask(post("r1"))), types.CodeNotLeaseHolder)
}

// Guards against an expired grant becoming valid again under its old lease epoch.
func TestExpiredGrantNeedsANewLeaseEpoch(t *testing.T) {
	c := newClockedState(t, nil)
	c.issued(c.grant(c.fencing(1), time.Second))
	c.advance(time.Second + tokenSpread)
	c.Equal(c.faultCode(c.renew(c.fencing(1), time.Hour)), types.CodeNotLeaseHolder)
	c.Equal(c.faultCode(c.grant(c.fencing(1), time.Second)), types.CodeNotLeaseHolder)
	c.issued(c.grant(c.fencing(2), time.Second))
	c.Equal(c.faultCode(c.grant(c.fencing(1), time.Second)), types.CodeStaleEpoch)
}

// Guards against a delayed grant that lasts longer than intended, for example at a target that was frozen.
func TestDelayedGrantIsRefused(t *testing.T) {
	c := newClockedState(t, nil)
	fence := c.fencing(1)
	c.advance(time.Second + tokenSpread)
	a := c.grant(fence, time.Second)
	c.Equal(c.faultCode(a), types.CodeStaleToken)
	c.Equal(c.faultCode(c.ask(post("r1"))), types.CodeNotLeaseHolder)
	c.issued(c.grant(withToken(1, a.grant), time.Second))
}

// Guards against a call that arrives after a newer one and restores old slots or shortens the grant.
func TestReorderedCallIsRefused(t *testing.T) {
	c := newClockedState(t, nil)
	older := c.fencing(1)
	c.advance(500 * time.Millisecond)
	newer := c.fencing(1)
	c.issued(c.grant(newer, time.Second))
	c.Equal(c.faultCode(c.renew(older, time.Second)), types.CodeStaleToken)
	c.Equal(c.faultCode(c.grant(newer, time.Second)), types.CodeStaleToken)
	c.advance(900 * time.Millisecond)
	c.Equal(len(c.post("r1")), 0)
}

// Guards against accepting tokens of another incarnation, or tokens that were never issued.
func TestForeignTokenIsRefused(t *testing.T) {
	c := newClockedState(t, nil)
	fence := c.fencing(1)
	fence.Incarnation++
	c.Equal(c.faultCode(c.grant(fence, time.Second)), types.CodeStaleToken)
	fence = c.fencing(1)
	fence.Token++
	c.Equal(c.faultCode(c.grant(fence, time.Second)), types.CodeStaleToken)
}

// Guards against a request that takes effect after its grant has expired, because the target was frozen.
func TestFrozenRequestIsFencedAfterItsGrant(t *testing.T) {
	c := newClockedState(t, nil)
	c.issued(c.grant(c.fencing(1), time.Second))
	pending := c.post("r1")
	c.ask(message{kind: kindSetFaults, faults: Faults{Frozen: true}})
	c.advance(time.Hour)
	c.Equal(len(pending), 0)
	c.ask(message{kind: kindSetFaults})
	c.Equal(len(pending), 1)
	a := <-pending
	c.Equal(c.faultCode(a), types.CodeNotLeaseHolder)
	c.True(!a.notRun)
	c.Equal(c.journal.entries[0].Outcome, OutcomeFenced)
	c.Equal(len(c.keys), 0)
}

// Guards against a request that takes effect after its deadline.
func TestDeadlineEndsARunningRequest(t *testing.T) {
	c := newClockedState(t, func(s *Settings) { s.ServiceMs, s.ChecksGrants = 1000, false })
	deadline := c.now.Add(time.Millisecond)
	pending := c.send(message{kind: kindRequest, request: request{id: "r1", method: "POST", deadline: deadline}})
	at, _ := c.Next()
	c.Equal(at, deadline)
	c.advance(time.Millisecond)
	c.Equal(len(pending), 1)
	c.Equal(c.faultCode(<-pending), types.CodeDeadlineExceeded)
	c.Equal(c.journal.entries[0].Outcome, OutcomeDeadline)
}

// Guards against a cold target with full capacity at once, or one that never warms up.
func TestColdTargetGainsCapacityInSteps(t *testing.T) {
	c := newClockedState(t, func(s *Settings) { s.WarmMs, s.ServiceMs, s.ChecksGrants = 1000, 1, false })
	c.Equal(c.capacity(c.now), 1)
	c.advance(500 * time.Millisecond)
	c.Equal(c.capacity(c.now), 2)
	c.advance(500 * time.Millisecond)
	c.Equal(c.capacity(c.now), 4)
	c.ask(message{kind: kindSetFaults, faults: Faults{Cold: true}})
	first, second := c.post("r1"), c.post("r2")
	c.advance(10 * time.Millisecond)
	c.Equal(len(first)+len(second), 2)
	c.Equal((<-first).fault, nil)
	c.Equal(c.faultCode(<-second), types.CodeTargetFailed)
	c.Equal(c.stats.OverAdmitted, uint64(1))
	c.Equal(c.capacity(c.now), 1)
}

// Guards against a release that is answered while a request runs, lets new ones start, or fails running ones.
func TestReleaseWaitsForRunningRequests(t *testing.T) {
	c := newClockedState(t, nil)
	c.issued(c.grant(c.fencing(1), time.Hour))
	pending := c.post("r1")
	released := c.send(message{kind: kindRelease, release: target.ReleaseRequest{Fencing: c.fencing(1)}})
	c.Equal(len(released), 0)
	c.Equal(c.faultCode(c.ask(post("r2"))), types.CodeNotLeaseHolder)
	c.advance(time.Second)
	c.Equal(len(released), 1)
	c.Equal(len(pending), 1)
	c.Equal((<-pending).fault, nil)
}

// Guards against hot-key entries of a grant that do not take precedence over the slot of their key.
func TestHotKeyOverridesItsSlot(t *testing.T) {
	c := newClockedState(t, nil)
	c.issued(c.ask(message{kind: kindGrant, grant: target.GrantRequest{
		Fencing: c.fencing(1),
		Slots:   []target.SlotRange{{Start: 0, Count: 1}},
		Except:  []types.KeyHash{types.HashKey("elsewhere")},
		HotKeys: []target.HotKey{{Hash: types.HashKey("here")}},
		TTL:     time.Hour,
	}}))
	c.True(c.grantState.contains(request{key: "here", slot: 5}))
	c.True(!c.grantState.contains(request{key: "elsewhere", slot: 0}))
	c.True(c.grantState.contains(request{key: "other", slot: 0}))
	c.True(!c.grantState.contains(request{key: "other", slot: 5}))
}

// Guards against reports that show the current state although a lag is set.
func TestReportsLag(t *testing.T) {
	c := newClockedState(t, func(s *Settings) { s.LoadLagMs, s.HealthLagMs, s.ChecksGrants = 100, 100, false })
	c.advance(time.Second)
	c.post("r1")
	c.ask(message{kind: kindDrain})
	c.Equal(c.reportedLoad(c.now).Running, 0)
	c.Equal(c.reportedHealth(c.now).State, target.StateServing)
	later := c.now.Add(100 * time.Millisecond)
	c.Equal(c.reportedLoad(later).Running, 1)
	c.Equal(c.reportedHealth(later).State, target.StateDraining)
}

// Guards against a stop that aborts running requests.
func TestStopWaitsForRunningRequests(t *testing.T) {
	c := newClockedState(t, func(s *Settings) { s.ChecksGrants = false })
	pending := c.post("r1")
	stopped := c.send(message{kind: kindStop})
	c.Equal(len(stopped), 0)
	c.Equal(c.faultCode(c.ask(post("r2"))), types.CodeShuttingDown)
	c.advance(time.Second)
	c.Equal(len(stopped), 1)
	c.Equal((<-pending).fault, nil)
}
