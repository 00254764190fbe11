package routing

import (
	"time"

	"sequoiasail.example/types"
)

// latency is an exponentially weighted mean of one target's latency.
type latency struct {
	mean      float64       // ns
	updatedAt types.Instant // 0 before the first observation
}

const (
	// defaultLatency is assumed for a target without observations.
	defaultLatency = float64(time.Millisecond)
	// latencyGain is the weight of a new observation.
	latencyGain = 0.125
	// latencyHalving is the time in which an estimate without new observations halves, so that a target that was slow
	// and is rarely chosen is tried again.
	latencyHalving = 2 * time.Second
	// maxHalvings bounds the halvings of an estimate without new observations.
	maxHalvings = 10
)

func (l *latency) observe(now types.Instant, d time.Duration) {
	if l.updatedAt == 0 {
		l.mean = float64(d)
	} else {
		l.mean += (float64(d) - l.mean) * latencyGain
	}
	l.updatedAt = now
}

// estimate returns the mean in nanoseconds, halved for each latencyHalving without observations.
func (l *latency) estimate(now types.Instant) float64 {
	if l.updatedAt == 0 {
		return defaultLatency
	}
	halvings := min(now.Sub(l.updatedAt)/latencyHalving, maxHalvings)
	return l.mean/float64(uint64(1)<<max(halvings, 0)) + 1
}

const (
	// hedgeQuantile is the latency quantile after which a second attempt starts.
	hedgeQuantile = 0.95
	// quantileGain is the relative step of the quantile estimate.
	quantileGain = 1.0 / 16
	// initialHedgeDelay applies before the first observation.
	initialHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = time.Millisecond
	maxHedgeDelay     = time.Second
)

// quantileEstimate tracks a quantile of a stream in constant memory: the estimate rises by a step on a larger value and
// falls by a smaller step otherwise. The ratio of the steps makes it converge to the quantile q.
type quantileEstimate struct {
	q     float64 // the quantile, from 0 to 1
	value float64 // ns
}

func newQuantileEstimate(q float64) quantileEstimate {
	return quantileEstimate{q: q, value: float64(initialHedgeDelay)}
}

func (q *quantileEstimate) observe(d time.Duration) {
	if float64(d) > q.value {
		q.value += q.value * quantileGain * q.q
	} else {
		q.value -= q.value * quantileGain * (1 - q.q)
	}
	q.value = min(max(q.value, float64(minHedgeDelay)), float64(maxHedgeDelay))
}

func (q *quantileEstimate) hedgeDelay() time.Duration { return time.Duration(q.value) }

// budgets holds two token buckets that limit retries and hedges to a share of first attempts.
type budgets struct {
	retryShare, hedgeShare float64
	retries, hedges        float64 // tokens left
}

const (
	// initialBudget is available before any first attempt, so that a service with little traffic can retry.
	initialBudget = 10
	// maxBudget bounds the tokens that collect without failures, and so the size of a burst of retries.
	maxBudget = 100
)

// configure sets the shares. While both were 0, as at first, it also fills the buckets with initialBudget.
func (b *budgets) configure(retryShare, hedgeShare float64) {
	if b.retryShare == 0 && b.hedgeShare == 0 {
		b.retries, b.hedges = initialBudget, initialBudget
	}
	b.retryShare, b.hedgeShare = retryShare, hedgeShare
}

// addFirstAttempt adds the tokens that one first attempt earns.
func (b *budgets) addFirstAttempt() {
	b.retries = min(b.retries+b.retryShare, maxBudget)
	b.hedges = min(b.hedges+b.hedgeShare, maxBudget)
}

// retry takes one retry from the budget. It returns false if none is left.
func (b *budgets) retry() bool { return takeToken(&b.retries, b.retryShare) }

// hedge takes one hedge from the budget. It returns false if none is left.
func (b *budgets) hedge() bool { return takeToken(&b.hedges, b.hedgeShare) }

// takeToken removes one token. It returns false if there is none or the share is 0.
func takeToken(tokens *float64, share float64) bool {
	if share <= 0 || *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
