package telemetry

import (
	"time"

	"sequoiasail.example/types"
)

// minimalAlarm bounds how often an alarm that is set to the past or the near future fires.
const minimalAlarm = time.Millisecond

// Alarm wakes a duty at an instant that it sets anew after each step. An idle duty is not woken at all. It belongs to
// one duty.
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

// C delivers a value when the alarm fires. The duty then calls Fired.
func (a *Alarm) C() <-chan time.Time { return a.timer.C }

// Fired notes that the alarm is no longer set.
func (a *Alarm) Fired() { a.set = false }

// Set makes the alarm fire at the instant at, or never when ok is false.
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
	a.timer.Reset(max(at.Sub(Now()), minimalAlarm))
}

// Stop unsets the alarm.
func (a *Alarm) Stop() {
	if a.set {
		a.timer.Stop()
		a.set = false
	}
}
