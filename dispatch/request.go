package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// state is the phase of a request's processing.
type state uint8

// States of a request.
const (
	// stateCopying: the second dispatcher has not yet confirmed the entry.
	stateCopying state = iota
	// stateQueued: in the queue of its caller.
	stateQueued
	// stateInFlight: sent, without a result yet.
	stateInFlight
	// stateWaiting: neither queued nor in flight: just received, or delayed before the next attempt.
	stateWaiting
	// stateJoined: a resend that waits for the answer of the request in progress.
	stateJoined
)

// request is the state of a request until its final result.
type request struct {
	Request
	handle Handle
	// target is the index of the target, or none if it is not configured.
	target int32
	state  state
	// attempt is the number of the last attempt, 0 before the first.
	attempt Attempt
	// attemptsWritten counts the attempts of which the target may have received something.
	attemptsWritten int
	// connection is the index of the target's connection that the last attempt used.
	connection int32
	// mayHaveRun is true when an earlier attempt may have run.
	mayHaveRun bool
	// replied is true when the caller has been answered with outcome unknown while the request goes on.
	replied bool
	// runUntil is the latest deadline of the request and its resends.
	runUntil types.Instant
	// stateUntil is when the present state times out: the copy, the retry delay or the progress deadline. 0 means never.
	stateUntil types.Instant
	// sentAt is the time of the last send.
	sentAt types.Instant

	// isHome is the cached result of target.isHome for version homeVersion of the service's homes.
	isHome      bool
	homeVersion uint32

	callerQueue int32 // in which the request has its place, or none
	next, prev  int32 // in the caller's queue, or in the list of resends
	dedupEntry  int32 // in the deduplication table, or none
}

// failure is the code for the caller and the logged reason of a request that ends without an answer from its target.
type failure struct {
	code   types.Code
	reason Reason
}

// outcome returns the outcome of a request that ends without an answer and is not in flight.
func (r *request) outcome() types.Outcome {
	if r.mayHaveRun {
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
		if r.state == stateInFlight {
			at = 0
		}
	}
	if r.stateUntil != 0 && (at == 0 || r.stateUntil < at) {
		at = r.stateUntil
	}
	if at == 0 {
		c.requestTimers.clear(i)
		return
	}
	c.requestTimers.set(i, at)
}

// requestTimerExpired handles a request whose timer expired.
func (c *Core) requestTimerExpired(i int32) {
	r := c.requests.at(i)
	switch {
	case !r.replied && c.now >= r.Deadline:
		c.endCallerWait(i, failure{types.CodeDeadlineExceeded, ReasonDeadline})
	case r.replied && r.state != stateInFlight && c.now >= r.runUntil:
		c.finish(i, r.outcome(), failure{types.CodeDeadlineExceeded, ReasonDeadline})
	case r.state == stateCopying:
		c.finishCopy(i, false)
	case r.state == stateWaiting:
		c.enqueue(i, true)
	case r.state == stateInFlight:
		r.stateUntil = 0
		c.schedule(i)
		c.progressOverdue(i)
	default:
		r.stateUntil = 0
		c.schedule(i)
	}
}

// endCallerWait replies to a caller that stops waiting, at its deadline or because it cancelled.
func (c *Core) endCallerWait(i int32, f failure) {
	r := c.requests.at(i)
	if r.state == stateJoined {
		c.removeResend(i)
		c.endResend(i, types.OutcomeUnknown, f, 0)
		return
	}
	if r.state == stateInFlight || (c.hasResends(r) && c.now < r.runUntil) {
		c.replyEarly(i, f)
		return
	}
	c.finish(i, r.outcome(), f)
}

// replyEarly replies with outcome unknown. The request goes on, for its resends and for the deduplication table.
func (c *Core) replyEarly(i int32, f failure) {
	r := c.requests.at(i)
	r.replied = true
	c.reply(r, types.OutcomeUnknown, f.code, r.handle)
	c.logDecision(r, f, types.OutcomeUnknown)
	c.schedule(i)
}

// finish ends a request that is not in flight, and its resends with it.
func (c *Core) finish(i int32, outcome types.Outcome, f failure) {
	r := c.requests.at(i)
	c.detach(i)
	if !r.replied {
		c.reply(r, outcome, f.code, r.handle)
		c.logDecision(r, f, outcome)
	}
	if r.dedupEntry != none {
		c.recordOutcome(i, outcome, f)
	}
	if r.dedupEntry == none {
		c.emit(Action{Kind: ActionForget, Handle: r.handle})
	}
	delete(c.byHandle, r.handle)
	c.requests.remove(i)
}

// detach removes request i from its queue and clears its timer.
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
	c.freePlace(t, i)
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// reply answers the caller, with the target's latency and queue depth.
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

// logDecision emits a log line about the request.
func (c *Core) logDecision(r *request, f failure, outcome types.Outcome) {
	a := Action{
		Kind: ActionDecision, Handle: r.handle, Attempt: r.attempt, Target: r.Target, Reason: f.reason,
		Code: f.code, Outcome: outcome, ID: r.ID, Key: r.Key, Epoch: r.LeaseEpoch,
	}
	if r.target != none {
		a.Epoch = c.targets[r.target].lease.Epoch
	}
	c.emit(a)
}

// cancel handles MessageCancel. A non-idempotent request in flight goes on, because resends receive its answer.
func (c *Core) cancel(h Handle) {
	i, found := c.byHandle[h]
	if !found || c.requests.at(i).replied {
		return
	}
	r := c.requests.at(i)
	if r.state == stateInFlight && r.Idempotent {
		c.cancelSend(r)
	}
	c.endCallerWait(i, failure{types.CodeCancelled, ReasonCancelled})
}

// retryDelay returns the delay before the next attempt, which grows with the attempts written.
func (r *request) retryDelay(random Random) time.Duration {
	return jittered(retryBase, retryMax, r.attemptsWritten, random)
}
