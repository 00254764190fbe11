package admission

import (
	"math"
	"slices"
	"time"

	"sequoiasail.example/admission/senders"
	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/types"
)

// request is a caller's request that has no final action yet, or whose aborted attempt has not ended yet.
type request struct {
	id      LocalRequestID
	route   *catalog.Route
	service *service
	keyed   bool
	key     keyspace.Key
	// priority is that of the route or of the customer; 0 is the most urgent.
	priority int
	arrived  types.Instant
	deadline types.Instant
	// attempts counts the sends. inFlight holds the attempts that have not ended.
	attempts int
	inFlight []flight
	// tried lists the targets of all attempts.
	tried []types.Target
	// mayHaveRun is true once an attempt has ended after which the request may have run. It is then never refused as not
	// run.
	mayHaveRun bool
	// refusedSecond is true once a second send has been refused. failedAnswer is the failure with which an attempt was answered
	// while the other one was in flight.
	refusedSecond bool
	failedAnswer  any
	// heldForSender is true once the request has waited for a sender.
	heldForSender bool
	// callerLeft is true once the caller has disconnected. The request is then not sent again.
	callerLeft bool
	// finished is true once the request has its final action.
	finished bool
	// notBefore delays the next attempt at a keyed service.
	notBefore types.Instant
	// waiting is true while the request is in the queue of its service.
	waiting bool
	// outlivesStop is true if a planned stop has brought the deadline forward.
	outlivesStop bool
}

// flight is one attempt that has not ended.
type flight struct {
	attempt int
	target  *target
	sentAt  types.Instant
	// expected is the time in which the target was expected to answer.
	expected time.Duration
	// second is true for the copy of a request that has another attempt in flight.
	second bool
	// abandoned is true once the attempt has been given up while its request goes on.
	abandoned bool
	// overtaken is the number of requests that were sent to the target later and have been answered.
	overtaken int
	// reviewAt is when the attempt is next reviewed.
	reviewAt types.Instant
}

// Random is a source of uniform random numbers below n.
type Random interface {
	IntN(n int) int
	Int64N(n int64) int64
}

// Core makes the admission decisions of one VM. It is owned by one goroutine.
type Core struct {
	settings Settings
	random   Random
	requests map[LocalRequestID]*request
	services map[types.Service]*service
	targets  map[types.Target]*target
	// delisted holds the targets that have left the list less than delistedTTL ago, with what was sent to them.
	delisted map[types.Target]*target
	// vms are all VMs of the fleet, this one included.
	vms []types.VM
	// neighbours are the other VMs of the data centre, which send their reports to this one.
	neighbours neighbourhood
	// peerRequests holds the last report of each other VM.
	peerRequests map[types.VM]peerReport
	// senders counts the attempts in flight, each of which holds a sender.
	senders *senders.Shares
	// finishRate is the rate at which attempts end.
	finishRate rateMeter
	// changedTargets holds the targets whose requests have changed since the last Report, samples the observations
	// since then.
	changedTargets map[types.Target]bool
	samples        []Sample
	// reportInterval is that of Peers. estimates is the working memory of chooseFastest.
	reportInterval time.Duration
	estimates      []estimate
	actions        []Action
	// startedAt is the time of the first message.
	startedAt types.Instant
	// awaitedNeighbours holds the neighbours that were listed while this VM started and have not reported yet, with the time of
	// the listing. reportsCompleteAt is when the reports of the others cover coldWindow, after this VM has started or has not
	// heard most of its neighbours.
	awaitedNeighbours map[types.VM]types.Instant
	reportsCompleteAt types.Instant
	// nextCheck is when Tick next checks deadlines and waiting requests.
	nextCheck types.Instant
	// stopping is the planned stop of the process, nil if there is none.
	stopping *Stopping
}

