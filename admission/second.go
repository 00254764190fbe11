package admission

import (
	"slices"
	"time"

	"sequoiasail.example/admission/hedge"
	"sequoiasail.example/types"
)

// SecondSendRefused explains why a request that takes unusually long is not sent a second time. It comes at most once for each
// request.
type SecondSendRefused struct {
	ID     LocalRequestID
	Reason hedge.Refusal
}

func (SecondSendRefused) action() {}

const (
	// secondDepthShare is the share of its slots that a target may have in use, the copy included, to get a second send.
	secondDepthShare = 0.75
	// reviewInterval is the time between two reviews of a request in flight that takes unusually long.
	reviewInterval = 25 * time.Millisecond
)

// reviewsFlights reports whether requests in flight are reviewed at all.
func (c *Core) reviewsFlights() bool {
	return c.settings.SecondSendLimit > 0 || c.settings.GiveUpSilent
}

// soleFlight returns the attempt of a request that could be joined or replaced by one at another target, nil if there is none.
func (req *request) soleFlight() *flight {
	if req.finished || req.callerLeft || req.waiting || len(req.inFlight) != 1 || req.inFlight[0].abandoned || !req.route.Idempotent ||
		req.service.Keyed {
		return nil
	}
	return &req.inFlight[0]
}

// reviewFlights sends requests that take unusually long a second time, and gives up those without a sign of life.
func (c *Core) reviewFlights(now types.Instant) {
	if !c.reviewsFlights() {
		return
	}
	for _, s := range c.services {
		if s.open > 0 {
			s.slowness = s.reportedSlowness(now)
		}
	}
	var list []*request
	late := make(map[*service]int)
	for _, req := range c.requests {
		f := req.soleFlight()
		if f == nil {
			continue
		}
		if usual, known := req.service.hedge.Usual(req.service.slowness); known && now.Sub(f.sentAt) > usual {
			late[req.service]++
		}
		if !now.Before(f.reviewAt) {
			list = append(list, req)
		}
	}
	slices.SortFunc(list, compareUrgency)
	for _, req := range list {
		f := req.soleFlight()
		f.reviewAt = now.Add(reviewInterval)
		if !c.sendSecond(now, req, late[req.service]) && c.settings.GiveUpSilent {
			c.giveUpSilent(now, req)
		}
	}
}

// sendSecond sends a request to another target as well if it takes unusually long and the policy allows it. It returns whether it
// did so.
func (c *Core) sendSecond(now types.Instant, req *request, late int) bool {
	s, f := req.service, req.soleFlight()
	if !s.hedge.Enabled() {
		return false
	}
	usual, known := s.hedge.Usual(s.slowness)
	if !known || now.Sub(f.sentAt) <= usual {
		return false
	}
	t, expected := c.chooseOther(now, req, secondDepthShare)
	refusal := s.hedge.Decide(hedge.Candidate{
		Left: req.deadline.Add(-minSendTime).Sub(now), Expected: expected,
		AttemptsLeft: req.attempts < req.route.MaxAttempts && c.mayStart(now, req),
		BudgetLeft:   s.retryBudget.allows(now, c.fleetSize()),
		Idle:         len(s.waiting) == 0 && c.senders.Spare(),
		Slowness:     s.slowness, Late: late,
	})
	if refusal != "" {
		if !req.refusedSecond {
			req.refusedSecond = true
			c.actions = append(c.actions, SecondSendRefused{ID: req.id, Reason: refusal})
		}
		return false
	}
	s.hedge.AddSecondSend()
	c.sendAs(now, req, t, true)
	return true
}

