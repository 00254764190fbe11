package admission

import (
	"math"

	"sequoiasail.example/types"
)

// sendWindow holds the times of the requests sent to a target within coldWindow.
type sendWindow struct {
	sentAt []types.Instant
}

// add records n requests. It keeps at most maxTrackedSends of them, however large n is: n may come from a report.
func (w *sendWindow) add(now types.Instant, n int) {
	for range min(n, maxTrackedSends) {
		w.sentAt = append(w.sentAt, now)
	}
	if len(w.sentAt) > maxTrackedSends {
		w.sentAt = w.sentAt[len(w.sentAt)-maxTrackedSends:]
	}
}

// count returns the number of requests sent within coldWindow before now.
func (w *sendWindow) count(now types.Instant) int {
	for len(w.sentAt) > 0 && now.Sub(w.sentAt[0]) > coldWindow {
		w.sentAt = w.sentAt[1:]
	}
	return len(w.sentAt)
}

// coldAllowance is the number of requests that this VM and the neighbours with a current report may send to a cold
// target within coldWindow. Each data centre gets an equal part of what the target tolerates. At a service without
// keys, one VM uses that part alone. At a keyed service, each VM gets an equal share of it, and the shares of silent
// neighbours are left to them, because their requests are not counted here.
func (c *Core) coldAllowance(now types.Instant, s *service) int {
	bound := s.MaxColdRate*c.settings.ColdOvershoot + c.settings.ColdSlack
	part := coldBudgetShare * bound / float64(max(c.settings.DataCentres, 1))
	if !s.Keyed {
		return max(1, int(part))
	}
	active := c.neighbours.reporting(now) + 1
	return max(1, int(part*float64(active)/float64(len(c.neighbours.living)+1)))
}

// isColdTurn reports whether a request for a cold owner of keys is among those that the data centre may send now. It first waits
// until the VMs know of each other's waiting requests; those of the VM with the highest score go first. Otherwise all VMs would
// send at the same moment, each as many as the data centre may.
func (c *Core) isColdTurn(now types.Instant, req *request, t *target) bool {
	if !now.Before(t.ColdUntil) || len(c.neighbours.living) == 0 {
		return true
	}
	if now.Sub(req.arrived) < c.reportInterval+reportTransit {
		return false
	}
	left := c.coldAllowance(now, req.service) - t.dataCentreSends.count(now)
	own := types.RendezvousScore(string(t.Target), c.settings.VM)
	for vm, p := range c.peerRequests {
		if p.waiting[t.Target] > 0 && types.RendezvousScore(string(t.Target), string(vm)) > own {
			left -= p.waiting[t.Target]
		}
	}
	return left > 0
}

// isWarmingVM reports whether this VM is the one of its data centre that sends requests to a cold target of a service
// without keys. Otherwise all VMs would choose the idle target at the same moment, before they learn of each other's
// requests.
func (c *Core) isWarmingVM(t *target) bool {
	own := types.RendezvousScore(string(t.Target), c.settings.VM)
	for _, vm := range c.neighbours.living {
		if types.RendezvousScore(string(t.Target), string(vm)) > own {
			return false
		}
	}
	return true
}

// retryBudget limits the retries of one service on this VM.
type retryBudget struct {
	settings Settings
	// requests and retries are counted in buckets of the retry window; bucketStart is the start of the current one.
	requests    [budgetBuckets]int
	retries     [budgetBuckets]int
	bucket      int
	bucketStart types.Instant
}

// budgetBuckets is the number of buckets in the retry window.
const budgetBuckets = 10

func newRetryBudget(s Settings) retryBudget { return retryBudget{settings: s} }

// advance makes the bucket of now the current one and clears the buckets in between.
func (b *retryBudget) advance(now types.Instant) {
	width := b.settings.RetryWindow / budgetBuckets
	if now.Sub(b.bucketStart) > 2*b.settings.RetryWindow {
		*b = retryBudget{settings: b.settings, bucketStart: now}
	}
	for !now.Before(b.bucketStart.Add(width)) {
		b.bucketStart = b.bucketStart.Add(width)
		b.bucket = (b.bucket + 1) % budgetBuckets
		b.requests[b.bucket], b.retries[b.bucket] = 0, 0
	}
}

func (b *retryBudget) addRequest(now types.Instant) {
	b.advance(now)
	b.requests[b.bucket]++
}

func (b *retryBudget) addRetry(now types.Instant) {
	b.advance(now)
	b.retries[b.bucket]++
}

// allows reports whether one more retry stays within this VM's share of the budget.
func (b *retryBudget) allows(now types.Instant, fleetSize int) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	limit := b.settings.RetryRatio*float64(requests) + b.settings.RetrySlack/float64(max(fleetSize, 1))
	return float64(retries+1) <= retryBudgetShare*limit
}

// rateMeter measures a rate as an exponential average over rateWindow.
type rateMeter struct {
	value float64
	at    types.Instant
}

// add records n events.
func (m *rateMeter) add(now types.Instant, n int) {
	m.value, m.at = m.perSecond(now)+float64(n)/rateWindow.Seconds(), now
}

// perSecond returns the rate.
func (m *rateMeter) perSecond(now types.Instant) float64 {
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/rateWindow.Seconds())
}
