package admission

import (
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/types"
)

// flight is a request that has no final answer yet, or whose abandoned attempt is still under way.
type flight struct {
	id       FlightID
	route    *catalog.Route
	service  *service
	keyed    bool
	key      keyspace.Key
	arrived  types.Instant
	deadline types.Instant
	// attempts counts the sends; sentTo is the target of the one under way, nil when there is none.
	attempts int
	sentTo   *target
	sentAt   types.Instant
	tried    []types.Target
	// answered is true once the caller has its final answer or has left.
	answered bool
	// waitUntil delays the next attempt, after a target has refused the key.
	waitUntil types.Instant
	waiting   bool
}

// Random is a source of uniform random numbers below n.
type Random interface {
	IntN(n int) int
	Int64N(n int64) int64
}

// Core decides for one VM. It is owned by one goroutine.
type Core struct {
	settings Settings
	random   Random
	flights  map[FlightID]*flight
	services map[types.Service]*service
	targets  map[types.Target]*target
	vms      []types.VM
	// neighbours are the other VMs of the data centre, which report to this one.
	neighbours []types.VM
	peers      map[types.VM]peerReport
	changed    map[types.Target]bool
	samples    []Sample
	actions    []Action
	// startedAt is the time of the first message.
	startedAt types.Instant
	// checkAt is when deadlines and waiting requests are looked at next.
	checkAt types.Instant
}

// New returns a core that knows no services.
func New(s Settings, random Random) *Core {
	return &Core{
		settings: s, random: random,
		flights:  make(map[FlightID]*flight),
		services: make(map[types.Service]*service),
		targets:  make(map[types.Target]*target),
		peers:    make(map[types.VM]peerReport),
		changed:  make(map[types.Target]bool),
	}
}

// Step applies a message and returns the actions that follow.
func (c *Core) Step(now types.Instant, m Message) []Action {
	c.actions = nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	switch m := m.(type) {
	case Arrived:
		c.arrive(now, m)
	case Left:
		c.leave(m)
	case Finished:
		c.finish(now, m)
	case Services:
		c.setServices(m)
	case Targets:
		c.setTargets(now, m)
	case Owners:
		c.setOwners(now, m)
	case Moving:
		c.setMoving(now, m)
	case Bounds:
		c.settings.RetryRatio, c.settings.RetrySlack, c.settings.RetryWindow = m.RetryRatio, m.RetrySlack, m.RetryWindow
		for _, s := range c.services {
			s.budget.settings = c.settings
		}
	case Peers:
		c.setPeers(m)
	case PeerReport:
		c.hear(now, m)
	}
	return c.actions
}

// Tick ends what is overdue, sends what can be sent, and returns the actions that follow.
func (c *Core) Tick(now types.Instant) []Action {
	c.actions = nil
	if now.Before(c.checkAt) {
		return nil
	}
	c.checkAt = now.Add(wakeInterval)
	for _, f := range c.flights {
		c.expire(now, f)
	}
	for _, s := range c.services {
		c.serve(now, s)
	}
	return c.actions
}

// Busy reports whether Tick is needed again after wakeInterval.
func (c *Core) Busy() (time.Duration, bool) { return wakeInterval, len(c.flights) > 0 }

func (c *Core) arrive(now types.Instant, m Arrived) {
	f := &flight{id: m.ID, route: m.Route, keyed: m.Keyed, key: m.Key, arrived: now, deadline: m.Deadline}
	if limit := now.Add(m.Route.Timeout); limit.Before(f.deadline) {
		f.deadline = limit
	}
	f.service = c.choosePart(m.Route)
	if f.service == nil {
		c.flights[f.id] = f
		c.refuse(now, f, types.CodeNoRoute)
		return
	}
	f.service.budget.request(now)
	c.flights[f.id] = f
	c.place(now, f)
}

// choosePart draws the service of a request by the weights of the route. It returns nil when the service is unknown.
func (c *Core) choosePart(r *catalog.Route) *service {
	sum := 0
	for _, p := range r.Backends {
		sum += p.Weight
	}
	if sum <= 0 {
		return nil
	}
	n := c.random.IntN(sum)
	for _, p := range r.Backends {
		if n < p.Weight {
			return c.services[p.Service]
		}
		n -= p.Weight
	}
	return nil
}

// place sends a request, lets it wait, or refuses it.
func (c *Core) place(now types.Instant, f *flight) {
	t, verdict := c.choose(now, f)
	switch {
	case t != nil:
		c.send(now, f, t)
	case verdict == "":
		c.wait(f)
	default:
		f.service.stopWaiting(f)
		c.refuse(now, f, verdict)
	}
}

