package ownership

import (
	"cmp"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// leaseEdit collects the changes of Holder and Assigner to one lease document, so that one write carries them all.
type leaseEdit struct {
	key  DocumentKey
	base *LeaseDocument
	// epoch is the epoch of the new document.
	epoch types.Epoch
	// next is the new document, nil while nothing changed.
	next *LeaseDocument
	// decisions are logged if the edit is written.
	decisions []Decision
}

func editLeases(t *Table, service types.Service) leaseEdit {
	base := t.leases(service)
	if base == nil {
		base = &LeaseDocument{}
	}
	return leaseEdit{key: LeasesKey(service), base: base, epoch: base.Epoch + 1}
}

// document returns the new document, which it creates at the first change.
func (e *leaseEdit) document() *LeaseDocument {
	if e.next == nil {
		next := *e.base
		next.Leases = slices.Clone(e.base.Leases)
		e.next = &next
	}
	return e.next
}

// scope returns the scope after the changes so far.
func (e *leaseEdit) scope() config.GroupScope {
	if e.next != nil {
		return e.next.Scope
	}
	return e.base.Scope
}

// put adds or replaces a row, which gets the new epoch.
func (e *leaseEdit) put(l Lease, reason Reason) {
	l.Epoch = e.epoch
	doc := e.document()
	i, found := slices.BinarySearchFunc(doc.Leases, l.Target, func(x Lease, t types.Target) int {
		return cmp.Compare(x.Target, t)
	})
	if found {
		l.PreviousEpoch = doc.Leases[i].lastActive()
		doc.Leases[i] = l
	} else {
		doc.Leases = slices.Insert(doc.Leases, i, l)
	}
	e.addDecision(Decision{Reason: reason, Target: l.Target, Peer: l.Holder})
}

// vacate ends the term of a row. Slots bound to the term may be given to other targets from then on.
func (e *leaseEdit) vacate(l Lease, reason Reason) {
	e.put(Lease{Target: l.Target, DataCentre: l.DataCentre, State: LeaseVacant, Term: e.epoch}, reason)
}

// remove removes the row of a target.
func (e *leaseEdit) remove(target types.Target) {
	doc := e.document()
	doc.Leases = slices.DeleteFunc(doc.Leases, func(l Lease) bool { return l.Target == target })
}

func (e *leaseEdit) addDecision(d Decision) {
	d.Document, d.Service, d.Epoch = e.key, e.key.Service, e.epoch
	e.decisions = append(e.decisions, d)
}

// unchanged reports whether the edit has not changed the row of target.
func (e *leaseEdit) unchanged(target types.Target) bool {
	if e.next == nil {
		return true
	}
	before, _ := e.base.Find(target)
	after, _ := e.next.Find(target)
	return before == after
}

// slotEdit collects the changes of Holder and Assigner to one slot document, so that one write carries them all.
type slotEdit struct {
	key       DocumentKey
	base      *SlotDocument
	epoch     types.Epoch
	next      *SlotDocument
	decisions []Decision
}

func editSlots(t *Table, key DocumentKey) slotEdit {
	base := t.slots(key.Service, key.Part)
	if base == nil {
		base = &SlotDocument{}
	}
	return slotEdit{key: key, base: base, epoch: base.Epoch + 1}
}

// current returns the document after the changes so far.
func (e *slotEdit) current() *SlotDocument {
	if e.next != nil {
		return e.next
	}
	return e.base
}

// document returns the new document, which it creates at the first change.
func (e *slotEdit) document() *SlotDocument {
	if e.next == nil {
		next := *e.base
		next.HotKeys = slices.Clone(e.base.HotKeys)
		e.next = &next
	}
	return e.next
}

// setSlots changes the ownership of the slots from first up to end.
func (e *slotEdit) setSlots(first, end types.Slot, o Ownership) {
	o.Epoch = e.epoch
	doc := e.document()
	doc.Runs = setRange(doc.Runs, first, end, o)
}

// setKey adds or changes the row of a hot key.
func (e *slotEdit) setKey(key types.KeyHash, o Ownership) {
	o.Epoch = e.epoch
	doc := e.document()
	i, found := slices.BinarySearchFunc(doc.HotKeys, key, func(h HotKey, k types.KeyHash) int {
		return cmp.Compare(h.Key, k)
	})
	if found {
		o.PreviousEpoch = doc.HotKeys[i].lastOwned()
		doc.HotKeys[i].Ownership = o
		return
	}
	doc.HotKeys = slices.Insert(doc.HotKeys, i, HotKey{Key: key, Ownership: o})
}

// dropKey removes the row of a hot key.
func (e *slotEdit) dropKey(key types.KeyHash) {
	doc := e.document()
	doc.HotKeys = slices.DeleteFunc(doc.HotKeys, func(h HotKey) bool { return h.Key == key })
}

func (e *slotEdit) addDecision(reason Reason, target types.Target, slots int) {
	e.decisions = append(e.decisions, Decision{
		Reason: reason, Document: e.key, Service: e.key.Service, Target: target, Epoch: e.epoch, Slots: slots,
	})
}
