package admission

import (
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/types"
)

// LocalRequestID identifies a request on this VM.
type LocalRequestID uint64

// Message is an input of a Core.
type Message interface{ message() }

type (
	// RequestArrived is a new request.
	RequestArrived struct {
		ID    LocalRequestID
		Route *catalog.Route
		// Keyed is true when the request has a Key.
		Keyed bool
		Key   keyspace.Key
		// Deadline is when the caller stops waiting.
		Deadline types.Instant
		// Priority replaces the priority of the route, unless it is nil.
		Priority *int
	}
	// CallerLeft reports that the caller has closed its connection. The request still gets its final action.
	CallerLeft struct{ ID LocalRequestID }
	// AttemptFinished reports the end of one attempt.
	AttemptFinished struct {
		ID      LocalRequestID
		Attempt int
		Result  Result
		// Failed is true when the target answered with a failure of its own.
		Failed bool
		// Unreachable is true when no connection was made.
		Unreachable bool
		// Report is the load that the target reported with its answer, nil without one.
		Report *LoadReport
		// Answer is delivered unchanged by Reply.
		Answer any
	}
	// Services replaces the services of the configuration.
	Services struct {
		Services map[types.Service]catalog.Service
	}
	// Targets replaces the targets that may get requests.
	Targets struct {
		Targets []catalog.Listing
		// LeavingUntil is when a target that begins to drain with this list must get no more requests, also as the owner of
		// their keys; 0 for no bound.
		LeavingUntil types.Instant
	}
	// Owners replaces the table that assigns the keys of a service to targets.
	Owners struct {
		Service types.Service
		Table   keyspace.Table
	}
	// KeysMoving reports that keys are being moved: their requests wait for the next Owners, at most for maxMoveWait.
	KeysMoving struct {
		Service types.Service
		Ranges  []keyspace.Range
	}
	// RetryLimits replaces the limits of the retry budget.
	RetryLimits struct {
		RetryRatio  float64
		RetrySlack  float64
		RetryWindow time.Duration
	}
	// Peers replaces the VMs of the fleet, this one included, and the neighbours: the other VMs of this data centre.
	Peers struct {
		VMs        []types.VM
		Neighbours []types.VM
		// ReportInterval is the shortest time between two reports of a neighbour.
		ReportInterval time.Duration
	}
	// PeerReport is what another VM reports about its requests in flight and its answers. The core owns its maps and slices.
	PeerReport struct {
		VM       types.VM
		InFlight map[types.Target]int
		// Waiting counts the requests that wait for the owner of their key.
		Waiting map[types.Target]int
		Samples []Sample
	}
)

func (RequestArrived) message()  {}
func (CallerLeft) message()      {}
func (AttemptFinished) message() {}
func (Services) message()        {}
func (Targets) message()         {}
func (Owners) message()          {}
func (KeysMoving) message()      {}
func (RetryLimits) message()     {}
func (Peers) message()           {}
func (PeerReport) message()      {}

// Result is how an attempt ended.
type Result uint8

// Results of attempts.
const (
	// ResultLost: the request was sent, and no complete answer was received. The target may have run it.
	ResultLost Result = iota
	// ResultAnswered: the target ran the request and its complete answer was received.
	ResultAnswered
	// ResultNotRun: the target did not run the request.
	ResultNotRun
	// ResultMisdirected: the request was not run, because the target does not own the key or is a different one than
	// expected.
	ResultMisdirected
)

// LoadReport is the load that a target reports with an answer.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowness is how much longer than usual work takes on the target's machine at present; 1 is normal.
	Slowness float64
}

// Sample is one observation of a target, shared between VMs.
type Sample struct {
	Target types.Target
	// ResponseTime is the time from sending the request to the answer, or to the end of a long aborted attempt; 0
	// without either.
	ResponseTime time.Duration
	// Slowness is that of the LoadReport, 0 without one.
	Slowness float64
	// Load is the number of requests that the target reported as running or waiting; -1 without a report.
	Load int
	// Failed is true when the attempt was lost (unless it was aborted), was answered with a failure, or made no
	// connection.
	Failed bool
}

