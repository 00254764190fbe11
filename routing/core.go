package routing

import (
	"math"
	"time"

	"sequoiasail.example/types"
)

// Limits and durations of the Core.
const (
	// TakeoverWait bounds how long a request is held for a route. A key must be served again within 3 s of the loss of
	// its dispatcher.
	TakeoverWait = 3 * time.Second
	// DrainGrace is how long a draining target still takes new requests for the keys that it owns. Its slots move to
	// other targets within this time, and it must get no new work after a few seconds.
	DrainGrace = 2 * time.Second
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts = 6
	// MaxWaiting bounds the held requests of one service. Further requests are refused at once.
	MaxWaiting = 1024
	// DefaultMaxRequests bounds the requests in progress when Options sets none.
	DefaultMaxRequests = 16384
	// responseMargin is subtracted from the deadline so that the dispatcher's answer arrives before the caller stops
	// waiting.
	responseMargin = 2 * time.Millisecond
)

// never stands for an event that is not scheduled. It is later than every instant of the clock.
const never = types.Instant(math.MaxInt64)

// Random is a source of random numbers. math/rand/v2 sources implement it.
type Random interface {
	Uint64() uint64
}

// Options configures a Core.
type Options struct {
	// DataCentre is the gateway's own data centre. Services without keys prefer the targets in it.
	DataCentre types.DataCentre
	// Random is the source of randomness. Required.
	Random Random
	// MaxRequests bounds the requests in progress. Default DefaultMaxRequests.
	MaxRequests int
}

// Core is the routing state of one gateway.
type Core struct {
	options     Options
	services    map[types.Service]*service
	cluster     cluster
	requests    requests
	timers      timers
	sortedNames []types.Service // cache of sortedServices
}

// New returns a Core without a configuration. It refuses every request until KindConfiguration installs one.
func New(o Options) *Core {
	if o.MaxRequests <= 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	c := &Core{options: o, services: map[types.Service]*service{}}
	c.cluster = newCluster()
	c.requests = newRequests(o.MaxRequests)
	c.timers = timers{requests: &c.requests, heap: make([]int32, 0, o.MaxRequests)}
	return c
}

// Step applies one message at time now and appends the actions to out. It allocates nothing for requests, results and
// cancellations in steady state.
func (c *Core) Step(now types.Instant, m *Message, out []Action) []Action {
	switch m.Kind {
	case KindRequest:
		return c.request(now, &m.Request, out)
	case KindResult:
		return c.result(now, &m.Result, out)
	case KindCancel:
		return c.cancel(now, m.Handle, out)
	}
	return c.install(now, m, out)
}

// Tick handles all timers that are due at now and appends the actions to out.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	for {
		id, ok := c.timers.due(now)
		if !ok {
			return out
		}
		out = c.handleTimer(now, id, out)
	}
}

// NextTick returns when the earliest timer is due. ok is false when no timer is set.
func (c *Core) NextTick() (at types.Instant, ok bool) { return c.timers.next() }

// InProgress returns the number of admitted requests without a Reply.
func (c *Core) InProgress() int { return c.requests.used }

// request admits one request and routes it.
func (c *Core) request(now types.Instant, r *Request, out []Action) []Action {
	if _, used := c.requests.find(r.Handle); used {
		return appendDecision(out, Decision{Handle: r.Handle, Key: r.Key, Reason: ReasonDuplicate})
	}
	s := c.services[r.Service]
	if s == nil || s.unlisted {
		return refuse(out, r, c.missingServiceCode(), ReasonNoRoute)
	}
	id, ok := c.requests.open(r, s)
	if !ok {
		return refuse(out, r, types.CodeOverloaded, ReasonOverloaded)
	}
	s.budgets.addFirstAttempt()
	return c.route(now, id, out)
}

// missingServiceCode returns the code for a request to a service that is not configured.
func (c *Core) missingServiceCode() types.Code {
	if !c.cluster.configured {
		return types.CodeNoRoute
	}
	return types.CodeUnknownService
}

// route forwards the request or holds it until a route appears.
func (c *Core) route(now types.Instant, id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	if now.Add(responseMargin) >= req.request.Deadline {
		return c.finishUnanswered(now, id, types.CodeDeadlineExceeded, ReasonDeadline, out)
	}
	p := c.resolve(now, req)
	switch {
	case p.unroutable:
		return c.finishUnanswered(now, id, p.code, ReasonNoRoute, out)
	case p.code != "":
		return c.holdForRoute(now, id, p, out)
	case req.refused.matches(p.route):
		return c.holdForNewerRow(now, id, p, out)
	}
	return c.forward(now, id, p, out)
}

