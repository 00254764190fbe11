package edge

import (
	"context"
	"strconv"
	"time"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// sender sends requests to targets, one attempt at a time.
type sender struct {
	index    int
	attempts *ring.Ring[attempt]
	out      *ring.Ring[any]
	// mayGetRequests reports whether a request may still be sent to the target that was chosen for it.
	mayGetRequests func(admission.Send) bool
	log            *telemetry.Log
}

func (s *sender) duty() duty.Duty {
	return duty.Duty{Name: "sender-" + strconv.Itoa(s.index), Run: s.run}
}

func (s *sender) run(ctx context.Context) error {
	s.attempts.Serve(ctx, func(a attempt) error { return s.out.Put(ctx, s.send(a)) })
	return nil
}

// send performs one attempt and returns its result for the admission core. An attempt whose target has begun to leave while it
// waited for a sender is not sent.
func (s *sender) send(a attempt) admission.AttemptFinished {
	if !s.mayGetRequests(a.send) {
		a.cancel()
		s.logAttempt(a, platform.Outcome{Result: admission.ResultNotRun, Err: errTargetLeft}, 0)
		return admission.AttemptFinished{ID: a.send.ID, Attempt: a.send.Attempt, Result: admission.ResultNotRun}
	}
	began := time.Now()
	w := platform.Withdrawal{Withdrawn: a.withdrawn, MayWrite: func() error { return s.mayWrite(a) }}
	o := platform.Forward(a.ctx, w, a.host, a.call, a.body, a.send.Target.Target)
	a.cancel()
	s.logAttempt(a, o, time.Since(began))
	return admission.AttemptFinished{
		ID: a.send.ID, Attempt: a.send.Attempt, Result: o.Result, Failed: o.Failed, Unreachable: o.Unreachable,
		Report: o.Report, Answer: o.Answer,
	}
}

// mayWrite returns why the first byte of an attempt must not be written. The caller is asked directly, because the message that it
// has left may still wait in the ring of admission.
func (s *sender) mayWrite(a attempt) error {
	switch {
	case a.caller != nil && a.caller.Err() != nil:
		return errCallerLeft
	case !s.mayGetRequests(a.send):
		return errTargetLeft
	}
	return nil
}

// Faults of attempts that are not sent.
var (
	errTargetLeft = types.NewFault(types.CodeTargetRefused, "the target leaves")
	errCallerLeft = types.NewFault(types.CodeCancelled, "the caller left")
)

var resultNames = map[admission.Result]string{
	admission.ResultLost: "no whole answer", admission.ResultAnswered: "answered",
	admission.ResultNotRun: "not run", admission.ResultMisdirected: "not the owner",
}

func (s *sender) logAttempt(a attempt, o platform.Outcome, took time.Duration) {
	d := telemetry.Decision{
		Kind: "attempt", RequestID: string(a.call.ID), Service: string(a.send.Target.Service),
		Target: string(a.send.Target.Target), Outcome: resultNames[o.Result],
		Detail: "attempt " + strconv.Itoa(a.send.Attempt) + " took " + took.Round(time.Millisecond).String() +
			" status " + strconv.Itoa(o.Answer.Status),
	}
	if o.Answer.Dropped > 0 {
		d.Detail += " after " + strconv.Itoa(o.Answer.Dropped) + " dropped answers of other requests"
	}
	if o.Err != nil {
		d.Reason = o.Err.Error()
	}
	s.log.LogDecision(d)
}
