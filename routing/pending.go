package routing

import (
	"time"

	"sequoiasail.example/types"
)

// requestState is the state of a request in progress.
type requestState uint8

const (
	stateRouting requestState = iota // being routed
	stateWaiting                     // held until a route appears or changes
	stateBackoff                     // held until the retry is due
	stateSent                        // one or two attempts in progress
)

// noIndex marks the absence of an index.
const noIndex = int32(-1)

// route is a target with its dispatcher and the epochs of the rows that led to it.
type route struct {
	target     int32 // index into service.targets or noIndex
	vm         int32 // index into cluster.dispatchers or noIndex
	slot       types.Slot
	slotEpoch  types.Epoch
	leaseEpoch types.Epoch
}

// noRoute stands for the absence of a route.
var noRoute = route{target: noIndex, vm: noIndex}

// matches reports whether other would be refused like r, because neither target, dispatcher nor epochs differ.
func (r route) matches(other route) bool { return r.target != noIndex && r == other }

// attempt is one Forward. It is active until its Result arrives or it is cancelled.
type attempt struct {
	number uint8
	active bool
	route  route
	sentAt types.Instant
}

// pendingRequest is an admitted request without a Reply.
type pendingRequest struct {
	request       Request
	service       *service
	state         requestState
	attemptCount  uint8      // attempts so far, hedges included
	newerRowWaits uint8      // waits for a newer row so far
	attempts      [2]attempt // attempts in progress: the first and its hedge
	// mayHaveRun is true once an attempt ended with an unknown outcome.
	mayHaveRun bool
	hedged     bool // the time of the hedge has passed, with or without a second attempt
	// refused is the route of the last attempt that was refused as stale.
	refused   route
	lastTried route // route of the latest attempt
	// retryUnchanged is true while the request waits for a route other than the refused one. When its timer expires, it
	// is retried over the unchanged route.
	retryUnchanged bool
	waitUntil      types.Instant // end of the wait for a route
	waitCode       types.Code    // code of the reply if no route appears

	wakeAt   types.Instant // expiry of the timer
	heapPos  int32         // position in timers.heap or noIndex
	waitPos  int32         // position in waitList.ids or noIndex
	nextFree int32         // next entry of the free list
}

func (req *pendingRequest) addAttempt(a attempt) {
	req.lastTried = a.route
	if !req.attempts[0].active {
		req.attempts[0] = a
		return
	}
	req.attempts[1] = a
}

func (req *pendingRequest) findAttempt(number uint8) *attempt {
	for i := range req.attempts {
		if a := &req.attempts[i]; a.active && a.number == number {
			return a
		}
	}
	return nil
}

func (req *pendingRequest) inProgress() bool { return req.attempts[0].active || req.attempts[1].active }

func (req *pendingRequest) lastRoute() route { return req.lastTried }

// failureOutcome returns the outcome to report without an answer: not-run only if no attempt may have run.
func (req *pendingRequest) failureOutcome() types.Outcome {
	if req.mayHaveRun || req.inProgress() {
		return types.OutcomeUnknown
	}
	return types.OutcomeNotRun
}

// hedgeDelay returns how long to wait for the first attempt before a second one starts. The result is false if none may.
func (req *pendingRequest) hedgeDelay() (time.Duration, bool) {
	if req.service.keyed || !req.request.Idempotent || req.hedged || req.request.Pinned != "" {
		return 0, false
	}
	return req.service.latency.hedgeDelay(), true
}

// requests holds the requests in progress in a slab of fixed size that is allocated once.
type requests struct {
	slab      []pendingRequest
	index     map[uint64]int32 // by handle
	firstFree int32            // head of the free list or noIndex
	used      int              // entries in use
}

func newRequests(limit int) requests {
	rs := requests{slab: make([]pendingRequest, limit), index: make(map[uint64]int32, limit)}
	for i := range rs.slab {
		rs.slab[i].nextFree = int32(i) + 1
	}
	rs.slab[limit-1].nextFree = noIndex
	return rs
}

// find returns the index of the request with the handle.
func (rs *requests) find(handle uint64) (int32, bool) {
	id, ok := rs.index[handle]
	return id, ok
}

// open stores a request in a free entry. ok is false when all entries are in use.
func (rs *requests) open(r *Request, s *service) (id int32, ok bool) {
	if rs.firstFree == noIndex {
		return noIndex, false
	}
	id = rs.firstFree
	req := &rs.slab[id]
	rs.firstFree = req.nextFree
	rs.used++
	rs.index[r.Handle] = id
	*req = pendingRequest{request: *r, service: s, refused: noRoute, lastTried: noRoute, heapPos: noIndex, waitPos: noIndex, nextFree: noIndex}
	return id, true
}

// close frees the entry of a finished request.
func (rs *requests) close(id int32) {
	req := &rs.slab[id]
	delete(rs.index, req.request.Handle)
	*req = pendingRequest{heapPos: noIndex, waitPos: noIndex, nextFree: rs.firstFree}
	rs.firstFree = id
	rs.used--
}
