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
)

// sender performs attempts, one at a time.
type sender struct {
	index int
	jobs  *ring.Ring[job]
	out   *ring.Ring[any]
	log   *telemetry.Log
}

func (s *sender) duty() duty.Duty {
	return duty.Duty{Name: "sender-" + strconv.Itoa(s.index), Run: s.run}
}

func (s *sender) run(ctx context.Context) error {
	s.jobs.Serve(ctx, func(j job) error { return s.out.Put(ctx, s.send(j)) })
	return nil
}

// send performs one attempt.
func (s *sender) send(j job) admission.AttemptFinished {
	began := time.Now()
	o := platform.Forward(j.ctx, j.host, j.call, j.body, j.send.Target.Target)
	j.cancel()
	s.explain(j, o, time.Since(began))
	return admission.AttemptFinished{
		ID: j.send.ID, Attempt: j.send.Attempt, Result: o.Result, Failed: o.Failed, Unreachable: o.Unreachable,
		Report: o.Report, Answer: o.Answer,
	}
}

var resultNames = map[admission.Result]string{
	admission.ResultLost: "no whole answer", admission.ResultAnswered: "answered",
	admission.ResultNotRun: "not run", admission.ResultMisdirected: "not the owner",
}

func (s *sender) explain(j job, o platform.Outcome, took time.Duration) {
	d := telemetry.Decision{
		Kind: "attempt", RequestID: string(j.call.ID), Service: string(j.send.Target.Service),
		Target: string(j.send.Target.Target), Outcome: resultNames[o.Result],
		Detail: "attempt " + strconv.Itoa(j.send.Attempt) + " took " + took.Round(time.Millisecond).String() +
			" status " + strconv.Itoa(o.Answer.Status),
	}
	if o.Err != nil {
		d.Reason = o.Err.Error()
	}
	s.log.LogDecision(d)
}
