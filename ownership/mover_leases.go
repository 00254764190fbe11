package ownership

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// editLeases changes the lease rows of a service, as the planner.
func (m *Mover) editLeases(s *config.Service, e *leaseEdit) {
	if m.editScope(s, e) {
		return
	}
	for i := range s.Targets {
		if _, ok := e.base.Find(s.Targets[i].Name); !ok {
			m.assign(s, e, Lease{Target: s.Targets[i].Name})
		}
	}
	for _, l := range e.base.Leases {
		if e.untouched(l.Target) {
			m.editLease(s, e, l)
		}
	}
	m.rebalance(s, e)
	m.markOut(s, e)
}

// markOut writes which targets are out of service. The rows keep their epochs, because nobody's rights change.
func (m *Mover) markOut(s *config.Service, e *leaseEdit) {
	rows := e.base.Leases
	if e.next != nil {
		rows = e.next.Leases
	}
	for i, l := range rows {
		out := m.out[types.TargetID{Service: s.Name, Target: l.Target}]
		if l.Out != out {
			e.document().Leases[i].Out = out
		}
	}
}

// editScope follows the configured scope. It reports whether it changed the document.
func (m *Mover) editScope(s *config.Service, e *leaseEdit) bool {
	scope := s.Scope
	if scope == "" {
		scope = config.ScopeDataCentre
	}
	if e.base.Epoch == 0 {
		e.document().Scope = scope
		return false
	}
	if e.base.ScopeFrom != "" && m.scopeSettled(e) {
		e.document().ScopeFrom = ""
		return true
	}
	if e.base.ScopeFrom != "" || e.base.Scope == scope {
		return false
	}
	next := e.document()
	next.Scope, next.ScopeFrom = scope, e.base.Scope
	e.note(Decision{Reason: ReasonScopeChanged})
	return true
}

// scopeSettled reports whether every group of the former scope has the change, so that nobody can use it any more.
func (m *Mover) scopeSettled(e *leaseEdit) bool {
	settled := true
	for _, l := range e.base.Leases {
		settled = m.groupHas(e, GroupOf(e.base.ScopeFrom, l.DataCentre)) && settled
	}
	return settled
}

// groupHas reports whether a majority of g has the document and sends it where it is missing.
func (m *Mover) groupHas(e *leaseEdit, g GroupKey) bool {
	if m.acks.groupHas(g, e.key, e.base.Epoch) {
		return true
	}
	if doc := m.table.group(g); doc != nil {
		m.acks.install(doc.Members, g, e.key)
	}
	return false
}

func (m *Mover) editLease(s *config.Service, e *leaseEdit, l Lease) {
	id := types.TargetID{Service: s.Name, Target: l.Target}
	switch l.State {
	case LeaseVacant:
		m.editVacant(s, e, id, l)
	case LeaseActive:
		m.editActive(s, e, id, l)
	case LeaseRevoked:
		m.editRevoked(s, e, id, l)
	}
}

// editVacant gives a configured target a dispatcher and drops the row of one that is not configured.
func (m *Mover) editVacant(s *config.Service, e *leaseEdit, id types.TargetID, l Lease) {
	if m.target(id) != nil {
		m.assign(s, e, l)
		return
	}
	if !rowsOf(&m.table, s, func(o Ownership) bool { return o.Owner == l.Target }) {
		e.drop(l.Target)
	}
}

// assign activates a lease with a new term.
func (m *Mover) assign(s *config.Service, e *leaseEdit, l Lease) {
	id := types.TargetID{Service: s.Name, Target: l.Target}
	dc := m.target(id).DataCentre
	if m.members.declaredLost[dc] {
		return
	}
	p, ok := m.chooseDispatcher(id, dc, e.scope())
	if !ok {
		return
	}
	e.put(Lease{
		Target: l.Target, DataCentre: dc, State: LeaseActive, Term: e.epoch, Holder: p,
	}, ReasonDispatcherAssigned)
}

