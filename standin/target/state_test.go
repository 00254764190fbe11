package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// instant covers tokens that are issued at the same time: each counts one nanosecond later than the one before.
const instant = time.Microsecond

// clocked is a target whose time the test chooses.
type clocked struct {
	*is.I
	*state
	now time.Time
}

func newClocked(t *testing.T, change func(*Settings)) *clocked {
	s := DefaultSettings()
	s.WarmMs = 0
	if change != nil {
		change(&s)
	}
	c := &clocked{I: is.New(t), now: time.Unix(0, 0)}
	c.state = newState(c.now, s, 1, func(time.Duration) {})
	c.Tick(c.now)
	return c
}

func (c *clocked) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.Tick(c.now)
}

func (c *clocked) send(m message) chan answer {
	m.reply = make(chan answer, 1)
	c.Step(c.now, m)
	return m.reply
}

// ask returns the answer of a call that is answered at once.
func (c *clocked) ask(m message) answer {
	c.Helper()
	reply := c.send(m)
	c.Equal(len(reply), 1)
	return <-reply
}

// authority carries a token that the target has just issued.
func (c *clocked) authority(epoch types.Epoch) target.Fencing {
	return withToken(epoch, c.grants.issue(c.now))
}

func withToken(epoch types.Epoch, a target.GrantResponse) target.Fencing {
	return target.Fencing{LeaseEpoch: epoch, Token: a.Token, Incarnation: a.Incarnation}
}

func (c *clocked) grant(by target.Fencing, ttl time.Duration) answer {
	c.Helper()
	slots := []target.SlotRange{{Start: 0, Count: 4}}
	return c.ask(message{kind: kindGrant, grant: target.GrantRequest{Fencing: by, Slots: slots, TTL: ttl}})
}

func (c *clocked) renew(by target.Fencing, ttl time.Duration) answer {
	c.Helper()
	return c.ask(message{kind: kindRenew, renew: target.RenewRequest{Fencing: by, TTL: ttl}})
}

func order(id types.RequestID) message {
	return message{kind: kindRequest, request: request{id: id, key: "k", slot: 1, leaseEpoch: 1, method: "POST"}}
}

func (c *clocked) order(id types.RequestID) chan answer { return c.send(order(id)) }

func (c *clocked) code(a answer) types.Code {
	c.Helper()
	c.True(a.fault != nil)
	return a.fault.Code
}

// issued returns the token of an accepted call.
func (c *clocked) issued(a answer) target.GrantResponse {
	c.Helper()
	c.Equal(a.fault, nil)
	return a.body.(target.GrantResponse)
}

// Guards against a renewal that counts from its arrival: a delayed one would outlive the wait of a takeover.
func TestRenewalCountsFromTheIssueOfTheToken(t *testing.T) {
	c := newClocked(t, nil)
	first := c.issued(c.grant(c.authority(1), time.Second))
	c.pass(600 * time.Millisecond)
	c.issued(c.renew(withToken(1, first), time.Second))
	c.pass(400*time.Millisecond + instant)
	c.Equal(c.code(c.ask(order("r1"))), types.CodeNotLeaseHolder)
}

// Guards against an expired grant coming back under its old lease epoch.
func TestExpiredGrantNeedsANewLeaseEpoch(t *testing.T) {
	c := newClocked(t, nil)
	c.issued(c.grant(c.authority(1), time.Second))
	c.pass(time.Second + instant)
	c.Equal(c.code(c.renew(c.authority(1), time.Hour)), types.CodeNotLeaseHolder)
	c.Equal(c.code(c.grant(c.authority(1), time.Second)), types.CodeNotLeaseHolder)
	c.issued(c.grant(c.authority(2), time.Second))
	c.Equal(c.code(c.grant(c.authority(1), time.Second)), types.CodeStaleEpoch)
}

// Guards against a first grant gaining time from a late arrival, for example at a target that was frozen.
func TestDelayedGrantIsRefused(t *testing.T) {
	c := newClocked(t, nil)
	by := c.authority(1)
	c.pass(time.Second + instant)
	a := c.grant(by, time.Second)
	c.Equal(c.code(a), types.CodeStaleToken)
	c.Equal(c.code(c.ask(order("r1"))), types.CodeNotLeaseHolder)
	c.issued(c.grant(withToken(1, a.grant), time.Second))
}

// Guards against a call that arrives after a later one bringing back slots or shortening the grant.
func TestOvertakenCallIsRefused(t *testing.T) {
	c := newClocked(t, nil)
	older := c.authority(1)
	c.pass(500 * time.Millisecond)
	newer := c.authority(1)
	c.issued(c.grant(newer, time.Second))
	c.Equal(c.code(c.renew(older, time.Second)), types.CodeStaleToken)
	c.Equal(c.code(c.grant(newer, time.Second)), types.CodeStaleToken)
	c.pass(900 * time.Millisecond)
	c.Equal(len(c.order("r1")), 0)
}

// Guards against tokens of an earlier run of the target, or tokens that it never issued.
func TestForeignTokenIsRefused(t *testing.T) {
	c := newClocked(t, nil)
	by := c.authority(1)
	by.Incarnation++
	c.Equal(c.code(c.grant(by, time.Second)), types.CodeStaleToken)
	by = c.authority(1)
	by.Token++
	c.Equal(c.code(c.grant(by, time.Second)), types.CodeStaleToken)
}

