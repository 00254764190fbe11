package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// simulation drives successive dispatchers by the given source of choices and checks the invariants after each step.
type simulation struct {
	choose func(n int) int
	fail   func(format string, args ...any)

	core          *Core
	now           types.Instant
	skewMs        int64             // clock error of the present dispatcher
	leaseEpoch    types.Epoch       // of all leases
	slotEpoch     types.Epoch       // of all slots
	owner         [4]types.TargetID // of each slot of the keyed service
	requestedSlot map[Handle]types.Slot
	handle        Handle // the last one used
	sendsInFlight []inFlightSend
	pendingCopies []Handle // requests whose copy is not confirmed
	sentCopies    []Action // all copies that dispatchers have sent
	orders        []*orderModel
	unanswered    map[Handle]*orderModel // handles without a reply; nil for lookups
	orderOf       map[Handle]*orderModel
	possiblyRan   map[Handle]bool // an attempt of the handle may have run
	answered      map[Handle]bool // an attempt of the handle was answered
	forgotten     map[Handle]bool // the handle's answer was deleted
}

// inFlightSend is a send without a result, and its order unless it is a lookup.
type inFlightSend struct {
	Action
	order *orderModel
}

// orderModel tracks how often an order may have run at its target.
type orderModel struct {
	request      Request
	possibleRuns int
}

var simulatedTargets = []types.TargetID{
	keyedA, unkeyedA, {Service: "mapa", Target: "b"}, {Service: "objednavky", Target: "b"},
}

func newSimulation(choose func(int) int, fail func(string, ...any)) *simulation {
	s := &simulation{
		choose: choose, fail: fail, now: start, leaseEpoch: 6, slotEpoch: 2,
		orderOf: map[Handle]*orderModel{}, possiblyRan: map[Handle]bool{}, answered: map[Handle]bool{}, forgotten: map[Handle]bool{},
		requestedSlot: map[Handle]types.Slot{},
	}
	s.crashAndTakeOver()
	return s
}

func (s *simulation) wall() int64 { return startWall + s.now.Sub(start).Milliseconds() + s.skewMs }

// crashAndTakeOver crashes the dispatcher and starts another one, which has received some of the copies.
func (s *simulation) crashAndTakeOver() {
	for _, f := range s.sendsInFlight {
		s.countPossibleRun(f)
	}
	s.startDispatcher()
	s.deliverCopies()
	s.now = s.now.Add(time.Duration(s.choose(2)*600) * time.Millisecond) // a confirmed release, or permit and margin
	s.serveAll(s.wall())
}

// handOver drains the dispatcher and gives its deduplication entries to the next one. Copies of entries may arrive after
// that.
func (s *simulation) handOver() {
	since := s.wall()
	for _, id := range simulatedTargets {
		s.step(Message{Kind: MessageStopServing, Target: id})
	}
	s.finish()
	var entries []EntryWithAnswer
	for _, id := range simulatedTargets[:2] {
		ms, _ := s.core.TargetCoveredSince(id)
		since = min(since, ms)
		entries = s.core.EntriesOf(id.Service, func(types.Target, types.KeyHash) bool { return true }, entries)
	}
	if s.choose(2) > 0 {
		since = s.wall() // the handover failed
	}
	s.startDispatcher()
	for _, e := range entries {
		s.deliver(e.Entry)
	}
	s.deliverCopies()
	s.serveAll(since)
}

func (s *simulation) startDispatcher() {
	s.sendsInFlight, s.pendingCopies = nil, nil
	s.unanswered = map[Handle]*orderModel{}
	s.core = New(testConfiguration(), "vm-1", rand.NewPCG(1, 2))
}

// deliverCopies delivers a random subset of the copies sent so far, from a random one on.
func (s *simulation) deliverCopies() {
	first := s.choose(len(s.sentCopies) + 1)
	for _, a := range s.sentCopies[first:] {
		if s.choose(4) > 0 {
			s.deliver(a.Entry)
		}
	}
}

func (s *simulation) deliver(e Entry) {
	s.handle++
	s.answered[s.handle] = e.State == EntryAnswered
	for _, o := range s.orders {
		if o.request.ID == e.ID {
			s.orderOf[s.handle] = o
		}
	}
	s.step(Message{Kind: MessageCopyStored, Handle: s.handle, Entry: e})
}

