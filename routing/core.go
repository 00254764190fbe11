package routing

import (
	"math"
	"time"

	"sequoiasail.example/types"
)

// Bounds and times of the Core.
const (
	// TakeoverWait bounds how long a request is held for a route. A key is served again within 3 s of a loss.
	TakeoverWait = 3 * time.Second
	// DrainGrace is how long the owner of a key that is being drained still takes new work. The slots of a leaving
	// target move within this time; a target that has left takes no new work after a few seconds.
	DrainGrace = 2 * time.Second
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts = 6
	// MaxWaiting bounds the held requests of one service. Past it requests are refused at once.
	MaxWaiting = 1024
	// DefaultMaxRequests bounds the requests in progress when Options sets none.
	DefaultMaxRequests = 16384
	// hop is kept back from the deadline so that the dispatcher's answer arrives before the caller stops waiting.
	hop = 2 * time.Millisecond
)

// never is later than every instant of the clock.
const never = types.Instant(math.MaxInt64)

// Random is a source of random numbers. math/rand/v2 sources implement it.
type Random interface {
	Uint64() uint64
}

// Options configures a Core.
type Options struct {
	// DataCentre is the gateway's own data centre, which is preferred by services without keys.
	DataCentre types.DataCentre
	// Random is the source of randomness. Required.
	Random Random
	// MaxRequests bounds the requests in progress. Default DefaultMaxRequests.
	MaxRequests int
}

// Core is the routing state of one gateway.
type Core struct {
	options  Options
	services map[types.Service]*service
	views    views
	flights  flights
	timers   timers
	order    []types.Service
}

// New returns a Core without configuration. It refuses every request until a configuration arrives.
func New(o Options) *Core {
	if o.MaxRequests <= 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	c := &Core{options: o, services: map[types.Service]*service{}}
	c.views = newViews()
	c.flights = newFlights(o.MaxRequests)
	c.timers = timers{flights: &c.flights, heap: make([]int32, 0, o.MaxRequests)}
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

// Tick advances timers to now.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	for {
		id, ok := c.timers.due(now)
		if !ok {
			return out
		}
		out = c.wake(now, id, out)
	}
}

// NextTick returns when Tick has something to do. ok is false when no timer runs.
func (c *Core) NextTick() (at types.Instant, ok bool) { return c.timers.next() }

// InProgress returns the number of requests without a Reply.
func (c *Core) InProgress() int { return c.flights.used }

// request admits one request and routes it.
func (c *Core) request(now types.Instant, r *Request, out []Action) []Action {
	if _, used := c.flights.find(r.Handle); used {
		return note(out, Decision{Handle: r.Handle, Key: r.Key, Reason: ReasonDuplicate})
	}
	s := c.services[r.Service]
	if s == nil || s.gone {
		return refuse(out, r, c.missing(), ReasonNoRoute)
	}
	id, ok := c.flights.open(r, s)
	if !ok {
		return refuse(out, r, types.CodeOverloaded, ReasonOverloaded)
	}
	s.budgets.first()
	return c.route(now, id, out)
}

func (c *Core) missing() types.Code {
	if !c.views.configured {
		return types.CodeNoRoute
	}
	return types.CodeUnknownService
}

// route forwards the request or holds it until a route appears.
func (c *Core) route(now types.Instant, id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	if now.Add(hop) >= f.request.Deadline {
		return c.finishUnanswered(now, id, types.CodeDeadlineExceeded, ReasonDeadline, out)
	}
	p := c.resolve(now, f)
	switch {
	case p.impossible:
		return c.finishUnanswered(now, id, p.code, ReasonNoRoute, out)
	case p.code != "":
		return c.hold(now, id, p, out)
	case f.refused.same(p.route):
		return c.holdStale(now, id, p, out)
	}
	return c.forward(now, id, p, out)
}

