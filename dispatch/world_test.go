package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// world drives successive dispatchers with choices from outside and checks the invariants after each step.
type world struct {
	choose func(n int) int
	fail   func(format string, args ...any)

	core    *Core
	now     types.Instant
	skewMs  int64
	epoch   types.Epoch
	slots   types.Epoch
	owner   [4]types.TargetID // of each slot of the keyed service
	asked   map[Handle]types.Slot
	handle  Handle
	flying  []flight
	copying []Handle
	copies  []Action
	orders  []*orderModel
	open    map[Handle]*orderModel // handles without a reply; nil for lookups
	known   map[Handle]*orderModel
	maybe   map[Handle]bool // an attempt of the handle may have run
	done    map[Handle]bool // an attempt of the handle was answered
	dropped map[Handle]bool
}

type flight struct {
	Action
	order *orderModel
}

// orderModel is what really happened to one identifier.
type orderModel struct {
	request Request
	runs    int
}

var worldTargets = []types.TargetID{
	keyedA, freeA, {Service: "mapa", Target: "b"}, {Service: "objednavky", Target: "b"},
}

func newWorld(choose func(int) int, fail func(string, ...any)) *world {
	w := &world{
		choose: choose, fail: fail, now: start, epoch: 6, slots: 2,
		known: map[Handle]*orderModel{}, maybe: map[Handle]bool{}, done: map[Handle]bool{}, dropped: map[Handle]bool{},
		asked: map[Handle]types.Slot{},
	}
	w.takeOver()
	return w
}

func (w *world) wall() int64 { return startWall + w.now.Sub(start).Milliseconds() + w.skewMs }

// takeOver loses the dispatcher and starts another one, which has received any part of the copies.
func (w *world) takeOver() {
	for _, f := range w.flying {
		w.mayHaveRun(f)
	}
	w.startDispatcher()
	w.deliverCopies()
	w.now = w.now.Add(time.Duration(w.choose(2)*600) * time.Millisecond) // a confirmed release, or permit and margin
	w.serveAll(w.wall())
}

// handOver drains the dispatcher and gives its memory to the next one. Copies of entries may arrive after that.
func (w *world) handOver() {
	since := w.wall()
	for _, id := range worldTargets {
		w.step(Message{Kind: MessageStopServing, Target: id})
	}
	w.finish()
	var entries []Remembered
	for _, id := range worldTargets[:2] {
		ms, _ := w.core.TargetSince(id)
		since = min(since, ms)
		entries = w.core.RememberedOf(id.Service, func(types.Target, types.KeyHash) bool { return true }, entries)
	}
	if w.choose(2) > 0 {
		since = w.wall() // the handover failed
	}
	w.startDispatcher()
	for _, e := range entries {
		w.deliver(e.Entry)
	}
	w.deliverCopies()
	w.serveAll(since)
}

func (w *world) startDispatcher() {
	w.flying, w.copying = nil, nil
	w.open = map[Handle]*orderModel{}
	w.core = New(testConfiguration(), "vm-1", rand.NewPCG(1, 2))
}

// deliverCopies delivers any part of the copies so far, from any point on.
func (w *world) deliverCopies() {
	first := w.choose(len(w.copies) + 1)
	for _, a := range w.copies[first:] {
		if w.choose(4) > 0 {
			w.deliver(a.Entry)
		}
	}
}

func (w *world) deliver(e Entry) {
	w.handle++
	w.done[w.handle] = e.State == EntryAnswered
	for _, o := range w.orders {
		if o.request.ID == e.ID {
			w.known[w.handle] = o
		}
	}
	w.step(Message{Kind: MessageCopyStored, Handle: w.handle, Entry: e})
}

// serveAll gives all leases and slots to the present dispatcher, whose memory reaches back to since.
func (w *world) serveAll(since int64) {
	w.skewMs = int64(w.choose(clockSkewMs)) - clockSkewMs/2
	w.epoch++
	w.slots++
	for _, id := range worldTargets {
		w.serve(id, since)
	}
	for slot := range types.Slot(4) {
		w.owner[slot] = worldTargets[2*(slot%2)]
		row := SlotRow{Slot: slot, Epoch: w.slots, MemorySinceMs: since}
		w.step(Message{Kind: MessageSlotOwned, Target: w.owner[slot], Slot: row})
	}
}

func (w *world) serve(id types.TargetID, since int64) {
	lease := Lease{Epoch: w.epoch, ValidUntil: w.now.Add(time.Minute), WallMs: since, Warm: w.choose(2) > 0}
	w.step(Message{Kind: MessageServe, Target: id, Lease: lease})
}

func (w *world) step(m Message) { w.check(w.core.Step(w.now, m, nil)) }

// act makes one random step.
func (w *world) act() {
	switch w.choose(16) {
	case 0, 1, 2:
		w.lookup()
	case 3, 4:
		w.newOrder()
	case 5, 6:
		w.resend()
	case 7, 8, 9, 10:
		w.result()
	case 11:
		w.copyDone()
	case 12:
		w.step(Message{Kind: MessageCancel, Handle: Handle(w.choose(int(w.handle) + 1))})
	case 13:
		w.advance(time.Duration(1+w.choose(2000)) * time.Millisecond)
	case 14:
		w.control()
	case 15:
		w.rare()
	}
}

func (w *world) lookup() {
	w.send(Request{Class: types.ClassLookup, Idempotent: true, Fingerprint: Fingerprint(w.choose(5))}, nil)
}