// wait keeps a request. Those that wait for an owner of keys are told to the neighbours.
func (c *Core) wait(f *flight) {
	if f.service.Keyed && !f.waiting {
		c.changed[f.service.ownerOf(f.key)] = true
	}
	f.service.wait(f)
}

func (c *Core) send(now types.Instant, f *flight, t *target) {
	f.service.stopWaiting(f)
	if f.attempts > 0 {
		f.service.budget.repeat(now)
	}
	f.attempts++
	f.sentTo, f.sentAt = t, now
	f.tried = append(f.tried, t.Target)
	t.own++
	t.recent.add(now, 1)
	t.mine.add(now, 1)
	c.changed[t.Target] = true
	c.actions = append(c.actions, Send{
		ID: f.id, Attempt: f.attempts, Target: t.Registration, Deadline: f.deadline.Add(-answerMargin),
		Reason: t.explain(now),
	})
}

// expire ends a request at its deadline: as not run if it was never sent, else as unknown.
func (c *Core) expire(now types.Instant, f *flight) {
	if f.answered || now.Before(f.deadline.Add(-answerMargin/2)) {
		return
	}
	if f.sentTo == nil {
		f.service.stopWaiting(f)
		c.refuse(now, f, types.CodeDeadlineExceeded)
		return
	}
	c.actions = append(c.actions, Fail{ID: f.id, Code: types.CodeDeadlineExceeded}, Abort{ID: f.id, Attempt: f.attempts})
	f.answered = true
}

// leave drops a request whose caller is gone. An attempt that may change something is left to finish: its caller may
// ask for the result.
func (c *Core) leave(m Left) {
	f := c.flights[m.ID]
	if f == nil || f.answered {
		return
	}
	f.answered = true
	if f.sentTo == nil {
		f.service.stopWaiting(f)
		delete(c.flights, f.id)
		return
	}
	if f.route.Idempotent {
		c.actions = append(c.actions, Abort{ID: f.id, Attempt: f.attempts})
	}
}

func (c *Core) refuse(now types.Instant, f *flight, code types.Code) {
	after := shortestRetryAfter + time.Duration(c.random.Int64N(int64(retryAfterSpread)))
	c.actions = append(c.actions, Refuse{ID: f.id, Code: code, RetryAfter: after, Reason: c.reason(now, f)})
	delete(c.flights, f.id)
}

// finish handles the end of an attempt.
func (c *Core) finish(now types.Instant, m Finished) {
	f := c.flights[m.ID]
	if f == nil || f.sentTo == nil || f.attempts != m.Attempt {
		return
	}
	t := f.sentTo
	f.sentTo = nil
	t.own--
	c.changed[t.Target] = true
	c.learn(now, f, t, m)
	if f.answered {
		delete(c.flights, f.id)
	} else {
		c.conclude(now, f, t, m)
	}
	c.serve(now, f.service)
}

// conclude replies, sends again, refuses or fails, in that order of preference.
func (c *Core) conclude(now types.Instant, f *flight, t *target, m Finished) {
	notRun := m.Result == ResultNotRun || m.Result == ResultMisdirected
	switch {
	case m.Result == ResultAnswered && (!m.Failed || !c.mayRepeat(now, f, f.route.Idempotent)):
		c.actions = append(c.actions, Reply{ID: f.id, Answer: m.Answer})
		delete(c.flights, f.id)
	case c.mayRepeat(now, f, notRun || f.route.Idempotent):
		c.again(now, f, t, m)
	case notRun:
		c.refuse(now, f, types.CodeTargetRefused)
	default:
		c.actions = append(c.actions, Fail{ID: f.id, Code: types.CodeTargetFailed})
		delete(c.flights, f.id)
	}
}

func (c *Core) mayRepeat(now types.Instant, f *flight, safe bool) bool {
	return safe && f.attempts < f.route.MaxAttempts && f.service.budget.allows(now, c.fleetSize()) &&
		now.Before(f.deadline.Add(-smallestSend))
}

// again places a request once more. A refusal of its key means that the key moves: the request waits a little.
func (c *Core) again(now types.Instant, f *flight, t *target, m Finished) {
	if f.service.Keyed {
		f.waitUntil = now.Add(fullWait)
		if m.Result == ResultMisdirected {
			f.waitUntil = now.Add(misdirectedWait)
		}
	}
	c.actions = append(c.actions, Note{ID: f.id, Target: t.Target, Reason: "send again"})
	c.place(now, f)
}
