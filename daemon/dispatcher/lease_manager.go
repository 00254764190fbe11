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
	ballotRingCapacity       = 1024
)

// leaseInput is one element of the ownership duty's ring.
type leaseInput struct {
	message ownership.Message
	// links replaces the links to other dispatchers when it is not nil.
	links map[types.VM]*peer.Link
	// fresh tells that the store had revision at sentAt, learned by a read that was sent then.
	fresh *freshness
	// revision is the store revision up to which all documents have been delivered.
	revision types.Revision
}

type freshness struct {
	sentAt   types.Instant
	revision types.Revision
}

// leaseManager owns the ownership core.
type leaseManager struct {
	self    ownership.Self
	in      *ring.Ring[leaseInput]
	ballots *ring.Ring[ballot]
	writes  *ring.Ring[ownership.Action]
	log     *telemetry.Log
	metrics *telemetry.Metrics
	worker  *worker
	page    *telemetry.StatusPage

	core    *ownership.Core
	links   map[types.VM]*peer.Link
	waiting map[uint64]chan ownership.Action
	tickets uint64
	leases  *leaseSet
	served  map[types.TargetID]ownership.Serve
	// slots holds the size of each service's slot table.
	slots map[types.Service]uint32
	// homesEpoch is the epoch of each lease document whose homes were passed on.
	homesEpoch map[types.Service]types.Epoch
	// known is reused by documents.
	known []ownership.Document
	// incarnations holds what each target said last.
	incarnations map[types.TargetID]types.Incarnation
	planner      bool
	revision     types.Revision
	pending      []freshness
	deferred     []ownership.Message
	actions      []ownership.Action
}

func newLeaseManager(self ownership.Self, log *telemetry.Log, metrics *telemetry.Metrics, w *worker) *leaseManager {
	k := &leaseManager{
		self:    self,
		in:      ring.New[leaseInput](leaseManagerRingCapacity),
		ballots: ring.New[ballot](ballotRingCapacity),
		writes:  ring.New[ownership.Action](writerRingCapacity),
		log:     log,
		metrics: metrics,
		worker:  w,
		core:    ownership.New(self, &config.Configuration{}),
		waiting: make(map[uint64]chan ownership.Action),
		served:  make(map[types.TargetID]ownership.Serve),
	}
	k.slots = make(map[types.Service]uint32)
	k.homesEpoch = make(map[types.Service]types.Epoch)
	k.incarnations = make(map[types.TargetID]types.Incarnation)
	k.leases = newLeaseSet(k.in, metrics)
	k.page = telemetry.NewStatusPage(telemetry.Status{})
	return k
}

func (k *leaseManager) duty() duty.Duty {
	return duty.Duty{
		Name: "ownership",
		Run:  k.run,
		Stop: func(context.Context) error { k.in.Close(); return nil },
	}
}

