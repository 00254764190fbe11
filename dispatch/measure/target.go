package measure

import (
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// target is a fake back end with a number of slots and a queue for what exceeds them.
type target struct {
	id    types.TargetID
	slots int
	// service is the mean time of a request: half of it fixed, half exponentially distributed. Without a fixed part, work
	// that is given up halfway would cost nothing.
	service time.Duration
	slow    float64 // factor on service times
	running int
	waiting []*job

	incarnation types.Incarnation
	// hidden is true when the target does not tell its incarnation.
	hidden bool
	down   bool
	frozen types.Instant // end of a freeze

	// warmUp is how long the target needs after coldAt until it handles all slots.
	warmUp time.Duration
	coldAt types.Instant
	// overAdmitted counts requests that found a cold target with more than it can handle. worst is the largest excess.
	overAdmitted, admittedCold, worst int
}

// job is one attempt on its way.
type job struct {
	dispatch.Action
	sentAt      types.Instant
	incarnation types.Incarnation
	// running is true while the job has a slot, abandoned after the target gave it up.
	running, abandoned bool
}

func (j *job) key() attemptKey { return attemptKey{j.Handle, j.Attempt} }

func newTarget(id types.TargetID, slots int, service time.Duration) *target {
	return &target{id: id, slots: slots, service: service, slow: 1, incarnation: 1}
}

// told returns the incarnation that answers carry.
func (t *target) told() types.Incarnation {
	if t.hidden {
		return 0
	}
	return t.incarnation
}

// connect is the arrival of a request on a new connection.
func (t *target) connect(s *sim, j *job) {
	if t.down {
		s.end(j, dispatch.ResultNotWritten)
		return
	}
	t.receive(s, j)
}

// receive runs a request or lets it wait for a slot.
func (t *target) receive(s *sim, j *job) {
	if j.abandoned {
		return
	}
	if t.down {
		s.after(0, func() { s.end(j, dispatch.ResultNotWritten) })
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

func (t *target) start(s *sim, j *job) {
	t.running++
	j.running = true
	delay := max(t.frozen.Sub(s.now), 0)
	s.after(delay, func() { t.execute(s, j) })
}

// execute runs a request, unless the target crashed before it could start.
func (t *target) execute(s *sim, j *job) {
	if j.incarnation != t.incarnation || j.abandoned {
		return
	}
	s.onRun(j.Handle)
	work := time.Duration(t.slow * float64(t.service/2+s.exponential(t.service/2)))
	s.after(work, func() { t.complete(s, j) })
}

func (t *target) complete(s *sim, j *job) {
	if j.incarnation != t.incarnation || j.abandoned {
		return
	}
	if thaw := t.frozen.Sub(s.now); thaw > 0 {
		s.after(thaw, func() { t.complete(s, j) })
		return
	}
	j.running = false
	t.running--
	t.startNext(s)
	s.end(j, dispatch.ResultAnswered)
}

// abandon gives a request up whose deadline passed or whose connection was closed.
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
	elapsed := now.Sub(t.coldAt)
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
		t.worst = max(t.worst, excess)
	}
}

// crash breaks all connections. The target comes back cold after the outage.
func (t *target) crash(s *sim, outage time.Duration) {
	t.incarnation++
	t.down = true
	t.running = 0
	t.waiting = nil
	t.frozen = 0
	for _, j := range s.outstanding(t.id) {
		s.after(0, func() { s.end(j, dispatch.ResultBroken) })
	}
	s.after(outage, func() {
		t.down = false
		t.coldAt = s.now
	})
}

// outstanding returns the attempts that the target has received, in order of their handles.
func (s *sim) outstanding(id types.TargetID) []*job {
	var all []*job
	for _, j := range s.flying {
		if j.Target == id && j.incarnation != 0 {
			all = append(all, j)
		}
	}
	sortJobs(all)
	return all
}
