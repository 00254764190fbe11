package admission

import "time"

// Settings configures a Core.
type Settings struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	// VM is the name of this VM.
	VM string
	// RemotePenalty is the round-trip time to a target in another data centre.
	RemotePenalty time.Duration
	// RetryRatio and RetrySlack limit the retries of all VMs together: in each RetryWindow, a service gets at most
	// RetryRatio x its requests + RetrySlack retries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// A cold target tolerates ColdOvershoot x MaxColdRate of its service + ColdSlack requests within a second.
	ColdOvershoot float64
	ColdSlack     float64
	// DataCentres is the number of data centres.
	DataCentres int
	// Senders is the number of attempts that may be in flight at the same time; 0 for no limit.
	Senders int
	// SecondSendLimit is the share of the requests of a service that may be sent a second time while their first attempt is in
	// flight; 0 for none.
	SecondSendLimit float64
	// GiveUpSilent is true if requests without a sign of life of their target are given up and retried at another one.
	GiveUpSilent bool
}

// Limits that follow from how targets and callers behave.
const (
	// queuedBeyondSlots is how many requests may wait at a target: enough that a slot that becomes free has work at
	// once, few enough that the other requests can still go elsewhere.
	queuedBeyondSlots = 1
	// spreadFactor is how much more than the best target another one may be expected to take to be in the choice.
	spreadFactor = 1.5
	// reportTransit is the time from the sending of a report until it is applied.
	reportTransit = 5 * time.Millisecond
	// rateWindow is the time constant of the rates of requests.
	rateWindow = time.Second
	// urgentDepthFactor is the largest number of requests at the owner of a key, as a multiple of its slots, up to
	// which the most urgent requests are sent to it.
	urgentDepthFactor = 2
	// ownerDepthFactor is the same for all other requests: targets queue about as many requests as they have slots.
	ownerDepthFactor = 2
	// defaultWorkTime is the assumed time of a request before a service has answered any.
	defaultWorkTime = 200 * time.Millisecond
	// sampleWeight is the weight of a new observation in a moving average.
	sampleWeight = 0.15
	// slownessTTL is how long a target's reported slowness is used.
	slownessTTL = 400 * time.Millisecond
	// peerReportTTL is how long a VM's report is used without a newer one.
	peerReportTTL = 1500 * time.Millisecond
	// activePeerTTL is how long after its last report a neighbour counts as active; reports come at least every half
	// second.
	activePeerTTL = 800 * time.Millisecond
	// maxMoveWait is how long after an announcement requests wait for keys that are being moved. The coordinator announces them
	// again while the move lasts, and a request waits up to its objective in all, if that is longer.
	maxMoveWait = 600 * time.Millisecond
	// remoteDecay is the time constant with which the estimate of requests from other data centres decays, remoteWeight
	// the weight of a new report in it.
	remoteDecay  = time.Second
	remoteWeight = 0.5
	// refusedDelay is how long a request waits before its retry at a keyed service, for example after its target was
	// full.
	refusedDelay = 60 * time.Millisecond
	// grantDelay is how long after the commit of a new owner its grant may take to arrive.
	grantDelay = 30 * time.Millisecond
	// misdirectedDelay is how long a request waits after a target has refused it as not the owner of its key.
	misdirectedDelay = 60 * time.Millisecond
	// ownerDrainTime is how long a draining owner of keys still gets their requests.
	ownerDrainTime = 700 * time.Millisecond
	// ownerEvacuationTime is the same for an owner in an evacuated data centre, which has more time to give up its
	// keys.
	ownerEvacuationTime = 2500 * time.Millisecond
	// coldWindow is the time over which the requests to a cold target are counted: a little more than the second for
	// which the target's limit holds.
	coldWindow = 1100 * time.Millisecond
	// coldBudgetShare is the share of that limit that is used. The rest covers requests that VMs send before they learn
	// of each other's.
	coldBudgetShare = 0.75
	// coldStartDelay is how long after its start a VM sends nothing to cold targets: it does not know yet which
	// neighbours it has and what they have sent within coldWindow.
	coldStartDelay = coldWindow + 100*time.Millisecond
	// silentNeighbourDelay is how long a VM that has started waits for the first report of a neighbour before it sends to cold
	// targets: the time within which the neighbour learns of it, a pause of its watch and a report interval included, and
	// coldWindow.
	silentNeighbourDelay = peerReportTTL + coldWindow
	// maxTrackedSends bounds the memory of a sendWindow.
	maxTrackedSends = 64
	// retryBudgetShare is the share of the retry budget that is used.
	retryBudgetShare = 0.7
	// unreachableDelay is how long a target gets no requests after a connection to it failed.
	unreachableDelay = 500 * time.Millisecond
	// endedTargetDelay is how long a target without keys gets no requests after another one has answered at its address. It
	// covers the three heartbeats, of up to a second each, after which the registration of an ended target lapses.
	endedTargetDelay = 3 * time.Second
	// lateWaitShare is the share of the time between a request's objective and its deadline for which the request may
	// wait: answers after the objective are worth less, and occupy slots that other requests need.
	lateWaitShare = 0.25
	// abortedTimeFactor is how many times its expected time an aborted attempt must have lasted to count against its
	// target.
	abortedTimeFactor = 3
	// tickInterval is how often waiting requests are checked when nothing else triggers it.
	tickInterval = 10 * time.Millisecond
	// minRetryAfter and retryAfterJitter set when refused callers try again. Callers wait for at most a third of the
	// time they have.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
	// replyMargin is the time reserved before the deadline to send the caller its reply.
	replyMargin = 15 * time.Millisecond
	// minSendTime is the least time before the deadline at which a request is still retried.
	minSendTime = 40 * time.Millisecond
)
