package keyspace

import (
	"time"

	"sequoiasail.example/types"
)

// Settings holds the configurable times and limits of a Core.
type Settings struct {
	// GrantTTL is the time to live of a grant, counted by the target from the arrival of the call. When a target is
	// lost without notice, its keys stay unserved until its grant expires. GrantTTL less RenewInterval, the least
	// that is left of a grant when a coordinator is lost, should exceed Term.
	GrantTTL time.Duration
	// LongGrantTTL replaces GrantTTL after a commit with an unknown result or without a store, and while less than half
	// of the coordinator's term is left.
	LongGrantTTL time.Duration
	// RenewInterval is the time between two renewals of a grant.
	RenewInterval time.Duration
	// CallTimeout bounds a grant or a probe. An unanswered grant may still arrive at its target until it has passed.
	CallTimeout time.Duration
	// ReleaseTimeout bounds a release, which a target answers only when its work on the keys has ended.
	ReleaseTimeout time.Duration
	// Term is the longest time that a coordinator's term can last after the coordinator has stopped without notice.
	Term time.Duration
	// FirstEra is the era in which the store of the deployment began. If it is not 0, a coordinator that finds no table in that era
	// creates one at once, as in a store without eras: the store has not lost any.
	FirstEra types.Era
	// SettleTime is how long no target must have been added before a coordinator without a table creates one; it
	// waits for at most MaxSettleTime.
	SettleTime    time.Duration
	MaxSettleTime time.Duration
	// RangesPerTarget is the number of ranges for each target in a new table, MaxInitialRanges the limit for all
	// targets together, unless that is less than two ranges for each. More ranges spread busy neighbouring keys over
	// more targets and cost more renewals.
	RangesPerTarget  int
	MaxInitialRanges int
}

