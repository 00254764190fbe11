package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// state is where a request is.
type state uint8

const (
	// stateCopying: the second dispatcher has not yet confirmed the entry.
	stateCopying state = iota
	// stateQueued: in the queue of its caller.
	stateQueued
	// stateFlying: sent, without a result.
	stateFlying
	// stateWaiting: delayed before the next attempt.
	stateWaiting
	// stateJoined: a resend that waits for the first send.
	stateJoined
)

// request is a request without a final result.
type request struct {
	Request
	handle  Handle
	target  int32
	state   state
	attempt Attempt
	// written counts the attempts of which the target may have seen something.
	written    int
	connection int32
	// uncertain is true when an earlier attempt may have run.
	uncertain bool
	// replied is true when the caller was told that the result is unknown, while the request goes on.
	replied bool
	// runUntil is the latest deadline of the request and its resends.
	runUntil types.Instant
	// until is the end of the present state: of the copy, of the delay, of the progress deadline. 0 when it has none.
	until types.Instant
	// sentAt is the time of the last send.
	sentAt types.Instant

	// atHome is whether the target is the identifier's home by the set homeVersion of the service.
	atHome      bool
	homeVersion uint32

	callerQueue int32
	next, prev  int32 // in the caller's queue, or in the list of resends
	entry       int32 // in the deduplication table, or none
}

// failure is the reply for a request without an answer of its own.
type failure struct {
	code   types.Code
	reason Reason
}

// outcome is what can be said truthfully about a request that is not in flight.
func (r *request) outcome() types.Outcome {
	if r.uncertain {
		return types.OutcomeUnknown
	}
	return types.OutcomeNotRun
}

// schedule sets the request's timer to the next instant at which something is due.
func (c *Core) schedule(i int32) {
	r := c.requests.at(i)
	at := r.Deadline
	if r.replied {
		at = r.runUntil
		if r.state == stateFlying {
			at = 0
		}
	}
	if r.until != 0 && (at == 0 || r.until < at) {
		at = r.until
	}
	if at == 0 {
		c.requestTimers.clear(i)
		return
	}
	c.requestTimers.set(i, at)
}

// requestDue handles a request whose timer expired.
func (c *Core) requestDue(i int32) {
	r := c.requests.at(i)
	switch {
	case !r.replied && c.now >= r.Deadline:
		c.giveUp(i, failure{types.CodeDeadlineExceeded, ReasonDeadline})
	case r.replied && r.state != stateFlying && c.now >= r.runUntil:
		c.finish(i, r.outcome(), failure{types.CodeDeadlineExceeded, ReasonDeadline})
	case r.state == stateCopying:
		c.copyDone(i, false)
	case r.state == stateWaiting:
		c.enqueue(i, true)
	case r.state == stateFlying:
		r.until = 0
		c.schedule(i)
		c.progressOverdue(i)
	default:
		r.until = 0
		c.schedule(i)
	}
}

// giveUp ends the caller's wait: at its deadline, or because it cancelled.
func (c *Core) giveUp(i int32, f failure) {
	r := c.requests.at(i)
	if r.state == stateJoined {
		c.leaveResends(i)
		c.endResend(i, types.OutcomeUnknown, f, 0)
		return
	}
	if r.state == stateFlying || (c.hasResends(r) && c.now < r.runUntil) {
		c.replyEarly(i, f)
		return
	}
	c.finish(i, r.outcome(), f)
}

// replyEarly tells the caller that the result is unknown. The request goes on, for its resends and for the memory.
func (c *Core) replyEarly(i int32, f failure) {
	r := c.requests.at(i)
	r.replied = true
	c.reply(r, types.OutcomeUnknown, f.code, r.handle)
	c.decide(r, f, types.OutcomeUnknown)
	c.schedule(i)
}

// finish ends a request that is not in flight, with its resends.
func (c *Core) finish(i int32, outcome types.Outcome, f failure) {
	r := c.requests.at(i)
	c.detach(i)
	if !r.replied {
		c.reply(r, outcome, f.code, r.handle)
		c.decide(r, f, outcome)
	}
	if r.entry != none {
		c.settle(i, outcome, f)
	}
	if r.entry == none {
		c.emit(Action{Kind: ActionForget, Handle: r.handle})
	}
	delete(c.byHandle, r.handle)
	c.requests.remove(i)
}

// detach takes request i out of its queue and its timer.
func (c *Core) detach(i int32) {
	r := c.requests.at(i)
	c.requestTimers.clear(i)
	if r.target == none {
		return
	}
	t := c.targets[r.target]
	if r.state == stateQueued && r.callerQueue != none {
		c.unlink(t, i)
	}
	c.release(t, i)
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// reply answers the caller. The target's latency and depth go with it.
func (c *Core) reply(r *request, outcome types.Outcome, code types.Code, replay Handle) {
	a := Action{Kind: ActionReply, Handle: r.handle, Outcome: outcome, Code: code, Target: r.Target}
	if outcome == types.OutcomeDone {
		a.Replay = replay
	}
	if r.target != none {
		t := c.targets[r.target]
		a.Latency = t.latency.mean()
		a.Depth = t.queued + t.inFlight
	}
	c.emit(a)
}

// decide records a decision for the log.
func (c *Core) decide(r *request, f failure, outcome types.Outcome) {
	a := Action{
		Kind: ActionDecision, Handle: r.handle, Attempt: r.attempt, Target: r.Target, Reason: f.reason,
		Code: f.code, Outcome: outcome, ID: r.ID, Key: r.Key, Epoch: r.LeaseEpoch,
	}
	if r.target != none {
		a.Epoch = c.targets[r.target].lease.Epoch
	}
	c.emit(a)
}

// cancel handles MessageCancel. A non-idempotent request in flight goes on, because its answer is remembered.
func (c *Core) cancel(h Handle) {
	i, found := c.byHandle[h]
	if !found || c.requests.at(i).replied {
		return
	}
	r := c.requests.at(i)
	if r.state == stateFlying && r.Idempotent {
		c.cancelSend(r)
	}
	c.giveUp(i, failure{types.CodeCancelled, ReasonCancelled})
}

// delay returns the time before the next attempt.
func (r *request) delay(random Random) time.Duration {
	return jittered(retryBase, retryMax, r.written, random)
}