// serveAll gives all leases and slots to the present dispatcher, whose table covers requests from since on.
func (s *simulation) serveAll(since int64) {
	s.skewMs = int64(s.choose(clockSkewMs)) - clockSkewMs/2
	s.leaseEpoch++
	s.slotEpoch++
	for _, id := range simulatedTargets {
		s.serve(id, since)
	}
	for slot := range types.Slot(4) {
		s.owner[slot] = simulatedTargets[2*(slot%2)]
		row := SlotRow{Slot: slot, Epoch: s.slotEpoch, CoveredSinceMs: since}
		s.step(Message{Kind: MessageSlotOwned, Target: s.owner[slot], Slot: row})
	}
}

func (s *simulation) serve(id types.TargetID, since int64) {
	lease := Lease{Epoch: s.leaseEpoch, ValidUntil: s.now.Add(time.Minute), WallMs: since, Warm: s.choose(2) > 0}
	s.step(Message{Kind: MessageServe, Target: id, Lease: lease})
}

func (s *simulation) step(m Message) { s.check(s.core.Step(s.now, m, nil)) }

// randomStep makes one random step.
func (s *simulation) randomStep() {
	switch s.choose(16) {
	case 0, 1, 2:
		s.lookup()
	case 3, 4:
		s.newOrder()
	case 5, 6:
		s.resend()
	case 7, 8, 9, 10:
		s.result()
	case 11:
		s.copyDone()
	case 12:
		s.step(Message{Kind: MessageCancel, Handle: Handle(s.choose(int(s.handle) + 1))})
	case 13:
		s.advance(time.Duration(1+s.choose(2000)) * time.Millisecond)
	case 14:
		s.randomControl()
	case 15:
		s.rareEvent()
	}
}

func (s *simulation) lookup() {
	s.send(Request{Class: types.ClassLookup, Idempotent: true, Fingerprint: Fingerprint(s.choose(5))}, nil)
}

func (s *simulation) newOrder() {
	o := &orderModel{request: Request{
		ID: types.RequestID(name("o", len(s.orders))), Class: types.ClassOrder, Fingerprint: Fingerprint(1 + s.choose(5)),
		MintedMs: s.wall() + int64(s.choose(2000)) - 1000, Slot: types.Slot(s.choose(4)), Target: simulatedTargets[s.choose(4)],
	}}
	s.orders = append(s.orders, o)
	s.send(o.request, o)
}

func (s *simulation) resend() {
	if len(s.orders) > 0 {
		o := s.orders[s.choose(len(s.orders))]
		s.send(o.request, o)
	}
}

func (s *simulation) send(q Request, o *orderModel) {
	if o == nil {
		q.Target, q.Slot = simulatedTargets[s.choose(4)], types.Slot(s.choose(4))
	}
	q.Caller = types.Caller(name("c", s.choose(3)))
	if o != nil {
		q.Caller = "clerk"
	}
	q.WallMs = s.wall()
	q.Deadline = s.now.Add(time.Duration(s.choose(3000)) * time.Millisecond)
	q.LeaseEpoch, q.SlotEpoch = s.leaseEpoch, s.slotEpoch
	s.handle++
	s.unanswered[s.handle] = o
	s.orderOf[s.handle] = o
	s.requestedSlot[s.handle] = q.Slot
	s.step(Message{Kind: MessageRequest, Handle: s.handle, Request: q})
}

func (s *simulation) result() {
	if len(s.sendsInFlight) == 0 {
		return
	}
	n := s.choose(len(s.sendsInFlight))
	f := s.sendsInFlight[n]
	r := Result{
		Attempt: f.Attempt, Connection: f.Connection, Kind: ResultKind(s.choose(int(ResultKindCount))),
		Latency: time.Duration(s.choose(100)) * time.Millisecond, Load: s.choose(6) - 1,
		Incarnation: types.Incarnation(s.choose(3)),
	}
	if s.choose(8) == 0 {
		r.Attempt += Attempt(1 + s.choose(2)) // of no attempt in flight: must change nothing
		s.step(Message{Kind: MessageResult, Handle: f.Handle, Result: r})
		return
	}
	s.reportResult(n, r)
}

