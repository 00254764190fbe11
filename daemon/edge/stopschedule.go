package edge

import "time"

// Timing of a planned stop, which begins at SIGTERM. The process is killed at the end of the platform's stop grace period. Each
// time is also bounded by a share of that period, for platforms with a short one.
const (
	// serveTime is how long the process goes on even if no caller is connected: the load balancer needs two failed readiness
	// probes, a second apart, and lost packets are retransmitted up to a second later.
	serveTime  = 3420 * time.Millisecond
	serveShare = 0.57
	// acceptTime is how long a request is sent to a target although its deadline is later than the end of the stop. Callers that
	// the load balancer has connected before its probes failed depend on it. It doesn't grow with the grace period: callers that
	// come more than 3 s after SIGTERM must get the answer of their target.
	acceptTime  = 2700 * time.Millisecond
	acceptShare = 0.45
	// answerMargin is the end of the grace period in which no request is in flight any more. It covers late timers and the last
	// answers on a busy VM. Its share is less than a sixth: requests may be broken off in the last sixth only.
	answerMargin      = 500 * time.Millisecond
	answerMarginShare = 0.125
	// closeMargin is the end of the grace period that is left for the duties once the connections are closed.
	closeMargin      = 250 * time.Millisecond
	closeMarginShare = 0.0625
	// readyCloseTime is how long the readiness page may take to answer the requests that it has read. Its answers need no other
	// component, and the leases must be revoked before the process is killed.
	readyCloseTime = 50 * time.Millisecond
	// lingerTime gives the kernel time to send the last responses before the process ends.
	lingerTime = 50 * time.Millisecond
)

// stopSchedule holds the steps of a planned stop, as times since its beginning.
type stopSchedule struct {
	// accept ends the time in which requests that may outlive the stop are sent to targets.
	accept time.Duration
	// serve is the earliest end of the process.
	serve time.Duration
	// answer is when every request must have its answer, close when all connections of callers are closed.
	answer, close time.Duration
}

func newStopSchedule(grace time.Duration) stopSchedule {
	return stopSchedule{
		accept: atMostShare(acceptTime, grace, acceptShare),
		serve:  atMostShare(serveTime, grace, serveShare),
		answer: grace - atMostShare(answerMargin, grace, answerMarginShare),
		close:  grace - atMostShare(closeMargin, grace, closeMarginShare),
	}
}

// atMostShare returns d, or the given share of whole if that is less.
func atMostShare(d, whole time.Duration, share float64) time.Duration {
	return min(d, time.Duration(share*float64(whole)))
}
