package admission

import "sequoiasail.example/types"

// sends counts the requests that the VMs of this data centre have sent to a target within coldWindow.
type sends struct {
	at []types.Instant
}

func (w *sends) add(now types.Instant, n int) {
	for range n {
		w.at = append(w.at, now)
	}
	if len(w.at) > maxSends {
		w.at = w.at[len(w.at)-maxSends:]
	}
}

// count returns the number of requests within coldWindow before now.
func (w *sends) count(now types.Instant) int {
	for len(w.at) > 0 && now.Sub(w.at[0]) > coldWindow {
		w.at = w.at[1:]
	}
	return len(w.at)
}

// coldAllowance is the number of requests that this VM and the neighbours that it hears may send to a cold target within
// coldWindow. Each data centre has an equal part of what the target bears. Without keys one VM uses all of it. With keys
// each VM has an equal part: what silent neighbours send is not known.
func (c *Core) coldAllowance(now types.Instant, s *service) int {
	bound := s.MaxColdRate*c.settings.ColdOvershoot + c.settings.ColdSlack
	part := coldShare * bound / float64(max(c.settings.DataCentres, 1))
	if !s.Keyed {
		return max(1, int(part))
	}
	heard := 1
	for _, vm := range c.neighbours {
		if p, ok := c.peers[vm]; ok && now.Sub(p.at) <= heardLife {
			heard++
		}
	}
	return max(1, int(part*float64(heard)/float64(len(c.neighbours)+1)))
}

// warms reports whether this VM is the one of its data centre that sends requests to a cold target without keys. An idle
// target attracts all VMs at the same moment, before they hear of each other's requests.
func (c *Core) warms(t *target) bool {
	own := types.RendezvousScore(string(t.Target), c.settings.VM)
	for _, vm := range c.neighbours {
		if types.RendezvousScore(string(t.Target), string(vm)) > own {
			return false
		}
	}
	return true
}

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