func (s *simulation) reportResult(n int, r Result) {
	f := s.sendsInFlight[n]
	s.sendsInFlight = slices.Delete(s.sendsInFlight, n, n+1)
	if r.Kind != ResultRefused && r.Kind != ResultNotWritten && r.Kind != ResultNotStarted {
		s.countPossibleRun(f)
	}
	if r.Kind == ResultAnswered {
		s.answered[f.Handle] = true
	}
	s.step(Message{Kind: MessageResult, Handle: f.Handle, Result: r})
}

func (s *simulation) countPossibleRun(f inFlightSend) {
	s.possiblyRan[f.Handle] = true
	if f.order == nil {
		return
	}
	f.order.possibleRuns++
	if f.order.possibleRuns > 1 {
		s.fail("order %s may have run %d times", f.order.request.ID, f.order.possibleRuns)
	}
}

func (s *simulation) copyDone() {
	if len(s.pendingCopies) > 0 {
		h := s.pendingCopies[0]
		s.pendingCopies = s.pendingCopies[1:]
		s.step(Message{Kind: MessageCopyDone, Handle: h, Stored: s.choose(4) > 0})
	}
}

func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for at, set := s.core.NextWake(); set && at <= end; at, set = s.core.NextWake() {
		s.now = max(s.now, at)
		s.check(s.core.Tick(s.now, nil))
	}
	s.now = end
	s.check(s.core.Tick(s.now, nil))
}

func (s *simulation) randomControl() {
	id := simulatedTargets[s.choose(4)]
	switch s.choose(7) {
	case 0:
		s.step(Message{Kind: MessageStopServing, Target: id})
	case 1, 2:
		s.serve(id, s.wall())
	case 3:
		d := Drain{Process: s.choose(2) > 0, Target: id, Off: s.choose(3) > 0}
		s.step(Message{Kind: MessageDrain, Drain: d})
	case 4:
		row := SlotRow{Slot: types.Slot(s.choose(4)), Epoch: s.slotEpoch}
		if s.owner[row.Slot] == id {
			s.owner[row.Slot] = types.TargetID{}
		}
		s.step(Message{Kind: MessageSlotReleased, Target: id, Slot: row})
	case 5:
		s.step(Message{Kind: MessageConfiguration, Configuration: testConfiguration()})
	case 6:
		s.unknownMessages()
	}
}

// unknownMessages sends messages about unknown targets, slots and requests, which must change nothing.
func (s *simulation) unknownMessages() {
	unknown := types.TargetID{Service: "mapa", Target: "unknown"}
	kind := MessageKind(s.choose(20))
	s.handle++
	if kind == MessageRequest {
		s.unanswered[s.handle] = nil
	}
	s.step(Message{Kind: kind, Target: unknown, Handle: s.handle, Request: Request{Target: unknown, Idempotent: true}})
	s.step(Message{Kind: MessageSlotOwned, Target: keyedA, Slot: SlotRow{Slot: 1 << 30, Epoch: 99}})
	s.step(Message{Kind: MessageSlotReleased, Target: keyedA, Slot: SlotRow{Slot: 1 << 30, Epoch: 99}})
	s.step(Message{Kind: MessageResult, Handle: s.handle + 1, Result: Result{Kind: 99, Connection: -1}})
}

func (s *simulation) rareEvent() {
	switch s.choose(4) {
	case 0, 1:
		s.crashAndTakeOver()
	case 3:
		s.handOver()
	case 2:
		s.advance(time.Duration(s.choose(700)) * time.Second)
	}
}

// finish ends all requests and checks that each one has a reply.
func (s *simulation) finish() {
	for len(s.sendsInFlight) > 0 || len(s.pendingCopies) > 0 || !s.core.Idle() {
		s.copyDone()
		for len(s.sendsInFlight) > 0 {
			s.reportResult(0, Result{Attempt: s.sendsInFlight[0].Attempt, Connection: s.sendsInFlight[0].Connection, Kind: ResultTimedOut})
		}
		s.advance(time.Second)
	}
	for h := range s.unanswered {
		s.fail("request %d has no reply", h)
	}
}
