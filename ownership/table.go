package ownership

import (
	"cmp"
	"slices"

	"sequoiasail.example/types"
)

// Table is the copy of the ownership documents in this process. A document is never replaced by an older one.
type Table struct {
	documents map[DocumentKey]tableEntry
	// loaded is true after the first store read; before that, a document missing here may exist in the store.
	loaded bool
	// readAt is when the newest answered store read was sent.
	readAt types.Instant
	// version increases with every installed document and every new configuration.
	version uint64
}

// tableEntry is a document and how this process learned of it.
type tableEntry struct {
	Document
	// learnedAt is when the process first had this epoch.
	learnedAt types.Instant
	// fromStore is true after a store read that was sent once the process had this epoch, or that contained it. All
	// other documents are then at least as new as they were when this epoch was written.
	fromStore bool
}

func newTable() Table { return Table{documents: make(map[DocumentKey]tableEntry), readAt: never} }

// install stores d if it is newer than the copy. It reports whether d is older than the copy.
func (t *Table) install(now types.Instant, d Document) (older bool) {
	have, ok := t.documents[d.Key]
	epoch, haveEpoch := d.Header().Epoch, have.Header().Epoch
	if ok && epoch <= haveEpoch {
		return epoch < haveEpoch
	}
	if epoch == 0 {
		return false
	}
	t.documents[d.Key] = tableEntry{Document: d, learnedAt: now}
	t.version++
	return false
}

// applyRead installs the documents of a store read. If the read returned an older epoch of a document than one known
// before the read was sent, ok is false and regressed is the key of that document.
func (t *Table) applyRead(now types.Instant, r StoreRead) (regressed DocumentKey, ok bool) {
	ok = true
	for _, d := range r.Documents {
		have := t.documents[d.Key]
		if t.install(now, d) && have.learnedAt < r.SentAt {
			regressed, ok = d.Key, false
		}
	}
	if !ok {
		return regressed, false
	}
	t.loaded = true
	t.readAt = later(t.readAt, r.SentAt)
	t.markFromStore(r)
	return regressed, true
}

// markFromStore sets fromStore for the documents that a store read confirms.
func (t *Table) markFromStore(r StoreRead) {
	for key, k := range t.documents {
		if !k.fromStore && k.learnedAt <= r.SentAt {
			k.fromStore = true
			t.documents[key] = k
		}
	}
	for _, d := range r.Documents {
		k := t.documents[d.Key]
		if !k.fromStore && k.Header().Epoch == d.Header().Epoch {
			k.fromStore = true
			t.documents[d.Key] = k
		}
	}
}

func (t *Table) document(key DocumentKey) Document { return t.documents[key].Document }

func (t *Table) epoch(key DocumentKey) types.Epoch { return t.documents[key].Header().Epoch }

func (t *Table) slots(service types.Service, part uint16) *SlotDocument {
	return t.documents[SlotsKey(service, part)].Slots
}

func (t *Table) leases(service types.Service) *LeaseDocument {
	return t.documents[LeasesKey(service)].Leases
}

func (t *Table) group(g GroupKey) *GroupDocument { return t.documents[GroupDocumentKey(g)].Group }

// lease returns the lease row of a target.
func (t *Table) lease(id types.TargetID) (Lease, bool) {
	return t.leases(id.Service).Find(id.Target)
}

// Find returns the row of a target. It accepts a nil receiver.
func (d *LeaseDocument) Find(target types.Target) (Lease, bool) {
	if d == nil {
		return Lease{}, false
	}
	i, ok := slices.BinarySearchFunc(d.Leases, target, func(l Lease, t types.Target) int {
		return cmp.Compare(l.Target, t)
	})
	if !ok {
		return Lease{}, false
	}
	return d.Leases[i], true
}

// Find returns the run that contains slot. It accepts a nil receiver.
func (d *SlotDocument) Find(slot types.Slot) (Run, bool) {
	if d == nil {
		return Run{}, false
	}
	i, ok := slices.BinarySearchFunc(d.Runs, slot, compareRun)
	if !ok {
		return Run{}, false
	}
	return d.Runs[i], true
}

// compareRun orders a run before, around or after a slot, for binary searches.
func compareRun(r Run, slot types.Slot) int {
	switch {
	case slot < r.First:
		return 1
	case slot >= r.End():
		return -1
	}
	return 0
}

// FindKey returns the row of a hot key. It accepts a nil receiver.
func (d *SlotDocument) FindKey(key types.KeyHash) (HotKey, bool) {
	if d == nil {
		return HotKey{}, false
	}
	i, ok := slices.BinarySearchFunc(d.HotKeys, key, func(h HotKey, k types.KeyHash) int {
		return cmp.Compare(h.Key, k)
	})
	if !ok {
		return HotKey{}, false
	}
	return d.HotKeys[i], true
}

// setRange assigns the ownership o to the slots from first up to end and returns the new runs. Adjacent runs that
// became equal are merged.
func setRange(runs []Run, first, end types.Slot, o Ownership) []Run {
	out := make([]Run, 0, len(runs)+2)
	for _, r := range runs {
		if r.End() <= first || r.First >= end {
			out = appendRun(out, r)
			continue
		}
		if r.First < first {
			out = appendRun(out, Run{First: r.First, Count: uint32(first - r.First), Ownership: r.Ownership})
		}
		from, to := max(first, r.First), min(end, r.End())
		o.PreviousEpoch = r.lastOwned()
		out = appendRun(out, Run{First: from, Count: uint32(to - from), Ownership: o})
		if r.End() > end {
			out = appendRun(out, Run{First: end, Count: uint32(r.End() - end), Ownership: r.Ownership})
		}
	}
	return out
}

func appendRun(runs []Run, r Run) []Run {
	if n := len(runs); n > 0 && runs[n-1].Ownership == r.Ownership && runs[n-1].End() == r.First {
		runs[n-1].Count += r.Count
		return runs
	}
	return append(runs, r)
}