func (k *leaseManager) run(ctx context.Context) error {
	tick := time.NewTicker(ownership.TickInterval)
	defer tick.Stop()
	defer k.leases.stop(ctx)
	for {
		select {
		case <-k.in.Ready():
			k.takeInputs(ctx)
		case <-k.ballots.Ready():
			k.takeBallots(ctx)
		case <-tick.C:
			k.tick(ctx)
		case <-k.in.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *leaseManager) takeInputs(ctx context.Context) {
	k.in.Drain(func(m leaseInput) { k.apply(ctx, m) })
}

func (k *leaseManager) apply(ctx context.Context, m leaseInput) {
	if m.links != nil {
		k.links = m.links
	}
	if m.message.Kind == ownership.KindConfiguration {
		k.leases.configure(m.message.Configuration)
		for _, s := range m.message.Configuration.Services {
			k.slots[s.Name] = s.Slots
		}
	}
	k.notePlanner(m.message.Kind)
	if call := m.message.Call; m.message.Kind == ownership.KindCallResult && call.Incarnation != 0 {
		k.incarnations[call.Target] = call.Incarnation
	}
	if m.message.Kind != 0 {
		k.step(ctx, m.message)
	}
	if m.fresh != nil {
		k.pending = append(k.pending, *m.fresh)
	}
	k.revision = max(k.revision, m.revision)
	k.confirmReads(ctx)
}

func (k *leaseManager) notePlanner(kind ownership.MessageKind) {
	if kind != ownership.KindPlannerGained && kind != ownership.KindPlannerLost {
		return
	}
	k.planner = kind == ownership.KindPlannerGained
	k.publish()
}

// confirmReads reports a read of the store once the watch has delivered everything that the read covers. A read of the
// revision alone costs the store little, and together with the watch it is a linearizable read of all documents.
func (k *leaseManager) confirmReads(ctx context.Context) {
	for len(k.pending) > 0 && k.pending[0].revision <= k.revision {
		sentAt := k.pending[0].sentAt
		k.pending = k.pending[1:]
		k.step(ctx, ownership.Message{Kind: ownership.KindStoreRead, Read: ownership.StoreRead{SentAt: sentAt}})
	}
}

func (k *leaseManager) takeBallots(ctx context.Context) {
	k.ballots.Drain(func(b ballot) {
		k.tickets++
		k.waiting[k.tickets] = b.reply
		b.message.Confirmation.Ticket = k.tickets
		b.message.Install.Ticket = k.tickets
		k.step(ctx, b.message)
		// The core answers within the step or not at all.
		delete(k.waiting, k.tickets)
	})
}

func (k *leaseManager) tick(ctx context.Context) {
	k.actions = k.core.Tick(telemetry.Now(), k.actions[:0])
	k.perform(ctx)
}

func (k *leaseManager) step(ctx context.Context, m ownership.Message) {
	k.actions = k.core.Step(telemetry.Now(), m, k.actions[:0])
	if learns(m.Kind) {
		k.tellHomes(ctx)
	}
	k.perform(ctx)
}

// learns reports whether a message can bring a newer document.
func learns(kind ownership.MessageKind) bool {
	switch kind {
	case ownership.KindStoreRead, ownership.KindConfirmationReply, ownership.KindInstall, ownership.KindWriteResult, ownership.KindReadBack:
		return true
	default:
		return false
	}
}

// tellHomes passes the homes of identifiers on when a lease document changed. It comes before the actions of the same
// step, so that the dispatch duty never sends by an older list than the permit confirms.
func (k *leaseManager) tellHomes(ctx context.Context) {
	for _, d := range k.documents() {
		if d.Leases == nil || k.homesEpoch[d.Key.Service] == d.Leases.Epoch {
			continue
		}
		k.homesEpoch[d.Key.Service] = d.Leases.Epoch
		if k.slots[d.Key.Service] > 0 {
			continue
		}
		message := dispatch.Message{
			Kind:   dispatch.MessageHomes,
			Target: types.TargetID{Service: d.Key.Service},
			Homes:  d.Leases.Homes(),
			Lease:  dispatch.Lease{WallMs: wallMs()},
		}
		_ = k.worker.controls.Put(ctx, workerControl{messages: []dispatch.Message{message}})
	}
}

func (k *leaseManager) perform(ctx context.Context) {
	for i := range k.actions {
		k.act(ctx, k.actions[i])
	}
	for len(k.deferred) > 0 {
		next := k.deferred[0]
		k.deferred = k.deferred[1:]
		k.step(ctx, next)
	}
}

func (k *leaseManager) act(ctx context.Context, a ownership.Action) {
	switch a.Kind {
	case ownership.ActGrant, ownership.ActRenew, ownership.ActRelease:
		k.leases.call(ctx, a.Call)
	case ownership.ActWrite, ownership.ActReadBack:
		k.write(a)
	case ownership.ActConfirmationRequest:
		k.vouch(a.Confirmation)
	case ownership.ActConfirmationReply:
		k.answer(a.ConfirmationReply.Ticket, a, ownership.Message{Kind: ownership.KindConfirmationReply, ConfirmationReply: a.ConfirmationReply})
	case ownership.ActInstall:
		k.install(a.Install)
	case ownership.ActInstallReply:
		k.answer(a.InstallReply.Ticket, a, ownership.Message{Kind: ownership.KindInstallReply, InstallReply: a.InstallReply})
	case ownership.ActServe:
		k.serve(ctx, a.Serve)
	case ownership.ActStop:
		k.stopServing(ctx, a.Serve)
	case ownership.ActDecision:
		k.decide(a.Decision)
	}
}

func (k *leaseManager) write(a ownership.Action) {
	if err := k.writes.TryPut(a); err != nil && a.Kind == ownership.ActWrite {
		k.deferred = append(k.deferred, ownership.Message{Kind: ownership.KindWriteResult, Write: ownership.WriteResult{
			Key: a.Write.Document.Key, ID: a.Write.ID, Status: ownership.WriteNotSent,
		}})
	}
}

// answer passes a reply to the front end that waits for it. Ticket 0 is a question that the core asked itself.
func (k *leaseManager) answer(ticket uint64, a ownership.Action, own ownership.Message) {
	if reply, ok := k.waiting[ticket]; ok {
		reply <- a
		return
	}
	if ticket == 0 {
		k.deferred = append(k.deferred, own)
	}
}

func (k *leaseManager) vouch(v ownership.ConfirmationRequest) {
	if v.Member.VM == k.self.VM {
		k.deferred = append(k.deferred, ownership.Message{Kind: ownership.KindConfirmationRequest, Confirmation: v})
		return
	}
	reply := &peer.ConfirmAnswer{}
	k.callPeer(v.Member.VM, peer.MethodConfirm, encodeConfirm(v), reply, func() (ownership.Message, error) {
		decoded, err := decodeConfirmAnswer(v, reply)
		return ownership.Message{Kind: ownership.KindConfirmationReply, ConfirmationReply: decoded}, err
	})
}

func (k *leaseManager) install(i ownership.Install) {
	if i.Member.VM == k.self.VM {
		k.deferred = append(k.deferred, ownership.Message{Kind: ownership.KindInstall, Install: i})
		return
	}
	documents, err := encodeDocuments(i.Documents)
	if err != nil {
		k.log.Warn("document cannot be encoded", map[string]any{"error": err.Error()})
		return
	}
	args := &peer.InstallRequest{Planner: encodeRun(i.Planner), Member: encodeRun(i.Member), Documents: documents}
	reply := &peer.InstallAnswer{}
	k.callPeer(i.Member.VM, peer.MethodInstall, args, reply, func() (ownership.Message, error) {
		versions, err := decodeVersions(reply.Versions)
		return ownership.Message{Kind: ownership.KindInstallReply, InstallReply: ownership.InstallReply{
			Ticket: i.Ticket, Planner: i.Planner, Member: decodeRun(reply.Member), Versions: versions,
		}}, err
	})
}

// callPeer sends a call whose loss the core tolerates: it asks again on a later tick.
func (k *leaseManager) callPeer(vm types.VM, method string, args, reply any, decode func() (ownership.Message, error)) {
	link, ok := k.links[vm]
	if !ok {
		return
	}
	_ = link.TryCall(&peer.Call{
		Method:  method,
		Args:    args,
		Reply:   reply,
		Timeout: vouchTimeout,
		Done: func(c *peer.Call) {
			if c.Err != nil {
				return
			}
			message, err := decode()
			if err != nil {
				return
			}
			_ = k.in.Put(context.Background(), leaseInput{message: message})
		},
	})
}

func (k *leaseManager) decide(d ownership.Decision) {
	k.metrics.Counter(fmt.Sprintf("sail_ownership_decisions_total{reason=%q}", d.Reason)).Inc()
	k.log.LogDecision(telemetry.Decision{
		Kind:    "ownership",
		Service: string(d.Service),
		Target:  string(d.Target),
		VM:      string(d.Peer.VM),
		Epoch:   uint64(d.Epoch),
		Reason:  d.Reason.String(),
		Detail:  d.Document.String(),
	})
}

// observe runs on the dispatch duty. A report that finds the ring full is lost; the next result repeats it.
func (k *leaseManager) observe(target types.TargetID, condition dispatch.Condition) {
	message := ownership.Message{Target: target}
	switch condition {
	case dispatch.ConditionSuspectedDead:
		message.Kind = ownership.KindTargetUnresponsive
	case dispatch.ConditionHealthy:
		message.Kind = ownership.KindTargetResponded
	default:
		return
	}
	_ = k.in.TryPut(leaseInput{message: message})
}

// drained runs on the dispatch duty.
func (k *leaseManager) drained(d ownership.Drained) bool {
	err := k.in.TryPut(leaseInput{message: ownership.Message{Kind: ownership.KindDrained, Drained: d}})
	return err == nil
}

// publish shows the leases held on the status page.
func (k *leaseManager) publish() {
	status := telemetry.Status{Planner: k.planner}
	for id, s := range k.served {
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
	k.page.Publish(status)
}

func slotCount(a *ownership.KeySet) int {
	if a == nil {
		return 0
	}
	n := 0
	for _, s := range a.Slots {
		n += int(s.Count)
	}
	return n
}