// Limits of what a target or another VM may report. A number outside them is not an observation, except that a target above
// maxReportedSlowness counts as that slow.
const (
	minReportedSlowness = 0.01
	maxReportedSlowness = 1000
	maxReportedRequests = 1_000_000
	maxReportedTime     = 10 * time.Minute
)

// withinLimits returns the sample without the numbers that exceed the limits of a report, as if they had not been reported.
func (s Sample) withinLimits() Sample {
	// The comparison is also false for NaN.
	if s.Slowness = min(s.Slowness, maxReportedSlowness); !(s.Slowness >= minReportedSlowness) {
		s.Slowness = 0
	}
	if s.Load < 0 || s.Load > maxReportedRequests {
		s.Load = -1
	}
	if s.ResponseTime < 0 || s.ResponseTime > maxReportedTime {
		s.ResponseTime = 0
	}
	return s
}

// WithinLimits returns the report without the numbers that exceed the limits of a report. It changes the maps and the
// samples of r.
func (r PeerReport) WithinLimits() PeerReport {
	dropExcessive(r.InFlight)
	dropExcessive(r.Waiting)
	r.Samples = SamplesWithinLimits(r.Samples)
	return r
}

// SamplesWithinLimits removes the numbers that exceed the limits of a report from each sample, and returns the list.
func SamplesWithinLimits(list []Sample) []Sample {
	for i, s := range list {
		list[i] = s.withinLimits()
	}
	return list
}

func dropExcessive(requests map[types.Target]int) {
	for t, n := range requests {
		if n < 0 || n > maxReportedRequests {
			delete(requests, t)
		}
	}
}

// Action is an output of a Core. Each request gets exactly one final action, which is a Reply, a Refuse or a Fail, at the
// latest at its deadline. No other action for the request follows it.
type Action interface{ action() }

type (
	// Send sends a request to a target. AttemptFinished reports its result.
	Send struct {
		ID      LocalRequestID
		Attempt int
		Target  catalog.Registration
		// Leaving is true if the target is known to leave. It gets the request because it still owns its key.
		Leaving bool
		// Second is true if an earlier attempt of the request stays in flight.
		Second bool
		// Deadline is when the attempt must have ended.
		Deadline types.Instant
		// Reason describes the load that the choice is based on, for the log.
		Reason string
	}
	// Abort ends an attempt whose result nobody waits for. The final action of its request follows. AttemptFinished still
	// reports the end of the attempt.
	Abort struct {
		ID      LocalRequestID
		Attempt int
	}
	// Withdraw ends an attempt of which no byte has been written. It has no effect on others. AttemptFinished reports the end of
	// the attempt, as not run if it was withdrawn.
	Withdraw struct {
		ID      LocalRequestID
		Attempt int
	}
	// Reply gives the caller the answer of a target.
	Reply struct {
		ID     LocalRequestID
		Answer any
		// Second is true if it is the answer to a second send.
		Second bool
	}
	// Refuse tells the caller that its request has not run and when to try again.
	Refuse struct {
		ID         LocalRequestID
		Code       types.Code
		RetryAfter time.Duration
		// Reason describes what the refusal is based on, for the log.
		Reason string
	}
	// Fail tells the caller that its request may or may not have run.
	Fail struct {
		ID   LocalRequestID
		Code types.Code
	}
	// AwaitsSender tells that a request could be sent if a sender were free for its service. It comes at most once for each request.
	AwaitsSender struct{ ID LocalRequestID }
	// Note explains a decision in the log.
	Note struct {
		ID     LocalRequestID
		Target types.Target
		Reason string
	}
)

func (Send) action()         {}
func (Abort) action()        {}
func (Withdraw) action()     {}
func (Reply) action()        {}
func (Refuse) action()       {}
func (Fail) action()         {}
func (AwaitsSender) action() {}
func (Note) action()         {}
