package keyspace

import "time"

// Settings are the times and limits of a Core.
type Settings struct {
	// Hold is the time to live of a grant, counted by the target from the arrival of the call. Keys of a target that is lost
	// without a sign wait for its end. What is left of it when a keeper is lost, Hold less RenewEvery, should exceed Term.
	Hold time.Duration
	// LongHold is used instead of Hold while the store or the keeper's lease is in trouble.
	LongHold time.Duration
	// RenewEvery is how often a grant is renewed.
	RenewEvery time.Duration
	// CallTimeout bounds a grant or a probe. Until it has passed, a grant without an answer may still arrive.
	CallTimeout time.Duration
	// ReleaseTimeout bounds a release, which is answered when the work on the keys has ended.
	ReleaseTimeout time.Duration
	// Term is the longest validity of a keeper that is gone without notice.
	Term time.Duration
	// Settle is how long no target must have been added before a keeper without a table creates one, at most SettleLimit.
	Settle      time.Duration
	SettleLimit time.Duration
	// RangesPerTarget is the number of ranges for each target in a new table, MostRanges the number for all. More ranges
	// spread busy neighbouring keys over more targets and cost more renewals.
	RangesPerTarget int
	MostRanges      int
}

// Limits of a Core that follow from the calls to targets and are not settings.
const (
	// clockDrift is how much slower a target's clock may run, as a share.
	clockDrift = 0.02
	// holdMargin covers the granularity of timers at both ends.
	holdMargin = 200 * time.Millisecond
	// batchCalls bounds the calls in one batch, so that an urgent grant waits for few round trips.
	batchCalls = 4
	// maxMoves bounds the ranges that are being moved for balance at once, on a large fleet movesShare of the targets.
	maxMoves   = 24
	movesShare = 0.4
	// maxRanges bounds the size of a table: each range costs a renewal.
	maxRanges = 1500
	// planInterval is how often the load is compared.
	planInterval = 250 * time.Millisecond
	// loadWindow is the time over which requests for a key are averaged.
	loadWindow = 2 * time.Second
	// surgeWindow is the time over which a sudden change is measured. A range surges when its rate over this time is above
	// surgeFactor times its average plus surgeRate, in requests a second, which chance hardly reaches.
	surgeWindow = 500 * time.Millisecond
	surgeFactor = 1.3
	surgeRate   = 5.0
	// fullBusy is the busy share of its slots up to which a target takes keys that are moved for balance.
	fullBusy = 0.6
	// fewestParts is the number of parts into which a target's load may be split on a small fleet, however full the others
	// are; on a large one it is a quarter of the targets. Each range costs renewals.
	fewestParts = 6
	// moveRest is how long a range stays where it was moved to.
	moveRest = 1500 * time.Millisecond
	// balanceInterval spaces the moves for balance, because each group of them costs a write to the store.
	balanceInterval = 500 * time.Millisecond
	// costGap is the difference of costs below which no range moves; an average request at an idle target costs 1.
	costGap = 0.5
	// queueCost is the cost of a queue when all slots are at work, relative to an idle target.
	queueCost = 6.0
	// smallestMove is the load in requests a second below which moving a range changes nothing.
	smallestMove = 0.02
	// idleRate is the load in requests a second below which a target counts as idle.
	idleRate = 0.05
	// spreadShare and spreadRate are the part of the load that is taken as spread evenly over all keys.
	spreadShare = 0.1
	spreadRate  = 2.0
	// usualWork is assumed until answers show how long requests take.
	usualWork = 160 * time.Millisecond
	// workSamples is the number of answers over which the time of requests is averaged.
	workSamples = 200
	// probes is the number of questions to a target of which nothing is known, probeInterval the time between them. The
	// bursts of slowness of a target's neighbours last about as long.
	probes        = 5
	probeInterval = 450 * time.Millisecond
	// firstRate is the share of all slots that the first table expects to be at work.
	firstRate = 0.35
	// lastingShare is the part of the average time of requests that counts against a target: bursts of neighbours make it
	// 1.4 times as long as usual, which must not count. tookSamples is the number of requests in the average, tookLife how
	// long it holds without requests.
	lastingShare = 0.5
	tookSamples  = 8
	tookLife     = 3 * time.Second
	// commitInterval gathers the ranges that are free in one write.
	commitInterval = 60 * time.Millisecond
)

// Defaults returns the settings for targets that hold a grant for at most maxHold.
func Defaults(maxHold time.Duration) Settings {
	return Settings{
		Hold:            maxHold * 42 / 100,
		LongHold:        maxHold,
		RenewEvery:      maxHold * 18 / 100,
		CallTimeout:     600 * time.Millisecond,
		ReleaseTimeout:  2500 * time.Millisecond,
		Term:            2 * time.Second,
		Settle:          time.Second,
		SettleLimit:     4 * time.Second,
		RangesPerTarget: 4,
		MostRanges:      400,
	}
}

// lasts is the longest time after the arrival of a grant for which its target may hold the keys.
func lasts(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockDrift)) + holdMargin
}

// holdBound is the same after the sending of a grant.
func (s Settings) holdBound(hold time.Duration) time.Duration { return s.CallTimeout + lasts(hold) }

// retryCall is how long a call to a target waits after one that failed.
const retryCall = 300 * time.Millisecond
