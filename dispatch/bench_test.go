package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

const (
	benchTargets = 16
	benchCallers = 64
)

// load is a closed-loop load generator that keeps all targets of one service busy.
type load struct {
	core     *Core
	now      types.Instant
	handle   Handle
	out      []Action
	sends    []Action
	requests []Request
	ids      []types.RequestID
	homes    Homes
}

func newLoad(class types.Class) *load {
	s := config.Service{Name: "objednavky", Limits: config.Limits{ColdStartMs: 1, RetryShare: 0.1}, Classes: []config.ClassPolicy{
		{Class: class.String(), QueueLimit: 64, RememberMs: 50},
	}}
	for n := range benchTargets {
		s.Targets = append(s.Targets, config.Target{Name: types.Target(name("t", n)), Slots: testSlots})
	}
	l := &load{now: start, core: New(&config.Configuration{Services: []config.Service{s}}, "vm-1", rand.NewPCG(1, 2))}
	for n := range benchTargets {
		id := types.TargetID{Service: s.Name, Target: s.Targets[n].Name}
		lease := Lease{Epoch: 7, ValidUntil: start.Add(1000 * time.Hour), Warm: true}
		l.core.Step(l.now, Message{Kind: MessageServe, Target: id, Lease: lease}, nil)
		for c := range benchCallers {
			l.requests = append(l.requests, Request{
				Caller: types.Caller(name("c", c)), Target: id, Class: class, Idempotent: class.Idempotent(), LeaseEpoch: 7,
			})
		}
	}
	if !class.Idempotent() {
		l.homes = sendHomes(l, s)
	}
	for n := range 1 << 17 {
		l.ids = append(l.ids, types.RequestID(strconv.Itoa(n)))
	}
	return l
}

// sendHomes divides the identifiers among all targets.
func sendHomes(l *load, s config.Service) Homes {
	var targets []types.Target
	for _, t := range s.Targets {
		targets = append(targets, t.Name)
	}
	id := types.TargetID{Service: s.Name}
	l.core.Step(l.now, Message{Kind: MessageHomes, Target: id, Homes: targets}, nil)
	return NewHomes(targets)
}

func (l *load) step(m Message) {
	l.now += types.Instant(4 * time.Microsecond)
	l.out = l.core.Step(l.now, m, l.out[:0])
	for _, a := range l.out {
		if a.Kind == ActionSend {
			l.sends = append(l.sends, a)
		}
	}
}

func (l *load) request() {
	l.handle++
	q := l.requests[int(l.handle)%len(l.requests)]
	q.ID = l.ids[int(l.handle)%len(l.ids)]
	q.Deadline = l.now.Add(time.Second)
	q.WallMs = startWall + int64(l.now)/int64(time.Millisecond)
	q.MintedMs = q.WallMs
	if !q.Idempotent {
		q.Target.Target = l.homes.Of(q.Caller, q.ID)
	}
	l.step(Message{Kind: MessageRequest, Handle: l.handle, Request: q})
	if !q.Idempotent {
		l.step(Message{Kind: MessageCopyDone, Handle: l.handle, Stored: true})
	}
}

// answer answers the oldest send.
func (l *load) answer() {
	send := l.sends[0]
	copy(l.sends, l.sends[1:])
	l.sends = l.sends[:len(l.sends)-1]
	l.step(Message{Kind: MessageResult, Handle: send.Handle, Result: Result{
		Attempt: send.Attempt, Connection: send.Connection, Latency: 100 * time.Microsecond, Incarnation: 1, Load: 2,
	}})
}

// run keeps the given number of requests waiting in queues, besides those in flight. One iteration is one request from
// admission to reply.
func (l *load) run(b *testing.B, messages, waiting int) {
	for range benchTargets*testSlots/2 + waiting {
		l.request()
	}
	round := func() {
		l.request()
		l.answer()
	}
	for range 1 << 17 { // long enough for all tables to reach their size
		round()
	}
	b.ReportAllocs()
	for b.Loop() {
		round()
	}
	b.ReportMetric(float64(messages)*float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

func BenchmarkLookup(b *testing.B)       { newLoad(types.ClassLookup).run(b, 2, 0) }
func BenchmarkQueuedLookup(b *testing.B) { newLoad(types.ClassLookup).run(b, 2, 200) }
func BenchmarkOrder(b *testing.B)        { newLoad(types.ClassOrder).run(b, 3, 0) }

// BenchmarkRefusal measures a request for a full queue.
func BenchmarkRefusal(b *testing.B) {
	l := newLoad(types.ClassLookup)
	for range 20_000 {
		l.request()
	}
	b.ReportAllocs()
	for b.Loop() {
		l.request()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}
