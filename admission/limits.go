package admission

import (
	"time"

	"sequoiasail.example/types"
)

// coldLimit spaces the requests of this VM to a cold target.
type coldLimit struct {
	// rate is the number of requests a second that the target tolerates from all VMs.
	rate float64
	next types.Instant
	// share is this VM's part of the rate, from 0 to 1.
	share float64
}

func (l *coldLimit) take(now types.Instant) {
	if l.rate <= 0 || l.share <= 0 {
		return
	}
	l.next = now.Add(time.Duration(float64(time.Second) / (l.rate * l.share * coldShare)))
}

func (l *coldLimit) allows(now types.Instant) bool { return l.share > 0 && !now.Before(l.next) }

// budget bounds the attempts after the first of one service on this VM.
type budget struct {
	settings Settings
	// requests and repeats are counted in parts of the window; at is the start of the part in use.
	requests [budgetParts]int
	repeats  [budgetParts]int
	part     int
	at       types.Instant
}

// budgetParts divides the retry window.
const budgetParts = 10

func newBudget(s Settings) budget { return budget{settings: s} }

func (b *budget) turn(now types.Instant) {
	width := b.settings.RetryWindow / budgetParts
	if now.Sub(b.at) > 2*b.settings.RetryWindow {
		*b = budget{settings: b.settings, at: now}
	}
	for !now.Before(b.at.Add(width)) {
		b.at = b.at.Add(width)
		b.part = (b.part + 1) % budgetParts
		b.requests[b.part], b.repeats[b.part] = 0, 0
	}
}

func (b *budget) request(now types.Instant) {
	b.turn(now)
	b.requests[b.part]++
}

func (b *budget) repeat(now types.Instant) {
	b.turn(now)
	b.repeats[b.part]++
}

// allows reports whether one more attempt stays within this VM's share of the budget.
func (b *budget) allows(now types.Instant, fleet int) bool {
	b.turn(now)
	requests, repeats := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	limit := b.settings.RetryRatio*float64(requests) + b.settings.RetrySlack/float64(max(fleet, 1))
	return float64(repeats+1) <= budgetShare*limit
}