// giveUpSilent ends an attempt without a sign of life and sends its request to another target, if it may be retried there.
func (c *Core) giveUpSilent(now types.Instant, req *request) {
	f := req.soleFlight()
	t := f.target
	silence := hedge.Silence{
		Age: now.Sub(f.sentAt), Expected: f.expected, Left: req.deadline.Sub(now), Typical: req.service.typicalDuration(),
		TargetSilent: !f.sentAt.Before(t.heardAt), Overtaken: f.overtaken, Slots: t.Slots,
	}
	if !silence.IsSilent() || !c.mayRetry(now, req, true) || !c.senders.Allows(req.service.Name) {
		return
	}
	other, expected := c.chooseOther(now, req, 1)
	if other == nil || expected >= req.deadline.Add(-minSendTime).Sub(now) {
		return
	}
	f.abandoned, req.mayHaveRun = true, true
	c.actions = append(c.actions,
		Abort{ID: req.id, Attempt: f.attempt}, Note{ID: req.id, Target: t.Target, Reason: "no sign of life, send again"})
	c.send(now, req, other)
}

// chooseOther returns the target that is expected to answer a further attempt first, with that time. Cold targets, leaving ones and
// those with more than the given share of their slots in use are left out; nil if there is no other.
func (c *Core) chooseOther(now types.Instant, req *request, depthShare float64) (*target, time.Duration) {
	c.estimates = c.estimates[:0]
	for _, t := range req.service.targets {
		if t.leavingSince != 0 || now.Before(t.unreachable) || now.Before(t.ColdUntil) || slices.Contains(req.tried, t.Target) ||
			!c.hasRoom(now, t, t.Slots) || t.load(now)+1 > max(1, depthShare*float64(t.Slots)) {
			continue
		}
		c.estimates = append(c.estimates, estimate{target: t, time: max(t.expectedTime(now)+c.remotePenalty(t), 1)})
	}
	if len(c.estimates) == 0 {
		return nil, 0
	}
	t := c.drawEstimate(now, req.service)
	return t, max(t.expectedTime(now)+c.remotePenalty(t), 1)
}

// reportedSlowness is the median of the slowness that the targets of the service have reported within slownessTTL, 1 without a
// report.
func (s *service) reportedSlowness(now types.Instant) float64 {
	var reported []float64
	for _, t := range s.targets {
		if t.slowness > 0 && now.Before(t.slownessAt.Add(slownessTTL)) {
			reported = append(reported, t.slowness)
		}
	}
	if len(reported) == 0 {
		return 1
	}
	slices.Sort(reported)
	return reported[len(reported)/2]
}

// noteSample records an observation of a target for the review of requests in flight. answered is true if it comes from an answer of
// the target, sentAt is when its request was sent, 0 for one of another VM.
func (c *Core) noteSample(now types.Instant, t *target, s Sample, answered bool, sentAt types.Instant) {
	if !c.reviewsFlights() {
		return
	}
	if service := c.services[t.Service]; service != nil && !service.Keyed {
		service.hedge.AddAnswer(s.ResponseTime, s.Slowness)
	}
	if !answered {
		return
	}
	t.heardAt = now
	if sentAt == 0 || !c.settings.GiveUpSilent {
		return
	}
	for _, req := range c.requests {
		for i := range req.inFlight {
			if f := &req.inFlight[i]; f.target == t && f.sentAt.Before(sentAt) {
				f.overtaken++
			}
		}
	}
}

// nextReview returns the time until the next review of a request, and whether there is one.
func (c *Core) nextReview(now types.Instant, req *request) (time.Duration, bool) {
	if !c.reviewsFlights() {
		return 0, false
	}
	f := req.soleFlight()
	if f == nil {
		return 0, false
	}
	usual, known := req.service.hedge.Usual(1)
	if silence := hedge.MinSilence(f.expected); c.settings.GiveUpSilent && (!known || silence < usual) {
		usual, known = silence, true
	}
	return max(f.sentAt.Add(usual), f.reviewAt).Sub(now), known
}

// joinOther applies the end of an attempt while the request has another one in flight. The first complete answer that is no failure
// is used; a failure waits for the other attempt.
func (c *Core) joinOther(req *request, f flight, m AttemptFinished) {
	switch {
	case m.Result != ResultAnswered:
	case !m.Failed:
		c.reply(req, f, m.Answer)
	default:
		req.failedAnswer = m.Answer
	}
}

// reply ends a request with an answer. The other attempts are ended.
func (c *Core) reply(req *request, f flight, answer any) {
	c.abortFlights(req)
	c.finish(req, Reply{ID: req.id, Answer: answer, Second: f.second})
}
