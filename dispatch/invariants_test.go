package dispatch

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"sequoiasail.example/types"
)

func (w *world) check(actions []Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case ActionSend:
			w.checkSend(a)
		case ActionReply:
			w.checkReply(a)
		case ActionStoreCopy:
			w.copies = append(w.copies, *a)
			if a.Entry.State == EntrySent {
				w.copying = append(w.copying, a.Handle)
			}
		case ActionForget:
			w.checkForget(a)
		}
	}
}

func (w *world) checkSend(a *Action) {
	t := w.core.targets[w.core.targetByID[a.Target]]
	inFlight := 1
	for _, f := range w.flying {
		if f.Target != a.Target {
			continue
		}
		inFlight++
		if f.Connection == a.Connection {
			w.fail("two requests on connection %d of %v", a.Connection, a.Target)
		}
		if f.Handle == a.Handle {
			w.fail("request %d is in flight twice", a.Handle)
		}
	}
	if inFlight > t.limit(w.now) {
		w.fail("%d requests in flight to %v, limit %d", inFlight, a.Target, t.limit(w.now))
	}
	if !t.serving || !w.now.Before(t.lease.ValidUntil) || a.Epoch != t.lease.Epoch || t.draining || w.core.draining {
		w.fail("sent to %v without the right to", a.Target)
	}
	if t.service.keyed && w.owner[w.asked[a.Handle]] != a.Target {
		w.fail("sent to %v, which does not own slot %d", a.Target, w.asked[a.Handle])
	}
	o := w.known[a.Handle]
	if o != nil && o.runs > 0 {
		w.fail("order %s is sent although it may have run", o.request.ID)
	}
	w.flying = append(w.flying, flight{*a, o})
}

func (w *world) checkReply(a *Action) {
	o, open := w.open[a.Handle]
	if !open {
		w.fail("second reply to request %d", a.Handle)
	}
	delete(w.open, a.Handle)
	if a.Outcome == types.OutcomeNotRun && a.Code != types.CodeRequestIDReused && w.mayStillRun(a.Handle, o) {
		w.fail("request %d is told not-run (%s) although it may have run", a.Handle, a.Code)
	}
	if a.Outcome == types.OutcomeDone && (!w.done[a.Replay] || w.dropped[a.Replay] || w.known[a.Replay] != o) {
		w.fail("request %d is given the answer of %d", a.Handle, a.Replay)
	}
}

// mayStillRun reports whether an attempt may have run or is in flight: of the identifier, or of the lookup.
func (w *world) mayStillRun(h Handle, o *orderModel) bool {
	for _, f := range w.flying {
		if f.Handle == h || (o != nil && f.order == o) {
			return true
		}
	}
	return w.maybe[h] || (o != nil && o.runs > 0)
}

func (w *world) checkForget(a *Action) {
	if _, open := w.open[a.Handle]; open {
		w.fail("request %d is forgotten without a reply", a.Handle)
	}
	if w.dropped[a.Handle] {
		w.fail("request %d is forgotten twice", a.Handle)
	}
	w.dropped[a.Handle] = true
}

// worldsPerCheck finds a missing takeover rule within the 100 checks of one run.
const worldsPerCheck = 20

// Guards against a request without exactly one reply, an order that may run twice, more in flight than the limit, an
// untrue not-run and a foreign answer, in any order of results, cancels, resends, crashes and takeovers.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for world := range uint64(worldsPerCheck) {
			source := rand.New(rand.NewPCG(seed, world))
			w := newWorld(source.IntN, t.Fatalf)
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				w.act()
			}
			w.finish()
		}
	})
}

// FuzzMessages lets the fuzzer choose the messages.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("\x03\x00\x00\x00\x00\x00\x0b\x07\x00\x04\x05\x00"))
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x07\x00\x03\x0f\x00"))
	f.Fuzz(func(t *testing.T, choices []byte) {
		next := func(n int) int {
			if len(choices) == 0 {
				return 0
			}
			c := int(choices[0]) * (n + 255) / 256 % n
			choices = choices[1:]
			return c
		}
		w := newWorld(next, t.Fatalf)
		for range min(len(choices), 500) {
			w.act()
		}
		w.finish()
	})
}
