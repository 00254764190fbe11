package target

import (
	"time"

	"sequoiasail.example/transport/target"
)

// Limits of the history from which lagging reports are answered.
const (
	// loadSampleGap is the time within which samples are merged, so that maxLoadSamples cover 10 s under full load.
	loadSampleGap    = 5 * time.Millisecond
	maxLoadSamples   = 2048
	maxHealthSamples = 64
)

// loadSample is the number of running requests at a time.
type loadSample struct {
	at      time.Time
	running int
}

// healthSample is the health at a time.
type healthSample struct {
	at     time.Time
	health target.Health
}

// reports is the history of a target's load and health.
type reports struct {
	loads   []loadSample
	healths []healthSample
}

// load records the number of running requests. It replaces a sample that is younger than loadSampleGap.
func (r *reports) load(now time.Time, running int) {
	if n := len(r.loads); n > 0 && now.Sub(r.loads[n-1].at) < loadSampleGap {
		r.loads[n-1].running = running
		return
	}
	r.loads = appendBounded(r.loads, loadSample{at: now, running: running}, maxLoadSamples)
}

// health records the health.
func (r *reports) health(now time.Time, h target.Health) {
	r.healths = appendBounded(r.healths, healthSample{at: now, health: h}, maxHealthSamples)
}

// appendBounded appends v and drops the older half of list if it has limit elements.
func appendBounded[T any](list []T, v T, limit int) []T {
	if len(list) == limit {
		list = append(list[:0], list[limit/2:]...)
	}
	return append(list, v)
}

// loadAt returns the number of running requests at a time, or 0 before the first sample.
func (r *reports) loadAt(at time.Time) int {
	for i := len(r.loads) - 1; i >= 0; i-- {
		if !r.loads[i].at.After(at) {
			return r.loads[i].running
		}
	}
	return 0
}

// healthAt returns the health at a time, or the oldest sample if all are newer.
func (r *reports) healthAt(at time.Time) target.Health {
	for i := len(r.healths) - 1; i > 0; i-- {
		if !r.healths[i].at.After(at) {
			return r.healths[i].health
		}
	}
	return r.healths[0].health
}

func (s *state) health() target.Health {
	h := target.Health{State: target.StateServing, Incarnation: s.incarnation}
	switch {
	case s.draining:
		h.State = target.StateDraining
	case s.cold():
		h.State = target.StateCold
	}
	return h
}

func (s *state) reportedHealth(now time.Time) target.Health {
	h := s.reports.healthAt(now.Add(-lag(s.faults.HealthLagMs, s.settings.HealthLagMs)))
	if s.faults.ReportedState != "" {
		h.State = target.State(s.faults.ReportedState)
	}
	return h
}

func (s *state) reportedLoad(now time.Time) target.Load {
	l := target.Load{Slots: s.settings.Slots}
	l.Running = s.reports.loadAt(now.Add(-lag(s.faults.LoadLagMs, s.settings.LoadLagMs)))
	if s.faults.ReportedRunning != nil {
		l.Running = *s.faults.ReportedRunning
	}
	return l
}

// lag returns the lag set by a fault, or that of the settings if there is none.
func lag(fault *int64, setting int64) time.Duration {
	if fault != nil {
		setting = *fault
	}
	return time.Duration(setting) * time.Millisecond
}

// withReports adds the incarnation and the load, which every answer to a service request carries.
func (s *state) withReports(now time.Time, a answer) answer {
	a.incarnation = s.incarnation
	a.load = s.reportedLoad(now)
	return a
}

// cold reports whether the target is warming up. The warm-up ends in the first Tick at or after warmAt.
func (s *state) cold() bool { return !s.warmAt.IsZero() }

func (s *state) becomeCold(now time.Time) {
	s.coldSince = now
	s.warmAt = now.Add(time.Duration(s.settings.WarmMs) * time.Millisecond)
	s.reports.health(now, s.health())
}

func (s *state) becomeWarm(now time.Time) {
	s.warmAt = time.Time{}
	s.reports.health(now, s.health())
}

// capacity returns the number of requests that the target can run at once: one at the beginning of the warm-up, all slots
// after it, in equal steps between.
func (s *state) capacity(now time.Time) int {
	if !s.cold() || !now.Before(s.warmAt) {
		return s.settings.Slots
	}
	warmed := now.Sub(s.coldSince)
	steps := s.settings.Slots - 1
	return 1 + int(int64(steps)*int64(warmed)/int64(s.warmAt.Sub(s.coldSince)))
}
