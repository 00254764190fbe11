package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

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

func (c *clocked) grant(epoch types.Epoch, ttl time.Duration) answer {
	c.Helper()
	slots := []target.SlotRun{{Start: 0, Count: 4}}
	return c.ask(message{kind: kindGrant, grant: target.GrantRequest{LeaseEpoch: epoch, Slots: slots, TTL: ttl}})
}

func (c *clocked) renew(epoch types.Epoch, token string, ttl time.Duration) answer {
	c.Helper()
	return c.ask(message{kind: kindRenew, renew: target.RenewRequest{LeaseEpoch: epoch, Token: token, TTL: ttl}})
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

func tokenOf(a answer) string { return a.body.(target.GrantAnswer).Token }

// Guards against a renewal that counts from its arrival: a delayed one would outlive the wait of a takeover.
func TestRenewalCountsFromTheIssueOfTheToken(t *testing.T) {
	c := newClocked(t, nil)
	token := tokenOf(c.grant(1, time.Second))
	c.pass(600 * time.Millisecond)
	c.Equal(c.renew(1, token, time.Second).fault, nil)
	c.pass(400 * time.Millisecond)
	c.Equal(c.code(c.ask(order("r1"))), types.CodeNotHolder)
}

// Guards against an expired grant coming back under its old lease epoch.
func TestExpiredGrantNeedsANewLeaseEpoch(t *testing.T) {
	c := newClocked(t, nil)
	token := tokenOf(c.grant(1, time.Second))
	c.pass(time.Second)
	c.Equal(c.code(c.renew(1, token, time.Hour)), types.CodeNotHolder)
	c.Equal(c.code(c.grant(1, time.Second)), types.CodeNotHolder)
	c.Equal(c.grant(2, time.Second).fault, nil)
	c.Equal(c.code(c.grant(1, time.Second)), types.CodeStaleEpoch)
}

// Guards against a grant without a time to live running requests before its first renewal.
func TestGrantWithoutTimeToLiveStartsWithItsRenewal(t *testing.T) {
	c := newClocked(t, nil)
	token := tokenOf(c.grant(1, 0))
	c.Equal(c.code(c.ask(order("r1"))), types.CodeNotHolder)
	c.pass(time.Minute)
	c.Equal(c.code(c.renew(1, token, time.Minute)), types.CodeNotHolder)
	token = tokenOf(c.grant(1, 0))
	c.Equal(c.renew(1, token, time.Second).fault, nil)
	c.Equal(len(c.order("r2")), 0)
	c.Equal(len(c.running), 1)
}

// Guards against renewals that arrive out of order shortening a grant.
func TestRenewalNeverShortensAGrant(t *testing.T) {
	c := newClocked(t, nil)
	first := tokenOf(c.grant(1, time.Second))
	c.pass(500 * time.Millisecond)
	second := tokenOf(c.renew(1, first, time.Second))
	c.renew(1, second, time.Second)
	c.renew(1, first, time.Second)
	c.pass(900 * time.Millisecond)
	c.Equal(len(c.order("r1")), 0)
}

// Guards against a frozen target letting a request take effect after its grant has expired.
func TestFrozenRequestIsFencedAfterItsGrant(t *testing.T) {
	c := newClocked(t, nil)
	c.grant(1, time.Second)
	held := c.order("r1")
	c.ask(message{kind: kindSetFaults, faults: Faults{Frozen: true}})
	c.pass(time.Hour)
	c.Equal(len(held), 0)
	c.ask(message{kind: kindSetFaults})
	c.Equal(len(held), 1)
	a := <-held
	c.Equal(c.code(a), types.CodeNotHolder)
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

// Guards against a release that answers while a request for its slots still runs.
func TestReleaseWaitsForRunningRequests(t *testing.T) {
	c := newClocked(t, nil)
	c.grant(1, time.Hour)
	c.order("r1")
	slots := []target.SlotRun{{Start: 1, Count: 1}}
	released := c.send(message{kind: kindRelease, release: target.ReleaseRequest{LeaseEpoch: 1, Slots: slots}})
	c.Equal(len(released), 0)
	c.pass(time.Second)
	c.Equal(len(released), 1)
}

// Guards against hot-key rows that do not override the slot of their key.
func TestHotKeyOverridesItsSlot(t *testing.T) {
	c := newClocked(t, nil)
	hot := func(slot types.Slot, owned bool) bool {
		g := target.GrantRequest{LeaseEpoch: 1, Slots: []target.SlotRun{{Start: 0, Count: 1}}, TTL: time.Hour}
		g.HotKeys = []target.HotKey{{Hash: types.HashKey("k"), Owned: owned}}
		c.ask(message{kind: kindGrant, grant: g})
		return c.grants.contains(request{key: "k", slot: slot})
	}
	c.True(hot(5, true))
	c.True(!hot(0, false))
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

// Guards against losing or inventing slots when a run is cut out of the middle of another.
func TestSubtract(t *testing.T) {
	is := is.New(t)
	left := subtract([]target.SlotRun{{Start: 0, Count: 10, Epoch: 3}}, target.SlotRun{Start: 4, Count: 2})
	is.Equal(left, []target.SlotRun{{Start: 0, Count: 4, Epoch: 3}, {Start: 6, Count: 4, Epoch: 3}})
	is.Equal(subtract(left, target.SlotRun{Start: 0, Count: 10}), []target.SlotRun{})
}
