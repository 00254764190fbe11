package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

const (
	testSlots = 4 // of each target
	startWall = int64(1_700_000_000_000)
	start     = types.Instant(time.Hour)
)

var (
	// keyedA is a target of a service with keys, unkeyedA one of a service without.
	keyedA   = types.TargetID{Service: "mapa", Target: "a"}
	unkeyedA = types.TargetID{Service: "objednavky", Target: "a"}
)

func testConfiguration() *config.Configuration {
	classes := []config.ClassPolicy{
		{Class: "confirmation", QueueLimit: 8, RememberMs: 600_000},
		{Class: "lookup", QueueLimit: 8},
		{Class: "order", QueueLimit: 8, RememberMs: 600_000},
	}
	limits := config.Limits{ColdStartMs: 3000, RetryShare: 0.2}
	targets := func() []config.Target {
		var all []config.Target
		for _, name := range []types.Target{"a", "b", "c", "d"} {
			all = append(all, config.Target{Name: name, Slots: testSlots})
		}
		return all
	}
	return &config.Configuration{Version: 1, Services: []config.Service{
		{Name: "mapa", Keyed: true, Slots: 16, Classes: classes, Limits: limits, Targets: targets()},
		{Name: "objednavky", Classes: classes, Limits: limits, Targets: targets()},
	}}
}

// fixture drives a core and records its actions.
type fixture struct {
	*is.I
	core        *Core
	now         types.Instant
	lastHandle  Handle
	out         []Action
	unresolved  []Action // sends without a result
	replies     map[Handle]Action
	actionCount map[ActionKind]int
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{
		I: is.New(t), core: New(testConfiguration(), "vm-1", rand.NewPCG(1, 2)), now: start,
		replies: map[Handle]Action{}, actionCount: map[ActionKind]int{},
	}
	for _, id := range []types.TargetID{keyedA, unkeyedA} {
		f.serve(id, 7, time.Hour, true)
	}
	for slot := range types.Slot(16) {
		f.step(Message{Kind: MessageSlotOwned, Target: keyedA, Slot: SlotRow{Slot: slot, Epoch: 3, CoveredSinceMs: startWall - 60_000}})
	}
	return f
}

func (f *fixture) wall() int64 { return startWall + f.now.Sub(start).Milliseconds() }

func (f *fixture) serve(id types.TargetID, epoch types.Epoch, valid time.Duration, warm bool) {
	l := Lease{Epoch: epoch, ValidUntil: f.now.Add(valid), WallMs: f.wall() - 60_000, Warm: warm, Incarnation: 1}
	f.step(Message{Kind: MessageServe, Target: id, Lease: l})
}

func (f *fixture) step(m Message) { f.collect(f.core.Step(f.now, m, nil)) }

// advance moves the clock forward by d and calls Tick at each timer on the way.
func (f *fixture) advance(d time.Duration) {
	end := f.now.Add(d)
	for {
		at, set := f.core.NextWake()
		if !set || at > end {
			break
		}
		f.now = max(f.now, at)
		f.collect(f.core.Tick(f.now, nil))
	}
	f.now = end
	f.collect(f.core.Tick(f.now, nil))
}

func (f *fixture) collect(actions []Action) {
	f.out = actions
	for _, a := range actions {
		f.actionCount[a.Kind]++
		switch a.Kind {
		case ActionSend:
			f.unresolved = append(f.unresolved, a)
		case ActionReply:
			_, twice := f.replies[a.Handle]
			f.True(!twice) // one reply per request
			f.replies[a.Handle] = a
		}
	}
}

func lookup(id types.TargetID) Request {
	return Request{
		ID: "l", Caller: "crew", Target: id, Idempotent: true, Deadline: start.Add(10 * time.Minute), LeaseEpoch: 7, SlotEpoch: 3,
	}
}

func (f *fixture) order(id types.TargetID, name string) Request {
	q := lookup(id)
	q.ID, q.Class, q.Idempotent = types.RequestID(name), types.ClassOrder, false
	q.MintedMs, q.WallMs = f.wall(), f.wall()
	q.Fingerprint = Fingerprint(types.HashKey(name))
	return q
}

// request submits a request. The second dispatcher confirms its copy at once.
func (f *fixture) request(q Request) Handle {
	f.lastHandle++
	f.step(Message{Kind: MessageRequest, Handle: f.lastHandle, Request: q})
	if !q.Idempotent {
		f.step(Message{Kind: MessageCopyDone, Handle: f.lastHandle, Stored: true})
	}
	return f.lastHandle
}

// result reports on the oldest send without a result.
func (f *fixture) result(kind ResultKind) Action {
	send := f.unresolved[0]
	f.unresolved = f.unresolved[1:]
	f.resultOf(send, Result{Kind: kind, Latency: 10 * time.Millisecond, Incarnation: 1, Load: LoadUnknown})
	return send
}

// answer gives a complete answer to the oldest send without a result.
func (f *fixture) answer(r Result) {
	send := f.unresolved[0]
	f.unresolved = f.unresolved[1:]
	f.resultOf(send, r)
}

// resultOf reports r as the result of the given send.
func (f *fixture) resultOf(send Action, r Result) {
	r.Attempt, r.Connection = send.Attempt, send.Connection
	f.step(Message{Kind: MessageResult, Handle: send.Handle, Result: r})
}

// outcome checks the outcome and the code of the reply to request h.
func (f *fixture) outcome(h Handle, outcome types.Outcome, code types.Code) {
	a, replied := f.replies[h]
	f.True(replied) // the request has a reply
	f.Equal(a.Outcome, outcome)
	f.Equal(a.Code, code)
}

func name(prefix string, n int) string { return prefix + strconv.Itoa(n) }
