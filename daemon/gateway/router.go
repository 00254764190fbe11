package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/routing"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	requestRingCapacity = 4096
	resultRingCapacity  = 4096
	controlRingCapacity = 256
	// resultMargin is added to the time that a dispatcher has to answer, so that the dispatcher's refusal arrives before
	// the call times out.
	resultMargin = 20 * time.Millisecond
	// cancelTimeout bounds a cancellation. A lost cancellation only wastes some of the target's work.
	cancelTimeout = 200 * time.Millisecond
)

// pending is one caller's request in the router.
type pending struct {
	request  peer.DoRequest
	arrived  types.Instant
	deadline types.Instant
	pinned   types.Target
	// replies carries the answer to the caller's goroutine. Its buffer holds one, so that the router never blocks.
	replies chan callerReply

	// attempts and mayHaveRun are used by the router duty only.
	attempts []attempt
	// mayHaveRun is true once a dispatcher has answered that an earlier dispatcher may have sent the request.
	mayHaveRun bool
}

// attempt is one attempt of a request at a dispatcher, with its answer or fault once that has arrived.
type attempt struct {
	number uint8
	target types.Target
	answer *peer.DoAnswer
	fault  *types.Fault
}

// callerReply is what the caller's goroutine receives: the target's answer or a fault.
type callerReply struct {
	answer *peer.DoAnswer
	fault  *types.Fault
}

// requestEvent is one element of the router's request ring. A nil pending cancels the request with the handle.
type requestEvent struct {
	handle  uint64
	pending *pending
}

// attemptResult is the result of an attempt, reported by a link.
type attemptResult struct {
	handle  uint64
	attempt uint8
	answer  *peer.DoAnswer
	fault   *types.Fault
	latency time.Duration
}

// controlUpdate carries changes of routing state, and the new set of links unless links is nil.
type controlUpdate struct {
	messages []routing.Message
	links    map[types.VM]*peer.Link
}

// router is the duty that owns the routing core and the requests in progress. Other duties reach it through its rings.
type router struct {
	requests       *ring.Ring[requestEvent]
	results        *ring.Ring[attemptResult]
	controlUpdates *ring.Ring[controlUpdate]
	log            *telemetry.Log
	stats          *stats

	core    *routing.Core
	pending map[uint64]*pending // by handle
	links   map[types.VM]*peer.Link
	// actions and message are those of the present step. They are fields so that no step allocates them.
	actions []routing.Action
	message routing.Message
	// deferred holds results of attempts that failed while actions were performed.
	deferred []attemptResult
}

func newRouter(dataCentre types.DataCentre, log *telemetry.Log, stats *stats) *router {
	seed := uint64(time.Now().UnixNano())
	return &router{
		requests:       ring.New[requestEvent](requestRingCapacity),
		results:        ring.New[attemptResult](resultRingCapacity),
		controlUpdates: ring.New[controlUpdate](controlRingCapacity),
		log:            log,
		stats:          stats,
		core:           routing.New(routing.Options{DataCentre: dataCentre, Random: rand.NewPCG(seed, seed)}),
		pending:        make(map[uint64]*pending),
	}
}

func (r *router) duty() duty.Duty {
	return duty.Duty{
		Name: "router",
		Run:  r.run,
		Stop: func(context.Context) error { r.requests.Close(); return nil },
	}
}