// editActive revokes a lease whose target or dispatcher is lost or should change.
func (m *Mover) editActive(s *config.Service, e *leaseEdit, id types.TargetID, l Lease) {
	t := m.target(id)
	ending := t == nil || t.DataCentre != l.DataCentre || m.members.declaredLost[l.DataCentre]
	switch {
	case ending, m.targetLost(id) && holds(&m.table, s, l.Target, l.Term):
		l.State, l.Ending = LeaseRevoked, true
		e.put(l, ReasonTargetLost)
	case m.dispatcherLost(l.Holder, l.DataCentre, e.base.Scope):
		l.State = LeaseRevoked
		e.put(l, ReasonDispatcherLost)
	case m.members.state(l.Holder) == MemberLeaving:
		m.handOver(e, id, l)
	}
}

// handOver revokes a lease in favour of another dispatcher. Its holder hands over once its requests are drained.
func (m *Mover) handOver(e *leaseEdit, id types.TargetID, l Lease) {
	p, ok := m.chooseDispatcher(id, l.DataCentre, e.base.Scope)
	if !ok || p == l.Holder {
		return
	}
	l.State, l.Next = LeaseRevoked, p
	e.put(l, ReasonDispatcherMoved)
}

// editRevoked ends a revocation that has been waited out: with another dispatcher, or vacant when the term ends.
func (m *Mover) editRevoked(s *config.Service, e *leaseEdit, id types.TargetID, l Lease) {
	needed := m.timing.dispatcherWait()
	if l.Ending {
		needed = m.timing.targetWait()
	}
	if !m.acknowledged(e, id, l) || m.now.Sub(m.waits[id].since) < needed {
		return
	}
	if l.Ending {
		e.vacate(l, ReasonRevocationWaited)
		return
	}
	if l.Next == (Peer{}) || !m.members.live(l.Next) {
		l.Next, _ = m.chooseDispatcher(id, l.DataCentre, e.base.Scope)
	}
	if l.Next == (Peer{}) {
		return
	}
	l.State, l.Holder, l.Next = LeaseActive, l.Next, Peer{}
	e.put(l, ReasonRevocationWaited)
}

// acknowledged reports whether a majority of each group that can confirm the holder's permit has the revocation, and
// starts the wait at the moment when it first does.
func (m *Mover) acknowledged(e *leaseEdit, id types.TargetID, l Lease) bool {
	w, ok := m.waits[id]
	if !ok || w.epoch != l.Epoch {
		w = wait{epoch: l.Epoch, since: never}
		m.waits[id] = w
	}
	if w.since != never {
		return true
	}
	has := m.groupHas(e, GroupOf(e.base.Scope, l.DataCentre))
	if e.base.ScopeFrom != "" {
		has = m.groupHas(e, GroupOf(e.base.ScopeFrom, l.DataCentre)) && has
	}
	if has {
		m.waits[id] = wait{epoch: l.Epoch, since: m.now}
	}
	return has
}

// rebalance moves one lease at a time to the dispatcher that rendezvous hashing prefers in the target's data centre. It
// leaves a holder whose registration lapsed alone: one that is only cut from the store keeps serving.
func (m *Mover) rebalance(s *config.Service, e *leaseEdit) {
	n := len(e.base.Leases)
	if n == 0 || e.next != nil {
		return
	}
	for _, l := range e.base.Leases {
		if l.State != LeaseActive {
			return
		}
	}
	m.rebalanced++
	l := e.base.Leases[m.rebalanced%n]
	id := types.TargetID{Service: s.Name, Target: l.Target}
	p, ok := m.chooseDispatcher(id, l.DataCentre, e.base.Scope)
	if !ok || p == l.Holder || !m.members.live(l.Holder) || m.members.dataCentre(p.VM) != l.DataCentre {
		return
	}
	if m.now.Sub(m.members.liveSince[p]) < rebalanceAfter {
		return
	}
	l.State, l.Next = LeaseRevoked, p
	e.put(l, ReasonDispatcherMoved)
}