// New returns a core that knows no services.
func New(s Settings, random Random) *Core {
	return &Core{
		settings: s, random: random,
		requests:       make(map[LocalRequestID]*request),
		services:       make(map[types.Service]*service),
		targets:        make(map[types.Target]*target),
		delisted:       make(map[types.Target]*target),
		peerRequests:   make(map[types.VM]peerReport),
		changedTargets: make(map[types.Target]bool),
		neighbours:     newNeighbourhood(),
		senders:        senders.New(s.Senders),

		awaitedNeighbours: make(map[types.VM]types.Instant),
	}
}

// Step applies a message and returns the resulting actions.
func (c *Core) Step(now types.Instant, m Message) []Action {
	c.actions = nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	switch m := m.(type) {
	case RequestArrived:
		c.handleArrival(now, m)
	case CallerLeft:
		c.handleCallerLeft(now, m)
	case AttemptFinished:
		c.handleAttemptFinished(now, m)
	case Services:
		c.setServices(m)
	case Targets:
		c.setTargets(now, m)
	case Owners:
		c.setOwners(now, m)
	case KeysMoving:
		c.setMoving(now, m)
	case RetryLimits:
		c.settings.RetryRatio, c.settings.RetrySlack, c.settings.RetryWindow = m.RetryRatio, m.RetrySlack, m.RetryWindow
		for _, s := range c.services {
			s.retryBudget.settings = c.settings
		}
	case Peers:
		c.setPeers(now, m)
	case PeerReport:
		c.applyPeerReport(now, m)
	case Stopping:
		c.setStopping(m)
	}
	return c.actions
}

// Tick ends requests at their deadlines, sends waiting requests to targets with room, and returns the resulting
// actions.
func (c *Core) Tick(now types.Instant) []Action {
	c.actions = nil
	if now.Before(c.nextCheck) {
		return nil
	}
	c.nextCheck = now.Add(tickInterval)
	for _, req := range c.requests {
		c.expire(now, req)
	}
	c.reviewFlights(now)
	for _, s := range c.services {
		c.sendWaiting(now, s)
	}
	return c.actions
}

// NextTick returns the time until Tick is due again, and whether there are requests that need it. While none waits, that is the
// next deadline.
func (c *Core) NextTick(now types.Instant) (time.Duration, bool) {
	for _, s := range c.services {
		if len(s.waiting) > 0 {
			return tickInterval, true
		}
	}
	wait, busy := time.Duration(math.MaxInt64), false
	for _, req := range c.requests {
		if !req.finished {
			wait, busy = min(wait, req.deadline.Add(-replyMargin/2).Sub(now)), true
			if review, ok := c.nextReview(now, req); ok {
				wait = min(wait, review)
			}
		}
	}
	return max(wait, tickInterval), busy
}

func (c *Core) handleArrival(now types.Instant, m RequestArrived) {
	req := &request{
		id: m.ID, route: m.Route, keyed: m.Keyed, key: m.Key, priority: m.Route.Priority, arrived: now, deadline: m.Deadline,
	}
	if m.Priority != nil {
		req.priority = *m.Priority
	}
	if limit := now.Add(m.Route.Timeout); limit.Before(req.deadline) {
		req.deadline = limit
	}
	req.service = c.pickService(m.Route)
	c.requests[req.id] = req
	if req.service == nil {
		c.reject(now, req, types.CodeNoRoute)
		return
	}
	c.limitToStop(req)
	req.service.open++
	req.service.retryBudget.addRequest(now)
	req.service.hedge.AddRequest()
	c.sendOrQueue(now, req)
}

