package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	leaseManagerRingCapacity = 1024
	quorumCallRingCapacity   = 1024
)

// leaseInput is one element of the ownership duty's input ring. Each field may be empty.
type leaseInput struct {
	message ownership.Message
	// links replaces the links to other dispatchers when it is not nil.
	links map[types.VM]*peer.Link
	// storeRead is the result of a read of the store's revision.
	storeRead *revisionRead
	// revision is the store revision up to which the watch has delivered all documents.
	revision types.Revision
}

// revisionRead says that a read sent at sentAt found the store at revision.
type revisionRead struct {
	sentAt   types.Instant
	revision types.Revision
}

// leaseManager runs the ownership core: it feeds the core with inputs and carries out its actions. Its fields are used
// by the ownership duty only.
type leaseManager struct {
	self        ownership.Self
	in          *ring.Ring[leaseInput]
	quorumCalls *ring.Ring[quorumCall]
	writes      *ring.Ring[ownership.Action]
	log         *telemetry.Log
	metrics     *telemetry.Metrics
	worker      *worker
	statusPage  *telemetry.StatusPage

	core  *ownership.Core
	links map[types.VM]*peer.Link
	// replyChannels holds the reply channels of the quorum calls in the current step by their tickets.
	replyChannels map[uint64]chan ownership.Action
	lastTicket    uint64
	callers       *leaseCallers
	// served holds the last Serve for each target that is served here.
	served map[types.TargetID]ownership.Serve
	// slots is the number of slots of each service, 0 for services without keys.
	slots map[types.Service]uint32
	// homesEpoch is the epoch of each service's lease document whose home targets were last passed on.
	homesEpoch map[types.Service]types.Epoch
	// documentBuffer is reused by calls of documents.
	documentBuffer []ownership.Document
	// incarnations is the incarnation that each target reported last.
	incarnations map[types.TargetID]types.Incarnation
	// isPlanner is true while this dispatcher holds the planner lease.
	isPlanner bool
	// revision is the store revision up to which the watch has delivered all documents.
	revision types.Revision
	// pendingReads are the reads whose revision the watch has not delivered yet.
	pendingReads []revisionRead
	// deferred are messages to the core that are applied after the actions of the current step.
	deferred []ownership.Message
	actions  []ownership.Action
}

func newLeaseManager(self ownership.Self, log *telemetry.Log, metrics *telemetry.Metrics, w *worker) *leaseManager {
	lm := &leaseManager{
		self:          self,
		in:            ring.New[leaseInput](leaseManagerRingCapacity),
		quorumCalls:   ring.New[quorumCall](quorumCallRingCapacity),
		writes:        ring.New[ownership.Action](writerRingCapacity),
		log:           log,
		metrics:       metrics,
		worker:        w,
		core:          ownership.New(self, &config.Configuration{}),
		replyChannels: make(map[uint64]chan ownership.Action),
		served:        make(map[types.TargetID]ownership.Serve),
	}
	lm.slots = make(map[types.Service]uint32)
	lm.homesEpoch = make(map[types.Service]types.Epoch)
	lm.incarnations = make(map[types.TargetID]types.Incarnation)
	lm.callers = newLeaseCallers(lm.in, metrics, w.answerBudget)
	lm.statusPage = telemetry.NewStatusPage(telemetry.Status{})
	return lm
}

func (lm *leaseManager) duty() duty.Duty {
	return duty.Duty{
		Name: "ownership",
		Run:  lm.run,
		Stop: func(context.Context) error { lm.in.Close(); return nil },
	}
}