// Guards against a frozen target letting a request take effect after its grant has expired.
func TestFrozenRequestIsFencedAfterItsGrant(t *testing.T) {
	c := newClocked(t, nil)
	c.issued(c.grant(c.authority(1), time.Second))
	held := c.order("r1")
	c.ask(message{kind: kindSetFaults, faults: Faults{Frozen: true}})
	c.pass(time.Hour)
	c.Equal(len(held), 0)
	c.ask(message{kind: kindSetFaults})
	c.Equal(len(held), 1)
	a := <-held
	c.Equal(c.code(a), types.CodeNotLeaseHolder)
	c.True(!a.notRun)
	c.Equal(c.journal.entries[0].Outcome, OutcomeFenced)
	c.Equal(len(c.keys), 0)
}

// Guards against a request that takes effect after its deadline.
func TestDeadlineEndsARunningRequest(t *testing.T) {
	c := newClocked(t, func(s *Settings) { s.ServiceMs, s.ChecksGrants = 1000, false })
	deadline := c.now.Add(time.Millisecond)
	held := c.send(message{kind: kindRequest, request: request{id: "r1", method: "POST", deadline: deadline}})
	at, _ := c.Next()
	c.Equal(at, deadline)
	c.pass(time.Millisecond)
	c.Equal(len(held), 1)
	c.Equal(c.code(<-held), types.CodeDeadlineExceeded)
	c.Equal(c.journal.entries[0].Outcome, OutcomeDeadline)
}

// Guards against a cold target that bears full load at once, or that never warms up.
func TestColdTargetBearsMoreStepByStep(t *testing.T) {
	c := newClocked(t, func(s *Settings) { s.WarmMs, s.ServiceMs, s.ChecksGrants = 1000, 1, false })
	c.Equal(c.bears(c.now), 1)
	c.pass(500 * time.Millisecond)
	c.Equal(c.bears(c.now), 2)
	c.pass(500 * time.Millisecond)
	c.Equal(c.bears(c.now), 4)
	c.ask(message{kind: kindSetFaults, faults: Faults{Cold: true}})
	first, second := c.order("r1"), c.order("r2")
	c.pass(10 * time.Millisecond)
	c.Equal(len(first)+len(second), 2)
	c.Equal((<-first).fault, nil)
	c.Equal(c.code(<-second), types.CodeTargetFailed)
	c.Equal(c.stats.OverAdmitted, uint64(1))
	c.Equal(c.bears(c.now), 1)
}

// Guards against a release that answers while a request runs, lets new ones start, or fails those that run.
func TestReleaseWaitsForRunningRequests(t *testing.T) {
	c := newClocked(t, nil)
	c.issued(c.grant(c.authority(1), time.Hour))
	held := c.order("r1")
	released := c.send(message{kind: kindRelease, release: target.ReleaseRequest{Fencing: c.authority(1)}})
	c.Equal(len(released), 0)
	c.Equal(c.code(c.ask(order("r2"))), types.CodeNotLeaseHolder)
	c.pass(time.Second)
	c.Equal(len(released), 1)
	c.Equal(len(held), 1)
	c.Equal((<-held).fault, nil)
}

// Guards against hot-key rows that do not override the slot of their key.
func TestHotKeyOverridesItsSlot(t *testing.T) {
	c := newClocked(t, nil)
	c.issued(c.ask(message{kind: kindGrant, grant: target.GrantRequest{
		Fencing: c.authority(1),
		Slots:   []target.SlotRange{{Start: 0, Count: 1}},
		Except:  []types.KeyHash{types.HashKey("elsewhere")},
		HotKeys: []target.HotKey{{Hash: types.HashKey("here")}},
		TTL:     time.Hour,
	}}))
	c.True(c.grants.contains(request{key: "here", slot: 5}))
	c.True(!c.grants.contains(request{key: "elsewhere", slot: 0}))
	c.True(c.grants.contains(request{key: "other", slot: 0}))
	c.True(!c.grants.contains(request{key: "other", slot: 5}))
}

// Guards against reports that show the present although they are set to lag.
func TestReportsLag(t *testing.T) {
	c := newClocked(t, func(s *Settings) { s.LoadLagMs, s.HealthLagMs, s.ChecksGrants = 100, 100, false })
	c.pass(time.Second)
	c.order("r1")
	c.ask(message{kind: kindDrain})
	c.Equal(c.reportedLoad(c.now).Running, 0)
	c.Equal(c.reportedHealth(c.now).State, target.StateServing)
	later := c.now.Add(100 * time.Millisecond)
	c.Equal(c.reportedLoad(later).Running, 1)
	c.Equal(c.reportedHealth(later).State, target.StateDraining)
}

// Guards against a stop that cuts off running requests.
func TestStopWaitsForRunningRequests(t *testing.T) {
	c := newClocked(t, func(s *Settings) { s.ChecksGrants = false })
	held := c.order("r1")
	stopped := c.send(message{kind: kindStop})
	c.Equal(len(stopped), 0)
	c.Equal(c.code(c.ask(order("r2"))), types.CodeShuttingDown)
	c.pass(time.Second)
	c.Equal(len(stopped), 1)
	c.Equal((<-held).fault, nil)
}
