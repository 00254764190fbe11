package soak

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
)

const (
	// eventCapacity bounds the events that wait for the judge.
	eventCapacity = 8192
	// recoveryWindow is the time over which served requests are counted after the last fault.
	recoveryWindow = 2 * time.Second
	// recoveredShare is the share of requests that must be served then, recoveredCount their least number.
	recoveredShare = 0.95
	recoveredCount = 20
)

// recovered asks whether requests are served again.
type recovered struct {
	since time.Time
	reply chan bool
}

// verdict asks for what was found, which ends the judging.
type verdict struct{ reply chan Report }

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Requests int
	// ServedShare is the share of requests answered with success.
	ServedShare float64
	Faults      int
	// Recovery is how long after the last fault requests were served again.
	Recovery time.Duration
	Broken   []check.Violation
}

// judge owns the checker.
type judge struct {
	in      *ring.Ring[any]
	checker *check.Checker
}

func (j *judge) duty() duty.Duty { return duty.Duty{Name: "judge", Run: j.run} }

func (j *judge) run(ctx context.Context) error {
	j.in.Serve(ctx, func(m any) error {
		j.step(m)
		return nil
	})
	return nil
}

func (j *judge) step(m any) {
	switch m := m.(type) {
	case recovered:
		share, n := j.checker.Served(m.since)
		m.reply <- n >= recoveredCount && share >= recoveredShare
	case verdict:
		j.checker.Finish(time.Now())
		share, n := j.checker.Served(time.Time{})
		m.reply <- Report{Requests: n, ServedShare: share, Broken: j.checker.Found()}
	default:
		j.checker.Step(m)
	}
}