// forward starts one attempt over the resolved route.
func (c *Core) forward(now types.Instant, id int32, p resolution, out []Action) []Action {
	req := &c.requests.slab[id]
	c.stopWaiting(id)
	s := req.service
	t := &s.targets[p.route.target]
	req.attemptCount++
	a := attempt{number: req.attemptCount, route: p.route, sentAt: now, active: true}
	req.addAttempt(a)
	t.outstanding++
	req.state = stateSent
	c.schedule(now, id)
	vm := c.cluster.dispatchers[p.route.vm].name
	out = append(out, Action{Kind: ActionForward, Forward: Forward{
		Handle: req.request.Handle, Attempt: a.number, VM: vm, Target: types.TargetID{Service: s.name, Target: t.name},
		Slot: p.route.slot, SlotEpoch: p.route.slotEpoch, LeaseEpoch: p.route.leaseEpoch,
		Remaining: req.request.Deadline.Sub(now) - responseMargin,
	}})
	return appendDecision(out, c.decision(id, p.route, a.number, p.reason))
}

// schedule sets the timer of a sent request to its hedge, if one may follow, or else to its deadline.
func (c *Core) schedule(now types.Instant, id int32) {
	req := &c.requests.slab[id]
	at := req.request.Deadline
	if delay, ok := req.hedgeDelay(); ok {
		at = min(at, now.Add(delay))
	}
	c.timers.set(id, at)
}

// holdForRoute keeps the request until a routing row changes, for TakeoverWait at most.
func (c *Core) holdForRoute(now types.Instant, id int32, p resolution, out []Action) []Action {
	req := &c.requests.slab[id]
	if req.state == stateWaiting {
		return c.acceptAnyRoute(id, out)
	}
	if !req.service.waitList.add(&c.requests, id) {
		return c.finishUnanswered(now, id, types.CodeOverloaded, ReasonOverloaded, out)
	}
	req.state = stateWaiting
	req.waitCode = p.code
	req.waitUntil = min(now.Add(TakeoverWait), req.request.Deadline.Add(-responseMargin))
	c.timers.set(id, req.waitUntil)
	reason := ReasonWaitRoute
	if p.code == types.CodeNoOwner {
		reason = ReasonWaitOwner
	}
	d := c.decision(id, p.route, req.attemptCount, reason)
	d.Code = p.code
	return appendDecision(out, d)
}

// acceptAnyRoute lets a request that waits for a newer row use any route: the refused route no longer exists.
func (c *Core) acceptAnyRoute(id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	if req.retryUnchanged {
		req.retryUnchanged = false
		req.refused = noRoute
		c.timers.set(id, req.waitUntil)
	}
	return out
}

// stopWaiting removes the request from its service's list of held requests.
func (c *Core) stopWaiting(id int32) {
	req := &c.requests.slab[id]
	if req.state == stateWaiting {
		req.service.waitList.remove(&c.requests, id)
		req.state = stateRouting
	}
}

// handleTimer handles an expired timer of one request.
func (c *Core) handleTimer(now types.Instant, id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	c.timers.clear(id)
	if now >= req.request.Deadline {
		return c.expire(now, id, out)
	}
	switch req.state {
	case stateWaiting:
		return c.handleWaitTimeout(now, id, out)
	case stateBackoff:
		req.state = stateRouting
		return c.route(now, id, out)
	}
	return c.hedge(now, id, out)
}

// handleWaitTimeout ends a wait during which no usable route appeared.
func (c *Core) handleWaitTimeout(now types.Instant, id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	if req.retryUnchanged && now < req.waitUntil {
		return c.retryUnchanged(now, id, out)
	}
	return c.finishUnanswered(now, id, req.waitCode, ReasonNoRoute, out)
}

// cancel ends a request whose caller has gone.
func (c *Core) cancel(now types.Instant, handle uint64, out []Action) []Action {
	id, ok := c.requests.find(handle)
	if !ok {
		return out
	}
	return c.finishUnanswered(now, id, types.CodeCancelled, ReasonCancelled, out)
}

// expire ends a request whose deadline has passed. Its attempts in progress count as failures of their targets.
func (c *Core) expire(now types.Instant, id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	for i := range req.attempts {
		if a := &req.attempts[i]; a.active && req.service.observe(now, a.route.target, now.Sub(a.sentAt), types.OutcomeUnknown) {
			req.service.eject(now, a.route.target)
		}
	}
	return c.finishUnanswered(now, id, types.CodeDeadlineExceeded, ReasonDeadline, out)
}
