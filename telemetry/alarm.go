package telemetry

import (
	"time"

	"sequoiasail.example/types"
)

// minAlarmDelay bounds how often an alarm fires that is set to the past or the near future.
const minAlarmDelay = time.Millisecond

// Alarm wakes a duty at an instant that the duty sets again after each step, so an idle duty is never woken. An Alarm
// must be used by one duty only.
type Alarm struct {
	timer *time.Timer
	at    types.Instant
	set   bool
}

// NewAlarm returns an alarm that is not set.
func NewAlarm() *Alarm {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &Alarm{timer: timer}
}

// C delivers a value when the alarm fires. The duty then calls MarkFired.
func (a *Alarm) C() <-chan time.Time { return a.timer.C }

// MarkFired records that the alarm has fired and is no longer set.
func (a *Alarm) MarkFired() { a.set = false }

// Set makes the alarm fire at the given instant, or never when ok is false.
func (a *Alarm) Set(at types.Instant, ok bool) {
	if !ok {
		a.Stop()
		return
	}
	if a.set && a.at == at {
		return
	}
	a.at = at
	a.set = true
	a.timer.Reset(max(at.Sub(Now()), minAlarmDelay))
}

// Stop cancels the alarm.
func (a *Alarm) Stop() {
	if a.set {
		a.timer.Stop()
		a.set = false
	}
}
