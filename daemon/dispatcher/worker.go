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
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

const (
	requestRingCapacity = 4096
	resultRingCapacity  = 4096
	controlRingCapacity = 1024
	// publishInterval is how often the status page of the dispatch duty is updated.
	publishInterval = 250 * time.Millisecond
	// answerBudgetBytes bounds the answers that all connections to targets are reading, beyond the first 64 KiB of each. It has
	// room for four of the longest ones.
	answerBudgetBytes = 64 << 20
)

// requestInput is one element of the request ring: a request with its reply channel, or a cancellation.
type requestInput struct {
	request *peer.DoRequest
	reply   chan peer.DoAnswer
	cancel  *peer.CancelRequest
}

// workerControl is a message from another duty to the dispatch duty. Each field may be empty.
type workerControl struct {
	// messages are passed on to the dispatch core unchanged.
	messages []dispatch.Message
	config   *config.Configuration
	peers    *peerSet
	// links replaces the links to other dispatchers.
	links map[types.VM]*peer.Link
	// receivedCopy is a deduplication entry that another dispatcher sent.
	receivedCopy *peer.MemoryEntry
	serve        *serveChange
	// handover is the result of a handover call of this dispatcher, receivedHandover a call of another one.
	handover         *handoverResult
	receivedHandover *peer.HandoverRequest
	// targetStates are the incarnations and warm-up states that another dispatcher reports.
	targetStates *peer.TargetStates
	// planner is the VM of the dispatcher that now holds the planner lease, empty if none does.
	planner *types.VM
	// outOfService reports for each target whether operators have taken it out of service.
	outOfService map[types.TargetID]bool
}

// payload holds the request, reply channel and response that the dispatch core refers to by a handle. Stored copies
// have a response only.
type payload struct {
	request        *peer.DoRequest
	reply          chan peer.DoAnswer
	targetResponse *targetResponse
	// counted is the estimated memory with which the payload counts.
	counted int64
	// cancels holds the cancel functions of the attempts that have no result yet.
	cancels map[dispatch.Attempt]context.CancelFunc
}

// requestKey identifies a request for cancellation.
type requestKey struct {
	target types.TargetID
	caller types.Caller
	id     types.RequestID
}

// connectionKey identifies one of the connections to a target.
type connectionKey struct {
	target     types.TargetID
	connection int
}

// worker runs the dispatch core: it feeds the core with requests and results and carries out its actions. Apart from
// the rings, its fields are used by the dispatch duty only.
type worker struct {
	vm         types.VM
	dataCentre types.DataCentre
	requests   *ring.Ring[requestInput]
	results    *ring.Ring[sendResult]
	controls   *ring.Ring[workerControl]
	log        *telemetry.Log
	metrics    *telemetry.Metrics
	statusPage *telemetry.StatusPage
	// reportCondition tells the ownership duty that a target's condition changed.
	reportCondition func(types.TargetID, dispatch.Condition)
	// drained is called when a drain has ended. It tells the ownership duty, and reports whether the message was queued.
	drained func(ownership.Drained) bool
	// reportToPlanner passes a load report to the planner duty of this process.
	reportToPlanner func(*peer.LoadReport)

	// connect returns a client with a connection of its own.
	connect func(address string) target.Client
	// answerBudget is shared by all connections to targets.
	answerBudget *forward.Budget

	core      *dispatch.Core
	addresses map[types.TargetID]string
	peers     *peerSet
	// links holds the links to the other dispatchers.
	links    map[types.VM]*peer.Link
	payloads *payloads
	// activeRequests are the requests that have no reply yet.
	activeRequests map[requestKey]dispatch.Handle
	senders        map[connectionKey]*sender
	// group runs the duties of the senders.
	group      *duty.Group
	lastHandle dispatch.Handle
	actions    []dispatch.Action
	// failedSends holds the results of attempts, and failedCopies the handles of copies, that could not be queued. Both
	// are applied after the current actions.
	failedSends   []sendResult
	failedCopies  []dispatch.Handle
	pendingDrains map[types.TargetID]*pendingDrain
	// handedOver holds the coverage that other dispatchers handed over, lastEpoch the last lease epoch served here, and
	// warm the incarnation in which a target was last known to have completed its warm-up.
	handedOver map[handoverKey]handedCoverage
	lastEpoch  map[types.TargetID]types.Epoch
	warm       map[types.TargetID]types.Incarnation
	// slots is the number of slots of each service, 0 for services without keys.
	slots map[types.Service]uint32
	// incarnations and conditions hold the last known state of the targets served here.
	incarnations map[types.TargetID]types.Incarnation
	conditions   map[types.TargetID]dispatch.Condition
	// sendCounts is the number of requests sent to each target.
	sendCounts    map[types.TargetID]uint64
	lastPublished types.Instant
	// statusBuffer holds the target statuses that were read last.
	statusBuffer []dispatch.TargetStatus
	meter        *meter
	// planner is the VM of the dispatcher that holds the planner lease, empty if none does.
	planner types.VM
	// keyed holds whether the requests of each service have keys.
	keyed map[types.Service]bool
	// drainStarts is when each target that was taken out of service is drained.
	drainStarts map[types.TargetID]types.Instant
}

