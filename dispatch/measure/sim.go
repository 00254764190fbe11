package measure

import (
	"container/heap"
	"math"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// Source returns a random source for a seed, for example rand.NewPCG(seed, 0).
type Source func(seed uint64) dispatch.Random

const (
	// connectTime is the time to connect to a target.
	connectTime = time.Millisecond
	// simStart is the first instant of every run. It is later than any warm-up, so that targets whose coldSince is 0
	// count as warm.
	simStart = types.Instant(time.Hour)
	// wallMsAtStart is the wall time at simStart, in Unix milliseconds.
	wallMsAtStart = int64(1_700_000_000_000)
)

// policy is the dispatcher under measurement: it decides when requests are sent. It calls sim.send and sim.onReply.
type policy interface {
	// request takes a request of a caller.
	request(h dispatch.Handle, q dispatch.Request)
	// result takes the result of a sent attempt.
	result(h dispatch.Handle, r dispatch.Result)
	// tick handles timers that are due.
	tick()
	// wake returns when tick has something to do. The result is false when no timer is set.
	wake() (types.Instant, bool)
}

// event is a function that runs at an instant. Events at the same instant run in the order in which they were scheduled.
type event struct {
	at  types.Instant
	seq uint64 // order of scheduling
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sim is a discrete-event simulation of one dispatcher and its targets.
type sim struct {
	now      types.Instant
	seq      uint64
	events   eventHeap
	random   dispatch.Random
	policy   policy
	targets  map[types.TargetID]*target
	inFlight map[attemptKey]*job // sent attempts without a result
	// continueAbandoned makes targets continue with requests whose deadline has passed or whose connection was closed.
	continueAbandoned bool
	// onReply is called with every reply to a caller.
	onReply func(a dispatch.Action)
	// onRun is called when a target starts to run a request.
	onRun func(h dispatch.Handle)
}

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	handle  dispatch.Handle
	attempt dispatch.Attempt
}

func newSim(random dispatch.Random) *sim {
	return &sim{
		now: simStart, random: random, targets: map[types.TargetID]*target{}, inFlight: map[attemptKey]*job{},
		onRun: func(dispatch.Handle) {},
	}
}

// after schedules run at d from now.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: run})
}

// runFor runs events and policy timers until d has passed.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for {
		at, set := s.policy.wake()
		if len(s.events) > 0 && (!set || s.events[0].at <= at) {
			if s.events[0].at > end {
				break
			}
			e := heap.Pop(&s.events).(event)
			s.now = e.at
			e.run()
			continue
		}
		if !set || at > end {
			break
		}
		s.now = max(s.now, at)
		s.policy.tick()
	}
	s.now = end
}

func (s *sim) wallMs() int64 { return wallMsAtStart + s.now.Sub(simStart).Milliseconds() }

// uniform returns a number in (0, 1].
func (s *sim) uniform() float64 { return float64(s.random.Uint64()>>11+1) / (1 << 53) }

func (s *sim) intn(n int) int { return int(s.random.Uint64() % uint64(n)) }

// exponential returns an exponentially distributed time.
func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(s.uniform()) * float64(mean))
}

// send performs an ActionSend.
func (s *sim) send(a dispatch.Action) {
	j := &job{Action: a, sentAt: s.now}
	s.inFlight[j.key()] = j
	s.after(a.Deadline.Sub(s.now), func() { s.finishAttempt(j, dispatch.ResultTimedOut) })
	t := s.targets[a.Target]
	if a.NewConnection {
		s.after(connectTime, func() { t.acceptConnection(s, j) })
		return
	}
	t.receive(s, j)
}

// cancel performs an ActionCancelSend.
func (s *sim) cancel(a dispatch.Action) {
	if j, found := s.inFlight[attemptKey{a.Handle, a.Attempt}]; found {
		s.after(0, func() { s.finishAttempt(j, dispatch.ResultTimedOut) })
	}
}

// finishAttempt delivers the result of an attempt to the policy. Only the first call for an attempt has an effect.
func (s *sim) finishAttempt(j *job, kind dispatch.ResultKind) {
	if s.inFlight[j.key()] != j {
		return
	}
	delete(s.inFlight, j.key())
	t := s.targets[j.Target]
	if kind == dispatch.ResultTimedOut && !s.continueAbandoned {
		t.abandon(s, j)
	}
	r := dispatch.Result{
		Attempt: j.Attempt, Connection: j.Connection, Kind: kind, Latency: s.now.Sub(j.sentAt), Load: dispatch.LoadUnknown,
	}
	if kind == dispatch.ResultAnswered {
		r.Incarnation, r.Load = t.reportedIncarnation(), t.running
	}
	s.policy.result(j.Handle, r)
}

// poisson schedules n arrivals of an open-loop Poisson process with the given rate per second.
func (s *sim) poisson(n int, rate float64, arrive func()) {
	if n == 0 {
		return
	}
	s.after(s.exponential(time.Duration(float64(time.Second)/rate)), func() {
		arrive()
		s.poisson(n-1, rate, arrive)
	})
}
