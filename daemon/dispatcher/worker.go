package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

const (
	requestRingCapacity = 4096
	resultRingCapacity  = 4096
	controlRingCapacity = 1024
	publishInterval     = 250 * time.Millisecond
)

// inbound is one element of the request ring.
type inbound struct {
	request *peer.DoRequest
	reply   chan peer.DoAnswer
	cancel  *peer.CancelRequest
}

// workerControl carries what other duties tell the dispatch duty.
type workerControl struct {
	messages []dispatch.Message
	config   *config.Configuration
	peers    *peerSet
	links    map[types.VM]*peer.Link
	copied   *peer.MemoryEntry
	serve    *serveChange
	handover *handoverAnswer
	handed   *peer.HandoverRequest
	states   *peer.TargetStates
	planner  *types.VM
	// taken tells for each target whether operators have taken it out.
	taken map[types.TargetID]bool
}

// payload is what the dispatch core knows by a handle.
type payload struct {
	request *peer.DoRequest
	reply   chan peer.DoAnswer
	answer  *answer
	cancels map[dispatch.Attempt]context.CancelFunc
}

type requestKey struct {
	target types.TargetID
	caller types.Caller
	id     types.RequestID
}

type connectionKey struct {
	target     types.TargetID
	connection int
}

// worker owns the dispatch core.
type worker struct {
	vm         types.VM
	dataCentre types.DataCentre
	requests   *ring.Ring[inbound]
	results    *ring.Ring[sent]
	controls   *ring.Ring[workerControl]
	log        *telemetry.Log
	metrics    *telemetry.Metrics
	page       *telemetry.Page
	// report tells the ownership duty what was seen of a target.
	report func(types.TargetID, dispatch.Condition)
	// drained tells the ownership duty that a drain has ended, and reports whether it took the message.
	drained func(ownership.Drained) bool
	// toPlanner passes a load report to the planner of this process.
	toPlanner func(*peer.LoadReport)

	// connect returns a client with a connection of its own.
	connect func(address string) target.Client

	core      *dispatch.Core
	addresses map[types.TargetID]string
	peers     *peerSet
	links     map[types.VM]*peer.Link
	payloads  map[dispatch.Handle]*payload
	active    map[requestKey]dispatch.Handle
	senders   map[connectionKey]*sender
	group     *duty.Group
	next      dispatch.Handle
	actions   []dispatch.Action
	deferred  []sent
	failed    []dispatch.Handle
	drains    map[types.TargetID]*drainWatch
	// given holds what other dispatchers handed over, lastEpoch the last lease epoch served here, and warm the
	// incarnation in which a target was last known to run at full load.
	given     map[handoverKey]givenTenure
	lastEpoch map[types.TargetID]types.Epoch
	warm      map[types.TargetID]types.Incarnation
	slots     map[types.Service]uint32
	// incarnations and conditions are what was seen last of the targets served here.
	incarnations map[types.TargetID]types.Incarnation
	conditions   map[types.TargetID]dispatch.Condition
	// admitted counts the sends to each target.
	admitted  map[types.TargetID]uint64
	published types.Instant
	statuses  []dispatch.TargetStatus
	meter     *meter
	planner   types.VM
	keyed     map[types.Service]bool
	// drainAt holds when the targets that were taken out get no more work.
	drainAt map[types.TargetID]types.Instant
}

func newWorker(vm types.VM, dataCentre types.DataCentre, log *telemetry.Log, metrics *telemetry.Metrics) *worker {
	seed := uint64(time.Now().UnixNano())
	return &worker{
		vm:           vm,
		dataCentre:   dataCentre,
		requests:     ring.New[inbound](requestRingCapacity),
		results:      ring.New[sent](resultRingCapacity),
		controls:     ring.New[workerControl](controlRingCapacity),
		log:          log,
		metrics:      metrics,
		connect:      connectHTTP,
		core:         dispatch.New(&config.Configuration{}, vm, rand.NewPCG(seed, seed)),
		addresses:    make(map[types.TargetID]string),
		payloads:     make(map[dispatch.Handle]*payload),
		active:       make(map[requestKey]dispatch.Handle),
		senders:      make(map[connectionKey]*sender),
		group:        duty.NewGroup(),
		drains:       make(map[types.TargetID]*drainWatch),
		given:        make(map[handoverKey]givenTenure),
		lastEpoch:    make(map[types.TargetID]types.Epoch),
		warm:         make(map[types.TargetID]types.Incarnation),
		slots:        make(map[types.Service]uint32),
		incarnations: make(map[types.TargetID]types.Incarnation),
		conditions:   make(map[types.TargetID]dispatch.Condition),
		admitted:     make(map[types.TargetID]uint64),
		meter:        newMeter(),
		keyed:        make(map[types.Service]bool),
		drainAt:      make(map[types.TargetID]types.Instant),
		page:         telemetry.NewPage(telemetry.Status{}),
	}
}

