package keyspace

import "time"

// Settings are the times and limits of a Core.
type Settings struct {
	// Hold is the time to live of a grant, counted by the target from the arrival of the call.
	Hold time.Duration
	// RenewEvery is how often a grant is renewed.
	RenewEvery time.Duration
	// CallTimeout bounds one call to a target.
	CallTimeout time.Duration
	// Term is the longest validity of a keeper that is gone without notice.
	Term time.Duration
	// Settle is how long a keeper without a table waits for registrations before it creates one.
	Settle time.Duration
	// RangesPerTarget is the number of ranges for each target in a new table. More ranges spread busy neighbouring keys
	// over more targets and cost more renewals.
	RangesPerTarget int
}

// Limits of a Core that follow from the calls to targets and are not settings.
const (
	// clockDrift is how much slower a target's clock may run, as a share.
	clockDrift = 0.02
	// holdMargin covers the granularity of timers at both ends.
	holdMargin = 200 * time.Millisecond
	// batchCalls bounds the calls in one batch, so that an urgent grant waits for few round trips.
	batchCalls = 6
	// maxMoves bounds the ranges that are being moved for balance at once.
	maxMoves = 8
	// maxRanges bounds the size of a table: each range costs a renewal.
	maxRanges = 1500
	// planInterval is how often the load is compared.
	planInterval = 250 * time.Millisecond
	// loadWindow is the time over which requests for a key are averaged.
	loadWindow = 2 * time.Second
	// moveRest is how long a range stays where it was moved to.
	moveRest = 1500 * time.Millisecond
	// imbalance is the load of the busiest target, relative to the mean, above which a range moves.
	imbalance = 1.25
	// minRate is the load of a slot in requests a second below which balance does not matter.
	minRate = 1.0
)

// Defaults returns the settings for targets that hold a grant for at most maxHold.
func Defaults(maxHold time.Duration) Settings {
	return Settings{
		Hold:            maxHold,
		RenewEvery:      maxHold * 2 / 5,
		CallTimeout:     time.Second,
		Term:            3 * time.Second,
		Settle:          1500 * time.Millisecond,
		RangesPerTarget: 24,
	}
}

// holdBound is the longest time after the sending of a grant for which its target may hold the keys.
func (s Settings) holdBound() time.Duration {
	return s.CallTimeout + time.Duration(float64(s.Hold)*(1+clockDrift)) + holdMargin
}

// retryCall is how long a call to a target waits after one that failed.
const retryCall = 300 * time.Millisecond
