package target

import (
	"net/http"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// coldSlowFactor multiplies the run time of requests above the capacity of a cold target, in ColdSlow mode.
const coldSlowFactor = 10

// run is a request that has started. It takes effect when it ends.
type run struct {
	request         request
	end             time.Time
	failsAtEnd      bool // started above the capacity of a cold target
	journalPosition int  // noEntry if not recorded
	reply           chan answer
}

// startRequest starts a request or refuses it.
func (s *state) startRequest(now time.Time, r request, reply chan answer) {
	if f := s.refusal(now, r); f != nil {
		s.stats.Refused++
		reply <- s.withReports(now, answer{fault: f, notRun: true})
		return
	}
	s.stats.Started++
	s.countViolation(now, r)
	journalPosition := s.journal.startRequest(now, r)
	run := &run{request: r, journalPosition: journalPosition, reply: reply}
	run.end, run.failsAtEnd = s.schedule(now)
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
	case r.pastDeadline(now):
		return types.NewFault(types.CodeDeadlineExceeded, "deadline has passed")
	}
	if f := s.grantState.checkStart(now, s.settings.Keyed, r); f != nil && s.settings.ChecksGrants {
		return f
	}
	if s.faults.Overloaded || len(s.running) >= s.settings.Slots {
		return types.NewFault(types.CodeOverloaded, "%d requests are running", len(s.running))
	}
	return nil
}

// countViolation counts a request that a target which checks grants would have refused. If the target never got a grant,
// only the lease epochs of earlier requests are compared.
func (s *state) countViolation(now time.Time, r request) {
	refused := s.grantState.highestEpoch > 0 && s.grantState.checkStart(now, s.settings.Keyed, r) != nil
	if refused || r.leaseEpoch < s.highestRunEpoch {
		s.stats.GrantViolations++
	}
	s.highestRunEpoch = max(s.highestRunEpoch, r.leaseEpoch)
}

// schedule returns when a request that starts now ends, and whether it fails then.
func (s *state) schedule(now time.Time) (end time.Time, fails bool) {
	overCapacity := len(s.running) >= s.capacity(now)
	factor := max(s.faults.SlowFactor, 0)
	if factor == 0 {
		factor = 1
	}
	if overCapacity {
		s.stats.OverAdmitted++
		fails = s.settings.ColdMode == ColdFail
	}
	if overCapacity && !fails {
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
		s.finishRun(now, r)
	}
	s.endReleases(now)
	s.endStops()
}

// finishRun completes a request, or fails it because of a cold start, its deadline or a lost grant.
func (s *state) finishRun(now time.Time, r *run) {
	switch {
	case r.failsAtEnd:
		s.becomeCold(now)
		s.failRun(now, r, OutcomeFailed, types.NewFault(types.CodeTargetFailed, "request failed during the warm-up"))
	case r.request.pastDeadline(now):
		s.failRun(now, r, OutcomeDeadline, types.NewFault(types.CodeDeadlineExceeded, "deadline has passed"))
	case s.grantFault(now, r.request) != nil:
		s.failRun(now, r, OutcomeFenced, s.grantFault(now, r.request))
	default:
		s.complete(now, r)
	}
}

// grantFault returns a fault if the grant was lost while the request ran, for example because the target was frozen.
func (s *state) grantFault(now time.Time, r request) *types.Fault {
	if !s.settings.ChecksGrants {
		return nil
	}
	return s.grantState.checkCompletion(now, s.settings.Keyed, r)
}

// failRun answers a request that started but took no effect. The answer is not a refusal, because the request did start.
func (s *state) failRun(now time.Time, r *run, outcome string, f *types.Fault) {
	s.stats.Failed++
	s.journal.end(now, r.journalPosition, outcome)
	r.reply <- s.withReports(now, answer{fault: f})
}

func (s *state) complete(now time.Time, r *run) {
	s.stats.Completed++
	s.journal.end(now, r.journalPosition, OutcomeCompleted)
	s.answer(now, r.reply, s.withReports(now, answer{status: http.StatusOK, body: s.access(r.request)}))
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

// answer answers a completed request, subject to the current faults.
func (s *state) answer(now time.Time, reply chan answer, a answer) {
	a.cut = consume(&s.faults.CutBodies)
	a.lose = consume(&s.faults.LoseAnswers)
	if consume(&s.faults.LateAnswers) {
		at := now.Add(time.Duration(s.faults.LateMs) * time.Millisecond)
		s.delayedAnswers = append(s.delayedAnswers, delayedAnswer{at: at, answer: a, reply: reply})
		return
	}
	reply <- a
}

// consume decrements a counter and reports whether it was above zero.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *state) sendDelayedAnswers(now time.Time) {
	s.delayedAnswers = slices.DeleteFunc(s.delayedAnswers, func(w delayedAnswer) bool {
		over := !now.Before(w.at)
		if over {
			w.reply <- w.answer
		}
		return over
	})
}

// cancel ends a running request. A request that has not arrived yet is remembered and refused on arrival.
func (s *state) cancel(now time.Time, id types.RequestID) {
	i := slices.IndexFunc(s.running, func(r *run) bool { return r.request.id == id })
	if i < 0 {
		if len(s.cancelled) < maxCancelled {
			s.cancelled[id] = true
		}
		return
	}
	r := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.stats.Cancelled++
	s.reports.load(now, len(s.running))
	s.failRun(now, r, OutcomeCancelled, types.NewFault(types.CodeCancelled, "request was cancelled"))
	s.endReleases(now)
	s.endStops()
}

// endReleases answers the releases for which no request of their lease epoch or an earlier one runs any more.
func (s *state) endReleases(now time.Time) {
	s.pendingReleases = slices.DeleteFunc(s.pendingReleases, func(r pendingRelease) bool {
		over := !slices.ContainsFunc(s.running, func(x *run) bool { return x.request.leaseEpoch <= r.epoch })
		if over {
			r.reply <- ok(s.grantState.issueToken(now))
		}
		return over
	})
}