// connectHTTP returns a client that connects on its first call.
func connectHTTP(address string) target.Client {
	return target.NewHTTP(target.Options{Address: address})
}

func (w *worker) duty() duty.Duty {
	return duty.Duty{
		Name: "dispatch",
		Run:  w.run,
		Stop: func(context.Context) error { w.requests.Close(); return nil },
	}
}

func (w *worker) run(ctx context.Context) error {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	defer w.stop(ctx)
	for {
		alarm.Set(w.nextWake())
		select {
		case <-w.requests.Ready():
			w.takeRequests(ctx)
		case <-w.results.Ready():
			w.takeResults(ctx)
		case <-w.controls.Ready():
			w.takeControls(ctx)
		case <-alarm.C():
			alarm.Fired()
			w.tick(ctx)
		case <-w.requests.Done():
			w.takeRequests(ctx)
			w.step(ctx, dispatch.Message{Kind: dispatch.MessageDrain, Drain: dispatch.Drain{Process: true}})
			w.drain(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// drain finishes what is in flight after the last request was taken.
func (w *worker) drain(ctx context.Context) {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	for w.waiting() {
		alarm.Set(w.nextWake())
		select {
		case <-w.results.Ready():
			w.takeResults(ctx)
		case <-w.controls.Ready():
			w.takeControls(ctx)
		case <-alarm.C():
			alarm.Fired()
			w.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// waiting reports whether a caller waits for an answer.
func (w *worker) waiting() bool { return len(w.active) > 0 || w.core.InFlight() > 0 }

// stop answers everyone who still waits. Requests that were not taken from the ring were not run.
func (w *worker) stop(ctx context.Context) {
	w.requests.Close()
	for m, ok := w.requests.TryGet(); ok; m, ok = w.requests.TryGet() {
		if m.reply != nil {
			m.reply <- refusal(types.CodeShuttingDown)
		}
	}
	for _, p := range w.payloads {
		if p.reply != nil {
			p.reply <- peer.DoAnswer{Failure: peer.Failure{
				Code:    types.CodeShuttingDown,
				Message: "the dispatcher stopped while the request was in progress",
			}}
		}
	}
	_ = w.group.Stop(context.WithoutCancel(ctx))
}

func (w *worker) takeRequests(ctx context.Context) {
	for {
		m, ok := w.requests.TryGet()
		if !ok {
			return
		}
		if m.cancel != nil {
			w.cancel(ctx, m.cancel)
			continue
		}
		w.accept(ctx, m)
	}
}

func (w *worker) accept(ctx context.Context, m inbound) {
	w.next++
	handle := w.next
	r := m.request
	w.payloads[handle] = &payload{request: r, reply: m.reply}
	w.active[keyOf(r)] = handle
	now := telemetry.Now()
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageRequest, Handle: handle, Request: dispatch.Request{
		ID:          r.RequestID,
		Caller:      r.Caller,
		Target:      types.TargetID{Service: r.Service, Target: r.Target},
		Key:         r.KeyHash,
		Slot:        r.Slot,
		HotKey:      r.HotKey,
		Class:       r.Class,
		Idempotent:  r.Idempotent,
		MintedMs:    r.MintedAtMs,
		WallMs:      time.Now().UnixMilli(),
		Deadline:    now.Add(time.Duration(r.RemainingNs)),
		LeaseEpoch:  r.LeaseEpoch,
		SlotEpoch:   r.SlotEpoch,
		Fingerprint: dispatch.Fingerprint(r.Fingerprint),
	}})
}

func keyOf(r *peer.DoRequest) requestKey {
	return requestKey{target: types.TargetID{Service: r.Service, Target: r.Target}, caller: r.Caller, id: r.RequestID}
}

func (w *worker) cancel(ctx context.Context, c *peer.CancelRequest) {
	key := requestKey{target: types.TargetID{Service: c.Service, Target: c.Target}, caller: c.Caller, id: c.RequestID}
	if handle, ok := w.active[key]; ok {
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageCancel, Handle: handle})
	}
}

func (w *worker) takeResults(ctx context.Context) {
	for {
		m, ok := w.results.TryGet()
		if !ok {
			return
		}
		w.applyResult(ctx, m)
	}
}

func (w *worker) applyResult(ctx context.Context, m sent) {
	if p, ok := w.payloads[m.handle]; ok {
		p.endAttempt(m)
		if p.request != nil {
			w.noteIncarnation(types.TargetID{Service: p.request.Service, Target: p.request.Target}, m.result.Incarnation)
		}
	}
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageResult, Handle: m.handle, Result: m.result})
	w.checkDrains()
}

func (p *payload) endAttempt(m sent) {
	if cancel, ok := p.cancels[m.result.Attempt]; ok {
		cancel()
		delete(p.cancels, m.result.Attempt)
	}
	if m.answer != nil {
		p.answer = m.answer
	}
}

func (w *worker) takeControls(ctx context.Context) {
	for {
		m, ok := w.controls.TryGet()
		if !ok {
			return
		}
		w.applyControl(ctx, m)
	}
}

func (w *worker) applyControl(ctx context.Context, m workerControl) {
	if m.config != nil {
		w.configure(m.config)
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageConfiguration, Configuration: m.config})
	}
	if m.peers != nil {
		w.peers = m.peers
	}
	if m.links != nil {
		w.links = m.links
	}
	if m.copied != nil {
		w.storeCopy(ctx, m.copied)
	}
	for _, message := range m.messages {
		w.step(ctx, message)
	}
	if m.planner != nil {
		w.planner = *m.planner
	}
	if m.taken != nil {
		w.applyTaken(ctx, m.taken)
	}
	w.applyPeerControl(ctx, m)
}