// pickService draws the service of a request by the weights of the route. It returns nil when the service is unknown.
func (c *Core) pickService(r *catalog.Route) *service {
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

// sendOrQueue sends a request, queues it or rejects it. A request whose attempt would have to end at once is rejected: the
// end of such an attempt would count against its target.
func (c *Core) sendOrQueue(now types.Instant, req *request) {
	if !c.mayStart(now, req) {
		c.reject(now, req, types.CodeShuttingDown)
		return
	}
	if !now.Before(req.deadline.Add(-replyMargin)) {
		c.reject(now, req, types.CodeDeadlineExceeded)
		return
	}
	if req.waiting && !req.service.Keyed && !c.senders.Allows(req.service.Name) {
		// Without a sender the choice among all targets would be made in vain for each waiting request.
		if code := c.waitForSender(now, req); code != "" {
			c.reject(now, req, code)
		}
		return
	}
	t, code := c.chooseTarget(now, req)
	if t != nil && !c.senders.Allows(req.service.Name) {
		t, code = nil, c.waitForSender(now, req)
	}
	switch {
	case t != nil:
		c.send(now, req, t)
	case code == "":
		c.enqueue(req)
	default:
		c.reject(now, req, code)
	}
}

// enqueue queues a request at its service. The next report tells the neighbours about requests that wait for the owner
// of a key.
func (c *Core) enqueue(req *request) {
	if req.service.Keyed && !req.waiting {
		c.changedTargets[req.service.ownerOf(req.key)] = true
	}
	req.service.enqueue(req)
}

func (c *Core) send(now types.Instant, req *request, t *target) { c.sendAs(now, req, t, false) }

// sendAs sends a request. second is true if another attempt of it stays in flight.
func (c *Core) sendAs(now types.Instant, req *request, t *target, second bool) {
	req.service.dequeue(req)
	if req.attempts > 0 {
		req.service.retryBudget.addRetry(now)
	}
	req.attempts++
	req.inFlight = append(req.inFlight, flight{
		attempt: req.attempts, target: t, sentAt: now, expected: t.expectedTime(now) + c.remotePenalty(t), second: second,
	})
	c.senders.Take(req.service.Name)
	req.tried = append(req.tried, t.Target)
	t.ownInFlight++
	t.dataCentreSends.add(now, 1)
	t.ownSends.add(now, 1)
	c.changedTargets[t.Target] = true
	c.actions = append(c.actions, Send{
		ID: req.id, Attempt: req.attempts, Target: t.Registration, Leaving: t.leavingSince != 0, Deadline: req.deadline.Add(-replyMargin),
		Second: second, Reason: c.describeLoad(now, t),
	})
}

// expire ends a request at its deadline.
func (c *Core) expire(now types.Instant, req *request) {
	switch {
	case req.finished || now.Before(req.deadline.Add(-replyMargin/2)):
	case len(req.inFlight) == 0:
		c.reject(now, req, types.CodeDeadlineExceeded)
	default:
		c.abort(req, types.CodeDeadlineExceeded)
	}
}

// handleCallerLeft ends a request whose caller has disconnected. An attempt that is not idempotent is withdrawn if no byte of it
// has been written. Otherwise it is left to finish, because its caller may ask for the result later.
func (c *Core) handleCallerLeft(now types.Instant, m CallerLeft) {
	req := c.requests[m.ID]
	if req == nil || req.finished {
		return
	}
	req.callerLeft = true
	switch {
	case len(req.inFlight) == 0:
		c.reject(now, req, types.CodeCancelled)
	case req.route.Idempotent:
		c.abort(req, types.CodeCancelled)
	default:
		for _, f := range req.inFlight {
			c.actions = append(c.actions, Withdraw{ID: req.id, Attempt: f.attempt})
		}
	}
}

// reject ends a request that has no attempt in flight: with a refusal when it has not run, otherwise with the failure that a target
// answered while another copy was in flight, or one of this VM.
func (c *Core) reject(now types.Instant, req *request, code types.Code) {
	if req.failedAnswer != nil {
		c.finish(req, Reply{ID: req.id, Answer: req.failedAnswer})
		return
	}
	if req.mayHaveRun {
		c.finish(req, Fail{ID: req.id, Code: code})
		return
	}
	after := minRetryAfter + time.Duration(c.random.Int64N(int64(retryAfterJitter)))
	if code == types.CodeShuttingDown {
		after = stopRetryAfter
	}
	c.finish(req, Refuse{ID: req.id, Code: code, RetryAfter: after, Reason: c.refusalReason(now, req)})
}

// abort ends a request that has attempts in flight, with a failure because a target may run it.
func (c *Core) abort(req *request, code types.Code) {
	c.abortFlights(req)
	c.finish(req, Fail{ID: req.id, Code: code})
}

// abortFlights ends the attempts of a request that are in flight.
func (c *Core) abortFlights(req *request) {
	for _, f := range req.inFlight {
		if !f.abandoned {
			c.actions = append(c.actions, Abort{ID: req.id, Attempt: f.attempt})
		}
	}
}

// finish appends the final action of a request. No other action follows it. The request is kept while an attempt is in
// flight.
func (c *Core) finish(req *request, final Action) {
	c.actions = append(c.actions, final)
	req.finished = true
	if req.service != nil {
		req.service.dequeue(req)
	}
	if len(req.inFlight) == 0 {
		c.remove(req)
	}
}

// remove forgets a request, and its service when that has left the configuration and has no other request.
func (c *Core) remove(req *request) {
	delete(c.requests, req.id)
	s := req.service
	if s == nil {
		return
	}
	s.open--
	if s.removed && s.open == 0 {
		delete(c.services, s.Name)
	}
}

// handleAttemptFinished updates the target's statistics, completes or retries the request, and sends requests that
// waited for the freed slot.
func (c *Core) handleAttemptFinished(now types.Instant, m AttemptFinished) {
	req := c.requests[m.ID]
	if req == nil {
		return
	}
	i := slices.IndexFunc(req.inFlight, func(f flight) bool { return f.attempt == m.Attempt })
	if i < 0 {
		return
	}
	f := req.inFlight[i]
	t := f.target
	req.inFlight = slices.Delete(req.inFlight, i, i+1)
	t.ownInFlight--
	c.senders.Release(req.service.Name)
	c.finishRate.add(now, 1)
	c.changedTargets[t.Target] = true
	c.recordOutcome(now, req, f, m)
	req.mayHaveRun = req.mayHaveRun || m.Result == ResultLost || m.Result == ResultAnswered
	switch {
	case req.finished && len(req.inFlight) == 0:
		c.remove(req)
	case req.finished:
	case f.abandoned || len(req.inFlight) > 0 && !req.inFlight[0].abandoned:
		c.joinOther(req, f, m)
	default:
		c.completeOrRetry(now, req, f, m)
	}
	c.sendFreed(now, req.service)
}

// completeOrRetry replies, retries or rejects, in that order of preference.
func (c *Core) completeOrRetry(now types.Instant, req *request, f flight, m AttemptFinished) {
	notRun := m.Result == ResultNotRun || m.Result == ResultMisdirected
	switch {
	case m.Result == ResultAnswered && (!m.Failed || !c.mayRetry(now, req, req.route.Idempotent)):
		c.reply(req, f, m.Answer)
	case c.mayRetry(now, req, notRun || req.route.Idempotent):
		c.retry(now, req, f.target, m)
	case notRun:
		c.reject(now, req, types.CodeTargetRefused)
	default:
		c.reject(now, req, types.CodeTargetFailed)
	}
}

// mayRetry reports whether a retry is safe, still wanted, and within the route's attempts, the retry budget and the
// deadline.
func (c *Core) mayRetry(now types.Instant, req *request, safe bool) bool {
	return safe && !req.callerLeft && c.mayStart(now, req) &&
		req.attempts < req.route.MaxAttempts && req.service.retryBudget.allows(now, c.fleetSize()) &&
		now.Before(req.deadline.Add(-minSendTime))
}

// retry sends a request once more or queues it. At a keyed service it waits first: the key may be moving.
func (c *Core) retry(now types.Instant, req *request, t *target, m AttemptFinished) {
	if req.service.Keyed {
		req.notBefore = now.Add(refusedDelay)
		if m.Result == ResultMisdirected {
			req.notBefore = now.Add(misdirectedDelay)
		}
	}
	c.actions = append(c.actions, Note{ID: req.id, Target: t.Target, Reason: "send again"})
	c.sendOrQueue(now, req)
}
