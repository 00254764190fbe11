package ownership

import (
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// TickInterval is the interval at which Tick must be called. It bounds how late a timer fires.
const TickInterval = 20 * time.Millisecond

// Self identifies the process that runs the core.
type Self struct {
	Peer
	DataCentre types.DataCentre
}

// Core makes the ownership decisions of one dispatcher process. It must be used by one goroutine only.
type Core struct {
	env          env
	writer       Writer
	quorumMember QuorumMember
	permit       Permit
	holder       Holder
	acks         acks
	reconfigurer Group
	assigner     Assigner
}

// New returns a core with an empty table copy: it serves nothing until it has read the store. A process that lost its
// memory or its registration must start a new core with a higher incarnation.
func New(self Self, cfg *config.Configuration) *Core {
	c := &Core{env: env{self: self, table: newTable(), members: newMembers()}}
	c.configure(cfg)
	c.writer = newWriter(&c.env)
	c.quorumMember = newQuorumMember(&c.env)
	c.permit = newPermit(&c.env, &c.quorumMember)
	c.holder = newHolder(&c.env, &c.permit, &c.writer)
	c.acks = newAcks(&c.env)
	c.reconfigurer = Group{env: &c.env, writer: &c.writer, acks: &c.acks}
	c.assigner = newAssigner(&c.env, &c.writer, &c.acks)
	return c
}

// Documents appends all known documents to out, for peers that cannot read the store. The order is undefined.
func (c *Core) Documents(out []Document) []Document {
	for _, k := range c.env.table.documents {
		out = append(out, k.Document)
	}
	return out
}

// Step applies one message at time now and appends the actions to out.
func (c *Core) Step(now types.Instant, m Message, out []Action) []Action {
	c.begin(now, out)
	c.apply(&m)
	// A confirmation request changes only the records of QuorumMember, which the next tick evaluates.
	if m.Kind == KindConfirmationRequest {
		return c.end()
	}
	c.advance(affectsPlan(m.Kind))
	return c.end()
}

// affectsPlan reports whether a message of this kind can change the decisions of the planner. The other kinds are
// frequent, so the planner handles their effects at the next tick.
func affectsPlan(k MessageKind) bool { return k != KindCallResult && k != KindDrained }

// Tick advances timers to now.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	c.begin(now, out)
	c.writer.tick()
	c.quorumMember.tick()
	c.advance(false)
	c.permit.requestDue(c.holder.groups, c.holder.ungranted)
	for _, r := range c.permit.localReplies {
		c.handleConfirmation(r)
	}
	c.permit.localReplies = c.permit.localReplies[:0]
	c.advance(true)
	return c.end()
}

// handleConfirmation applies the reply of a quorum group member to the permit and to the reports of the planner.
func (c *Core) handleConfirmation(r ConfirmationReply) {
	c.permit.reply(r)
	c.assigner.reply(r)
}

// begin starts a step. It never moves the time backwards, because permits and waits depend on it.
func (c *Core) begin(now types.Instant, out []Action) {
	c.env.now = later(c.env.now, now)
	c.env.out = out
}

func (c *Core) end() []Action {
	out := c.env.out
	c.env.out = nil
	return out
}

func (c *Core) apply(m *Message) {
	switch m.Kind {
	case KindStoreRead:
		c.storeRead(m.Read)
	case KindWriteResult:
		c.writer.result(m.Write)
	case KindReadBack:
		c.writer.finishReadBack(m.ReadBack)
	case KindConfirmationRequest:
		c.env.emit(Action{Kind: ActConfirmationReply, ConfirmationReply: c.quorumMember.answer(m.Confirmation)})
	case KindConfirmationReply:
		c.handleConfirmation(m.ConfirmationReply)
	case KindInstall:
		c.env.emit(Action{Kind: ActInstallReply, InstallReply: c.quorumMember.install(m.Install)})
	case KindInstallReply:
		if m.InstallReply.Planner == c.env.self.Peer {
			c.acks.record(m.InstallReply.Member, m.InstallReply.Versions)
		}
	case KindCallResult:
		c.holder.result(m.Call)
	case KindDrained:
		c.holder.setDrained(m.Drained)
	case KindTargetUnresponsive:
		c.holder.targetUnresponsive(m.Target)
	case KindTargetResponded:
		c.holder.targetResponded(m.Target)
	default:
		c.applyControl(m)
	}
}

