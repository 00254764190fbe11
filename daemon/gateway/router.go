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
	// resultSlack is added to the time a dispatcher gets, so that its own refusal arrives before the link gives up.
	resultSlack = 20 * time.Millisecond
	// cancelTimeout bounds a cancellation, whose loss only costs the target some work.
	cancelTimeout = 200 * time.Millisecond
)

// pending is one caller's request inside the router.
type pending struct {
	request  peer.DoRequest
	arrived  types.Instant
	deadline types.Instant
	pinned   types.Target
	// done is the reply slot. It has room for one result, so that the router never waits for a caller.
	done chan result

	// The fields below belong to the router.
	attempts []attempt
	// mayHaveRun is true once a dispatcher said that another dispatcher may have sent the request earlier.
	mayHaveRun bool
}

// attempt is one forwarded copy of a request.
type attempt struct {
	number uint8
	target types.Target
	answer *peer.DoAnswer
	fault  *types.Fault
}

// result is what the caller's goroutine receives.
type result struct {
	answer *peer.DoAnswer
	fault  *types.Fault
}

// request is one element of the router's request ring. A nil pending cancels the handle.
type request struct {
	handle  uint64
	pending *pending
}

// attemptResult is what a link reports.
type attemptResult struct {
	handle  uint64
	attempt uint8
	answer  *peer.DoAnswer
	fault   *types.Fault
	latency time.Duration
}

// control carries everything that is not part of a request.
type control struct {
	messages []routing.Message
	links    map[types.VM]*peer.Link
}

// router owns the routing core.
type router struct {
	requests *ring.Ring[request]
	results  *ring.Ring[attemptResult]
	controls *ring.Ring[control]
	log      *telemetry.Log
	stats    *stats

	core    *routing.Core
	pending map[uint64]*pending
	links   map[types.VM]*peer.Link
	actions []routing.Action
	message routing.Message
	// deferred holds results that came up while actions were carried out.
	deferred []attemptResult
}

func newRouter(dataCentre types.DataCentre, log *telemetry.Log, stats *stats) *router {
	seed := uint64(time.Now().UnixNano())
	return &router{
		requests: ring.New[request](requestRingCapacity),
		results:  ring.New[attemptResult](resultRingCapacity),
		controls: ring.New[control](controlRingCapacity),
		log:      log,
		stats:    stats,
		core:     routing.New(routing.Options{DataCentre: dataCentre, Random: rand.NewPCG(seed, seed)}),
		pending:  make(map[uint64]*pending),
	}
}

func (r *router) duty() duty.Duty {
	return duty.Duty{
		Name: "router",
		Run:  r.run,
		Stop: func(context.Context) error { r.requests.Close(); return nil },
	}
}

func (r *router) run(ctx context.Context) error {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	defer r.refuseAll()
	for {
		alarm.Set(r.core.NextTick())
		select {
		case <-r.requests.Ready():
			r.requests.Drain(r.applyRequest)
		case <-r.results.Ready():
			r.results.Drain(r.applyResult)
		case <-r.controls.Ready():
			r.controls.Drain(r.applyControl)
		case <-alarm.C():
			alarm.MarkFired()
			r.tick()
		case <-r.requests.Done():
			r.requests.Drain(r.applyRequest)
			if len(r.pending) == 0 {
				return nil
			}
			r.drain(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// drain answers what is in progress after the last request was taken.
func (r *router) drain(ctx context.Context) {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	for len(r.pending) > 0 {
		alarm.Set(r.core.NextTick())
		select {
		case <-r.results.Ready():
			r.results.Drain(r.applyResult)
		case <-r.controls.Ready():
			r.controls.Drain(r.applyControl)
		case <-alarm.C():
			alarm.MarkFired()
			r.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (r *router) refuseAll() {
	for handle, p := range r.pending {
		p.done <- result{fault: types.NewFault(types.CodeShuttingDown, "the gateway stopped while the request was in progress")}
		delete(r.pending, handle)
	}
}

func (r *router) applyRequest(m request) {
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
	if outcome == types.OutcomeUnknown && nothingSent(code) {
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

// nothingSent reports whether the dispatcher that gave code sent nothing itself. The request may then be routed again
// even if its outcome is unknown because another dispatcher may have sent it earlier.
func nothingSent(code types.Code) bool {
	return code == types.CodeNotLeaseHolder || code == types.CodeStaleEpoch
}

func outcomeOf(m attemptResult) (types.Outcome, types.Code) {
	if m.fault != nil {
		return m.fault.Outcome, m.fault.Code
	}
	return m.answer.Outcome, m.answer.Failure.Code
}

// retryAllowed reports whether another attempt may succeed. Faults of the request itself stay the same.
func retryAllowed(code types.Code) bool {
	switch code {
	case types.CodeQuarantined, types.CodeRequestIDReused, types.CodeRequestMemoryLost, types.CodeDeadlineExceeded, types.CodeBadRequest:
		return false
	default:
		return true
	}
}

func (r *router) applyControl(m control) {
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

// perform carries out the actions of the last step. Results that are known at once are applied afterwards.
func (r *router) perform() {
	for i := range r.actions {
		r.act(&r.actions[i])
	}
	for len(r.deferred) > 0 {
		next := r.deferred[0]
		r.deferred = r.deferred[1:]
		r.applyResult(next)
	}
}

func (r *router) act(a *routing.Action) {
	switch a.Kind {
	case routing.ActionForward:
		r.forward(a.Forward)
	case routing.ActionReply:
		r.reply(a.Reply)
	case routing.ActionCancel:
		r.cancel(a.Cancel)
	case routing.ActionDecision:
		r.decide(&a.Decision)
	}
}

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
		Timeout: f.Remaining + resultSlack,
		Done: func(c *peer.Call) {
			r.report(f, answer, c.Err, telemetry.Now().Sub(started))
		},
	}
	if err := r.call(f.VM, call); err != nil {
		r.deferred = append(r.deferred, attemptResult{handle: f.Handle, attempt: f.Attempt, fault: err})
	}
}

// report runs on the link's duty.
func (r *router) report(f routing.Forward, answer *peer.DoAnswer, fault *types.Fault, latency time.Duration) {
	m := attemptResult{handle: f.Handle, attempt: f.Attempt, fault: fault, latency: latency}
	if fault == nil {
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
	// A cancellation that is lost costs the target some work and nothing else.
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
	p.done <- p.resultFor(a)
}

// resultFor picks the answer of the attempt that the core chose, or the core's own refusal.
func (p *pending) resultFor(a routing.Reply) result {
	for _, at := range p.attempts {
		if at.number != a.Attempt || a.Attempt == 0 {
			continue
		}
		if at.answer != nil && at.answer.Outcome == types.OutcomeDone {
			return result{answer: withSession(at, p)}
		}
		return result{fault: attemptFault(at, a)}
	}
	f := types.NewFault(a.Code, "%s", explain(a.Code))
	f.Outcome = a.Outcome
	return result{fault: f}
}

// withSession names the target that ran the request. A caller that sends the session with its next requests to a
// service without keys reads its own writes, through whichever gateway.
func withSession(at attempt, p *pending) *peer.DoAnswer {
	if at.answer.Header == nil {
		at.answer.Header = map[string][]string{}
	}
	name := []string{string(at.target)}
	at.answer.Header[headerServedBy] = name
	if !p.request.Class.Idempotent() {
		at.answer.Header[headerSession] = name
	}
	return at.answer
}

func attemptFault(at attempt, a routing.Reply) *types.Fault {
	message := explain(a.Code)
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

func (r *router) decide(d *routing.Decision) {
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
