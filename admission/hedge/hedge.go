// Package hedge decides whether a request that takes unusually long is sent a second time, to another target. It holds the state of
// one service on one VM: the usual time of its requests, and how many second sends the operator's limit still allows.
//
// It decides by numbers only. Which target gets the copy, and which answer is used, is decided by package admission.
package hedge

import (
	"slices"
	"time"
)

const (
	// remembered is the number of recent answers from which the usual time is taken, minAnswers the least number.
	remembered = 128
	minAnswers = 40
	// usualQuantile is the share of the answers that come within the usual time. With a lower one, second sends would be spent on
	// requests that end soon; a higher one is uncertain with few answers.
	usualQuantile = 0.95
	// usualMargin is the factor above that time from which a request is late: those a little above it end soon by themselves.
	usualMargin = 1.25
	// minUsual keeps requests from being sent twice because of delays of the network or of the VM itself.
	minUsual = 20 * time.Millisecond
	// recentAnswers is the number of answers that show whether the service as a whole is slow, maxLateShare the share of late ones
	// among them, and the requests that are late already, above which it is. A few slow targets get fewer requests than others.
	recentAnswers = 24
	maxLateShare  = 1.0 / 3
	// maxSaved bounds the second sends that are allowed at once after a time without any.
	maxSaved = 10
	// refreshEvery is the number of answers after which the usual time is computed again.
	refreshEvery = 8
)

// Refusal is the reason why a request is not sent a second time. It is also the label of a metric.
type Refusal string

// Refusals. The empty one allows the second send.
const (
	// Limit: the operator's limit is reached.
	Limit Refusal = "limit"
	// RetryBudget: the budget that second sends share with retries is used up.
	RetryBudget Refusal = "retry-budget"
	// Attempts: the route allows no more attempts.
	Attempts Refusal = "attempts"
	// TimeLeft: the copy would not be answered before the deadline.
	TimeLeft Refusal = "time-left"
	// SlowService: many requests of the service take long, so that copies would make it slower.
	SlowService Refusal = "slow-service"
	// NoTarget: no other target has room.
	NoTarget Refusal = "no-target"
	// Load: requests wait that were not sent at all, or few senders are free.
	Load Refusal = "load"
)

// Refusals lists all refusals.
var Refusals = []Refusal{Limit, RetryBudget, Attempts, TimeLeft, SlowService, NoTarget, Load}

// Policy is the state of one service. The zero value never allows a second send.
type Policy struct {
	// share is the share of the requests that may be sent a second time, saved the second sends that it allows now.
	share, saved float64
	// answers holds the last answers, each as the time that it took divided by the reported slowness. next is the index of the
	// oldest.
	answers []float64
	next    int
	// usual is the usual time at slowness 1, fresh the number of answers since it was computed.
	usual time.Duration
	fresh int
}

// New returns the policy of a service of which the given share of the requests may be sent a second time.
func New(share float64) Policy { return Policy{share: share} }

// Enabled reports whether second sends are allowed at all.
func (p *Policy) Enabled() bool { return p.share > 0 }

// AddRequest counts a request. Each allows a part of a second send.
func (p *Policy) AddRequest() { p.saved = min(p.saved+p.share, maxSaved) }

// AddSecondSend counts a second send.
func (p *Policy) AddSecondSend() { p.saved-- }

// AddAnswer records the time that an answer took, and the slowness that its target reported; 0 for an unknown one.
func (p *Policy) AddAnswer(took time.Duration, slowness float64) {
	if !p.Enabled() || took <= 0 {
		return
	}
	relative := float64(took)
	if slowness > 0 {
		relative /= slowness
	}
	if len(p.answers) < remembered {
		p.answers = append(p.answers, relative)
	} else {
		p.answers[p.next] = relative
	}
	p.next = (p.next + 1) % remembered
	if p.fresh++; len(p.answers) >= minAnswers && (p.usual == 0 || p.fresh >= refreshEvery) {
		sorted := slices.Sorted(slices.Values(p.answers))
		p.usual, p.fresh = time.Duration(usualMargin*sorted[int(usualQuantile*float64(len(sorted)-1))]), 0
	}
}

// Usual returns the time within which nearly all requests are answered while the targets of the service report the given slowness,
// and whether enough answers are known.
func (p *Policy) Usual(slowness float64) (time.Duration, bool) {
	if p.usual == 0 {
		return 0, false
	}
	return max(time.Duration(float64(p.usual)*max(slowness, 1)), minUsual), true
}

// Candidate is a request that takes longer than usual, with what the VM knows about its service.
type Candidate struct {
	// Left is the time until its deadline, Expected the time in which the best other target is expected to answer; 0 if there is none.
	Left, Expected time.Duration
	// AttemptsLeft and BudgetLeft tell whether the route and the retry budget allow one more attempt.
	AttemptsLeft, BudgetLeft bool
	// Idle is true if no request waits to be sent for the first time and enough senders are free.
	Idle bool
	// Slowness is what the targets of the service report.
	Slowness float64
	// Late is the number of requests of the service in flight that take longer than usual, this one included.
	Late int
}

// Decide returns why a request must not be sent a second time, or "" if it may be.
func (p *Policy) Decide(c Candidate) Refusal {
	switch {
	case !c.AttemptsLeft:
		return Attempts
	case p.isSlow(c.Slowness, c.Late):
		return SlowService
	case !c.Idle:
		return Load
	case p.saved < 1:
		return Limit
	case !c.BudgetLeft:
		return RetryBudget
	case c.Expected == 0:
		return NoTarget
	case c.Expected >= c.Left:
		return TimeLeft
	}
	return ""
}

// isSlow reports whether the service as a whole is slow: many of the last answers and of the requests in flight are late.
func (p *Policy) isSlow(slowness float64, late int) bool {
	usual, known := p.Usual(slowness)
	if !known {
		return true
	}
	// One late request alone says nothing about the service.
	others := max(late-1, 0)
	total := recentAnswers + others
	for i := range recentAnswers {
		took := p.answers[(p.next-1-i+remembered)%remembered]
		if time.Duration(took*max(slowness, 1)) > usual {
			others++
		}
	}
	return float64(others) > maxLateShare*float64(total)
}
