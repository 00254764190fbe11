package ownership

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// editLeases adds the changes of the planner to the lease document of a service.
func (a *Assigner) editLeases(s *config.Service, e *leaseEdit) {
	if a.editScope(s, e) {
		return
	}
	for i := range s.Targets {
		if _, ok := e.base.Find(s.Targets[i].Name); !ok {
			a.assign(s, e, Lease{Target: s.Targets[i].Name})
		}
	}
	for _, l := range e.base.Leases {
		if e.unchanged(l.Target) {
			a.editLease(s, e, l)
		}
	}
	a.rebalance(s, e)
	a.markOutOfService(s, e)
}

// markOutOfService records which targets are out of service. The rows keep their epochs, because no right to grant or
// to serve changes.
func (a *Assigner) markOutOfService(s *config.Service, e *leaseEdit) {
	rows := e.base.Leases
	if e.next != nil {
		rows = e.next.Leases
	}
	for i, l := range rows {
		outOfService := a.outOfService[types.TargetID{Service: s.Name, Target: l.Target}]
		if l.OutOfService != outOfService {
			e.document().Leases[i].OutOfService = outOfService
		}
	}
}

// editScope applies a change of the configured scope. It reports whether it changed the document.
func (a *Assigner) editScope(s *config.Service, e *leaseEdit) bool {
	scope := s.Scope
	if scope == "" {
		scope = config.ScopeDataCentre
	}
	if e.base.Epoch == 0 {
		e.document().Scope = scope
		return false
	}
	if e.base.PreviousScope != "" && a.scopeSettled(e) {
		e.document().PreviousScope = ""
		return true
	}
	if e.base.PreviousScope != "" || e.base.Scope == scope {
		return false
	}
	next := e.document()
	next.Scope, next.PreviousScope = scope, e.base.Scope
	e.addDecision(Decision{Reason: ReasonScopeChanged})
	return true
}

// scopeSettled reports whether a majority of every group of the previous scope has the change, so that no permit can
// be confirmed under that scope any more.
func (a *Assigner) scopeSettled(e *leaseEdit) bool {
	settled := true
	for _, l := range e.base.Leases {
		settled = a.groupAcknowledged(e, GroupOf(e.base.PreviousScope, l.DataCentre)) && settled
	}
	return settled
}

// groupAcknowledged reports whether enough members of g have the document, and otherwise sends it to the members
// without it.
func (a *Assigner) groupAcknowledged(e *leaseEdit, g GroupKey) bool {
	if a.acks.groupAcknowledged(g, e.key, e.base.Epoch) {
		return true
	}
	if doc := a.table.group(g); doc != nil {
		a.acks.install(doc.Members, g, e.key)
	}
	return false
}

func (a *Assigner) editLease(s *config.Service, e *leaseEdit, l Lease) {
	id := types.TargetID{Service: s.Name, Target: l.Target}
	switch l.State {
	case LeaseVacant:
		a.editVacant(s, e, id, l)
	case LeaseActive:
		a.editActive(s, e, id, l)
	case LeaseRevoked:
		a.editRevoked(s, e, id, l)
	}
}

// editVacant assigns a dispatcher to a configured target and removes the row of a target that is not configured.
func (a *Assigner) editVacant(s *config.Service, e *leaseEdit, id types.TargetID, l Lease) {
	if a.target(id) != nil {
		a.assign(s, e, l)
		return
	}
	if !anyRow(&a.table, s, func(o Ownership) bool { return o.Owner == l.Target }) {
		e.remove(l.Target)
	}
}

// assign activates a lease with a new term.
func (a *Assigner) assign(s *config.Service, e *leaseEdit, l Lease) {
	id := types.TargetID{Service: s.Name, Target: l.Target}
	dc := a.target(id).DataCentre
	if a.members.declaredLost[dc] {
		return
	}
	p, ok := a.chooseDispatcher(id, dc, e.scope())
	if !ok {
		return
	}
	e.put(Lease{
		Target: l.Target, DataCentre: dc, State: LeaseActive, Term: e.epoch, Holder: p,
	}, ReasonDispatcherAssigned)
}

