package dispatch

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"sequoiasail.example/types"
)

// check verifies the invariants for the actions of one step and applies the actions to the model.
func (s *simulation) check(actions []Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case ActionSend:
			s.checkSend(a)
		case ActionReply:
			s.checkReply(a)
		case ActionStoreCopy:
			s.sentCopies = append(s.sentCopies, *a)
			if a.Entry.State == EntrySent {
				s.pendingCopies = append(s.pendingCopies, a.Handle)
			}
		case ActionForget:
			s.checkForget(a)
		}
	}
}

func (s *simulation) checkSend(a *Action) {
	t := s.core.targets[s.core.targetByID[a.Target]]
	inFlight := 1
	for _, f := range s.sendsInFlight {
		if f.Target != a.Target {
			continue
		}
		inFlight++
		if f.Connection == a.Connection {
			s.fail("two requests on connection %d of %v", a.Connection, a.Target)
		}
		if f.Handle == a.Handle {
			s.fail("request %d is in flight twice", a.Handle)
		}
	}
	if inFlight > t.limit(s.now) {
		s.fail("%d requests in flight to %v, limit %d", inFlight, a.Target, t.limit(s.now))
	}
	if !t.serving || !s.now.Before(t.lease.ValidUntil) || a.Epoch != t.lease.Epoch || t.draining || s.core.draining {
		s.fail("sent to %v without a valid lease or during a drain", a.Target)
	}
	if t.service.keyed && s.owner[s.requestedSlot[a.Handle]] != a.Target {
		s.fail("sent to %v, which does not own slot %d", a.Target, s.requestedSlot[a.Handle])
	}
	o := s.orderOf[a.Handle]
	if o != nil && o.possibleRuns > 0 {
		s.fail("order %s is sent although it may have run", o.request.ID)
	}
	s.sendsInFlight = append(s.sendsInFlight, inFlightSend{*a, o})
}

func (s *simulation) checkReply(a *Action) {
	o, unanswered := s.unanswered[a.Handle]
	if !unanswered {
		s.fail("second reply to request %d", a.Handle)
	}
	delete(s.unanswered, a.Handle)
	if a.Outcome == types.OutcomeNotRun && a.Code != types.CodeRequestIDReused && s.mayHaveRun(a.Handle, o) {
		s.fail("request %d is answered not-run (%s) although it may have run", a.Handle, a.Code)
	}
	if a.Outcome == types.OutcomeDone && (!s.answered[a.Replay] || s.forgotten[a.Replay] || s.orderOf[a.Replay] != o) {
		s.fail("request %d is answered with the missing or foreign answer of %d", a.Handle, a.Replay)
	}
}

// mayHaveRun reports whether an attempt of the order or the lookup may have run or is in flight.
func (s *simulation) mayHaveRun(h Handle, o *orderModel) bool {
	for _, f := range s.sendsInFlight {
		if f.Handle == h || (o != nil && f.order == o) {
			return true
		}
	}
	return s.possiblyRan[h] || (o != nil && o.possibleRuns > 0)
}

func (s *simulation) checkForget(a *Action) {
	if _, unanswered := s.unanswered[a.Handle]; unanswered {
		s.fail("request %d is forgotten without a reply", a.Handle)
	}
	if s.forgotten[a.Handle] {
		s.fail("request %d is forgotten twice", a.Handle)
	}
	s.forgotten[a.Handle] = true
}

// simulationsPerCheck is large enough that the 100 checks of one run find a missing takeover rule.
const simulationsPerCheck = 20

// Guards against a request without exactly one reply, an order that may run twice, more requests in flight than the
// limit, a wrong not-run reply and the answer of another request, in any order of results, cancels, resends, crashes and
// takeovers.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for run := range uint64(simulationsPerCheck) {
			source := rand.New(rand.NewPCG(seed, run))
			s := newSimulation(source.IntN, t.Fatalf)
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				s.randomStep()
			}
			s.finish()
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
		s := newSimulation(next, t.Fatalf)
		for range min(len(choices), 500) {
			s.randomStep()
		}
		s.finish()
	})
}
