package target

import (
	"math/rand/v2"
	"net/http"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// maxCancelled bounds the cancellations remembered for requests that have not arrived yet.
const maxCancelled = 1024

// delayedAnswer is an answer that is sent later because of the fault LateAnswers.
type delayedAnswer struct {
	at     time.Time
	answer answer
	reply  chan answer
}

// pendingRelease is a release that waits for the running requests of its grant.
type pendingRelease struct {
	epoch types.Epoch
	reply chan answer
}

// state is the state of one target. The state duty owns it.
type state struct {
	settings Settings
	faults   Faults
	random   *rand.Rand
	// onCrash takes the listener down for the time until the restart.
	onCrash func(down time.Duration)

	incarnation types.Incarnation
	downUntil   time.Time
	draining    bool
	// coldSince is the beginning of the warm-up, warmAt its end. warmAt is zero if the target is warm.
	coldSince       time.Time
	warmAt          time.Time
	grantState      grantState
	highestRunEpoch types.Epoch // the highest lease epoch of a request that started
	keys            map[string]KeyState
	running         []*run
	delayedAnswers  []delayedAnswer
	pendingReleases []pendingRelease
	pendingStops    []chan answer            // reply channels of stop calls
	stalled         []message                // calls that arrived while frozen
	cancelled       map[types.RequestID]bool // cancelled before they arrived
	journal         journal
	stats           Stats
	reports         reports
}

func newState(now time.Time, s Settings, incarnation types.Incarnation, onCrash func(time.Duration)) *state {
	t := &state{
		settings:    s,
		random:      rand.New(rand.NewPCG(s.Seed, s.Seed)),
		onCrash:     onCrash,
		incarnation: incarnation,
		journal:     journal{limit: s.JournalLimit, recordReads: s.JournalReads},
	}
	t.reset(now)
	return t
}

// reset starts an incarnation at time now: cold, without grants and without keys.
func (s *state) reset(now time.Time) {
	s.draining = false
	s.grantState = grantState{base: now, incarnation: s.incarnation}
	s.highestRunEpoch = 0
	s.keys = map[string]KeyState{}
	s.cancelled = map[types.RequestID]bool{}
	s.becomeCold(now)
}

// Step implements loop.State.
func (s *state) Step(now time.Time, m message) {
	s.Tick(now)
	switch {
	case m.kind >= kindSetFaults:
		s.control(now, m)
	case now.Before(s.downUntil):
		m.reply <- answer{lose: true}
	case s.faults.Frozen:
		s.stalled = append(s.stalled, m)
	default:
		s.apply(now, m)
	}
}

// control serves the control calls, which the platform's targets do not have.
func (s *state) control(now time.Time, m message) {
	switch m.kind {
	case kindSetFaults:
		s.setFaults(now, m.faults)
		m.reply <- ok(struct{}{})
	case kindJournal:
		m.reply <- ok(s.journalFrom(m.after))
	case kindStats:
		stats := s.stats
		stats.Stalled = len(s.stalled)
		m.reply <- ok(stats)
	case kindStop:
		s.draining = true
		s.pendingStops = append(s.pendingStops, m.reply)
		s.endStops()
	}
}

func (s *state) apply(now time.Time, m message) {
	switch m.kind {
	case kindRequest:
		s.startRequest(now, m.request, m.reply)
	case kindRelease:
		s.release(now, m.release, m.reply)
	case kindGrant:
		m.reply <- s.grantAnswer(now, s.grantState.grant(now, m.grant))
	case kindRenew:
		m.reply <- s.grantAnswer(now, s.grantState.renew(now, m.renew))
	case kindCancel:
		s.cancel(now, m.id)
		m.reply <- ok(struct{}{})
	case kindHealth:
		m.reply <- ok(s.reportedHealth(now))
	case kindLoad:
		m.reply <- ok(s.reportedLoad(now))
	case kindDrain:
		s.draining = true
		s.reports.health(now, s.health())
		m.reply <- ok(struct{}{})
	}
}

func ok(body any) answer { return answer{status: http.StatusOK, body: body} }

func (s *state) grantAnswer(now time.Time, f *types.Fault) answer {
	if f != nil && s.settings.ChecksGrants {
		return answer{fault: f, grant: s.grantState.issueToken(now)}
	}
	return ok(s.grantState.issueToken(now))
}

func (s *state) release(now time.Time, r target.ReleaseRequest, reply chan answer) {
	if f := s.grantState.release(now, r); f != nil && s.settings.ChecksGrants {
		reply <- answer{fault: f, grant: s.grantState.issueToken(now)}
		return
	}
	s.pendingReleases = append(s.pendingReleases, pendingRelease{epoch: r.LeaseEpoch, reply: reply})
	s.endReleases(now)
}

// Tick implements loop.State.
func (s *state) Tick(now time.Time) {
	if s.faults.Frozen {
		return
	}
	s.endRuns(now)
	s.sendDelayedAnswers(now)
	if s.cold() && !now.Before(s.warmAt) {
		s.becomeWarm(now)
	}
}

// Next implements loop.State.
func (s *state) Next() (at time.Time, ok bool) {
	if s.faults.Frozen {
		return at, false
	}
	earlier := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for _, r := range s.running {
		earlier(r.end)
	}
	for _, w := range s.delayedAnswers {
		earlier(w.at)
	}
	if s.cold() {
		earlier(s.warmAt)
	}
	return at, ok
}

// Finish implements loop.State.
func (s *state) Finish() {
	s.dropCalls(time.Now(), OutcomeCancelled)
	for _, reply := range s.pendingStops {
		reply <- ok(struct{}{})
	}
	s.pendingStops = nil
}

// setFaults replaces the faults and performs the posted actions.
func (s *state) setFaults(now time.Time, f Faults) {
	unfrozen := s.faults.Frozen && !f.Frozen
	s.faults = f
	if f.Crash {
		s.crash(now)
	}
	if f.Cold {
		s.becomeCold(now)
	}
	if f.Warm {
		s.becomeWarm(now)
	}
	if unfrozen {
		s.unfreeze(now)
	}
	s.endStops()
}

// unfreeze ends the running requests that are due, then performs the calls that arrived while the target was frozen.
func (s *state) unfreeze(now time.Time) {
	s.Tick(now)
	stalled := s.stalled
	s.stalled = nil
	for _, m := range stalled {
		s.apply(now, m)
	}
}

// crash discards all state but the journal and the statistics, and takes the target down. The next incarnation starts
// cold.
func (s *state) crash(now time.Time) {
	down := time.Duration(s.faults.RestartMs) * time.Millisecond
	if down <= 0 {
		down = DefaultRestartMs * time.Millisecond
	}
	s.stats.Crashes++
	s.faults.Frozen = false
	s.dropCalls(now, OutcomeCrashed)
	s.incarnation++
	s.downUntil = now.Add(down)
	s.reset(s.downUntil)
	s.onCrash(down)
}

// dropCalls ends all calls without an answer.
func (s *state) dropCalls(now time.Time, outcome string) {
	for _, r := range s.running {
		s.journal.end(now, r.journalPosition, outcome)
		r.reply <- answer{lose: true}
	}
	for _, w := range s.delayedAnswers {
		w.reply <- answer{lose: true}
	}
	for _, m := range s.stalled {
		m.reply <- answer{lose: true}
	}
	for _, r := range s.pendingReleases {
		r.reply <- answer{lose: true}
	}
	s.running, s.delayedAnswers, s.stalled, s.pendingReleases = nil, nil, nil, nil
	s.reports.load(now, 0)
	s.endStops()
}

// endStops answers the stop calls once no request runs. A frozen target does not wait for running requests.
func (s *state) endStops() {
	if len(s.running) > 0 && !s.faults.Frozen {
		return
	}
	for _, reply := range s.pendingStops {
		reply <- ok(struct{}{})
	}
	s.pendingStops = nil
}

func (s *state) journalFrom(after int) JournalAnswer {
	return JournalAnswer{
		Service: s.settings.Service,
		Target:  s.settings.Name,
		Entries: s.journal.from(after),
		Dropped: s.journal.dropped,
	}
}