// newWorker returns a worker that remembers requests of the given estimated memory with their answers, in bytes.
func newWorker(vm types.VM, dataCentre types.DataCentre, remembered int64, log *telemetry.Log, metrics *telemetry.Metrics) *worker {
	seed := uint64(time.Now().UnixNano())
	w := &worker{
		vm:             vm,
		dataCentre:     dataCentre,
		requests:       ring.New[requestInput](requestRingCapacity),
		results:        ring.New[sendResult](resultRingCapacity),
		controls:       ring.New[workerControl](controlRingCapacity),
		log:            log,
		metrics:        metrics,
		answerBudget:   forward.NewBudget(answerBudgetBytes),
		core:           dispatch.New(&config.Configuration{}, vm, rand.NewPCG(seed, seed)),
		addresses:      make(map[types.TargetID]string),
		payloads:       newPayloads(remembered),
		activeRequests: make(map[requestKey]dispatch.Handle),
		senders:        make(map[connectionKey]*sender),
		group:          duty.NewGroup(),
		pendingDrains:  make(map[types.TargetID]*pendingDrain),
		handedOver:     make(map[handoverKey]handedCoverage),
		lastEpoch:      make(map[types.TargetID]types.Epoch),
		warm:           make(map[types.TargetID]types.Incarnation),
		slots:          make(map[types.Service]uint32),
		incarnations:   make(map[types.TargetID]types.Incarnation),
		conditions:     make(map[types.TargetID]dispatch.Condition),
		sendCounts:     make(map[types.TargetID]uint64),
		meter:          newMeter(),
		keyed:          make(map[types.Service]bool),
		drainStarts:    make(map[types.TargetID]types.Instant),
		statusPage:     telemetry.NewStatusPage(telemetry.Status{}),
	}
	metrics.Gauge("sail_dispatch_remembered_bytes", func() float64 { return float64(w.payloads.bytes.Load()) })
	w.connect = w.connectHTTP
	return w
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

// drain waits until the requests in flight have finished, after the last request was taken from the ring.
func (w *worker) drain(ctx context.Context) {
	alarm := telemetry.NewAlarm()
	defer alarm.Stop()
	for w.hasPending() {
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

// hasPending reports whether a caller waits for a reply or a request is in flight.
func (w *worker) hasPending() bool { return len(w.activeRequests) > 0 || w.core.InFlight() > 0 }

// stop replies to all callers that still wait. Requests that were not taken from the ring were not run.
func (w *worker) stop(ctx context.Context) {
	w.requests.Close()
	for m, ok := w.requests.TryGet(); ok; m, ok = w.requests.TryGet() {
		if m.reply != nil {
			m.reply <- refusal(types.CodeShuttingDown)
		}
	}
	for _, p := range w.payloads.byHandle {
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
	w.requests.Drain(func(m requestInput) {
		if m.cancel != nil {
			w.cancel(ctx, m.cancel)
			return
		}
		w.accept(ctx, m)
	})
}

func (w *worker) accept(ctx context.Context, m requestInput) {
	w.lastHandle++
	handle := w.lastHandle
	r := m.request
	w.payloads.add(handle, &payload{request: r, reply: m.reply})
	w.activeRequests[requestKeyOf(r)] = handle
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
		NoMemory:    w.payloads.full(),
	}})
}

func requestKeyOf(r *peer.DoRequest) requestKey {
	return requestKey{target: types.TargetID{Service: r.Service, Target: r.Target}, caller: r.Caller, id: r.RequestID}
}

func (w *worker) cancel(ctx context.Context, c *peer.CancelRequest) {
	key := requestKey{target: types.TargetID{Service: c.Service, Target: c.Target}, caller: c.Caller, id: c.RequestID}
	if handle, ok := w.activeRequests[key]; ok {
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageCancel, Handle: handle})
	}
}

func (w *worker) takeResults(ctx context.Context) {
	w.results.Drain(func(m sendResult) { w.applyResult(ctx, m) })
}

func (w *worker) applyResult(ctx context.Context, m sendResult) {
	if p, ok := w.payloads.byHandle[m.handle]; ok {
		p.endAttempt(m)
		w.payloads.resize(p)
		if p.request != nil {
			w.recordIncarnation(types.TargetID{Service: p.request.Service, Target: p.request.Target}, m.result.Incarnation)
		}
	}
	w.step(ctx, dispatch.Message{Kind: dispatch.MessageResult, Handle: m.handle, Result: m.result})
	w.checkDrains()
}

func (p *payload) endAttempt(m sendResult) {
	if cancel, ok := p.cancels[m.result.Attempt]; ok {
		cancel()
		delete(p.cancels, m.result.Attempt)
	}
	if m.targetResponse != nil {
		p.targetResponse = m.targetResponse
	}
}

func (w *worker) tick(ctx context.Context) {
	w.checkDrains()
	w.publish()
	w.reportLoads()
	w.startDueDrains(ctx)
	w.actions = w.core.Tick(telemetry.Now(), w.actions[:0])
	w.perform(ctx)
}

// nextWake returns when tick must run next: when the core's next timer expires, or publishInterval has passed.
func (w *worker) nextWake() (types.Instant, bool) {
	next := w.lastPublished.Add(publishInterval)
	if at, ok := w.core.NextWake(); ok && at.Before(next) {
		next = at
	}
	return next, true
}

func (w *worker) step(ctx context.Context, m dispatch.Message) {
	w.actions = w.core.Step(telemetry.Now(), m, w.actions[:0])
	w.perform(ctx)
}