// forward starts one attempt over the route in p.
func (c *Core) forward(now types.Instant, id int32, p plan, out []Action) []Action {
	f := &c.flights.slab[id]
	c.stopWaiting(id)
	s := f.service
	t := &s.targets[p.route.target]
	f.made++
	a := attempt{number: f.made, route: p.route, sent: now, live: true}
	f.addAttempt(a)
	t.outstanding++
	f.state = stateSent
	c.schedule(now, id)
	vm := c.views.vms[p.route.vm].name
	out = append(out, Action{Kind: ActionForward, Forward: Forward{
		Handle: f.request.Handle, Attempt: a.number, VM: vm, Target: types.TargetID{Service: s.name, Target: t.name},
		Slot: p.route.slot, SlotEpoch: p.route.slotEpoch, LeaseEpoch: p.route.leaseEpoch,
		Remaining: f.request.Deadline.Sub(now) - hop,
	}})
	return note(out, c.decision(id, p.route, a.number, p.reason))
}

// schedule sets the timer of a sent request: the hedge if one may follow, else the deadline.
func (c *Core) schedule(now types.Instant, id int32) {
	f := &c.flights.slab[id]
	at := f.request.Deadline
	if delay, ok := f.hedgeDelay(); ok {
		at = min(at, now.Add(delay))
	}
	c.timers.set(id, at)
}

// hold keeps the request until a routing row changes, for TakeoverWait at most.
func (c *Core) hold(now types.Instant, id int32, p plan, out []Action) []Action {
	f := &c.flights.slab[id]
	if f.state == stateWaiting {
		return c.holdOn(id, out)
	}
	if !f.service.waiting.add(&c.flights, id) {
		return c.finishUnanswered(now, id, types.CodeOverloaded, ReasonOverloaded, out)
	}
	f.state = stateWaiting
	f.waitCode = p.code
	f.waitUntil = min(now.Add(TakeoverWait), f.request.Deadline.Add(-hop))
	c.timers.set(id, f.waitUntil)
	reason := ReasonWaitRoute
	if p.code == types.CodeNoOwner {
		reason = ReasonWaitOwner
	}
	d := c.decision(id, p.route, f.made, reason)
	d.Code = p.code
	return note(out, d)
}

// holdOn lets a request that waits for a newer row wait for any usable route instead: the refused one is gone.
func (c *Core) holdOn(id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	if f.retryStale {
		f.retryStale = false
		f.refused = noRoute
		c.timers.set(id, f.waitUntil)
	}
	return out
}

// stopWaiting takes the request off its service's waiting list.
func (c *Core) stopWaiting(id int32) {
	f := &c.flights.slab[id]
	if f.state == stateWaiting {
		f.service.waiting.remove(&c.flights, id)
		f.state = stateIdle
	}
}

// wake handles the timer of one request.
func (c *Core) wake(now types.Instant, id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	c.timers.clear(id)
	if now >= f.request.Deadline {
		return c.expire(now, id, out)
	}
	switch f.state {
	case stateWaiting:
		return c.waitEnded(now, id, out)
	case stateBackoff:
		f.state = stateIdle
		return c.route(now, id, out)
	}
	return c.hedge(now, id, out)
}

// waitEnded ends a wait that no row change ended.
func (c *Core) waitEnded(now types.Instant, id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	if f.retryStale && now < f.waitUntil {
		return c.retryStale(now, id, out)
	}
	return c.finishUnanswered(now, id, f.waitCode, ReasonNoRoute, out)
}

// cancel ends a request whose caller has gone.
func (c *Core) cancel(now types.Instant, handle uint64, out []Action) []Action {
	id, ok := c.flights.find(handle)
	if !ok {
		return out
	}
	return c.finishUnanswered(now, id, types.CodeCancelled, ReasonCancelled, out)
}

// expire ends a request whose deadline has passed.
func (c *Core) expire(now types.Instant, id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	for i := range f.attempts {
		if a := &f.attempts[i]; a.live && f.service.observe(now, a.route.target, now.Sub(a.sent), types.OutcomeUnknown) {
			f.service.eject(now, a.route.target)
		}
	}
	return c.finishUnanswered(now, id, types.CodeDeadlineExceeded, ReasonDeadline, out)
}