// Fixed parameters of a Core.
const (
	// maxClockDrift is how much slower than the coordinator's clock a target's clock may run, as a share.
	maxClockDrift = 0.02
	// holdMargin covers the timer granularity of the coordinator and the target.
	holdMargin = 200 * time.Millisecond
	// maxBatchCalls bounds the calls in one batch, so that an urgent grant waits for only a few round trips.
	maxBatchCalls = 4
	// maxOwnerReleases bounds the releases in flight to one owner, maxReleases those to all owners together. A target
	// answers a release only when its work on the keys has ended, so that one after another would take seconds. Each
	// release occupies a worker that sends calls and a connection to the target.
	maxOwnerReleases = 16
	maxReleases      = 96
	// firstGrantWindow is how long after the commit of a fencing token its first grant may be sent. Later, another
	// coordinator may have granted a higher token to the target, and the target may have restarted and forgotten it.
	// The window is as long as the shortest restart of a target.
	firstGrantWindow = 500 * time.Millisecond
	// exclusiveWindow is how long after the time for which the store has confirmed this coordinator's lease a first grant may
	// be sent with a token that no earlier coordinator can have superseded. A later coordinator needs the lease first. That time
	// is known as the end of the term less Term, which is up to 200 ms before the confirmation.
	exclusiveWindow = 700 * time.Millisecond
	// maxMoves bounds the ranges that move at once for balance; in a large fleet the bound is movesShare of the
	// number of targets.
	maxMoves   = 24
	movesShare = 0.4
	// maxRanges bounds the size of a table, because each range costs renewals.
	maxRanges = 1500
	// planInterval is the time between two checks of owners and load.
	planInterval = 250 * time.Millisecond
	// loadWindow is the time constant of the average request rate of a key.
	loadWindow = 2 * time.Second
	// spikeWindow is the time constant of the recent request rate of a key. A range has a load spike when its recent
	// rate is at least spikeFactor times its average rate plus spikeMinRate requests a second, which random variation
	// rarely reaches.
	spikeWindow  = 500 * time.Millisecond
	spikeFactor  = 1.3
	spikeMinRate = 5.0
	// fullUtilization is the utilization up to which a target takes keys that are moved for balance.
	fullUtilization = 0.6
	// minLoadParts is the number of parts into which a target's load may be split in a small fleet, even if the other
	// targets are full; in a large fleet it is a quarter of the number of targets. More parts mean more ranges, and
	// each range costs renewals.
	minLoadParts = 6
	// moveCooldown is how long a range stays with a new owner before it may move again for balance.
	moveCooldown = 1500 * time.Millisecond
	// announceInterval is the time between two announcements of the ranges that move. VMs let requests for them wait for 600 ms
	// after each.
	announceInterval = 400 * time.Millisecond
	// balanceInterval is the time between two rounds of moves for balance, because each round costs a write to the
	// store.
	balanceInterval = 500 * time.Millisecond
	// minCostGap is the difference of costs below which no range moves; an average request at an idle target costs 1.
	minCostGap = 0.5
	// overloadGap is the difference of costs at which a target is overloaded: about three quarters of its slots are busy.
	// Smaller gaps are not balanced beside a target that keeps its keys, because moved keys are slow at first.
	overloadGap = 2.5
	// queueCost is the cost that queueing adds when all slots are busy, relative to an idle target.
	queueCost = 6.0
	// minMoveRate is the load in requests a second below which a range is not worth moving.
	minMoveRate = 0.02
	// idleRate is the load in requests a second below which a target counts as idle.
	idleRate = 0.05
	// baselineShare, a share of the total load, and baselineRate, in requests a second, add up to the baseline load
	// that is spread evenly over all keys.
	baselineShare = 0.1
	baselineRate  = 2.0
	// defaultServiceTime is the assumed time of a request until responses have been measured.
	defaultServiceTime = 160 * time.Millisecond
	// serviceTimeSamples is the number of responses over which the service time is averaged.
	serviceTimeSamples = 200
	// newTargetProbes is the number of probes sent to a target of unknown speed, newTargetProbeInterval the time
	// between them. Bursts of slowness caused by the neighbours of a target last about as long as that interval.
	newTargetProbes        = 5
	newTargetProbeInterval = 450 * time.Millisecond
	// probeCheckInterval is the time between two searches for targets that need a probe.
	probeCheckInterval = 50 * time.Millisecond
	// initialUtilization is the share of all targets' slots that the first table assumes to be busy.
	initialUtilization = 0.35
	// responseTimeShare is the part of a target's average response time that counts as slowness. Bursts caused by
	// neighbours raise the average to 1.4 times its usual value and must not count. responseTimeSamples is the number
	// of requests in the average; without requests, the average starts to decay after responseTimeValidity.
	responseTimeShare    = 0.5
	responseTimeSamples  = 8
	responseTimeValidity = 3 * time.Second
	// commitInterval is the time between two commits, so that one write covers several released ranges.
	commitInterval = 60 * time.Millisecond
)

// Defaults returns the settings for a service whose targets hold a grant for at most maxHold.
func Defaults(maxHold time.Duration) Settings {
	return Settings{
		GrantTTL:         maxHold * 42 / 100,
		LongGrantTTL:     maxHold,
		RenewInterval:    maxHold * 18 / 100,
		CallTimeout:      600 * time.Millisecond,
		ReleaseTimeout:   2500 * time.Millisecond,
		Term:             2 * time.Second,
		SettleTime:       time.Second,
		MaxSettleTime:    4 * time.Second,
		RangesPerTarget:  4,
		MaxInitialRanges: 400,
	}
}

// maxHoldAfterArrival is the longest time after the arrival of a grant for which its target may hold the keys.
func maxHoldAfterArrival(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)*(1+maxClockDrift)) + holdMargin
}

// maxHoldAfterSending is the longest time after the sending of a grant for which its target may hold the keys.
func (s Settings) maxHoldAfterSending(ttl time.Duration) time.Duration {
	return s.CallTimeout + maxHoldAfterArrival(ttl)
}

// callRetryDelay is the time between a failed call to a target, or a failed load of the table, and the next attempt.
const callRetryDelay = 300 * time.Millisecond

// damagedRetryDelay is the time between two loads of a damaged table.
const damagedRetryDelay = time.Second
