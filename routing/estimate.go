package routing

import (
	"time"

	"sequoiasail.example/types"
)

// latency is the recent latency of one target.
type latency struct {
	mean float64 // ns
	at   types.Instant
}

const (
	// defaultLatency is assumed for a target without observations.
	defaultLatency = float64(time.Millisecond)
	// latencyGain is the weight of a new observation.
	latencyGain = 0.125
	// latencyHalving is the time after which an unobserved estimate halves, so that a former straggler, which is
	// hardly chosen, is tried again.
	latencyHalving = 2 * time.Second
	// maxHalvings bounds the halving of an unobserved estimate.
	maxHalvings = 10
)

func (l *latency) observe(now types.Instant, d time.Duration) {
	if l.at == 0 {
		l.mean = float64(d)
	} else {
		l.mean += (float64(d) - l.mean) * latencyGain
	}
	l.at = now
}

func (l *latency) estimate(now types.Instant) float64 {
	if l.at == 0 {
		return defaultLatency
	}
	halvings := min(now.Sub(l.at)/latencyHalving, maxHalvings)
	return l.mean/float64(uint64(1)<<max(halvings, 0)) + 1
}

const (
	// hedgeQuantile is the latency quantile after which a second attempt is worth it.
	hedgeQuantile = 0.95
	// quantileGain is the relative step of the quantile estimate.
	quantileGain = 1.0 / 16
	// initialHedgeDelay applies before the first observation.
	initialHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = time.Millisecond
	maxHedgeDelay     = time.Second
)

// quantile tracks a quantile of a stream in constant memory: it rises by a step on a larger value and falls by a
// smaller step otherwise, in the ratio that makes the quantile the point of rest.
type quantile struct {
	q     float64
	value float64 // ns
}

func newQuantile(q float64) quantile { return quantile{q: q, value: float64(initialHedgeDelay)} }

func (q *quantile) observe(d time.Duration) {
	if float64(d) > q.value {
		q.value += q.value * quantileGain * q.q
	} else {
		q.value -= q.value * quantileGain * (1 - q.q)
	}
	q.value = min(max(q.value, float64(minHedgeDelay)), float64(maxHedgeDelay))
}

func (q *quantile) hedgeDelay() time.Duration { return time.Duration(q.value) }

// budgets limits retries and hedges to a share of first attempts.
type budgets struct {
	retryShare, hedgeShare float64
	retries, hedges        float64
}

const (
	// budgetReserve is available before any first attempt, so that a service with little traffic can retry at all.
	budgetReserve = 10
	// budgetMax bounds what an idle or healthy period can save up for one burst.
	budgetMax = 100
)

func (b *budgets) configure(retryShare, hedgeShare float64) {
	if b.retryShare == 0 && b.hedgeShare == 0 {
		b.retries, b.hedges = budgetReserve, budgetReserve
	}
	b.retryShare, b.hedgeShare = retryShare, hedgeShare
}

// first counts a first attempt.
func (b *budgets) first() {
	b.retries = min(b.retries+b.retryShare, budgetMax)
	b.hedges = min(b.hedges+b.hedgeShare, budgetMax)
}

func (b *budgets) retry() bool { return take(&b.retries, b.retryShare) }

func (b *budgets) hedge() bool { return take(&b.hedges, b.hedgeShare) }

func take(tokens *float64, share float64) bool {
	if share <= 0 || *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