func (lm *leaseManager) run(ctx context.Context) error {
	tick := time.NewTicker(ownership.TickInterval)
	defer tick.Stop()
	defer lm.callers.stop(ctx)
	defer lm.refuseQuorumCalls()
	for {
		select {
		case <-lm.in.Ready():
			lm.takeInputs(ctx)
		case <-lm.quorumCalls.Ready():
			lm.takeQuorumCalls(ctx)
		case <-tick.C:
			lm.tick(ctx)
		case <-lm.in.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (lm *leaseManager) takeInputs(ctx context.Context) {
	lm.in.Drain(func(m leaseInput) { lm.apply(ctx, m) })
}

func (lm *leaseManager) apply(ctx context.Context, m leaseInput) {
	if m.links != nil {
		lm.links = m.links
	}
	if m.message.Kind == ownership.KindConfiguration {
		lm.callers.configure(m.message.Configuration)
		for _, s := range m.message.Configuration.Services {
			lm.slots[s.Name] = s.Slots
		}
	}
	lm.updatePlannerState(m.message.Kind)
	if call := m.message.Call; m.message.Kind == ownership.KindCallResult && call.Incarnation != 0 {
		lm.incarnations[call.Target] = call.Incarnation
	}
	if m.message.Kind != 0 {
		lm.step(ctx, m.message)
	}
	if m.storeRead != nil {
		lm.pendingReads = append(lm.pendingReads, *m.storeRead)
	}
	lm.revision = max(lm.revision, m.revision)
	lm.confirmReads(ctx)
}

func (lm *leaseManager) updatePlannerState(kind ownership.MessageKind) {
	if kind != ownership.KindPlannerGained && kind != ownership.KindPlannerLost {
		return
	}
	lm.isPlanner = kind == ownership.KindPlannerGained
	lm.publish()
}

// confirmReads reports a read of the store once the watch has delivered everything that the read covers. A read of the
// revision alone costs the store little, and together with the watch it is a linearizable read of all documents.
func (lm *leaseManager) confirmReads(ctx context.Context) {
	for len(lm.pendingReads) > 0 && lm.pendingReads[0].revision <= lm.revision {
		sentAt := lm.pendingReads[0].sentAt
		lm.pendingReads = lm.pendingReads[1:]
		lm.step(ctx, ownership.Message{Kind: ownership.KindStoreRead, Read: ownership.StoreRead{SentAt: sentAt}})
	}
}

func (lm *leaseManager) takeQuorumCalls(ctx context.Context) {
	lm.quorumCalls.Drain(func(c quorumCall) {
		lm.lastTicket++
		lm.replyChannels[lm.lastTicket] = c.reply
		c.message.Confirmation.Ticket = lm.lastTicket
		c.message.Install.Ticket = lm.lastTicket
		lm.step(ctx, c.message)
		// The core replies within the step or not at all.
		delete(lm.replyChannels, lm.lastTicket)
	})
}

// refuseQuorumCalls ends the calls that the duty will not answer any more, and has later ones refused.
func (lm *leaseManager) refuseQuorumCalls() {
	lm.quorumCalls.Close()
	lm.quorumCalls.Drain(func(c quorumCall) { close(c.reply) })
}

func (lm *leaseManager) tick(ctx context.Context) {
	lm.actions = lm.core.Tick(telemetry.Now(), lm.actions[:0])
	lm.perform(ctx)
}

func (lm *leaseManager) step(ctx context.Context, m ownership.Message) {
	lm.actions = lm.core.Step(telemetry.Now(), m, lm.actions[:0])
	if mayUpdateDocuments(m.Kind) {
		lm.publishHomes(ctx)
	}
	lm.perform(ctx)
}

// mayUpdateDocuments reports whether a message of this kind can bring a newer document.
func mayUpdateDocuments(kind ownership.MessageKind) bool {
	switch kind {
	case ownership.KindStoreRead, ownership.KindConfirmationReply, ownership.KindInstall, ownership.KindWriteResult, ownership.KindReadBack:
		return true
	default:
		return false
	}
}

// publishHomes passes the home targets of each service without keys on to the dispatch duty when its lease document
// changed. It runs before the actions of the same step, so that the dispatch duty never uses an older list than the one
// that the permit confirms.
func (lm *leaseManager) publishHomes(ctx context.Context) {
	for _, d := range lm.documents() {
		if d.Leases == nil || lm.homesEpoch[d.Key.Service] == d.Leases.Epoch {
			continue
		}
		lm.homesEpoch[d.Key.Service] = d.Leases.Epoch
		if lm.slots[d.Key.Service] > 0 {
			continue
		}
		message := dispatch.Message{
			Kind:   dispatch.MessageHomes,
			Target: types.TargetID{Service: d.Key.Service},
			Homes:  d.Leases.Homes(),
			Lease:  dispatch.Lease{WallMs: wallClockMs()},
		}
		_ = lm.worker.controls.Put(ctx, workerControl{messages: []dispatch.Message{message}})
	}
}

func (lm *leaseManager) perform(ctx context.Context) {
	for i := range lm.actions {
		lm.performAction(ctx, lm.actions[i])
	}
	for len(lm.deferred) > 0 {
		next := lm.deferred[0]
		lm.deferred = lm.deferred[1:]
		lm.step(ctx, next)
	}
}

func (lm *leaseManager) performAction(ctx context.Context, a ownership.Action) {
	switch a.Kind {
	case ownership.ActGrant, ownership.ActRenew, ownership.ActRelease:
		lm.callers.enqueue(ctx, a.Call)
	case ownership.ActWrite, ownership.ActReadBack:
		lm.write(a)
	case ownership.ActConfirmationRequest:
		lm.requestConfirmation(a.Confirmation)
	case ownership.ActConfirmationReply:
		lm.deliverReply(a.ConfirmationReply.Ticket, a, ownership.Message{Kind: ownership.KindConfirmationReply, ConfirmationReply: a.ConfirmationReply})
	case ownership.ActInstall:
		lm.install(a.Install)
	case ownership.ActInstallReply:
		lm.deliverReply(a.InstallReply.Ticket, a, ownership.Message{Kind: ownership.KindInstallReply, InstallReply: a.InstallReply})
	case ownership.ActServe:
		lm.serve(ctx, a.Serve)
	case ownership.ActStop:
		lm.stopServing(ctx, a.Serve)
	case ownership.ActDecision:
		lm.logDecision(a.Decision)
	}
}

func (lm *leaseManager) write(a ownership.Action) {
	if err := lm.writes.TryPut(a); err != nil && a.Kind == ownership.ActWrite {
		lm.deferred = append(lm.deferred, ownership.Message{Kind: ownership.KindWriteResult, Write: ownership.WriteResult{
			Key: a.Write.Document.Key, ID: a.Write.ID, Status: ownership.WriteNotSent,
		}})
	}
}

// deliverReply passes a reply to the net/rpc call that waits for it. Ticket 0 marks a reply to a request that the core
// sent to itself; message is then given back to the core.
func (lm *leaseManager) deliverReply(ticket uint64, a ownership.Action, message ownership.Message) {
	if reply, ok := lm.replyChannels[ticket]; ok {
		reply <- a
		return
	}
	if ticket == 0 {
		lm.deferred = append(lm.deferred, message)
	}
}

func (lm *leaseManager) requestConfirmation(request ownership.ConfirmationRequest) {
	if request.Member.VM == lm.self.VM {
		lm.deferred = append(lm.deferred, ownership.Message{Kind: ownership.KindConfirmationRequest, Confirmation: request})
		return
	}
	reply := &peer.ConfirmAnswer{}
	lm.callPeer(request.Member.VM, peer.MethodConfirm, encodeConfirmRequest(request), reply, func() (ownership.Message, error) {
		decoded, err := decodeConfirmAnswer(request, reply)
		return ownership.Message{Kind: ownership.KindConfirmationReply, ConfirmationReply: decoded}, err
	})
}

func (lm *leaseManager) install(i ownership.Install) {
	if i.Member.VM == lm.self.VM {
		lm.deferred = append(lm.deferred, ownership.Message{Kind: ownership.KindInstall, Install: i})
		return
	}
	documents, err := encodeDocuments(i.Documents)
	if err != nil {
		lm.log.Warn("document cannot be encoded", map[string]any{"error": err.Error()})
		return
	}
	args := &peer.InstallRequest{Planner: encodePeer(i.Planner), Member: encodePeer(i.Member), Documents: documents}
	reply := &peer.InstallAnswer{}
	lm.callPeer(i.Member.VM, peer.MethodInstall, args, reply, func() (ownership.Message, error) {
		versions, err := decodeVersions(reply.Versions)
		return ownership.Message{Kind: ownership.KindInstallReply, InstallReply: ownership.InstallReply{
			Ticket: i.Ticket, Planner: i.Planner, Member: decodePeer(reply.Member), Versions: versions,
		}}, err
	})
}

// callPeer sends a call to another dispatcher. A lost call or reply is not reported: the core repeats the call on a
// later tick.
func (lm *leaseManager) callPeer(vm types.VM, method string, args, reply any, decode func() (ownership.Message, error)) {
	link, ok := lm.links[vm]
	if !ok {
		return
	}
	_ = link.TryCall(&peer.Call{
		Method:  method,
		Args:    args,
		Reply:   reply,
		Timeout: quorumCallTimeout,
		Done: func(c *peer.Call) {
			if c.Err != nil {
				return
			}
			message, err := decode()
			if err != nil {
				return
			}
			_ = lm.in.Put(context.Background(), leaseInput{message: message})
		},
	})
}

func (lm *leaseManager) logDecision(d ownership.Decision) {
	lm.metrics.Counter(fmt.Sprintf("sail_ownership_decisions_total{reason=%q}", d.Reason)).Inc()
	lm.log.LogDecision(telemetry.Decision{
		Kind:    "ownership",
		Service: string(d.Service),
		Target:  string(d.Target),
		VM:      string(d.Peer.VM),
		Epoch:   uint64(d.Epoch),
		Reason:  d.Reason.String(),
		Detail:  d.Document.String(),
	})
}

// observeCondition passes a change of a target's condition on to the core. It runs on the dispatch duty. A report is
// dropped when the ring is full; the dispatch core reports the target again only when its condition changes.
func (lm *leaseManager) observeCondition(target types.TargetID, condition dispatch.Condition) {
	message := ownership.Message{Target: target}
	switch condition {
	case dispatch.ConditionSuspectedDead:
		message.Kind = ownership.KindTargetUnresponsive
	case dispatch.ConditionHealthy:
		message.Kind = ownership.KindTargetResponded
	default:
		return
	}
	_ = lm.in.TryPut(leaseInput{message: message})
}

// drained tells the core that a drain has ended, and reports whether the ring had room. It runs on the dispatch duty.
func (lm *leaseManager) drained(d ownership.Drained) bool {
	err := lm.in.TryPut(leaseInput{message: ownership.Message{Kind: ownership.KindDrained, Drained: d}})
	return err == nil
}

// publish puts the leases held and the planner state on the status page.
func (lm *leaseManager) publish() {
	status := telemetry.Status{Planner: lm.isPlanner}
	for id, s := range lm.served {
		status.Leases = append(status.Leases, telemetry.Lease{
			Service:    string(id.Service),
			Target:     string(id.Target),
			LeaseEpoch: uint64(s.Epoch),
			Slots:      slotCount(s.KeySet),
		})
	}
	slices.SortFunc(status.Leases, func(a, b telemetry.Lease) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	lm.statusPage.Publish(status)
}

func slotCount(keySet *ownership.KeySet) int {
	if keySet == nil {
		return 0
	}
	n := 0
	for _, s := range keySet.Slots {
		n += int(s.Count)
	}
	return n
}