// applyPeerControl applies what belongs to leases and to other dispatchers.
func (w *worker) applyPeerControl(ctx context.Context, m workerControl) {
	if m.serve != nil {
		w.applyServe(ctx, m.serve)
	}
	if m.handed != nil {
		for i := range m.handed.Entries {
			w.storeCopy(ctx, &m.handed.Entries[i])
		}
		w.takeHandover(m.handed)
	}
	if m.handover != nil {
		w.handoverAnswered(m.handover)
	}
	if m.states != nil {
		w.learnStates(m.states)
	}
}

func (w *worker) configure(c *config.Configuration) {
	for _, s := range c.Services {
		w.keyed[s.Name] = s.Keyed
		w.slots[s.Name] = s.Slots
		for _, t := range s.Targets {
			w.addresses[types.TargetID{Service: s.Name, Target: t.Name}] = t.Address
		}
	}
}

func (w *worker) tick(ctx context.Context) {
	w.checkDrains()
	w.publish()
	w.reportLoads()
	w.startDrains(ctx)
	w.actions = w.core.Tick(telemetry.Now(), w.actions[:0])
	w.perform(ctx)
}

// nextWake returns when the core or one of the worker's own intervals has something to do.
func (w *worker) nextWake() (types.Instant, bool) {
	next := w.published.Add(publishInterval)
	if at, ok := w.core.NextWake(); ok && at.Before(next) {
		next = at
	}
	return next, true
}

func (w *worker) step(ctx context.Context, m dispatch.Message) {
	w.actions = w.core.Step(telemetry.Now(), m, w.actions[:0])
	w.perform(ctx)
}

// perform carries out the actions of the last step. What is known at once is applied afterwards.
func (w *worker) perform(ctx context.Context) {
	for i := range w.actions {
		w.act(ctx, &w.actions[i])
	}
	for len(w.deferred) > 0 {
		next := w.deferred[0]
		w.deferred = w.deferred[1:]
		w.applyResult(ctx, next)
	}
	for len(w.failed) > 0 {
		handle := w.failed[0]
		w.failed = w.failed[1:]
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageCopyDone, Handle: handle})
	}
}

func (w *worker) act(ctx context.Context, a *dispatch.Action) {
	switch a.Kind {
	case dispatch.ActionSend:
		w.send(ctx, a)
	case dispatch.ActionCancelSend:
		w.cancelSend(a)
	case dispatch.ActionReply:
		w.reply(a)
	case dispatch.ActionStoreCopy:
		w.copyEntry(a)
	case dispatch.ActionForget:
		delete(w.payloads, a.Handle)
	case dispatch.ActionAnnounceQuarantine:
		w.announce(a)
	case dispatch.ActionCloseConnection:
		w.closeConnection(a)
	case dispatch.ActionReportTarget:
		w.reportTarget(a)
	case dispatch.ActionDecision:
		w.decide(a)
	}
}