// editActive revokes a lease whose target or dispatcher is lost or must change.
func (a *Assigner) editActive(s *config.Service, e *leaseEdit, id types.TargetID, l Lease) {
	t := a.target(id)
	ending := t == nil || t.DataCentre != l.DataCentre || a.members.declaredLost[l.DataCentre]
	switch {
	case ending, a.targetLost(id) && ownsRows(&a.table, s, l.Target, l.Term):
		l.State, l.EndsTerm = LeaseRevoked, true
		e.put(l, ReasonTargetLost)
	case a.dispatcherLost(l.Holder, l.DataCentre, e.base.Scope):
		l.State = LeaseRevoked
		e.put(l, ReasonDispatcherLost)
	case a.members.state(l.Holder) == MemberLeaving:
		a.startHandover(e, id, l)
	}
}

// startHandover revokes a lease in favour of another dispatcher. The holder hands it over once its requests are
// drained.
func (a *Assigner) startHandover(e *leaseEdit, id types.TargetID, l Lease) {
	p, ok := a.chooseDispatcher(id, l.DataCentre, e.base.Scope)
	if !ok || p == l.Holder {
		return
	}
	l.State, l.NextHolder = LeaseRevoked, p
	e.put(l, ReasonDispatcherMoved)
}

// editRevoked ends a revocation that has been waited out: the lease goes to another dispatcher, or becomes vacant when
// the term ends.
func (a *Assigner) editRevoked(s *config.Service, e *leaseEdit, id types.TargetID, l Lease) {
	needed := a.timing.dispatcherWait()
	if l.EndsTerm {
		needed = a.timing.targetWait()
	}
	if !a.acknowledged(e, id, l) || a.now.Sub(a.revocationWaits[id].since) < needed {
		return
	}
	if l.EndsTerm {
		e.vacate(l, ReasonRevocationWaited)
		return
	}
	if l.NextHolder == (Peer{}) || !a.members.live(l.NextHolder) {
		l.NextHolder, _ = a.chooseDispatcher(id, l.DataCentre, e.base.Scope)
	}
	if l.NextHolder == (Peer{}) {
		return
	}
	l.State, l.Holder, l.NextHolder = LeaseActive, l.NextHolder, Peer{}
	e.put(l, ReasonRevocationWaited)
}

// acknowledged reports whether every group that can confirm the permit of the holder has acknowledged the revocation.
// The wait starts when this is first the case.
func (a *Assigner) acknowledged(e *leaseEdit, id types.TargetID, l Lease) bool {
	w, ok := a.revocationWaits[id]
	if !ok || w.epoch != l.Epoch {
		w = revocationWait{epoch: l.Epoch, since: never}
		a.revocationWaits[id] = w
	}
	if w.since != never {
		return true
	}
	has := a.groupAcknowledged(e, GroupOf(e.base.Scope, l.DataCentre))
	if e.base.PreviousScope != "" {
		has = a.groupAcknowledged(e, GroupOf(e.base.PreviousScope, l.DataCentre)) && has
	}
	if has {
		a.revocationWaits[id] = revocationWait{epoch: l.Epoch, since: a.now}
	}
	return has
}

// rebalance moves one lease at a time to the dispatcher that rendezvous hashing selects in the data centre of the
// target. It does not move the lease of a holder whose registration expired: a holder that is only cut off from the
// store keeps serving.
func (a *Assigner) rebalance(s *config.Service, e *leaseEdit) {
	n := len(e.base.Leases)
	if n == 0 || e.next != nil {
		return
	}
	for _, l := range e.base.Leases {
		if l.State != LeaseActive {
			return
		}
	}
	a.lastRebalanced++
	l := e.base.Leases[a.lastRebalanced%n]
	id := types.TargetID{Service: s.Name, Target: l.Target}
	p, ok := a.chooseDispatcher(id, l.DataCentre, e.base.Scope)
	if !ok || p == l.Holder || !a.members.live(l.Holder) || a.members.dataCentre(p.VM) != l.DataCentre {
		return
	}
	if a.now.Sub(a.members.liveSince[p]) < rebalanceAfter {
		return
	}
	l.State, l.NextHolder = LeaseRevoked, p
	e.put(l, ReasonDispatcherMoved)
}
