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

// writeTimeout is how long the core waits for the result of a write before it reads the document back. It only matters
// when the program that runs the core loses a result.
const writeTimeout = 2 * time.Second

// rebalanceAfter is how long a dispatcher must be live before leases move to it for balance. Otherwise a VM that
// restarts repeatedly would interrupt its targets at each restart.
const rebalanceAfter = 10 * time.Second

// timing holds the durations of config.Ownership and those derived from them.
type timing struct {
	permit           time.Duration
	grant            time.Duration
	margin           time.Duration
	suspicionTimeout time.Duration
	// renewEvery is the interval between renewals. It leaves time for two more attempts before a grant expires: a
	// renewal extends by grant minus the age of its token, which is renewEvery.
	renewEvery time.Duration
	// retryEvery is the pause after a failed call or an unanswered confirmation request.
	retryEvery time.Duration
	// confirmEvery is the interval between confirmation requests. It allows one lost request within the permit.
	confirmEvery time.Duration
	// callTimeout is how long a call waits for the answer of a target.
	callTimeout time.Duration
}

func newTiming(o config.Ownership) timing {
	t := timing{
		permit:           milliseconds(o.PermitMs),
		grant:            milliseconds(o.GrantMs),
		margin:           milliseconds(o.MarginMs),
		suspicionTimeout: milliseconds(o.SuspicionMs),
	}
	t.renewEvery = t.grant * 2 / 7
	t.retryEvery = t.grant / 14
	t.confirmEvery = t.permit * 2 / 5
	t.callTimeout = t.grant / 5
	return t
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// dispatcherWait is the time from the acknowledged revocation until the former dispatcher must have stopped.
func (t timing) dispatcherWait() time.Duration { return t.permit + t.margin }

// targetWait is the time from the acknowledged revocation until the last grant of the target must have expired.
func (t timing) targetWait() time.Duration { return t.permit + t.grant + t.margin }

// grantEnd returns the latest possible expiry of a grant whose token arrived at received.
func (t timing) grantEnd(received types.Instant) types.Instant {
	return received.Add(t.grant + t.margin)
}

// later returns the later of two instants.
func later(a, b types.Instant) types.Instant { return max(a, b) }
