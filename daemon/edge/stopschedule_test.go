package edge

import (
	"testing"
	"time"
)

// Guards against a stop that breaks requests off although their targets may still answer them: before the last sixth of the
// grace period, or when they came more than 3 s after the beginning of the stop.
func TestStopScheduleOfAnyGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{
		time.Nanosecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second, time.Minute,
	} {
		s := newStopSchedule(grace)
		if s.answer < grace*5/6 || s.accept > 3*time.Second || s.accept > s.answer || s.serve > s.answer || s.answer > s.close || s.close > grace {
			t.Errorf("a grace period of %v has the schedule %+v", grace, s)
		}
	}
}