func (c *Core) applyControl(m *Message) {
	switch m.Kind {
	case KindMembers:
		c.env.members.set(c.env.now, m.Members)
		c.acks.prune()
		c.quorumMember.prune()
	case KindPlannerGained:
		c.assigner.startPlanning()
	case KindPlannerLost:
		c.env.planner = false
	case KindMoves:
		c.assigner.setMoves(m.Moves)
	case KindHotKeys:
		c.assigner.setHotKeys(m.HotKeys)
	case KindTargetsOutOfService:
		c.assigner.setOutOfService(m.OutOfService)
	case KindConfiguration:
		c.configure(m.Configuration)
		c.permit.clearGroups()
		c.env.table.version++
	case KindDataCentreDeclaredLost:
		c.env.members.declaredLost[m.DataCentre] = true
	case KindDataCentreLossWithdrawn:
		delete(c.env.members.declaredLost, m.DataCentre)
	}
}

func (c *Core) configure(cfg *config.Configuration) {
	c.env.cfg = cfg
	c.env.timing = newTiming(cfg.Ownership)
}

// storeRead installs the documents of a store read. A store that returns an older document than before has lost writes
// and extends no permit.
func (c *Core) storeRead(r StoreRead) {
	key, ok := c.env.table.applyRead(c.env.now, r)
	if !ok {
		c.env.logDecision(Decision{Reason: ReasonOlderDocument, Document: key})
		return
	}
	c.permit.storeRead(r.SentAt)
	c.holder.refresh()
	c.holder.storeRead(r.SentAt)
}

// advance lets every role react to the new state, the planner roles only if plan is true.
func (c *Core) advance(plan bool) {
	plan = plan && c.env.planner && len(c.env.members.list) > 0
	c.assigner.observe()
	c.holder.refresh()
	c.holder.tick()
	if plan {
		c.assigner.tick()
	}
	c.write(plan)
}

// write submits the document changes that the roles request.
func (c *Core) write(plan bool) {
	if !c.env.table.loaded {
		return
	}
	if plan {
		c.reconfigurer.reconcile()
	}
	for i := range c.env.cfg.Services {
		s := &c.env.cfg.Services[i]
		c.writeLeases(s, plan)
		for part := range parts(s) {
			c.writeSlots(s, SlotsKey(s.Name, part), plan)
		}
	}
}

func (c *Core) writeLeases(s *config.Service, plan bool) {
	e := editLeases(&c.env.table, s.Name)
	if !c.writer.idle(e.key) {
		return
	}
	c.holder.editLeases(&e)
	if plan {
		c.assigner.editLeases(s, &e)
	}
	if e.next == nil || e.base.Epoch == 0 && len(e.next.Leases) == 0 {
		return
	}
	for _, d := range e.decisions {
		c.env.logDecision(d)
	}
	e.next.Header = c.writer.header(e.key)
	c.writer.submit(Document{Key: e.key, Leases: e.next})
}

func (c *Core) writeSlots(s *config.Service, key DocumentKey, plan bool) {
	e := editSlots(&c.env.table, key)
	if !c.writer.idle(key) {
		return
	}
	c.holder.editSlots(&e)
	if plan {
		c.assigner.editSlots(s, &e)
	}
	if e.next == nil {
		return
	}
	for _, d := range e.decisions {
		c.env.logDecision(d)
	}
	e.next.Header = c.writer.header(key)
	c.writer.submit(Document{Key: key, Slots: e.next})
}
