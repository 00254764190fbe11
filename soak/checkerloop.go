package soak

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
)

const (
	// eventCapacity is the number of events that can wait for the checker.
	eventCapacity = 8192
	// recoveryWindow is the span over which successful requests are counted after the last fault.
	recoveryWindow = 2 * time.Second
	// minRecoveredShare is the share of the requests in the window that must succeed, minRecoveredCount the least number
	// of requests.
	minRecoveredShare = 0.95
	minRecoveredCount = 20
)

// recoveryQuery asks whether requests succeed again.
type recoveryQuery struct {
	since time.Time
	reply chan bool
}

// reportQuery runs the final checks and asks for the report. It is the last message.
type reportQuery struct{ reply chan Report }

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Requests int
	// ServedShare is the share of the requests that succeeded.
	ServedShare float64
	Faults      int
	// Recovery is the time from the last fault until requests succeeded again.
	Recovery   time.Duration
	Violations []check.Violation
}

// checkerLoop owns the checker: it applies the events of a run to it and answers queries.
type checkerLoop struct {
	in      *ring.Ring[any]
	checker *check.Checker
}

func (l *checkerLoop) duty() duty.Duty { return duty.Duty{Name: "judge", Run: l.run} }

func (l *checkerLoop) run(ctx context.Context) error {
	l.in.Serve(ctx, func(m any) error {
		l.handle(m)
		return nil
	})
	return nil
}

func (l *checkerLoop) handle(m any) {
	switch m := m.(type) {
	case recoveryQuery:
		share, n := l.checker.SuccessShare(m.since)
		m.reply <- n >= minRecoveredCount && share >= minRecoveredShare
	case reportQuery:
		l.checker.Finish(time.Now())
		share, n := l.checker.SuccessShare(time.Time{})
		m.reply <- Report{Requests: n, ServedShare: share, Violations: l.checker.FoundViolations()}
	default:
		l.checker.Step(m)
	}
}