func (w *worker) send(ctx context.Context, a *dispatch.Action) {
	p, ok := w.payloads[a.Handle]
	if !ok || p.request == nil {
		return
	}
	w.admitted[a.Target]++
	if w.keyed[a.Target.Service] {
		w.meter.count(a.Target, p.request)
	}
	sendCtx, cancel := context.WithCancel(ctx)
	if p.cancels == nil {
		p.cancels = make(map[dispatch.Attempt]context.CancelFunc, 1)
	}
	p.cancels[a.Attempt] = cancel
	err := w.senderFor(ctx, a).in.TryPut(send{
		ctx:        sendCtx,
		handle:     a.Handle,
		attempt:    a.Attempt,
		fresh:      a.Fresh,
		deadline:   a.Deadline,
		validUntil: a.ValidUntil,
		epoch:      a.Epoch,
		request:    p.request,
	})
	if err != nil {
		w.deferred = append(w.deferred, sent{handle: a.Handle, result: dispatch.Result{
			Attempt:    a.Attempt,
			Connection: a.Connection,
			Kind:       dispatch.ResultNotStarted,
			Load:       dispatch.LoadUnknown,
		}})
	}
}

// senderFor returns the duty of a connection and starts it on first use.
func (w *worker) senderFor(ctx context.Context, a *dispatch.Action) *sender {
	key := connectionKey{target: a.Target, connection: a.Connection}
	if s, ok := w.senders[key]; ok {
		return s
	}
	client := w.connect(w.addresses[a.Target])
	s := newSender(a.Target, a.Connection, client, w.results)
	_ = w.group.Launch(context.WithoutCancel(ctx), s.duty())
	w.senders[key] = s
	return s
}

func (w *worker) cancelSend(a *dispatch.Action) {
	p, ok := w.payloads[a.Handle]
	if !ok {
		return
	}
	if cancel, ok := p.cancels[a.Attempt]; ok {
		cancel()
	}
}

func (w *worker) closeConnection(a *dispatch.Action) {
	if s, ok := w.senders[connectionKey{target: a.Target, connection: a.Connection}]; ok {
		_ = s.in.TryPut(send{})
	}
}

func (w *worker) reply(a *dispatch.Action) {
	p, ok := w.payloads[a.Handle]
	if !ok || p.reply == nil {
		return
	}
	out := peer.DoAnswer{Outcome: a.Outcome}
	kept := w.payloads[a.Replay]
	if a.Outcome == types.OutcomeDone && kept != nil && kept.answer != nil {
		out.Status = kept.answer.status
		out.Header = kept.answer.header
		out.Body = kept.answer.body
		out.Replayed = a.Replay != a.Handle
	} else {
		out.Failure = peer.Failure{Code: a.Code, Message: explain(a.Code)}
	}
	p.reply <- out
	p.reply = nil
	if w.active[keyOf(p.request)] == a.Handle {
		delete(w.active, keyOf(p.request))
	}
}

func (w *worker) reportTarget(a *dispatch.Action) {
	w.metrics.Counter(fmt.Sprintf("sail_target_conditions_total{service=%q,condition=%q}", a.Target.Service, a.Condition)).Inc()
	w.log.Decide(telemetry.Decision{
		Kind:    "target-condition",
		Service: string(a.Target.Service),
		Target:  string(a.Target.Target),
		Reason:  a.Condition.String(),
	})
	w.noteCondition(a.Target, a.Condition)
	w.report(a.Target, a.Condition)
}

func (w *worker) decide(a *dispatch.Action) {
	w.log.Decide(telemetry.Decision{
		Kind:      "dispatch",
		RequestID: string(a.ID),
		Service:   string(a.Target.Service),
		Target:    string(a.Target.Target),
		KeyHash:   uint64(a.Key),
		Epoch:     uint64(a.Epoch),
		Reason:    a.Reason.String(),
		Outcome:   a.Outcome.String(),
		Code:      string(a.Code),
	})
}

// publish shows the queues on the status page.
func (w *worker) publish() {
	now := telemetry.Now()
	if now.Sub(w.published) < publishInterval {
		return
	}
	w.published = now
	w.statuses = w.core.Targets(now, w.statuses[:0])
	queues := make([]telemetry.QueueStatus, len(w.statuses))
	for i, s := range w.statuses {
		queues[i] = telemetry.QueueStatus{
			Service:   string(s.ID.Service),
			Target:    string(s.ID.Target),
			Waiting:   s.Waiting,
			InFlight:  s.InFlight,
			Limit:     s.Limit,
			Admitted:  w.admitted[s.ID],
			Condition: s.Condition.String(),
		}
	}
	w.page.Publish(telemetry.Status{Queues: queues})
	w.publishLoad()
}

// publishLoad sets the counters from which operators see how evenly the load is spread.
func (w *worker) publishLoad() {
	for id, n := range w.admitted {
		w.metrics.Counter(fmt.Sprintf("sail_dispatch_sent_total{service=%q,target=%q}", id.Service, id.Target)).Set(n)
	}
}
