package target

import (
	"math/rand/v2"
	"net/http"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// cancelledLimit bounds the cancellations remembered for requests that have not arrived.
const cancelledLimit = 1024

// waiting is a call whose answer is held back.
type waiting struct {
	at     time.Time
	answer answer
	reply  chan answer
}

// releasing is a release that waits for the requests that run under its grant.
type releasing struct {
	epoch types.Epoch
	reply chan answer
}

// state is one target. The state duty owns it.
type state struct {
	settings Settings
	faults   Faults
	random   *rand.Rand
	// crashed tells the listener that the target accepts no connection for some time.
	crashed func(down time.Duration)

	incarnation types.Incarnation
	downUntil   time.Time
	draining    bool
	coldSince   time.Time
	warmAt      time.Time
	grants      grants
	highestRun  types.Epoch // the highest lease epoch of a request that started
	keys        map[string]KeyState
	running     []*run
	late        []waiting
	releases    []releasing
	stops       []chan answer
	stalled     []message // calls that arrived while frozen
	cancelled   map[types.RequestID]bool
	journal     journal
	stats       Stats
	reports     reports
}

func newState(now time.Time, s Settings, incarnation types.Incarnation, crashed func(time.Duration)) *state {
	t := &state{
		settings:    s,
		random:      rand.New(rand.NewPCG(s.Seed, s.Seed)),
		crashed:     crashed,
		incarnation: incarnation,
		journal:     journal{limit: s.JournalLimit, reads: s.JournalReads},
	}
	t.reset(now)
	return t
}

// reset starts an incarnation at time now: cold, without grants and without keys.
func (s *state) reset(now time.Time) {
	s.draining = false
	s.grants = grants{base: now, incarnation: s.incarnation}
	s.highestRun = 0
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

// control serves the calls that the platform's targets do not have.
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
		s.stops = append(s.stops, m.reply)
		s.endStops()
	}
}

func (s *state) apply(now time.Time, m message) {
	switch m.kind {
	case kindRequest:
		s.start(now, m.request, m.reply)
	case kindRelease:
		s.release(now, m.release, m.reply)
	case kindGrant:
		m.reply <- s.granted(now, s.grants.grant(now, m.grant))
	case kindRenew:
		m.reply <- s.granted(now, s.grants.renew(now, m.renew))
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

func (s *state) granted(now time.Time, f *types.Fault) answer {
	if f != nil && s.settings.ChecksGrants {
		return answer{fault: f, grant: s.grants.issue(now)}
	}
	return ok(s.grants.issue(now))
}

func (s *state) release(now time.Time, r target.ReleaseRequest, reply chan answer) {
	if f := s.grants.release(now, r); f != nil && s.settings.ChecksGrants {
		reply <- answer{fault: f, grant: s.grants.issue(now)}
		return
	}
	s.releases = append(s.releases, releasing{epoch: r.LeaseEpoch, reply: reply})
	s.endReleases(now)
}

// Tick implements loop.State.
func (s *state) Tick(now time.Time) {
	if s.faults.Frozen {
		return
	}
	s.endRuns(now)
	s.sendLate(now)
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
	for _, w := range s.late {
		earlier(w.at)
	}
	if s.cold() {
		earlier(s.warmAt)
	}
	return at, ok
}

// Finish implements loop.State.
func (s *state) Finish() {
	s.abandon(time.Now(), OutcomeCancelled)
	for _, reply := range s.stops {
		reply <- ok(struct{}{})
	}
	s.stops = nil
}

// setFaults replaces the settings and performs the actions.
func (s *state) setFaults(now time.Time, f Faults) {
	thawed := s.faults.Frozen && !f.Frozen
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
	if thawed {
		s.thaw(now)
	}
	s.endStops()
}

// thaw goes on as if no time had passed: first with the requests that run, then with the calls that wait.
func (s *state) thaw(now time.Time) {
	s.Tick(now)
	stalled := s.stalled
	s.stalled = nil
	for _, m := range stalled {
		s.apply(now, m)
	}
}

// crash loses everything but the journal and the statistics. The next incarnation starts cold.
func (s *state) crash(now time.Time) {
	down := time.Duration(s.faults.RestartMs) * time.Millisecond
	if down <= 0 {
		down = DefaultRestartMs * time.Millisecond
	}
	s.stats.Crashes++
	s.faults.Frozen = false
	s.abandon(now, OutcomeCrashed)
	s.incarnation++
	s.downUntil = now.Add(down)
	s.reset(s.downUntil)
	s.crashed(down)
}

// abandon ends all calls without an answer.
func (s *state) abandon(now time.Time, outcome string) {
	for _, r := range s.running {
		s.journal.end(now, r.entry, outcome)
		r.reply <- answer{lose: true}
	}
	for _, w := range s.late {
		w.reply <- answer{lose: true}
	}
	for _, m := range s.stalled {
		m.reply <- answer{lose: true}
	}
	for _, r := range s.releases {
		r.reply <- answer{lose: true}
	}
	s.running, s.late, s.stalled, s.releases = nil, nil, nil, nil
	s.reports.load(now, 0)
	s.endStops()
}

// endStops answers the calls that wait for the last request to end. A frozen target does not wait.
func (s *state) endStops() {
	if len(s.running) > 0 && !s.faults.Frozen {
		return
	}
	for _, reply := range s.stops {
		reply <- ok(struct{}{})
	}
	s.stops = nil
}

func (s *state) journalFrom(after int) JournalAnswer {
	return JournalAnswer{
		Service: s.settings.Service,
		Target:  s.settings.Name,
		Entries: s.journal.from(after),
		Dropped: s.journal.dropped,
	}
}
