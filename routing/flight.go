package routing

import (
	"time"

	"sequoiasail.example/types"
)

// flightState is what a request is waiting for.
type flightState uint8

const (
	stateIdle flightState = iota
	stateWaiting
	stateBackoff
	stateSent
)

// none marks an absent index.
const none = int32(-1)

// route is one resolved way to a target.
type route struct {
	target     int32
	vm         int32
	slot       types.Slot
	slotEpoch  types.Epoch
	leaseEpoch types.Epoch
}

var noRoute = route{target: none, vm: none}

// same reports whether a refusal of r applies to other as well: nothing that the refusal was about has changed.
func (r route) same(other route) bool { return r.target != none && r == other }

// attempt is one Forward without a Result.
type attempt struct {
	number uint8
	live   bool
	route  route
	sent   types.Instant
}

// flight is one request in progress.
type flight struct {
	request  Request
	service  *service
	state    flightState
	made     uint8
	stale    uint8 // attempts refused as stale
	attempts [2]attempt
	// mayHaveRun is true once an attempt ended with an unknown outcome.
	mayHaveRun bool
	hedged     bool
	// refused is the route of the last attempt that was refused as stale.
	refused    route
	last       route
	retryStale bool
	waitUntil  types.Instant
	waitCode   types.Code

	wake    types.Instant
	heapPos int32
	waitPos int32
	next    int32 // free list
}

func (f *flight) addAttempt(a attempt) {
	f.last = a.route
	if !f.attempts[0].live {
		f.attempts[0] = a
		return
	}
	f.attempts[1] = a
}

func (f *flight) findAttempt(number uint8) *attempt {
	for i := range f.attempts {
		if a := &f.attempts[i]; a.live && a.number == number {
			return a
		}
	}
	return nil
}

func (f *flight) inProgress() bool { return f.attempts[0].live || f.attempts[1].live }

func (f *flight) lastRoute() route { return f.last }

func (f *flight) unansweredOutcome() types.Outcome {
	if f.mayHaveRun || f.inProgress() {
		return types.OutcomeUnknown
	}
	return types.OutcomeNotRun
}

// hedgeDelay returns how long to wait for the first attempt before a second one is worth it.
func (f *flight) hedgeDelay() (time.Duration, bool) {
	if f.service.keyed || !f.request.Idempotent || f.hedged || f.request.Pinned != "" {
		return 0, false
	}
	return f.service.latency.hedgeDelay(), true
}

// flights holds the requests in progress in a slab that is allocated once.
type flights struct {
	slab  []flight
	index map[uint64]int32
	free  int32
	used  int
}

func newFlights(limit int) flights {
	fs := flights{slab: make([]flight, limit), index: make(map[uint64]int32, limit)}
	for i := range fs.slab {
		fs.slab[i].next = int32(i) + 1
	}
	fs.slab[limit-1].next = none
	return fs
}

func (fs *flights) find(handle uint64) (int32, bool) {
	id, ok := fs.index[handle]
	return id, ok
}

// open takes a free entry. ok is false when all are in use.
func (fs *flights) open(r *Request, s *service) (id int32, ok bool) {
	if fs.free == none {
		return none, false
	}
	id = fs.free
	f := &fs.slab[id]
	fs.free = f.next
	fs.used++
	fs.index[r.Handle] = id
	*f = flight{request: *r, service: s, refused: noRoute, last: noRoute, heapPos: none, waitPos: none, next: none}
	return id, true
}

func (fs *flights) close(id int32) {
	f := &fs.slab[id]
	delete(fs.index, f.request.Handle)
	*f = flight{heapPos: none, waitPos: none, next: fs.free}
	fs.free = id
	fs.used--
}
