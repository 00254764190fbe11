package ownership

import (
	"math"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// never is earlier than every instant that a clock returns.
const never = types.Instant(math.MinInt64 / 2)

// forever is later than every instant that a clock returns.
const forever = types.Instant(math.MaxInt64 / 2)

// writeTimeout is how long the core waits for the result of a write before it reads back. It only matters when the
// front end loses a result.
const writeTimeout = 2 * time.Second

// rebalanceAfter is how long a dispatcher must be live before leases move to it for balance. A VM that restarts again
// and again would otherwise interrupt its targets each time.
const rebalanceAfter = 10 * time.Second

// timing holds the durations of config.Ownership and what follows from them.
type timing struct {
	permit    time.Duration
	grant     time.Duration
	margin    time.Duration
	suspicion time.Duration
	// renewEvery leaves time for two more attempts before a grant expires: a renewal extends by grant minus the age
	// of its token, which is renewEvery.
	renewEvery time.Duration
	// retryEvery is the pause after a failed call or an unanswered question.
	retryEvery time.Duration
	// confirmEvery allows one lost question within the permit.
	confirmEvery time.Duration
	// callTimeout ends the wait for a target's answer.
	callTimeout time.Duration
}

func newTiming(o config.Ownership) timing {
	t := timing{
		permit:    milliseconds(o.PermitMs),
		grant:     milliseconds(o.GrantMs),
		margin:    milliseconds(o.MarginMs),
		suspicion: milliseconds(o.SuspicionMs),
	}
	t.renewEvery = t.grant * 2 / 7
	t.retryEvery = t.grant / 14
	t.confirmEvery = t.permit * 2 / 5
	t.callTimeout = t.grant / 5
	return t
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// dispatcherWait is the time from the acknowledged revocation until the old dispatcher has stopped.
func (t timing) dispatcherWait() time.Duration { return t.permit + t.margin }

// targetWait is the time from the acknowledged revocation until the target's last grant has ended.
func (t timing) targetWait() time.Duration { return t.permit + t.grant + t.margin }

// grantEnd is the latest end of a grant whose token arrived at received.
func (t timing) grantEnd(received types.Instant) types.Instant {
	return received.Add(t.grant + t.margin)
}

// later returns the later of two instants.
func later(a, b types.Instant) types.Instant { return max(a, b) }
