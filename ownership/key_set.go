package ownership

import (
	"cmp"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// HasSlot reports whether slot is in the set. It accepts a nil receiver.
func (a *KeySet) HasSlot(slot types.Slot) bool {
	if a == nil {
		return false
	}
	_, ok := slices.BinarySearchFunc(a.Slots, slot, func(r SlotRange, s types.Slot) int {
		return compareRun(Run{First: r.First, Count: r.Count}, s)
	})
	return ok
}

// HasKey reports whether key, whose slot is slot, is in the set. It accepts a nil receiver.
func (a *KeySet) HasKey(key types.KeyHash, slot types.Slot) bool {
	if a == nil {
		return false
	}
	_, own := slices.BinarySearchFunc(a.Keys, key, func(k OwnedKey, h types.KeyHash) int { return cmp.Compare(k.Key, h) })
	if own {
		return true
	}
	_, excepted := slices.BinarySearch(a.Except, key)
	return !excepted && a.HasSlot(slot)
}

// Empty reports whether the set contains no key. It accepts a nil receiver.
func (a *KeySet) Empty() bool { return a == nil || len(a.Slots) == 0 && len(a.Keys) == 0 }

func (a *KeySet) equal(b *KeySet) bool {
	if a == b || a == nil || b == nil {
		return a == b
	}
	return slices.Equal(a.Slots, b.Slots) && slices.Equal(a.Except, b.Except) && slices.Equal(a.Keys, b.Keys)
}

// grantableKeys returns the keys that target may be granted under term. It includes owned rows only. A releasing row
// is in no new grant, so an accepted grant that was sent after the row changed confirms the release.
func grantableKeys(t *Table, s *config.Service, target types.Target, term types.Epoch) *KeySet {
	a := &KeySet{}
	for part := range parts(s) {
		doc := t.slots(s.Name, part)
		if doc == nil {
			continue
		}
		for _, r := range doc.Runs {
			if grantable(r.Ownership, target, term) {
				a.Slots = append(a.Slots, SlotRange{First: r.First, Count: r.Count, Epoch: r.Epoch})
			}
		}
		for _, h := range doc.HotKeys {
			if a.HasSlot(types.SlotOf(h.Key, s.Slots)) {
				a.Except = append(a.Except, h.Key)
			}
			if grantable(h.Ownership, target, term) {
				a.Keys = append(a.Keys, OwnedKey{Key: h.Key, Epoch: h.Epoch})
			}
		}
	}
	slices.Sort(a.Except)
	slices.SortFunc(a.Keys, func(x, y OwnedKey) int { return cmp.Compare(x.Key, y.Key) })
	return a
}

func grantable(o Ownership, target types.Target, term types.Epoch) bool {
	return o.State == SlotOwned && o.Owner == target && o.Term == term
}

// ownsRows reports whether any owned or releasing row names target and term as its owner.
func ownsRows(t *Table, s *config.Service, target types.Target, term types.Epoch) bool {
	return anyRow(t, s, func(o Ownership) bool { return o.State != SlotFree && o.Owner == target && o.Term == term })
}

// anyRow reports whether any slot or hot key of a service satisfies match.
func anyRow(t *Table, s *config.Service, match func(Ownership) bool) bool {
	for part := range parts(s) {
		doc := t.slots(s.Name, part)
		if doc == nil {
			continue
		}
		if slices.ContainsFunc(doc.Runs, func(r Run) bool { return match(r.Ownership) }) {
			return true
		}
		if slices.ContainsFunc(doc.HotKeys, func(h HotKey) bool { return match(h.Ownership) }) {
			return true
		}
	}
	return false
}

// intersect returns the keys that are in both sets, with the epochs of a. size is the number of slots of the table.
func intersect(a, b *KeySet, size uint32) *KeySet {
	if a.equal(b) {
		return a
	}
	out := &KeySet{Slots: intersectSlots(a.Slots, b.Slots)}
	out.Except = append(append(out.Except, a.Except...), b.Except...)
	slices.Sort(out.Except)
	out.Except = slices.Compact(out.Except)
	for _, k := range a.Keys {
		if b.HasKey(k.Key, types.SlotOf(k.Key, size)) {
			out.Keys = append(out.Keys, k)
		}
	}
	return out
}

func intersectSlots(a, b []SlotRange) []SlotRange {
	var out []SlotRange
	for i, j := 0, 0; i < len(a) && j < len(b); {
		first := max(a[i].First, b[j].First)
		endA, endB := a[i].First+types.Slot(a[i].Count), b[j].First+types.Slot(b[j].Count)
		if end := min(endA, endB); first < end {
			out = append(out, SlotRange{First: first, Count: uint32(end - first), Epoch: a[i].Epoch})
		}
		if endA <= endB {
			i++
		} else {
			j++
		}
	}
	return out
}
