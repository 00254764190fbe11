package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// reconnectBase is the delay after the first failure, five times the time to connect (1 ms).
	reconnectBase = 5 * time.Millisecond
	// reconnectMax keeps the delay after a target's return below the 3 s in which a key must be served again.
	reconnectMax = 500 * time.Millisecond
	// retryBase and retryMax bound the delay before a request is sent again.
	retryBase = 2 * time.Millisecond
	retryMax  = 250 * time.Millisecond
)

// backoff delays reconnecting to a failing target, exponentially and with jitter.
type backoff struct {
	failures int           // since the last answer or refusal
	until    types.Instant // end of the delay
}

// fail counts a failure and sets the delay. Failures before the end of the delay count as the same one, so the delay
// does not depend on the number of connections that broke at once.
func (b *backoff) fail(now types.Instant, random Random) {
	if b.failing() && now.Before(b.until) {
		return
	}
	b.failures++
	b.until = now.Add(jittered(reconnectBase, reconnectMax, b.failures, random))
}

func (b *backoff) succeed() { *b = backoff{} }

func (b *backoff) failing() bool { return b.failures > 0 }

// jittered returns a random delay between half and all of base doubled n-1 times, at most limit.
func jittered(base, limit time.Duration, n int, random Random) time.Duration {
	d := limit
	if shift := max(n-1, 0); shift < 20 {
		d = min(base<<shift, limit)
	}
	half := d / 2
	return half + time.Duration(random.Uint64()%uint64(half+1))
}

const (
	// budgetBurst is the initial number of tokens: the retries allowed before any first attempt.
	budgetBurst = 3
	// budgetMax bounds the tokens, so that retries can't accumulate over a long time without failures.
	budgetMax = 10
)

// retryBudget is a token bucket that limits retries to a share of the first attempts.
type retryBudget struct {
	share  float64 // tokens earned by each first attempt
	tokens float64 // a retry costs one
}

func newRetryBudget(share float64) retryBudget { return retryBudget{share: share, tokens: budgetBurst} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, budgetMax) }

func (b *retryBudget) spend() bool {
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
