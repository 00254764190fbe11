package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// loadReportLag is how long a target must have been busy until its load report is expected to show it.
const loadReportLag = time.Second

// noProbe is the value of target.probe without a probe.
const noProbe = -1

// target is the state of one target: lease, queues, connections and health.
type target struct {
	index   int32
	id      types.TargetID
	service *service
	// slots is how many requests the target can run at once.
	slots int
	// removed is true when the configuration no longer has the target.
	removed bool
	// serving is true while this dispatcher holds the target's lease.
	serving  bool
	draining bool
	lease    Lease
	// coveredSinceMs is the wall time, in Unix milliseconds, before which identifiers may have been sent by another
	// dispatcher.
	coveredSinceMs int64

	classes [types.ClassCount]classQueue
	// nextClass is the class whose turn it is in the round robin.
	nextClass types.Class
	// queued is the number of requests in all queues.
	queued int

	connections []connection
	// inFlight is the number of sends without a result.
	inFlight int
	// silent is the number of silent connections, silentSince when the last one passed its progress deadline.
	silent      int
	silentSince types.Instant

	ramp    ramp
	backoff backoff
	// probe is the connection of the request sent while the target fails, or noProbe.
	probe int
	// lastAnswer is when the target last answered or refused.
	lastAnswer types.Instant
	budget     retryBudget
	// latency averages over all answers, byClass over those of each class, because classes differ in their work.
	latency latency
	byClass [types.ClassCount]latency

	incarnation types.Incarnation
	// alive is false from a counted death until the target answers or accepts a connection again. lastDeath is the time
	// of that death.
	alive     bool
	lastDeath types.Instant
	// brokenRequests are the recent requests whose connection broke, the oldest first. An answer to a later request clears
	// them.
	brokenRequests []brokenRequest

	// load is a moving average of the target's load reports.
	load float64
	// busy is true while at least half of the slots are in use, which has been so since busySince.
	busySince types.Instant
	busy      bool
	// condition is the one reported last.
	condition Condition
}

// connection is one of the target's connections. Its index in target.connections is the number in actions.
type connection struct {
	// request is the request in flight, or none.
	request int32
	open    bool
	// silent is true when the request in flight has passed its progress deadline.
	silent bool
	// closing is true when the core has cancelled the attempt in flight because the connection is silent.
	closing bool
	// firstUse is true for the first attempt on the connection after it was opened.
	firstUse bool
	openedAt types.Instant
}

// service is the state that the targets of a service share.
type service struct {
	index       int32
	name        types.Service
	keyed       bool // requests are routed by key, through slots
	targets     []int32
	classes     [types.ClassCount]classPolicy
	rows        []slotRow                 // by slot
	hot         map[types.KeyHash]slotRow // rows of hot keys, which override those of slots
	median      [types.ClassCount]float64 // of the targets' average answer times, 0 for too few targets
	answerCount int                       // answers of all targets so far, for medianInterval
	// homes are the recent sets of homes of a service without keys, the present one last.
	homes []homeSet
	// homeVersion counts the sets received.
	homeVersion uint32
	scratch     []float64 // reused by medianOf
}

// classPolicy is the queue limit of a class and how long its entries stay in the deduplication table.
type classPolicy struct {
	queueLimit  int
	dedupWindow time.Duration
}

// slotRow is the ownership of one slot or hot key.
type slotRow struct {
	target int32
	epoch  types.Epoch
	// sinceMs is SlotRow.CoveredSinceMs.
	sinceMs int64
	// owned is false after the release.
	owned bool
}

// limit returns the concurrency limit: how many requests the target may have in flight at now.
func (t *target) limit(now types.Instant) int { return t.ramp.limit(now, t.slots) }

// canSend reports whether the lease, the limit and the backoff allow a send at now. A failing target gets one probe at
// a time. Requests sent before the failure don't count as probes, since they may run for long.
func (t *target) canSend(now types.Instant) bool {
	if !t.accepts() || !now.Before(t.lease.ValidUntil) || t.inFlight >= t.limit(now) {
		return false
	}
	return !t.backoff.failing() || (now >= t.backoff.until && t.probe == noProbe)
}

// recordResponse ends the backoff after an answer or a refusal by the target.
func (t *target) recordResponse(now types.Instant) {
	t.backoff.succeed()
	t.probe = noProbe
	t.lastAnswer = now
}

// accepts reports whether the target may receive new work at all.
func (t *target) accepts() bool { return t.serving && !t.draining && !t.removed }

// freeConnection returns a connection without a request in flight, or -1. It prefers open ones, to connect rarely.
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

// nextWake returns the next instant at which the ramp's limit rises or, while requests are queued, the backoff ends. It
// returns false when there is none.
func (t *target) nextWake(now types.Instant) (types.Instant, bool) {
	at, found := t.ramp.nextStep(now, t.slots)
	if t.queued == 0 || !t.accepts() {
		return at, found
	}
	if now.Before(t.backoff.until) && (!found || t.backoff.until < at) {
		return t.backoff.until, true
	}
	return at, found
}

// observe adds an answer time to the averages.
func (t *target) observe(class types.Class, d time.Duration) {
	t.latency.observe(d)
	t.byClass[class].observe(d)
}

// updateBusy tracks since when at least half of the slots have been in use.
func (t *target) updateBusy(now types.Instant) {
	busy := t.inFlight > 0 && 2*t.inFlight >= t.slots
	if busy && !t.busy {
		t.busySince = now
	}
	t.busy = busy
}

// loadFell reports whether the target's load report dropped below a quarter although the dispatcher kept the target
// busy, which is a sign of a restart.
func (t *target) loadFell(now types.Instant, load int) bool {
	if load < 0 {
		return false
	}
	before := t.load
	if t.busy && now.Sub(t.busySince) >= loadReportLag && 2*before >= float64(t.slots) && 4*float64(load) < before {
		t.load = float64(load)
		return true
	}
	t.load += (float64(load) - before) / 8
	return false
}

// estimateTime returns how long a request takes that is queued behind ahead others. While the limit rises, its value
// halfway through the wait is used, so that no request is refused that a target in cold start will handle in time.
func (t *target) estimateTime(now types.Instant, ahead int) time.Duration {
	mean := t.latency.mean()
	work := mean * time.Duration(ahead)
	atPresent := work / time.Duration(t.ramp.limit(now, t.slots))
	halfway := t.ramp.limit(now.Add(atPresent/2), t.slots)
	return mean + work/time.Duration(halfway)
}
