package dispatcher

import (
	"context"
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
	page       *telemetry.StatusPage
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
		page:         telemetry.NewStatusPage(telemetry.Status{}),
	}
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
			alarm.MarkFired()
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
			alarm.MarkFired()
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
	w.requests.Drain(func(m inbound) {
		if m.cancel != nil {
			w.cancel(ctx, m.cancel)
			return
		}
		w.accept(ctx, m)
	})
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
	w.results.Drain(func(m sent) { w.applyResult(ctx, m) })
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
