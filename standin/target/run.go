package target

import (
	"net/http"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// coldSlowFactor is how much slower requests run above what a cold target bears, in ColdSlow mode.
const coldSlowFactor = 10

// run is a request that has started. It takes effect at its end.
type run struct {
	request request
	end     time.Time
	fails   bool // above what the cold target bears
	entry   int  // position in the journal
	reply   chan answer
}

// start runs a request or refuses it.
func (s *state) start(now time.Time, r request, reply chan answer) {
	if f := s.refusal(now, r); f != nil {
		s.stats.Refused++
		reply <- s.stamped(now, answer{fault: f, notRun: true})
		return
	}
	s.stats.Started++
	s.countViolation(now, r)
	entry := s.journal.start(now, r)
	run := &run{request: r, entry: entry, reply: reply}
	run.end, run.fails = s.schedule(now)
	if !r.deadline.IsZero() && r.deadline.Before(run.end) {
		run.end = r.deadline
	}
	s.running = append(s.running, run)
	s.stats.PeakRunning = max(s.stats.PeakRunning, len(s.running))
	s.reports.load(now, len(s.running))
	if r.crash || (s.faults.CrashKey != "" && s.faults.CrashKey == r.key) {
		s.crash(now)
	}
}

// refusal returns the reason not to start a request, or nil.
func (s *state) refusal(now time.Time, r request) *types.Fault {
	switch {
	case s.cancelled[r.id]:
		delete(s.cancelled, r.id)
		return types.NewFault(types.CodeCancelled, "request was cancelled before it arrived")
	case s.draining:
		return types.NewFault(types.CodeShuttingDown, "target is draining")
	case r.late(now):
		return types.NewFault(types.CodeDeadlineExceeded, "deadline has passed")
	}
	if f := s.grants.check(now, s.settings.Keyed, r); f != nil && s.settings.ChecksGrants {
		return f
	}
	if s.faults.Overloaded || len(s.running) >= s.settings.Slots {
		return types.NewFault(types.CodeOverloaded, "%d requests run", len(s.running))
	}
	return nil
}

// countViolation counts a request that a target which checks grants would have refused. A target that never got a grant
// has nothing to compare with, except the lease epochs of earlier requests.
func (s *state) countViolation(now time.Time, r request) {
	refused := s.grants.highest > 0 && s.grants.check(now, s.settings.Keyed, r) != nil
	if refused || r.leaseEpoch < s.highestRun {
		s.stats.GrantViolations++
	}
	s.highestRun = max(s.highestRun, r.leaseEpoch)
}

// schedule returns when a request that starts now ends, and whether it fails then.
func (s *state) schedule(now time.Time) (end time.Time, fails bool) {
	over := len(s.running) >= s.bears(now)
	factor := max(s.faults.SlowFactor, 0)
	if factor == 0 {
		factor = 1
	}
	if over {
		s.stats.OverAdmitted++
		fails = s.settings.ColdMode == ColdFail
	}
	if over && !fails {
		factor *= coldSlowFactor
	}
	ms := s.settings.ServiceMs * (0.5 + s.random.Float64()) * factor
	return now.Add(time.Duration(ms * float64(time.Millisecond))), fails
}

// endRuns completes the requests that are due, in the order of their ends.
func (s *state) endRuns(now time.Time) {
	due := make([]*run, 0, len(s.running))
	s.running = slices.DeleteFunc(s.running, func(r *run) bool {
		over := !now.Before(r.end)
		if over {
			due = append(due, r)
		}
		return over
	})
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b *run) int { return a.end.Compare(b.end) })
	s.reports.load(now, len(s.running))
	for _, r := range due {
		s.finish(now, r)
	}
	s.endReleases(now)
	s.endStops()
}

// finish lets a request take effect, unless a fault or a lost grant prevents it.
func (s *state) finish(now time.Time, r *run) {
	switch {
	case r.fails:
		s.becomeCold(now)
		s.unfinished(now, r, OutcomeFailed, types.NewFault(types.CodeTargetFailed, "failed in cold start"))
	case r.request.late(now):
		s.unfinished(now, r, OutcomeDeadline, types.NewFault(types.CodeDeadlineExceeded, "deadline has passed"))
	case s.fenced(now, r.request) != nil:
		s.unfinished(now, r, OutcomeFenced, s.fenced(now, r.request))
	default:
		s.complete(now, r)
	}
}

// fenced returns a fault when the grant was lost while the request ran, for example because the target was frozen.
func (s *state) fenced(now time.Time, r request) *types.Fault {
	if !s.settings.ChecksGrants {
		return nil
	}
	return s.grants.mayEnd(now, s.settings.Keyed, r)
}

// unfinished answers a request that started and took no effect. It is not a refusal: the request may have been seen.
func (s *state) unfinished(now time.Time, r *run, outcome string, f *types.Fault) {
	s.stats.Failed++
	s.journal.end(now, r.entry, outcome)
	r.reply <- s.stamped(now, answer{fault: f})
}

func (s *state) complete(now time.Time, r *run) {
	s.stats.Completed++
	s.journal.end(now, r.entry, OutcomeCompleted)
	s.answer(now, r.reply, s.stamped(now, answer{status: http.StatusOK, body: s.access(r.request)}))
}

// access applies a request to its key and returns the key's state.
func (s *state) access(r request) KeyState {
	k := s.keys[r.key]
	k.Key = r.key
	if r.writes() {
		k.Counter++
		k.LastWriter = r.id
		s.keys[r.key] = k
	}
	return k
}

// answer replies to a completed request under the faults in force.
func (s *state) answer(now time.Time, reply chan answer, a answer) {
	a.cut = take(&s.faults.CutBodies)
	a.lose = take(&s.faults.LoseAnswers)
	if take(&s.faults.LateAnswers) {
		at := now.Add(time.Duration(s.faults.LateMs) * time.Millisecond)
		s.late = append(s.late, waiting{at: at, answer: a, reply: reply})
		return
	}
	reply <- a
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *state) sendLate(now time.Time) {
	s.late = slices.DeleteFunc(s.late, func(w waiting) bool {
		over := !now.Before(w.at)
		if over {
			w.reply <- w.answer
		}
		return over
	})
}

// cancel ends a request that runs, and refuses one that has not arrived yet.
func (s *state) cancel(now time.Time, id types.RequestID) {
	i := slices.IndexFunc(s.running, func(r *run) bool { return r.request.id == id })
	if i < 0 {
		if len(s.cancelled) < cancelledLimit {
			s.cancelled[id] = true
		}
		return
	}
	r := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.stats.Cancelled++
	s.reports.load(now, len(s.running))
	s.unfinished(now, r, OutcomeCancelled, types.NewFault(types.CodeCancelled, "request was cancelled"))
	s.endReleases(now)
	s.endStops()
}

// endReleases answers the releases under whose grant no request runs any more.
func (s *state) endReleases(now time.Time) {
	s.releases = slices.DeleteFunc(s.releases, func(r releasing) bool {
		over := !slices.ContainsFunc(s.running, func(x *run) bool { return x.request.leaseEpoch <= r.epoch })
		if over {
			r.reply <- ok(s.grants.issue(now))
		}
		return over
	})
}
