package measure

import (
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// target is a simulated server that runs up to slots requests at once and queues the others.
type target struct {
	id    types.TargetID
	slots int
	// meanServiceTime is the mean time to run a request, half of it fixed and half exponentially distributed. Without the
	// fixed part, work that is abandoned halfway would cost nothing, because the distribution has no memory.
	meanServiceTime time.Duration
	slowdown        float64 // factor on service times
	running         int     // requests that occupy a slot
	waiting         []*job  // received requests without a slot

	incarnation types.Incarnation // changes with each crash
	// hidesIncarnation is true when the target's answers do not carry its incarnation.
	hidesIncarnation bool
	down             bool          // crashed and not yet restarted
	frozenUntil      types.Instant // end of a freeze

	// warmUp is the time after coldSince in which the capacity rises from one request to all slots.
	warmUp    time.Duration
	coldSince types.Instant
	// admittedCold counts requests that arrived while the target was cold, overAdmitted those of them beyond its
	// capacity. worstExcess is the largest number of requests beyond the capacity.
	overAdmitted, admittedCold, worstExcess int
}

// job is one attempt that has been sent and whose result has not been delivered.
type job struct {
	dispatch.Action
	sentAt      types.Instant
	incarnation types.Incarnation // of the target that received the job, 0 before
	// running is true while the job occupies a slot, abandoned once the target has stopped working on it.
	running, abandoned bool
}

func (j *job) key() attemptKey { return attemptKey{j.Handle, j.Attempt} }

func newTarget(id types.TargetID, slots int, meanServiceTime time.Duration) *target {
	return &target{id: id, slots: slots, meanServiceTime: meanServiceTime, slowdown: 1, incarnation: 1}
}

// reportedIncarnation returns the incarnation that answers carry, or 0.
func (t *target) reportedIncarnation() types.Incarnation {
	if t.hidesIncarnation {
		return 0
	}
	return t.incarnation
}

// acceptConnection receives a request on a new connection, or refuses the connection while the target is down.
func (t *target) acceptConnection(s *sim, j *job) {
	if t.down {
		s.finishAttempt(j, dispatch.ResultNotWritten)
		return
	}
	t.receive(s, j)
}

// receive starts a request or queues it until a slot is free.
func (t *target) receive(s *sim, j *job) {
	if j.abandoned {
		return
	}
	if t.down {
		s.after(0, func() { s.finishAttempt(j, dispatch.ResultNotWritten) })
		return
	}
	j.incarnation = t.incarnation
	t.countAdmission(s.now)
	if t.running >= t.slots {
		t.waiting = append(t.waiting, j)
		return
	}
	t.start(s, j)
}

// start gives the request a slot. It executes after the end of a freeze.
func (t *target) start(s *sim, j *job) {
	t.running++
	j.running = true
	delay := max(t.frozenUntil.Sub(s.now), 0)
	s.after(delay, func() { t.execute(s, j) })
}

// execute runs a request, unless the target has crashed or abandoned it since start.
func (t *target) execute(s *sim, j *job) {
	if j.incarnation != t.incarnation || j.abandoned {
		return
	}
	s.onRun(j.Handle)
	work := time.Duration(t.slowdown * float64(t.meanServiceTime/2+s.exponential(t.meanServiceTime/2)))
	s.after(work, func() { t.complete(s, j) })
}

// complete ends an executed request and delivers its result, after the end of a freeze.
func (t *target) complete(s *sim, j *job) {
	if j.incarnation != t.incarnation || j.abandoned {
		return
	}
	if remaining := t.frozenUntil.Sub(s.now); remaining > 0 {
		s.after(remaining, func() { t.complete(s, j) })
		return
	}
	j.running = false
	t.running--
	t.startNext(s)
	s.finishAttempt(j, dispatch.ResultAnswered)
}

// abandon stops work on a request whose deadline has passed or whose connection was closed.
func (t *target) abandon(s *sim, j *job) {
	j.abandoned = true
	if j.running && j.incarnation == t.incarnation {
		j.running = false
		t.running--
		t.startNext(s)
	}
}

// startNext runs the next waiting request whose deadline has not passed.
func (t *target) startNext(s *sim) {
	for len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if s.now < next.Deadline && !next.abandoned {
			t.start(s, next)
			return
		}
	}
}

// capacity returns how many requests the target can handle now.
func (t *target) capacity(now types.Instant) int {
	elapsed := now.Sub(t.coldSince)
	if t.warmUp == 0 || elapsed >= t.warmUp {
		return t.slots
	}
	return 1 + int(time.Duration(t.slots-1)*elapsed/t.warmUp)
}

// countAdmission counts a request that arrives at a cold target.
func (t *target) countAdmission(now types.Instant) {
	capacity := t.capacity(now)
	if capacity == t.slots {
		return
	}
	t.admittedCold++
	if excess := t.running + len(t.waiting) + 1 - capacity; excess > 0 {
		t.overAdmitted++
		t.worstExcess = max(t.worstExcess, excess)
	}
}

// crash breaks all connections. The target restarts cold after the outage.
func (t *target) crash(s *sim, outage time.Duration) {
	t.incarnation++
	t.down = true
	t.running = 0
	t.waiting = nil
	t.frozenUntil = 0
	for _, j := range s.outstanding(t.id) {
		s.after(0, func() { s.finishAttempt(j, dispatch.ResultBroken) })
	}
	s.after(outage, func() {
		t.down = false
		t.coldSince = s.now
	})
}

// outstanding returns the attempts that the target has received, in order of their handles.
func (s *sim) outstanding(id types.TargetID) []*job {
	var all []*job
	for _, j := range s.inFlight {
		if j.Target == id && j.incarnation != 0 {
			all = append(all, j)
		}
	}
	sortJobs(all)
	return all
}
