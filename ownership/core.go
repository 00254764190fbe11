package ownership

import (
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// TickInterval is how often Tick is to be called. It bounds how late a timer fires.
const TickInterval = 20 * time.Millisecond

// Self identifies the process that runs the core.
type Self struct {
	Peer
	DataCentre types.DataCentre
}

// Core decides about ownership for one dispatcher process. It is used by one goroutine.
type Core struct {
	env     env
	writer  Writer
	voucher Voucher
	permit  Permit
	holder  Holder
	acks    acks
	group   Group
	mover   Mover
}

// New returns a core without any knowledge: it serves nothing until it has read the store.
// A process that lost its memory or its registration starts a new core with a higher incarnation.
func New(self Self, cfg *config.Configuration) *Core {
	c := &Core{env: env{self: self, table: newTable(), members: newMembers()}}
	c.configure(cfg)
	c.writer = newWriter(&c.env)
	c.voucher = newVoucher(&c.env)
	c.permit = newPermit(&c.env, &c.voucher)
	c.holder = newHolder(&c.env, &c.permit, &c.writer)
	c.acks = newAcks(&c.env)
	c.group = Group{env: &c.env, writer: &c.writer, acks: &c.acks}
	c.mover = newMover(&c.env, &c.writer, &c.acks)
	return c
}

// Documents appends the known documents to out, for peers that cannot read the store. The order is not defined.
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
	if m.Kind == KindVouchRequest {
		return c.end()
	}
	c.advance(plans(m.Kind))
	return c.end()
}

// plans reports whether a message can change what the planner wants. The others come often and wait for the tick.
func plans(k MessageKind) bool { return k != KindCallResult && k != KindDrained }

// Tick advances timers to now.
func (c *Core) Tick(now types.Instant, out []Action) []Action {
	c.begin(now, out)
	c.writer.tick()
	c.voucher.tick()
	c.advance(false)
	c.permit.ask(c.holder.groups, c.holder.silent)
	for _, r := range c.permit.local {
		c.vouchReply(r)
	}
	c.permit.local = c.permit.local[:0]
	c.advance(true)
	return c.end()
}

func (c *Core) vouchReply(r VouchReply) {
	c.permit.reply(r)
	c.mover.reply(r)
}

// begin never lets the time go back: permits and waits depend on it.
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
		c.writer.read(m.ReadBack)
	case KindVouchRequest:
		c.env.emit(Action{Kind: ActVouchReply, VouchReply: c.voucher.answer(m.Vouch)})
	case KindVouchReply:
		c.vouchReply(m.VouchReply)
	case KindInstall:
		c.env.emit(Action{Kind: ActInstallReply, InstallReply: c.voucher.install(m.Install)})
	case KindInstallReply:
		if m.InstallReply.Planner == c.env.self.Peer {
			c.acks.note(m.InstallReply.Member, m.InstallReply.Versions)
		}
	case KindCallResult:
		c.holder.result(m.Call)
	case KindDrained:
		c.holder.setDrained(m.Drained)
	case KindTargetSilent:
		c.holder.targetSilent(m.Target)
	case KindTargetHeard:
		c.holder.targetHeard(m.Target)
	default:
		c.applyControl(m)
	}
}

func (c *Core) applyControl(m *Message) {
	switch m.Kind {
	case KindMembers:
		c.env.members.set(c.env.now, m.Members)
		c.acks.forget()
		c.voucher.forget()
	case KindPlannerGained:
		c.mover.gained()
	case KindPlannerLost:
		c.env.planner = false
	case KindMoves:
		c.mover.setMoves(m.Moves)
	case KindHotKeys:
		c.mover.setHotKeys(m.HotKeys)
	case KindTargetsOut:
		c.mover.setOut(m.Out)
	case KindConfiguration:
		c.configure(m.Configuration)
		c.permit.reset()
		c.env.table.changes++
	case KindDataCentreLost:
		c.env.members.declaredLost[m.DataCentre] = true
	case KindDataCentreBack:
		delete(c.env.members.declaredLost, m.DataCentre)
	}
}

func (c *Core) configure(cfg *config.Configuration) {
	c.env.cfg = cfg
	c.env.timing = newTiming(cfg.Ownership)
}

// storeRead installs the documents. A store that lost writes gives no permit.
func (c *Core) storeRead(r StoreRead) {
	key, ok := c.env.table.read(c.env.now, r)
	if !ok {
		c.env.decide(Decision{Reason: ReasonOlderDocument, Document: key})
		return
	}
	c.permit.storeRead(r.SentAt)
	c.holder.refresh()
	c.holder.storeRead(r.SentAt)
}

// advance lets every role act on what changed, the planner's only if plan is true.
func (c *Core) advance(plan bool) {
	plan = plan && c.env.planner && len(c.env.members.list) > 0
	c.mover.observe()
	c.holder.refresh()
	c.holder.tick()
	if plan {
		c.mover.tick()
	}
	c.write(plan)
}

// write submits what the roles want changed in the store.
func (c *Core) write(plan bool) {
	if !c.env.table.loaded {
		return
	}
	if plan {
		c.group.reconcile()
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
		c.mover.editLeases(s, &e)
	}
	if e.next == nil || e.base.Epoch == 0 && len(e.next.Leases) == 0 {
		return
	}
	for _, d := range e.decisions {
		c.env.decide(d)
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
		c.mover.editSlots(s, &e)
	}
	if e.next == nil {
		return
	}
	for _, d := range e.decisions {
		c.env.decide(d)
	}
	e.next.Header = c.writer.header(key)
	c.writer.submit(Document{Key: key, Slots: e.next})
}