// run handles requests, results, changes and timers until the request ring is closed and all requests are answered, or
// ctx ends.
func (r *router) run(ctx context.Context) error {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	defer r.failPending()
	for {
		alarm.Set(r.core.NextTick())
		select {
		case <-r.requests.Ready():
			r.requests.Drain(r.applyRequest)
		case <-r.results.Ready():
			r.results.Drain(r.applyResult)
		case <-r.controlUpdates.Ready():
			r.controlUpdates.Drain(r.applyControl)
		case <-alarm.C():
			alarm.MarkFired()
			r.tick()
		case <-r.requests.Done():
			r.requests.Drain(r.applyRequest)
			if len(r.pending) == 0 {
				return nil
			}
			r.finishPending(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// finishPending waits until all requests in progress are answered, after the request ring has closed.
func (r *router) finishPending(ctx context.Context) {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	for len(r.pending) > 0 {
		alarm.Set(r.core.NextTick())
		select {
		case <-r.results.Ready():
			r.results.Drain(r.applyResult)
		case <-r.controlUpdates.Ready():
			r.controlUpdates.Drain(r.applyControl)
		case <-alarm.C():
			alarm.MarkFired()
			r.tick()
		case <-ctx.Done():
			return
		}
	}
}

// failPending answers all requests in progress when the router stops.
func (r *router) failPending() {
	for handle, p := range r.pending {
		p.replies <- callerReply{fault: types.NewFault(types.CodeShuttingDown, "the gateway stopped while the request was in progress")}
		delete(r.pending, handle)
	}
}

func (r *router) applyRequest(m requestEvent) {
	if m.pending == nil {
		r.step(routing.Message{Kind: routing.KindCancel, Handle: m.handle})
		return
	}
	r.pending[m.handle] = m.pending
	r.step(requestMessage(m.handle, m.pending))
}

func requestMessage(handle uint64, p *pending) routing.Message {
	return routing.Message{Kind: routing.KindRequest, Request: routing.Request{
		Handle:     handle,
		Service:    p.request.Service,
		Key:        p.request.KeyHash,
		Class:      p.request.Class,
		Caller:     p.request.Caller,
		ID:         p.request.RequestID,
		Idempotent: p.request.Idempotent,
		Deadline:   p.deadline,
		Pinned:     p.pinned,
	}}
}

func (r *router) applyResult(m attemptResult) {
	if p, ok := r.pending[m.handle]; ok {
		for i := range p.attempts {
			if p.attempts[i].number == m.attempt {
				p.attempts[i].answer = m.answer
				p.attempts[i].fault = m.fault
			}
		}
	}
	outcome, code := outcomeOf(m)
	if outcome == types.OutcomeUnknown && dispatcherSentNothing(code) {
		outcome = types.OutcomeNotRun
		if p, ok := r.pending[m.handle]; ok {
			p.mayHaveRun = true
		}
	}
	r.step(routing.Message{Kind: routing.KindResult, Result: routing.Result{
		Handle:       m.handle,
		Attempt:      m.attempt,
		Outcome:      outcome,
		Code:         code,
		Latency:      m.latency,
		RetryAllowed: retryAllowed(code),
	}})
}

// dispatcherSentNothing reports whether code means that the answering dispatcher did not send the request. The request
// may then be routed again, even if its outcome is unknown because an earlier dispatcher may have sent it.
func dispatcherSentNothing(code types.Code) bool {
	return code == types.CodeNotLeaseHolder || code == types.CodeStaleEpoch
}

func outcomeOf(m attemptResult) (types.Outcome, types.Code) {
	if m.fault != nil {
		return m.fault.Outcome, m.fault.Code
	}
	return m.answer.Outcome, m.answer.Failure.Code
}

// retryAllowed reports whether another attempt may succeed. Faults of the request itself would recur.
func retryAllowed(code types.Code) bool {
	switch code {
	case types.CodeQuarantined, types.CodeRequestIDReused, types.CodeRequestMemoryLost, types.CodeDeadlineExceeded, types.CodeBadRequest:
		return false
	default:
		return true
	}
}

func (r *router) applyControl(m controlUpdate) {
	if m.links != nil {
		r.links = m.links
	}
	for _, message := range m.messages {
		r.step(message)
	}
}

func (r *router) tick() {
	r.actions = r.core.Tick(telemetry.Now(), r.actions[:0])
	r.perform()
}

func (r *router) step(m routing.Message) {
	r.message = m
	r.actions = r.core.Step(telemetry.Now(), &r.message, r.actions[:0])
	r.perform()
}

// perform performs the actions of the last step. Results of attempts that failed at once are applied afterwards.
func (r *router) perform() {
	for i := range r.actions {
		r.performAction(&r.actions[i])
	}
	for len(r.deferred) > 0 {
		next := r.deferred[0]
		r.deferred = r.deferred[1:]
		r.applyResult(next)
	}
}

func (r *router) performAction(a *routing.Action) {
	switch a.Kind {
	case routing.ActionForward:
		r.forward(a.Forward)
	case routing.ActionReply:
		r.reply(a.Reply)
	case routing.ActionCancel:
		r.cancel(a.Cancel)
	case routing.ActionDecision:
		r.logDecision(&a.Decision)
	}
}

// forward calls the dispatcher that the core chose.
func (r *router) forward(f routing.Forward) {
	p, ok := r.pending[f.Handle]
	if !ok {
		return
	}
	p.attempts = append(p.attempts, attempt{number: f.Attempt, target: f.Target.Target})
	args := p.request
	args.Target = f.Target.Target
	args.Slot = f.Slot
	args.SlotEpoch = f.SlotEpoch
	args.LeaseEpoch = f.LeaseEpoch
	args.RemainingNs = int64(f.Remaining)
	answer := &peer.DoAnswer{}
	started := telemetry.Now()
	call := &peer.Call{
		Method:  peer.MethodDo,
		Args:    &args,
		Reply:   answer,
		Timeout: f.Remaining + resultMargin,
		Done: func(c *peer.Call) {
			r.reportResult(f, answer, c.Err, telemetry.Now().Sub(started))
		},
	}
	if err := r.call(f.VM, call); err != nil {
		r.deferred = append(r.deferred, attemptResult{handle: f.Handle, attempt: f.Attempt, fault: err})
	}
}

// reportResult puts the result of an attempt into the router's ring. It runs on the link's duty.
func (r *router) reportResult(f routing.Forward, answer *peer.DoAnswer, fault *types.Fault, latency time.Duration) {
	m := attemptResult{handle: f.Handle, attempt: f.Attempt, fault: fault, latency: latency}
	if fault == nil && !answer.Valid() {
		m.fault = types.NewFault(types.CodePeerUnavailable, "%s answered with status %d", f.VM, answer.Status)
	}
	if m.fault == nil {
		m.answer = answer
	}
	_ = r.results.Put(context.Background(), m)
}

func (r *router) call(vm types.VM, c *peer.Call) *types.Fault {
	link, ok := r.links[vm]
	if !ok {
		return types.NotRun(types.CodePeerUnavailable, "no link to %s", vm)
	}
	if err := link.TryCall(c); err != nil {
		return types.NotRun(types.CodeOf(err), "link to %s: %v", vm, err)
	}
	return nil
}

func (r *router) cancel(c routing.Cancel) {
	p, ok := r.pending[c.Handle]
	if !ok {
		return
	}
	args := &peer.CancelRequest{RequestID: p.request.RequestID, Caller: p.request.Caller, Service: p.request.Service}
	for _, a := range p.attempts {
		if a.number == c.Attempt {
			args.Target = a.target
		}
	}
	// The error is ignored: a lost cancellation only wastes some of the target's work.
	_ = r.call(c.VM, &peer.Call{
		Method:  peer.MethodCancel,
		Args:    args,
		Reply:   &peer.Empty{},
		Timeout: cancelTimeout,
		Done:    func(*peer.Call) {},
	})
}

func (r *router) reply(a routing.Reply) {
	p, ok := r.pending[a.Handle]
	if !ok {
		return
	}
	delete(r.pending, a.Handle)
	if p.mayHaveRun && a.Outcome == types.OutcomeNotRun {
		a.Outcome = types.OutcomeUnknown
	}
	r.stats.countAnswer(p.request.Service, p.request.Class, a.Outcome, telemetry.Now().Sub(p.arrived))
	p.replies <- p.replyFor(a)
}

// replyFor returns the answer of the attempt that the core chose, or the core's own refusal.
func (p *pending) replyFor(a routing.Reply) callerReply {
	for _, at := range p.attempts {
		if at.number != a.Attempt || a.Attempt == 0 {
			continue
		}
		if at.answer != nil && at.answer.Outcome == types.OutcomeDone {
			return callerReply{answer: addTargetHeaders(at, p)}
		}
		return callerReply{fault: attemptFault(at, a)}
	}
	f := types.NewFault(a.Code, "%s", coreFaultMessage(a.Code))
	f.Outcome = a.Outcome
	return callerReply{fault: f}
}

// addTargetHeaders adds headers that name the target that ran the request. A caller that sends the session header with
// its next requests to a service without keys reads its own writes, through any gateway.
func addTargetHeaders(at attempt, p *pending) *peer.DoAnswer {
	if at.answer.Header == nil {
		at.answer.Header = map[string][]string{}
	}
	name := []string{string(at.target)}
	at.answer.Header[headerTarget] = name
	if !p.request.Class.Idempotent() {
		at.answer.Header[headerSession] = name
	}
	return at.answer
}

// attemptFault returns the fault for a failed attempt, with the message of the link or the dispatcher if there is one.
func attemptFault(at attempt, a routing.Reply) *types.Fault {
	message := coreFaultMessage(a.Code)
	switch {
	case at.fault != nil:
		message = at.fault.Message
	case at.answer != nil && at.answer.Failure.Message != "":
		message = at.answer.Failure.Message
	}
	f := types.NewFault(a.Code, "%s", message)
	f.Outcome = a.Outcome
	return f
}

func (r *router) logDecision(d *routing.Decision) {
	line := telemetry.Decision{
		Kind:    "route",
		Service: string(d.Target.Service),
		Target:  string(d.Target.Target),
		VM:      string(d.VM),
		KeyHash: uint64(d.Key),
		Epoch:   uint64(max(d.SlotEpoch, d.LeaseEpoch)),
		Reason:  d.Reason.String(),
		Outcome: d.Outcome.String(),
		Code:    string(d.Code),
	}
	if p, ok := r.pending[d.Handle]; ok {
		line.RequestID = string(p.request.RequestID)
		line.Service = string(p.request.Service)
	}
	r.log.LogDecision(line)
}