func (w *world) newOrder() {
	o := &orderModel{request: Request{
		ID: types.RequestID(name("o", len(w.orders))), Class: types.ClassOrder, Fingerprint: Fingerprint(1 + w.choose(5)),
		MintedMs: w.wall() + int64(w.choose(2000)) - 1000, Slot: types.Slot(w.choose(4)), Target: worldTargets[w.choose(4)],
	}}
	w.orders = append(w.orders, o)
	w.send(o.request, o)
}

func (w *world) resend() {
	if len(w.orders) > 0 {
		o := w.orders[w.choose(len(w.orders))]
		w.send(o.request, o)
	}
}

func (w *world) send(q Request, o *orderModel) {
	if o == nil {
		q.Target, q.Slot = worldTargets[w.choose(4)], types.Slot(w.choose(4))
	}
	q.Caller = types.Caller(name("c", w.choose(3)))
	if o != nil {
		q.Caller = "clerk"
	}
	q.WallMs = w.wall()
	q.Deadline = w.now.Add(time.Duration(w.choose(3000)) * time.Millisecond)
	q.LeaseEpoch, q.SlotEpoch = w.epoch, w.slots
	w.handle++
	w.open[w.handle] = o
	w.known[w.handle] = o
	w.asked[w.handle] = q.Slot
	w.step(Message{Kind: MessageRequest, Handle: w.handle, Request: q})
}

func (w *world) result() {
	if len(w.flying) == 0 {
		return
	}
	n := w.choose(len(w.flying))
	f := w.flying[n]
	r := Result{
		Attempt: f.Attempt, Connection: f.Connection, Kind: ResultKind(w.choose(int(ResultKindCount))),
		Latency: time.Duration(w.choose(100)) * time.Millisecond, Load: w.choose(6) - 1,
		Incarnation: types.Incarnation(w.choose(3)),
	}
	if w.choose(8) == 0 {
		r.Attempt += Attempt(1 + w.choose(2)) // late or crossed: must change nothing
		w.step(Message{Kind: MessageResult, Handle: f.Handle, Result: r})
		return
	}
	w.land(n, r)
}

func (w *world) land(n int, r Result) {
	f := w.flying[n]
	w.flying = slices.Delete(w.flying, n, n+1)
	if r.Kind != ResultRefused && r.Kind != ResultNotWritten && r.Kind != ResultNotStarted {
		w.mayHaveRun(f)
	}
	if r.Kind == ResultAnswered {
		w.done[f.Handle] = true
	}
	w.step(Message{Kind: MessageResult, Handle: f.Handle, Result: r})
}

func (w *world) mayHaveRun(f flight) {
	w.maybe[f.Handle] = true
	if f.order == nil {
		return
	}
	f.order.runs++
	if f.order.runs > 1 {
		w.fail("order %s may have run %d times", f.order.request.ID, f.order.runs)
	}
}

func (w *world) copyDone() {
	if len(w.copying) > 0 {
		h := w.copying[0]
		w.copying = w.copying[1:]
		w.step(Message{Kind: MessageCopyDone, Handle: h, Stored: w.choose(4) > 0})
	}
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for at, set := w.core.NextWake(); set && at <= end; at, set = w.core.NextWake() {
		w.now = max(w.now, at)
		w.check(w.core.Tick(w.now, nil))
	}
	w.now = end
	w.check(w.core.Tick(w.now, nil))
}

func (w *world) control() {
	id := worldTargets[w.choose(4)]
	switch w.choose(7) {
	case 0:
		w.step(Message{Kind: MessageStopServing, Target: id})
	case 1, 2:
		w.serve(id, w.wall())
	case 3:
		d := Drain{Process: w.choose(2) > 0, Target: id, Off: w.choose(3) > 0}
		w.step(Message{Kind: MessageDrain, Drain: d})
	case 4:
		row := SlotRow{Slot: types.Slot(w.choose(4)), Epoch: w.slots}
		if w.owner[row.Slot] == id {
			w.owner[row.Slot] = types.TargetID{}
		}
		w.step(Message{Kind: MessageSlotReleased, Target: id, Slot: row})
	case 5:
		w.step(Message{Kind: MessageConfiguration, Configuration: testConfiguration()})
	case 6:
		w.malformed()
	}
}

// malformed sends a message that names nothing the core knows. It must change nothing.
func (w *world) malformed() {
	unknown := types.TargetID{Service: "mapa", Target: "unknown"}
	kind := MessageKind(w.choose(20))
	w.handle++
	if kind == MessageRequest {
		w.open[w.handle] = nil
	}
	w.step(Message{Kind: kind, Target: unknown, Handle: w.handle, Request: Request{Target: unknown, Idempotent: true}})
	w.step(Message{Kind: MessageSlotOwned, Target: keyedA, Slot: SlotRow{Slot: 1 << 30, Epoch: 99}})
	w.step(Message{Kind: MessageSlotReleased, Target: keyedA, Slot: SlotRow{Slot: 1 << 30, Epoch: 99}})
	w.step(Message{Kind: MessageResult, Handle: w.handle + 1, Result: Result{Kind: 99, Connection: -1}})
}

func (w *world) rare() {
	switch w.choose(4) {
	case 0, 1:
		w.takeOver()
	case 3:
		w.handOver()
	case 2:
		w.advance(time.Duration(w.choose(700)) * time.Second)
	}
}

// finish lets everything end and checks that every accepted request was answered.
func (w *world) finish() {
	for len(w.flying) > 0 || len(w.copying) > 0 || !w.core.Idle() {
		w.copyDone()
		for len(w.flying) > 0 {
			w.land(0, Result{Attempt: w.flying[0].Attempt, Connection: w.flying[0].Connection, Kind: ResultTimedOut})
		}
		w.advance(time.Second)
	}
	for h := range w.open {
		w.fail("request %d has no reply", h)
	}
}
