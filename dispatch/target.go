package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// loadLag is how long a target must have been busy before its load report is expected to show it.
const loadLag = time.Second

// noProbe is the value of target.probe without a probe.
const noProbe = -1

// target is everything the core knows about one target.
type target struct {
	index    int32
	id       types.TargetID
	service  *service
	slots    int
	removed  bool
	serving  bool
	draining bool
	lease    Lease
	// memorySinceMs is the wall time before which identifiers may have been sent by another dispatcher.
	memorySinceMs int64

	classes   [types.ClassCount]classQueue
	nextClass types.Class
	queued    int

	connections []connection
	inFlight    int
	silent      int
	silentSince types.Instant

	ramp    ramp
	backoff backoff
	// probe is the connection of the request sent while the target fails, or noProbe.
	probe int
	// lastAnswer is when the target last answered or refused.
	lastAnswer types.Instant
	budget     retryBudget
	// latency is over all answers, byClass over those of one class, which differ in the work they cause.
	latency latency
	byClass [types.ClassCount]latency

	incarnation types.Incarnation
	// alive is false from a counted death until the target answers again.
	alive     bool
	lastDeath types.Instant
	broken    []brokenRequest

	load      float64
	busySince types.Instant
	busy      bool
	condition Condition
}

// connection is one of the target's connections. Its index is the number in actions.
type connection struct {
	// request is the request in flight, or none.
	request int32
	open    bool
	// silent is true when the request in flight has passed its progress deadline.
	silent bool
	// closing is true when the attempt in flight was cancelled by the core.
	closing bool
	// fresh is true while the first request after connecting is in flight.
	fresh    bool
	openedAt types.Instant
}

// service is what the targets of a service share.
type service struct {
	index   int32
	name    types.Service
	keyed   bool
	targets []int32
	classes [types.ClassCount]classPolicy
	rows    []slotRow
	hot     map[types.KeyHash]slotRow
	median  [types.ClassCount]float64
	answers int
	// homes are the sets of homes of a service without keys, the present one last.
	homes []homeSet
	// homeVersion counts the sets told.
	homeVersion uint32
	scratch     []float64
}

type classPolicy struct {
	queueLimit int
	remember   time.Duration
}

// slotRow is the ownership of one slot or hot key by a target of this dispatcher.
type slotRow struct {
	target  int32
	epoch   types.Epoch
	sinceMs int64
	owned   bool
}

// limit returns how many requests the target may have in flight at now.
func (t *target) limit(now types.Instant) int { return t.ramp.limit(now, t.slots) }

// canSend reports whether the lease, the limit and the backoff allow a send at now. A failing target gets one probe at
// a time. Requests sent before the failure don't count as probes, since they may run for long.
func (t *target) canSend(now types.Instant) bool {
	if !t.accepts() || !now.Before(t.lease.ValidUntil) || t.inFlight >= t.limit(now) {
		return false
	}
	return !t.backoff.failing() || (now >= t.backoff.until && t.probe == noProbe)
}

// responds notes that the target answered or refused.
func (t *target) responds(now types.Instant) {
	t.backoff.succeed()
	t.probe = noProbe
	t.lastAnswer = now
}

// accepts reports whether the target may receive new work at all.
func (t *target) accepts() bool { return t.serving && !t.draining && !t.removed }

// freeConnection prefers an open connection, so that connecting is rare.
func (t *target) freeConnection() int {
	free := -1
	for n := range t.slots {
		c := &t.connections[n]
		if c.request != none {
			continue
		}
		if c.open {
			return n
		}
		if free < 0 {
			free = n
		}
	}
	return free
}

// wake returns when a queued request may become sendable by the passing of time alone.
func (t *target) wake(now types.Instant) (types.Instant, bool) {
	at, found := t.ramp.nextStep(now, t.slots)
	if t.queued == 0 || !t.accepts() {
		return at, found
	}
	if now.Before(t.backoff.until) && (!found || t.backoff.until < at) {
		return t.backoff.until, true
	}
	return at, found
}

func (t *target) observe(class types.Class, d time.Duration) {
	t.latency.observe(d)
	t.byClass[class].observe(d)
}

// noteBusy tracks since when at least half the slots are in use.
func (t *target) noteBusy(now types.Instant) {
	busy := t.inFlight > 0 && 2*t.inFlight >= t.slots
	if busy && !t.busy {
		t.busySince = now
	}
	t.busy = busy
}

// loadFell reports whether the target's own load report dropped although the dispatcher kept it busy.
func (t *target) loadFell(now types.Instant, load int) bool {
	if load < 0 {
		return false
	}
	before := t.load
	if t.busy && now.Sub(t.busySince) >= loadLag && 2*before >= float64(t.slots) && 4*float64(load) < before {
		t.load = float64(load)
		return true
	}
	t.load += (float64(load) - before) / 8
	return false
}

// expected returns how long a request takes that is queued behind ahead others. A rising limit counts with its value
// halfway, so that a target in cold start does not refuse what it will handle in time.
func (t *target) expected(now types.Instant, ahead int) time.Duration {
	mean := t.latency.mean()
	work := mean * time.Duration(ahead)
	atPresent := work / time.Duration(t.ramp.limit(now, t.slots))
	halfway := t.ramp.limit(now.Add(atPresent/2), t.slots)
	return mean + work/time.Duration(halfway)
}
